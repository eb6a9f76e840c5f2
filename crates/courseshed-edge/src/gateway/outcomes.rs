//! Outlier detection: avoids servers that fail far more calls than the others of their service. No
//! I/O; the current time is passed in.
//!
//! Combines the outcomes seen by this gateway with those reported by the others; see
//! [`courseshed_registry::Avoidance`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_registry::{
    Avoidance, AvoidanceChange, OutcomeCounts, ProbeTurn, ServerState, Standing, advance_service,
};

use super::outcome_change::OutcomeChange;
use super::policy::Mechanism;
use super::servers::{Report, Seen, ServerTable};

/// Maximum number of servers without reported calls that count as healthy in the majority required
/// to avoid a server.
const MOST_SILENT: usize = 64;

impl ServerTable {
    /// Re-evaluates the servers of all services that have failed calls.
    pub fn advance_outcomes(&mut self, now: Duration) {
        let services: BTreeSet<String> = self
            .seen
            .values()
            .filter(|seen| seen.avoidance.is_on() || seen.outcomes(now).failed >= 1.0)
            .map(|seen| seen.server.service.clone())
            .collect();
        for service in services {
            self.advance_outcomes_of(&service, now);
        }
    }

    fn advance_outcomes_of(&mut self, service: &str, now: Duration) {
        if !self.policy.uses(Mechanism::SharedOutcomes) {
            return;
        }
        let listed = self.directory.count(service);
        let seen_here = self.seen.values();
        let seen_here = seen_here.filter(|seen| seen.server.service == service);
        let silent = listed.saturating_sub(seen_here.count());
        let mut ids = Vec::new();
        let mut judged: Vec<(&mut Avoidance, OutcomeCounts)> = Vec::new();
        for (id, seen) in &mut self.seen {
            if seen.server.service == service && seen.server.state == ServerState::Ready {
                let counts = seen.outcomes(now);
                let calls = seen.calls();
                seen.avoidance.note_calls(calls);
                ids.push((id, counts));
                judged.push((&mut seen.avoidance, counts));
            }
        }
        let mut unseen = vec![Avoidance::default(); silent.min(MOST_SILENT)];
        let silent = unseen.iter_mut();
        judged.extend(silent.map(|avoidance| (avoidance, OutcomeCounts::default())));
        let changes = advance_service(&mut judged, now);
        let counts_age = now.saturating_sub(self.others_noted);
        for ((id, counts), change) in ids.into_iter().zip(changes) {
            self.changes.extend(change.map(|change| OutcomeChange {
                server: id.clone(),
                service: service.to_owned(),
                change,
                counts,
                counts_age,
            }));
        }
        self.end_rests_of_trusted();
        self.note_avoided(service);
    }

    fn note_avoided(&mut self, service: &str) {
        for (id, seen) in &self.seen {
            if seen.server.service != service {
                continue;
            }
            if seen.avoidance.is_on() {
                self.avoided_ids.insert(id.clone());
            } else {
                self.avoided_ids.remove(id);
            }
        }
    }

    /// Resets the backoff of servers that have passed their probes.
    fn end_rests_of_trusted(&mut self) {
        for change in &self.changes {
            if change.change == AvoidanceChange::Ended
                && let Some(seen) = self.seen.get_mut(&change.server)
            {
                seen.end_rest();
            }
        }
    }

    /// Re-evaluates the service of a server if the report can change the result.
    pub fn advance_outcomes_after(&mut self, id: &str, report: Report, now: Duration) {
        let Some(seen) = self.seen.get(id) else {
            return;
        };
        let may_change = match report {
            Report::Erred | Report::Failed => true,
            Report::Answered => seen.avoidance.is_on(),
            Report::Paced(_) | Report::Full => false,
        };
        if may_change {
            let service = seen.server.service.clone();
            self.advance_outcomes_of(&service, now);
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
        for seen in self.seen.values() {
            let number = avoided.entry(seen.server.service.clone()).or_default();
            *number += usize::from(seen.avoidance.is_on());
        }
        avoided
    }

    /// Records that a request is sent to a server.
    pub fn note_sent(&mut self, id: &str, now: Duration) {
        if let Some(seen) = self.seen_mut(id) {
            seen.avoidance.note_sent(now);
        }
    }

    /// The standing of a server at this gateway.
    pub(super) fn standing(&self, seen: &Seen, now: Duration) -> Standing {
        let turn = ProbeTurn {
            seed: self.seed ^ u64::from(seen.key.0),
            gateways: self.gateways,
            calls: seen.calls(),
        };
        seen.avoidance.standing(turn, now)
    }
}

impl Seen {
    /// Outcomes of the calls of all known gateways.
    fn outcomes(&self, now: Duration) -> OutcomeCounts {
        let own = self.own_outcomes.at(now);
        own.plus(&self.others_outcomes.at(now))
    }
}
