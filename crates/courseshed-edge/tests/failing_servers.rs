//! Many gateways before servers of which some fail: how many calls are lost before those are avoided
//! everywhere, whom ordinary errors take out, and when servers come back. In virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use courseshed_edge::gateway::{CallReport, Demand, Mechanism, Policy, ServerTable};
use courseshed_registry::{
    AvoidanceChange, LoadBoard, Server, ServerList, ServerState, pause_after_reports,
};
use courseshed_routing::HomeRegions;
use courseshed_types::NodeId;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

const SERVERS: usize = 44;
const GATEWAYS: usize = 73;
const CONTROLLERS: usize = 5;
/// The shortest time from one report to the next; with so many servers they come less often.
const EXCHANGE: Duration = Duration::from_millis(80);
const EXCHANGE_MS: u64 = EXCHANGE.as_millis() as u64;
const SOUND_CALL_MS: u64 = 120;
const FAILED_CALL_MS: u64 = 4;
const CALLS_A_SECOND: u64 = 2_200;

/// The share of the calls that a server fails at a time in milliseconds.
type Faults = fn(server: usize, at_ms: u64) -> f64;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call,
    Over {
        gateway: usize,
        server: String,
        report: bool,
    },
    Exchange(usize),
    Relay(usize),
}

struct Play {
    random: ChaCha8Rng,
    gateways: Vec<ServerTable>,
    boards: Vec<LoadBoard>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    faults: Faults,
    /// Calls and lost calls by server.
    sent: BTreeMap<String, u64>,
    lost: BTreeMap<String, u64>,
    lost_at: Vec<u64>,
    /// When servers began and ceased to be avoided by a gateway.
    begun: Vec<(u64, String)>,
    ended: Vec<(u64, String)>,
}

fn name(server: usize) -> String {
    format!("server-{server:02}")
}

impl Play {
    fn new(seed: u64, policy: &Policy, faults: Faults) -> Self {
        let servers: ServerList = (0..SERVERS)
            .map(|server| Server {
                id: name(server),
                name: String::new(),
                born_ms: None,
                cold_ms: 0,
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
        let mut play = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            gateways: gateways.collect(),
            boards: vec![LoadBoard::default(); CONTROLLERS],
            events: BinaryHeap::new(),
            serial: 0,
            faults,
            sent: BTreeMap::new(),
            lost: BTreeMap::new(),
            lost_at: Vec::new(),
            begun: Vec::new(),
            ended: Vec::new(),
        };
        for gateway in 0..GATEWAYS {
            let at = play.below(EXCHANGE_MS);
            play.add(at, Event::Exchange(gateway));
        }
        for controller in 0..CONTROLLERS {
            let at = play.below(EXCHANGE_MS);
            play.add(at, Event::Relay(controller));
        }
        play.add(0, Event::Call);
        play
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn happens(&mut self, share: f64) -> bool {
        (self.random.next_u64() as f64) < share * u64::MAX as f64
    }

    fn add(&mut self, at: u64, event: Event) {
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
                Event::Over {
                    gateway,
                    server,
                    report,
                } => self.over(gateway, &server, report, at),
                Event::Exchange(gateway) => self.exchange(gateway, at),
                Event::Relay(controller) => self.relay(controller, at),
            }
        }
    }

    /// Calls come by elevens, each 5 ms on the average, at gateways drawn by chance.
    fn call(&mut self, at: u64) {
        for _ in 0..CALLS_A_SECOND / 200 {
            let (gateway, tie) = (self.below(GATEWAYS as u64) as usize, self.random.next_u64());
            let demand = Demand {
                service: "s",
                zone: "a",
                parts: &[],
                max_in_flight: 100,
                homes: &HomeRegions::ANY,
            };
            let now = Duration::from_millis(at);
            let table = &mut self.gateways[gateway];
            let server = table.choose(&demand, &[], now, tie).expect("a server").id;
            table.begin(&server);
            table.record_sent(&server, now);
            *self.sent.entry(server.clone()).or_default() += 1;
            let index: usize = server[7..].parse().expect("a number");
            let fails = self.happens((self.faults)(index, at));
            let takes = if fails { FAILED_CALL_MS } else { SOUND_CALL_MS };
            if fails {
                *self.lost.entry(server.clone()).or_default() += 1;
                self.lost_at.push(at);
            }
            let over = Event::Over {
                gateway,
                server,
                report: !fails,
            };
            self.add(at + takes, over);
        }
        let pause = 1 + self.below(9);
        self.add(at + pause, Event::Call);
    }

    fn over(&mut self, gateway: usize, server: &str, is_sound: bool, at: u64) {
        let now = Duration::from_millis(at);
        let table = &mut self.gateways[gateway];
        table.end(server);
        let reports: &[CallReport] = if is_sound {
            &[
                CallReport::Answered,
                CallReport::Latency(Duration::from_millis(SOUND_CALL_MS)),
            ]
        } else {
            &[CallReport::ServerError]
        };
        for report in reports {
            table.report(server, *report, now);
            table.reevaluate_after(server, *report, now);
        }
        self.note_changes(gateway, at);
    }

    fn exchange(&mut self, gateway: usize, at: u64) {
        let now = Duration::from_millis(at);
        let node = NodeId(gateway as u32);
        let table = &mut self.gateways[gateway];
        let board = &mut self.boards[gateway % CONTROLLERS];
        let own = table.load_report(now).until_next(EXCHANGE);
        let others = board.all_but(now, node);
        let pause = pause_after_reports(2, own.lines() + others.lines(), EXCHANGE);
        board.note_gateway(now, node, own);
        table.apply_load_report(&others, now);
        table.reevaluate_avoidance(now);
        self.note_changes(gateway, at);
        self.add(at + pause.as_millis() as u64, Event::Exchange(gateway));
    }

