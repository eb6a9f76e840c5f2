//! Small fake engines, gateways and programs that load a [`PoolScheduler`] in virtual time, in steps of 1 ms.
//!
//! Not a model of any engine: just enough for queues, prompts that are read again and failures to have a price.
#![allow(dead_code, unused_imports)] // each test file uses a part

mod engine;
mod program;

use std::{collections::BTreeMap, ops::Range, time::Duration};

use courseshed_pool::{
    CallDemand, CallEnd, CallNote, Decision, EngineListing, PoolScheduler, RunningCall, Ticket,
    Verdict,
};
use courseshed_types::{CachedPrompt, NodeId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use engine::{FakeEngine, Health, SHARED_TOKENS, engines};
pub use program::{Kind, Outcome, Program, loose, tight};

use engine::{Job, MS_PER_TOKEN, READ_TOKENS_PER_MS, SLOWER_PER_CALL};
use program::{GROWN, OUTPUT, ZONE, middle};

const DEADLINE_MS: u64 = 3_000;
const ASK_AGAIN_MS: u64 = 150;
/// How often gateways name the calls that they have at engines.
const TELL_RUNNING_MS: u64 = 2_000;
const TRIES: u32 = 3;

struct Stream {
    kind: Kind,
    per_ms: f64,
    next_ms: f64,
    until_ms: u64,
}

struct Call {
    program: usize,
    since_ms: u64,
    /// Place of the engine that it was sent to, and when.
    at: Option<(usize, u64)>,
}

/// How a call ended for its gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Ended(CallEnd),
    RefusedByScheduler,
    NoEngine,
}

/// The end of a call, for the figures.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub at_ms: u64,
    /// How long the gateway had the call.
    pub after_ms: u64,
    pub program: usize,
    pub engine: Option<usize>,
    pub how: How,
}

enum Event {
    TurnStarts(usize),
    Asked(Ticket, CallDemand),
    AskAgain(Ticket),
    Decided(Decision),
    Sent(Ticket),
    Ended(Ticket, CallEnd),
    Noted(Ticket, CallEnd),
    Deadline(Ticket),
}

/// The engines, gateways and programs around one scheduler.
pub struct World {
    pub now: u64,
    pub scheduler: PoolScheduler,
    pub engines: Vec<FakeEngine>,
    pub programs: Vec<Program>,
    pub endings: Vec<Ending>,
    /// When, to which call and at which place engines were granted.
    pub grants: Vec<(u64, Ticket, usize)>,
    /// Grants of another engine to calls that had been granted one already.
    pub granted_twice: u32,
    calls: BTreeMap<Ticket, Call>,
    streams: Vec<Stream>,
    events: BTreeMap<u64, Vec<Event>>,
    gateways: Vec<NodeId>,
    numbers: u64,
    random: ChaCha8Rng,
}

