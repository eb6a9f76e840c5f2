//! Watches from outside that the promises of settings hold on every node.

use std::{collections::BTreeMap, fmt, time::Duration};

use courseshed_types::{NodeId, SettingsVersion, Timestamp};
use serde::Serialize;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Violation {
    /// A node acted on an older version than it, or an earlier start of it, had acted on.
    WentBack {
        /// The node.
        node: NodeId,
        /// What it had acted on.
        from: SettingsVersion,
        /// What it acts on now.
        to: SettingsVersion,
    },
    /// A node with a valid lease acts on a version although a newer one was accepted longer ago than a lease lasts.
    StaleLease {
        /// The node.
        node: NodeId,
        /// What it acts on.
        version: SettingsVersion,
        /// When the next version was accepted.
        superseded_at: Timestamp,
        /// When it was seen.
        seen_at: Timestamp,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::WentBack { node, from, to } => {
                write!(
                    formatter,
                    "node {node} went back from version {from} to {to}"
                )
            }
            Violation::StaleLease {
                node,
                version,
                superseded_at,
                seen_at,
            } => write!(
                formatter,
                "node {node} holds a lease on version {version} {:?} after it was superseded",
                seen_at.since(*superseded_at)
            ),
        }
    }
}

/// What was accepted when, and what nodes acted on.
#[derive(Debug)]
pub(super) struct PromiseWatch {
    longest_lease: Duration,
    accepted: BTreeMap<SettingsVersion, Timestamp>,
    acted_on: BTreeMap<NodeId, SettingsVersion>,
    violations: Vec<Violation>,
}

impl PromiseWatch {
    pub fn new(longest_lease: Duration) -> PromiseWatch {
        PromiseWatch {
            longest_lease,
            accepted: BTreeMap::new(),
            acted_on: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// A version was committed; whether this is news.
    pub fn note_accepted(&mut self, version: SettingsVersion, now: Timestamp) -> bool {
        let is_new = !self.accepted.contains_key(&version);
        self.accepted.entry(version).or_insert(now);
        is_new
    }

    pub fn newest(&self) -> SettingsVersion {
        let newest = self.accepted.keys().next_back();
        newest.copied().unwrap_or_default()
    }

    /// A node with a valid lease acts on a version now.
    pub fn observe(&mut self, node: NodeId, version: SettingsVersion, now: Timestamp) {
        let before = self.acted_on.entry(node).or_insert(version);
        if version < *before {
            self.violations.push(Violation::WentBack {
                node,
                from: *before,
                to: version,
            });
        }
        *before = (*before).max(version);
        let next = SettingsVersion(version.0 + 1);
        let superseded = self.accepted.range(next..).next();
        if let Some((_, superseded_at)) = superseded
            && now.since(*superseded_at) > self.longest_lease
        {
            self.violations.push(Violation::StaleLease {
                node,
                version,
                superseded_at: *superseded_at,
                seen_at: now,
            });
        }
    }
}
