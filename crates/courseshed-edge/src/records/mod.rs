//! Records of programs: the store that keeps them, and the client that reads and writes a quorum of stores.

mod ask_order;
mod catch_up;
mod client;
mod disk;
mod outages;
mod store;

pub use ask_order::{AskOrder, order_of_sources};
pub use client::{ChainLookup, RecordClient, RecordsUnavailable, Reservation, Settlement};
pub use courseshed_records::StoreLimits;
pub use outages::{Outages, Outlook};
pub use store::{StoreError, StoreSettings, start};
