//! Randomized simulation of gateways and owners with lost, delayed and reordered messages,
//! restarts, process pauses, network partitions and changes of the owner. Guards against windows
//! with more sends than permits, against refusals below the limit, and, by injected faults, against
//! a check that detects nothing.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use courseshed_quota::{
    Ceiling, InjectedFault, OwnerBounds, ProgramPhase, QuotaAnswer, QuotaHolder, QuotaOwner,
    QuotaPolicy, QuotaReport,
};
use courseshed_routing::RequestQuota;
use courseshed_types::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const TERMS: QuotaPolicy = QuotaPolicy {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
const TENANTS: [(&str, f64, f64); 3] = [
    ("small", 2.0, 2.0),
    ("mean", 12.0, 12.0),
    ("large", 60.0, 60.0),
];
const GATEWAYS: usize = 8;
const DURATION: Duration = Duration::from_secs(40);
/// Time after a restart in which refusals are counted apart: until the processes are up again, and
/// then until sends before the restart have left the window.
const RECOVERY: Duration = Duration::from_millis(6700);
const TICK: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time from the loss of an owner to the start of the next one.
const OWNER_CHANGE_DELAY: Duration = Duration::from_millis(900);

fn permits_of(tenant: &str) -> Option<u32> {
    let found = TENANTS.iter().find(|(name, ..)| *name == tenant)?;
    let quota = RequestQuota {
        rate_per_s: found.1,
        burst: found.2,
    };
    Some(TERMS.permits(&quota))
}

#[derive(Clone, Copy)]
struct Load {
    /// Fraction of the tenants' rates.
    share: f64,
    faults: f64,
    gateways: usize,
    restart: Option<Restart>,
}

/// A restart of the owner and of most gateways at once.
#[derive(Clone, Copy)]
struct Restart {
    at: Duration,
    /// Gateways that keep running.
    spared_gateways: usize,
    /// When the owner that follows is lost too.
    next_owner_lost_after: Option<Duration>,
}

enum Event {
    Report {
        gateway: usize,
        report: QuotaReport,
    },
    Answer {
        gateway: usize,
        incarnation: u64,
        sequence: u64,
        answer: QuotaAnswer,
    },
    GiveUp {
        gateway: usize,
        incarnation: u64,
        sequence: u64,
    },
    Send {
        gateway: usize,
        incarnation: u64,
        tenant: usize,
    },
    Commit {
        epoch: u64,
        bounds: OwnerBounds,
    },
}

struct ScheduledEvent {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A call that waits for a permit, and the number of answers since it began to wait.
struct WaitingCall {
    tenant: usize,
    phase: ProgramPhase,
    answers: u32,
}

struct Gateway {
    holder: QuotaHolder,
    waiting: Vec<WaitingCall>,
    incarnation: u64,
    clock_offset: Duration,
    down_until: Duration,
    partitioned_until: Duration,
    next_report: Duration,
    /// End of a process pause.
    paused_until: Duration,
}

struct Simulation {
    random: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<ScheduledEvent>,
    order: u64,
    gateways: Vec<Gateway>,
    owner: Option<QuotaOwner>,
    epoch: u64,
    next_owner: Duration,
    committed: BTreeMap<String, u32>,
    holders: BTreeSet<NodeId>,
    next_bounds: Duration,
    sent: Vec<VecDeque<Duration>>,
    fault: InjectedFault,
    load: Load,
    max_sends: Vec<usize>,
    served: u64,
    refused: u64,
    calls: u64,
    served_after_restart: u64,
    refused_after_restart: u64,
    running_refused_after_restart: u64,
    waited: u64,
    violation: Option<String>,
}

impl Simulation {
    fn new(seed: u64, fault: InjectedFault, load: Load) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let gateways = (0..load.gateways)
            .map(|_| Gateway {
                holder: QuotaHolder::new(TERMS, 1, Duration::ZERO),
                waiting: Vec::new(),
                incarnation: 1,
                clock_offset: Duration::from_millis(random.random_range(0..100_000)),
                down_until: Duration::ZERO,
                partitioned_until: Duration::ZERO,
                next_report: Duration::ZERO,
                paused_until: Duration::ZERO,
            })
            .collect();
        Self {
            random,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            gateways,
            owner: None,
            epoch: 0,
            next_owner: Duration::ZERO,
            committed: BTreeMap::new(),
            holders: BTreeSet::new(),
            next_bounds: Duration::ZERO,
            sent: vec![VecDeque::new(); TENANTS.len()],
            fault,
            load,
            max_sends: vec![0; TENANTS.len()],
            served: 0,
            refused: 0,
            calls: 0,
            served_after_restart: 0,
            refused_after_restart: 0,
            running_refused_after_restart: 0,
            waited: 0,
            violation: None,
        }
    }

    fn run(mut self) -> Self {
        while self.now < DURATION && self.violation.is_none() {
            self.now += TICK;
            self.change_owner();
            self.inject_node_fault();
            self.inject_restart();
            self.propose_bounds();
            while self
                .events
                .peek()
                .is_some_and(|scheduled| scheduled.at <= self.now)
            {
                if let Some(scheduled) = self.events.pop() {
                    self.handle_event(scheduled.event);
                }
            }
            for gateway in 0..self.load.gateways {
                self.report(gateway);
                self.start_calls(gateway);
            }
        }
        self
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.order += 1;
        let scheduled = ScheduledEvent {
            at: self.now + delay,
            order: self.order,
            event,
        };
        self.events.push(scheduled);
    }

    /// Delivery delay of a message; none if it is lost.
    fn delivery_delay(&mut self) -> Option<Duration> {
        let is_faulty = self.random.random_bool(0.05 * self.load.faults);
        if is_faulty && self.random.random_bool(0.5) {
            return None;
        }
        let max_ms = if is_faulty { 2500 } else { 12 };
        Some(Duration::from_millis(self.random.random_range(1..=max_ms)))
    }

    fn change_owner(&mut self) {
        if self.owner.is_none() && self.now >= self.next_owner {
            self.epoch += 1;
            let ceilings = self.committed.iter().map(|(tenant, permits)| Ceiling {
                tenant: tenant.clone(),
                permits: *permits,
            });
            let bounds = OwnerBounds {
                ceilings: ceilings.collect(),
                holders: self.holders.iter().copied().collect(),
                former_holders: Vec::new(),
            };
            let owner = QuotaOwner::new(TERMS, self.epoch, self.now, bounds);
            self.owner = Some(owner.with_fault(self.fault));
            self.next_bounds = self.now;
        }
        if self.owner.is_some() && self.random.random_bool(0.002 * self.load.faults) {
            self.owner = None;
            self.next_owner = self.now + OWNER_CHANGE_DELAY;
        }
    }

    fn inject_node_fault(&mut self) {
        if !self.random.random_bool(0.02 * self.load.faults) {
            return;
        }
        let gateway = self.random.random_range(0..self.load.gateways);
        let outage = Duration::from_millis(self.random.random_range(200..9000));
        let now = self.now;
        let node = &mut self.gateways[gateway];
        match self.random.random_range(0..3) {
            0 => {
                node.incarnation += 1;
                node.holder = QuotaHolder::new(TERMS, node.incarnation, now + node.clock_offset);
                node.waiting.clear();
                node.down_until = now + Duration::from_millis(700);
            }
            1 => node.partitioned_until = now + outage,
            _ => node.paused_until = now + outage,
        }
        // Occasionally all processes restart at once, as after a power failure.
        if self.random.random_bool(0.05) {
            self.restart_processes(0);
        }
    }

    /// Restarts the owner and all gateways but the first ones.
    fn restart_processes(&mut self, spared_gateways: usize) {
        let now = self.now;
        for node in self.gateways.iter_mut().skip(spared_gateways) {
            node.incarnation += 1;
            node.holder = QuotaHolder::new(TERMS, node.incarnation, now + node.clock_offset);
            node.waiting.clear();
            node.down_until = now + Duration::from_millis(700);
        }
        self.owner = None;
        self.next_owner = now + OWNER_CHANGE_DELAY;
    }

    fn inject_restart(&mut self) {
        let Some(restart) = self.load.restart else {
            return;
        };
        if self.now == restart.at {
            self.restart_processes(restart.spared_gateways);
        }
        let lost_after = restart.next_owner_lost_after;
        if lost_after.is_some_and(|after| self.now == restart.at + after) {
            self.owner = None;
            self.next_owner = self.now + OWNER_CHANGE_DELAY;
        }
    }

    /// Whether the time after the restart has begun in which refusals are counted apart.
    fn is_recovering(&self) -> bool {
        let end = |restart: Restart| restart.at + RECOVERY;
        let restart = self.load.restart;
        restart.is_some_and(|restart| self.now >= restart.at && self.now < end(restart))
    }

    fn propose_bounds(&mut self) {
        if self.now < self.next_bounds {
            return;
        }
        self.next_bounds = self.now + Duration::from_secs(2);
        let now = self.now;
        let tenants = TENANTS
            .iter()
            .map(|(name, ..)| (*name, permits_of(name).unwrap_or(0)));
        if let Some(owner) = &mut self.owner {
            let bounds = owner.due_bounds(now, tenants);
            self.commit(bounds);
        }
    }

    fn commit(&mut self, bounds: OwnerBounds) {
        if !bounds.is_empty() {
            let delay = Duration::from_millis(20);
            let epoch = self.epoch;
            self.schedule(delay, Event::Commit { epoch, bounds });
        }
    }

    fn is_up(&self, gateway: usize) -> bool {
        let node = &self.gateways[gateway];
        self.now >= node.down_until && self.now >= node.paused_until
    }

    fn is_partitioned(&self, gateway: usize) -> bool {
        self.now < self.gateways[gateway].partitioned_until
    }

    fn report(&mut self, gateway: usize) {
        if !self.is_up(gateway) || self.now < self.gateways[gateway].next_report {
            return;
        }
        let now = self.now;
        let node = &mut self.gateways[gateway];
        node.next_report = now + REPORT_INTERVAL;
        let local = now + node.clock_offset;
        let Some(report) = node.holder.report(local) else {
            return;
        };
        let incarnation = node.incarnation;
        let sequence = report.sequence;
        let give_up = Event::GiveUp {
            gateway,
            incarnation,
            sequence,
        };
        self.schedule(ANSWER_TIMEOUT, give_up);
        if !self.is_partitioned(gateway)
            && let Some(delay) = self.delivery_delay()
        {
            self.schedule(delay, Event::Report { gateway, report });
        }
    }

    fn start_calls(&mut self, gateway: usize) {
        if !self.is_up(gateway) {
            return;
        }
        for (tenant, (name, rate, _)) in TENANTS.iter().enumerate() {
            let calls_per_tick =
                rate * self.load.share * TICK.as_secs_f64() / self.load.gateways as f64;
            // Calls arrive in bursts, as those of programs do.
            if !self.random.random_bool((calls_per_tick / 4.0).min(1.0)) {
                continue;
            }
            for _ in 0..4 {
                let phase = self.next_phase();
                if !self.acquire(gateway, tenant, phase) {
                    self.waited += 1;
                    let node = &mut self.gateways[gateway];
                    node.holder.begin_waiting(name);
                    node.waiting.push(WaitingCall {
                        tenant,
                        phase,
                        answers: 0,
                    });
                    // Reports immediately instead of at the next interval.
                    node.next_report = self.now;
                }
            }
        }
    }

    /// In runs with a restart, one call in six begins a program.
    fn next_phase(&mut self) -> ProgramPhase {
        self.calls += 1;
        match self.load.restart.is_some() && self.calls.is_multiple_of(6) {
            true => ProgramPhase::New,
            false => ProgramPhase::Running,
        }
    }

    /// Acquires a permit for a call, which is sent after a delay.
    fn acquire(&mut self, gateway: usize, tenant: usize, phase: ProgramPhase) -> bool {
        let node = &mut self.gateways[gateway];
        let local = self.now + node.clock_offset;
        let incarnation = node.incarnation;
        let (name, ..) = TENANTS[tenant];
        if node.holder.acquire(local, name, phase).is_err() {
            return false;
        }
        let is_delayed = self.random.random_bool(0.02);
        let max_ms = if is_delayed { 4000 } else { 30 };
        let delay = Duration::from_millis(self.random.random_range(0..max_ms));
        let send = Event::Send {
            gateway,
            incarnation,
            tenant,
        };
        self.schedule(delay, send);
        true
    }

    /// Waiting calls retry after each answer, and are refused after the third.
    fn retry_waiting(&mut self, gateway: usize) {
        let waiting = std::mem::take(&mut self.gateways[gateway].waiting);
        for call in waiting {
            let (name, ..) = TENANTS[call.tenant];
            let is_served = self.acquire(gateway, call.tenant, call.phase);
            let is_refused = !is_served && call.answers >= 2;
            let node = &mut self.gateways[gateway];
            if is_served || is_refused {
                node.holder.end_waiting(name);
                self.refused += u64::from(is_refused);
                let is_recovering = is_refused && self.is_recovering();
                self.refused_after_restart += u64::from(is_recovering);
                let is_running = call.phase == ProgramPhase::Running;
                self.running_refused_after_restart += u64::from(is_recovering && is_running);
            } else {
                node.waiting.push(WaitingCall {
                    answers: call.answers + 1,
                    ..call
                });
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Report { gateway, report } => self.on_report(gateway, report),
            Event::Answer {
                gateway,
                incarnation,
                sequence,
                answer,
            } => {
                if self.gateways[gateway].incarnation == incarnation
                    && !self.is_partitioned(gateway)
                {
                    self.gateways[gateway].holder.on_answer(sequence, answer);
                    self.retry_waiting(gateway);
                }
            }
            Event::GiveUp {
                gateway,
                incarnation,
                sequence,
            } => {
                let node = &mut self.gateways[gateway];
                if node.incarnation == incarnation {
                    node.holder.abandon_report(sequence);
                }
            }
            Event::Send {
                gateway,
                incarnation,
                tenant,
            } => self.send(gateway, incarnation, tenant),
            Event::Commit { epoch, bounds } => self.apply_commit(epoch, &bounds),
        }
    }

    /// Commands of one owner are applied in the order in which they were proposed.
    fn apply_commit(&mut self, epoch: u64, bounds: &OwnerBounds) {
        if epoch != self.epoch {
            return;
        }
        let Some(owner) = &mut self.owner else {
            return;
        };
        owner.on_bounds(bounds);
        for ceiling in &bounds.ceilings {
            self.committed
                .insert(ceiling.tenant.clone(), ceiling.permits);
        }
        self.holders.extend(&bounds.holders);
        for node in &bounds.former_holders {
            self.holders.remove(node);
        }
    }

    fn on_report(&mut self, gateway: usize, report: QuotaReport) {
        let now = self.now;
        let node = NodeId(u32::try_from(gateway).unwrap_or(0));
        let Some(owner) = &mut self.owner else {
            return;
        };
        let incarnation = report.incarnation;
        let sequence = report.sequence;
        let (answer, bounds) = owner.on_report(now, node, report, permits_of);
        self.commit(bounds);
        if let (Some(answer), Some(delay)) = (answer, self.delivery_delay()) {
            let event = Event::Answer {
                gateway,
                incarnation,
                sequence,
                answer,
            };
            self.schedule(delay, event);
        }
    }

    fn send(&mut self, gateway: usize, incarnation: u64, tenant: usize) {
        if self.gateways[gateway].incarnation != incarnation {
            return;
        }
        if !self.is_up(gateway) {
            // The process was paused between acquiring the permit and sending.
            let delay = Duration::from_millis(100);
            let send = Event::Send {
                gateway,
                incarnation,
                tenant,
            };
            self.schedule(delay, send);
            return;
        }
        let (name, ..) = TENANTS[tenant];
        let node = &mut self.gateways[gateway];
        let local = self.now + node.clock_offset;
        if !node.holder.send(local, name) {
            return;
        }
        self.served += 1;
        self.served_after_restart += u64::from(self.is_recovering());
        let sent = &mut self.sent[tenant];
        sent.push_back(self.now);
        while sent
            .front()
            .is_some_and(|first| self.now - *first >= TERMS.window)
        {
            sent.pop_front();
        }
        self.max_sends[tenant] = self.max_sends[tenant].max(sent.len());
        let permits = permits_of(name).unwrap_or(0) as usize;
        if sent.len() > permits {
            self.violation = Some(format!(
                "{name}: {} sends within a window, {permits} permits, at {:?}",
                sent.len(),
                self.now
            ));
        }
    }
}

const STRESS: Load = Load {
    share: 3.0,
    faults: 1.0,
    gateways: GATEWAYS,
    restart: None,
};

fn violations(fault: InjectedFault, seeds: std::ops::Range<u64>) -> Vec<(u64, String)> {
    let runs = seeds.filter_map(|seed| {
        let simulation = Simulation::new(seed, fault, STRESS).run();
        simulation.violation.map(|violation| (seed, violation))
    });
    runs.collect()
}

/// Number of seeds; can be raised with `QUOTA_SEEDS`.
fn seeds() -> u64 {
    let seeds = std::env::var("QUOTA_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(150)
}

#[test]
fn sends_in_any_window_never_exceed_permits() {
    assert_eq!(violations(InjectedFault::None, 0..seeds()), []);
}

#[parameterized(
    ignores_former_grants = { InjectedFault::IgnoresFormerGrants },
    releases_at_restart = { InjectedFault::ReleasesAtRestart },
    lowers_before_ack = { InjectedFault::LowersBeforeAck },
    releases_early = { InjectedFault::ReleasesEarly },
)]
fn injected_faults_are_detected(fault: InjectedFault) {
    let mut simulations = (0..4000).map(|seed| Simulation::new(seed, fault, STRESS).run());
    let detected = simulations.find_map(|simulation| simulation.violation);
    assert!(detected.is_some(), "{fault:?} was not detected");
}

/// Below the limit almost no call is refused for lack of a permit.
#[parameterized(
    mean_use = { 0.62, 0.02 },
    at_the_rate = { 0.95, 0.08 },
)]
fn calls_below_the_limit_are_not_refused(share: f64, max_refused_fraction: f64) {
    let load = Load {
        share,
        faults: 0.0,
        gateways: GATEWAYS,
        restart: None,
    };
    let (mut refused, mut served, mut waited) = (0, 0, 0);
    for seed in 0..20 {
        let simulation = Simulation::new(seed, InjectedFault::None, load).run();
        assert_eq!(simulation.violation, None);
        refused += simulation.refused;
        served += simulation.served;
        waited += simulation.waited;
    }
    let refused_fraction = refused as f64 / (refused + served) as f64;
    println!(
        "share {share}: {refused_fraction:.4} of {} refused, {waited} waited",
        refused + served
    );
    assert!(
        refused_fraction <= max_refused_fraction,
        "{refused_fraction} of {} refused",
        refused + served
    );
}

