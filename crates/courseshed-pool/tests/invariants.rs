//! What must hold whatever gateways ask, note and go through, and whatever becomes of the engines.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use courseshed_pool::{
    CallDemand, CallEnd, CallNote, Decision, EngineListing, NameKey, PoolScheduler,
    ProgramStanding, RunningCall, Ticket, Verdict,
};
use courseshed_types::{CachedPrompt, NodeId, PromptPart, ServerKey};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

/// Calls that an engine may be granted beyond its slots.
const BEYOND_SLOTS: usize = 2;
/// How long after its deadline a call that is asked for again and again may be without a decision.
const GRACE_MS: u64 = 500;
const ASK_AGAIN_MS: u64 = 150;
/// How long a call may be granted after its gateway asked for it last.
const DROPPED_LIFE_MS: u64 = 1_000;
const GATEWAYS: u32 = 4;

struct Waiting {
    demand: CallDemand,
    since_ms: u64,
    deadline_ms: u64,
    asked_ms: u64,
}

/// Gateways and engines that do what chance says, and check each decision.
struct Chance {
    /// Whether engines that were off the list come back with what ran there, rather than in a new life.
    is_life_kept: bool,
    lives: [u32; 6],
    random: ChaCha8Rng,
    now: u64,
    scheduler: PoolScheduler,
    engines: Vec<EngineListing>,
    waiting: BTreeMap<Ticket, Waiting>,
    granted: BTreeMap<Ticket, ServerKey>,
    /// When callers of granted calls stop waiting, which ends the calls.
    deadlines: BTreeMap<Ticket, u64>,
    /// Calls that the scheduler was told of by a gateway that came back.
    told: BTreeMap<Ticket, ServerKey>,
    decided: BTreeSet<Ticket>,
    /// Calls that waited when their gateway fell silent, and that it knows no more.
    dropped: BTreeMap<Ticket, Waiting>,
    silent_until: BTreeMap<NodeId, u64>,
    numbers: u64,
    counts: BTreeMap<&'static str, u64>,
    most_beyond_slots: usize,
}

impl Chance {
    fn new(seed: u64, is_life_kept: bool) -> Self {
        let mut chance = Self {
            is_life_kept,
            lives: [0; 6],
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            scheduler: PoolScheduler::new(),
            engines: Vec::new(),
            waiting: BTreeMap::new(),
            granted: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            told: BTreeMap::new(),
            decided: BTreeSet::new(),
            dropped: BTreeMap::new(),
            silent_until: BTreeMap::new(),
            numbers: 0,
            counts: BTreeMap::new(),
            most_beyond_slots: 0,
        };
        chance.change_engines();
        chance
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.random_range(0..bound)
    }

    fn pick(&mut self, tickets: Vec<Ticket>) -> Option<Ticket> {
        let place = self.below(tickets.len().max(1) as u64) as usize;
        tickets.get(place).copied()
    }

    fn is_silent(&self, gateway: NodeId) -> bool {
        self.silent_until.contains_key(&gateway)
    }

    fn heard(&self, tickets: impl Iterator<Item = Ticket>) -> Vec<Ticket> {
        tickets
            .filter(|ticket| !self.is_silent(ticket.gateway))
            .collect()
    }

    /// Another list of engines: some new, some gone, some not ready, some with other slots.
    fn change_engines(&mut self) {
        self.engines.clear();
        for place in 0..6 {
            if self.below(5) > 0 {
                let engine = EngineListing {
                    key: ServerKey(place + 6 * self.lives[place as usize]),
                    zone: NameKey(self.below(2)),
                    slots: self.below(5) as u32,
                    memory_tokens: (self.below(3) > 0).then_some(50_000),
                    is_ready: self.below(5) > 0,
                };
                self.engines.push(engine);
            } else if !self.is_life_kept {
                self.lives[place as usize] += 1;
            }
        }
        self.scheduler.set_engines(self.clock(), &self.engines);
    }

    fn any_engine(&mut self) -> ServerKey {
        let place = self.below(6) as usize;
        ServerKey(place as u32 + 6 * self.lives[place])
    }

