//! Server statistics, from this gateway's own calls and from the reports of other gateways. No I/O;
//! the current time is passed in. Server selection is in [`super::choice`], outlier detection in
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

/// Weight of a new sample in a server's moving average latency.
const NEWEST_WEIGHT: f64 = 0.15;
/// Bounds of the exponential backoff after failures.
const FIRST_REST: Duration = Duration::from_millis(400);
const LONGEST_REST: Duration = Duration::from_secs(4);
/// How long load reports of other gateways stay valid.
const OTHERS_LIFE: Duration = Duration::from_secs(1);
/// Number of tracked servers above which idle ones are dropped.
const MOST_SEEN: usize = 1024;
/// Decayed call count below which outcomes are negligible; the smallest value that is reported.
const FADED_COUNT: f64 = 1.0 / 16.0;
/// Backoff after a server rejected a call.
const FULL_REST: Duration = Duration::from_millis(40);
/// Consecutive error responses after which a server is backed off. One is not enough, because
/// applications return occasional errors on healthy servers.
const ERRORS_BEFORE_REST: u32 = 2;

/// The result of a call at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// Latency of a non-streaming response, or of one event of a stream.
    Paced(Duration),
    /// A response without a server error, including rejections of invalid input; reported once per
    /// call.
    Answered,
    /// A server error response.
    Erred,
    /// The server was at capacity or refused the call without executing it.
    Full,
    /// The connection failed or the response was incomplete.
    Failed,
}

/// A server and its statistics.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    pub server: Arc<Server>,
    pub key: ServerKey,
    /// Calls of this gateway.
    pub in_flight: u32,
    /// Calls of the other gateways, as last reported.
    others: u32,
    /// Moving average latency of a response or stream event, in milliseconds; 0 without samples.
    pub usual_ms: f64,
    failures: u32,
    /// Consecutive server error responses.
    errors: u32,
    pub rests_until: Duration,
    /// Outcomes of this gateway's calls.
    pub own_outcomes: FadingCounts,
    /// Outcomes of the other gateways' calls, as last reported.
    pub others_outcomes: FadingCounts,
    pub avoidance: Avoidance,
}

/// The listed servers and their statistics.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    pub(super) policy: Policy,
    pub(super) directory: Directory,
    /// Statistics of servers; absent for those without any.
    pub(super) seen: BTreeMap<String, Seen>,
    /// Servers covered by the last report of the other gateways.
    told: Vec<String>,
    /// When servers that reported a cold start are expected to be warm.
    cold_until: BTreeMap<String, Duration>,
    /// Servers that are avoided or being probed.
    pub(super) avoided_ids: BTreeSet<String>,
    /// When the last report of the other gateways was received.
    pub(super) others_noted: Duration,
    pub(super) gateways: u32,
    /// Differs between gateways, so that they take turns in probing.
    pub(super) seed: u64,
    pub(super) changes: Vec<OutcomeChange>,
    pub(super) prompts: PromptMemory,
    /// Latency estimates, by service.
    pub(super) paces: BTreeMap<String, PaceEstimate>,
    pub(super) zones: Arc<ZoneMap>,
    /// Network latency to servers of other regions.
    pub(super) region_way: RegionWay,
    serving: ServingTerms,
}

/// Fleet-wide constraints on which servers receive calls.
#[derive(Clone, Debug, Default)]
pub struct ServingTerms {
    /// Evacuated zones, whose servers receive no calls.
    pub evacuated: Arc<EvacuatedZones>,
    /// Services that limit the call rate of cold servers.
    pub cold_bounded: BTreeSet<String>,
}

impl ServerTable {
    /// Creates a table without servers.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Sets the seed by which gateways take turns in probing.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Sets the region of each zone.
    #[must_use]
    pub fn with_zones(self, zones: Arc<ZoneMap>) -> Self {
        Self { zones, ..self }
    }

    /// Records the time taken to connect to a server from a gateway in `zone`.
    pub fn note_connected(&mut self, id: &str, zone: &str, took: Duration) {
        let Some(server) = self.directory.get(id) else {
            return;
        };
        if self.zones.distance(zone, &server.zone) == Distance::OtherRegion {
            self.region_way.note(took);
        }
    }

    /// Applies a new view of the fleet.
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

    /// Sets the constraints on which servers receive calls.
    pub fn set_serving(&mut self, serving: ServingTerms) {
        self.serving = serving;
    }

    /// Replaces the list of servers. Statistics of servers that remain are kept.
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

