//! Incremental transfer of routing tables in bounded parts.
//!
//! Tables are replaced as a whole, but usually differ from the previous version in a few routes.
//! Sending only the changes avoids filling the followers' links with unchanged routes.
//!
//! Invariants: a version is assembled only from all of its parts, and then equals the original
//! except for the order of routes and tenants. A part has at most [`MAX_PART_ITEMS`] items, so that
//! it arrives before the request for it times out. Controllers that have the same two versions
//! produce the same parts, so a follower may fetch the next part from another controller.

mod assembler;
mod delta;
mod recent;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use assembler::TableAssembler;
pub use recent::RecentTables;

use crate::{CallLimits, Route, Service, Tenant};

/// Maximum number of routes and tenants in one part.
pub const MAX_PART_ITEMS: usize = 128;

/// Host and path prefix, which identify a route within a table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host of the route.
    pub host: String,
    /// Path prefix of the route.
    pub path_prefix: String,
}

/// A difference between two tables.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TableChange {
    /// Adds or replaces a route.
    #[serde(rename = "Route")]
    PutRoute(Arc<Route>),
    /// Removes a route.
    #[serde(rename = "NoRoute")]
    RemoveRoute(RouteKey),
    /// Adds or replaces a tenant.
    #[serde(rename = "Tenant")]
    PutTenant(Arc<Tenant>),
    /// Removes a tenant, given its name.
    #[serde(rename = "NoTenant")]
    RemoveTenant(String),
}

/// Contents of a table that are transferred as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableGlobals {
    /// The services.
    pub services: Vec<Service>,
    /// Limits on callers' requests.
    pub limits: CallLimits,
    /// Whether calls need keys.
    pub has_tenants: bool,
}

/// A part of the difference between two versions of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TablePart {
    /// The version that the changes apply to; none for an empty table.
    pub base: Option<u64>,
    /// The version that results from all parts.
    pub version: u64,
    /// Number of items in the preceding parts.
    #[serde(rename = "first")]
    pub offset: u32,
    /// Items of this part, in an order that is the same for all controllers.
    pub items: Vec<TableChange>,
    /// Remaining contents of the table; only in the last part.
    #[serde(rename = "frame")]
    pub globals: Option<TableGlobals>,
}

/// A follower's progress in receiving the parts of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferProgress {
    /// The version that the changes apply to; none for an empty table.
    pub base: Option<u64>,
    /// The version that results from all parts.
    pub version: u64,
    /// Number of items received.
    pub items: u32,
}

/// An element of a table that is identified by a unique key.
trait Keyed: PartialEq {
    /// Type of the key.
    type Key: Clone + Eq + std::hash::Hash;

    fn key(&self) -> Self::Key;

    /// The change that adds or replaces the element.
    fn replacement(item: Arc<Self>) -> TableChange;

    /// The change that removes the element.
    fn removal(key: Self::Key) -> TableChange;
}

impl Keyed for Route {
    type Key = RouteKey;

    fn key(&self) -> RouteKey {
        RouteKey {
            host: self.host.clone(),
            path_prefix: self.path_prefix.clone(),
        }
    }

    fn replacement(item: Arc<Self>) -> TableChange {
        TableChange::PutRoute(item)
    }

    fn removal(key: RouteKey) -> TableChange {
        TableChange::RemoveRoute(key)
    }
}

impl Keyed for Tenant {
    type Key = String;

    fn key(&self) -> String {
        self.name.clone()
    }

    fn replacement(item: Arc<Self>) -> TableChange {
        TableChange::PutTenant(item)
    }

    fn removal(key: String) -> TableChange {
        TableChange::RemoveTenant(key)
    }
}

/// Compares two elements, without a deep comparison if they are the same allocation.
fn is_equal<T: PartialEq>(left: &Arc<T>, right: &Arc<T>) -> bool {
    Arc::ptr_eq(left, right) || left == right
}