    fn demand(&mut self) -> CallDemand {
        self.numbers += 1;
        let program = NameKey(self.numbers / 3);
        let parts = (0..self.below(4))
            .map(|_| PromptPart {
                id: self.below(200),
                tokens: self.below(20_000) as u32,
            })
            .collect::<Vec<_>>();
        let key = self.any_engine();
        CallDemand {
            number: self.numbers,
            route: NameKey(self.below(3)),
            rank: self.below(3) as u32,
            tenant: (self.below(3) > 0).then_some(NameKey(self.below(5))),
            tenant_weight: 1.0 + self.below(3) as f32,
            program: (self.below(3) > 0).then_some(ProgramStanding {
                program,
                left_ms: (self.below(3) > 0).then_some(self.below(20_000) as u32),
                turns_budgeted: (self.below(2) > 0).then_some(self.below(30) as f32),
            }),
            zone: NameKey(self.below(2)),
            held: vec![CachedPrompt {
                server: key,
                parts: parts.clone(),
            }],
            parts,
            most_tokens: self.below(2_000) as u32,
            waited_ms: self.below(100) as u32,
            time_left_ms: self.below(4_000) as u32,
            excluded: (0..self.below(3)).map(|_| self.any_engine()).collect(),
        }
    }

    fn ask(&mut self) {
        let gateway = NodeId(self.below(u64::from(GATEWAYS)) as u32);
        if self.is_silent(gateway) {
            return;
        }
        let demand = self.demand();
        let ticket = Ticket {
            gateway,
            number: demand.number,
        };
        let waiting = Waiting {
            since_ms: self.now - u64::from(demand.waited_ms),
            deadline_ms: self.now + u64::from(demand.time_left_ms),
            asked_ms: self.now,
            demand: demand.clone(),
        };
        self.waiting.insert(ticket, waiting);
        self.scheduler.ask(self.clock(), gateway, demand);
    }

    /// Every call without a decision is asked for again in time, unless its gateway is silent.
    fn ask_again(&mut self) {
        let clock = self.clock();
        for (ticket, waiting) in &mut self.waiting {
            let is_due = self.now >= waiting.asked_ms + ASK_AGAIN_MS;
            if is_due && !self.silent_until.contains_key(&ticket.gateway) {
                waiting.asked_ms = self.now;
                waiting.demand.waited_ms = (self.now - waiting.since_ms) as u32;
                waiting.demand.time_left_ms = waiting.deadline_ms.saturating_sub(self.now) as u32;
                self.scheduler
                    .ask(clock, ticket.gateway, waiting.demand.clone());
            }
        }
    }

    fn note(&mut self, ticket: Ticket, end: CallEnd) {
        let note = CallNote {
            number: ticket.number,
            end,
        };
        self.scheduler.note(self.clock(), ticket.gateway, &[note]);
    }

    fn end_a_call(&mut self) {
        let under_way = self.granted.keys().chain(self.told.keys()).copied();
        let Some(ticket) = self.pick(self.heard(under_way)) else {
            return;
        };
        self.granted.remove(&ticket);
        self.told.remove(&ticket);
        let took_ms = self.below(5_000) as u32;
        let end = match self.below(12) {
            0 => CallEnd::Failed,
            1 => CallEnd::Refused,
            2 => CallEnd::Broken,
            3 => CallEnd::Given,
            _ => CallEnd::Whole {
                generated: self.below(2_000) as u32,
                first_tokens: 1,
                first_part_ms: took_ms / 4,
                took_ms,
            },
        };
        self.note(ticket, end);
    }

    /// Ends granted calls at the deadline of their callers.
    fn end_late_calls(&mut self) {
        let now = self.now;
        let late = self
            .deadlines
            .extract_if(.., |_, deadline_ms| *deadline_ms <= now);
        for ticket in late.map(|(ticket, _)| ticket).collect::<Vec<_>>() {
            let is_granted = self.granted.remove(&ticket).is_some();
            if is_granted && !self.is_silent(ticket.gateway) {
                self.note(ticket, CallEnd::Given);
            }
        }
    }

    /// A question that crosses a grant, or follows one that was lost, is answered with the same grant.
    fn ask_for_a_granted_call(&mut self) {
        let granted = self.heard(self.granted.keys().copied());
        let Some(ticket) = self.pick(granted) else {
            return;
        };
        let demand = CallDemand {
            number: ticket.number,
            ..self.demand()
        };
        self.check();
        self.scheduler.ask(self.clock(), ticket.gateway, demand);
        let again = Verdict::Granted(self.granted[&ticket]);
        for decision in self.scheduler.take_decisions() {
            let is_same = decision.verdict == again;
            assert!(
                decision.ticket == ticket && is_same,
                "{decision:?}, was {again:?}"
            );
        }
    }

