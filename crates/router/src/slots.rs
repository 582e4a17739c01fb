//! A table whose rows are addressed by slots. A freed place is reused; a slot's serial number distinguishes its row
//! from others in the same place.

/// The address of a row. It stays invalid once its row has been taken out.
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
pub struct Slots<T> {
    rows: Vec<Option<Row<T>>>,
    /// Indexes of empty places; the last is reused first.
    free: Vec<usize>,
    next_serial: u64,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Self { rows: Vec::new(), free: Vec::new(), next_serial: 0 }
    }
}

impl<T> Slots<T> {
    /// The slot that the next row will get.
    pub fn next(&self) -> Slot {
        let index = self.free.last().copied().unwrap_or(self.rows.len());
        Slot { index, serial: self.next_serial }
    }

    /// Adds a row.
    pub fn insert(&mut self, value: T) -> Slot {
        let slot = self.next();
        let row = Row { serial: slot.serial, value };
        match self.free.pop() {
            Some(index) => self.rows[index] = Some(row),
            None => self.rows.push(Some(row)),
        }
        self.next_serial += 1;
        slot
    }

    /// The row of a slot, unless it was taken out.
    pub fn get(&self, slot: Slot) -> Option<&T> {
        let row = self.rows.get(slot.index)?.as_ref()?;
        (row.serial == slot.serial).then_some(&row.value)
    }

    /// The row of a slot for changes, unless it was taken out.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut T> {
        let row = self.rows.get_mut(slot.index)?.as_mut()?;
        (row.serial == slot.serial).then_some(&mut row.value)
    }

    /// Takes a row out.
    pub fn take(&mut self, slot: Slot) -> Option<T> {
        self.get(slot)?;
        self.free.push(slot.index);
        self.rows[slot.index].take().map(|row| row.value)
    }

    /// How many rows come before a slot's row.
    pub fn index_of(&self, slot: Slot) -> Option<usize> {
        self.iter().position(|(other, _)| other == slot)
    }

    /// The number of rows.
    pub fn len(&self) -> usize {
        self.rows.len() - self.free.len()
    }

    /// Whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All rows with their slots, by place.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &T)> {
        let positions = self.rows.iter().enumerate();
        positions.filter_map(|(index, row)| {
            row.as_ref().map(|row| (Slot { index, serial: row.serial }, &row.value))
        })
    }
}
