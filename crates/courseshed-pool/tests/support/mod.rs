//! Simulated engines, gateways and programs around a [`PoolScheduler`], in steps of 1 ms of virtual
//! time.
//!
//! The engines are simplified: they have queues, prompt caches and failures, and reproduce no real
//! engine's timing.
#![allow(dead_code, unused_imports)] // each test file uses a part

mod engine;
mod program;

use std::{collections::BTreeMap, ops::Range, time::Duration};

use courseshed_pool::{
    CallDemand, CallEnd, CallEndReport, Decision, EngineListing, PoolScheduler, RunningCall,
    Ticket, Verdict,
};
use courseshed_types::{CachedPrompt, NodeId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use engine::{EngineHealth, SHARED_TOKENS, SimulatedEngine, engines};
pub use program::{Outcome, Program, ProgramKind, loose, tight};

use engine::{BATCH_SLOWDOWN_PER_CALL, Job, MS_PER_TOKEN, PREFILL_TOKENS_PER_MS};
use program::{OUTPUT_TOKENS, PROMPT_GROWTH, ZONE, mean};

const DEADLINE_MS: u64 = 3_000;
const ASK_AGAIN_MS: u64 = 150;
/// Interval at which gateways list their running calls.
const REPORT_RUNNING_MS: u64 = 2_000;
const MAX_ATTEMPTS: u32 = 3;

struct ProgramStream {
    kind: ProgramKind,
    per_ms: f64,
    next_ms: f64,
    until_ms: u64,
}

struct Call {
    program: usize,
    since_ms: u64,
    /// Index of the engine that the call was sent to, and the time.
    sent_to: Option<(usize, u64)>,
}

/// How a call ended for its gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Ended(CallEnd),
    RefusedByScheduler,
    NoEngine,
}

/// Record of a call's end.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    pub at_ms: u64,
    /// Time since the gateway received the call.
    pub elapsed_ms: u64,
    pub program: usize,
    pub engine: Option<usize>,
    pub outcome: CallOutcome,
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

/// Engines, gateways and programs around one scheduler.
pub struct Simulation {
    pub now: u64,
    pub scheduler: PoolScheduler,
    pub engines: Vec<SimulatedEngine>,
    pub programs: Vec<Program>,
    pub call_records: Vec<CallRecord>,
    /// Grants: time, call, and index of the engine.
    pub grants: Vec<(u64, Ticket, usize)>,
    /// Number of calls that were granted a second, different engine.
    pub conflicting_grants: u32,
    calls: BTreeMap<Ticket, Call>,
    streams: Vec<ProgramStream>,
    events: BTreeMap<u64, Vec<Event>>,
    gateways: Vec<NodeId>,
    numbers: u64,
    random: ChaCha8Rng,
}

