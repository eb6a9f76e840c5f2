//! Small numbers for values that recur in many states, so that a state is a few words.

use std::collections::HashMap;
use std::hash::Hash;
use std::marker::PhantomData;
use std::rc::Rc;

/// The number of an interned value.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Id<T> {
    number: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Clone for Id<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Id<T> {}

/// Values, each stored once.
#[derive(Debug)]
pub(super) struct Interner<T> {
    values: Vec<Rc<T>>,
    numbers: HashMap<Rc<T>, u32>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self {
            values: Vec::new(),
            numbers: HashMap::new(),
        }
    }
}

impl<T: Hash + Eq> Interner<T> {
    pub(super) fn id(&mut self, value: T) -> Id<T> {
        let value = Rc::new(value);
        let next = u32::try_from(self.values.len()).expect("fewer than 2^32 values");
        let number = *self.numbers.entry(Rc::clone(&value)).or_insert(next);
        if number == next {
            self.values.push(value);
        }
        Id {
            number,
            kind: PhantomData,
        }
    }

    pub(super) fn get(&self, id: Id<T>) -> Rc<T> {
        Rc::clone(&self.values[id.number as usize])
    }
}
