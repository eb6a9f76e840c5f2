//! The client of model engines: calls, streams, events, leases and fenced orders.
//!
//! One [`EngineConnector`] serves a single-threaded runtime and keeps its pool of connections;
//! [`EngineConnector::engine`] gives the client of one engine. The protocol is described in
//! `docs/design/engine-protocol.md` and its messages stand in [`protocol`].
//!
//! Invariants:
//! - nothing is ever sent twice: no redirects, no retries;
//! - every error says whether the request may have run ([`EngineError::verdict`]), and says "not
//!   run" only if no byte of it was sent or the engine itself said so;
//! - the events of a stream come in order, each offset once, whatever the engine repeats.

mod client;
mod error;
pub mod protocol;
mod stream;
mod timeouts;

pub use client::{EngineClient, EngineConnector};
pub use error::EngineError;
pub use stream::{EngineStream, StreamEvent, StreamFinish};
pub use timeouts::EngineTimeouts;
