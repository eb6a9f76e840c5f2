//! Keys that are taken away, under cuts, freezes, elections and delayed messages: no gateway uses one
//! longer than allowed after the change was acknowledged. The proofs are kept and checked by the real
//! code; leadership is a lease that never overlaps the next one's. Ways of proving that are broken on
//! purpose are caught by the same check.

use std::collections::BinaryHeap;
use std::time::Duration;

use courseshed_edge::gateway::AccessPolicy;
use courseshed_registry::{Confirmations, LatestProof, RoutingProof};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const REVOCATION: Duration = Duration::from_secs(5);
const CONTROLLERS: usize = 3;
const GATEWAYS: usize = 5;
const LENGTH: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(20);
const CONFIRM_EVERY: Duration = Duration::from_millis(250);
const HOLD: Duration = Duration::from_millis(600);
/// Longest time for which a question of a gateway waits for its answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(850);

/// How the proving is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// A controller counts from when the leader's answer came.
    CountsFromAnswer,
    /// A gateway counts from when the controller's answer came.
    GatewayCountsFromAnswer,
    /// A leader that was replaced still says what is newest.
    NoLease,
    /// A controller proves a version that it doesn't hold yet.
    ProvesWhatItLacks,
}

enum Event {
    /// The leader's log reaches a controller.
    Replicate { controller: usize, version: u64 },
    /// A controller asks the leader.
    Ask {
        controller: usize,
        leader: usize,
        asked_at: Duration,
    },
    Confirmed {
        controller: usize,
        asked_at: Duration,
        version: u64,
    },
    Question {
        gateway: usize,
        controller: usize,
        asked_at: Duration,
    },
    AnswerDue {
        gateway: usize,
        controller: usize,
        asked_at: Duration,
        arrived: Duration,
    },
    Answer {
        gateway: usize,
        asked_at: Duration,
        held: u64,
        proof: Option<RoutingProof>,
    },
}

struct Due {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

#[derive(Default)]
struct Controller {
    confirmations: Confirmations,
    held: u64,
    next_ask: Duration,
    frozen_until: Duration,
    cut_until: Duration,
    clock_ahead: Duration,
    /// Whom it believes to lead.
    leader: usize,
}

#[derive(Default)]
struct Gateway {
    proofs: LatestProof,
    held: u64,
    asked: Option<Duration>,
    controller: usize,
    frozen_until: Duration,
    cut_until: Duration,
    clock_ahead: Duration,
}

struct World {
    random: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<Due>,
    order: u64,
    controllers: Vec<Controller>,
    gateways: Vec<Gateway>,
    /// The leader, while its lease holds.
    leader: Option<usize>,
    next_leader_at: Duration,
    committed: u64,
    /// When each version was acknowledged.
    acknowledged: Vec<Duration>,
    variant: Variant,
    sends: u64,
    violation: Option<String>,
}

impl World {
    fn new(seed: u64, variant: Variant) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut ahead = || Duration::from_millis(random.random_range(0..100_000));
        let controllers = (0..CONTROLLERS).map(|_| Controller {
            clock_ahead: ahead(),
            ..Controller::default()
        });
        let controllers = controllers.collect();
        let gateways = (0..GATEWAYS).map(|_| Gateway {
            clock_ahead: ahead(),
            ..Gateway::default()
        });
        let gateways = gateways.collect();
        Self {
            random,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            controllers,
            gateways,
            leader: Some(0),
            next_leader_at: Duration::ZERO,
            committed: 0,
            acknowledged: vec![Duration::ZERO],
            variant,
            sends: 0,
            violation: None,
        }
    }

    fn run(mut self) -> Self {
        while self.now < LENGTH && self.violation.is_none() {
            self.now += TICK;
            self.lead();
            self.break_something();
            while self.events.peek().is_some_and(|due| due.at <= self.now) {
                if let Some(due) = self.events.pop() {
                    self.happen(due.event);
                }
            }
            for controller in 0..CONTROLLERS {
                self.confirm(controller);
            }
            for gateway in 0..GATEWAYS {
                self.ask(gateway);
                self.send(gateway);
            }
        }
        self
    }

    fn later(&mut self, wait: Duration, event: Event) {
        self.order += 1;
        self.events.push(Due {
            at: self.now + wait,
            order: self.order,
            event,
        });
    }

