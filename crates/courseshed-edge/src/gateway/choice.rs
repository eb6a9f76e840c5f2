//! Server selection. No I/O; the current time is passed in.
//!
//! Selects the server with the lowest expected cost (see [`super::cost`]). Among servers of similar
//! cost, all gateways prefer the same one for the same prompt, so that few servers have to prefill
//! it. Servers in backoff or avoided by outlier detection are used only if no other is available; a
//! server due for a probe is selected first. Servers of evacuated zones are excluded, and so are
//! cold servers of services that limit them until they should be warm.

use std::borrow::Cow;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::{Server, Standing};
use courseshed_routing::HomeRegions;
use courseshed_types::{Distance, PromptPart, ServerKey};

use super::chosen::Chosen;
use super::cost::{OTHER_ZONE_MS, Prospect, ServicePace, expected_ms, would_wait};
use super::directory::{Preference, preference};
use super::policy::Mechanism;
use super::servers::{Seen, ServerTable};

/// Maximum cost, in milliseconds, by which the shared preference order ranks servers.
const PREFERENCE_MS: f64 = 4.0;

/// Factor by which the candidate set grows while all candidates are crowded.
const WIDER: usize = 4;
/// Candidate set growth at which the search stops if any candidate is available; beyond it, more
/// candidates hardly improve the choice.
const MOST_WIDTH: usize = 16;

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
    pub most_in_flight: u32,
    /// The regions in which the call may be served.
    pub homes: &'a HomeRegions,
}

/// The inputs of a server selection, for the access log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceInputs {
    /// Calls of all known gateways at the server.
    pub calls: u32,
    /// Age of the last load report of the other gateways.
    pub loads_age: Duration,
    /// Estimated number of prompt tokens that the server does not have cached.
    pub unread_tokens: u32,
}