    fn withdraw_a_call(&mut self) {
        let waiting = self.heard(self.waiting.keys().copied());
        if let Some(ticket) = self.pick(waiting) {
            self.waiting.remove(&ticket);
            self.note(ticket, CallEnd::Given);
        }
    }

    /// A note about a call that the scheduler never heard of or knows to be over.
    fn note_a_stranger(&mut self) {
        let number = 1 + self.below(self.numbers + 1_000);
        let ticket = Ticket {
            gateway: NodeId(self.below(u64::from(GATEWAYS)) as u32),
            number,
        };
        if !self.waiting.contains_key(&ticket) && !self.granted.contains_key(&ticket) {
            self.told.remove(&ticket);
            self.note(ticket, CallEnd::Broken);
        }
    }

    fn fall_silent(&mut self) {
        let gateway = NodeId(self.below(u64::from(GATEWAYS)) as u32);
        let until = self.now + 100 + self.below(30_000);
        self.silent_until.entry(gateway).or_insert(until);
    }

    /// Gateways that were silent tell what still runs; what they waited for is over.
    fn come_back(&mut self) {
        let is_back = |(gateway, until): (&NodeId, &u64)| (*until <= self.now).then_some(*gateway);
        let back: Vec<NodeId> = self.silent_until.iter().filter_map(is_back).collect();
        for gateway in back {
            self.silent_until.remove(&gateway);
            let is_of = |ticket: &Ticket, _: &mut Waiting| ticket.gateway == gateway;
            self.dropped.extend(self.waiting.extract_if(.., is_of));
            self.tell_running(gateway);
        }
    }

    fn tell_running(&mut self, gateway: NodeId) {
        let is_of = |ticket: &Ticket| ticket.gateway == gateway;
        let granted = self.granted.extract_if(.., |ticket, _| is_of(ticket));
        self.told.extend(granted);
        let mut random = self.random.clone();
        self.told
            .retain(|ticket, _| !is_of(ticket) || random.random_range(0..3) > 0);
        self.random = random;
        let told = self.told.iter().filter(|(ticket, _)| is_of(ticket));
        let running = told.map(|(ticket, engine)| RunningCall {
            number: ticket.number,
            engine: *engine,
            for_ms: 500,
        });
        let running: Vec<_> = running.collect();
        self.scheduler.set_running(self.clock(), gateway, &running);
    }

    fn step(&mut self) {
        self.now += self.below(12);
        self.come_back();
        self.end_late_calls();
        self.check();
        self.ask_again();
        self.check();
        match self.below(1_000) {
            0..350 => self.ask(),
            350..650 => self.end_a_call(),
            650..680 => self.withdraw_a_call(),
            680..690 => self.note_a_stranger(),
            690..696 => self.change_engines(),
            696..698 => self.fall_silent(),
            698..710 => self.ask_for_a_granted_call(),
            _ => self.scheduler.tick(self.clock()),
        }
        self.check();
    }

    fn check(&mut self) {
        for decision in self.scheduler.take_decisions() {
            self.check_decision(decision);
        }
        for (ticket, waiting) in &self.waiting {
            let is_forgotten = self.now > waiting.deadline_ms + GRACE_MS;
            let is_silent = self.silent_until.contains_key(&ticket.gateway);
            assert!(
                is_silent || !is_forgotten,
                "{ticket:?} has no decision: {:?}",
                waiting.demand
            );
        }
    }