    fn relay(&mut self, controller: usize, at: u64) {
        let now = Duration::from_millis(at);
        let sum = self.boards[controller].own_gateways(now);
        let others = CONTROLLERS - 1;
        let pause = pause_after_reports(others, sum.lines() * others, EXCHANGE);
        let sum = sum.until_next(pause);
        for other in (0..CONTROLLERS).filter(|other| *other != controller) {
            let node = NodeId(controller as u32);
            self.boards[other].note_controller(now, node, sum.clone());
        }
        self.add(at + pause.as_millis() as u64, Event::Relay(controller));
    }

    fn note_changes(&mut self, gateway: usize, at: u64) {
        for change in self.gateways[gateway].take_changes() {
            match change.change {
                AvoidanceChange::Begun => self.begun.push((at, change.server)),
                AvoidanceChange::Ended => self.ended.push((at, change.server)),
                AvoidanceChange::Prolonged => {}
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

    /// How many gateways avoid each server.
    fn avoided(&self) -> usize {
        let avoided = self.gateways.iter().map(ServerTable::avoided);
        avoided.flat_map(BTreeMap::into_values).sum()
    }
}

fn without() -> Policy {
    Policy::without([Mechanism::SharedOutcomes])
}

const FAULT_FROM: u64 = 2_000;
const FAULT_TO: u64 = 9_000;

fn three_fail_all(server: usize, at_ms: u64) -> f64 {
    let fails = server < 3 && (FAULT_FROM..FAULT_TO).contains(&at_ms);
    f64::from(u8::from(fails))
}

#[test]
fn servers_that_fail_all_calls_at_once_lose_few_of_them() {
    let mut with = Play::new(1, &Policy::default(), three_fail_all);
    with.run(FAULT_FROM + 1_000);
    let first = with.lost();
    assert!(with.begun.len() >= 3 * GATEWAYS, "avoided everywhere");
    let last_begin = with.begun[3 * GATEWAYS - 1].0 - FAULT_FROM;
    with.run(FAULT_TO);
    let mut without = Play::new(1, &without(), three_fail_all);
    without.run(FAULT_TO);
    println!(
        "lost of 3 servers in 7 s: {} ({first} in the first second, avoided everywhere after {last_begin} ms) with, {} without",
        with.lost(),
        without.lost()
    );
    assert!(with.lost() * 5 < without.lost());
    with.run(FAULT_TO + 3_000);
    assert_eq!(with.avoided(), 0, "they come back");
    let last_end = with.ended.iter().map(|(at, _)| *at).max();
    println!(
        "trusted everywhere {:?} ms after",
        last_end.map(|at| at - FAULT_TO)
    );
}

#[test]
fn ordinary_errors_take_no_server_out() {
    for seed in 0..12 {
        let mut play = Play::new(seed, &Policy::default(), |_, _| 0.01);
        play.run(8_000);
        assert!(play.lost() > 100);
        assert_eq!(play.begun, [], "seed {seed}");
    }
}

#[test]
fn servers_that_fail_a_part_are_avoided_and_they_alone() {
    let faults: Faults = |server, at_ms| {
        let fails = server < 4 && (FAULT_FROM..FAULT_TO).contains(&at_ms);
        if fails { 0.4 } else { 0.01 }
    };
    let mut with = Play::new(3, &Policy::default(), faults);
    with.run(FAULT_TO);
    let mut without = Play::new(3, &without(), faults);
    without.run(FAULT_TO);
    let lost = |play: &Play| {
        (0..4)
            .filter_map(|server| play.lost.get(&name(server)))
            .sum::<u64>()
    };
    println!(
        "lost of 4 servers that fail 40 % in 7 s: {} with, {} without",
        lost(&with),
        lost(&without)
    );
    assert!(lost(&with) * 2 < lost(&without));
    assert!(with.begun.iter().all(|(_, server)| *server < name(4)));
}

/// It fails for a second and is sound for three, by turns.
#[test]
fn a_server_that_fails_by_turns_comes_back_when_it_is_sound() {
    let faults: Faults = |server, at_ms| {
        let fails = server == 0 && at_ms >= 1_000 && at_ms % 4_000 < 1_000;
        f64::from(u8::from(fails))
    };
    let mut play = Play::new(4, &Policy::default(), faults);
    for turn in 1..4 {
        play.run(turn * 4_000 + 1_000);
        let sent = play.sent[&name(0)];
        let lost = play.lost_between(turn * 4_000, turn * 4_000 + 1_000);
        play.run(turn * 4_000 + 3_500);
        assert_eq!(play.avoided(), 0, "turn {turn}");
        let sent = play.sent[&name(0)] - sent;
        println!("turn {turn}: {lost} lost, {sent} sent in the 2.5 s after");
        assert!(sent > 20, "turn {turn}: {sent}");
    }
}

#[test]
fn none_is_avoided_when_all_fail() {
    let faults: Faults = |_, at_ms| if at_ms >= 2_000 { 1.0 } else { 0.0 };
    let mut play = Play::new(5, &Policy::default(), faults);
    for until_ms in [3_500, 6_000, 9_000] {
        play.run(until_ms);
        assert_eq!(play.avoided(), 0, "after {until_ms} ms");
    }
}
