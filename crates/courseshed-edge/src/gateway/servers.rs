//! The servers, with what this gateway has seen of them and what the others said. Pure: times are
//! passed in. Which one a call goes to is chosen in [`super::choice`]; which ones fail is judged in
//! [`super::outcomes`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use courseshed_registry::{
    Avoidance, EvacuatedZones, FadingCounts, LoadReport, OutcomeCounts, Server, ServerList,
    ServerOutcome, ServerState,
};
use courseshed_types::{CachedPrompt, Distance, PromptPart, ServerKey, ZoneMap};

use super::choice::Chosen;
use super::cost::{PaceEstimate, RegionWay};
use super::outcomes::OutcomeChange;
use super::policy::{Mechanism, Policy};
use super::prompt_memory::PromptMemory;
use crate::follower::FleetView;

/// Weight of the newest time in the average of a server's times.
const NEWEST_WEIGHT: f64 = 0.15;
/// First and longest rest after a failure.
const FIRST_REST: Duration = Duration::from_millis(400);
const LONGEST_REST: Duration = Duration::from_secs(4);
/// How long what other gateways said of their calls counts.
const OTHERS_LIFE: Duration = Duration::from_secs(1);
/// Rest after a server said that it is full.
const FULL_REST: Duration = Duration::from_millis(40);
/// A server that answered so many calls of this gateway in a row with errors of its own rests. Where 1
/// call in 100 is answered so by the application, that befalls a sound server once in 10,000 pairs.
const ERRORS_BEFORE_REST: u32 = 2;

/// What became of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// It answered a plain call, or went on with a stream by one event, after so long.
    Paced(Duration),
    /// It answered a call, be it with a refusal of what was asked; said once for each call.
    Answered,
    /// It answered a call with an error of its own.
    Erred,
    /// It was full, or refused without running the request.
    Full,
    /// The connection failed, or no whole answer came.
    Failed,
}

/// One server and what is known of it.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    pub server: Arc<Server>,
    pub key: ServerKey,
    /// Calls of this gateway.
    pub in_flight: u32,
    /// Calls of the other gateways, as they said last.
    others: u32,
    /// Average time of a plain answer or from one event to the next, in milliseconds; 0 when none
    /// was seen.
    pub usual_ms: f64,
    failures: u32,
    /// Errors of its own in a row.
    errors: u32,
    pub rests_until: Duration,
    /// What became of the calls of this gateway.
    pub own_outcomes: FadingCounts,
    /// What became of the calls of the other gateways, as they said last.
    pub others_outcomes: FadingCounts,
    pub avoidance: Avoidance,
    /// When the server should bear all again, by what it said last.
    cold_until: Duration,
}

/// When a server should bear all, if it told now how much longer it is cold.
fn cold_until(server: &Server, now: Duration) -> Duration {
    now + Duration::from_millis(u64::from(server.cold_ms))
}

/// The servers, as this gateway sees them.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    pub(super) policy: Policy,
    pub(super) seen: BTreeMap<String, Seen>,
    /// When the other gateways' calls were noted last.
    pub(super) others_noted: Duration,
    pub(super) gateways: u32,
    /// Differs by gateway, so that they take turns.
    pub(super) seed: u64,
    pub(super) changes: Vec<OutcomeChange>,
    pub(super) prompts: PromptMemory,
    /// How long calls take, by service.
    pub(super) paces: BTreeMap<String, PaceEstimate>,
    pub(super) zones: Arc<ZoneMap>,
    /// How far the servers of other regions are.
    pub(super) region_way: RegionWay,
    serving: ServingTerms,
}

/// Which of the servers may get calls at all.
#[derive(Clone, Debug, Default)]
pub struct ServingTerms {
    /// Zones whose servers get nothing.
    pub evacuated: Arc<EvacuatedZones>,
    /// Services whose servers bear only so many calls a second while they are cold.
    pub cold_bounded: BTreeSet<String>,
}

impl ServerTable {
    /// A table without servers.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// The same table with a seed, by which gateways take turns.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// The same table with the regions of zones.
    #[must_use]
    pub fn with_zones(self, zones: Arc<ZoneMap>) -> Self {
        Self { zones, ..self }
    }

    /// Takes in how long it took to connect to a server, for a gateway in a zone.
    pub fn note_connected(&mut self, id: &str, zone: &str, took: Duration) {
        let Some(seen) = self.seen.get(id) else {
            return;
        };
        if self.zones.distance(zone, &seen.server.zone) == Distance::OtherRegion {
            self.region_way.note(took);
        }
    }

