//! Requests that came to a leader while it had no lease, held until a quorum confirms that it still leads.
//!
//! Invariant: a request reaches the shard's logic only while this replica certainly leads, so that nothing is
//! answered from a state that another leader may have gone beyond.

use std::collections::BTreeMap;

use courseshed_consensus::{ReadId, ReadReady};
use courseshed_types::{
    NodeId,
    shard::{ShardReply, ShardRequest},
};

use crate::shards::input::PendingReply;

/// A request and where its answer goes.
#[derive(Debug)]
pub struct HeldRequest {
    /// The request.
    pub request: ShardRequest,
    /// Where its answer goes.
    pub reply: PendingReply,
}

/// Requests by the read barrier they wait for.
#[derive(Debug, Default)]
pub struct HeldRequests(BTreeMap<ReadId, HeldRequest>);

impl HeldRequests {
    /// Holds a request until its barrier is confirmed.
    pub fn hold(&mut self, barrier: ReadId, held: HeldRequest) {
        self.0.insert(barrier, held);
    }

    /// Takes the requests whose barriers were confirmed, in the order they came.
    pub fn release(&mut self, reads: &[ReadReady]) -> Vec<HeldRequest> {
        let confirmed = reads.iter().filter_map(|read| self.0.remove(&read.id));
        confirmed.collect()
    }

    /// Sends all away, since this replica does not lead any more.
    pub fn refuse_all(&mut self, leader: Option<NodeId>) {
        for held in std::mem::take(&mut self.0).into_values() {
            held.reply.send(ShardReply::NotLeader { leader });
        }
    }
}