/// Guards against an owner that, after a restart of all processes, refuses most calls of tenants
/// well below their quota until the sends before the restart have left the window.
#[parameterized(
    all = { 8, 0, None, 0.2 },
    all_of_many = { 73, 0, None, 0.3 },
    some_gateways_keep_running = { 8, 3, None, 0.03 },
    next_owner_is_lost = { 8, 0, Some(2000), 0.3 },
)]
fn calls_after_a_restart_are_served(
    gateways: usize,
    spared_gateways: usize,
    next_owner_lost_after_ms: Option<u64>,
    max_refused_fraction: f64,
) {
    let restart = Restart {
        at: Duration::from_secs(20),
        spared_gateways,
        next_owner_lost_after: next_owner_lost_after_ms.map(Duration::from_millis),
    };
    let load = Load {
        share: 0.6,
        faults: 0.0,
        gateways,
        restart: Some(restart),
    };
    let (mut refused, mut running_refused, mut served) = (0, 0, 0);
    let mut refused_otherwise = 0;
    for seed in 0..20 {
        let simulation = Simulation::new(seed, InjectedFault::None, load).run();
        assert_eq!(simulation.violation, None);
        refused += simulation.refused_after_restart;
        running_refused += simulation.running_refused_after_restart;
        served += simulation.served_after_restart;
        refused_otherwise += simulation.refused - simulation.refused_after_restart;
    }
    let refused_fraction = refused as f64 / (refused + served) as f64;
    println!(
        "{gateways} gateways, {spared_gateways} keep running, next owner lost after {next_owner_lost_after_ms:?}: \
         {refused_fraction:.4} of {} refused after the restart, of these {running_refused} of \
         programs under way; {refused_otherwise} refused otherwise",
        refused + served
    );
    assert!(
        refused_fraction <= max_refused_fraction,
        "{refused_fraction} of {} refused",
        refused + served
    );
}

/// Guards against the two faults that these seeds showed: a ceiling committed below permits granted
/// under a higher pending one, and a delayed report that counts as the gateway's current state.
#[parameterized(first = { 4651 }, second = { 6209 }, third = { 7704 })]
fn seeds_that_exceeded_permits_keep_within_them(seed: u64) {
    assert_eq!(violations(InjectedFault::None, seed..seed + 1), []);
}
