//! Tables that map the simulator's names to numbers.

use std::collections::HashMap;

/// The names that one instance has used.
#[derive(Default)]
pub struct Names {
    /// Names of requests.
    pub requests: NameTable,
    /// Names of engines.
    pub engines: NameTable,
    /// Keys of requests that may have to run in order.
    pub keys: NameTable,
}

/// Names with numbers, in the order of their first use.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    /// Returns the number of a name. A new name gets the next number.
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.known(name) {
            return number;
        }
        let number = self.names.len();
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Returns the number of a name that was used before.
    pub fn known(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Returns the name with a number. Panics if the number was not assigned.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }
}
