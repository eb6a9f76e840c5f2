//! The queue of what will happen, in the order of virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::clients::{Answer, ClientId, Operation};
use crate::{Message, ReplicaId};

/// What happens at one moment.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A message arrives.
    Deliver(Message),
    /// A process looks at its clock. Void if the process was restarted since.
    Tick { replica: ReplicaId, life: u64 },
    /// A process writes, applies and sends. Void if the process was restarted since.
    Flush { replica: ReplicaId, life: u64 },
    /// A client asks for something.
    Ask(ClientId),
    /// A client's request arrives at a replica.
    Arrive {
        replica: ReplicaId,
        operation: Operation,
    },
    /// A client gets its answer.
    Answered {
        operation: Operation,
        answer: Answer,
    },
    /// A client waits no longer.
    GiveUp(Operation),
    /// The next fault comes.
    Fault,
    /// A link between two replicas works again.
    Reconnect,
    /// A killed process starts again. Void if it was started since.
    Start { replica: ReplicaId, life: u64 },
    /// A frozen process goes on.
    Resume { replica: ReplicaId, life: u64 },
    /// Machines are lost.
    Loss,
    /// A machine is gone for good.
    Remove(ReplicaId),
    /// A machine looks whether it is a voter, and asks to be admitted if not.
    Join(ReplicaId),
    /// All links work again.
    Heal,
    /// A disk works again.
    MendDisk(ReplicaId),
}

#[derive(Debug)]
struct Scheduled {
    at: Duration,
    number: u64,
    event: Event,
}

impl Scheduled {
    fn order(&self) -> (Duration, u64) {
        (self.at, self.number)
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.order().cmp(&other.order())
    }
}

/// Events by time; those at the same time in the order they were scheduled.
#[derive(Debug, Default)]
pub(super) struct Events {
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

impl Events {
    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.queue.push(Reverse(Scheduled { at, number, event }));
    }

    /// The next event, if it comes before `end`.
    pub(super) fn next_before(&mut self, end: Duration) -> Option<(Duration, Event)> {
        if self.queue.peek()?.0.at >= end {
            return None;
        }
        let Reverse(scheduled) = self.queue.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
