//! The queue of events in virtual time.

use std::{cmp::Ordering, collections::BinaryHeap};

use courseshed_types::Timestamp;

/// An event and when it happens; the earliest is the greatest, so that a max-heap gives it first.
struct Due<E> {
    at: Timestamp,
    number: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events in order of time; those of one time in the order they were added.
pub(super) struct EventQueue<E> {
    now: Timestamp,
    next_number: u64,
    heap: BinaryHeap<Due<E>>,
}

impl<E> EventQueue<E> {
    pub(super) fn new() -> EventQueue<E> {
        EventQueue {
            now: Timestamp::ZERO,
            next_number: 0,
            heap: BinaryHeap::new(),
        }
    }

    /// The time of the last event taken.
    pub(super) fn now(&self) -> Timestamp {
        self.now
    }

    /// Adds an event; one in the past happens now.
    pub(super) fn add(&mut self, at: Timestamp, event: E) {
        let number = self.next_number;
        self.next_number += 1;
        let at = at.max(self.now);
        self.heap.push(Due { at, number, event });
    }

    /// Takes the next event, unless it happens after `end`.
    pub(super) fn take(&mut self, end: Timestamp) -> Option<E> {
        if self.heap.peek()?.at > end {
            return None;
        }
        let due = self.heap.pop()?;
        self.now = due.at;
        Some(due.event)
    }
}
