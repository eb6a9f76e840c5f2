//! Server statistics, from this gateway's own calls and from the reports of other gateways. No I/O;
//! the current time is passed in. Server selection is in [`super::choice`], outlier detection in
//! [`super::outcomes`].

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use courseshed_registry::{
    Avoidance, DecayingCounts, EvacuatedZones, ListChange, LoadReport, Server, ServerList,
    ServerOutcome, ServerState,
};
use courseshed_routing::AllowedRegions;
use courseshed_types::{CachedPrompt, Distance, PromptPart, ServerKey, ZoneMap};

use super::admission::ServiceLoad;
use super::cost::{LatencyEstimate, RegionLatency};
use super::directory::Directory;
use super::outcome_change::OutcomeChange;
use super::policy::{Mechanism, Policy};
use super::prompt_cache_index::PromptCacheIndex;
use super::region_reach::RegionReach;
use super::selected_server::SelectedServer;
use crate::follower::FleetView;

/// Weight of a new sample in a server's moving average latency.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Bounds of the exponential backoff after failures.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// How long load reports of other gateways stay valid.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);
/// Number of tracked servers above which idle ones are dropped. Several times the number that the
/// calls of a second reach at 20,000 calls a second over 78 pools; they take some 0.3 MB.
const MAX_TRACKED_SERVERS: usize = 1024;
/// Decayed call count below which outcomes are negligible; the smallest value that is reported.
const NEGLIGIBLE_COUNT: f64 = 1.0 / 16.0;
/// Backoff after a server rejected a call.
const REJECTED_BACKOFF: Duration = Duration::from_millis(40);
/// Consecutive error responses after which a server is backed off. One is not enough, because
/// applications return occasional errors on healthy servers: where they do so for 1 call in 100, that
/// happens twice in a row once in 10,000 pairs.
const ERRORS_BEFORE_BACKOFF: u32 = 2;

/// The result of a call at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallReport {
    /// Latency of a non-streaming response, or of one event of a stream.
    Latency(Duration),
    /// A response without a server error, including rejections of invalid input; reported once per
    /// call.
    Answered,
    /// A server error response.
    ServerError,
    /// The server was at capacity or refused the call without executing it.
    Rejected,
    /// The connection failed or the response was incomplete.
    Failed,
}

/// A server and its statistics.
#[derive(Clone, Debug)]
pub(super) struct ServerStats {
    pub server: Arc<Server>,
    pub key: ServerKey,
    /// Calls of this gateway.
    pub in_flight: u32,
    /// Calls of the other gateways, as last reported.
    other_calls: u32,
    /// Moving average latency of a response or stream event, in milliseconds; 0 without samples.
    pub average_ms: f64,
    failures: u32,
    /// Consecutive server error responses.
    consecutive_errors: u32,
    pub backoff_until: Duration,
    /// Outcomes of this gateway's calls.
    pub own_outcomes: DecayingCounts,
    /// Outcomes of the other gateways' calls, as last reported.
    pub other_outcomes: DecayingCounts,
    pub avoidance: Avoidance,
}

/// The listed servers and their statistics.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    pub(super) policy: Policy,
    pub(super) directory: Directory,
    /// Statistics of servers; absent for those without any.
    pub(super) stats: BTreeMap<String, ServerStats>,
    /// Servers covered by the last report of the other gateways.
    reported_ids: Vec<String>,
    /// When servers that reported a cold start are expected to be warm.
    cold_until: BTreeMap<String, Duration>,
    /// When servers should be warm according to their responses.
    stated_until: BTreeMap<String, Duration>,
    /// Servers that are avoided or being probed.
    pub(super) avoided_ids: BTreeSet<String>,
    /// When the last report of the other gateways was received.
    pub(super) load_reported_at: Duration,
    pub(super) gateways: u32,
    /// Differs between gateways, so that they take turns in probing.
    pub(super) seed: u64,
    pub(super) changes: Vec<OutcomeChange>,
    pub(super) prompts: PromptCacheIndex,
    /// Latency estimates, by service.
    pub(super) latencies: BTreeMap<String, LatencyEstimate>,
    pub(super) zones: Arc<ZoneMap>,
    /// Network latency to servers of other regions.
    pub(super) region_latency: RegionLatency,
    region_reach: RegionReach,
    serving: ServingConstraints,
}

