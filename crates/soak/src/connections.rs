//! A table of connections by index; the owner of the table derives a connection's token from its index.

/// Connections by index. The index of a removed connection is reused.
pub struct ConnectionTable<C> {
    entries: Vec<Option<C>>,
}

impl<C> Default for ConnectionTable<C> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<C> ConnectionTable<C> {
    /// Returns the lowest index without a connection.
    pub fn free_index(&self) -> usize {
        self.entries.iter().position(Option::is_none).unwrap_or(self.entries.len())
    }

    /// Inserts a connection at `index`, which must be the [`free_index`](Self::free_index).
    pub fn insert(&mut self, index: usize, connection: C) {
        if index == self.entries.len() {
            self.entries.push(Some(connection));
        } else {
            self.entries[index] = Some(connection);
        }
    }

    /// Returns the connection at an index; `None` if there is none.
    pub fn get(&self, index: usize) -> Option<&C> {
        self.entries.get(index)?.as_ref()
    }

    /// Returns the connection at an index, for modification; `None` if there is none.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut C> {
        self.entries.get_mut(index)?.as_mut()
    }

    /// Removes a connection and returns it.
    pub fn remove(&mut self, index: usize) -> Option<C> {
        self.entries.get_mut(index)?.take()
    }

    /// Removes all connections.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Keeps only the connections for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&C) -> bool) {
        for entry in &mut self.entries {
            if entry.as_ref().is_some_and(|connection| !is_kept(connection)) {
                *entry = None;
            }
        }
    }

    /// Returns the index of the first connection for which `matches` returns true.
    pub fn position(&self, matches: impl Fn(&C) -> bool) -> Option<usize> {
        self.entries.iter().position(|entry| entry.as_ref().is_some_and(&matches))
    }

    /// Returns the indices of the connections for which `matches` returns true, in ascending order.
    pub fn positions(&self, matches: impl Fn(&C) -> bool) -> Vec<usize> {
        let matches_at = |index: &usize| self.get(*index).is_some_and(&matches);
        (0..self.entries.len()).filter(matches_at).collect()
    }

    /// Returns the connections in ascending order of their indices.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut C> {
        self.entries.iter_mut().flatten()
    }

    /// Returns a bound that is larger than each index in use.
    pub fn index_limit(&self) -> usize {
        self.entries.len()
    }
}
