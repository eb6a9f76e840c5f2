//! Whether a server is avoided, for how long, and when it is trusted again. Pure: times are passed in.
//!
//! A failing server gets no calls for a while that grows as it fails again. Then it is probed: one call
//! at a time, by about one gateway at a time. A failed probe begins another while; after some answered
//! ones it is trusted. All gateways see nearly the same counts and so come to nearly the same.
//!
//! Invariants: what was counted before a server was probed never decides whether it is trusted, nor
//! whether it is avoided again; of a service no more than half of the servers are avoided, else none is.

use std::time::Duration;

use crate::outcomes::{FadingCounts, OutcomeCounts, fails_as_a_whole, far_above_others};

/// How long a server is avoided before it is probed for the first time. Reports of the calls that were
/// under way come within two or three exchanges of 80 ms and up; before that nothing new is known.
const FIRST_WHILE: Duration = Duration::from_millis(500);
/// The longest such while: a server that is sound again is to be back within about two seconds, and its
/// probes and what gateways tell of them take one.
const LONGEST_WHILE: Duration = Duration::from_secs(1);
/// After so long without being avoided a server's first while is short again.
const FORGIVEN_AFTER: Duration = Duration::from_secs(15);
/// From one probe to the next of all gateways, on the average: a bit longer than an exchange, so that
/// others mostly know of a failed probe before they make one.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Probes answered before a server is trusted. One that fails 4 calls in 10 passes once in eight times.
const SOUND_PROBES: f64 = 4.0;
/// What is left of that number when the probes took some time and were told to others.
const FADED: f64 = 0.8;
/// After so long without a failed probe, and again after each further such time, half as many answered
/// ones are enough, and half as many gateways wait for their turn: a service with few calls gets no more
/// probes than it has calls.
const PATIENCE: Duration = Duration::from_secs(1);
/// The least that is left of answered probes when a server is trusted: one, about a second ago.
const LEAST_SOUND: f64 = 0.4;
/// A failure since the probes began: one call, or what is left of it when others hear of it.
const A_FAILURE: f64 = 0.5;

/// How a server stands with a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It gets calls like any other.
    Trusted,
    /// It gets one call now, to see whether it is sound.
    Probed,
    /// It gets calls only when no other server is open.
    Avoided,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidanceChange {
    /// The server is avoided from now on.
    Begun,
    /// It failed a probe, and isn't probed for a longer while.
    Prolonged,
    /// It is trusted again.
    Ended,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Trusted,
    Shunned {
        until: Duration,
    },
    Probed {
        since: Duration,
        last_probe: Option<Duration>,
    },
}

/// The avoidance of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Avoidance {
    phase: Phase,
    /// Whiles since the server was sound for long.
    whiles: u32,
    /// When it was trusted last.
    trusted_at: Duration,
    /// What had been counted when the probes began; that no longer counts.
    before: FadingCounts,
    /// Calls there that are no probes: streams that began before go on for long.
    calls_before: u32,
}

/// Goes on with the servers of one service, each with all that was counted of it. Returns what changed,
/// in the same order.
pub fn advance_service(
    service: &mut [(&mut Avoidance, OutcomeCounts)],
    now: Duration,
) -> Vec<Option<AvoidanceChange>> {
    let fresh: Vec<OutcomeCounts> = service
        .iter()
        .map(|(avoidance, counts)| avoidance.fresh(counts, now))
        .collect();
    let failing = far_above_others(&fresh);
    let avoided = service.iter().zip(&failing);
    let avoided = avoided.filter(|((avoidance, _), failing)| avoidance.is_on() || **failing);
    if 2 * avoided.count() > service.len() || fails_as_a_whole(&fresh) {
        let servers = service.iter_mut();
        return servers
            .map(|(avoidance, counts)| avoidance.release(counts, now))
            .collect();
    }
    let servers = service.iter_mut().zip(failing);
    servers
        .map(|((avoidance, counts), failing)| avoidance.advance(counts, failing, now))
        .collect()
}

/// What decides who makes a probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeTurn {
    /// A number that differs by gateway and by server.
    pub seed: u64,
    /// How many gateways there are.
    pub gateways: u32,
    /// Calls of all gateways there, as far as known.
    pub calls: u32,
}

impl Avoidance {
    /// What was counted since the server was probed last.
    #[must_use]
    pub fn fresh(&self, counts: &OutcomeCounts, now: Duration) -> OutcomeCounts {
        counts.beyond(&self.before.at(now))
    }