/// Fleet-wide constraints on which servers receive calls.
#[derive(Clone, Debug, Default)]
pub struct ServingConstraints {
    /// Evacuated zones, whose servers receive no calls.
    pub evacuated: Arc<EvacuatedZones>,
    /// Services that limit the call rate of cold servers.
    pub cold_limited: BTreeSet<String>,
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
    pub fn record_connection(&mut self, id: &str, zone: &str, took: Duration) {
        let Some(server) = self.directory.get(id) else {
            return;
        };
        if self.zones.distance(zone, &server.zone) == Distance::OtherRegion {
            self.region_latency.record(took);
        }
        if let Some(region) = self.zones.region_of(&server.zone) {
            self.region_reach.record_reached(region);
        }
    }

    /// Records that a connection to a server failed. A refused one shows that its region can be
    /// reached.
    pub fn record_unconnected(&mut self, id: &str, error: ErrorKind, now: Duration) {
        let server = self.directory.get(id);
        let region = server.and_then(|server| self.zones.region_of(&server.zone));
        match (region, error) {
            (
                Some(region),
                ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable,
            ) => self.region_reach.record_timeout(region, now),
            (Some(region), ErrorKind::ConnectionRefused) => {
                self.region_reach.record_reached(region);
            }
            _ => {}
        }
    }

    /// The allowed regions of a restricted call that it may try to reach now.
    pub fn reachable(&mut self, allowed_regions: &AllowedRegions, now: Duration) -> AllowedRegions {
        let reach = &mut self.region_reach;
        allowed_regions.filtered(|region| reach.may_try(region, now))
    }

    /// Applies a new view of the fleet.
    pub fn follow(&mut self, view: &FleetView, now: Duration) {
        self.replace(&view.servers, now);
        let services = view
            .routing
            .iter()
            .flat_map(|routing| &routing.table.services);
        let cold_limited = services.filter(|service| service.limits_warm_up());
        self.serving = ServingConstraints {
            evacuated: view.evacuated.clone(),
            cold_limited: cold_limited.map(|service| service.name.clone()).collect(),
        };
    }

    /// Sets the constraints on which servers receive calls.
    pub fn set_serving(&mut self, serving: ServingConstraints) {
        self.serving = serving;
    }

    /// Replaces the list of servers. Statistics of servers that remain are kept.
    pub fn replace(&mut self, servers: &ServerList, now: Duration) {
        for change in self.directory.follow(servers) {
            match change {
                ListChange::Added(server) => self.update_cold_until(None, &server, now),
                ListChange::Changed {
                    before,
                    now: server,
                } => {
                    self.stated_until.remove(&server.id);
                    self.update_cold_until(Some(&before), &server, now);
                    if let Some(stats) = self.stats.get_mut(&server.id) {
                        stats.server = server;
                    }
                }
                ListChange::Removed(server) => {
                    self.stats.remove(&server.id);
                    self.cold_until.remove(&server.id);
                    self.stated_until.remove(&server.id);
                    self.avoided_ids.remove(&server.id);
                }
            }
        }
    }

    fn update_cold_until(&mut self, before: Option<&Server>, server: &Server, now: Duration) {
        if server.warmup_remaining_ms == 0 {
            self.cold_until.remove(&server.id);
        } else if before
            .is_none_or(|before| before.warmup_remaining_ms != server.warmup_remaining_ms)
        {
            let until = now + Duration::from_millis(u64::from(server.warmup_remaining_ms));
            self.cold_until.insert(server.id.clone(), until);
        }
    }

    /// The statistics of a server, created if absent; `None` if the server isn't listed.
    pub(super) fn stats_mut(&mut self, id: &str) -> Option<&mut ServerStats> {
        let server = self.directory.get(id)?;
        if !self.stats.contains_key(id) {
            self.stats
                .insert(id.to_owned(), ServerStats::new(server.clone()));
        }
        self.stats.get_mut(id)
    }