    fn way(&mut self) -> Duration {
        let is_slow = self.random.random_bool(0.05);
        let most = if is_slow { 7000 } else { 10 };
        Duration::from_millis(self.random.random_range(1..=most))
    }

    fn controller_works(&self, controller: usize) -> bool {
        self.now >= self.controllers[controller].frozen_until
    }

    /// Leaders come and go; each holds all that was committed, and commits changes.
    fn lead(&mut self) {
        if self.leader.is_none() && self.now >= self.next_leader_at {
            let next = self.random.random_range(0..CONTROLLERS);
            if self.controller_works(next) && self.now >= self.controllers[next].cut_until {
                self.leader = Some(next);
                self.controllers[next].leader = next;
                self.controllers[next].held = self.committed;
                for controller in 0..CONTROLLERS {
                    if self.random.random_bool(0.7) {
                        self.controllers[controller].leader = next;
                    }
                }
            }
        }
        let Some(leader) = self.leader else {
            return;
        };
        let is_lost =
            self.now < self.controllers[leader].cut_until || !self.controller_works(leader);
        if is_lost || self.random.random_bool(0.003) {
            self.leader = None;
            self.next_leader_at = self.now + Duration::from_millis(400);
            return;
        }
        let local = self.now + self.controllers[leader].clock_ahead;
        let held = self.controllers[leader].held;
        self.controllers[leader]
            .confirmations
            .record(local, Some(held));
        if self.random.random_bool(0.01) {
            self.committed += 1;
            self.controllers[leader].held = self.committed;
            self.acknowledged.push(self.now);
            for controller in 0..CONTROLLERS {
                let wait = self.way();
                let version = self.committed;
                self.later(
                    wait,
                    Event::Replicate {
                        controller,
                        version,
                    },
                );
            }
        }
    }

    fn break_something(&mut self) {
        if !self.random.random_bool(0.01) {
            return;
        }
        let until = self.now + Duration::from_millis(self.random.random_range(200..9000));
        let controller = self.random.random_range(0..CONTROLLERS);
        let gateway = self.random.random_range(0..GATEWAYS);
        match self.random.random_range(0..4) {
            0 => self.controllers[controller].frozen_until = until,
            1 => self.controllers[controller].cut_until = until,
            2 => self.gateways[gateway].frozen_until = until,
            _ => self.gateways[gateway].cut_until = until,
        }
    }

    fn confirm(&mut self, controller: usize) {
        let node = &self.controllers[controller];
        if !self.controller_works(controller) || self.now < node.next_ask {
            return;
        }
        let leader = node.leader;
        let asked_at = self.now + node.clock_ahead;
        self.controllers[controller].next_ask = self.now + CONFIRM_EVERY;
        let wait = self.way();
        self.later(
            wait,
            Event::Ask {
                controller,
                leader,
                asked_at,
            },
        );
    }

    fn ask(&mut self, gateway: usize) {
        let node = &self.gateways[gateway];
        let local = self.now + node.clock_ahead;
        let is_waiting = node.asked.is_some_and(|asked| local < asked + ANSWER_LIMIT);
        if self.now < node.frozen_until || is_waiting {
            return;
        }
        let controller = if node.asked.is_some() {
            // The one before didn't answer.
            (node.controller + 1) % CONTROLLERS
        } else {
            node.controller
        };
        self.gateways[gateway].controller = controller;
        self.gateways[gateway].asked = Some(local);
        if self.now >= self.gateways[gateway].cut_until {
            let wait = self.way();
            let question = Event::Question {
                gateway,
                controller,
                asked_at: local,
            };
            self.later(wait, question);
        }
    }

