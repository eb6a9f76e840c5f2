//! Which server a request goes to, from what this gateway has seen of them. Pure: times are passed in.
//!
//! Gateways tell each other how many calls they have at each server, a moment late. A call goes where
//! it is expected to cost least (see [`super::cost`]); of servers that cost nearly the same, all
//! gateways prefer the same one for the same prompt, so that it need not be read at many.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use courseshed_registry::{LoadReport, Server, ServerLoad, ServerState};
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cost::{PaceEstimate, Prospect, ServicePace, expected_ms};
use super::policy::{Mechanism, Policy};
use super::prompt_memory::PromptMemory;

/// Weight of the newest time in the average of a server's times.
const NEWEST_WEIGHT: f64 = 0.15;
/// How much the order that all gateways share may weigh, in milliseconds.
const PREFERENCE_MS: f64 = 4.0;
/// First and longest rest after a failure.
const FIRST_REST: Duration = Duration::from_millis(400);
const LONGEST_REST: Duration = Duration::from_secs(4);
/// How long what other gateways said of their calls counts.
const OTHERS_LIFE: Duration = Duration::from_secs(1);
/// Rest after a server said that it is full.
const FULL_REST: Duration = Duration::from_millis(40);

/// A server that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The life of the server.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What a call needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a str,
    /// The zone of the gateway.
    pub zone: &'a str,
    /// The prompt; empty if it doesn't matter what a server saw before.
    pub parts: &'a [PromptPart],
    /// Most calls that this gateway may have at one server.
    pub most_in_flight: u32,
}

/// What decided the choice of a server, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceInputs {
    /// Calls of all gateways there, as far as known.
    pub calls: u32,
    /// How long ago the other gateways said what they have there.
    pub loads_age: Duration,
    /// Tokens of the prompt that it had still to read, as far as known.
    pub unread_tokens: u32,
}

/// What became of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// It answered a plain call, or went on with a stream by one event, after so long.
    Paced(Duration),
    /// It was full, or refused without running the request.
    Full,
    /// The connection failed, or no whole answer came.
    Failed,
}

#[derive(Clone, Debug)]
struct Seen {
    server: Server,
    key: ServerKey,
    /// Calls of this gateway.
    in_flight: u32,
    /// Calls of the other gateways, as they said last.
    others: u32,
    /// Average time of a plain answer or from one event to the next, in milliseconds; 0 when none
    /// was seen.
    usual_ms: f64,
    failures: u32,
    rests_until: Duration,
}

/// The servers, as this gateway sees them.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    policy: Policy,
    seen: BTreeMap<String, Seen>,
    others_noted: Duration,
    gateways: u32,
    prompts: PromptMemory,
    paces: BTreeMap<String, PaceEstimate>,
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

    /// Takes in the list of servers. What was seen of those that stay is kept.
    pub fn replace(&mut self, servers: &[Server]) {
        let mut seen = BTreeMap::new();
        for server in servers {
            let known = self.seen.remove(&server.id);
            let entry = match known {
                Some(mut entry) => {
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
                    rests_until: Duration::ZERO,
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

    /// A server that is on the list and takes new work.
    #[must_use]
    pub fn listed(&self, id: &str) -> Option<Chosen> {
        let seen = self.seen.get(id)?;
        (seen.server.state == ServerState::Ready).then(|| seen.chosen())
    }

    /// Chooses a server for a call, none of `excluded`. `tie` breaks ties.
    #[must_use]
    pub fn choose(
        &self,
        demand: &Demand,
        excluded: &[String],
        now: Duration,
        tie: u64,
    ) -> Option<Chosen> {
        let open: Vec<&Seen> = self
            .seen
            .values()
            .filter(|seen| seen.server.service == demand.service)
            .filter(|seen| seen.server.state == ServerState::Ready)
            .filter(|seen| !excluded.contains(&seen.server.id))
            .filter(|seen| seen.in_flight < demand.most_in_flight)
            .collect();
        let awake: Vec<&Seen> = open
            .iter()
            .copied()
            .filter(|seen| seen.rests_until <= now)
            .collect();
        let candidates = if awake.is_empty() { open } else { awake };
        let usual_ms = median_ms(&candidates);
        let pace = self.pace_of(demand.service);
        let is_shared = self.policy.uses(Mechanism::SharedPreference);
        let shared_salt = demand.parts.first().filter(|_| is_shared);
        let salt = shared_salt.map_or(tie, |part| part.id);
        let cost = |seen: &Seen| {
            let prospect = self.prospect(seen, demand, usual_ms, now);
            expected_ms(&prospect, &pace) + PREFERENCE_MS * seen.preference(salt)
        };
        let costs = candidates.into_iter().map(|seen| (cost(seen), seen));
        let (_, chosen) = costs.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(chosen.chosen())
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
            is_near: seen.server.zone == demand.zone || !self.policy.uses(Mechanism::OwnZone),
        }
    }

    fn pace_of(&self, service: &str) -> ServicePace {
        let estimate = self.paces.get(service).copied().unwrap_or_default();
        estimate.pace()
    }

    /// What is known of a server that a call is about to go to.
    #[must_use]
    pub fn choice_inputs(&self, id: &str, parts: &[PromptPart], now: Duration) -> ChoiceInputs {
        let calls = self.seen.get(id).map_or(0, Seen::calls);
        ChoiceInputs {
            calls,
            loads_age: now.saturating_sub(self.others_noted),
            unread_tokens: self.prompts.unread_tokens(ServerKey::of(id), parts, now),
        }
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

    /// The calls of this gateway, for the others.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let busy = self.seen.values().filter(|seen| seen.in_flight > 0);
        let servers = busy.map(|seen| ServerLoad {
            server: seen.key,
            in_flight: seen.in_flight,
        });
        LoadReport {
            gateways: 1,
            counts_for_ms: 0,
            servers: servers.collect(),
        }
    }

    /// Takes in the calls of the other gateways.
    pub fn note_others(&mut self, others: &LoadReport, now: Duration) {
        let by_key: BTreeMap<ServerKey, u32> = others
            .servers
            .iter()
            .map(|load| (load.server, load.in_flight))
            .collect();
        for seen in self.seen.values_mut() {
            seen.others = by_key.get(&seen.key).copied().unwrap_or(0);
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
            Report::Full | Report::Failed if !rests => {}
            Report::Full => seen.rests_until = now + FULL_REST,
            Report::Failed => {
                let rest = FIRST_REST * 2u32.saturating_pow(seen.failures.min(8));
                seen.failures += 1;
                seen.rests_until = now + rest.min(LONGEST_REST);
            }
        }
    }
}

impl Seen {
    fn slowness(&self, usual_ms: f64) -> f64 {
        if self.usual_ms == 0.0 || usual_ms == 0.0 {
            return 1.0;
        }
        (self.usual_ms / usual_ms).clamp(0.5, 10.0)
    }

    fn calls(&self) -> u32 {
        self.in_flight + self.others
    }

    fn chosen(&self) -> Chosen {
        Chosen {
            id: self.server.id.clone(),
            address: self.server.address,
        }
    }

    /// The server's place in an order that depends on the salt alone: from 0, first, to 1.
    fn preference(&self, salt: u64) -> f64 {
        let hash = xxh3_64_with_seed(&self.key.0.to_le_bytes(), salt);
        hash as f64 / u64::MAX as f64
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

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
