//! Proof that a routing table is the newest, handed from the controllers' leader to gateways. Pure.
//!
//! Invariant: a proof of some age tells that, so long ago, no newer version had been acknowledged to
//! anyone. Each side counts from when it sent its own question, on its own clock, so delays and
//! freezes only ever make a proof older, and no two clocks are compared.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Added to a follower's clock, which starts with its process: proofs may be older than that.
const BEFORE_START: Duration = Duration::from_secs(3600);

/// What a controller answers: until when a version was surely the newest that was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingProof {
    /// The version; none before the first.
    pub version: Option<u64>,
    /// How long before the question arrived, in milliseconds, rounded up.
    pub before_question_ms: u64,
}

/// A moment, on the clock of whoever keeps it, at which a version was the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NewestAt {
    at: Duration,
    version: Option<u64>,
}

/// What a controller has had confirmed by the leader, or under its own lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmations {
    newest: Option<NewestAt>,
}

impl Confirmations {
    /// Notes that a version was the newest at a time or later: that of the question which a quorum or
    /// the leader's lease stands behind, not that of its answer.
    pub fn note(&mut self, at: Duration, version: Option<u64>) {
        if self.newest.is_none_or(|newest| newest.at < at) {
            self.newest = Some(NewestAt { at, version });
        }
    }

    /// The proof for a question that arrived at a time, if the state held is as new as was confirmed.
    #[must_use]
    pub fn proof(&self, held: Option<u64>, arrived: Duration) -> Option<RoutingProof> {
        let newest = self.newest?;
        let before_question = arrived.saturating_sub(newest.at);
        (held >= newest.version).then(|| RoutingProof {
            version: held,
            before_question_ms: before_question.as_micros().div_ceil(1000) as u64,
        })
    }
}

/// The newest proof that a follower was given.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProofKeeper {
    proven: Option<NewestAt>,
}

impl ProofKeeper {
    /// Takes in a proof that came with the answer to a question asked at a time; whether it is newer
    /// than the one before.
    pub fn note(&mut self, asked_at: Duration, proof: &RoutingProof) -> bool {
        let before_question = Duration::from_millis(proof.before_question_ms);
        let Some(at) = (asked_at + BEFORE_START).checked_sub(before_question) else {
            return false;
        };
        let is_newer = self.proven.is_none_or(|proven| proven.at < at);
        if is_newer {
            self.proven = Some(NewestAt {
                at,
                version: proof.version,
            });
        }
        is_newer
    }

    /// How long ago the version held was proven to be the newest; none if it never was.
    #[must_use]
    pub fn age(&self, now: Duration, held: Option<u64>) -> Option<Duration> {
        let proven = self.proven?;
        (held >= proven.version).then(|| (now + BEFORE_START).saturating_sub(proven.at))
    }
}
