//! Drawn orders of what clients do to the memory budget of a listener.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_edge::client_memory::{
    BufferKind, ConnectionId, DisconnectReason, MemoryBudget, MemoryLimits,
};
use courseshed_edge::request_gate::Phase;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 400;
const STEPS: usize = 600;
const KIB: usize = 1024;
const MAX_BODY: usize = 4 * KIB * KIB;
const TOTAL: usize = 24 * KIB * KIB;
/// An ordinary body, which may use all of the admission limit.
const ORDINARY_BODY: usize = 8 * KIB;

/// How a simulated listener charges bodies.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Charging {
    /// Before they are received.
    Reserved,
    /// When they have been received, as a variant broken on purpose.
    Received,
}

#[derive(Clone, Copy, Debug)]
struct Body {
    length: usize,
    received: usize,
    stalls: bool,
    /// When bytes last arrived.
    changed_at: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Client {
    Idle { since: Duration },
    Sending(Body),
}

struct Simulation {
    random: ChaCha8Rng,
    charging: Charging,
    limits: MemoryLimits,
    budget: MemoryBudget,
    now: Duration,
    /// Clients with their bodies, or since when they are idle.
    clients: BTreeMap<ConnectionId, Client>,
    refusals_in_vain: usize,
    peak_received: usize,
}

impl Simulation {
    fn new(seed: u64, charging: Charging) -> Self {
        let limits = MemoryLimits {
            max_connections: 200,
            ..MemoryLimits::for_clients(TOTAL)
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            charging,
            limits,
            budget: MemoryBudget::new(limits),
            now: Duration::from_secs(1),
            clients: BTreeMap::new(),
            refusals_in_vain: 0,
            peak_received: 0,
        }
    }

    fn close(&mut self, id: ConnectionId) {
        self.clients.remove(&id);
        self.budget.end(id);
    }

    /// Carries out what the budget selects: bodies are given up, idle connections closed.
    fn make_room(&mut self, id: ConnectionId, bytes: usize) {
        for disconnect in self.budget.make_room(id, bytes, self.now) {
            assert_ne!(disconnect.id, id);
            match disconnect.reason {
                DisconnectReason::Idle => {
                    let client = self.clients[&disconnect.id];
                    assert!(matches!(client, Client::Idle { .. }), "a request was lost");
                }
                DisconnectReason::Body => {
                    let client = self.clients[&disconnect.id];
                    let stalls = matches!(client, Client::Sending(body) if body.stalls);
                    assert!(stalls, "a body that progresses was given up");
                }
                reason => panic!("{reason:?}"),
            }
            self.close(disconnect.id);
        }
    }

    fn connect(&mut self) {
        if !self.budget.admits_connection() {
            for disconnect in self.budget.make_place(self.now) {
                self.close(disconnect.id);
            }
        }
        if self.budget.admits_connection() {
            let id = self.budget.begin(self.now);
            let since = self.now;
            self.clients.insert(id, Client::Idle { since });
        }
    }

    fn begin_body(&mut self, id: ConnectionId, length: usize, stalls: bool) -> bool {
        let is_admitted = match self.charging {
            Charging::Reserved => {
                self.budget.reserve(id, length) || {
                    self.make_room(id, length);
                    self.budget.reserve(id, length)
                }
            }
            Charging::Received => self.budget.admits(length),
        };
        if is_admitted {
            self.budget.set_phase(id, Phase::Body, self.now);
            self.budget.set_received(id, 0, self.now);
            let body = Body {
                length,
                received: 0,
                stalls,
                changed_at: self.now,
            };
            self.clients.insert(id, Client::Sending(body));
        }
        is_admitted
    }

