//! Identifiers and positions of the replicated log.
//!
//! Each is a newtype, so that a term can't be taken for an index. A replica is named by its id and
//! its incarnation: a replica that lost its state comes back under the same id with a higher
//! incarnation, and no promise of the earlier incarnation binds or counts for it.

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
    /// Names one replicated log among those that a process hosts.
    GroupId,
    u32
);
numeric_newtype!(
    /// Names a replica within its group, over all its incarnations.
    ReplicaId,
    u64
);
numeric_newtype!(
    /// A period with at most one leader; grows with each election.
    Term,
    u64
);
numeric_newtype!(
    /// A position in the log. The first entry has index 1; index 0 is the state before it.
    LogIndex,
    u64
);

impl Term {
    /// The term after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogIndex {
    /// The position after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one; index 0 is its own predecessor.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// One life of a replica: the same id with another incarnation has other memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaAddress {
    /// The replica.
    pub replica: ReplicaId,
    /// Which life of it. Must grow whenever the replica starts without its earlier state.
    pub incarnation: u64,
}

impl ReplicaAddress {
    /// Names one life of a replica.
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
