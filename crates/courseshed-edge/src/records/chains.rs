//! Reads the chain of a turn: from one replica if it has all of it, else from the replicas of a quorum together.

use std::time::Duration;

use courseshed_records::{
    ChainAssembly, ChainError, ChainOutcome, ChainPart, ChainRest, PartitionId, RecordMember,
    RecordView, Turn,
};
use courseshed_routing::AllowedRegions;
use courseshed_types::{Distance, NodeId};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::client::{RecordClient, RecordsUnavailable, Step, WaitPolicy};
use crate::protocol::{ChainReading, RecordOperation, RecordReply};

/// Timeout for reading a chain from the nearest replica, after which all replicas are queried: many times what
/// a response takes (1 to 5 ms between zones), and a small part of the time that a turn has.
const NEAREST_REPLICA_TIMEOUT: Duration = Duration::from_millis(60);

/// The result of looking up a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLookup {
    /// The turn and its predecessors.
    Kept(StoredChain),
    /// The turn was never stored, or has expired.
    Unknown,
}

/// A turn with its predecessors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredChain {
    /// The partition of the chain, in which turns that continue it must be stored.
    pub partition: PartitionId,
    /// The turns, oldest first.
    pub turns: Vec<Turn>,
}

impl RecordClient {
    /// Reads a turn with its chain. Tries the partition first that the program's first turn is stored in, then all
    /// others, since the turn may belong to another program or have been received in another region.
    ///
    /// # Errors
    /// Returns [`RecordsUnavailable`] if the turn was not found, but a partition had no quorum to confirm its
    /// absence.
    pub async fn chain(
        &self,
        program: &str,
        id: &str,
        allowed_regions: &AllowedRegions,
        deadline: Instant,
    ) -> Result<ChainLookup, RecordsUnavailable> {
        let home = self
            .partition_for_new_program(program, allowed_regions)
            .unwrap_or_else(|| self.home_of(program));
        let home_lookup = self.chain_in(home, id, deadline).await?;
        if matches!(home_lookup, ChainLookup::Kept(_)) {
            return Ok(home_lookup);
        }
        let records = self.partitions();
        let partitions = records.views().map(|(partition, _)| partition);
        let mut lookups: FuturesUnordered<_> = partitions
            .filter(|partition| *partition != home)
            .map(|partition| self.chain_in(partition, id, deadline))
            .collect();
        let mut result = Ok(ChainLookup::Unknown);
        while let Some(lookup) = lookups.next().await {
            match lookup {
                Ok(ChainLookup::Kept(chain)) => return Ok(ChainLookup::Kept(chain)),
                Ok(ChainLookup::Unknown) => {}
                Err(unavailable) => result = Err(unavailable),
            }
        }
        result
    }

    /// Reads a chain from a partition: from the nearest replica, or from all if it is not complete there.
    async fn chain_in(
        &self,
        partition: PartitionId,
        id: &str,
        deadline: Instant,
    ) -> Result<ChainLookup, RecordsUnavailable> {
        let kept = |turns| ChainLookup::Kept(StoredChain { partition, turns });
        let records = self.partitions();
        let view = records.view(partition);
        if let Some(nearest) = self.nearest(view, id) {
            let operation = RecordOperation::Chain {
                id: id.to_owned(),
                reading: ChainReading::Whole,
            };
            let asked = self.query(partition, view, nearest, operation);
            if let Ok((_, Some(RecordReply::Chain(turns)))) =
                timeout(NEAREST_REPLICA_TIMEOUT, asked).await
            {
                return Ok(kept(turns));
            }
        }
        Ok(match self.assemble_chain(partition, id, deadline).await? {
            ChainOutcome::Complete(turns) => kept(turns),
            ChainOutcome::Unknown | ChainOutcome::AncestorLost(_) => ChainLookup::Unknown,
        })
    }

