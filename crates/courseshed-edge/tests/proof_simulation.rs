//! Simulation of key revocation under partitions, process pauses, elections and delayed messages: no gateway uses a
//! revoked key longer than allowed after the revocation was acknowledged. Proofs are recorded and checked by production
//! code; leadership is modelled as non-overlapping leases. Deliberately broken variants must fail the same check.

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
const SIMULATED_TIME: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(20);
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
const MAX_HOLD: Duration = Duration::from_millis(600);
/// How long a gateway waits for the reply to a query.
const REPLY_TIMEOUT: Duration = Duration::from_millis(850);

/// A correct or deliberately broken variant of the proof protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// A controller counts the proof's age from the arrival of the leader's reply.
    CountsFromReply,
    /// A gateway counts the proof's age from the arrival of the controller's reply.
    GatewayCountsFromReply,
    /// A deposed leader still confirms its version as the newest.
    NoLease,
    /// A controller proves a version that it does not have yet.
    ProvesMissingVersion,
}

enum Event {
    /// A committed version reaches a controller.
    Replicate { controller: usize, version: u64 },
    /// A controller's confirmation request reaches the leader.
    ConfirmRequest {
        controller: usize,
        leader: usize,
        sent_at: Duration,
    },
    Confirmed {
        controller: usize,
        sent_at: Duration,
        version: u64,
    },
    Query {
        gateway: usize,
        controller: usize,
        sent_at: Duration,
    },
    ReplyDue {
        gateway: usize,
        controller: usize,
        sent_at: Duration,
        arrived: Duration,
    },
    Reply {
        gateway: usize,
        sent_at: Duration,
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
    next_confirmation: Duration,
    paused_until: Duration,
    partitioned_until: Duration,
    clock_offset: Duration,
    /// The controller that this one considers the leader.
    leader: usize,
}

#[derive(Default)]
struct Gateway {
    proofs: LatestProof,
    held: u64,
    pending_query: Option<Duration>,
    controller: usize,
    paused_until: Duration,
    partitioned_until: Duration,
    clock_offset: Duration,
}

struct Simulation {
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

impl Simulation {
    fn new(seed: u64, variant: Variant) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut offset = || Duration::from_millis(random.random_range(0..100_000));
        let controllers = (0..CONTROLLERS).map(|_| Controller {
            clock_offset: offset(),
            ..Controller::default()
        });
        let controllers = controllers.collect();
        let gateways = (0..GATEWAYS).map(|_| Gateway {
            clock_offset: offset(),
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
        while self.now < SIMULATED_TIME && self.violation.is_none() {
            self.now += TICK;
            self.update_leader();
            self.inject_fault();
            while self.events.peek().is_some_and(|due| due.at <= self.now) {
                if let Some(due) = self.events.pop() {
                    self.handle(due.event);
                }
            }
            for controller in 0..CONTROLLERS {
                self.request_confirmation(controller);
            }
            for gateway in 0..GATEWAYS {
                self.query_controller(gateway);
                self.send(gateway);
            }
        }
        self
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.order += 1;
        self.events.push(Due {
            at: self.now + delay,
            order: self.order,
            event,
        });
    }

    fn message_delay(&mut self) -> Duration {
        let is_slow = self.random.random_bool(0.05);
        let max = if is_slow { 7000 } else { 10 };
        Duration::from_millis(self.random.random_range(1..=max))
    }

    fn is_running(&self, controller: usize) -> bool {
        self.now >= self.controllers[controller].paused_until
    }

    /// Elects and deposes leaders. A leader holds all committed versions and commits new ones.
    fn update_leader(&mut self) {
        if self.leader.is_none() && self.now >= self.next_leader_at {
            let next = self.random.random_range(0..CONTROLLERS);
            if self.is_running(next) && self.now >= self.controllers[next].partitioned_until {
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
            self.now < self.controllers[leader].partitioned_until || !self.is_running(leader);
        if is_lost || self.random.random_bool(0.003) {
            self.leader = None;
            self.next_leader_at = self.now + Duration::from_millis(400);
            return;
        }
        let local = self.now + self.controllers[leader].clock_offset;
        let held = self.controllers[leader].held;
        self.controllers[leader]
            .confirmations
            .record(local, Some(held));
        if self.random.random_bool(0.01) {
            self.committed += 1;
            self.controllers[leader].held = self.committed;
            self.acknowledged.push(self.now);
            for controller in 0..CONTROLLERS {
                let delay = self.message_delay();
                let version = self.committed;
                self.schedule(
                    delay,
                    Event::Replicate {
                        controller,
                        version,
                    },
                );
            }
        }
    }

    fn inject_fault(&mut self) {
        if !self.random.random_bool(0.01) {
            return;
        }
        let until = self.now + Duration::from_millis(self.random.random_range(200..9000));
        let controller = self.random.random_range(0..CONTROLLERS);
        let gateway = self.random.random_range(0..GATEWAYS);
        match self.random.random_range(0..4) {
            0 => self.controllers[controller].paused_until = until,
            1 => self.controllers[controller].partitioned_until = until,
            2 => self.gateways[gateway].paused_until = until,
            _ => self.gateways[gateway].partitioned_until = until,
        }
    }

    fn request_confirmation(&mut self, controller: usize) {
        let node = &self.controllers[controller];
        if !self.is_running(controller) || self.now < node.next_confirmation {
            return;
        }
        let leader = node.leader;
        let sent_at = self.now + node.clock_offset;
        self.controllers[controller].next_confirmation = self.now + CONFIRM_INTERVAL;
        let delay = self.message_delay();
        self.schedule(
            delay,
            Event::ConfirmRequest {
                controller,
                leader,
                sent_at,
            },
        );
    }

    fn query_controller(&mut self, gateway: usize) {
        let node = &self.gateways[gateway];
        let local = self.now + node.clock_offset;
        let is_waiting = node
            .pending_query
            .is_some_and(|sent_at| local < sent_at + REPLY_TIMEOUT);
        if self.now < node.paused_until || is_waiting {
            return;
        }
        let controller = if node.pending_query.is_some() {
            // The previous controller did not reply.
            (node.controller + 1) % CONTROLLERS
        } else {
            node.controller
        };
        self.gateways[gateway].controller = controller;
        self.gateways[gateway].pending_query = Some(local);
        if self.now >= self.gateways[gateway].partitioned_until {
            let delay = self.message_delay();
            let query = Event::Query {
                gateway,
                controller,
                sent_at: local,
            };
            self.schedule(delay, query);
        }
    }

    /// Uses the held version if it is proven, and checks that no newer version, which may have revoked a key, was
    /// acknowledged too long ago.
    fn send(&mut self, gateway: usize) {
        let node = &self.gateways[gateway];
        if self.now < node.paused_until {
            return;
        }
        let age = node
            .proofs
            .age(self.now + node.clock_offset, Some(node.held));
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

    fn handle(&mut self, event: Event) {
        match event {
            Event::Replicate {
                controller,
                version,
            } => {
                let node = &mut self.controllers[controller];
                if self.now >= node.partitioned_until.max(node.paused_until) {
                    node.held = node.held.max(version);
                }
            }
            Event::ConfirmRequest {
                controller,
                leader,
                sent_at,
            } => self.handle_confirm_request(controller, leader, sent_at),
            Event::Confirmed {
                controller,
                sent_at,
                version,
            } => {
                let node = &mut self.controllers[controller];
                if self.now < node.paused_until.max(node.partitioned_until) {
                    return;
                }
                let at = match self.variant {
                    Variant::CountsFromReply => self.now + node.clock_offset,
                    _ => sent_at,
                };
                node.confirmations.record(at, Some(version));
            }
            Event::Query {
                gateway,
                controller,
                sent_at,
            } => {
                let node = &self.controllers[controller];
                if !self.is_running(controller) {
                    // Handled once the controller resumes.
                    let delay = node.paused_until - self.now;
                    self.schedule(
                        delay,
                        Event::Query {
                            gateway,
                            controller,
                            sent_at,
                        },
                    );
                    return;
                }
                let arrived = self.now + node.clock_offset;
                let hold = MAX_HOLD.mul_f64(self.random.random_range(0.0..1.0));
                let due = Event::ReplyDue {
                    gateway,
                    controller,
                    sent_at,
                    arrived,
                };
                self.schedule(hold, due);
            }
            Event::ReplyDue {
                gateway,
                controller,
                sent_at,
                arrived,
            } => {
                let node = &self.controllers[controller];
                if !self.is_running(controller) {
                    let delay = node.paused_until - self.now;
                    self.schedule(
                        delay,
                        Event::ReplyDue {
                            gateway,
                            controller,
                            sent_at,
                            arrived,
                        },
                    );
                    return;
                }
                let claimed = match self.variant {
                    Variant::ProvesMissingVersion => u64::MAX,
                    _ => node.held,
                };
                let proof = node.confirmations.proof(Some(claimed), arrived);
                let proof = proof.map(|proof| RoutingProof {
                    version: Some(node.held),
                    ..proof
                });
                let held = node.held;
                let delay = self.message_delay();
                self.schedule(
                    delay,
                    Event::Reply {
                        gateway,
                        sent_at,
                        held,
                        proof,
                    },
                );
            }
            Event::Reply {
                gateway,
                sent_at,
                held,
                proof,
            } => {
                let node = &mut self.gateways[gateway];
                let is_expected = node.pending_query == Some(sent_at);
                if !is_expected || self.now < node.paused_until.max(node.partitioned_until) {
                    return;
                }
                node.pending_query = None;
                node.held = node.held.max(held);
                let from = match self.variant {
                    Variant::GatewayCountsFromReply => self.now + node.clock_offset,
                    _ => sent_at,
                };
                if let Some(proof) = proof {
                    node.proofs.record(from, &proof);
                }
            }
        }
    }

    fn handle_confirm_request(&mut self, controller: usize, leader: usize, sent_at: Duration) {
        let has_lease = self.leader == Some(leader) || self.variant == Variant::NoLease;
        if !has_lease || !self.is_running(leader) {
            return;
        }
        let version = self.controllers[leader].held;
        let delay = self.message_delay();
        self.schedule(
            delay,
            Event::Confirmed {
                controller,
                sent_at,
                version,
            },
        );
    }
}

/// The number of seeds to simulate, from `PROOF_SEEDS` if set.
fn seeds() -> u64 {
    let seeds = std::env::var("PROOF_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(60)
}

#[test]
fn revoked_keys_are_not_used_longer_than_allowed() {
    let mut sends = 0;
    for seed in 0..seeds() {
        let simulation = Simulation::new(seed, Variant::Correct).run();
        assert_eq!(simulation.violation, None, "seed {seed}");
        sends += simulation.sends;
    }
    // Gateways must hold a proof most of the time for the check to be meaningful.
    assert!(sends > seeds() * GATEWAYS as u64 * 1500, "{sends}");
}

#[parameterized(
    counts_from_reply = { Variant::CountsFromReply },
    gateway_counts_from_reply = { Variant::GatewayCountsFromReply },
    no_lease = { Variant::NoLease },
    proves_missing_version = { Variant::ProvesMissingVersion },
)]
fn broken_variants_are_detected(variant: Variant) {
    let mut simulations = (0..3000).map(|seed| Simulation::new(seed, variant).run());
    let violation = simulations.find_map(|simulation| simulation.violation);
    assert!(violation.is_some(), "{variant:?} was not detected");
}