    /// The statistics of a server, created if absent; `None` if the server isn't listed.
    pub(super) fn seen_mut(&mut self, id: &str) -> Option<&mut Seen> {
        let server = self.directory.get(id)?;
        if !self.seen.contains_key(id) {
            self.seen.insert(id.to_owned(), Seen::new(server.clone()));
        }
        self.seen.get_mut(id)
    }

    /// Whether a server is listed, in any state.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.directory.get(id).is_some()
    }

    /// Whether the server's state and its zone permit calls.
    pub(super) fn takes_calls(&self, server: &Server) -> bool {
        server.state == ServerState::Ready && !self.serving.evacuated.zones.contains(&server.zone)
    }

    /// Whether the server last reported a cold start in a service that limits cold servers. The
    /// limit applies to the calls of all gateways together, which no gateway knows, so cold servers
    /// are used only if no warm one is available.
    pub(super) fn is_cold(&self, server: &Server) -> bool {
        server.cold_ms > 0 && self.serving.cold_bounded.contains(&server.service)
    }

    /// Whether a server is warm, or its reported cold start should be over.
    pub(super) fn should_be_warm(&self, server: &Server, now: Duration) -> bool {
        let until = self.cold_until.get(&server.id);
        !self.is_cold(server) || until.is_none_or(|until| now >= *until)
    }

    /// Returns a server if it is listed and accepts new calls.
    #[must_use]
    pub fn listed(&self, id: &str) -> Option<Chosen> {
        let server = self.directory.get(id)?;
        (self.takes_calls(server) && !self.is_cold(server)).then(|| Chosen::of(server))
    }

    /// Returns a server of a service by its key, if it is listed and accepts new calls.
    #[must_use]
    pub fn listed_as(&self, service: &str, key: ServerKey) -> Option<Chosen> {
        let found = self.directory.by_key(key)?;
        (found.service == service).then_some(())?;
        self.listed(&found.id)
    }

    /// Records the time to the first chunk of a response, given the number of uncached prompt
    /// tokens.
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

    /// Records a finished call and the prompt segments that the server now has cached.
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

    /// Records cached prompt segments reported by another gateway.
    pub fn note_cached(&mut self, cached: &CachedPrompt, now: Duration) {
        self.prompts.note_cached(cached, now);
    }

    /// Drops outdated entries.
    pub fn tidy(&mut self, now: Duration) {
        self.prompts.tidy(now);
        let services: BTreeSet<&str> = self.directory.services().collect();
        self.paces
            .retain(|service, _| services.contains(service.as_str()));
        self.forget_idle(now);
    }

    /// Drops idle servers if too many are tracked.
    fn forget_idle(&mut self, now: Duration) {
        if self.seen.len() > MOST_SEEN {
            self.seen.retain(|_, seen| !seen.is_idle(now));
        }
    }

    /// The current calls of this gateway and the outcomes of past ones, for the other gateways.
    #[must_use]
    pub fn load_report(&self, now: Duration) -> LoadReport {
        let seen = self.seen.values();
        LoadReport::of(
            1,
            seen.map(|seen| (seen.key, seen.in_flight, seen.own_outcomes.at(now))),
        )
    }

    /// Applies the load report of the other gateways.
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

    /// This gateway's share of a limit that applies to all gateways together.
    #[must_use]
    pub fn part_of(&self, limit: u32) -> u32 {
        (limit / self.gateways.max(1)).max(1)
    }

    /// Drops the calls reported by other gateways once the report has expired.
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

    /// Counts a call as in flight at a server.
    pub fn begin(&mut self, id: &str) {
        if let Some(seen) = self.seen_mut(id) {
            seen.in_flight += 1;
        }
    }

    /// Removes an in-flight call from a server.
    pub fn end(&mut self, id: &str) {
        if let Some(seen) = self.seen.get_mut(id) {
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }

    /// Records the result of a call.
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
    /// Classifies a response by its status.
    #[must_use]
    pub fn of_answer(status: StatusCode) -> Self {
        if status.is_server_error() {
            Self::Erred
        } else {
            Self::Answered
        }
    }

    /// The outcome counted for outlier detection; `None` for reports that are not the final one of
    /// a call.
    fn outcome(self) -> Option<ServerOutcome> {
        match self {
            Self::Answered => Some(ServerOutcome::Answered),
            Self::Erred | Self::Failed => Some(ServerOutcome::Failed),
            Self::Paced(_) | Self::Full => None,
        }
    }
}

impl Seen {
    /// Resets the backoff and error counters.
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

    /// Calls of all known gateways.
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

    /// Whether the entry holds nothing but the average latency.
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
