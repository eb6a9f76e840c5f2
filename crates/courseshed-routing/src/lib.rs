//! The versioned routing table, which maps calls to services and defines their limits.
//!
//! Operators replace the table as a whole. A new table is validated ([`RoutingTable::check`])
//! before it is accepted. The highest version is in force, and gateways never return to a lower
//! one. The crate does no I/O.

mod check;
mod home;
mod matching;
mod parts;
mod split;
mod table;
mod tenant;

pub use check::TableError;
pub use home::AllowedRegions;
pub use parts::{
    MAX_PART_ITEMS, RecentTables, RouteKey, TableAssembler, TableChange, TableGlobals, TablePart,
    TransferProgress,
};
pub use split::WeightedRoundRobin;
pub use table::{
    CallKind, CallLimits, EngineLimits, Route, RoutingTable, Service, Target, VersionedTable,
};
pub use tenant::{KeyDigest, RequestQuota, Tenant};
