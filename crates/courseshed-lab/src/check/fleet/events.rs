//! The queue of what will happen, in the order of virtual time.

use std::{cmp::Ordering, cmp::Reverse, collections::BinaryHeap, time::Duration};

use courseshed_types::NodeId;

use super::wire::{CallerId, Envelope};

/// What happens at one moment.
#[derive(Debug, Clone)]
pub enum Event {
    /// A message arrives.
    Deliver(Box<Envelope>),
    /// All processes look at their clocks.
    Tick,
    /// A node's view of who lives is brought up to date.
    ViewUpdate(NodeId),
    /// A caller goes on.
    Caller(CallerId),
    /// The next fault comes.
    Fault,
    /// All cut links work again.
    Reconnect,
    /// A killed or stopped node starts again.
    StartNode(NodeId),
    /// A frozen node goes on.
    ResumeNode(NodeId),
    /// A killed engine starts again.
    StartEngine(usize),
    /// An engine that hung or was slow is well again.
    MendEngine(usize),
    /// An engine that left comes back.
    ReturnEngine(usize),
    /// The ledger can be reached again.
    MendLedger,
}

#[derive(Debug)]
struct Scheduled {
    at: Duration,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events by time; those at the same time in the order they were scheduled.
#[derive(Debug, Default)]
pub struct Events {
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

impl Events {
    pub fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.queue.push(Reverse(Scheduled { at, number, event }));
    }

    pub fn next(&mut self) -> Option<(Duration, Event)> {
        let Reverse(scheduled) = self.queue.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