    /// Puts a chain together from the parts that the replicas of a partition have.
    async fn assemble_chain(
        &self,
        partition: PartitionId,
        id: &str,
        deadline: Instant,
    ) -> Result<ChainOutcome, RecordsUnavailable> {
        let began = Instant::now();
        let assembly = Mutex::new(ChainAssembly::new(id));
        let operation = part_of_chain(id);
        let policy = WaitPolicy::WhileEndExpected(deadline);
        let assembled = self.run_rounds(partition, &operation, policy, |view| {
            assembly.lock().start_round(view);
            |node, reply| next_step(&mut assembly.lock(), node, reply)
        });
        let assembled = assembled.await;
        let assembly = assembly.lock();
        let took_ms = began.elapsed().as_millis() as u64;
        let replies = assembly.replies();
        let missing = assembly.missing_at();
        match &assembled {
            Ok(ChainOutcome::Complete(turns)) if !missing.is_empty() => {
                self.metrics.chains_assembled.inc();
                let bytes: usize = turns.iter().map(Turn::content_bytes).sum();
                log::info!(event = "chain_assembled", turn = id, partition = partition.0, turns = turns.len(), bytes, replies, took_ms, missing:? = *missing; "a chain was read although replicas lack turns of it");
            }
            Ok(ChainOutcome::Complete(_) | ChainOutcome::Unknown) => {}
            Ok(ChainOutcome::AncestorLost(ancestor)) => {
                self.metrics.chains_lost.inc();
                log::error!(event = "chain_lost", turn = id, ancestor = ancestor.as_str(), partition = partition.0, replies, took_ms, missing:? = *missing; "all replicas lack an ancestor of a stored turn");
            }
            Err(_) => {
                log::warn!(event = "chain_undecided", turn = id, partition = partition.0, wanted = assembly.wanted(), replies, took_ms, missing:? = *missing; "the replicas' answers did not decide whether a turn is stored with its ancestors");
            }
        }
        assembled
    }

    /// The active replica of the own zone, else one of those at the smallest distance, selected by a hash of the
    /// turn's id to spread reads.
    fn nearest<'a>(&self, view: &'a RecordView, id: &str) -> Option<&'a RecordMember> {
        let distance = |member: &RecordMember| self.zones.distance(&self.zone, &member.zone);
        let nearest = view.active().map(distance).min()?;
        if nearest == Distance::SameZone {
            return view.active().find(|member| member.zone == self.zone);
        }
        let near: Vec<_> = view
            .active()
            .filter(|member| distance(member) == nearest)
            .collect();
        let index = xxh3_64(id.as_bytes()) as usize % near.len();
        near.get(index).copied()
    }
}

fn part_of_chain(id: &str) -> RecordOperation {
    RecordOperation::Chain {
        id: id.to_owned(),
        reading: ChainReading::Part,
    }
}

/// Adds a reply to a chain, and asks further replicas for what it lacks.
fn next_step(assembly: &mut ChainAssembly, node: NodeId, reply: RecordReply) -> Step<ChainOutcome> {
    let Some(part) = part_of(reply) else {
        return Step::Wait;
    };
    match assembly.on_part(node, part) {
        Some(outcome) => Step::Decided(outcome),
        None => {
            let nodes = assembly.next_requests();
            Step::Ask(nodes, Box::new(part_of_chain(assembly.wanted())))
        }
    }
}

/// The part of a chain in a reply; `None` if the reply says nothing of the chain. A store of an older version
/// returns a chain whole or not at all.
pub(super) fn part_of(reply: RecordReply) -> Option<ChainPart> {
    match reply {
        RecordReply::ChainPart(part) => Some(part),
        RecordReply::Chain(mut turns) => {
            turns.reverse();
            let rest = ChainRest::End;
            Some(ChainPart { turns, rest })
        }
        RecordReply::IncompleteChain(ChainError::Missing { id } | ChainError::Broken { id }) => {
            Some(ChainPart {
                turns: Vec::new(),
                rest: ChainRest::Missing(id),
            })
        }
        _ => None,
    }
}
