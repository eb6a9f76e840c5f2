//! Simulation in virtual time of many gateways and partly failing servers: calls lost until failing servers are avoided
//! by all gateways, robustness against ordinary error rates, and recovery.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use courseshed_edge::gateway::{
    CallReport, Demand, Mechanism, Policy, ServerTable, VersionRequirement,
};
use courseshed_registry::{
    AvoidanceChange, LoadAggregator, Server, ServerList, ServerState, report_interval,
};
use courseshed_routing::AllowedRegions;
use courseshed_types::NodeId;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

const SERVERS: usize = 44;
const GATEWAYS: usize = 73;
const CONTROLLERS: usize = 5;
/// Minimum time between load reports; with this many servers they are less frequent.
const REPORT_INTERVAL: Duration = Duration::from_millis(80);
const REPORT_INTERVAL_MS: u64 = REPORT_INTERVAL.as_millis() as u64;
const SUCCESSFUL_CALL_MS: u64 = 120;
const FAILED_CALL_MS: u64 = 4;
const CALLS_PER_SECOND: u64 = 2_200;

/// The fraction of calls that a server fails at a time in milliseconds.
type FailureRate = fn(server: usize, at_ms: u64) -> f64;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call,
    CallEnd {
        gateway: usize,
        server: String,
        is_success: bool,
    },
    Report(usize),
    Relay(usize),
}

struct Simulation {
    random: ChaCha8Rng,
    gateways: Vec<ServerTable>,
    boards: Vec<LoadAggregator>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    failure_rate: FailureRate,
    /// Sent and lost calls by server.
    sent: BTreeMap<String, u64>,
    lost: BTreeMap<String, u64>,
    lost_at: Vec<u64>,
    /// When gateways began and ceased to avoid servers.
    begun: Vec<(u64, String)>,
    ended: Vec<(u64, String)>,
}

fn name(server: usize) -> String {
    format!("server-{server:02}")
}

impl Simulation {
    fn new(seed: u64, policy: &Policy, failure_rate: FailureRate) -> Self {
        let servers: ServerList = (0..SERVERS)
            .map(|server| Server {
                id: name(server),
                name: String::new(),
                started_ms: None,
                software_version: None,
                warmup_remaining_ms: 0,
                service: "s".to_owned(),
                address: ([127, 0, 0, 1], 80).into(),
                zone: "a".to_owned(),
                slots: 16,
                state: ServerState::Ready,
            })
            .collect();
        let gateways = (0..GATEWAYS).map(|gateway| {
            let table = ServerTable::new(policy.clone());
            let mut table =
                table.with_seed((seed << 16 | gateway as u64).wrapping_mul(0x9e37_79b9));
            table.replace(&servers, Duration::ZERO);
            table
        });
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            gateways: gateways.collect(),
            boards: vec![LoadAggregator::default(); CONTROLLERS],
            events: BinaryHeap::new(),
            serial: 0,
            failure_rate,
            sent: BTreeMap::new(),
            lost: BTreeMap::new(),
            lost_at: Vec::new(),
            begun: Vec::new(),
            ended: Vec::new(),
        };
        for gateway in 0..GATEWAYS {
            let at = simulation.random_below(REPORT_INTERVAL_MS);
            simulation.schedule(at, Event::Report(gateway));
        }
        for controller in 0..CONTROLLERS {
            let at = simulation.random_below(REPORT_INTERVAL_MS);
            simulation.schedule(at, Event::Relay(controller));
        }
        simulation.schedule(0, Event::Call);
        simulation
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        (self.random.next_u64() as f64) < probability * u64::MAX as f64
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn run(&mut self, until_ms: u64) {
        while let Some(Reverse((at, serial, event))) = self.events.pop() {
            if at > until_ms {
                self.events.push(Reverse((at, serial, event)));
                return;
            }
            match event {
                Event::Call => self.call(at),
                Event::CallEnd {
                    gateway,
                    server,
                    is_success,
                } => self.end_call(gateway, &server, is_success, at),
                Event::Report(gateway) => self.report(gateway, at),
                Event::Relay(controller) => self.relay(controller, at),
            }
        }
    }

