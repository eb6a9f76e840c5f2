//! What an observer who sees all replicas remembers, and the promises it checks.

use std::collections::BTreeMap;

use crate::{Entry, LogIndex, Peer, ReplicaAddress, Term};

/// A broken promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Violation {
    /// Two leaders in one term.
    TwoLeaders,
    /// Replicas commit different entries at one index.
    CommitsDiffer,
    /// A leader lacks an entry that was committed in an earlier term.
    LeaderLacksCommitted,
    /// A replica was asked to replace a committed entry.
    CommittedReplaced,
    /// A leader was elected after a restart while an earlier one might hold a lease.
    ElectedBeforeLeaseEnd,
    /// Two logs hold entries of the same index and term with different content.
    LogsDiffer,
}

impl Violation {
    pub(super) fn promise(self) -> &'static str {
        match self {
            Self::TwoLeaders => "a term has at most one leader",
            Self::CommitsDiffer => "all replicas commit the same entry at an index",
            Self::LeaderLacksCommitted => "a leader has every entry committed in earlier terms",
            Self::CommittedReplaced => "a committed entry is never replaced",
            Self::ElectedBeforeLeaseEnd => {
                "no election after a restart succeeds while a leader may hold a lease"
            }
            Self::LogsDiffer => "an index and a term name one entry",
        }
    }
}

/// A committed entry, and the term of the leader under which it was first seen committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CommittedEntry {
    entry: Entry,
    committed_in: Term,
}

/// All leaders and commits so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct History {
    leaders: BTreeMap<Term, ReplicaAddress>,
    committed: Vec<CommittedEntry>,
}

impl History {
    /// Takes in the state of a replica that has just taken a step.
    pub(super) fn observe(&mut self, peer: &Peer) -> Result<(), Violation> {
        if peer.is_halted() {
            return Err(Violation::CommittedReplaced);
        }
        if peer.is_leader() {
            self.observe_leader(peer)?;
        }
        self.observe_commits(peer)
    }

    fn observe_leader(&mut self, peer: &Peer) -> Result<(), Violation> {
        let known = self
            .leaders
            .entry(peer.term())
            .or_insert_with(|| peer.address());
        if *known != peer.address() {
            return Err(Violation::TwoLeaders);
        }
        let earlier = self
            .committed
            .iter()
            .filter(|committed| committed.committed_in < peer.term());
        let mut entries = earlier.map(|committed| &committed.entry);
        let has_all = entries.all(|entry| peer.entry(entry.index) == Some(entry));
        has_all.then_some(()).ok_or(Violation::LeaderLacksCommitted)
    }

    fn observe_commits(&mut self, peer: &Peer) -> Result<(), Violation> {
        for index in 1..=peer.commit_index().0 {
            let entry = peer
                .entry(LogIndex(index))
                .ok_or(Violation::CommitsDiffer)?;
            match self.committed.get(index as usize - 1) {
                Some(known) if known.entry != *entry => return Err(Violation::CommitsDiffer),
                Some(_) => {}
                None => self.committed.push(CommittedEntry {
                    entry: entry.clone(),
                    committed_in: peer.term(),
                }),
            }
        }
        Ok(())
    }
}

/// Whether the first replica was elected after a restart while the second may hold a lease of an
/// earlier term. Without time in the model, every established leader may.
pub(super) fn precedes_lease_end(elected: &Peer, other: &Peer) -> bool {
    elected.won_restart_election() && other.is_established() && other.term() < elected.term()
}

/// Checks that two logs agree wherever index and term are the same.
pub(super) fn logs_match(left: &Peer, right: &Peer) -> Result<(), Violation> {
    let mut index = LogIndex(1);
    while let (Some(one), Some(other)) = (left.entry(index), right.entry(index)) {
        if one.term == other.term && one != other {
            return Err(Violation::LogsDiffer);
        }
        index = index.next();
    }
    Ok(())
}
