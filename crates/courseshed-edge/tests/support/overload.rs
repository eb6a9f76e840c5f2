//! Engines, gateways and clients under a load that exceeds the engines' capacity for some seconds.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::time::Duration;

use courseshed_edge::gateway::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, CostInputs, ServiceLatency, ServiceLoad,
    expected_cost_ms,
};
use courseshed_pool::{CallEnd, Ticket};
use courseshed_quota::ProgramPhase;
use courseshed_types::{NodeId, PromptPart};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{
    BATCH_SLOWDOWN_PER_CALL, Job, MS_PER_TOKEN, PREFILL_TOKENS_PER_MS, SHARED_TOKENS,
    SimulatedEngine, engines,
};

const ENGINES: u32 = 24;
const SLOTS: usize = 12;
const GATEWAYS: usize = 36;
pub const BURST_MS: Range<u64> = 6_000..11_000;
const LOAD_END_MS: u64 = 20_000;
const END_MS: u64 = 30_000;
const TURN_DEADLINE_MS: u64 = 3_000;
const MAX_ATTEMPTS: u32 = 3;
/// Engines that may refuse a call before its client is told to retry.
const MAX_REFUSALS: usize = 4;
const EXCHANGE_MS: u64 = 100;
const OUTPUT_TOKENS: Range<u32> = 80..220;
const PROMPT_GROWTH: Range<u32> = 200..600;
const PAUSE_MS: Range<u64> = 100..300;
const FROZEN_MS: Range<u64> = 7_000..9_000;

/// A kind of programs.
struct Route {
    turns: Range<u32>,
    /// Target time relative to the time on idle engines.
    factor: f64,
    priority: u32,
    /// Share of the usual load.
    share: f64,
}

const ROUTES: [Route; 2] = [
    Route {
        turns: 3..6,
        factor: 1.5,
        priority: 0,
        share: 0.5,
    },
    Route {
        turns: 6..10,
        factor: 1.3,
        priority: 1,
        share: 0.5,
    },
];

/// A disturbance besides the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// A third of the gateways stands still for 2 s during the burst.
    FrozenGateways,
    /// Load reports arrive 0.8 s late.
    LateReports,
    /// Three of four load reports are lost.
    LostReports,
    /// Half of the engines accepts no calls during the burst, and returns without cached prompts.
    HalfOfEngines,
}

/// The load, relative to the engines' capacity with full batches and cached prompts.
#[derive(Clone, Debug)]
pub struct Load {
    usual: f64,
    /// Factor of each route's load during the burst.
    factors: [f64; ROUTES.len()],
    disturbance: Option<Disturbance>,
}

impl Load {
    pub fn burst(usual: f64, factor: f64) -> Self {
        Self {
            usual,
            factors: [factor; ROUTES.len()],
            disturbance: None,
        }
    }

    /// A burst of one route that multiplies the whole load by `factor`.
    pub fn burst_of_route(usual: f64, factor: f64, route: usize) -> Self {
        let mut load = Self::burst(usual, 1.0);
        load.factors[route] = 1.0 + (factor - 1.0) / ROUTES[route].share;
        load
    }

    pub fn with(self, disturbance: Disturbance) -> Self {
        Self {
            disturbance: Some(disturbance),
            ..self
        }
    }

    /// Programs of a route per millisecond.
    fn rate(&self, route: usize, now: u64) -> f64 {
        let slowdown = 1.0 + BATCH_SLOWDOWN_PER_CALL * (SLOTS - 1) as f64;
        let turn_ms = mean(&OUTPUT_TOKENS) * MS_PER_TOKEN * slowdown
            + mean(&PROMPT_GROWTH) / PREFILL_TOKENS_PER_MS;
        let turns_per_ms = f64::from(ENGINES) * SLOTS as f64 / turn_ms;
        let kind = &ROUTES[route];
        let burst = if BURST_MS.contains(&now) {
            self.factors[route]
        } else {
            1.0
        };
        self.usual * kind.share * burst * turns_per_ms / mean(&kind.turns)
    }
}

