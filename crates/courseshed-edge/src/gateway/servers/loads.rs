//! Calls in flight at servers: those of this gateway, and those that the other gateways report.

use std::time::Duration;

use courseshed_registry::{DecayingCounts, LoadReport};

use super::super::admission::ServiceLoad;
use super::{ServerStats, ServerTable};

/// How long load reports of other gateways stay valid.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);

impl ServerTable {
    /// The current calls of this gateway and the outcomes of past ones, for the other gateways.
    #[must_use]
    pub fn load_report(&self, now: Duration) -> LoadReport {
        let stats = self.stats.values();
        LoadReport::of(
            1,
            stats.map(|stats| (stats.key, stats.in_flight, stats.own_outcomes.at(now))),
        )
    }

    /// Applies the load report of the other gateways.
    pub fn apply_load_report(&mut self, others: &LoadReport, now: Duration) {
        for id in std::mem::take(&mut self.reported_ids) {
            if let Some(stats) = self.stats.get_mut(&id) {
                stats.other_calls = 0;
                stats.other_outcomes = DecayingCounts::default();
            }
        }
        for (key, (in_flight, counts)) in others.by_server() {
            let Some(id) = self.directory.by_key(key).map(|server| server.id.clone()) else {
                continue;
            };
            if let Some(stats) = self.stats_mut(&id) {
                stats.other_calls = in_flight;
                stats.other_outcomes = DecayingCounts::new(counts, now);
                self.reported_ids.push(id);
            }
        }
        self.load_reported_at = now;
        self.gateways = others.gateways + 1;
    }

    /// The load of each service on its servers that may receive calls.
    #[must_use]
    pub fn service_loads(&self, now: Duration) -> Vec<(String, ServiceLoad)> {
        let services = self.directory.services();
        let loads = services.map(|service| (service.to_owned(), self.service_load(service, now)));
        loads.collect()
    }

    pub(super) fn service_load(&self, service: &str, now: Duration) -> ServiceLoad {
        let usable = self
            .directory
            .servers(service)
            .filter(|server| self.is_eligible(server) && self.is_expected_warm(server, now));
        let estimate = self.latencies.get(service).copied().unwrap_or_default();
        let mut load = ServiceLoad {
            calls: 0,
            slots: 0,
            call_ms: estimate.latency().call_ms,
            age: now.saturating_sub(self.load_reported_at),
        };
        for server in usable {
            load.calls += self.stats.get(&server.id).map_or(0, ServerStats::calls);
            load.slots += server.slots;
        }
        load
    }

    /// This gateway's share of a limit that applies to all gateways together.
    #[must_use]
    pub fn share_of_limit(&self, limit: u32) -> u32 {
        (limit / self.gateways.max(1)).max(1)
    }

    /// Drops the calls reported by other gateways once the report has expired.
    pub fn expire_load_report(&mut self, now: Duration) {
        if now.saturating_sub(self.load_reported_at) < LOAD_REPORT_TTL {
            return;
        }
        for id in &self.reported_ids {
            if let Some(stats) = self.stats.get_mut(id) {
                stats.other_calls = 0;
            }
        }
    }

    /// Counts a call as in flight at a server.
    pub fn begin(&mut self, id: &str) {
        if let Some(stats) = self.stats_mut(id) {
            stats.in_flight += 1;
        }
    }

    /// Removes an in-flight call from a server.
    pub fn end(&mut self, id: &str) {
        if let Some(stats) = self.stats.get_mut(id) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }
}
