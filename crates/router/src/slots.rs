//! A table (slot map) whose rows are addressed by slots. The index of a removed row is reused. The serial number of a
//! slot distinguishes its row from earlier and later rows at the same index.

/// The address of a row. After the row was removed, the slot never becomes valid again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    index: usize,
    serial: u64,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.index, self.serial)
    }
}

/// A row with the serial number of its slot.
#[derive(Clone)]
struct Row<T> {
    serial: u64,
    value: T,
}

/// A table of rows, addressed by slots.
#[derive(Clone)]
pub struct SlotMap<T> {
    rows: Vec<Option<Row<T>>>,
    /// Indices without a row. The last one is reused first.
    free: Vec<usize>,
    next_serial: u64,
}

impl<T> Default for SlotMap<T> {
    fn default() -> Self {
        Self { rows: Vec::new(), free: Vec::new(), next_serial: 0 }
    }
}

impl<T> SlotMap<T> {
    /// Returns the slot that the next inserted row will have.
    pub fn next_slot(&self) -> Slot {
        let index = self.free.last().copied().unwrap_or(self.rows.len());
        Slot { index, serial: self.next_serial }
    }

    /// Inserts a row, and returns its slot.
    pub fn insert(&mut self, value: T) -> Slot {
        let slot = self.next_slot();
        let row = Row { serial: slot.serial, value };
        match self.free.pop() {
            Some(index) => self.rows[index] = Some(row),
            None => self.rows.push(Some(row)),
        }
        self.next_serial += 1;
        slot
    }

    /// Returns the row of a slot; `None` if it was removed.
    pub fn get(&self, slot: Slot) -> Option<&T> {
        let row = self.rows.get(slot.index)?.as_ref()?;
        (row.serial == slot.serial).then_some(&row.value)
    }

    /// Returns a mutable reference to the row of a slot; `None` if the row was removed.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut T> {
        let row = self.rows.get_mut(slot.index)?.as_mut()?;
        (row.serial == slot.serial).then_some(&mut row.value)
    }

    /// Removes and returns a row. Returns `None` if it was removed before.
    pub fn remove(&mut self, slot: Slot) -> Option<T> {
        self.get(slot)?;
        self.free.push(slot.index);
        self.rows[slot.index].take().map(|row| row.value)
    }

    /// Returns the position of a slot's row in [`Self::iter`], from 0; `None` if the row was removed.
    pub fn position_of(&self, slot: Slot) -> Option<usize> {
        self.iter().position(|(other, _)| other == slot)
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len() - self.free.len()
    }

    /// Whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all rows with their slots, ordered by index.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &T)> {
        self.rows.iter().enumerate().filter_map(|(index, row)| {
            let row = row.as_ref()?;
            Some((Slot { index, serial: row.serial }, &row.value))
        })
    }
}