fn mean(range: &Range<u32>) -> f64 {
    f64::from(range.start + range.end - 1) / 2.0
}

struct Turn {
    growth: u32,
    output: u32,
    pause_ms: u64,
}

struct Program {
    route: usize,
    started_ms: u64,
    /// Time within which the program should finish.
    target_ms: u64,
    /// Decides whether the program is in the admitted share.
    draw: f64,
    turns: Vec<Turn>,
    turn: usize,
    turn_began_ms: u64,
    attempts: u32,
    refused_by: Vec<usize>,
    parts: Vec<PromptPart>,
    ended_ms: Option<u64>,
}

impl Program {
    fn new(now: u64, number: usize, route: usize, random: &mut ChaCha8Rng) -> Self {
        let count = random.random_range(ROUTES[route].turns.clone());
        let mut turn = || Turn {
            growth: random.random_range(PROMPT_GROWTH),
            output: random.random_range(OUTPUT_TOKENS),
            pause_ms: random.random_range(PAUSE_MS),
        };
        let turns: Vec<Turn> = (0..count).map(|_| turn()).collect();
        let idle_ms = turns.iter().map(|turn| {
            f64::from(turn.growth) / PREFILL_TOKENS_PER_MS
                + f64::from(turn.output) * MS_PER_TOKEN
                + turn.pause_ms as f64
        });
        let idle_ms = idle_ms.sum::<f64>() - turns[turns.len() - 1].pause_ms as f64;
        let part = |id, tokens| PromptPart { id, tokens };
        Self {
            route,
            started_ms: now,
            draw: random.random(),
            target_ms: (ROUTES[route].factor * idle_ms) as u64 + 200,
            parts: vec![
                part(1 + route as u64, SHARED_TOKENS),
                part(1_000 + number as u64, turns[0].growth),
            ],
            turns,
            turn: 0,
            turn_began_ms: now,
            attempts: 0,
            refused_by: Vec::new(),
            ended_ms: None,
        }
    }

    /// Whether the program finished within a multiple of its target time.
    fn is_within(&self, targets: u64) -> bool {
        let took = self.ended_ms.map(|ended| ended - self.started_ms);
        took.is_some_and(|took| took <= targets * self.target_ms)
    }
}

/// The programs of a route that began in the burst or up to 4 s after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteResults {
    pub programs: u32,
    pub in_aim: u32,
    /// Programs that finished within twice their target time.
    pub in_twice: u32,
    pub failed: u32,
}

#[derive(Clone, Copy, Debug)]
pub struct Results {
    pub routes: [RouteResults; ROUTES.len()],
    /// Attempts of new programs that were refused.
    pub refusals: u32,
}

impl RouteResults {
    fn percent(&self, count: u32) -> f64 {
        100.0 * f64::from(count) / f64::from(self.programs.max(1))
    }

    /// Percentage of the programs that finished in their target time.
    pub fn in_aim(&self) -> f64 {
        self.percent(self.in_aim)
    }

    /// Percentage of the value that clients could get, if a program that finishes within twice its target time has
    /// `late` of the value of one in time.
    pub fn value(&self, late: f64) -> f64 {
        self.in_aim() + late * self.percent(self.in_twice - self.in_aim)
    }
}

impl Results {
    /// All routes together.
    pub fn total(&self) -> RouteResults {
        let sum = |of: fn(&RouteResults) -> u32| self.routes.iter().map(of).sum::<u32>();
        RouteResults {
            programs: sum(|route| route.programs),
            in_aim: sum(|route| route.in_aim),
            in_twice: sum(|route| route.in_twice),
            failed: sum(|route| route.failed),
        }
    }
}