    /// Whether the server is avoided or probed.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.phase != Phase::Trusted
    }

    /// Goes on with all that was counted of the server, and whether what is fresh of it is failing.
    pub fn advance(
        &mut self,
        counts: &OutcomeCounts,
        is_failing: bool,
        now: Duration,
    ) -> Option<AvoidanceChange> {
        match self.phase {
            Phase::Trusted if is_failing => {
                if now.saturating_sub(self.trusted_at) > FORGIVEN_AFTER {
                    self.whiles = 0;
                }
                self.shun(now);
                Some(AvoidanceChange::Begun)
            }
            Phase::Shunned { until } if until <= now => {
                self.phase = Phase::Probed {
                    since: now,
                    last_probe: None,
                };
                self.before = FadingCounts::new(*counts, now);
                None
            }
            Phase::Probed { since, .. } => self.judge_probes(counts, since, now),
            _ => None,
        }
    }

    /// Ends the avoidance since too many fail: the cause is elsewhere.
    fn release(&mut self, counts: &OutcomeCounts, now: Duration) -> Option<AvoidanceChange> {
        if !self.is_on() {
            return None;
        }
        self.before = FadingCounts::new(*counts, now);
        self.trust(now)
    }

    fn trust(&mut self, now: Duration) -> Option<AvoidanceChange> {
        self.phase = Phase::Trusted;
        self.trusted_at = now;
        Some(AvoidanceChange::Ended)
    }

    fn judge_probes(
        &mut self,
        counts: &OutcomeCounts,
        since: Duration,
        now: Duration,
    ) -> Option<AvoidanceChange> {
        let fresh = self.fresh(counts, now);
        if fresh.failed >= A_FAILURE {
            self.shun(now);
            return Some(AvoidanceChange::Prolonged);
        }
        let enough = SOUND_PROBES * FADED * impatience(since, now);
        if fresh.answered < enough.max(LEAST_SOUND) {
            return None;
        }
        self.trust(now)
    }

    fn shun(&mut self, now: Duration) {
        let grown = FIRST_WHILE * 2u32.saturating_pow(self.whiles.min(8));
        self.whiles = self.whiles.saturating_add(1);
        self.phase = Phase::Shunned {
            until: now + grown.min(LONGEST_WHILE),
        };
    }

    /// Notes how many calls of all gateways are there, as far as known; to be said before going on.
    pub fn note_calls(&mut self, calls: u32) {
        self.calls_before = match self.phase {
            Phase::Probed { .. } => self.calls_before.min(calls),
            Phase::Trusted | Phase::Shunned { .. } => calls,
        };
    }

    /// Notes that a call goes to the server.
    pub fn note_sent(&mut self, now: Duration) {
        if let Phase::Probed { last_probe, .. } = &mut self.phase {
            *last_probe = Some(now);
        }
    }

    /// How the server stands with a gateway.
    #[must_use]
    pub fn standing(&self, turn: ProbeTurn, now: Duration) -> Standing {
        match self.phase {
            Phase::Trusted => Standing::Trusted,
            Phase::Shunned { .. } => Standing::Avoided,
            Phase::Probed { since, last_probe } => {
                let rested = last_probe.is_none_or(|last| now >= last + PROBE_INTERVAL);
                if rested && turn.calls <= self.calls_before && turn.is_now(since, now) {
                    Standing::Probed
                } else {
                    Standing::Avoided
                }
            }
        }
    }
}

impl ProbeTurn {
    /// In each interval each gateway has its turn with the chance of one in all gateways, at first.
    fn is_now(&self, since: Duration, now: Duration) -> bool {
        let interval = (now.as_millis() / PROBE_INTERVAL.as_millis()) as u64;
        let gateways = f64::from(self.gateways) * impatience(since, now);
        mix(self.seed ^ mix(interval)).is_multiple_of((gateways as u64).max(1))
    }
}

/// 1 at first, halved with each [`PATIENCE`] that has passed since the first one.
fn impatience(since: Duration, now: Duration) -> f64 {
    let waited = now.saturating_sub(since + PATIENCE).as_secs_f64();
    (-waited / PATIENCE.as_secs_f64()).exp2()
}

/// Spreads numbers evenly (the finishing step of SplitMix64).
fn mix(number: u64) -> u64 {
    let mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
