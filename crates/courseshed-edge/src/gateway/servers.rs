//! Which server a request goes to, from what this gateway has seen of them. Pure: times are passed in.
//!
//! Gateways tell each other how many calls they have at each server, a moment late. A server gets no
//! more calls at once than a bound above the average (consistent hashing with bounded loads,
//! Mirrokni, Thorup and Zadimoghaddam, 2018), and of those below it, the one that saw the same thing
//! lately is preferred.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use courseshed_registry::{LoadReport, Server, ServerKey, ServerLoad, ServerState};
use xxhash_rust::xxh3::xxh3_64;

/// How far above the average a server may be loaded by affinity.
const LOAD_BOUND: f64 = 1.25;
/// Weight of the newest time in the average of a server's times.
const NEWEST_WEIGHT: f64 = 0.15;
/// A server whose times are so many times the usual ones is slow: affinity doesn't lead there.
const SLOW_FACTOR: f64 = 2.5;
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

/// What became of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// It answered, the first part after so long.
    Answered(Duration),
    /// It was full, or refused without running the request.
    Full,
    /// The connection failed, or no whole answer came.
    Failed,
}

#[derive(Clone, Debug)]
struct Seen {
    server: Server,
    /// Calls of this gateway.
    in_flight: u32,
    /// Calls of the other gateways, as they said last.
    others: u32,
    /// Average time to the first part of an answer, in milliseconds; 0 when none was seen.
    usual_ms: f64,
    failures: u32,
    rests_until: Duration,
}

/// The servers, as this gateway sees them.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    seen: BTreeMap<String, Seen>,
    others_noted: Duration,
}

impl ServerTable {
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
        (seen.server.state == ServerState::Ready).then(|| Chosen {
            id: id.to_owned(),
            address: seen.server.address,
        })
    }

    /// Chooses a server of a service, none of `excluded`. `tie` breaks ties.
    #[must_use]
    pub fn choose(
        &self,
        service: &str,
        affinity_key: Option<&str>,
        excluded: &[String],
        now: Duration,
        tie: u64,
    ) -> Option<Chosen> {
        let open: Vec<&Seen> = self
            .seen
            .values()
            .filter(|seen| seen.server.service == service)
            .filter(|seen| seen.server.state == ServerState::Ready)
            .filter(|seen| !excluded.contains(&seen.server.id))
            .collect();
        let awake: Vec<&Seen> = open
            .iter()
            .copied()
            .filter(|seen| seen.rests_until <= now)
            .collect();
        let candidates = if awake.is_empty() { open } else { awake };
        let usual_ms = median_ms(&candidates);
        let favourite = affinity_key.and_then(|key| favourite(&candidates, key, usual_ms));
        let chosen = favourite.or_else(|| least_loaded(&candidates, usual_ms, tie))?;
        Some(Chosen {
            id: chosen.server.id.clone(),
            address: chosen.server.address,
        })
    }

    /// The calls of this gateway, for the others.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let busy = self.seen.values().filter(|seen| seen.in_flight > 0);
        let servers = busy.map(|seen| ServerLoad {
            server: ServerKey::of(&seen.server.id),
            in_flight: seen.in_flight,
        });
        LoadReport {
            gateways: 1,
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
            let key = ServerKey::of(&seen.server.id);
            seen.others = by_key.get(&key).copied().unwrap_or(0);
        }
        self.others_noted = now;
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
        match report {
            Report::Answered(took) => {
                let took_ms = took.as_secs_f64() * 1000.0;
                seen.usual_ms = if seen.usual_ms == 0.0 {
                    took_ms
                } else {
                    seen.usual_ms + NEWEST_WEIGHT * (took_ms - seen.usual_ms)
                };
                seen.failures = 0;
                seen.rests_until = Duration::ZERO;
            }
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

    fn load(&self) -> f64 {
        f64::from(self.calls()) / f64::from(self.server.slots.max(1))
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

/// The first server of the key's own order that isn't loaded beyond the bound.
fn favourite<'a>(candidates: &[&'a Seen], key: &str, usual_ms: f64) -> Option<&'a Seen> {
    let calls: u32 = candidates.iter().map(|seen| seen.calls()).sum();
    let average = f64::from(calls + 1) / candidates.len().max(1) as f64;
    let bound = (average * LOAD_BOUND).ceil();
    candidates
        .iter()
        .copied()
        .filter(|seen| f64::from(seen.calls()) < bound)
        .filter(|seen| seen.slowness(usual_ms) < SLOW_FACTOR)
        .max_by_key(|seen| rank(key, &seen.server.id))
}

fn least_loaded<'a>(candidates: &[&'a Seen], usual_ms: f64, tie: u64) -> Option<&'a Seen> {
    let cost = |seen: &Seen| {
        let share = 1.0 / f64::from(seen.server.slots.max(1));
        (seen.load() + share) * seen.slowness(usual_ms)
    };
    candidates.iter().copied().min_by(|left, right| {
        let by_cost = cost(left).total_cmp(&cost(right));
        let place = |seen: &Seen| xxh3_64(seen.server.id.as_bytes()) ^ tie;
        by_cost.then_with(|| place(left).cmp(&place(right)))
    })
}

fn rank(key: &str, id: &str) -> u64 {
    xxh3_64(format!("{key}/{id}").as_bytes())
}
