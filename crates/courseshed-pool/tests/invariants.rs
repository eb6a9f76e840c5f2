//! Scheduler invariants under random requests, reports, gateway outages and engine changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use courseshed_pool::{
    CallDemand, CallEnd, CallEndReport, Decision, EngineListing, NameHash, PoolScheduler,
    ProgramContext, RunningCall, Ticket, Verdict,
};
use courseshed_types::{CachedPrompt, NodeId, PromptPart, ServerKey};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

/// Number of calls that an engine may be granted beyond its slots.
const MAX_CALLS_BEYOND_SLOTS: usize = 2;
/// How long after its deadline a repeatedly requested call may lack a decision.
const DECISION_GRACE_MS: u64 = 500;
const ASK_AGAIN_MS: u64 = 150;
/// How long after the last request a call may still be granted.
const ABANDONED_CALL_TIMEOUT_MS: u64 = 1_000;
const GATEWAYS: u32 = 4;

struct WaitingCall {
    demand: CallDemand,
    since_ms: u64,
    deadline_ms: u64,
    asked_ms: u64,
}

/// Random gateways and engines, and checks of each decision.
struct RandomDriver {
    /// Whether engines that are listed again kept their calls; otherwise they were restarted.
    keeps_calls: bool,
    restarts: [u32; 6],
    random: ChaCha8Rng,
    now: u64,
    scheduler: PoolScheduler,
    engines: Vec<EngineListing>,
    waiting: BTreeMap<Ticket, WaitingCall>,
    granted: BTreeMap<Ticket, ServerKey>,
    /// Deadlines of granted calls, at which their callers end them.
    deadlines: BTreeMap<Ticket, u64>,
    /// Running calls that a reconnected gateway reported.
    reported: BTreeMap<Ticket, ServerKey>,
    decided: BTreeSet<Ticket>,
    /// Calls that waited when their gateway went silent, and that it has abandoned.
    abandoned: BTreeMap<Ticket, WaitingCall>,
    silent_until: BTreeMap<NodeId, u64>,
    last_number: u64,
    counts: BTreeMap<&'static str, u64>,
    max_beyond_slots: usize,
}

impl RandomDriver {
    fn new(seed: u64, keeps_calls: bool) -> Self {
        let mut driver = Self {
            keeps_calls,
            restarts: [0; 6],
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            scheduler: PoolScheduler::new(),
            engines: Vec::new(),
            waiting: BTreeMap::new(),
            granted: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            reported: BTreeMap::new(),
            decided: BTreeSet::new(),
            abandoned: BTreeMap::new(),
            silent_until: BTreeMap::new(),
            last_number: 0,
            counts: BTreeMap::new(),
            max_beyond_slots: 0,
        };
        driver.change_engines();
        driver
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random.random_range(0..bound)
    }

    fn pick(&mut self, tickets: Vec<Ticket>) -> Option<Ticket> {
        let index = self.random_below(tickets.len().max(1) as u64) as usize;
        tickets.get(index).copied()
    }

    fn is_silent(&self, gateway: NodeId) -> bool {
        self.silent_until.contains_key(&gateway)
    }

    fn reachable(&self, tickets: impl Iterator<Item = Ticket>) -> Vec<Ticket> {
        tickets
            .filter(|ticket| !self.is_silent(ticket.gateway))
            .collect()
    }

    /// Replaces the engine list: engines are added, removed, not ready, or have other slots.
    fn change_engines(&mut self) {
        self.engines.clear();
        for index in 0..6 {
            if self.random_below(5) > 0 {
                let engine = EngineListing {
                    key: ServerKey(index + 6 * self.restarts[index as usize]),
                    zone: NameHash(self.random_below(2)),
                    slots: self.random_below(5) as u32,
                    memory_tokens: (self.random_below(3) > 0).then_some(50_000),
                    is_ready: self.random_below(5) > 0,
                    version: None,
                };
                self.engines.push(engine);
            } else if !self.keeps_calls {
                self.restarts[index as usize] += 1;
            }
        }
        self.scheduler.set_engines(self.clock(), &self.engines);
    }

    fn random_engine(&mut self) -> ServerKey {
        let index = self.random_below(6) as usize;
        ServerKey(index as u32 + 6 * self.restarts[index])
    }

