//! Randomized simulation of gateways and owners with lost, delayed and reordered messages,
//! gateways that restart, are added, frozen or cut off, and changes of the owner and of the rate.
//! Guards against more arrivals at a server in any second than its limit, against refusals below
//! the limit, and, by injected faults, against a check that detects nothing.

use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use courseshed_types::NodeId;
use courseshed_warmup::{
    InjectedFault, LEASE, OCCUPANCY, WarmupAnswer, WarmupHolder, WarmupOwner, WarmupPolicy,
    WarmupReport,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const TICK: Duration = Duration::from_millis(5);
const WINDOW: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(5);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from the loss of an owner to the start of the next one.
const OWNER_CHANGE_DELAY: Duration = Duration::from_millis(900);
/// Longest time from a send to its arrival; below the margin of the occupancy.
const MAX_ARRIVAL_MS: u64 = 400;
/// How long sends under an earlier rate may still arrive.
const RATE_MEMORY: Duration = LEASE
    .saturating_add(OCCUPANCY)
    .saturating_add(Duration::from_millis(MAX_ARRIVAL_MS));

#[derive(Clone, Copy)]
struct Load {
    servers: usize,
    gateways: usize,
    duration: Duration,
    calls_per_s: f64,
    /// Number of calls that start together at one gateway.
    burst: usize,
    faults: f64,
}

enum Event {
    Report {
        gateway: usize,
        report: WarmupReport,
    },
    Answer {
        gateway: usize,
        incarnation: u64,
        sequence: u64,
        answer: WarmupAnswer,
    },
    GiveUp {
        gateway: usize,
        incarnation: u64,
        sequence: u64,
    },
    Send {
        gateway: usize,
        incarnation: u64,
        server: usize,
    },
    Arrival {
        server: usize,
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

/// A call that waits for a permit of one server.
struct WaitingCall {
    server: usize,
    first_report: u64,
    began: Duration,
    /// Servers that may still be tried.
    tries: u32,
}

struct Gateway {
    holder: WarmupHolder,
    waiting: Vec<WaitingCall>,
    incarnation: u64,
    clock_offset: Duration,
    starts_at: Duration,
    partitioned_until: Duration,
    next_report: Duration,
    last_report: Duration,
    paused_until: Duration,
}

struct Server {
    name: String,
    rate: f64,
    /// The rates in force, with the end of each former one.
    former_rates: VecDeque<(Duration, f64)>,
    arrivals: VecDeque<Duration>,
}

struct Simulation {
    random: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<ScheduledEvent>,
    order: u64,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    owner: Option<WarmupOwner>,
    epoch: u64,
    next_owner: Duration,
    fault: InjectedFault,
    load: Load,
    served: u64,
    refused: u64,
    waits: Vec<Duration>,
    violation: Option<String>,
}

fn permits(rate: f64) -> u32 {
    WarmupPolicy::default().permits(rate)
}

impl Simulation {
    fn new(seed: u64, fault: InjectedFault, load: Load) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let gateways = (0..load.gateways)
            .map(|number| {
                // With faults, a quarter of the gateways is added during the run.
                let is_added = load.faults > 0.0 && number % 4 == 3;
                let added_ms = random.random_range(0..load.duration.as_millis() as u64);
                Gateway {
                    holder: WarmupHolder::new(1),
                    waiting: Vec::new(),
                    incarnation: 1,
                    clock_offset: Duration::from_millis(random.random_range(0..100_000)),
                    starts_at: Duration::from_millis(if is_added { added_ms } else { 0 }),
                    partitioned_until: Duration::ZERO,
                    next_report: Duration::ZERO,
                    last_report: Duration::ZERO,
                    paused_until: Duration::ZERO,
                }
            })
            .collect();
        let servers = (0..load.servers)
            .map(|number| Server {
                name: format!("server-{number}"),
                rate: if load.faults > 0.0 && number % 2 == 1 {
                    4.0
                } else {
                    24.0
                },
                former_rates: VecDeque::new(),
                arrivals: VecDeque::new(),
            })
            .collect();
        Self {
            random,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            gateways,
            servers,
            owner: None,
            epoch: 0,
            next_owner: Duration::ZERO,
            fault,
            load,
            served: 0,
            refused: 0,
            waits: Vec::new(),
            violation: None,
        }
    }

    fn run(mut self) -> Self {
        while self.now < self.load.duration && self.violation.is_none() {
            self.now += TICK;
            self.change_owner();
            self.inject_fault();
            while self
                .events
                .peek()
                .is_some_and(|scheduled| scheduled.at <= self.now)
            {
                if let Some(scheduled) = self.events.pop() {
                    self.handle_event(scheduled.event);
                }
            }
            for gateway in 0..self.gateways.len() {
                self.start_calls(gateway);
                self.report(gateway);
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

    /// Whether something happens in this tick that happens `per_s` times a second on average.
    fn happens(&mut self, per_s: f64) -> bool {
        let chance = per_s * self.load.faults * TICK.as_secs_f64();
        self.random.random_bool(chance.min(1.0))
    }

    /// Delivery delay of a message; none if it is lost.
    fn delivery_delay(&mut self) -> Option<Duration> {
        let is_faulty = self.random.random_bool(0.05 * self.load.faults);
        if is_faulty && self.random.random_bool(0.5) {
            return None;
        }
        let max_ms = if is_faulty { 2500 } else { 4 };
        Some(Duration::from_millis(self.random.random_range(1..=max_ms)))
    }

    fn change_owner(&mut self) {
        if self.owner.is_none() && self.now >= self.next_owner {
            self.epoch += 1;
            let servers = self.servers.iter();
            let listed = servers.map(|server| (server.name.clone(), permits(server.rate)));
            // No earlier owner can have granted anything before the first.
            let listed: Vec<_> = listed.take_while(|_| self.epoch > 1).collect();
            let owner = WarmupOwner::new(self.epoch, self.now, listed);
            self.owner = Some(owner.with_fault(self.fault));
        }
        if self.owner.is_some() && self.happens(0.12) {
            self.owner = None;
            self.next_owner = self.now + OWNER_CHANGE_DELAY;
        }
    }

    fn inject_fault(&mut self) {
        if self.happens(0.15) {
            let number = self.random.random_range(0..self.servers.len());
            let rate = [2.0, 4.0, 12.0, 24.0][self.random.random_range(0..4)];
            let now = self.now;
            let server = &mut self.servers[number];
            server.former_rates.push_back((now, server.rate));
            server.rate = rate;
        }
        if !self.happens(1.0) {
            return;
        }
        let gateway = self.random.random_range(0..self.gateways.len());
        let outage = Duration::from_millis(self.random.random_range(200..6000));
        let now = self.now;
        let node = &mut self.gateways[gateway];
        match self.random.random_range(0..3) {
            0 => {
                node.incarnation += 1;
                node.holder = WarmupHolder::new(node.incarnation);
                node.waiting.clear();
                node.starts_at = node.starts_at.max(now + Duration::from_millis(300));
            }
            1 => node.partitioned_until = now + outage,
            _ => node.paused_until = now + outage,
        }
    }

    fn is_up(&self, gateway: usize) -> bool {
        let node = &self.gateways[gateway];
        self.now >= node.starts_at && self.now >= node.paused_until
    }

    fn is_partitioned(&self, gateway: usize) -> bool {
        self.now < self.gateways[gateway].partitioned_until
    }

    fn local_time(&self, gateway: usize) -> Duration {
        self.now + self.gateways[gateway].clock_offset
    }

    fn report(&mut self, gateway: usize) {
        let node = &self.gateways[gateway];
        let is_due = self.now >= node.next_report
            && self.now >= node.last_report + MIN_REPORT_INTERVAL
            && !node.holder.is_idle();
        if !is_due || !self.is_up(gateway) {
            return;
        }
        let local = self.local_time(gateway);
        let now = self.now;
        let node = &mut self.gateways[gateway];
        let Some(report) = node.holder.report(local) else {
            return;
        };
        node.next_report = now + REPORT_INTERVAL;
        node.last_report = now;
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
        let per_tick = self.load.calls_per_s * TICK.as_secs_f64() / self.load.gateways as f64;
        let chance = per_tick / self.load.burst as f64;
        if !self.random.random_bool(chance.min(1.0)) {
            return;
        }
        for _ in 0..self.load.burst {
            let call = WaitingCall {
                server: self.random.random_range(0..self.servers.len()),
                first_report: 0,
                began: self.now,
                tries: 3,
            };
            self.try_call(gateway, call);
        }
    }

    /// Sends a call if a permit is free, and lets it wait otherwise.
    fn try_call(&mut self, gateway: usize, mut call: WaitingCall) {
        if self.acquire(gateway, call.server) {
            self.waits.push(self.now - call.began);
            return;
        }
        let now = self.now;
        let name = &self.servers[call.server].name;
        let node = &mut self.gateways[gateway];
        call.first_report = node.holder.begin_waiting(name);
        // Reports immediately instead of at the next interval.
        node.next_report = now;
        node.waiting.push(call);
    }

    /// Acquires a permit for a call, which is sent after a delay.
    fn acquire(&mut self, gateway: usize, server: usize) -> bool {
        let local = self.local_time(gateway);
        let node = &mut self.gateways[gateway];
        let incarnation = node.incarnation;
        if !node.holder.acquire(local, &self.servers[server].name) {
            return false;
        }
        let is_delayed = self.load.faults > 0.0 && self.random.random_bool(0.02);
        let max_ms = if is_delayed { 4000 } else { 10 };
        let delay = Duration::from_millis(self.random.random_range(0..max_ms));
        let send = Event::Send {
            gateway,
            incarnation,
            server,
        };
        self.schedule(delay, send);
        true
    }

    /// Calls that got no permit of their server try another one, and are refused in the end.
    fn retry_waiting(&mut self, gateway: usize, answered: u64) {
        let waiting = std::mem::take(&mut self.gateways[gateway].waiting);
        for call in waiting {
            let is_served = self.acquire(gateway, call.server);
            let name = &self.servers[call.server].name;
            let node = &mut self.gateways[gateway];
            if !is_served && answered < call.first_report {
                node.waiting.push(call);
                continue;
            }
            if !is_served && !node.holder.is_exhausted(name) {
                // The next report asks for the rest.
                let first_report = node.holder.next_sequence();
                node.next_report = self.now;
                node.waiting.push(WaitingCall {
                    first_report,
                    ..call
                });
                continue;
            }
            node.holder.end_waiting(name);
            if is_served {
                self.waits.push(self.now - call.began);
            } else if call.tries > 1 {
                let server = self.random.random_range(0..self.servers.len());
                let tries = call.tries - 1;
                let call = WaitingCall {
                    server,
                    tries,
                    ..call
                };
                self.try_call(gateway, call);
            } else {
                self.refused += 1;
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Report { gateway, report } => self.on_report(gateway, &report),
            Event::Answer {
                gateway,
                incarnation,
                sequence,
                answer,
            } => {
                if !self.is_up(gateway) {
                    // The answer waits in a socket of the frozen process.
                    let event = Event::Answer {
                        gateway,
                        incarnation,
                        sequence,
                        answer,
                    };
                    self.schedule(Duration::from_millis(100), event);
                    return;
                }
                if self.gateways[gateway].incarnation != incarnation || self.is_partitioned(gateway)
                {
                    return;
                }
                let is_granted = matches!(answer, WarmupAnswer::Granted { .. });
                let node = &mut self.gateways[gateway];
                node.holder.on_answer(sequence, answer);
                if is_granted {
                    self.retry_waiting(gateway, sequence);
                } else {
                    node.next_report = self.now;
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
                server,
            } => self.send(gateway, incarnation, server),
            Event::Arrival { server } => self.on_arrival(server),
        }
    }

    fn on_report(&mut self, gateway: usize, report: &WarmupReport) {
        let now = self.now;
        let node = NodeId(u32::try_from(gateway).unwrap_or(0));
        let servers = &self.servers;
        let permits_of = |name: &str| {
            let server = servers.iter().find(|server| server.name == name)?;
            Some(permits(server.rate))
        };
        let Some(owner) = &mut self.owner else {
            return;
        };
        let answer = owner.on_report(now, node, report, permits_of);
        if let (Some(answer), Some(delay)) = (answer, self.delivery_delay()) {
            let event = Event::Answer {
                gateway,
                incarnation: report.incarnation,
                sequence: report.sequence,
                answer,
            };
            self.schedule(delay, event);
        }
    }

    fn send(&mut self, gateway: usize, incarnation: u64, server: usize) {
        if self.gateways[gateway].incarnation != incarnation {
            return;
        }
        if !self.is_up(gateway) {
            // The process was frozen between acquiring the permit and sending.
            let delay = Duration::from_millis(100);
            let send = Event::Send {
                gateway,
                incarnation,
                server,
            };
            self.schedule(delay, send);
            return;
        }
        let local = self.local_time(gateway);
        let holder = &mut self.gateways[gateway].holder;
        if !holder.send(local, &self.servers[server].name) {
            return;
        }
        let max_ms = if self.load.faults > 0.0 {
            MAX_ARRIVAL_MS
        } else {
            4
        };
        let delay = Duration::from_millis(self.random.random_range(0..max_ms));
        // The server answers some with 421, which do not count.
        if self.load.faults > 0.0 && self.random.random_bool(0.05) {
            holder.refund(&self.servers[server].name, local);
            return;
        }
        self.schedule(delay, Event::Arrival { server });
    }

    fn on_arrival(&mut self, number: usize) {
        self.served += 1;
        let now = self.now;
        let server = &mut self.servers[number];
        server.arrivals.push_back(now);
        while server
            .arrivals
            .front()
            .is_some_and(|first| now - *first >= WINDOW)
        {
            server.arrivals.pop_front();
        }
        while server
            .former_rates
            .front()
            .is_some_and(|(end, _)| now - *end >= RATE_MEMORY)
        {
            server.former_rates.pop_front();
        }
        let former = server.former_rates.iter().map(|(_, rate)| *rate);
        let limit = permits(former.fold(server.rate, f64::max)) as usize;
        if server.arrivals.len() > limit {
            let arrivals = server.arrivals.len();
            self.violation = Some(format!(
                "{}: {arrivals} arrivals within a second, limit {limit}, at {now:?}",
                server.name
            ));
        }
    }
}

const STRESS: Load = Load {
    servers: 3,
    gateways: 12,
    duration: Duration::from_secs(25),
    calls_per_s: 200.0,
    burst: 4,
    faults: 1.0,
};

/// The first violation among some seeds.
fn violation(fault: InjectedFault, mut seeds: std::ops::Range<u64>) -> Option<(u64, String)> {
    seeds.find_map(|seed| {
        let simulation = Simulation::new(seed, fault, STRESS).run();
        simulation.violation.map(|violation| (seed, violation))
    })
}

/// Number of seeds; can be raised with `WARMUP_SEEDS`.
fn seeds() -> u64 {
    let seeds = std::env::var("WARMUP_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(100)
}

#[test]
fn arrivals_in_any_second_never_exceed_the_limit() {
    assert_eq!(violation(InjectedFault::None, 0..seeds()), None);
}

/// Permits must not be lost by faults, or a limited server would get fewer calls for good.
#[test]
fn servers_stay_in_use_while_faults_occur() {
    let runs = (0..20).map(|seed| Simulation::new(seed, InjectedFault::None, STRESS).run());
    let served: u64 = runs.map(|run| run.served).sum();
    println!("{served} served");
    assert!(served >= 14_000, "{served} served");
}

#[parameterized(
    ignores_former_grants = { InjectedFault::IgnoresFormerGrants },
    releases_at_restart = { InjectedFault::ReleasesAtRestart },
    lowers_before_ack = { InjectedFault::LowersBeforeAck },
    releases_early = { InjectedFault::ReleasesEarly },
)]
fn injected_faults_are_detected(fault: InjectedFault) {
    let detected = violation(fault, 0..2000);
    println!("{fault:?}: {detected:?}");
    assert!(detected.is_some(), "{fault:?} was not detected");
}

/// A service whose 48 servers are all warming up serves 500 calls a second from 73 gateways, and
/// permits reach the gateways within a few milliseconds.
#[test]
fn calls_below_the_limit_are_served_by_a_cold_service() {
    let load = Load {
        servers: 48,
        gateways: 73,
        duration: Duration::from_secs(6),
        calls_per_s: 500.0,
        burst: 1,
        faults: 0.0,
    };
    let mut simulation = Simulation::new(1, InjectedFault::None, load).run();
    assert_eq!(simulation.violation, None);
    simulation.waits.sort_unstable();
    let at = |share: f64| simulation.waits[(simulation.waits.len() as f64 * share) as usize];
    let (median, high) = (at(0.5), at(0.99));
    println!(
        "{} served, {} refused, wait {median:?} median, {high:?} at the 99th percentile",
        simulation.served, simulation.refused
    );
    assert_eq!(simulation.refused, 0);
    assert!(simulation.served >= 2_850, "{}", simulation.served);
    assert!(high <= Duration::from_millis(30), "{high:?}");
}
