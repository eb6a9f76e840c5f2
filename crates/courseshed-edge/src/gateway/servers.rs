//! Server statistics, from this gateway's own calls and from the reports of other gateways. No I/O;
//! the current time is passed in. Server selection is in [`super::choice`], outlier detection in
//! [`super::outcomes`].

mod listing;
mod loads;
mod stats;
mod warm_up;

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::{EvacuatedZones, ListChange, Server, ServerList, ServerState};
use courseshed_routing::AllowedRegions;
use courseshed_types::{CachedPrompt, Distance, PromptPart, ServerKey, ZoneMap};

use super::cost::{LatencyEstimate, RegionLatency};
use super::directory::Directory;
use super::outcome_change::OutcomeChange;
use super::policy::{Mechanism, Policy};
use super::prompt_cache_index::PromptCacheIndex;
use super::region_reach::RegionReach;
use super::round_trip::RoundTrips;
use super::selected_server::SelectedServer;
use super::version_requirement::VersionRequirement;
use crate::follower::FleetView;

pub use listing::Listing;
pub use stats::CallReport;
pub(super) use stats::ServerStats;

/// Number of tracked servers above which idle ones are dropped. Several times the number that the
/// calls of a second reach at 20,000 calls a second over 78 pools; they take some 0.3 MB.
const MAX_TRACKED_SERVERS: usize = 1024;

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
    /// Round-trip times to servers, by their zone.
    round_trips: RoundTrips,
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
        self.round_trips.record(server.zone.clone(), took);
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

    /// The statistics of a server, created if absent; `None` if the server isn't listed.
    pub(super) fn stats_mut(&mut self, id: &str) -> Option<&mut ServerStats> {
        let server = self.directory.get(id)?;
        if !self.stats.contains_key(id) {
            self.stats
                .insert(id.to_owned(), ServerStats::new(server.clone()));
        }
        self.stats.get_mut(id)
    }

    /// What the list says of a server of a service; `is_confirmed` tells whether a controller confirmed it lately.
    #[must_use]
    pub fn listing(&self, service: &str, server: &SelectedServer, is_confirmed: bool) -> Listing {
        match self.directory.get(&server.id).map(|server| server.state) {
            Some(ServerState::Ready) if is_confirmed => Listing::Ready,
            Some(ServerState::Ready) => Listing::Unconfirmed,
            Some(ServerState::Draining) => Listing::Draining,
            None if self.is_replaced(service, server) => Listing::Replaced,
            None => Listing::NotListed,
        }
    }

    /// Whether a process that started later is listed at the address of a server that isn't listed.
    fn is_replaced(&self, service: &str, server: &SelectedServer) -> bool {
        let mut listed = self.directory.servers(service);
        server.started_ms.is_some()
            && listed.any(|other| {
                other.address == server.address && other.started_ms > server.started_ms
            })
    }

    /// How long to wait for a connection to a zone.
    #[must_use]
    pub fn connect_timeout(&self, zone: &str) -> Duration {
        self.round_trips.timeout(zone)
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

    /// Whether a server may receive the next attempt of a request; one that is no longer listed may not
    /// continue a stream.
    #[must_use]
    pub fn satisfies(&self, id: &str, requirement: &VersionRequirement) -> bool {
        let server = self.directory.get(id);
        !requirement.is_restricted()
            || server.is_some_and(|server| requirement.allows_server(server))
    }

    /// Whether any listed server of a service, in whatever state, may continue a stream.
    #[must_use]
    pub fn lists_version(&self, service: &str, requirement: &VersionRequirement) -> bool {
        let mut servers = self.directory.servers(service);
        servers.any(|server| requirement.allows_server(server))
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
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
