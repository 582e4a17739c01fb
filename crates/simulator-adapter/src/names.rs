//! Numbers for the simulator's names.

use std::collections::HashMap;

/// The names of one instance's requests, engines and keys.
#[derive(Default)]
pub struct Names {
    pub requests: NameTable,
    pub engines: NameTable,
    pub keys: NameTable,
}

/// Names, numbered in the order in which they were first used.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    /// The number of a name, which is a new one for a new name.
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.known(name) {
            return number;
        }
        let number = self.names.len();
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// The number of a name that was used before.
    pub fn known(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// The name with a number.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }
}