    /// Whether a server is listed, in any state.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.directory.get(id).is_some()
    }

    /// Whether the server's state and its zone permit calls.
    pub(super) fn is_eligible(&self, server: &Server) -> bool {
        server.state == ServerState::Ready && !self.serving.evacuated.zones.contains(&server.zone)
    }

    /// Records the remaining warm-up time that a response of a server states, which is newer than
    /// the last heartbeat. Only zero ends the warm-up earlier than the heartbeat said. A statement is
    /// replaced by the next heartbeat that reports another state.
    pub fn record_warmup(&mut self, id: &str, remaining: Duration, now: Duration) {
        let Some(server) = self.directory.get(id) else {
            return;
        };
        if !self.limits_warm_up(&server.service) {
            return;
        }
        let reported = self.cold_until.get(id).copied().unwrap_or_default();
        let until = if remaining.is_zero() {
            now
        } else {
            reported.max(now + remaining)
        };
        self.stated_until.insert(id.to_owned(), until);
    }

    /// Whether the server last reported a cold start in a service that limits cold servers. The
    /// limit applies to the calls of all gateways together, so such a server gets calls only with
    /// permits (see [`super::warmup`]).
    pub(super) fn is_cold(&self, server: &Server) -> bool {
        server.warmup_remaining_ms > 0 && self.limits_warm_up(&server.service)
    }

    /// Whether a server is warm, or its reported cold start should be over.
    pub(super) fn is_expected_warm(&self, server: &Server, now: Duration) -> bool {
        if let Some(stated) = self.stated_until.get(&server.id) {
            return now >= *stated || !self.limits_warm_up(&server.service);
        }
        let until = self.cold_until.get(&server.id);
        !self.is_cold(server) || until.is_none_or(|until| now >= *until)
    }

    /// Whether a service limits servers that are warming up.
    pub(super) fn limits_warm_up(&self, service: &str) -> bool {
        self.serving.cold_limited.contains(service)
    }

    /// Whether calls to a server need a permit, since it is warming up in a service that limits
    /// such servers.
    #[must_use]
    pub fn needs_permit(&self, id: &str, now: Duration) -> bool {
        let server = self.directory.get(id);
        server.is_some_and(|server| !self.is_expected_warm(server, now))
    }

    /// Whether a server is listed, and its state and its zone permit calls.
    #[must_use]
    pub fn accepts_calls(&self, id: &str) -> bool {
        let server = self.directory.get(id);
        server.is_some_and(|server| self.is_eligible(server))
    }

    /// Whether a call may begin at a server with at most `max_in_flight` calls of this gateway.
    #[must_use]
    pub fn may_begin(&self, id: &str, max_in_flight: u32, now: Duration) -> bool {
        let has_room = self
            .stats
            .get(id)
            .is_none_or(|stats| stats.in_flight < max_in_flight && stats.backoff_until <= now);
        has_room && self.accepts_calls(id)
    }

    /// Names of the servers whose calls need a permit.
    pub(super) fn warming_names(&self, now: Duration) -> BTreeSet<String> {
        let warming: BTreeSet<&String> = self
            .cold_until
            .keys()
            .chain(self.stated_until.keys())
            .collect();
        warming
            .into_iter()
            .filter_map(|id| self.directory.get(id))
            .filter(|server| !self.is_expected_warm(server, now))
            .map(|server| server.name().to_owned())
            .collect()
    }

    /// Time until a server that is warming up should be warm.
    pub(super) fn warm_in(&self, id: &str, now: Duration) -> Option<Duration> {
        let stated = self.stated_until.get(id);
        let until = stated.or_else(|| self.cold_until.get(id))?;
        Some(until.saturating_sub(now))
    }

    /// Returns a server if it is listed and accepts new calls.
    #[must_use]
    pub fn available(&self, id: &str) -> Option<SelectedServer> {
        let server = self.directory.get(id)?;
        (self.is_eligible(server) && !self.is_cold(server)).then(|| SelectedServer::of(server))
    }

    /// Whether a listed server lies in an allowed region.
    #[must_use]
    pub fn is_allowed(&self, id: &str, allowed_regions: &AllowedRegions) -> bool {
        let server = self.directory.get(id);
        !allowed_regions.is_restricted()
            || server
                .is_some_and(|server| allowed_regions.allows(self.zones.region_of(&server.zone)))
    }

    /// Returns a server of a service by its key, if it is listed and accepts new calls.
    #[must_use]
    pub fn available_by_key(&self, service: &str, key: ServerKey) -> Option<SelectedServer> {
        let found = self.directory.by_key(key)?;
        (found.service == service).then_some(())?;
        self.available(&found.id)
    }

    /// Records the time to the first chunk of a response, given the number of uncached prompt
    /// tokens.
    pub fn record_first_chunk(
        &mut self,
        id: &str,
        parts: &[PromptPart],
        uncached_tokens: u32,
        took: Duration,
        now: Duration,
    ) {
        self.prompts.record(ServerKey::of(id), parts, now);
        if let Some(server) = self.directory.get(id) {
            let estimate = self.latencies.entry(server.service.clone()).or_default();
            if self.policy.uses(Mechanism::LearnedReading) {
                estimate.record_prefill(uncached_tokens, milliseconds(took));
            }
        }
    }

    /// Records a finished call and the prompt segments that the server now has cached.
    pub fn record_finished(
        &mut self,
        id: &str,
        cached: &CachedPrompt,
        took: Duration,
        now: Duration,
    ) {
        self.prompts.record_cached(cached, now);
        if let Some(server) = self.directory.get(id) {
            let estimate = self.latencies.entry(server.service.clone()).or_default();
            estimate.record_call(milliseconds(took));
        }
    }

    /// Records cached prompt segments reported by another gateway.
    pub fn record_cached(&mut self, cached: &CachedPrompt, now: Duration) {
        self.prompts.record_cached(cached, now);
    }

    /// Drops outdated entries.
    pub fn remove_expired(&mut self, now: Duration) {
        self.prompts.remove_expired(now);
        let services: BTreeSet<&str> = self.directory.services().collect();
        self.latencies
            .retain(|service, _| services.contains(service.as_str()));
        self.drop_idle(now);
    }

    /// Drops idle servers if too many are tracked.
    fn drop_idle(&mut self, now: Duration) {
        if self.stats.len() > MAX_TRACKED_SERVERS {
            self.stats.retain(|_, stats| !stats.is_idle(now));
        }
    }

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

    fn service_load(&self, service: &str, now: Duration) -> ServiceLoad {
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

    /// Records the result of a call.
    pub fn report(&mut self, id: &str, report: CallReport, now: Duration) {
        let backs_off = self.policy.uses(Mechanism::ServerBackoff);
        let shares_outcomes = self.policy.uses(Mechanism::SharedOutcomes);
        let Some(stats) = self.stats_mut(id) else {
            return;
        };
        if shares_outcomes && let Some(outcome) = report.outcome() {
            stats.own_outcomes.record(outcome, now);
        }
        match report {
            CallReport::Latency(took) => {
                let took_ms = milliseconds(took);
                stats.average_ms = if stats.average_ms == 0.0 {
                    took_ms
                } else {
                    stats.average_ms + SAMPLE_WEIGHT * (took_ms - stats.average_ms)
                };
                stats.failures = 0;
                stats.backoff_until = Duration::ZERO;
            }
            CallReport::Answered => stats.consecutive_errors = 0,
            CallReport::Rejected | CallReport::Failed | CallReport::ServerError if !backs_off => {}
            CallReport::Rejected => stats.backoff_until = now + REJECTED_BACKOFF,
            CallReport::Failed => stats.back_off(now),
            CallReport::ServerError => {
                stats.consecutive_errors += 1;
                if stats.consecutive_errors >= ERRORS_BEFORE_BACKOFF {
                    stats.back_off(now);
                }
            }
        }
    }
}