    /// Takes in what changed of the fleet.
    pub fn follow(&mut self, view: &FleetView, now: Duration) {
        self.replace(&view.servers, now);
        let services = view
            .routing
            .iter()
            .flat_map(|routing| &routing.table.services);
        let cold_bounded = services.filter(|service| service.bounds_cold_servers());
        self.serving = ServingTerms {
            evacuated: view.evacuated.clone(),
            cold_bounded: cold_bounded.map(|service| service.name.clone()).collect(),
        };
    }

    /// Sets which servers may get calls.
    pub fn set_serving(&mut self, serving: ServingTerms) {
        self.serving = serving;
    }

    /// Takes in the list of servers. What was seen of those that stay is kept.
    pub fn replace(&mut self, servers: &ServerList, now: Duration) {
        let mut seen = BTreeMap::new();
        for server in servers.iter() {
            let known = self.seen.remove(&server.id);
            let entry = match known {
                Some(mut entry) => {
                    if entry.server.cold_ms != server.cold_ms {
                        entry.cold_until = cold_until(server, now);
                    }
                    entry.server = server.clone();
                    entry
                }
                None => Seen {
                    server: server.clone(),
                    key: ServerKey::of(&server.id),
                    in_flight: 0,
                    others: 0,
                    usual_ms: 0.0,
                    failures: 0,
                    errors: 0,
                    rests_until: Duration::ZERO,
                    own_outcomes: FadingCounts::default(),
                    others_outcomes: FadingCounts::default(),
                    avoidance: Avoidance::default(),
                    cold_until: cold_until(server, now),
                },
            };
            seen.insert(server.id.clone(), entry);
        }
        self.seen = seen;
    }