impl fmt::Display for Results {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        for route in self.routes.iter().chain([&self.total()]) {
            write!(
                formatter,
                "{:4} programs: {:5.1} in aim, {:4.1} failed, value {:5.1} ({:5.1} if late is worth 0.5); ",
                route.programs,
                route.in_aim(),
                route.percent(route.failed),
                route.value(0.3),
                route.value(0.5)
            )?;
        }
        write!(formatter, "{} refusals", self.refusals)
    }
}

#[derive(Clone)]
struct Gateway {
    own: Vec<u32>,
    others: Vec<u32>,
    reported_ms: u64,
    admission: AdmissionControl,
}

enum Event {
    Attempt(usize),
    Ended(Ticket, CallEnd),
    Report(usize, Vec<u32>, u64),
}

struct Model<'a> {
    now: u64,
    load: &'a Load,
    is_admission_on: bool,
    engines: Vec<SimulatedEngine>,
    gateways: Vec<Gateway>,
    /// Calls of each gateway as last reported.
    board: Vec<Vec<u32>>,
    programs: Vec<Program>,
    /// Program, gateway and engine of the running calls.
    calls: BTreeMap<Ticket, (usize, usize, usize)>,
    events: BTreeMap<u64, Vec<Event>>,
    call_ms: f64,
    numbers: u64,
    refusals: u32,
    /// Random numbers of the programs, which are the same with and without admission control.
    programs_random: ChaCha8Rng,
    random: ChaCha8Rng,
}

/// Runs a load, with or without admission control.
pub fn run(seed: u64, load: &Load, is_admission_on: bool) -> Results {
    let mut engines = engines(ENGINES, |_| 1.0);
    for engine in &mut engines {
        engine.slots = SLOTS;
    }
    let idle = vec![0; ENGINES as usize];
    let gateway = Gateway {
        own: idle.clone(),
        others: idle.clone(),
        reported_ms: 0,
        admission: AdmissionControl::default(),
    };
    let mut model = Model {
        now: 0,
        load,
        is_admission_on,
        engines,
        gateways: vec![gateway; GATEWAYS],
        board: vec![idle; GATEWAYS],
        programs: Vec::new(),
        calls: BTreeMap::new(),
        events: BTreeMap::new(),
        call_ms: 200.0,
        numbers: 0,
        refusals: 0,
        programs_random: ChaCha8Rng::seed_from_u64(seed),
        random: ChaCha8Rng::seed_from_u64(!seed),
    };
    let mut next = [0.0; ROUTES.len()];
    while model.now < END_MS {
        model.step(&mut next);
    }
    model.results()
}

