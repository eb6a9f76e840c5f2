//! Framed MessagePack over TCP between the nodes of a fleet.
//!
//! A node opens one connection to each peer it talks to, and a second one for bulk (snapshots), so that a
//! heartbeat never waits behind a snapshot. Requests are correlated with their answers on the same connection.
//!
//! Invariants:
//! - A queue is bounded. A one-way message that finds it full is dropped and counted, a request fails.
//! - A request that fails says whether it was handed over ([`RequestError::verdict`]): not handed over means
//!   that the peer never saw it and never will; otherwise it may have been acted upon.
//! - Messages of one connection arrive in the order they were sent; nothing is promised over a reconnect.
//! - A message to the own node never touches a socket, but goes through the same handler.

mod backoff;
mod connection;
mod counters;
mod error;
mod frame;
mod listener;
mod protocol;
mod transport;

pub use backoff::Backoff;
pub use counters::{TrafficCounters, TrafficSnapshot};
pub use error::{RequestError, SendError, StartError};
pub use frame::{MAX_FRAME_BYTES, PROTOCOL_VERSION};
pub use protocol::{Handler, Mechanism, PeerIdentity, Protocol, ReplySender, TrafficClass};
pub use transport::{Transport, TransportSettings, TransportTiming};