    /// Whether a server is on the list, in whatever state.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.seen.contains_key(id)
    }

    /// Whether calls may go to a server as far as it and operators say.
    pub(super) fn takes_calls(&self, seen: &Seen) -> bool {
        seen.server.state == ServerState::Ready
            && !self.serving.evacuated.zones.contains(&seen.server.zone)
    }

    /// Whether a server bears little for now, by what it said last. What it bears then is summed over all
    /// gateways, which none of them knows, so it gets nothing while others are there.
    pub(super) fn is_cold(&self, seen: &Seen) -> bool {
        seen.server.cold_ms > 0 && self.serving.cold_bounded.contains(&seen.server.service)
    }

    /// Whether a server that said that it is cold should have become warm since, without having said so.
    pub(super) fn should_be_warm(&self, seen: &Seen, now: Duration) -> bool {
        !self.is_cold(seen) || now >= seen.cold_until
    }

    /// A server that is on the list and takes new work.
    #[must_use]
    pub fn listed(&self, id: &str) -> Option<Chosen> {
        let seen = self.seen.get(id)?;
        (self.takes_calls(seen) && !self.is_cold(seen)).then(|| seen.chosen())
    }

    /// The server of a service that a key names, if it is on the list and takes new work.
    #[must_use]
    pub fn listed_as(&self, service: &str, key: ServerKey) -> Option<Chosen> {
        let mut seen = self.seen.values();
        let found = seen.find(|seen| seen.key == key && seen.server.service == service)?;
        (self.takes_calls(found) && !self.is_cold(found)).then(|| found.chosen())
    }

    /// Takes in that the first part of an answer came, with so many tokens to read before it.
    pub fn note_read(
        &mut self,
        id: &str,
        parts: &[PromptPart],
        unread_tokens: u32,
        took: Duration,
        now: Duration,
    ) {
        self.prompts.note(ServerKey::of(id), parts, now);
        if let Some(seen) = self.seen.get(id) {
            let estimate = self.paces.entry(seen.server.service.clone()).or_default();
            if self.policy.uses(Mechanism::LearnedReading) {
                estimate.note_read(unread_tokens, milliseconds(took));
            }
        }
    }

    /// Takes in that a call was over at a server, and what that holds of the prompt now.
    pub fn note_finished(
        &mut self,
        id: &str,
        cached: &CachedPrompt,
        took: Duration,
        now: Duration,
    ) {
        self.prompts.note_cached(cached, now);
        if let Some(seen) = self.seen.get(id) {
            let estimate = self.paces.entry(seen.server.service.clone()).or_default();
            estimate.note_call(milliseconds(took));
        }
    }

    /// Takes in what a server held of a prompt when it answered another gateway.
    pub fn note_cached(&mut self, cached: &CachedPrompt, now: Duration) {
        self.prompts.note_cached(cached, now);
    }

    /// Forgets what is too old to be true.
    pub fn tidy(&mut self, now: Duration) {
        self.prompts.tidy(now);
        let services: BTreeSet<&str> = self
            .seen
            .values()
            .map(|seen| seen.server.service.as_str())
            .collect();
        self.paces
            .retain(|service, _| services.contains(service.as_str()));
    }

    /// The calls of this gateway and what became of those before, for the others.
    #[must_use]
    pub fn load_report(&self, now: Duration) -> LoadReport {
        let seen = self.seen.values();
        LoadReport::of(
            1,
            seen.map(|seen| (seen.key, seen.in_flight, seen.own_outcomes.at(now))),
        )
    }

    /// Takes in the calls of the other gateways.
    pub fn note_others(&mut self, others: &LoadReport, now: Duration) {
        let by_key: BTreeMap<ServerKey, (u32, OutcomeCounts)> = others.by_server();
        for seen in self.seen.values_mut() {
            let (in_flight, counts) = by_key.get(&seen.key).copied().unwrap_or_default();
            seen.others = in_flight;
            seen.others_outcomes = FadingCounts::new(counts, now);
        }
        self.others_noted = now;
        self.gateways = others.gateways + 1;
    }

    /// This gateway's part of what all gateways together may have at a server.
    #[must_use]
    pub fn part_of(&self, limit: u32) -> u32 {
        (limit / self.gateways.max(1)).max(1)
    }

    /// Forgets what the other gateways said, if that is too long ago.
    pub fn forget_old_loads(&mut self, now: Duration) {
        if now.saturating_sub(self.others_noted) < OTHERS_LIFE {
            return;
        }
        for seen in self.seen.values_mut() {
            seen.others = 0;
        }
    }

    /// Notes that a request goes to a server.
    pub fn begin(&mut self, id: &str) {
        if let Some(seen) = self.seen.get_mut(id) {
            seen.in_flight += 1;
        }
    }

    /// Notes that a request is no longer at a server.
    pub fn end(&mut self, id: &str) {
        if let Some(seen) = self.seen.get_mut(id) {
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }

    /// Takes in what became of a request.
    pub fn report(&mut self, id: &str, report: Report, now: Duration) {
        let Some(seen) = self.seen.get_mut(id) else {
            return;
        };
        let rests = self.policy.uses(Mechanism::Rests);
        if self.policy.uses(Mechanism::SharedOutcomes)
            && let Some(outcome) = report.outcome()
        {
            seen.own_outcomes.note(outcome, now);
        }
        match report {
            Report::Paced(took) => {
                let took_ms = milliseconds(took);
                seen.usual_ms = if seen.usual_ms == 0.0 {
                    took_ms
                } else {
                    seen.usual_ms + NEWEST_WEIGHT * (took_ms - seen.usual_ms)
                };
                seen.failures = 0;
                seen.rests_until = Duration::ZERO;
            }
            Report::Answered => seen.errors = 0,
            Report::Full | Report::Failed | Report::Erred if !rests => {}
            Report::Full => seen.rests_until = now + FULL_REST,
            Report::Failed => seen.rest(now),
            Report::Erred => {
                seen.errors += 1;
                if seen.errors >= ERRORS_BEFORE_REST {
                    seen.rest(now);
                }
            }
        }
    }
}

impl Report {
    /// What an answer with a status says of its server.
    #[must_use]
    pub fn of_answer(status: StatusCode) -> Self {
        if status.is_server_error() {
            Self::Erred
        } else {
            Self::Answered
        }
    }

    /// What it says of the server that had a call; nothing if it says nothing, or is one of many.
    fn outcome(self) -> Option<ServerOutcome> {
        match self {
            Self::Answered => Some(ServerOutcome::Answered),
            Self::Erred | Self::Failed => Some(ServerOutcome::Failed),
            Self::Paced(_) | Self::Full => None,
        }
    }
}

impl Seen {
    /// Forgets what the server failed.
    pub fn end_rest(&mut self) {
        self.failures = 0;
        self.errors = 0;
        self.rests_until = Duration::ZERO;
    }

    fn rest(&mut self, now: Duration) {
        let rest = FIRST_REST * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.rests_until = now + rest.min(LONGEST_REST);
    }

    /// Calls of all gateways, as far as known.
    pub fn calls(&self) -> u32 {
        self.in_flight + self.others
    }

    pub fn chosen(&self) -> Chosen {
        Chosen {
            id: self.server.id.clone(),
            name: self.server.name().to_owned(),
            address: self.server.address,
        }
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