impl Model<'_> {
    fn after(&mut self, delay_ms: u64, event: Event) {
        let at = self.now + delay_ms.max(1);
        self.events.entry(at).or_default().push(event);
    }

    fn is(&self, disturbance: Disturbance) -> bool {
        self.load.disturbance == Some(disturbance)
    }

    /// When a gateway handles what reaches it now.
    fn delay_of(&self, gateway: usize) -> u64 {
        let is_frozen = self.is(Disturbance::FrozenGateways)
            && gateway.is_multiple_of(3)
            && FROZEN_MS.contains(&self.now);
        if is_frozen {
            FROZEN_MS.end - self.now
        } else {
            0
        }
    }

    fn is_usable(&self, engine: usize) -> bool {
        let is_lost = self.is(Disturbance::HalfOfEngines) && engine.is_multiple_of(2);
        !(is_lost && BURST_MS.contains(&self.now))
    }

    fn step(&mut self, next: &mut [f64; ROUTES.len()]) {
        self.now += 1;
        if self.now == BURST_MS.end && self.is(Disturbance::HalfOfEngines) {
            for engine in self.engines.iter_mut().step_by(2) {
                engine.cache.clear();
            }
        }
        for (route, next) in next.iter_mut().enumerate() {
            while self.now < LOAD_END_MS && *next <= self.now as f64 {
                let rate = self.load.rate(route, self.now);
                *next -= (1.0 - self.programs_random.random::<f64>()).ln() / rate;
                let number = self.programs.len();
                let program = Program::new(self.now, number, route, &mut self.programs_random);
                self.programs.push(program);
                self.after(1, Event::Attempt(number));
            }
        }
        for event in self.events.remove(&self.now).unwrap_or_default() {
            match event {
                Event::Attempt(program) => self.attempt(program),
                Event::Ended(ticket, end) => self.end(ticket, end),
                Event::Report(gateway, calls, at_ms) => self.report(gateway, calls, at_ms),
            }
        }
        for gateway in 0..GATEWAYS {
            if self.now % EXCHANGE_MS == gateway as u64 % EXCHANGE_MS {
                self.exchange(gateway);
            }
        }
        for engine in 0..self.engines.len() {
            for (ticket, end) in self.engines[engine].step(self.now) {
                let gateway = self.calls.get(&ticket).map_or(0, |call| call.1);
                self.after(self.delay_of(gateway), Event::Ended(ticket, end));
            }
        }
    }

    fn exchange(&mut self, gateway: usize) {
        let is_lost = self.is(Disturbance::LostReports) && self.random.random_bool(0.75);
        if self.delay_of(gateway) > 0 || is_lost {
            return;
        }
        self.board[gateway].clone_from(&self.gateways[gateway].own);
        let mut others = vec![0; self.engines.len()];
        for (_, calls) in self
            .board
            .iter()
            .enumerate()
            .filter(|(of, _)| *of != gateway)
        {
            for (sum, calls) in others.iter_mut().zip(calls) {
                *sum += calls;
            }
        }
        let delay = if self.is(Disturbance::LateReports) {
            800
        } else {
            2
        };
        self.after(delay, Event::Report(gateway, others, self.now));
    }

    fn report(&mut self, gateway: usize, others: Vec<u32>, at_ms: u64) {
        let usable: Vec<usize> = (0..self.engines.len())
            .filter(|at| self.is_usable(*at))
            .collect();
        let state = &mut self.gateways[gateway];
        state.others = others;
        state.reported_ms = at_ms;
        let load = ServiceLoad {
            calls: usable
                .iter()
                .map(|at| state.own[*at] + state.others[*at])
                .sum(),
            slots: (usable.len() * SLOTS) as u32,
            call_ms: self.call_ms,
            age: Duration::ZERO,
        };
        let now = Duration::from_millis(self.now);
        state.admission.observe("engines", &load, now);
    }

    fn attempt(&mut self, number: usize) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let delay = self.delay_of(gateway);
        let program = &mut self.programs[number];
        if program.attempts == 0 {
            program.turn_began_ms = self.now;
        }
        program.attempts += 1;
        let left = (program.turn_began_ms + TURN_DEADLINE_MS).saturating_sub(self.now + delay);
        if left == 0 {
            return;
        }
        program.refused_by.clear();
        if self.is_admission_on
            && let AdmissionDecision::Refused { retry_after } = self.decide(number, gateway)
        {
            self.refusals += 1;
            let wait = (retry_after.as_millis() as u64).min(left / 3);
            self.retry(number, delay + wait);
            return;
        }
        self.send(number, gateway);
    }

    fn decide(&self, number: usize, gateway: usize) -> AdmissionDecision {
        let program = &self.programs[number];
        let left = (program.started_ms + program.target_ms).saturating_sub(self.now);
        let request = AdmissionRequest {
            phase: if program.turn == 0 {
                ProgramPhase::New
            } else {
                ProgramPhase::Running
            },
            priority: ROUTES[program.route].priority,
            time_left: Some(Duration::from_millis(left)),
            budgeted_turns: Some(program.turns.len() as u32),
        };
        let now = Duration::from_millis(self.now);
        self.gateways[gateway]
            .admission
            .decide("engines", &request, now, program.draw)
    }

    fn retry(&mut self, number: usize, delay: u64) {
        if self.programs[number].attempts < MAX_ATTEMPTS {
            self.after(delay, Event::Attempt(number));
        }
    }

    fn send(&mut self, number: usize, gateway: usize) {
        let program = &self.programs[number];
        let state = &self.gateways[gateway];
        let latency = ServiceLatency {
            call_ms: self.call_ms,
            prefill_ms_per_token: 1.0 / PREFILL_TOKENS_PER_MS,
        };
        let mut costs = Vec::new();
        for (at, engine) in self.engines.iter().enumerate() {
            if !self.is_usable(at) || program.refused_by.contains(&at) {
                continue;
            }
            let uncached = program.parts.iter().map(|part| {
                let cached = engine.cache.get(&part.id).map_or(0, |cached| cached.0);
                part.tokens.saturating_sub(cached)
            });
            let inputs = CostInputs {
                calls: state.own[at] + state.others[at],
                slots: SLOTS as u32,
                slowness: 1.0,
                uncached_tokens: uncached.sum(),
                network_ms: 4.0 * self.random.random::<f64>(),
            };
            costs.push((expected_cost_ms(&inputs, &latency), at));
        }
        let Some((_, at)) = costs
            .into_iter()
            .min_by(|left, right| left.0.total_cmp(&right.0))
        else {
            self.retry(number, 120);
            return;
        };
        self.numbers += 1;
        let ticket = Ticket {
            gateway: NodeId(gateway as u32),
            number: self.numbers,
        };
        let job = Job {
            ticket,
            parts: program.parts.clone(),
            uncached_tokens: 0.0,
            output_tokens: program.turns[program.turn].output.into(),
            generated_tokens: 0.0,
            sent_ms: self.now,
            first_token_ms: None,
        };
        if self.engines[at].accept(self.now, job).is_some() {
            let program = &mut self.programs[number];
            program.refused_by.push(at);
            if program.refused_by.len() > MAX_REFUSALS {
                self.retry(number, 120);
            } else {
                self.send(number, gateway);
            }
            return;
        }
        self.gateways[gateway].own[at] += 1;
        self.calls.insert(ticket, (number, gateway, at));
        let deadline = self.programs[number].turn_began_ms + TURN_DEADLINE_MS;
        let delay = deadline.saturating_sub(self.now);
        self.after(delay, Event::Ended(ticket, CallEnd::Abandoned));
    }

    fn end(&mut self, ticket: Ticket, end: CallEnd) {
        let Some((number, gateway, at)) = self.calls.remove(&ticket) else {
            return;
        };
        self.gateways[gateway].own[at] -= 1;
        self.engines[at].cancel(ticket);
        let CallEnd::Completed {
            generated, took_ms, ..
        } = end
        else {
            return;
        };
        self.call_ms += 0.01 * (f64::from(took_ms) - self.call_ms);
        let program = &mut self.programs[number];
        let pause_ms = program.turns[program.turn].pause_ms;
        program.turn += 1;
        program.attempts = 0;
        let Some(turn) = program.turns.get(program.turn) else {
            program.ended_ms = Some(self.now);
            return;
        };
        program.parts[1].tokens += generated + turn.growth;
        self.after(pause_ms, Event::Attempt(number));
    }

    fn results(&self) -> Results {
        let mut routes = [RouteResults::default(); ROUTES.len()];
        let counted = BURST_MS.start..BURST_MS.end + 4_000;
        let programs = self.programs.iter();
        for program in programs.filter(|program| counted.contains(&program.started_ms)) {
            let results = &mut routes[program.route];
            results.programs += 1;
            results.in_aim += u32::from(program.is_within(1));
            results.in_twice += u32::from(program.is_within(2));
            results.failed += u32::from(program.ended_ms.is_none());
        }
        Results {
            routes,
            refusals: self.refusals,
        }
    }
}
