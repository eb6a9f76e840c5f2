//! How long accepted settings take until they are in force everywhere.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{NodeId, SettingsVersion, Timestamp};

/// The way of one version through the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpreadRecord {
    /// The version.
    pub version: SettingsVersion,
    /// When it was committed.
    pub accepted_at: Timestamp,
    /// When every node that serves and can be reached had it, or a newer one, in force.
    pub everywhere_at: Option<Timestamp>,
}

impl SpreadRecord {
    /// Time from accepted to in force everywhere.
    pub fn took(&self) -> Option<Duration> {
        let everywhere_at = self.everywhere_at?;
        Some(everywhere_at.since(self.accepted_at))
    }
}

/// Nodes that came back from a cut and lag behind.
#[derive(Debug, Clone)]
struct Returned {
    at: Timestamp,
    newest: SettingsVersion,
    nodes: Vec<NodeId>,
}

/// The versions under way.
#[derive(Debug, Default)]
pub(super) struct SpreadTracker {
    records: Vec<SpreadRecord>,
    first_unfinished: usize,
    in_force: BTreeMap<NodeId, SettingsVersion>,
    returned: Vec<Returned>,
    catch_ups: Vec<Duration>,
}

impl SpreadTracker {
    pub fn accepted(&mut self, version: SettingsVersion, now: Timestamp) {
        self.records.push(SpreadRecord {
            version,
            accepted_at: now,
            everywhere_at: None,
        });
    }

    /// A node serves with this version; `None` if it does not serve or can't be reached.
    pub fn set(&mut self, node: NodeId, version: Option<SettingsVersion>) {
        match version {
            Some(version) => {
                self.in_force.insert(node, version);
            }
            None => {
                self.in_force.remove(&node);
            }
        }
    }

    /// Nodes that were cut off can be reached again.
    pub fn returned(&mut self, nodes: Vec<NodeId>, newest: SettingsVersion, now: Timestamp) {
        self.returned.push(Returned {
            at: now,
            newest,
            nodes,
        });
    }

    /// Notes what is complete now.
    pub fn settle(&mut self, now: Timestamp) {
        self.settle_versions(now);
        self.settle_returned(now);
    }

    pub fn records(&self) -> &[SpreadRecord] {
        &self.records
    }

    /// How long nodes that were cut off took to have the settings that were in force when they came back.
    pub fn catch_ups(&self) -> &[Duration] {
        &self.catch_ups
    }

    /// Forgets finished versions, so that a warm-up does not count.
    pub fn clear(&mut self) {
        self.records.clear();
        self.first_unfinished = 0;
    }

    fn settle_versions(&mut self, now: Timestamp) {
        if self.first_unfinished == self.records.len() {
            return;
        }
        let Some(least) = self.in_force.values().min().copied() else {
            return;
        };
        while let Some(record) = self.records.get_mut(self.first_unfinished) {
            if record.version > least {
                return;
            }
            record.everywhere_at = Some(now);
            self.first_unfinished += 1;
        }
    }

    fn settle_returned(&mut self, now: Timestamp) {
        let in_force = &self.in_force;
        let catch_ups = &mut self.catch_ups;
        self.returned.retain(|returned| {
            let has_newest = |node: &NodeId| {
                let version = in_force.get(node);
                version.is_some_and(|version| *version >= returned.newest)
            };
            let is_complete = returned.nodes.iter().all(has_newest);
            if is_complete {
                catch_ups.push(now.since(returned.at));
            }
            !is_complete
        });
    }
}