    fn receive(&mut self, id: ConnectionId, mut body: Body) {
        let end = if body.stalls {
            body.length - 1
        } else {
            body.length
        };
        let more = self.random.random_range(32 * KIB..512 * KIB);
        if body.received < end {
            body.received = end.min(body.received + more);
            body.changed_at = self.now;
        }
        self.budget.set_received(id, body.received, self.now);
        if self.charging == Charging::Received {
            self.budget.set(id, BufferKind::Request, body.received);
        }
        self.clients.insert(id, Client::Sending(body));
        if body.received == body.length {
            self.budget.end_body(id);
            self.budget.set(id, BufferKind::Request, 0);
            self.budget.set_phase(id, Phase::Idle, self.now);
            let since = self.now;
            self.clients.insert(id, Client::Idle { since });
        }
    }

    /// Bodies that progress do so in every step, so that none of them is ever taken for stalled.
    fn receive_all(&mut self) {
        let clients: Vec<_> = self
            .clients
            .iter()
            .map(|(id, client)| (*id, *client))
            .collect();
        for (id, client) in clients {
            if let Client::Sending(body) = client {
                self.receive(id, body);
            }
        }
    }

    /// Bytes of others that an ordinary request could have: those of connections that were idle for a second,
    /// and of bodies of which nothing came for as long.
    fn evictable(&self, own: ConnectionId) -> usize {
        let others = self.clients.iter().filter(|(id, _)| **id != own);
        let second = Duration::from_secs(1);
        let evictable = others.map(|(_, client)| match client {
            Client::Idle { since } if self.now - *since >= second => self.limits.connection_bytes,
            Client::Sending(body) if self.now - body.changed_at >= second => body.length,
            Client::Idle { .. } | Client::Sending(_) => 0,
        });
        evictable.sum()
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.random.random_range(1..300));
        self.receive_all();
        match self.random.random_range(0..10) {
            0..=2 => self.connect(),
            3..=6 => {
                let stalls = self.random.random_range(0..3) > 0;
                let length = self.random.random_range(2..=MAX_BODY);
                if let Some(id) = self.idle_client() {
                    self.begin_body(id, length, stalls);
                }
            }
            7 => {
                if let Some(id) = self.idle_client() {
                    let needed = self.budget.total() + ORDINARY_BODY;
                    let fits = needed <= self.limits.admission_bytes + self.evictable(id);
                    if !self.begin_body(id, ORDINARY_BODY, false) && fits {
                        self.refusals_in_vain += 1;
                    }
                }
            }
            _ => {
                let leaving = self.clients.keys().copied().choose(&mut self.random);
                if let Some(id) = leaving {
                    self.close(id);
                }
            }
        }
        let received = self.clients.values().map(|client| match client {
            Client::Idle { .. } => 0,
            Client::Sending(body) => body.received,
        });
        let received: usize = received.sum();
        self.peak_received = self.peak_received.max(received);
    }

    fn idle_client(&mut self) -> Option<ConnectionId> {
        let clients = self.clients.iter();
        let idle = clients.filter(|(_, client)| matches!(client, Client::Idle { .. }));
        idle.map(|(id, _)| *id).choose(&mut self.random)
    }
}

/// Whether any run has received more than the budget allows.
fn has_overrun(seed: u64, charging: Charging) -> bool {
    let mut simulation = Simulation::new(seed, charging);
    let mut has_overrun = false;
    for _ in 0..STEPS {
        simulation.step();
        has_overrun |= simulation.budget.total() > simulation.limits.total_bytes;
        has_overrun |= simulation.peak_received > simulation.limits.admission_bytes;
    }
    if charging == Charging::Reserved {
        assert_eq!(simulation.refusals_in_vain, 0, "seed {seed}");
    }
    let left: Vec<_> = simulation.clients.keys().copied().collect();
    for id in left {
        simulation.close(id);
    }
    assert_eq!(simulation.budget.total(), 0, "seed {seed}");
    assert_eq!(simulation.budget.connections(), 0, "seed {seed}");
    has_overrun
}

#[test]
fn bodies_never_hold_more_than_was_reserved() {
    for seed in 0..SEEDS {
        assert!(!has_overrun(seed, Charging::Reserved), "seed {seed}");
    }
}

/// The check must catch a budget that charges bodies only when they have arrived.
#[test]
fn charging_without_a_reservation_is_caught() {
    assert!((0..SEEDS).any(|seed| has_overrun(seed, Charging::Received)));
}

