//! Counts messages and bytes by mechanism, so that the budget of control traffic can be measured and its parts
//! be told apart.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use parking_lot::RwLock;

use crate::protocol::{Mechanism, TrafficClass};

#[derive(Debug, Default)]
struct Counters {
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
    dropped_messages: AtomicU64,
}

/// Counters of a transport. Bytes are those of frames with their length prefix, without TCP/IP headers.
#[derive(Debug, Default)]
pub struct TrafficCounters(RwLock<BTreeMap<Mechanism, Arc<Counters>>>);

/// The values of a class or mechanism at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficSnapshot {
    /// Messages written to sockets.
    pub sent_messages: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages read from sockets.
    pub received_messages: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Messages dropped since a queue was full or a peer unknown.
    pub dropped_messages: u64,
}

impl TrafficSnapshot {
    fn add(&mut self, counters: &Counters) {
        self.sent_messages += counters.sent_messages.load(Ordering::Relaxed);
        self.sent_bytes += counters.sent_bytes.load(Ordering::Relaxed);
        self.received_messages += counters.received_messages.load(Ordering::Relaxed);
        self.received_bytes += counters.received_bytes.load(Ordering::Relaxed);
        self.dropped_messages += counters.dropped_messages.load(Ordering::Relaxed);
    }
}

impl TrafficCounters {
    /// The values of a class.
    pub fn snapshot(&self, class: TrafficClass) -> TrafficSnapshot {
        let mut sum = TrafficSnapshot::default();
        let mechanisms = self.0.read();
        let of_class = mechanisms.iter().filter(|(known, _)| known.class == class);
        of_class.for_each(|(_, counters)| sum.add(counters));
        sum
    }

    /// The values of every mechanism that was counted so far.
    pub fn by_mechanism(&self) -> BTreeMap<Mechanism, TrafficSnapshot> {
        let mechanisms = self.0.read();
        let values = mechanisms.iter().map(|(mechanism, counters)| {
            let mut sum = TrafficSnapshot::default();
            sum.add(counters);
            (*mechanism, sum)
        });
        values.collect()
    }

    pub(crate) fn count_sent(&self, mechanism: Mechanism, bytes: usize) {
        let counters = self.of(mechanism);
        counters.sent_messages.fetch_add(1, Ordering::Relaxed);
        counters
            .sent_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, mechanism: Mechanism, bytes: usize) {
        let counters = self.of(mechanism);
        counters.received_messages.fetch_add(1, Ordering::Relaxed);
        counters
            .received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_dropped(&self, mechanism: Mechanism) {
        self.of(mechanism)
            .dropped_messages
            .fetch_add(1, Ordering::Relaxed);
    }

    fn of(&self, mechanism: Mechanism) -> Arc<Counters> {
        if let Some(counters) = self.0.read().get(&mechanism) {
            return counters.clone();
        }
        self.0.write().entry(mechanism).or_default().clone()
    }
}
