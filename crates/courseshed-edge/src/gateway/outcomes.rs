//! Outlier detection: avoids servers that fail far more calls than the others of their service. No
//! I/O; the current time is passed in.
//!
//! Combines the outcomes seen by this gateway with those reported by the others; see
//! [`courseshed_registry::Avoidance`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_registry::{
    Avoidance, AvoidanceChange, OutcomeCounts, ProbeTurn, ServerAvailability, ServerState,
    advance_service,
};

use super::outcome_change::OutcomeChange;
use super::policy::Mechanism;
use super::servers::{CallReport, ServerStats, ServerTable};

/// Maximum number of servers without reported calls that count as healthy in the majority required
/// to avoid a server. More than one gateway ever sees fail at a time.
const MAX_UNREPORTED_SERVERS: usize = 64;

impl ServerTable {
    /// Re-evaluates the servers of all services that have failed calls.
    pub fn reevaluate_avoidance(&mut self, now: Duration) {
        let services: BTreeSet<String> = self
            .stats
            .values()
            .filter(|stats| stats.avoidance.is_active() || stats.outcomes(now).failed >= 1.0)
            .map(|stats| stats.server.service.clone())
            .collect();
        for service in services {
            self.reevaluate_service(&service, now);
        }
    }

    fn reevaluate_service(&mut self, service: &str, now: Duration) {
        if !self.policy.uses(Mechanism::SharedOutcomes) {
            return;
        }
        let listed = self.directory.count(service);
        let tracked = self.stats.values();
        let tracked = tracked.filter(|stats| stats.server.service == service);
        let unreported = listed.saturating_sub(tracked.count());
        let mut ids = Vec::new();
        let mut evaluated: Vec<(&mut Avoidance, OutcomeCounts)> = Vec::new();
        for (id, stats) in &mut self.stats {
            if stats.server.service == service && stats.server.state == ServerState::Ready {
                let counts = stats.outcomes(now);
                let calls = stats.calls();
                stats.avoidance.set_in_flight(calls);
                ids.push((id, counts));
                evaluated.push((&mut stats.avoidance, counts));
            }
        }
        let mut untracked = vec![Avoidance::default(); unreported.min(MAX_UNREPORTED_SERVERS)];
        let unreported = untracked.iter_mut();
        evaluated.extend(unreported.map(|avoidance| (avoidance, OutcomeCounts::default())));
        let changes = advance_service(&mut evaluated, now);
        let counts_age = now.saturating_sub(self.load_reported_at);
        for ((id, counts), change) in ids.into_iter().zip(changes) {
            self.changes.extend(change.map(|change| OutcomeChange {
                server: id.clone(),
                service: service.to_owned(),
                change,
                counts,
                counts_age,
            }));
        }
        self.reset_backoff_of_trusted();
        self.update_avoided_ids(service);
    }

    fn update_avoided_ids(&mut self, service: &str) {
        for (id, stats) in &self.stats {
            if stats.server.service != service {
                continue;
            }
            if stats.avoidance.is_active() {
                self.avoided_ids.insert(id.clone());
            } else {
                self.avoided_ids.remove(id);
            }
        }
    }

    /// Resets the backoff of servers that have passed their probes.
    fn reset_backoff_of_trusted(&mut self) {
        for change in &self.changes {
            if change.change == AvoidanceChange::Ended
                && let Some(stats) = self.stats.get_mut(&change.server)
            {
                stats.reset_backoff();
            }
        }
    }

    /// Re-evaluates the service of a server if the report can change the result.
    pub fn reevaluate_after(&mut self, id: &str, report: CallReport, now: Duration) {
        let Some(stats) = self.stats.get(id) else {
            return;
        };
        let may_change = match report {
            CallReport::ServerError | CallReport::Failed => true,
            CallReport::Answered => stats.avoidance.is_active(),
            CallReport::Latency(_) | CallReport::Rejected => false,
        };
        if may_change {
            let service = stats.server.service.clone();
            self.reevaluate_service(&service, now);
        }
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<OutcomeChange> {
        std::mem::take(&mut self.changes)
    }

    /// Number of avoided servers of each service, including zeros.
    #[must_use]
    pub fn avoided(&self) -> BTreeMap<String, usize> {
        let services = self.directory.services();
        let mut avoided: BTreeMap<String, usize> =
            services.map(|service| (service.to_owned(), 0)).collect();
        for stats in self.stats.values() {
            let number = avoided.entry(stats.server.service.clone()).or_default();
            *number += usize::from(stats.avoidance.is_active());
        }
        avoided
    }

    /// Records that a request is sent to a server.
    pub fn record_sent(&mut self, id: &str, now: Duration) {
        if let Some(stats) = self.stats_mut(id) {
            stats.avoidance.record_sent(now);
        }
    }

    /// Whether this gateway may send calls to a server.
    pub(super) fn availability(&self, stats: &ServerStats, now: Duration) -> ServerAvailability {
        let turn = ProbeTurn {
            seed: self.seed ^ u64::from(stats.key.0),
            gateways: self.gateways,
            calls: stats.calls(),
        };
        stats.avoidance.availability(turn, now)
    }
}

impl ServerStats {
    /// Outcomes of the calls of all known gateways.
    fn outcomes(&self, now: Duration) -> OutcomeCounts {
        let own = self.own_outcomes.at(now);
        own.plus(&self.other_outcomes.at(now))
    }
}
