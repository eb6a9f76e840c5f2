//! The settings lease of a node.

use std::time::Duration;

use courseshed_types::Timestamp;

/// State of a settings lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// No lease was granted since the start; the local settings may be arbitrarily old.
    Never,
    /// No version newer than the local one was accepted before the lease was granted.
    Valid,
    /// The lease has ended; a newer version may be in force elsewhere.
    Expired,
}

/// Settings lease, measured on the node's own clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SettingsLease {
    until: Option<Timestamp>,
}

impl SettingsLease {
    /// Extends the lease to `length` after the request was sent. A zero length grants no lease, and a lease that would
    /// end before the current one is ignored.
    pub fn extend(&mut self, requested_at: Timestamp, length: Duration) {
        if !length.is_zero() {
            self.until = self.until.max(Some(requested_at + length));
        }
    }

    /// End of the current or last lease; `None` before the first.
    pub fn until(&self) -> Option<Timestamp> {
        self.until
    }

    /// State of the lease at a given time.
    pub fn state(&self, now: Timestamp) -> LeaseState {
        match self.until {
            None => LeaseState::Never,
            Some(until) if now < until => LeaseState::Valid,
            Some(_) => LeaseState::Expired,
        }
    }

    /// Remaining duration of the lease.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.since(now))
    }
}
