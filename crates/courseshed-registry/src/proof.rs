//! Proofs that a routing table version is current, issued by the controllers' leader to followers.
//!
//! Invariant: a proof of a given age shows that no newer version was acknowledged to anyone up to
//! that long ago. Each side measures from the time it sent its own request on its own clock.
//! Delays and pauses therefore only make proofs older, and clocks are never compared.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Offset of a follower's clock, which starts at 0 with its process: a proof may predate the
/// process.
const CLOCK_OFFSET: Duration = Duration::from_secs(3600);

/// Reply of a controller: until when a version was the newest acknowledged one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingProof {
    /// The version; `None` before the first.
    pub version: Option<u64>,
    /// Age of the confirmation when the request arrived, in milliseconds, rounded up.
    #[serde(rename = "before_question_ms")]
    pub age_at_request_ms: u64,
}

/// A version confirmed as the newest at a time of the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConfirmedVersion {
    at: Duration,
    version: Option<u64>,
}

/// Confirmations that a controller received from the leader, or issued under its own lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmations {
    newest: Option<ConfirmedVersion>,
}

impl Confirmations {
    /// Registers that a version was the newest at `at` or later. `at` must be the time of the
    /// request that was confirmed by a quorum or the leader's lease, not that of the reply.
    pub fn record(&mut self, at: Duration, version: Option<u64>) {
        if self.newest.is_none_or(|newest| newest.at < at) {
            self.newest = Some(ConfirmedVersion { at, version });
        }
    }

    /// The proof for a request that arrived at a time, if the local state is at least as new as
    /// confirmed.
    #[must_use]
    pub fn proof(&self, local_version: Option<u64>, arrived: Duration) -> Option<RoutingProof> {
        let newest = self.newest?;
        let age_at_request = arrived.saturating_sub(newest.at);
        (local_version >= newest.version).then(|| RoutingProof {
            version: local_version,
            age_at_request_ms: age_at_request.as_micros().div_ceil(1000) as u64,
        })
    }
}

/// The newest proof received by a follower.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatestProof {
    proven: Option<ConfirmedVersion>,
}

impl LatestProof {
    /// Registers a proof received in reply to a request sent at `asked_at`. Returns whether it is
    /// newer than the previous one.
    pub fn record(&mut self, asked_at: Duration, proof: &RoutingProof) -> bool {
        let age_at_request = Duration::from_millis(proof.age_at_request_ms);
        let Some(at) = (asked_at + CLOCK_OFFSET).checked_sub(age_at_request) else {
            return false;
        };
        let is_newer = self.proven.is_none_or(|proven| proven.at < at);
        if is_newer {
            self.proven = Some(ConfirmedVersion {
                at,
                version: proof.version,
            });
        }
        is_newer
    }

    /// Time since the local version was proven to be the newest; `None` if it was not.
    #[must_use]
    pub fn age(&self, now: Duration, local_version: Option<u64>) -> Option<Duration> {
        let proven = self.proven?;
        (local_version >= proven.version).then(|| (now + CLOCK_OFFSET).saturating_sub(proven.at))
    }
}
