//! The servers, with what this gateway has seen of them and what the others said. Pure: times are
//! passed in. Which one a call goes to is chosen in [`super::choice`]; which ones fail is judged in
//! [`super::outcomes`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use courseshed_registry::{
    Avoidance, EvacuatedZones, FadingCounts, ListChange, LoadReport, Server, ServerList,
    ServerOutcome, ServerState,
};
use courseshed_types::{CachedPrompt, Distance, PromptPart, ServerKey, ZoneMap};

use super::chosen::Chosen;
use super::cost::{PaceEstimate, RegionWay};
use super::directory::Directory;
use super::outcome_change::OutcomeChange;
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
/// Servers of which something is known beyond which idle ones are forgotten: several times those that the calls
/// of a second go to at 20,000 calls a second over 78 pools; some 0.3 MB.
const MOST_SEEN: usize = 1024;
/// What is left of counted calls when they tell nothing more: the least that is told to others.
const FADED_COUNT: f64 = 1.0 / 16.0;
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
}

/// The servers, as this gateway sees them.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    pub(super) policy: Policy,
    pub(super) directory: Directory,
    /// What is known of servers; of those that aren't here nothing is.
    pub(super) seen: BTreeMap<String, Seen>,
    /// Servers that the other gateways had something to tell of last.
    told: Vec<String>,
    /// When servers that said that they are cold should bear all again.
    cold_until: BTreeMap<String, Duration>,
    /// Servers that are avoided or probed.
    pub(super) avoided_ids: BTreeSet<String>,
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
        let Some(server) = self.directory.get(id) else {
            return;
        };
        if self.zones.distance(zone, &server.zone) == Distance::OtherRegion {
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
        for change in self.directory.follow(servers) {
            match change {
                ListChange::Listed(server) => self.note_cold(None, &server, now),
                ListChange::Changed {
                    before,
                    now: server,
                } => {
                    self.note_cold(Some(&before), &server, now);
                    if let Some(seen) = self.seen.get_mut(&server.id) {
                        seen.server = server;
                    }
                }
                ListChange::Gone(server) => {
                    self.seen.remove(&server.id);
                    self.cold_until.remove(&server.id);
                    self.avoided_ids.remove(&server.id);
                }
            }
        }
    }

    fn note_cold(&mut self, before: Option<&Server>, server: &Server, now: Duration) {
        if server.cold_ms == 0 {
            self.cold_until.remove(&server.id);
        } else if before.is_none_or(|before| before.cold_ms != server.cold_ms) {
            let until = now + Duration::from_millis(u64::from(server.cold_ms));
            self.cold_until.insert(server.id.clone(), until);
        }
    }

    /// What is known of a server, to be noted more; none if it isn't listed.
    pub(super) fn seen_mut(&mut self, id: &str) -> Option<&mut Seen> {
        let server = self.directory.get(id)?;
        if !self.seen.contains_key(id) {
            self.seen.insert(id.to_owned(), Seen::new(server.clone()));
        }
        self.seen.get_mut(id)
    }

    /// Whether a server is on the list, in whatever state.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.directory.get(id).is_some()
    }

    /// Whether calls may go to a server as far as it and operators say.
    pub(super) fn takes_calls(&self, server: &Server) -> bool {
        server.state == ServerState::Ready && !self.serving.evacuated.zones.contains(&server.zone)
    }

    /// Whether a server bears little for now, by what it said last. What it bears then is summed over all
    /// gateways, which none of them knows, so it gets nothing while others are there.
    pub(super) fn is_cold(&self, server: &Server) -> bool {
        server.cold_ms > 0 && self.serving.cold_bounded.contains(&server.service)
    }

    /// Whether a server that said that it is cold should have become warm since, without having said so.
    pub(super) fn should_be_warm(&self, server: &Server, now: Duration) -> bool {
        let until = self.cold_until.get(&server.id);
        !self.is_cold(server) || until.is_none_or(|until| now >= *until)
    }

    /// A server that is on the list and takes new work.
    #[must_use]
    pub fn listed(&self, id: &str) -> Option<Chosen> {
        let server = self.directory.get(id)?;
        (self.takes_calls(server) && !self.is_cold(server)).then(|| Chosen::of(server))
    }

    /// The server of a service that a key names, if it is on the list and takes new work.
    #[must_use]
    pub fn listed_as(&self, service: &str, key: ServerKey) -> Option<Chosen> {
        let found = self.directory.by_key(key)?;
        (found.service == service).then_some(())?;
        self.listed(&found.id)
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
        if let Some(server) = self.directory.get(id) {
            let estimate = self.paces.entry(server.service.clone()).or_default();
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
        if let Some(server) = self.directory.get(id) {
            let estimate = self.paces.entry(server.service.clone()).or_default();
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
        let services: BTreeSet<&str> = self.directory.services().collect();
        self.paces
            .retain(|service, _| services.contains(service.as_str()));
        self.forget_idle(now);
    }

    /// Forgets servers that nothing is to be told of, if there are too many.
    fn forget_idle(&mut self, now: Duration) {
        if self.seen.len() > MOST_SEEN {
            self.seen.retain(|_, seen| !seen.is_idle(now));
        }
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
        for id in std::mem::take(&mut self.told) {
            if let Some(seen) = self.seen.get_mut(&id) {
                seen.others = 0;
                seen.others_outcomes = FadingCounts::default();
            }
        }
        for (key, (in_flight, counts)) in others.by_server() {
            let Some(id) = self.directory.by_key(key).map(|server| server.id.clone()) else {
                continue;
            };
            if let Some(seen) = self.seen_mut(&id) {
                seen.others = in_flight;
                seen.others_outcomes = FadingCounts::new(counts, now);
                self.told.push(id);
            }
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
        for id in &self.told {
            if let Some(seen) = self.seen.get_mut(id) {
                seen.others = 0;
            }
        }
    }

    /// Notes that a request goes to a server.
    pub fn begin(&mut self, id: &str) {
        if let Some(seen) = self.seen_mut(id) {
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
        let rests = self.policy.uses(Mechanism::Rests);
        let tells = self.policy.uses(Mechanism::SharedOutcomes);
        let Some(seen) = self.seen_mut(id) else {
            return;
        };
        if tells && let Some(outcome) = report.outcome() {
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

    pub fn new(server: Arc<Server>) -> Self {
        Self {
            key: ServerKey::of(&server.id),
            server,
            in_flight: 0,
            others: 0,
            usual_ms: 0.0,
            failures: 0,
            errors: 0,
            rests_until: Duration::ZERO,
            own_outcomes: FadingCounts::default(),
            others_outcomes: FadingCounts::default(),
            avoidance: Avoidance::default(),
        }
    }

    /// Whether forgetting what is known of the server loses no more than its usual times.
    fn is_idle(&self, now: Duration) -> bool {
        let counted = self
            .own_outcomes
            .at(now)
            .plus(&self.others_outcomes.at(now));
        self.calls() == 0
            && self.rests_until <= now
            && !self.avoidance.is_on()
            && counted.answered + counted.failed < FADED_COUNT
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
