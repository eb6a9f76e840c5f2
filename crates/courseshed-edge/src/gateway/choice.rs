//! Server selection. No I/O; the current time is passed in.
//!
//! Selects the server with the lowest expected cost (see [`super::cost`]). Among servers of similar
//! cost, all gateways prefer the same one for the same prompt, so that few servers have to prefill
//! it. Servers in backoff or avoided by outlier detection are used only if no other is available; a
//! server due for a probe is selected first. Servers of evacuated zones are excluded.
//!
//! Servers that are warming up in a service that limits them need a permit. They are selected if a
//! permit may be had and no warm server is available or has a lower cost.

use std::borrow::Cow;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::{Server, ServerAvailability};
use courseshed_routing::AllowedRegions;
use courseshed_types::{Distance, PromptPart, ServerKey};

use super::cost::{CROSS_ZONE_COST_MS, CostInputs, ServiceLatency, expected_cost_ms, would_queue};
use super::directory::{Preference, rendezvous_rank};
use super::policy::Mechanism;
use super::selected_server::SelectedServer;
use super::servers::{ServerStats, ServerTable};
use super::version_requirement::VersionRequirement;
use super::warmup::PermitAccess;

/// Maximum cost, in milliseconds, by which the shared preference order ranks servers.
const MAX_PREFERENCE_COST_MS: f64 = 4.0;

/// Factor by which the candidate set grows while all candidates are crowded.
const WIDTH_GROWTH: usize = 4;
/// Candidate set growth at which the search stops if any candidate is available: of some 2,000
/// servers of the own zone, the least crowded candidate is about as good as the best of all.
const MAX_WIDTH: usize = 16;

/// Cost of requesting a permit, in milliseconds: a round trip to the controllers' leader, which may
/// be writing its log.
const PERMIT_REQUEST_COST_MS: f64 = 5.0;

/// The requirements of a call for its server.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a str,
    /// The zone of the gateway.
    pub zone: &'a str,
    /// The prompt segments; empty if cached prompts are irrelevant.
    pub parts: &'a [PromptPart],
    /// Maximum number of calls of this gateway at one server.
    pub max_in_flight: u32,
    /// The regions in which the call may be served.
    pub allowed_regions: &'a AllowedRegions,
    /// Which servers may continue the stream, if the call resumes one.
    pub version: &'a VersionRequirement,
}

/// The inputs of a server selection, for the access log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceInputs {
    /// Calls of all known gateways at the server.
    pub calls: u32,
    /// Age of the last load report of the other gateways.
    pub loads_age: Duration,
    /// Estimated number of prompt tokens that the server does not have cached.
    pub uncached_tokens: u32,
}

/// A selected server, or why there is none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerChoice {
    /// The server; `None` if none is available.
    pub server: Option<SelectedServer>,
    /// Whether a call to it needs a permit, since it is warming up.
    pub needs_permit: bool,
    /// Whether a server that needs no permit is available.
    pub has_warm: bool,
    /// Time until the first of the servers that are warming up should be warm; `None` if no such
    /// server could serve the call.
    pub warm_in: Option<Duration>,
}

/// A server with its expected cost for a call.
#[derive(Clone, Copy)]
struct Rated<'a> {
    stats: &'a ServerStats,
    cost_ms: f64,
    /// Whether the server is neither in backoff nor avoided.
    is_trusted: bool,
}

/// A server selected for a call, with its expected cost.
struct RatedServer {
    server: SelectedServer,
    cost_ms: f64,
    is_trusted: bool,
}