    fn demand(&mut self) -> CallDemand {
        self.last_number += 1;
        let program = NameHash(self.last_number / 3);
        let parts = (0..self.random_below(4))
            .map(|_| PromptPart {
                id: self.random_below(200),
                tokens: self.random_below(20_000) as u32,
            })
            .collect::<Vec<_>>();
        let key = self.random_engine();
        CallDemand {
            number: self.last_number,
            route: NameHash(self.random_below(3)),
            rank: self.random_below(3) as u32,
            tenant: (self.random_below(3) > 0).then_some(NameHash(self.random_below(5))),
            tenant_weight: 1.0 + self.random_below(3) as f32,
            program: (self.random_below(3) > 0).then_some(ProgramContext {
                program,
                time_left_ms: (self.random_below(3) > 0)
                    .then_some(self.random_below(20_000) as u32),
                budgeted_turns: (self.random_below(2) > 0).then_some(self.random_below(30) as f32),
            }),
            zone: NameHash(self.random_below(2)),
            held: vec![CachedPrompt {
                server: key,
                parts: parts.clone(),
            }],
            parts,
            most_tokens: self.random_below(2_000) as u32,
            waited_ms: self.random_below(100) as u32,
            time_left_ms: self.random_below(4_000) as u32,
            excluded: (0..self.random_below(3))
                .map(|_| self.random_engine())
                .collect(),
            version: None,
        }
    }

    fn ask(&mut self) {
        let gateway = NodeId(self.random_below(u64::from(GATEWAYS)) as u32);
        if self.is_silent(gateway) {
            return;
        }
        let demand = self.demand();
        let ticket = Ticket {
            gateway,
            number: demand.number,
        };
        let waiting = WaitingCall {
            since_ms: self.now - u64::from(demand.waited_ms),
            deadline_ms: self.now + u64::from(demand.time_left_ms),
            asked_ms: self.now,
            demand: demand.clone(),
        };
        self.waiting.insert(ticket, waiting);
        self.scheduler.request(self.clock(), gateway, demand);
    }

    /// Repeats the requests for undecided calls, except those of silent gateways.
    fn ask_again(&mut self) {
        let clock = self.clock();
        for (ticket, waiting) in &mut self.waiting {
            let is_due = self.now >= waiting.asked_ms + ASK_AGAIN_MS;
            if is_due && !self.silent_until.contains_key(&ticket.gateway) {
                waiting.asked_ms = self.now;
                waiting.demand.waited_ms = (self.now - waiting.since_ms) as u32;
                waiting.demand.time_left_ms = waiting.deadline_ms.saturating_sub(self.now) as u32;
                self.scheduler
                    .request(clock, ticket.gateway, waiting.demand.clone());
            }
        }
    }

    fn report_end(&mut self, ticket: Ticket, end: CallEnd) {
        let note = CallEndReport {
            number: ticket.number,
            end,
        };
        self.scheduler
            .report_ends(self.clock(), ticket.gateway, &[note]);
    }

    fn end_random_call(&mut self) {
        let running = self.granted.keys().chain(self.reported.keys()).copied();
        let Some(ticket) = self.pick(self.reachable(running)) else {
            return;
        };
        self.granted.remove(&ticket);
        self.reported.remove(&ticket);
        let took_ms = self.random_below(5_000) as u32;
        let end = match self.random_below(12) {
            0 => CallEnd::Failed,
            1 => CallEnd::Refused,
            2 => CallEnd::Disconnected,
            3 => CallEnd::Abandoned,
            _ => CallEnd::Completed {
                generated: self.random_below(2_000) as u32,
                first_tokens: 1,
                first_part_ms: took_ms / 4,
                took_ms,
            },
        };
        self.report_end(ticket, end);
    }

    /// Ends granted calls at their deadlines.
    fn end_expired_calls(&mut self) {
        let now = self.now;
        let late = self
            .deadlines
            .extract_if(.., |_, deadline_ms| *deadline_ms <= now);
        for ticket in late.map(|(ticket, _)| ticket).collect::<Vec<_>>() {
            let is_granted = self.granted.remove(&ticket).is_some();
            if is_granted && !self.is_silent(ticket.gateway) {
                self.report_end(ticket, CallEnd::Abandoned);
            }
        }
    }

    /// A repeated request for a granted call must be answered with the same grant.
    fn repeat_granted_request(&mut self) {
        let granted = self.reachable(self.granted.keys().copied());
        let Some(ticket) = self.pick(granted) else {
            return;
        };
        let demand = CallDemand {
            number: ticket.number,
            ..self.demand()
        };
        self.check();
        self.scheduler.request(self.clock(), ticket.gateway, demand);
        let again = Verdict::Granted(self.granted[&ticket]);
        for decision in self.scheduler.take_decisions() {
            let is_same = decision.verdict == again;
            assert!(
                decision.ticket == ticket && is_same,
                "{decision:?}, expected {again:?}"
            );
        }
    }