impl World {
    pub fn new(seed: u64, engines: Vec<FakeEngine>) -> Self {
        let mut world = Self {
            now: 0,
            scheduler: PoolScheduler::new(),
            engines,
            programs: Vec::new(),
            endings: Vec::new(),
            grants: Vec::new(),
            granted_twice: 0,
            calls: BTreeMap::new(),
            streams: Vec::new(),
            events: BTreeMap::new(),
            gateways: (1..=4).map(NodeId).collect(),
            numbers: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        world.list(&[]);
        world
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Tells the scheduler all engines, those at the places given as not ready.
    pub fn list(&mut self, not_ready: &[usize]) {
        let listing = |(place, engine): (usize, &FakeEngine)| EngineListing {
            key: engine.key,
            zone: ZONE,
            slots: engine.slots as u32,
            memory_tokens: Some(engine.memory_tokens),
            is_ready: !not_ready.contains(&place),
        };
        let listings: Vec<_> = self.engines.iter().enumerate().map(listing).collect();
        self.scheduler.set_engines(self.clock(), &listings);
    }

    /// Adds programs that take such a share of what all engines can do with full slots and prompts at hand.
    pub fn load(&mut self, kind: Kind, share: f64, period_ms: Range<u64>) {
        let turn_ms = |engine: &FakeEngine| {
            let crowd = 1.0 + SLOWER_PER_CALL * (engine.slots - 1) as f64;
            let reading = middle(&GROWN) / READ_TOKENS_PER_MS;
            engine.slowness * (middle(&OUTPUT) * MS_PER_TOKEN * crowd + reading)
        };
        let turns_per_ms: f64 = self
            .engines
            .iter()
            .map(|engine| engine.slots as f64 / turn_ms(engine))
            .sum();
        let per_ms = share * turns_per_ms / middle(&kind.turns);
        let (next_ms, until_ms) = (period_ms.start as f64, period_ms.end);
        self.streams.push(Stream {
            kind,
            per_ms,
            next_ms,
            until_ms,
        });
    }

    /// Changes engines' health; those that are gone break off what they have and forget what they read.
    pub fn set_health(&mut self, places: Range<usize>, health: Health) {
        for place in places {
            let engine = &mut self.engines[place];
            engine.health = health;
            if health == Health::Gone {
                engine.memory.clear();
                let jobs = engine.running.drain(..).chain(engine.queue.drain(..));
                let broken: Vec<Ticket> = jobs.map(|job| job.ticket).collect();
                for ticket in broken {
                    self.after(1, Event::Ended(ticket, CallEnd::Broken));
                }
            }
        }
    }

    /// A scheduler that knows nothing takes over; what the old one said last is lost.
    pub fn replace_scheduler(&mut self) {
        for events in self.events.values_mut() {
            events.retain(|event| !matches!(event, Event::Decided(_)));
        }
        self.scheduler = PoolScheduler::new();
        self.list(&[]);
        self.tell_running();
    }

    fn tell_running(&mut self) {
        let clock = self.clock();
        for gateway in self.gateways.clone() {
            let running = self.running_calls(gateway);
            self.scheduler.set_running(clock, gateway, &running);
        }
    }

    fn running_calls(&self, gateway: NodeId) -> Vec<RunningCall> {
        let running = |(ticket, call): (&Ticket, &Call)| {
            let (place, since_ms) = call.at?;
            Some(RunningCall {
                number: ticket.number,
                engine: self.engines[place].key,
                for_ms: (self.now - since_ms) as u32,
            })
        };
        let of_gateway = self
            .calls
            .iter()
            .filter(|(ticket, _)| ticket.gateway == gateway);
        of_gateway.filter_map(running).collect()
    }

    /// How many calls gateways have at the engine.
    pub fn calls_at(&self, place: usize) -> usize {
        let is_at = |call: &&Call| call.at.is_some_and(|(at, _)| at == place);
        self.calls.values().filter(is_at).count()
    }

    /// The oldest call that no engine was granted to: how long its gateway has had it, in milliseconds.
    pub fn longest_wait_ms(&self) -> u64 {
        let waiting = self.calls.values().filter(|call| call.at.is_none());
        waiting
            .map(|call| self.now - call.since_ms)
            .max()
            .unwrap_or(0)
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while self.now < end_ms {
            self.now += 1;
            self.start_programs();
            for event in self.events.remove(&self.now).unwrap_or_default() {
                self.handle(event);
            }
            for place in 0..self.engines.len() {
                for (ticket, end) in self.engines[place].step(self.now) {
                    self.after(1, Event::Ended(ticket, end));
                }
            }
            if self.now.is_multiple_of(TELL_RUNNING_MS) {
                self.tell_running();
            }
            if self.now.is_multiple_of(5) {
                self.scheduler.tick(self.clock());
            }
            for decision in self.scheduler.take_decisions() {
                self.after(1, Event::Decided(decision));
            }
        }
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.events
            .entry(self.now + delay_ms)
            .or_default()
            .push(event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::TurnStarts(program) => self.start_turn(program),
            Event::Asked(ticket, demand) => {
                self.scheduler.ask(self.clock(), ticket.gateway, demand);
            }
            Event::AskAgain(ticket) => {
                if self
                    .calls
                    .get(&ticket)
                    .is_some_and(|call| call.at.is_none())
                {
                    self.ask(ticket);
                }
            }
            Event::Decided(decision) => self.take_in(decision),
            Event::Sent(ticket) => self.reach_engine(ticket),
            Event::Ended(ticket, end) => self.end_call(ticket, How::Ended(end)),
            Event::Noted(ticket, end) => {
                let note = CallNote {
                    number: ticket.number,
                    end,
                };
                self.scheduler.note(self.clock(), ticket.gateway, &[note]);
            }
            Event::Deadline(ticket) => self.end_call(ticket, How::Ended(CallEnd::Given)),
        }
    }

    fn start_programs(&mut self) {
        for place in 0..self.streams.len() {
            loop {
                let stream = &mut self.streams[place];
                if stream.next_ms > self.now as f64 || self.now >= stream.until_ms {
                    break;
                }
                stream.next_ms -= (1.0 - self.random.random::<f64>()).ln() / stream.per_ms;
                let kind = stream.kind.clone();
                self.start_program(kind);
            }
        }
    }

    fn start_program(&mut self, kind: Kind) {
        let gateway = self.gateways[self.random.random_range(0..self.gateways.len())];
        let number = self.programs.len();
        let program = Program::new(self.now, gateway, number, kind, &mut self.random);
        self.programs.push(program);
        self.start_turn(number);
    }

    fn start_turn(&mut self, program: usize) {
        self.numbers += 1;
        let ticket = Ticket {
            gateway: self.programs[program].gateway,
            number: self.numbers,
        };
        self.programs[program].tries += 1;
        self.calls.insert(
            ticket,
            Call {
                program,
                since_ms: self.now,
                at: None,
            },
        );
        self.after(DEADLINE_MS, Event::Deadline(ticket));
        self.ask(ticket);
    }

    fn ask(&mut self, ticket: Ticket) {
        let call = &self.calls[&ticket];
        let waited_ms = self.now - call.since_ms;
        let demand = CallDemand {
            number: ticket.number,
            waited_ms: waited_ms as u32,
            time_left_ms: DEADLINE_MS.saturating_sub(waited_ms) as u32,
            ..self.programs[call.program].demand(self.now, call.program)
        };
        self.after(1, Event::Asked(ticket, demand));
        self.after(ASK_AGAIN_MS, Event::AskAgain(ticket));
    }

    fn take_in(&mut self, decision: Decision) {
        let ticket = decision.ticket;
        let Some(call) = self.calls.get_mut(&ticket) else {
            self.after(1, Event::Noted(ticket, CallEnd::Given));
            return;
        };
        match decision.verdict {
            Verdict::Granted(key) => {
                let is_granted = |engine: &FakeEngine| engine.key == key;
                let place = self
                    .engines
                    .iter()
                    .position(is_granted)
                    .expect("a listed engine");
                if let Some((at, _)) = call.at {
                    self.granted_twice += u32::from(at != place);
                    return;
                }
                call.at = Some((place, self.now));
                self.grants.push((self.now, ticket, place));
                self.after(1, Event::Sent(ticket));
            }
            Verdict::Refused { retry_after_ms } => {
                self.finish(ticket, How::RefusedByScheduler, Some(retry_after_ms.into()));
            }
            Verdict::NoEngine => self.finish(ticket, How::NoEngine, None),
            Verdict::Waiting => panic!("{decision:?} is no decision"),
        }
    }

    fn reach_engine(&mut self, ticket: Ticket) {
        let Some(Call {
            program,
            at: Some((place, _)),
            ..
        }) = self.calls.get(&ticket)
        else {
            return;
        };
        let program = &self.programs[*program];
        let job = Job {
            ticket,
            parts: program.parts.clone(),
            unread: 0.0,
            output: program.turns[program.turn].output.into(),
            generated: 0.0,
            sent_ms: self.now,
            first_ms: None,
        };
        if let Some(end) = self.engines[*place].accept(self.now, job) {
            self.after(1, Event::Ended(ticket, end));
        }
    }

    /// The gateway learns how its call ended, and tells the scheduler.
    fn end_call(&mut self, ticket: Ticket, how: How) {
        if self.calls.contains_key(&ticket) {
            let How::Ended(end) = how else { return };
            self.after(1, Event::Noted(ticket, end));
            self.finish(ticket, how, None);
        }
    }

    fn finish(&mut self, ticket: Ticket, how: How, retry_after_ms: Option<u64>) {
        let call = self.calls.remove(&ticket).expect("a call under way");
        let engine = call.at.map(|(place, _)| place);
        if let Some(place) = engine {
            self.engines[place].forget(ticket);
        }
        let after_ms = self.now - call.since_ms;
        let (at_ms, program) = (self.now, call.program);
        self.endings.push(Ending {
            at_ms,
            after_ms,
            program,
            engine,
            how,
        });
        match how {
            How::Ended(CallEnd::Whole { generated, .. }) => {
                self.go_on(program, generated, engine.expect("an engine that answered"));
            }
            _ => self.try_again(program, engine, retry_after_ms),
        }
    }

    fn go_on(&mut self, place: usize, generated: u32, engine: usize) {
        let program = &mut self.programs[place];
        let kept = CachedPrompt::after_answer(self.engines[engine].key, &program.parts, generated);
        program.parts.clone_from(&kept.parts);
        program.held = vec![kept];
        program.excluded.clear();
        program.tries = 0;
        let pause_ms = program.turns[program.turn].pause_ms;
        program.turn += 1;
        if let Some(turn) = program.turns.get(program.turn) {
            program.parts[1].tokens += turn.grown;
            self.after(pause_ms, Event::TurnStarts(place));
        } else {
            let outcome = if self.now <= program.aim_ms {
                Outcome::InAim
            } else {
                Outcome::Late
            };
            program.ended = Some((self.now, outcome));
        }
    }

    fn try_again(&mut self, place: usize, engine: Option<usize>, retry_after_ms: Option<u64>) {
        let program = &mut self.programs[place];
        program
            .excluded
            .extend(engine.map(|engine| self.engines[engine].key));
        if program.tries >= TRIES {
            program.ended = Some((self.now, Outcome::Failed));
            return;
        }
        let delay_ms = retry_after_ms.unwrap_or_else(|| self.random.random_range(100..=400));
        self.after(delay_ms.max(1), Event::TurnStarts(place));
    }

    /// Percent in aim, late and failed of the programs chosen that have ended, and how many these are.
    pub fn shares(&self, chosen: impl Fn(&Program) -> bool) -> Shares {
        let ended = self.programs.iter().filter(|program| chosen(program));
        let outcomes: Vec<_> = ended.filter_map(|program| program.ended).collect();
        let percent = |wanted| {
            let count = outcomes
                .iter()
                .filter(|(_, outcome)| *outcome == wanted)
                .count();
            100.0 * count as f64 / outcomes.len().max(1) as f64
        };
        Shares {
            programs: outcomes.len(),
            in_aim: percent(Outcome::InAim),
            late: percent(Outcome::Late),
            failed: percent(Outcome::Failed),
        }
    }

    /// How many calls ended so in the period.
    pub fn count_endings(&self, period_ms: Range<u64>, how: impl Fn(&Ending) -> bool) -> usize {
        let in_period = |ending: &&Ending| period_ms.contains(&ending.at_ms);
        self.endings
            .iter()
            .filter(in_period)
            .filter(|ending| how(ending))
            .count()
    }

    /// Turns that were answered whole over all programs, for the figures.
    pub fn turns_served(&self, period_ms: Range<u64>) -> usize {
        self.count_endings(period_ms, |ending| {
            matches!(ending.how, How::Ended(CallEnd::Whole { .. }))
        })
    }
}

/// How programs ended, in percent.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    pub programs: usize,
    pub in_aim: f64,
    pub late: f64,
    pub failed: f64,
}

/// Notes what is wrong, so that one test tells all of it.
pub fn check(faults: &mut Vec<String>, is_right: bool, fault: String) {
    if !is_right {
        faults.push(fault);
    }
}
