//! The software versions that a service has been seen to run. Pure; the time is passed in.
//!
//! A client that doesn't name the request that began its stream can be served only if no other version
//! can have begun it. The cost of a list change is that of the change, whatever the size of the service.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_registry::{ListChange, Server};

#[derive(Clone, Debug, Default)]
struct VersionCounts {
    /// Listed servers, in any state, by version; `None` for those that report none.
    servers: BTreeMap<Option<String>, usize>,
    /// When a version last appeared or disappeared.
    changed_at: Duration,
}

/// The versions of each service's listed servers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceVersions {
    services: BTreeMap<String, VersionCounts>,
}

impl ServiceVersions {
    /// Applies a change of the server list.
    pub(super) fn apply(&mut self, change: &ListChange, now: Duration) {
        match change {
            ListChange::Added(server) => self.add(server, now),
            ListChange::Changed { before, now: after } => {
                let is_same = before.service == after.service
                    && before.software_version == after.software_version;
                if !is_same {
                    self.add(after, now);
                    self.remove(before, now);
                }
            }
            ListChange::Removed(server) => self.remove(server, now),
        }
    }

    /// The only version that a service has run for at least `period`.
    pub(super) fn sole_version(
        &self,
        service: &str,
        now: Duration,
        period: Duration,
    ) -> Option<&str> {
        let counts = self.services.get(service)?;
        let mut versions = counts.servers.keys();
        let (Some(Some(version)), None) = (versions.next(), versions.next()) else {
            return None;
        };
        let is_settled = now.saturating_sub(counts.changed_at) >= period;
        is_settled.then_some(version)
    }

    fn add(&mut self, server: &Server, now: Duration) {
        let counts = self.services.entry(server.service.clone()).or_default();
        let version = server.software_version.clone();
        let servers = counts.servers.entry(version).or_default();
        *servers += 1;
        if *servers == 1 {
            counts.changed_at = now;
        }
    }

    fn remove(&mut self, server: &Server, now: Duration) {
        let Some(counts) = self.services.get_mut(&server.service) else {
            return;
        };
        let Some(servers) = counts.servers.get_mut(&server.software_version) else {
            return;
        };
        *servers -= 1;
        if *servers == 0 {
            counts.servers.remove(&server.software_version);
            counts.changed_at = now;
        }
    }
}