    /// Any version newer than the one held may have taken a key away that the one held has.
    fn send(&mut self, gateway: usize) {
        let node = &self.gateways[gateway];
        if self.now < node.frozen_until {
            return;
        }
        let age = node
            .proofs
            .age(self.now + node.clock_ahead, Some(node.held));
        if !AccessPolicy::strict(REVOCATION).is_proven(age) {
            return;
        }
        self.sends += 1;
        let newer = self.acknowledged.get(node.held as usize + 1);
        if let Some(acknowledged) = newer
            && self.now > *acknowledged + REVOCATION
        {
            self.violation = Some(format!(
                "gateway {gateway} used version {} at {:?}; the next was acknowledged at {acknowledged:?}",
                node.held, self.now
            ));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Replicate {
                controller,
                version,
            } => {
                let node = &mut self.controllers[controller];
                if self.now >= node.cut_until.max(node.frozen_until) {
                    node.held = node.held.max(version);
                }
            }
            Event::Ask {
                controller,
                leader,
                asked_at,
            } => self.on_ask(controller, leader, asked_at),
            Event::Confirmed {
                controller,
                asked_at,
                version,
            } => {
                let node = &mut self.controllers[controller];
                if self.now < node.frozen_until.max(node.cut_until) {
                    return;
                }
                let at = match self.variant {
                    Variant::CountsFromAnswer => self.now + node.clock_ahead,
                    _ => asked_at,
                };
                node.confirmations.record(at, Some(version));
            }
            Event::Question {
                gateway,
                controller,
                asked_at,
            } => {
                let node = &self.controllers[controller];
                if !self.controller_works(controller) {
                    // Read once it is thawed.
                    let wait = node.frozen_until - self.now;
                    self.later(
                        wait,
                        Event::Question {
                            gateway,
                            controller,
                            asked_at,
                        },
                    );
                    return;
                }
                let arrived = self.now + node.clock_ahead;
                let hold = HOLD.mul_f64(self.random.random_range(0.0..1.0));
                let due = Event::AnswerDue {
                    gateway,
                    controller,
                    asked_at,
                    arrived,
                };
                self.later(hold, due);
            }
            Event::AnswerDue {
                gateway,
                controller,
                asked_at,
                arrived,
            } => {
                let node = &self.controllers[controller];
                if !self.controller_works(controller) {
                    let wait = node.frozen_until - self.now;
                    self.later(
                        wait,
                        Event::AnswerDue {
                            gateway,
                            controller,
                            asked_at,
                            arrived,
                        },
                    );
                    return;
                }
                let claimed = match self.variant {
                    Variant::ProvesWhatItLacks => u64::MAX,
                    _ => node.held,
                };
                let proof = node.confirmations.proof(Some(claimed), arrived);
                let proof = proof.map(|proof| RoutingProof {
                    version: Some(node.held),
                    ..proof
                });
                let held = node.held;
                let wait = self.way();
                self.later(
                    wait,
                    Event::Answer {
                        gateway,
                        asked_at,
                        held,
                        proof,
                    },
                );
            }
            Event::Answer {
                gateway,
                asked_at,
                held,
                proof,
            } => {
                let node = &mut self.gateways[gateway];
                let is_asked = node.asked == Some(asked_at);
                if !is_asked || self.now < node.frozen_until.max(node.cut_until) {
                    return;
                }
                node.asked = None;
                node.held = node.held.max(held);
                let from = match self.variant {
                    Variant::GatewayCountsFromAnswer => self.now + node.clock_ahead,
                    _ => asked_at,
                };
                if let Some(proof) = proof {
                    node.proofs.record(from, &proof);
                }
            }
        }
    }

    fn on_ask(&mut self, controller: usize, leader: usize, asked_at: Duration) {
        let has_lease = self.leader == Some(leader) || self.variant == Variant::NoLease;
        if !has_lease || !self.controller_works(leader) {
            return;
        }
        let version = self.controllers[leader].held;
        let wait = self.way();
        self.later(
            wait,
            Event::Confirmed {
                controller,
                asked_at,
                version,
            },
        );
    }
}

/// How many seeds are played; more by hand.
fn seeds() -> u64 {
    let seeds = std::env::var("PROOF_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(60)
}

#[test]
fn no_key_is_used_longer_than_allowed() {
    let mut sends = 0;
    for seed in 0..seeds() {
        let world = World::new(seed, Variant::Sound).run();
        assert_eq!(world.violation, None, "seed {seed}");
        sends += world.sends;
    }
    // Most of the time there is a proof, or the check would mean nothing.
    assert!(sends > seeds() * GATEWAYS as u64 * 1500, "{sends}");
}

#[parameterized(
    counts_from_answer = { Variant::CountsFromAnswer },
    gateway_counts_from_answer = { Variant::GatewayCountsFromAnswer },
    no_lease = { Variant::NoLease },
    proves_what_it_lacks = { Variant::ProvesWhatItLacks },
)]
fn proofs_broken_on_purpose_are_caught(variant: Variant) {
    let mut worlds = (0..3000).map(|seed| World::new(seed, variant).run());
    let caught = worlds.find_map(|world| world.violation);
    assert!(caught.is_some(), "{variant:?} was not caught");
}