    /// Starts a batch of 11 calls at random gateways; batches are 5 ms apart on average.
    fn call(&mut self, at: u64) {
        for _ in 0..CALLS_PER_SECOND / 200 {
            let (gateway, tie) = (
                self.random_below(GATEWAYS as u64) as usize,
                self.random.next_u64(),
            );
            let demand = Demand {
                service: "s",
                zone: "a",
                parts: &[],
                max_in_flight: 100,
                allowed_regions: &AllowedRegions::ANY,
                version: &VersionRequirement::Any,
            };
            let now = Duration::from_millis(at);
            let table = &mut self.gateways[gateway];
            let server = table.choose(&demand, &[], now, tie).expect("a server").id;
            table.begin(&server);
            table.record_sent(&server, now);
            *self.sent.entry(server.clone()).or_default() += 1;
            let index: usize = server[7..].parse().expect("a number");
            let fails = self.random_bool((self.failure_rate)(index, at));
            let takes = if fails {
                FAILED_CALL_MS
            } else {
                SUCCESSFUL_CALL_MS
            };
            if fails {
                *self.lost.entry(server.clone()).or_default() += 1;
                self.lost_at.push(at);
            }
            let end = Event::CallEnd {
                gateway,
                server,
                is_success: !fails,
            };
            self.schedule(at + takes, end);
        }
        let interval = 1 + self.random_below(9);
        self.schedule(at + interval, Event::Call);
    }

    fn end_call(&mut self, gateway: usize, server: &str, is_success: bool, at: u64) {
        let now = Duration::from_millis(at);
        let table = &mut self.gateways[gateway];
        table.end(server);
        let reports: &[CallReport] = if is_success {
            &[
                CallReport::Answered,
                CallReport::Latency(Duration::from_millis(SUCCESSFUL_CALL_MS)),
            ]
        } else {
            &[CallReport::ServerError]
        };
        for report in reports {
            table.report(server, *report, now);
            table.reevaluate_after(server, *report, now);
        }
        self.record_avoidance_changes(gateway, at);
    }

    fn report(&mut self, gateway: usize, at: u64) {
        let now = Duration::from_millis(at);
        let node = NodeId(gateway as u32);
        let table = &mut self.gateways[gateway];
        let board = &mut self.boards[gateway % CONTROLLERS];
        let own = table.load_report(now).with_lifetime_for(REPORT_INTERVAL);
        let others = board.sum_excluding(now, node);
        let pause = report_interval(2, own.entry_count() + others.entry_count(), REPORT_INTERVAL);
        board.record_gateway(now, node, own);
        table.apply_load_report(&others, now);
        table.reevaluate_avoidance(now);
        self.record_avoidance_changes(gateway, at);
        self.schedule(at + pause.as_millis() as u64, Event::Report(gateway));
    }

    fn relay(&mut self, controller: usize, at: u64) {
        let now = Duration::from_millis(at);
        let sum = self.boards[controller].own_gateways(now);
        let others = CONTROLLERS - 1;
        let pause = report_interval(others, sum.entry_count() * others, REPORT_INTERVAL);
        let sum = sum.with_lifetime_for(pause);
        for other in (0..CONTROLLERS).filter(|other| *other != controller) {
            let node = NodeId(controller as u32);
            self.boards[other].record_controller(now, node, sum.clone());
        }
        self.schedule(at + pause.as_millis() as u64, Event::Relay(controller));
    }

    fn record_avoidance_changes(&mut self, gateway: usize, at: u64) {
        for change in self.gateways[gateway].take_changes() {
            match change.change {
                AvoidanceChange::Started => self.begun.push((at, change.server)),
                AvoidanceChange::Ended => self.ended.push((at, change.server)),
                AvoidanceChange::Extended => {}
            }
        }
    }

    fn lost(&self) -> u64 {
        self.lost.values().sum()
    }

    fn lost_between(&self, from_ms: u64, to_ms: u64) -> usize {
        let between = |at: &&u64| (from_ms..to_ms).contains(*at);
        self.lost_at.iter().filter(between).count()
    }

    /// The number of servers avoided, summed over all gateways.
    fn avoided(&self) -> usize {
        let avoided = self.gateways.iter().map(ServerTable::avoided);
        avoided.flat_map(BTreeMap::into_values).sum()
    }
}

fn without_shared_outcomes() -> Policy {
    Policy::without([Mechanism::SharedOutcomes])
}

const FAULT_START_MS: u64 = 2_000;
const FAULT_END_MS: u64 = 9_000;