impl CallReport {
    /// Classifies a response by its status.
    #[must_use]
    pub fn of_answer(status: StatusCode) -> Self {
        if status.is_server_error() {
            Self::ServerError
        } else {
            Self::Answered
        }
    }

    /// The outcome counted for outlier detection; `None` for reports that are not the final one of
    /// a call.
    fn outcome(self) -> Option<ServerOutcome> {
        match self {
            Self::Answered => Some(ServerOutcome::Answered),
            Self::ServerError | Self::Failed => Some(ServerOutcome::Failed),
            Self::Latency(_) | Self::Rejected => None,
        }
    }
}

impl ServerStats {
    /// Resets the backoff and error counters.
    pub fn reset_backoff(&mut self) {
        self.failures = 0;
        self.consecutive_errors = 0;
        self.backoff_until = Duration::ZERO;
    }

    fn back_off(&mut self, now: Duration) {
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Calls of all known gateways.
    pub fn calls(&self) -> u32 {
        self.in_flight + self.other_calls
    }

    pub fn new(server: Arc<Server>) -> Self {
        Self {
            key: ServerKey::of(&server.id),
            server,
            in_flight: 0,
            other_calls: 0,
            average_ms: 0.0,
            failures: 0,
            consecutive_errors: 0,
            backoff_until: Duration::ZERO,
            own_outcomes: DecayingCounts::default(),
            other_outcomes: DecayingCounts::default(),
            avoidance: Avoidance::default(),
        }
    }

    /// Whether the entry holds nothing but the average latency.
    fn is_idle(&self, now: Duration) -> bool {
        let counted = self.own_outcomes.at(now).plus(&self.other_outcomes.at(now));
        self.calls() == 0
            && self.backoff_until <= now
            && !self.avoidance.is_active()
            && counted.answered + counted.failed < NEGLIGIBLE_COUNT
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
