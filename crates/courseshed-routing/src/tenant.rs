//! Tenants: who may call, by which keys, and how often.
//!
//! A key itself is never kept here, only its digest, so that neither a dump of a gateway's memory nor
//! a log line gives a key away.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::RoutingTable;

/// The SHA-256 digest of a tenant's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Whether both are of the same key; takes the same time whatever they hold.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// How many requests of a tenant may be sent to servers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestQuota {
    /// Requests a second, in the long run.
    pub rate_per_s: f64,
    /// Requests beyond that which may come at once.
    pub burst: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which servers are told.
    pub name: String,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Its rank, which goes before that of a route; 0 is served first.
    pub priority: Option<u32>,
    /// How often it may call; none if it isn't limited.
    pub quota: Option<RequestQuota>,
    /// Regions to which serving its calls and keeping what they say is restricted; none if it isn't.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

impl RoutingTable {
    /// The tenant that holds a key; none if nobody does.
    ///
    /// Looks at all keys, found or not: some 20 ns each, so 20 us for a thousand.
    #[must_use]
    pub fn tenant_of(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        let mut found = None;
        for tenant in self.tenants.iter().flatten() {
            for held in &tenant.keys {
                if held.is_same(key) {
                    found = Some(tenant);
                }
            }
        }
        found
    }

    /// The tenant of a name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        let mut tenants = self.tenants.iter().flatten();
        tenants.find(|tenant| tenant.name == name)
    }
}