impl ServerTable {
    /// Selects a server for a call, excluding `excluded`. Servers that are warming up are selected
    /// if `access`, which is called with a server's name, says that a permit may be had. `tie` is a
    /// random number that breaks ties.
    #[must_use]
    pub fn choose_with_permits(
        &self,
        demand: &Demand,
        excluded: &[String],
        now: Duration,
        tie: u64,
        access: impl Fn(&str) -> PermitAccess,
    ) -> ServerChoice {
        let warm = self.choose_rated(demand, excluded, now, tie);
        let mut choice = ServerChoice {
            has_warm: warm.is_some(),
            ..ServerChoice::default()
        };
        let warming = self.choose_warming(demand, excluded, now, tie, access, &mut choice.warm_in);
        choice.needs_permit = match (&warm, &warming) {
            (Some(warm), Some(warming)) => !warm.is_trusted || warming.cost_ms < warm.cost_ms,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        let chosen = if choice.needs_permit { warming } else { warm };
        choice.server = chosen.map(|chosen| chosen.server);
        choice
    }

    /// Selects among the servers that are warming up in a service that limits them.
    fn choose_warming(
        &self,
        demand: &Demand,
        excluded: &[String],
        now: Duration,
        tie: u64,
        access: impl Fn(&str) -> PermitAccess,
        warm_in: &mut Option<Duration>,
    ) -> Option<RatedServer> {
        if !self.limits_warm_up(demand.service) {
            return None;
        }
        let (salt, preference) = self.preference(demand, tie);
        let candidates = self.candidates(demand, preference, 1, now);
        let warming: Vec<&ServerStats> = candidates
            .iter()
            .map(|stats| &**stats)
            .filter(|stats| self.may_serve(stats, demand, excluded))
            .filter(|stats| !self.is_expected_warm(&stats.server, now))
            .filter(|stats| stats.backoff_until <= now)
            .filter(|stats| self.availability(stats, now) == ServerAvailability::Trusted)
            .collect();
        let times = warming.iter();
        *warm_in = times
            .filter_map(|stats| self.warm_in(&stats.server.id, now))
            .min();
        let median_latency_ms = median_ms(&warming);
        let latency = self.latency_of(demand.service);
        let rated = warming.into_iter().filter_map(|stats| {
            let request_ms = match access(stats.server.name()) {
                PermitAccess::Free => 0.0,
                PermitAccess::Requestable => PERMIT_REQUEST_COST_MS,
                PermitAccess::Denied => return None,
            };
            let inputs = self.cost_inputs(stats, demand, median_latency_ms, now);
            let cost_ms = expected_cost_ms(&inputs, &latency)
                + request_ms
                + MAX_PREFERENCE_COST_MS * stats.preference_rank(salt);
            Some((cost_ms, stats))
        });
        let (cost_ms, stats) = rated.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(RatedServer {
            server: SelectedServer::of(&stats.server),
            cost_ms,
            is_trusted: true,
        })
    }

    /// Whether a server may serve a call at all.
    fn may_serve(&self, stats: &ServerStats, demand: &Demand, excluded: &[String]) -> bool {
        let region = self.zones.region_of(&stats.server.zone);
        self.is_eligible(&stats.server)
            && demand.allowed_regions.allows(region)
            && demand.version.allows_server(&stats.server)
            && !excluded.contains(&stats.server.id)
            && stats.in_flight < demand.max_in_flight
    }

    /// Selects a server that needs no permit for a call, excluding `excluded`. `tie` is a random number that breaks
    /// ties.
    ///
    /// The candidate set grows while all candidates are unavailable or crowded.
    #[must_use]
    pub fn choose(
        &self,
        demand: &Demand,
        excluded: &[String],
        now: Duration,
        tie: u64,
    ) -> Option<SelectedServer> {
        let chosen = self.choose_rated(demand, excluded, now, tie)?;
        Some(chosen.server)
    }

    fn choose_rated(
        &self,
        demand: &Demand,
        excluded: &[String],
        now: Duration,
        tie: u64,
    ) -> Option<RatedServer> {
        let (salt, preference) = self.preference(demand, tie);
        let all = self.directory.count(demand.service);
        let mut width = 1;
        loop {
            let candidates = self.candidates(demand, preference, width, now);
            let is_all = candidates.len() >= all;
            let available: Vec<&ServerStats> = candidates
                .iter()
                .map(|stats| &**stats)
                .filter(|stats| self.may_serve(stats, demand, excluded))
                .filter(|stats| self.is_expected_warm(&stats.server, now))
                .collect();
            let chosen = self.choose_among(self.prefer_warm(available), demand, now, salt);
            let is_last = is_all || (width >= MAX_WIDTH && chosen.is_some());
            if is_last || chosen.is_some_and(|chosen| !chosen.stats.is_crowded()) {
                return chosen.map(|chosen| RatedServer {
                    server: SelectedServer::of(&chosen.stats.server),
                    cost_ms: chosen.cost_ms,
                    is_trusted: chosen.is_trusted,
                });
            }
            width *= WIDTH_GROWTH;
        }
    }

    /// The salt of the preference order for a call, and how its candidates are picked.
    fn preference(&self, demand: &Demand, tie: u64) -> (u64, Preference) {
        let is_shared = self.policy.uses(Mechanism::SharedPreference);
        let shared_salt = demand.parts.first().filter(|_| is_shared);
        match shared_salt {
            Some(part) => (part.id, Preference::Shared(part.id)),
            None => (tie, Preference::Any(tie)),
        }
    }

    /// The candidates for a call: the preferred servers, those that have the call's own prompt
    /// segments cached, and avoided ones that may be due for a probe.
    fn candidates(
        &self,
        demand: &Demand,
        preference: Preference,
        width: usize,
        now: Duration,
    ) -> Vec<Cow<'_, ServerStats>> {
        let servers = self
            .directory
            .candidates(demand.service, demand.zone, preference, width);
        let all = self.directory.count(demand.service);
        let is_all = servers.len() >= all;
        let mut others: Vec<&Arc<Server>> = Vec::new();
        if !is_all {
            let holders = self.prompts.holders(demand.parts, now);
            others.extend(
                holders
                    .into_iter()
                    .filter_map(|key| self.directory.by_key(key)),
            );
            let avoided = self.avoided_ids.iter();
            others.extend(avoided.filter_map(|id| self.directory.get(id)));
            let known: HashSet<&str> = servers.iter().map(|server| &*server.id).collect();
            others
                .retain(|server| server.service == demand.service && !known.contains(&*server.id));
        }
        let others: Vec<Arc<Server>> = others.into_iter().cloned().collect();
        let servers = servers.into_iter().chain(others);
        servers
            .map(|server| match self.stats.get(&server.id) {
                Some(stats) => Cow::Borrowed(stats),
                None => Cow::Owned(ServerStats::new(server)),
            })
            .collect()
    }

