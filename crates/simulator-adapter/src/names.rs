//! Tables that map the simulator's names to the numbers by which the scheduler identifies requests, engines and keys.

use std::collections::HashMap;

/// The names in the messages to one instance.
#[derive(Default)]
pub struct Names {
    /// Names of requests, which the simulator calls `ref`.
    pub requests: NameTable,
    /// Names of engines, including removed ones.
    pub engines: NameTable,
    /// Keys of requests that may have to run in order.
    pub keys: NameTable,
}

/// Names with numbers. Numbers are assigned from 0 in the order in which the names are first used.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    /// Returns the number of a name. A new name gets the next number.
    pub fn get_or_assign(&mut self, name: &str) -> usize {
        if let Some(number) = self.get(name) {
            return number;
        }
        let number = self.names.len();
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Returns the number of a name; `None` if the name was not used before.
    pub fn get(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Returns the name that has this number. Panics if the number was not assigned.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }
}
