//! Counts messages and bytes by class, so that the budget of control traffic can be measured.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::protocol::TrafficClass;

/// Counters of one class.
#[derive(Debug, Default)]
pub struct ClassCounters {
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
    dropped_messages: AtomicU64,
}

/// Counters of a transport. Bytes are those of frames with their length prefix, without TCP/IP headers.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    control: ClassCounters,
    data: ClassCounters,
    bulk: ClassCounters,
}

/// The values of one class at one moment.
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

impl TrafficCounters {
    /// The values of a class.
    pub fn snapshot(&self, class: TrafficClass) -> TrafficSnapshot {
        let counters = self.class(class);
        TrafficSnapshot {
            sent_messages: counters.sent_messages.load(Ordering::Relaxed),
            sent_bytes: counters.sent_bytes.load(Ordering::Relaxed),
            received_messages: counters.received_messages.load(Ordering::Relaxed),
            received_bytes: counters.received_bytes.load(Ordering::Relaxed),
            dropped_messages: counters.dropped_messages.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn count_sent(&self, class: TrafficClass, bytes: usize) {
        let counters = self.class(class);
        counters.sent_messages.fetch_add(1, Ordering::Relaxed);
        counters
            .sent_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, class: TrafficClass, bytes: usize) {
        let counters = self.class(class);
        counters.received_messages.fetch_add(1, Ordering::Relaxed);
        counters
            .received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_dropped(&self, class: TrafficClass) {
        self.class(class)
            .dropped_messages
            .fetch_add(1, Ordering::Relaxed);
    }

    fn class(&self, class: TrafficClass) -> &ClassCounters {
        match class {
            TrafficClass::Control => &self.control,
            TrafficClass::Data => &self.data,
            TrafficClass::Bulk => &self.bulk,
        }
    }
}
