//! What the model reports as time advances.

use crate::request::{ProgramKey, RequestKey};
use crate::transfer::TransferKind;
use std::time::Duration;

/// One thing that happened in the engine.
///
/// Tokens are reported in runs, at most one run a request for each call of
/// [`crate::EngineModel::advance`] and one more when it is preempted or finishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The request left the queue and its prompt is being computed.
    Started {
        /// The request.
        request: RequestKey,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
        /// When.
        at: Duration,
    },
    /// The first token is there.
    FirstToken {
        /// The request.
        request: RequestKey,
        /// When.
        at: Duration,
    },
    /// A run of tokens was generated since the last report.
    Tokens {
        /// The request.
        request: RequestKey,
        /// Index of the first token of the run, from 0.
        first_index: u32,
        /// Tokens in the run.
        count: u32,
        /// When the last of them was generated.
        at: Duration,
    },
    /// All tokens are generated and the request's memory is released.
    Finished {
        /// The request.
        request: RequestKey,
        /// Prompt tokens that were found in the cache when it first started.
        cached_tokens: u32,
        /// When.
        at: Duration,
    },
    /// The request lost its memory to another and waits again; its tokens are kept.
    Preempted {
        /// The request.
        request: RequestKey,
        /// When.
        at: Duration,
    },
    /// A lease ran out.
    LeaseExpired {
        /// Its holder.
        program: ProgramKey,
        /// When.
        at: Duration,
    },
    /// A lease was broken, since a waiting request could not run otherwise.
    LeaseBroken {
        /// Its holder.
        program: ProgramKey,
        /// When.
        at: Duration,
    },
    /// An export or import ended.
    Transferred {
        /// The number from the ticket.
        transfer: u64,
        /// Which way.
        kind: TransferKind,
        /// Blocks moved.
        blocks: usize,
        /// When.
        at: Duration,
    },
}
