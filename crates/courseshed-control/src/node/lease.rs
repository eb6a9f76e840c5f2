//! The settings lease of a node.

use std::time::Duration;

use courseshed_types::Timestamp;

/// Whether the settings may be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// No lease since the start: the settings at hand may be of any age.
    Never,
    /// No version newer than the one in force here was accepted before the lease was given.
    Valid,
    /// A newer version may be in force elsewhere.
    Expired,
}

/// Until when the settings may be relied on, by the node's own clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SettingsLease {
    until: Option<Timestamp>,
}

impl SettingsLease {
    /// Takes a lease of this length, counted from when it was asked for; a lease of no length is none, and one that
    /// ends earlier than the present one changes nothing.
    pub fn extend(&mut self, asked_at: Timestamp, length: Duration) {
        if !length.is_zero() {
            self.until = self.until.max(Some(asked_at + length));
        }
    }

    /// When the lease ends, or ended; none before the first.
    pub fn until(&self) -> Option<Timestamp> {
        self.until
    }

    /// The state at a time.
    pub fn state(&self, now: Timestamp) -> LeaseState {
        match self.until {
            None => LeaseState::Never,
            Some(until) if now < until => LeaseState::Valid,
            Some(_) => LeaseState::Expired,
        }
    }

    /// What is left of the lease.
    pub fn left(&self, now: Timestamp) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.since(now))
    }
}