    fn choose_among<'a>(
        &self,
        available: Vec<&'a ServerStats>,
        demand: &Demand,
        now: Duration,
        salt: u64,
    ) -> Option<Rated<'a>> {
        let probed =
            |stats: &&&ServerStats| self.availability(stats, now) == ServerAvailability::Probed;
        if let Some(probed) = available.iter().find(probed) {
            // Selected whatever the others cost.
            return Some(Rated {
                stats: probed,
                cost_ms: 0.0,
                is_trusted: true,
            });
        }
        let trusted: Vec<&ServerStats> = available
            .iter()
            .copied()
            .filter(|stats| stats.backoff_until <= now)
            .filter(|stats| self.availability(stats, now) == ServerAvailability::Trusted)
            .collect();
        let is_trusted = !trusted.is_empty();
        let candidates = if is_trusted { trusted } else { available };
        let median_latency_ms = median_ms(&candidates);
        let latency = self.latency_of(demand.service);
        let cost = |stats: &ServerStats| {
            let cost_inputs = self.cost_inputs(stats, demand, median_latency_ms, now);
            expected_cost_ms(&cost_inputs, &latency)
                + MAX_PREFERENCE_COST_MS * stats.preference_rank(salt)
        };
        let costs = candidates.into_iter().map(|stats| (cost(stats), stats));
        let (cost_ms, stats) = costs.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(Rated {
            stats,
            cost_ms,
            is_trusted,
        })
    }

    /// The servers known to be warm, or all if there are none.
    fn prefer_warm<'a>(&self, available: Vec<&'a ServerStats>) -> Vec<&'a ServerStats> {
        let warm: Vec<&ServerStats> = available
            .iter()
            .copied()
            .filter(|stats| !self.is_cold(&stats.server))
            .collect();
        if warm.is_empty() { available } else { warm }
    }

    fn cost_inputs(
        &self,
        stats: &ServerStats,
        demand: &Demand,
        median_latency_ms: f64,
        now: Duration,
    ) -> CostInputs {
        let uncached_tokens = if self.policy.uses(Mechanism::PromptCache) {
            self.prompts.uncached_tokens(stats.key, demand.parts, now)
        } else {
            0
        };
        let slowness = if self.policy.uses(Mechanism::ServerLatency) {
            stats.slowness(median_latency_ms)
        } else {
            1.0
        };
        CostInputs {
            calls: stats.calls(),
            slots: stats.server.slots,
            slowness,
            uncached_tokens,
            network_ms: self.network_ms(demand.zone, &stats.server.zone),
        }
    }

    /// Network cost of a call between two zones, in milliseconds.
    fn network_ms(&self, from: &str, to: &str) -> f64 {
        if !self.policy.uses(Mechanism::OwnZone) {
            return 0.0;
        }
        match self.zones.distance(from, to) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => CROSS_ZONE_COST_MS,
            Distance::OtherRegion => self.region_latency.call_ms(),
        }
    }

    fn latency_of(&self, service: &str) -> ServiceLatency {
        let estimate = self.latencies.get(service).copied().unwrap_or_default();
        estimate.latency()
    }

    /// The statistics of a server that a call is about to be sent to.
    #[must_use]
    pub fn choice_inputs(&self, id: &str, parts: &[PromptPart], now: Duration) -> ChoiceInputs {
        let calls = self.stats.get(id).map_or(0, ServerStats::calls);
        ChoiceInputs {
            calls,
            loads_age: now.saturating_sub(self.load_reported_at),
            uncached_tokens: self.prompts.uncached_tokens(ServerKey::of(id), parts, now),
        }
    }
}

impl ServerStats {
    /// The server's latency relative to the median of its service.
    fn slowness(&self, median_latency_ms: f64) -> f64 {
        if self.average_ms == 0.0 || median_latency_ms == 0.0 {
            return 1.0;
        }
        (self.average_ms / median_latency_ms).clamp(0.5, 10.0)
    }

    /// The server's rank in the shared preference order for `salt`, from 0 (first) to 1.
    fn preference_rank(&self, salt: u64) -> f64 {
        rendezvous_rank(self.key, salt) as f64 / u64::MAX as f64
    }

    /// Whether a further call is expected to queue.
    fn is_crowded(&self) -> bool {
        would_queue(self.calls(), self.server.slots)
    }
}

fn median_ms(candidates: &[&ServerStats]) -> f64 {
    let mut times: Vec<f64> = candidates
        .iter()
        .map(|stats| stats.average_ms)
        .filter(|time| *time > 0.0)
        .collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(0.0)
}