impl ServerTable {
    /// Selects a server for a call, excluding `excluded`. `tie` is a random number that breaks
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
    ) -> Option<Chosen> {
        let is_shared = self.policy.uses(Mechanism::SharedPreference);
        let shared_salt = demand.parts.first().filter(|_| is_shared);
        let (salt, preference) = match shared_salt {
            Some(part) => (part.id, Preference::Shared(part.id)),
            None => (tie, Preference::Any(tie)),
        };
        let all = self.directory.count(demand.service);
        let mut width = 1;
        loop {
            let weighed = self.weighed(demand, preference, width, now);
            let is_all = weighed.len() >= all;
            let open: Vec<&Seen> = weighed
                .iter()
                .map(|seen| &**seen)
                .filter(|seen| self.takes_calls(&seen.server))
                .filter(|seen| demand.homes.allows(self.zones.region_of(&seen.server.zone)))
                .filter(|seen| self.should_be_warm(&seen.server, now))
                .filter(|seen| !excluded.contains(&seen.server.id))
                .filter(|seen| seen.in_flight < demand.most_in_flight)
                .collect();
            let chosen = self.choose_among(self.warm_first(open), demand, now, salt);
            let is_last = is_all || (width >= MOST_WIDTH && chosen.is_some());
            if is_last || chosen.is_some_and(|chosen| !chosen.is_crowded()) {
                return chosen.map(|seen| Chosen::of(&seen.server));
            }
            width *= WIDER;
        }
    }

    /// The candidates for a call: the preferred servers, those that have the call's own prompt
    /// segments cached, and avoided ones that may be due for a probe.
    fn weighed(
        &self,
        demand: &Demand,
        preference: Preference,
        width: usize,
        now: Duration,
    ) -> Vec<Cow<'_, Seen>> {
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
            .map(|server| match self.seen.get(&server.id) {
                Some(seen) => Cow::Borrowed(seen),
                None => Cow::Owned(Seen::new(server)),
            })
            .collect()
    }

    fn choose_among<'a>(
        &self,
        open: Vec<&'a Seen>,
        demand: &Demand,
        now: Duration,
        salt: u64,
    ) -> Option<&'a Seen> {
        let probed = |seen: &&&Seen| self.standing(seen, now) == Standing::Probed;
        if let Some(probed) = open.iter().find(probed) {
            return Some(probed);
        }
        let awake: Vec<&Seen> = open
            .iter()
            .copied()
            .filter(|seen| seen.rests_until <= now)
            .filter(|seen| self.standing(seen, now) == Standing::Trusted)
            .collect();
        let candidates = if awake.is_empty() { open } else { awake };
        let usual_ms = median_ms(&candidates);
        let pace = self.pace_of(demand.service);
        let cost = |seen: &Seen| {
            let prospect = self.prospect(seen, demand, usual_ms, now);
            expected_ms(&prospect, &pace) + PREFERENCE_MS * seen.preference(salt)
        };
        let costs = candidates.into_iter().map(|seen| (cost(seen), seen));
        let (_, chosen) = costs.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(chosen)
    }

    /// The servers known to be warm, or all if there are none.
    fn warm_first<'a>(&self, open: Vec<&'a Seen>) -> Vec<&'a Seen> {
        let warm: Vec<&Seen> = open
            .iter()
            .copied()
            .filter(|seen| !self.is_cold(&seen.server))
            .collect();
        if warm.is_empty() { open } else { warm }
    }

    fn prospect(&self, seen: &Seen, demand: &Demand, usual_ms: f64, now: Duration) -> Prospect {
        let unread_tokens = if self.policy.uses(Mechanism::PromptMemory) {
            self.prompts.unread_tokens(seen.key, demand.parts, now)
        } else {
            0
        };
        let slowness = if self.policy.uses(Mechanism::ServerPace) {
            seen.slowness(usual_ms)
        } else {
            1.0
        };
        Prospect {
            calls: seen.calls(),
            slots: seen.server.slots,
            slowness,
            unread_tokens,
            way_ms: self.way_ms(demand.zone, &seen.server.zone),
        }
    }

    /// Network cost of a call between two zones, in milliseconds.
    fn way_ms(&self, from: &str, to: &str) -> f64 {
        if !self.policy.uses(Mechanism::OwnZone) {
            return 0.0;
        }
        match self.zones.distance(from, to) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_MS,
            Distance::OtherRegion => self.region_way.call_ms(),
        }
    }

    fn pace_of(&self, service: &str) -> ServicePace {
        let estimate = self.paces.get(service).copied().unwrap_or_default();
        estimate.pace()
    }

    /// The statistics of a server that a call is about to be sent to.
    #[must_use]
    pub fn choice_inputs(&self, id: &str, parts: &[PromptPart], now: Duration) -> ChoiceInputs {
        let calls = self.seen.get(id).map_or(0, Seen::calls);
        ChoiceInputs {
            calls,
            loads_age: now.saturating_sub(self.others_noted),
            unread_tokens: self.prompts.unread_tokens(ServerKey::of(id), parts, now),
        }
    }
}

impl Seen {
    /// The server's latency relative to the median of its service.
    fn slowness(&self, usual_ms: f64) -> f64 {
        if self.usual_ms == 0.0 || usual_ms == 0.0 {
            return 1.0;
        }
        (self.usual_ms / usual_ms).clamp(0.5, 10.0)
    }

    /// The server's rank in the shared preference order for `salt`, from 0 (first) to 1.
    fn preference(&self, salt: u64) -> f64 {
        preference(self.key, salt) as f64 / u64::MAX as f64
    }

    /// Whether a further call is expected to queue.
    fn is_crowded(&self) -> bool {
        would_wait(self.calls(), self.server.slots)
    }
}

fn median_ms(candidates: &[&Seen]) -> f64 {
    let mut times: Vec<f64> = candidates
        .iter()
        .map(|seen| seen.usual_ms)
        .filter(|time| *time > 0.0)
        .collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(0.0)
}