    fn check_decision(&mut self, decision: Decision) {
        let ticket = decision.ticket;
        assert!(self.decided.insert(ticket), "decided again: {decision:?}");
        if let Some(dropped) = self.dropped.remove(&ticket) {
            let since_ms = self.now - dropped.asked_ms;
            assert!(
                since_ms < DROPPED_LIFE_MS,
                "{decision:?}, not asked for {since_ms} ms"
            );
            self.note(ticket, CallEnd::Given);
            return;
        }
        let waiting = self.waiting.remove(&ticket);
        let waiting = waiting.unwrap_or_else(|| panic!("{decision:?} of a call that is over"));
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
            Verdict::Waiting => panic!("{decision:?} is no decision"),
        };
        *self.counts.entry(name).or_default() += 1;
    }

    fn check_grant(&mut self, ticket: Ticket, key: ServerKey, demand: &CallDemand) {
        let listing = self.engines.iter().find(|engine| engine.key == key);
        let listing =
            listing.unwrap_or_else(|| panic!("{ticket:?} on {key:?}, which is not listed"));
        assert!(listing.is_ready, "{ticket:?} on {listing:?}");
        assert!(
            !demand.excluded.contains(&key),
            "{ticket:?} on {key:?}, which it excludes"
        );
        let calls = self
            .granted
            .values()
            .filter(|engine| **engine == key)
            .count();
        let slots = listing.slots as usize;
        assert!(
            calls < slots + BEYOND_SLOTS,
            "{ticket:?} beyond {calls} calls on {listing:?}"
        );
        self.most_beyond_slots = self
            .most_beyond_slots
            .max((calls + 1).saturating_sub(slots));
        self.granted.insert(ticket, key);
    }

    fn check_no_engine(&self, demand: &CallDemand) {
        let may_take = |engine: &&EngineListing| {
            engine.is_ready && engine.slots > 0 && !demand.excluded.contains(&engine.key)
        };
        let engine = self.engines.iter().find(may_take);
        assert!(engine.is_none(), "no engine for {demand:?}, but {engine:?}");
    }

    /// All calls end, nobody asks any more, and time goes on.
    fn calm_down(&mut self) {
        for ticket in std::mem::take(&mut self.waiting).into_keys() {
            self.note(ticket, CallEnd::Given);
        }
        let granted = std::mem::take(&mut self.granted);
        for ticket in granted
            .into_keys()
            .chain(std::mem::take(&mut self.told).into_keys())
        {
            self.note(ticket, CallEnd::Given);
        }
        self.silent_until.clear();
        for _ in 0..600 {
            self.now += 1_000;
            self.scheduler.tick(self.clock());
        }
        let decisions = self.scheduler.take_decisions();
        assert!(
            decisions.is_empty(),
            "decided when all was over: {decisions:?}"
        );
    }
}

/// Plays many seeds, and prints what was decided.
fn play(is_life_kept: bool) {
    let mut counts = BTreeMap::<&str, u64>::new();
    let mut most_beyond_slots = 0;
    for seed in 0..60 {
        let mut chance = Chance::new(seed, is_life_kept);
        for _ in 0..4_000 {
            chance.step();
        }
        for (name, count) in &chance.counts {
            *counts.entry(name).or_default() += count;
        }
        most_beyond_slots = most_beyond_slots.max(chance.most_beyond_slots);
    }
    println!("decisions {counts:?}, at most {most_beyond_slots} calls beyond the slots");
    let granted = counts.get("granted").copied().unwrap_or(0);
    assert!(granted > 10_000, "few calls were granted: {counts:?}");
}

/// Random asks, ends, withdrawals, notes about strangers, changes of the engines and silences of gateways. A call is
/// decided at most once and only while it waits, and by its deadline if its gateway goes on asking; it is granted only
/// engines that are listed, ready and not excluded, with at most a few calls beyond their slots; "no engine" is said
/// only where no engine could take it.
#[test]
fn decisions_keep_the_rules_whatever_happens() {
    play(false);
}

/// The same, but an engine that is off the list for a while comes back in the same life, with the calls that it had.
#[test]
fn decisions_keep_the_rules_when_engines_are_off_the_list_for_a_while() {
    play(true);
}

/// Ten loads with ten minutes of calm after each: what the scheduler keeps after the last five is about as much as after
/// the first five.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn what_is_kept_does_not_grow_with_the_calls_that_were(seed: u64) {
    let mut chance = Chance::new(seed, false);
    let mut kept = Vec::new();
    for _ in 0..10 {
        for _ in 0..4_000 {
            chance.step();
        }
        chance.calm_down();
        kept.push(format!("{:?}", chance.scheduler).len());
    }
    println!("seed {seed}: length of what is kept after each load {kept:?}");
    assert!(!chance.decided.is_empty(), "nothing was decided");
    let most = |kept: &[usize]| kept.iter().copied().max().unwrap_or(0);
    let (early, late) = (most(&kept[..5]), most(&kept[5..]));
    assert!(late <= early * 3 / 2 + 2_000, "it grows: {kept:?}");
}
