//! The simulated fleet, and the run of events over it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_consensus::Configuration;
use courseshed_node::shards::ShardInput;
use courseshed_types::{
    BranchPath, BranchPolicy, NodeId, PolicySnapshot, SettingsVersion, Timestamp, Tokens,
    dispatch::{EngineMember, EngineState},
    policy::PeriodBudget,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    caller::{Caller, CallerOutput, CallerWorld},
    caller_script::{BUDGETED_BRANCH, Script},
    engine::{Engine, RunRecord},
    events::{Event, Events},
    ledger::Ledger,
    links::Links,
    node::{FleetView, MODEL, Node, REGION, address_of},
    observer::Observer,
    options::{FleetOptions, FleetVariant},
    report::{FleetFault, FleetPromise, FleetReport},
    wire::{CallerId, CallerReply, CopyId, Envelope, Party, Payload},
};

const NODES: u32 = 3;
const ENGINES: usize = 3;
const CALLERS: usize = 16;
const PROBES: usize = 3;
const TICK: Duration = Duration::from_millis(10);
const VIEW_LAG_MILLIS: std::ops::Range<u64> = 200..2_000;
const LONGEST_CLOCK_LEAD_MILLIS: u64 = 400;
/// When probes start after the last fault.
const PROBES_AFTER: Duration = Duration::from_secs(12);
/// How long all programs may take to end after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(400);
/// How long engines may hold memory after the last program ended.
const MEMORY_SETTLING: Duration = Duration::from_secs(40);
/// The pause after which a program is ended.
const TOOL_PAUSE: Duration = Duration::from_secs(10);
const QUEUE_WAIT: Duration = Duration::from_secs(5);
const BUDGET: std::ops::Range<u64> = 600..8_000;
const BUDGET_PERIOD: Duration = Duration::from_secs(3_600);

/// The simulated fleet.
pub struct World {
    pub(super) options: FleetOptions,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Duration,
    pub(super) events: Events,
    pub(super) links: Links,
    pub(super) nodes: BTreeMap<NodeId, Node>,
    pub(super) engines: Vec<Engine>,
    /// What waits for engines that hang.
    pub(super) backlogs: Vec<Vec<(Duration, Envelope)>>,
    pub(super) ledger: Ledger,
    pub(super) callers: Vec<Caller>,
    pub(super) observer: Observer,
    pub(super) report: FleetReport,
    pub(super) polls: u64,
    /// Times in which an engine was leaving.
    absences: Vec<(usize, Duration, Duration)>,
    budget: u64,
    last_copy: u64,
    healed_at: Option<Duration>,
    all_done_at: Option<Duration>,
    is_over: bool,
}

impl World {
    pub fn new(seed: u64, options: FleetOptions) -> World {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let links = Links::new(&mut random);
        let budget = random.random_range(BUDGET);
        let policy = Arc::new(policy(budget));
        let engines = (0..ENGINES).map(|place| Engine::new(place, options.variant));
        let mut world = World {
            options,
            links,
            now: Duration::ZERO,
            events: Events::default(),
            nodes: BTreeMap::new(),
            engines: engines.collect(),
            backlogs: vec![Vec::new(); ENGINES],
            ledger: Ledger::new(policy.clone(), options.variant),
            callers: Vec::new(),
            observer: Observer::default(),
            report: FleetReport {
                seed,
                ..FleetReport::default()
            },
            polls: 0,
            absences: Vec::new(),
            budget,
            last_copy: 0,
            healed_at: None,
            all_done_at: None,
            is_over: false,
            random,
        };
        world.add_nodes(&policy);
        world.add_callers();
        world.schedule_fault();
        world.events.schedule(Duration::ZERO, Event::Tick);
        world
    }

    fn add_nodes(&mut self, policy: &Arc<PolicySnapshot>) {
        for id in (1..=NODES).map(NodeId) {
            let ahead = self.random.random_range(0..LONGEST_CLOCK_LEAD_MILLIS);
            let ahead = Duration::from_millis(ahead);
            let node = Node::new(id, ahead, policy.clone(), self.options.variant);
            self.nodes.insert(id, node);
        }
        let founders = Configuration::of_voters((1..=NODES).map(|id| address_of(NodeId(id), 1)));
        for id in (1..=NODES).map(NodeId) {
            self.start_node(id, founders.clone());
        }
        self.schedule_views();
    }

