//! Records of programs: the store, and the client that reads and writes a quorum of stores.

mod catch_up;
mod chains;
mod client;
mod disk;
mod outages;
mod query_order;
mod repair;
mod replica_client;
mod requests;
mod resync;
mod store;
mod stream_attempts;
mod stream_versions;

pub use chains::{ChainLookup, StoredChain};
pub use client::{RecordClient, RecordsUnavailable, Reservation, Settlement};
pub use courseshed_records::StoreLimits;
pub use outages::{OutageDecision, Outages};
pub use query_order::{QueryOrder, order_of_sources};
pub use store::{StoreError, StoreSettings, start};
pub use stream_attempts::{AttemptLookup, OutputKeeper};
pub use stream_versions::StreamVersionLookup;
