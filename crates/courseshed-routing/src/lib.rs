//! The versioned routing table: which service a call belongs to, and within which limits.
//!
//! Operators replace the table whole. A table is checked before it is accepted ([`RoutingTable::check`]),
//! the highest version is the one in force, and a gateway never goes back to a lower one.
//! The crate does no I/O.

mod check;
mod home;
mod matching;
mod parts;
mod split;
mod table;
mod tenant;

pub use check::TableError;
pub use home::HomeRegions;
pub use parts::{
    MOST_ITEMS, PartsTaken, RecentTables, RoutePlace, TableAssembler, TableFrame, TableItem,
    TablePart,
};
pub use split::SplitCounter;
pub use table::{
    CallKind, CallLimits, EngineLimits, Route, RoutingTable, Service, Target, VersionedTable,
};
pub use tenant::{KeyDigest, RequestQuota, Tenant};