    fn add_callers(&mut self) {
        let span = self.options.duration.as_millis() as u64;
        for _ in 0..CALLERS {
            let script = Script::draw(&mut self.random);
            let at = Duration::from_millis(self.random.random_range(1_000..span));
            self.add_caller(script, at);
        }
    }

    fn add_caller(&mut self, script: Script, at: Duration) {
        let id = CallerId(self.callers.len());
        self.callers.push(Caller::new(id, script));
        self.events.schedule(at, Event::Caller(id));
    }

    pub(super) fn is_faulty(&self) -> bool {
        self.healed_at.is_none()
    }

    pub(super) fn count(&mut self, fault: FleetFault) {
        *self.report.faults.entry(fault).or_default() += 1;
    }

    /// Runs until all programs have ended and engines' memory has settled, or time is up.
    pub fn run(&mut self) {
        while !self.is_over
            && let Some((at, event)) = self.events.next()
        {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(envelope) => self.deliver(*envelope),
            Event::Tick => self.tick(),
            Event::ViewUpdate(node) => self.update_view(node),
            Event::Caller(caller) => self.wake_caller(caller),
            Event::Fault => self.inject_fault(),
            Event::Reconnect => self.links.reconnect(),
            Event::StartNode(node) => self.start_node(node, Configuration::default()),
            Event::ResumeNode(node) => self.resume_node(node),
            Event::StartEngine(place) => self.start_engine(place),
            Event::MendEngine(place) => self.mend_engine(place),
            Event::ReturnEngine(place) => self.return_engine(place),
            Event::MendLedger => self.ledger.is_reachable = true,
        }
    }

    fn tick(&mut self) {
        self.events.schedule(self.now + TICK, Event::Tick);
        for id in self.node_ids() {
            let now = self.now;
            let mut outputs = Vec::new();
            self.node(id).tick(now, &mut outputs);
            self.send_all(Party::Node(id), outputs);
        }
        for place in 0..self.engines.len() {
            self.engines[place].advance(self.now);
            self.send_streams(place);
        }
        self.poll_engines();
        self.finish_drains();
        self.follow_phase();
    }

    fn follow_phase(&mut self) {
        if self.healed_at.is_none() && self.now >= self.options.duration {
            self.heal();
        }
        let Some(healed_at) = self.healed_at else {
            return;
        };
        let all_done = self.callers.iter().all(Caller::is_done);
        if all_done && self.all_done_at.is_none() {
            self.all_done_at = Some(self.now);
        }
        let has_settled = |since: Duration| self.now >= since + MEMORY_SETTLING;
        let is_settled = self.all_done_at.is_some_and(has_settled);
        self.is_over = is_settled || self.now >= healed_at + RECOVERY_LIMIT;
    }

    fn heal(&mut self) {
        self.healed_at = Some(self.now);
        self.links.heal();
        self.ledger.is_reachable = true;
        for place in 0..self.engines.len() {
            self.start_engine(place);
            self.mend_engine(place);
            self.return_engine(place);
        }
        for id in self.node_ids() {
            self.resume_node(id);
        }
        for _ in 0..PROBES {
            let script = Script::probe(&mut self.random);
            self.add_caller(script, self.now + PROBES_AFTER);
        }
    }