    fn withdraw_random_call(&mut self) {
        let waiting = self.reachable(self.waiting.keys().copied());
        if let Some(ticket) = self.pick(waiting) {
            self.waiting.remove(&ticket);
            self.report_end(ticket, CallEnd::Abandoned);
        }
    }

    /// Reports the end of a call that the scheduler does not know or knows to have ended.
    fn report_unknown_call(&mut self) {
        let number = 1 + self.random_below(self.last_number + 1_000);
        let ticket = Ticket {
            gateway: NodeId(self.random_below(u64::from(GATEWAYS)) as u32),
            number,
        };
        if !self.waiting.contains_key(&ticket) && !self.granted.contains_key(&ticket) {
            self.reported.remove(&ticket);
            self.report_end(ticket, CallEnd::Disconnected);
        }
    }

    fn silence_gateway(&mut self) {
        let gateway = NodeId(self.random_below(u64::from(GATEWAYS)) as u32);
        let until = self.now + 100 + self.random_below(30_000);
        self.silent_until.entry(gateway).or_insert(until);
    }

    /// Reconnects gateways: they report the running calls and abandon the waiting ones.
    fn reconnect_gateways(&mut self) {
        let is_back = |(gateway, until): (&NodeId, &u64)| (*until <= self.now).then_some(*gateway);
        let back: Vec<NodeId> = self.silent_until.iter().filter_map(is_back).collect();
        for gateway in back {
            self.silent_until.remove(&gateway);
            let is_of = |ticket: &Ticket, _: &mut WaitingCall| ticket.gateway == gateway;
            self.abandoned.extend(self.waiting.extract_if(.., is_of));
            self.report_running(gateway);
        }
    }

    fn report_running(&mut self, gateway: NodeId) {
        let is_of = |ticket: &Ticket| ticket.gateway == gateway;
        let granted = self.granted.extract_if(.., |ticket, _| is_of(ticket));
        self.reported.extend(granted);
        let mut random = self.random.clone();
        self.reported
            .retain(|ticket, _| !is_of(ticket) || random.random_range(0..3) > 0);
        self.random = random;
        let reported = self.reported.iter().filter(|(ticket, _)| is_of(ticket));
        let running = reported.map(|(ticket, engine)| RunningCall {
            number: ticket.number,
            engine: *engine,
            running_ms: 500,
        });
        let running: Vec<_> = running.collect();
        self.scheduler
            .report_running(self.clock(), gateway, &running);
    }

    fn step(&mut self) {
        self.now += self.random_below(12);
        self.reconnect_gateways();
        self.end_expired_calls();
        self.check();
        self.ask_again();
        self.check();
        match self.random_below(1_000) {
            0..350 => self.ask(),
            350..650 => self.end_random_call(),
            650..680 => self.withdraw_random_call(),
            680..690 => self.report_unknown_call(),
            690..696 => self.change_engines(),
            696..698 => self.silence_gateway(),
            698..710 => self.repeat_granted_request(),
            _ => self.scheduler.tick(self.clock()),
        }
        self.check();
    }

    fn check(&mut self) {
        for decision in self.scheduler.take_decisions() {
            self.check_decision(decision);
        }
        for (ticket, waiting) in &self.waiting {
            let is_forgotten = self.now > waiting.deadline_ms + DECISION_GRACE_MS;
            let is_silent = self.silent_until.contains_key(&ticket.gateway);
            assert!(
                is_silent || !is_forgotten,
                "{ticket:?} has no decision after its deadline: {:?}",
                waiting.demand
            );
        }
    }

    fn check_decision(&mut self, decision: Decision) {
        let ticket = decision.ticket;
        assert!(
            self.decided.insert(ticket),
            "second decision for a call: {decision:?}"
        );
        if let Some(abandoned) = self.abandoned.remove(&ticket) {
            let since_ms = self.now - abandoned.asked_ms;
            assert!(
                since_ms < ABANDONED_CALL_TIMEOUT_MS,
                "{decision:?}, last requested {since_ms} ms ago"
            );
            self.report_end(ticket, CallEnd::Abandoned);
            return;
        }
        let waiting = self.waiting.remove(&ticket);
        let waiting = waiting.unwrap_or_else(|| panic!("{decision:?} for a call that has ended"));
        let name = match decision.verdict {
            Verdict::Granted(engine) => {
                self.check_grant(ticket, engine, &waiting.demand);
                self.deadlines.insert(ticket, waiting.deadline_ms);
                "granted"
            }
            Verdict::Refused { .. } => "refused",
            Verdict::NoEngine => {
                self.check_no_engine(&waiting.demand);
                "no engine"
            }
            Verdict::Waiting => panic!("{decision:?} is not a decision"),
        };
        *self.counts.entry(name).or_default() += 1;
    }

