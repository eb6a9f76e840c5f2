//! The gateway role: callers' HTTP interface and token streams.
//!
//! A gateway keeps nothing that matters: any gateway serves any caller, and a stream resumes from the shard's
//! record and the engine's copy. Calls run in tasks of their own, so that a caller who goes away stops nothing.

mod auth;
mod branches;
mod call;
mod calls;
mod completions;
mod documents;
mod driver;
mod error;
mod events;
mod parse;
mod programs;
mod reader;
mod routes;
mod sse;
mod streams;

pub use auth::{Caller, authenticate, is_operator, sees_branches, sha256_hex};
pub use documents::ProgramDocument;
pub use error::{ApiError, unknown_path};
pub use routes::{GatewayWorker, configure};
pub use streams::StreamReporter;

use std::sync::atomic::{AtomicBool, Ordering};

use branches::BranchCache;
use streams::{ActiveCalls, StreamRegistry};

/// The tables of a gateway.
#[derive(Default)]
pub struct GatewayState {
    /// Branches of programs seen.
    branches: BranchCache,
    /// Attempts whose streams this gateway runs.
    streams: StreamRegistry,
    /// Calls under way.
    calls: ActiveCalls,
    /// Whether the node was ready to serve once.
    was_ready: AtomicBool,
}

impl GatewayState {
    /// Whether the node was ready to serve once.
    pub fn has_been_ready(&self) -> bool {
        self.was_ready.load(Ordering::Relaxed)
    }

    /// Notes that the node is ready to serve.
    pub fn note_ready(&self) {
        self.was_ready.store(true, Ordering::Relaxed);
    }

    /// Attempts whose streams run here.
    pub fn streams(&self) -> usize {
        self.streams.len()
    }

    /// Calls under way.
    pub fn active_calls(&self) -> usize {
        self.calls.count()
    }

    /// Streams that callers are still reading.
    pub fn open_bodies(&self) -> usize {
        self.calls.open_bodies()
    }
}