    pub(super) fn node_ids(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    pub(super) fn node(&mut self, id: NodeId) -> &mut Node {
        self.nodes.get_mut(&id).expect("nodes are never removed")
    }

    fn start_node(&mut self, id: NodeId, founders: Configuration) {
        let now = self.now;
        let mut view = self.true_view();
        let node = self.node(id);
        if node.process.is_some() {
            return;
        }
        view.nodes.insert(id, (node.incarnation + 1, true));
        node.start(now, founders, view);
        self.schedule_views();
    }

    fn resume_node(&mut self, id: NodeId) {
        let Some(process) = &mut self.node(id).process else {
            return;
        };
        for envelope in process.frozen.take().unwrap_or_default() {
            self.deliver(envelope);
        }
        self.schedule_views();
    }

    fn start_engine(&mut self, place: usize) {
        if !self.engines[place].is_up {
            let now = self.now;
            self.engines[place].restart(now);
        }
    }

    fn mend_engine(&mut self, place: usize) {
        self.engines[place].is_hung = false;
        self.engines[place].set_slow_factor(1.0);
        for (arrived_at, envelope) in std::mem::take(&mut self.backlogs[place]) {
            self.engines[place].arrived_at = Some(arrived_at);
            self.deliver(envelope);
        }
        self.engines[place].arrived_at = None;
    }

    fn return_engine(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        engine.is_leaving = false;
        if let Some(since) = engine.leaving_since.take() {
            self.absences.push((place, since, self.now));
            self.schedule_views();
        }
    }

    /// Stops the nodes that were asked to and have nothing left to do.
    fn finish_drains(&mut self) {
        for id in self.node_ids() {
            let now = self.now;
            let mut outputs = Vec::new();
            let Some(process) = self.node(id).awake() else {
                continue;
            };
            if process.draining_since.is_none() {
                continue;
            }
            let leads = process.replica.leads();
            if leads {
                self.node(id).input(now, ShardInput::HandOver, &mut outputs);
                self.send_all(Party::Node(id), outputs);
            } else if process.gateway.under_way().is_empty() && self.may_lose(id) {
                self.stop_node(id);
                self.events
                    .schedule(now + TOOL_PAUSE / 10, Event::StartNode(id));
            }
        }
    }

    /// How things are; nodes learn of it late.
    fn true_view(&self) -> FleetView {
        let state = |node: &Node| {
            let process = node.process.as_ref();
            let takes_part = process.is_some_and(|process| {
                process.frozen.is_none() && process.draining_since.is_none()
            });
            (node.incarnation, takes_part)
        };
        let nodes = self.nodes.values().map(|node| (node.id, state(node)));
        FleetView {
            nodes: nodes.collect(),
            engines: self
                .engines
                .iter()
                .map(|engine| self.member(engine))
                .collect(),
        }
    }

    fn member(&self, engine: &Engine) -> EngineMember {
        let is_heard = self.options.variant != FleetVariant::LeavingUnheard;
        EngineMember {
            engine: engine.id.clone(),
            address: engine.address.clone(),
            region: REGION.into(),
            zone: "zone".into(),
            models: vec![MODEL.into()],
            state: match engine.is_leaving && is_heard {
                true => EngineState::Leaving,
                false => EngineState::Live,
            },
        }
    }

    pub(super) fn schedule_views(&mut self) {
        for id in self.node_ids() {
            let lag = self.random.random_range(VIEW_LAG_MILLIS);
            let at = self.now + Duration::from_millis(lag);
            self.events.schedule(at, Event::ViewUpdate(id));
        }
    }

    fn update_view(&mut self, id: NodeId) {
        let now = self.now;
        let view = self.true_view();
        let mut outputs = Vec::new();
        self.node(id).take_view(now, view, &mut outputs);
        self.send_all(Party::Node(id), outputs);
    }

    fn wake_caller(&mut self, id: CallerId) {
        self.with_caller(id, |caller, world| caller.wake(world));
    }

    pub(super) fn tell_caller(&mut self, id: CallerId, copy: CopyId, reply: &CallerReply) {
        self.with_caller(id, |caller, world| caller.on_reply(world, copy, reply));
    }

    fn with_caller(&mut self, id: CallerId, step: impl FnOnce(&mut Caller, &mut CallerWorld<'_>)) {
        let gateways = self.node_ids();
        let mut world = CallerWorld {
            now: self.now,
            random: &mut self.random,
            observer: &mut self.observer,
            faults: &mut self.report.faults,
            last_copy: &mut self.last_copy,
            gateways: &gateways,
            outputs: Vec::new(),
        };
        step(&mut self.callers[id.0], &mut world);
        for output in world.outputs {
            match output {
                CallerOutput::WakeAt(at) => self.events.schedule(at, Event::Caller(id)),
                CallerOutput::Send {
                    gateway,
                    copy,
                    body,
                } => {
                    let request = super::wire::CallerRequest { body: *body };
                    let payload = Payload::Request { copy, request };
                    self.send(Party::Caller(id), Party::Node(gateway), payload);
                }
            }
        }
    }
}

/// The end of a run.
impl World {
    pub fn into_report(mut self) -> FleetReport {
        let runs: Vec<RunRecord> = self
            .engines
            .iter()
            .flat_map(|engine| engine.runs.clone())
            .collect();
        self.check_served();
        self.check_memory();
        self.check_budget(&runs);
        for (engine, from, to) in std::mem::take(&mut self.absences) {
            self.observer.check_leaving(&runs, engine, from, to);
        }
        self.observer.check_runs(&runs);
        let tally = self.observer.tally();
        let mut report = self.report;
        report.programs = self
            .callers
            .iter()
            .filter(|caller| caller.has_program())
            .count() as u64;
        report.calls = tally.calls;
        report.answered = tally.answered;
        report.not_run = tally.not_run;
        report.in_doubt = tally.in_doubt;
        report.attempts = runs.len() as u64;
        report.violations = self.observer.take_violations();
        report
    }

    fn check_served(&mut self) {
        for caller in self.callers.iter().filter(|caller| !caller.is_done()) {
            let detail = caller.describe();
            self.observer.broken(FleetPromise::Served, detail);
        }
        for node in self.nodes.values() {
            let process = node.process.as_ref();
            if let Some(since) = process.and_then(|process| process.draining_since) {
                let detail = format!("node {} was asked to stop at {since:?}", node.id);
                self.observer.broken(FleetPromise::PlannedStop, detail);
            }
        }
    }

    fn check_memory(&mut self) {
        for engine in &self.engines {
            let held = engine.leased_programs();
            if !held.is_empty() {
                let detail = format!("engine {} holds {held:?}", engine.place);
                self.observer.broken(FleetPromise::Memory, detail);
            }
        }
    }

    fn check_budget(&mut self, runs: &[RunRecord]) {
        let budgeted = self.callers.iter().filter(|caller| caller.is_budgeted());
        let programs: Vec<_> = budgeted.filter_map(Caller::program).collect();
        let counted = runs.iter().filter(|run| programs.contains(&run.program));
        let spent: u64 = counted
            .map(|run| run.prompt_tokens + run.output_tokens)
            .sum();
        if spent > self.budget {
            let detail = format!("engines counted {spent} tokens of {}", self.budget);
            self.observer.broken(FleetPromise::Budget, detail);
        }
    }
}

fn policy(budget: u64) -> PolicySnapshot {
    let mut snapshot = PolicySnapshot {
        version: SettingsVersion(1),
        models: vec![MODEL.into()],
        ..PolicySnapshot::default()
    };
    for path in [
        "",
        "guild",
        BUDGETED_BRANCH,
        super::caller_script::OPEN_BRANCH,
    ] {
        let mut branch = BranchPolicy {
            default_model: Some(MODEL.into()),
            ..BranchPolicy::default()
        };
        branch.limits.tool_pause = TOOL_PAUSE;
        branch.limits.queue_wait = QUEUE_WAIT;
        branch.limits.output_tokens = Tokens(64);
        let path: BranchPath = path.parse().unwrap_or_else(|_| BranchPath::root());
        snapshot.branches.insert(path, branch);
    }
    let budgeted: BranchPath = "guild".parse().expect("a branch");
    if let Some(branch) = snapshot.branches.get_mut(&budgeted) {
        branch.budget = Some(PeriodBudget {
            tokens: Tokens(budget),
            period: BUDGET_PERIOD,
        });
    }
    snapshot
}

/// The time on the ledger's clock.
pub fn ledger_time(now: Duration) -> Timestamp {
    Timestamp(super::node::EPOCH_MICROS) + now
}