    fn check_grant(&mut self, ticket: Ticket, key: ServerKey, demand: &CallDemand) {
        let listing = self.engines.iter().find(|engine| engine.key == key);
        let listing =
            listing.unwrap_or_else(|| panic!("{ticket:?} granted unlisted engine {key:?}"));
        assert!(
            listing.is_ready,
            "{ticket:?} granted engine that is not ready: {listing:?}"
        );
        assert!(
            !demand.excluded.contains(&key),
            "{ticket:?} granted excluded engine {key:?}"
        );
        let calls = self
            .granted
            .values()
            .filter(|engine| **engine == key)
            .count();
        let slots = listing.slots as usize;
        assert!(
            calls < slots + MAX_CALLS_BEYOND_SLOTS,
            "{ticket:?} granted while {calls} calls run on {listing:?}"
        );
        self.max_beyond_slots = self.max_beyond_slots.max((calls + 1).saturating_sub(slots));
        self.granted.insert(ticket, key);
    }

    fn check_no_engine(&self, demand: &CallDemand) {
        let may_take = |engine: &&EngineListing| {
            engine.is_ready && engine.slots > 0 && !demand.excluded.contains(&engine.key)
        };
        let engine = self.engines.iter().find(may_take);
        assert!(
            engine.is_none(),
            "no engine for {demand:?}, although {engine:?} is available"
        );
    }

    /// Ends all calls, stops all requests, and advances the time.
    fn expire_everything(&mut self) {
        for ticket in std::mem::take(&mut self.waiting).into_keys() {
            self.report_end(ticket, CallEnd::Abandoned);
        }
        let granted = std::mem::take(&mut self.granted);
        for ticket in granted
            .into_keys()
            .chain(std::mem::take(&mut self.reported).into_keys())
        {
            self.report_end(ticket, CallEnd::Abandoned);
        }
        self.silent_until.clear();
        for _ in 0..600 {
            self.now += 1_000;
            self.scheduler.tick(self.clock());
        }
        let decisions = self.scheduler.take_decisions();
        assert!(
            decisions.is_empty(),
            "decisions after all calls had ended: {decisions:?}"
        );
    }
}

/// Runs all seeds and prints the number of decisions by kind.
fn run_seeds(keeps_calls: bool) {
    let mut counts = BTreeMap::<&str, u64>::new();
    let mut max_beyond_slots = 0;
    for seed in 0..60 {
        let mut driver = RandomDriver::new(seed, keeps_calls);
        for _ in 0..4_000 {
            driver.step();
        }
        for (name, count) in &driver.counts {
            *counts.entry(name).or_default() += count;
        }
        max_beyond_slots = max_beyond_slots.max(driver.max_beyond_slots);
    }
    println!(
        "decisions {counts:?}, at most {max_beyond_slots} calls beyond the slots of an engine"
    );
    let granted = counts.get("granted").copied().unwrap_or(0);
    assert!(granted > 10_000, "only few calls were granted: {counts:?}");
}

/// Guards against repeated, late or missing decisions, against grants of engines that are unlisted,
/// not ready, excluded or overloaded, and against "no engine" while an engine is available.
#[test]
fn invariants_hold_when_engines_restart() {
    run_seeds(false);
}

/// The same, with engines that are unlisted temporarily and keep their calls.
#[test]
fn invariants_hold_when_engines_are_unlisted_temporarily() {
    run_seeds(true);
}

/// Guards against state that grows with the number of past calls: after each of ten loads, the
/// scheduler's state is compared once all calls have expired.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn state_does_not_grow_with_past_calls(seed: u64) {
    let mut driver = RandomDriver::new(seed, false);
    let mut state_sizes = Vec::new();
    for _ in 0..10 {
        for _ in 0..4_000 {
            driver.step();
        }
        driver.expire_everything();
        state_sizes.push(format!("{:?}", driver.scheduler).len());
    }
    println!("seed {seed}: size of the state after each load {state_sizes:?}");
    assert!(!driver.decided.is_empty(), "no decisions");
    let most = |state_sizes: &[usize]| state_sizes.iter().copied().max().unwrap_or(0);
    let (early, late) = (most(&state_sizes[..5]), most(&state_sizes[5..]));
    assert!(
        late <= early * 3 / 2 + 2_000,
        "state grows: {state_sizes:?}"
    );
}
