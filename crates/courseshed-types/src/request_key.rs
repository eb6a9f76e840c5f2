//! A key that ties the attempts of a client at one request together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a request across the attempts of its client, whatever gateways receive them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestKey(pub u64);

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
