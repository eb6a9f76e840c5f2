//! Identifiers and positions of the replicated log.
//!
//! A replica is identified by its ID and its incarnation. A replica that lost its state restarts with
//! the same ID and a higher incarnation; votes and acknowledgements of earlier incarnations are void.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! numeric_newtype {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl From<$inner> for $name {
            fn from(value: $inner) -> Self {
                Self(value)
            }
        }
    };
}

numeric_newtype!(
    /// Identifies a replication group.
    GroupId,
    u32
);
numeric_newtype!(
    /// Identifies a replica within its group, across incarnations.
    ReplicaId,
    u64
);
numeric_newtype!(
    /// An election term. Each term has at most one leader.
    Term,
    u64
);
numeric_newtype!(
    /// A position in the log. The first entry has index 1; index 0 is the initial state.
    LogIndex,
    u64
);

impl Term {
    /// The following term.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogIndex {
    /// The following index.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The preceding index; 0 for index 0.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// A specific incarnation of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaAddress {
    /// The replica's ID.
    pub replica: ReplicaId,
    /// The incarnation. Must increase whenever the replica starts without its earlier state.
    pub incarnation: u64,
}

impl ReplicaAddress {
    /// Creates an address.
    #[must_use]
    pub fn new(replica: ReplicaId, incarnation: u64) -> Self {
        Self {
            replica,
            incarnation,
        }
    }
}

impl fmt::Display for ReplicaAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.replica, self.incarnation)
    }
}