impl Simulation {
    pub fn new(seed: u64, engines: Vec<SimulatedEngine>) -> Self {
        let mut simulation = Self {
            now: 0,
            scheduler: PoolScheduler::new(),
            engines,
            programs: Vec::new(),
            call_records: Vec::new(),
            grants: Vec::new(),
            conflicting_grants: 0,
            calls: BTreeMap::new(),
            streams: Vec::new(),
            events: BTreeMap::new(),
            gateways: (1..=4).map(NodeId).collect(),
            numbers: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        simulation.send_engine_list(&[]);
        simulation
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Sends the engine list to the scheduler; the given engines are listed as not ready.
    pub fn send_engine_list(&mut self, not_ready: &[usize]) {
        let listing = |(index, engine): (usize, &SimulatedEngine)| EngineListing {
            key: engine.key,
            zone: ZONE,
            slots: engine.slots as u32,
            memory_tokens: Some(engine.memory_tokens),
            is_ready: !not_ready.contains(&index),
            version: None,
        };
        let listings: Vec<_> = self.engines.iter().enumerate().map(listing).collect();
        self.scheduler.set_engines(self.clock(), &listings);
    }

    /// Adds programs with a load of `share` of the engines' capacity, assuming full batches and
    /// cached prompts.
    pub fn load(&mut self, kind: ProgramKind, share: f64, period_ms: Range<u64>) {
        let turn_ms = |engine: &SimulatedEngine| {
            let batch_slowdown = 1.0 + BATCH_SLOWDOWN_PER_CALL * (engine.slots - 1) as f64;
            let prefill_ms = mean(&PROMPT_GROWTH) / PREFILL_TOKENS_PER_MS;
            engine.slowdown * (mean(&OUTPUT_TOKENS) * MS_PER_TOKEN * batch_slowdown + prefill_ms)
        };
        let turns_per_ms: f64 = self
            .engines
            .iter()
            .map(|engine| engine.slots as f64 / turn_ms(engine))
            .sum();
        let per_ms = share * turns_per_ms / mean(&kind.turns);
        let (next_ms, until_ms) = (period_ms.start as f64, period_ms.end);
        self.streams.push(ProgramStream {
            kind,
            per_ms,
            next_ms,
            until_ms,
        });
    }

    /// Sets the health of engines. Unreachable engines drop their calls and lose their caches.
    pub fn set_health(&mut self, indices: Range<usize>, health: EngineHealth) {
        for index in indices {
            let engine = &mut self.engines[index];
            engine.health = health;
            if health == EngineHealth::Unreachable {
                engine.cache.clear();
                let jobs = engine.running.drain(..).chain(engine.queue.drain(..));
                let broken: Vec<Ticket> = jobs.map(|job| job.ticket).collect();
                for ticket in broken {
                    self.after(1, Event::Ended(ticket, CallEnd::Disconnected));
                }
            }
        }
    }

    /// Replaces the scheduler by a new one; undelivered decisions of the old one are lost.
    pub fn replace_scheduler(&mut self) {
        for events in self.events.values_mut() {
            events.retain(|event| !matches!(event, Event::Decided(_)));
        }
        self.scheduler = PoolScheduler::new();
        self.send_engine_list(&[]);
        self.report_running();
    }

    fn report_running(&mut self) {
        let clock = self.clock();
        for gateway in self.gateways.clone() {
            let running = self.running_calls(gateway);
            self.scheduler.report_running(clock, gateway, &running);
        }
    }

    fn running_calls(&self, gateway: NodeId) -> Vec<RunningCall> {
        let running = |(ticket, call): (&Ticket, &Call)| {
            let (index, since_ms) = call.sent_to?;
            Some(RunningCall {
                number: ticket.number,
                engine: self.engines[index].key,
                running_ms: (self.now - since_ms) as u32,
            })
        };
        let of_gateway = self
            .calls
            .iter()
            .filter(|(ticket, _)| ticket.gateway == gateway);
        of_gateway.filter_map(running).collect()
    }

    /// Number of calls that gateways have on an engine.
    pub fn calls_at(&self, index: usize) -> usize {
        let is_at = |call: &&Call| call.sent_to.is_some_and(|(at, _)| at == index);
        self.calls.values().filter(is_at).count()
    }

    /// Age of the oldest call without a grant, in milliseconds.
    pub fn longest_wait_ms(&self) -> u64 {
        let waiting = self.calls.values().filter(|call| call.sent_to.is_none());
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
            for index in 0..self.engines.len() {
                for (ticket, end) in self.engines[index].step(self.now) {
                    self.after(1, Event::Ended(ticket, end));
                }
            }
            if self.now.is_multiple_of(REPORT_RUNNING_MS) {
                self.report_running();
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
                self.scheduler.request(self.clock(), ticket.gateway, demand);
            }
            Event::AskAgain(ticket) => {
                if self
                    .calls
                    .get(&ticket)
                    .is_some_and(|call| call.sent_to.is_none())
                {
                    self.ask(ticket);
                }
            }
            Event::Decided(decision) => self.handle_decision(decision),
            Event::Sent(ticket) => self.deliver_call(ticket),
            Event::Ended(ticket, end) => self.end_call(ticket, CallOutcome::Ended(end)),
            Event::Noted(ticket, end) => {
                let note = CallEndReport {
                    number: ticket.number,
                    end,
                };
                self.scheduler
                    .report_ends(self.clock(), ticket.gateway, &[note]);
            }
            Event::Deadline(ticket) => {
                self.end_call(ticket, CallOutcome::Ended(CallEnd::Abandoned))
            }
        }
    }

    fn start_programs(&mut self) {
        for index in 0..self.streams.len() {
            loop {
                let stream = &mut self.streams[index];
                if stream.next_ms > self.now as f64 || self.now >= stream.until_ms {
                    break;
                }
                stream.next_ms -= (1.0 - self.random.random::<f64>()).ln() / stream.per_ms;
                let kind = stream.kind.clone();
                self.start_program(kind);
            }
        }
    }

    fn start_program(&mut self, kind: ProgramKind) {
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
        self.programs[program].attempts += 1;
        self.calls.insert(
            ticket,
            Call {
                program,
                since_ms: self.now,
                sent_to: None,
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

    fn handle_decision(&mut self, decision: Decision) {
        let ticket = decision.ticket;
        let Some(call) = self.calls.get_mut(&ticket) else {
            self.after(1, Event::Noted(ticket, CallEnd::Abandoned));
            return;
        };
        match decision.verdict {
            Verdict::Granted(key) => {
                let is_granted = |engine: &SimulatedEngine| engine.key == key;
                let index = self
                    .engines
                    .iter()
                    .position(is_granted)
                    .expect("a listed engine");
                if let Some((at, _)) = call.sent_to {
                    self.conflicting_grants += u32::from(at != index);
                    return;
                }
                call.sent_to = Some((index, self.now));
                self.grants.push((self.now, ticket, index));
                self.after(1, Event::Sent(ticket));
            }
            Verdict::Refused { retry_after_ms } => {
                self.finish(
                    ticket,
                    CallOutcome::RefusedByScheduler,
                    Some(retry_after_ms.into()),
                );
            }
            Verdict::NoEngine => self.finish(ticket, CallOutcome::NoEngine, None),
            Verdict::Waiting => panic!("{decision:?} is no decision"),
        }
    }

    fn deliver_call(&mut self, ticket: Ticket) {
        let Some(Call {
            program,
            sent_to: Some((index, _)),
            ..
        }) = self.calls.get(&ticket)
        else {
            return;
        };
        let program = &self.programs[*program];
        let job = Job {
            ticket,
            parts: program.parts.clone(),
            uncached_tokens: 0.0,
            output_tokens: program.turns[program.turn].output_tokens.into(),
            generated_tokens: 0.0,
            sent_ms: self.now,
            first_token_ms: None,
        };
        if let Some(end) = self.engines[*index].accept(self.now, job) {
            self.after(1, Event::Ended(ticket, end));
        }
    }

    /// Ends a call at its gateway and reports the end to the scheduler.
    fn end_call(&mut self, ticket: Ticket, outcome: CallOutcome) {
        if self.calls.contains_key(&ticket) {
            let CallOutcome::Ended(end) = outcome else {
                return;
            };
            self.after(1, Event::Noted(ticket, end));
            self.finish(ticket, outcome, None);
        }
    }

    fn finish(&mut self, ticket: Ticket, outcome: CallOutcome, retry_after_ms: Option<u64>) {
        let call = self.calls.remove(&ticket).expect("a call under way");
        let engine = call.sent_to.map(|(index, _)| index);
        if let Some(index) = engine {
            self.engines[index].cancel(ticket);
        }
        let elapsed_ms = self.now - call.since_ms;
        let (at_ms, program) = (self.now, call.program);
        self.call_records.push(CallRecord {
            at_ms,
            elapsed_ms,
            program,
            engine,
            outcome,
        });
        match outcome {
            CallOutcome::Ended(CallEnd::Completed { generated, .. }) => {
                self.complete_turn(program, generated, engine.expect("an engine that answered"));
            }
            _ => self.retry_turn(program, engine, retry_after_ms),
        }
    }

    fn complete_turn(&mut self, index: usize, generated: u32, engine: usize) {
        let program = &mut self.programs[index];
        let cached =
            CachedPrompt::after_answer(self.engines[engine].key, &program.parts, generated);
        program.parts.clone_from(&cached.parts);
        program.cached = vec![cached];
        program.excluded.clear();
        program.attempts = 0;
        let pause_ms = program.turns[program.turn].pause_ms;
        program.turn += 1;
        if let Some(turn) = program.turns.get(program.turn) {
            program.parts[1].tokens += turn.prompt_growth;
            self.after(pause_ms, Event::TurnStarts(index));
        } else {
            let outcome = if self.now <= program.target_ms {
                Outcome::OnTime
            } else {
                Outcome::Late
            };
            program.ended = Some((self.now, outcome));
        }
    }

    fn retry_turn(&mut self, index: usize, engine: Option<usize>, retry_after_ms: Option<u64>) {
        let program = &mut self.programs[index];
        program
            .excluded
            .extend(engine.map(|engine| self.engines[engine].key));
        if program.attempts >= MAX_ATTEMPTS {
            program.ended = Some((self.now, Outcome::Failed));
            return;
        }
        let delay_ms = retry_after_ms.unwrap_or_else(|| self.random.random_range(100..=400));
        self.after(delay_ms.max(1), Event::TurnStarts(index));
    }

    /// Outcomes of the selected programs that have ended.
    pub fn shares(&self, filter: impl Fn(&Program) -> bool) -> OutcomeShares {
        let ended = self.programs.iter().filter(|program| filter(program));
        let outcomes: Vec<_> = ended.filter_map(|program| program.ended).collect();
        let percent = |wanted| {
            let count = outcomes
                .iter()
                .filter(|(_, outcome)| *outcome == wanted)
                .count();
            100.0 * count as f64 / outcomes.len().max(1) as f64
        };
        OutcomeShares {
            programs: outcomes.len(),
            on_time: percent(Outcome::OnTime),
            late: percent(Outcome::Late),
            failed: percent(Outcome::Failed),
        }
    }

    /// Number of calls that ended in the period and match the filter.
    pub fn count_calls(
        &self,
        period_ms: Range<u64>,
        filter: impl Fn(&CallRecord) -> bool,
    ) -> usize {
        let in_period = |record: &&CallRecord| period_ms.contains(&record.at_ms);
        self.call_records
            .iter()
            .filter(in_period)
            .filter(|record| filter(record))
            .count()
    }

    /// Number of turns completed in the period.
    pub fn completed_turns(&self, period_ms: Range<u64>) -> usize {
        self.count_calls(period_ms, |record| {
            matches!(
                record.outcome,
                CallOutcome::Ended(CallEnd::Completed { .. })
            )
        })
    }
}

/// Outcomes of programs, in percent.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeShares {
    pub programs: usize,
    pub on_time: f64,
    pub late: f64,
    pub failed: f64,
}

/// Collects a failed check, so that a test reports all of its failures.
pub fn check(failures: &mut Vec<String>, holds: bool, failure: String) {
    if !holds {
        failures.push(failure);
    }
}
