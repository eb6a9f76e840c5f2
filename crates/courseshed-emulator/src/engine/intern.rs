//! Numbers for names, as the engine model wants them.

use std::collections::HashMap;
use std::hash::Hash;

/// Gives each distinct name a number, counted from 0.
#[derive(Debug)]
pub(crate) struct Interner<T> {
    numbers: HashMap<T, u64>,
    names: Vec<T>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Interner {
            numbers: HashMap::new(),
            names: Vec::new(),
        }
    }
}

impl<T: Clone + Eq + Hash> Interner<T> {
    pub(crate) fn number(&mut self, name: &T) -> u64 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u64;
        self.numbers.insert(name.clone(), number);
        self.names.push(name.clone());
        number
    }

    pub(crate) fn name(&self, number: u64) -> Option<&T> {
        self.names.get(number as usize)
    }
}