fn three_servers_fail(server: usize, at_ms: u64) -> f64 {
    let fails = server < 3 && (FAULT_START_MS..FAULT_END_MS).contains(&at_ms);
    f64::from(u8::from(fails))
}

#[test]
fn completely_failing_servers_lose_few_calls() {
    let mut with = Simulation::new(1, &Policy::default(), three_servers_fail);
    with.run(FAULT_START_MS + 1_000);
    let first = with.lost();
    assert!(
        with.begun.len() >= 3 * GATEWAYS,
        "not avoided by all gateways"
    );
    let last_begin = with.begun[3 * GATEWAYS - 1].0 - FAULT_START_MS;
    with.run(FAULT_END_MS);
    let mut without = Simulation::new(1, &without_shared_outcomes(), three_servers_fail);
    without.run(FAULT_END_MS);
    println!(
        "calls lost at 3 servers in 7 s: {} ({first} in the first second, avoided by all gateways after {last_begin} ms) with shared outcomes, {} without",
        with.lost(),
        without.lost()
    );
    assert!(with.lost() * 5 < without.lost());
    with.run(FAULT_END_MS + 3_000);
    assert_eq!(with.avoided(), 0, "recovered servers are still avoided");
    let last_end = with.ended.iter().map(|(at, _)| *at).max();
    println!(
        "used by all gateways again {:?} ms after the fault ended",
        last_end.map(|at| at - FAULT_END_MS)
    );
}

#[test]
fn ordinary_error_rates_do_not_exclude_servers() {
    for seed in 0..12 {
        let mut simulation = Simulation::new(seed, &Policy::default(), |_, _| 0.01);
        simulation.run(8_000);
        assert!(simulation.lost() > 100);
        assert_eq!(simulation.begun, [], "seed {seed}");
    }
}

#[test]
fn only_partially_failing_servers_are_avoided() {
    let failure_rate: FailureRate = |server, at_ms| {
        let fails = server < 4 && (FAULT_START_MS..FAULT_END_MS).contains(&at_ms);
        if fails { 0.4 } else { 0.01 }
    };
    let mut with = Simulation::new(3, &Policy::default(), failure_rate);
    with.run(FAULT_END_MS);
    let mut without = Simulation::new(3, &without_shared_outcomes(), failure_rate);
    without.run(FAULT_END_MS);
    let lost = |simulation: &Simulation| {
        (0..4)
            .filter_map(|server| simulation.lost.get(&name(server)))
            .sum::<u64>()
    };
    println!(
        "calls lost at 4 servers that fail 40 % in 7 s: {} with shared outcomes, {} without",
        lost(&with),
        lost(&without)
    );
    assert!(lost(&with) * 2 < lost(&without));
    assert!(with.begun.iter().all(|(_, server)| *server < name(4)));
}

/// The server alternates between one second of failure and three seconds of success.
#[test]
fn intermittently_failing_server_is_used_again_after_recovery() {
    let failure_rate: FailureRate = |server, at_ms| {
        let fails = server == 0 && at_ms >= 1_000 && at_ms % 4_000 < 1_000;
        f64::from(u8::from(fails))
    };
    let mut simulation = Simulation::new(4, &Policy::default(), failure_rate);
    for cycle in 1..4 {
        simulation.run(cycle * 4_000 + 1_000);
        let sent = simulation.sent[&name(0)];
        let lost = simulation.lost_between(cycle * 4_000, cycle * 4_000 + 1_000);
        simulation.run(cycle * 4_000 + 3_500);
        assert_eq!(simulation.avoided(), 0, "cycle {cycle}");
        let sent = simulation.sent[&name(0)] - sent;
        println!("cycle {cycle}: {lost} lost, {sent} sent in the 2.5 s after");
        assert!(sent > 20, "cycle {cycle}: {sent}");
    }
}

#[test]
fn no_server_is_avoided_when_all_fail() {
    let failure_rate: FailureRate = |_, at_ms| if at_ms >= 2_000 { 1.0 } else { 0.0 };
    let mut simulation = Simulation::new(5, &Policy::default(), failure_rate);
    for until_ms in [3_500, 6_000, 9_000] {
        simulation.run(until_ms);
        assert_eq!(simulation.avoided(), 0, "after {until_ms} ms");
    }
}