/// A body that stopped gives way to an ordinary one, one that progresses does not.
#[test]
fn stalled_bodies_give_way_the_largest_first() {
    let limits = MemoryLimits {
        connection_bytes: 0,
        ..MemoryLimits::for_clients(TOTAL)
    };
    let mut budget = MemoryBudget::new(limits);
    let start = Duration::from_secs(10);
    let begin = |budget: &mut MemoryBudget, bytes| {
        let id = budget.begin(start);
        assert!(budget.reserve(id, bytes));
        budget.set_phase(id, Phase::Body, start);
        budget.set_received(id, 0, start);
        id
    };
    let small = begin(&mut budget, 2 * MAX_BODY);
    let large = begin(&mut budget, 2 * MAX_BODY + KIB);
    let fresh = budget.begin(start);
    assert!(!budget.reserve(fresh, MAX_BODY));
    let soon = start + Duration::from_millis(900);
    assert_eq!(budget.make_room(fresh, MAX_BODY, soon), []);
    let later = start + Duration::from_millis(1100);
    budget.set_received(small, 64 * KIB, later);
    let selected = budget.make_room(fresh, MAX_BODY, later);
    let selected: Vec<_> = selected.iter().map(|disconnect| disconnect.id).collect();
    assert_eq!(selected, [large]);
    assert!(budget.is_freeing());
    budget.set(large, BufferKind::Request, 0);
    budget.end_body(large);
    assert!(budget.reserve(fresh, MAX_BODY));
    assert!(!budget.is_freeing());
}

/// Guards against a listener that waits for memory which a connection will not release: its body arrived
/// after it was selected.
#[test]
fn body_that_arrives_after_all_is_kept() {
    let mut budget = MemoryBudget::new(MemoryLimits::for_clients(TOTAL));
    let start = Duration::from_secs(10);
    let slow = budget.begin(start);
    assert!(budget.reserve(slow, 4 * MAX_BODY));
    budget.set_phase(slow, Phase::Body, start);
    budget.set_received(slow, 0, start);
    let fresh = budget.begin(start);
    let later = start + Duration::from_secs(2);
    assert_eq!(budget.make_room(fresh, MAX_BODY, later).len(), 1);
    assert!(budget.is_freeing());
    budget.end_body(slow);
    assert!(!budget.is_freeing());
}

/// Large bodies leave a part of the memory to small ones.
#[test]
fn small_bodies_have_memory_of_their_own() {
    let limits = MemoryLimits {
        connection_bytes: 0,
        ..MemoryLimits::for_clients(TOTAL)
    };
    let mut budget = MemoryBudget::new(limits);
    let clients: Vec<_> = (0..10).map(|_| budget.begin(Duration::ZERO)).collect();
    let large = clients.iter().filter(|id| budget.reserve(**id, MAX_BODY));
    assert_eq!(large.count(), 4);
    let small = budget.begin(Duration::ZERO);
    assert!(budget.reserve(small, 64 * KIB));
}

/// A connection with a request under way is not closed to make a place.
#[test]
fn newcomers_take_the_places_of_the_longest_idle() {
    let limits = MemoryLimits {
        max_connections: 20,
        ..MemoryLimits::for_clients(TOTAL)
    };
    let mut budget = MemoryBudget::new(limits);
    let ids: Vec<_> = (0..20)
        .map(|second| budget.begin(Duration::from_secs(second)))
        .collect();
    assert!(!budget.admits_connection());
    for id in &ids[..2] {
        budget.set_phase(*id, Phase::Response, Duration::ZERO);
    }
    let selected = budget.make_place(Duration::from_secs(30));
    let selected: Vec<_> = selected.iter().map(|disconnect| disconnect.id).collect();
    assert_eq!(selected, ids[2..18]);
    assert!(budget.make_place(Duration::from_secs(30)).len() == 2);
    assert_eq!(budget.make_place(Duration::from_secs(30)), []);
}
