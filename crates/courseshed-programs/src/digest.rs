//! Digests of what callers sent, by which the same request sent again is told from a different one.
//!
//! Not cryptographic: a caller that finds a collision deceives only its own program.

use courseshed_types::{CallRequest, program::NewProgram};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// 128 bits of XXH3 over the MessagePack form of a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct BodyDigest {
    high: u64,
    low: u64,
}

impl BodyDigest {
    /// The digest of a call; `request.messages` must hold only the new messages.
    pub fn of_call(request: &CallRequest) -> BodyDigest {
        BodyDigest::of(request)
    }

    /// The digest of a program's description.
    pub fn of_program(program: &NewProgram) -> BodyDigest {
        BodyDigest::of(program)
    }

    fn of(value: &impl Serialize) -> BodyDigest {
        let bytes = rmp_serde::to_vec(value).unwrap_or_default();
        let hash = xxh3_128(&bytes);
        BodyDigest {
            high: (hash >> 64) as u64,
            low: hash as u64,
        }
    }
}
