//! Deterministic simulation of stores, views and writers with reordered messages and lost disks.
//!
//! A run is determined by its seed. The number of disks lost at a time stays within what the view
//! tolerates. Any node may be unreachable at any time, views change during writes, and writers use
//! outdated views. Invariants are checked against the results that writers observed.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use courseshed_types::NodeId;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    ExportCursor, Location, MissTally, Record, RecordReplica, RecordView, ReservationDecision,
    ReservationTally, StoreMachine, StoredEntry, Turn, ViewPlan, WriteTally, plan_view,
};

const STEPS: usize = 400;
/// Steps with all nodes reachable, within which all replicas must become active.
const RECOVERY_STEPS: usize = 400;
const BUDGET: u64 = 100;
const MAX_TOKENS: u32 = 30;
const KEEP_MS: u64 = 1 << 40;
const PROGRAM: &str = "p";

/// Invariants checked by the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordInvariant {
    /// A stored turn is never reported as unknown.
    DurableTurn,
    /// The tokens granted to a program never exceed its budget.
    Budget,
    /// Once all nodes are reachable, all replicas become active again.
    FullRecovery,
}

impl RecordInvariant {
    /// All invariants.
    pub const ALL: [Self; 3] = [Self::DurableTurn, Self::Budget, Self::FullRecovery];

    /// Name of the invariant in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::DurableTurn => "a kept turn is never unknown",
            Self::Budget => "no program is granted more than its budget",
            Self::FullRecovery => "all replicas count again",
        }
    }
}

/// The implementation to simulate: the real one or one with an injected defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordVariant {
    /// The real implementation.
    Sound,
    /// A joining replica reads from one source fewer than needed.
    CatchUpFromTooFew,
    /// A joining replica becomes active immediately.
    NoCatchUp,
    /// Replicas accept writes of older epochs.
    OldEpochsAccepted,
    /// Replaced replicas are dropped as sources immediately.
    FormerForgotten,
}

impl RecordVariant {
    /// All variants with a defect.
    pub const BROKEN: [Self; 4] = [
        Self::CatchUpFromTooFew,
        Self::NoCatchUp,
        Self::OldEpochsAccepted,
        Self::FormerForgotten,
    ];

    /// Name of the variant in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Sound => "as it is",
            Self::CatchUpFromTooFew => "a joining replica reads from one fewer than needed",
            Self::NoCatchUp => "a joining replica counts before it has read from others",
            Self::OldEpochsAccepted => "replicas accept writes of older views",
            Self::FormerForgotten => "replicas whose place was taken are forgotten at once",
        }
    }
}

/// Result of one seed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordReport {
    /// Turns stored.
    pub kept: u64,
    /// Reservations granted.
    pub granted: u64,
    /// Reservations refused for lack of budget.
    pub spent: u64,
    /// Reads that found their turn.
    pub found: u64,
    /// View changes after the first view.
    pub views: u64,
    /// Disks lost.
    pub disks_lost: u64,
    /// Times that a node became unreachable.
    pub cut_off: u64,
    /// Violated invariants with details.
    pub violations: Vec<(RecordInvariant, String)>,
}

struct Store {
    replica: RecordReplica,
    incarnation: u64,
    is_reachable: bool,
    /// The view that the store catches up for, and the sources it has read.
    catch_up: Option<(RecordView, BTreeSet<NodeId>)>,
}

enum Purpose {
    Reserve {
        id: u64,
        tally: ReservationTally,
    },
    Keep {
        id: String,
        tally: WriteTally,
    },
    Read {
        id: String,
        was_stored: bool,
        tally: MissTally,
    },
}

struct Operation {
    view: RecordView,
    record: Option<Record>,
    /// Location of the record, alike in all stores: the number of a turn serves as its offset.
    location: Location,
    undelivered: Vec<NodeId>,
    purpose: Purpose,
}

struct Simulation {
    rng: ChaCha8Rng,
    variant: RecordVariant,
    max_lost_disks: usize,
    view: RecordView,
    /// Replicas whose replacement is still joining: the simulation does not lose their disks.
    displaced: BTreeSet<NodeId>,
    /// Lost disks whose records are not yet replicated again.
    lost_disks: BTreeSet<NodeId>,
    writer_views: Vec<RecordView>,
    stores: BTreeMap<NodeId, Store>,
    machines: BTreeMap<NodeId, StoreMachine>,
    operations: Vec<Operation>,
    next_id: u64,
    stored_turns: Vec<String>,
    granted: BTreeMap<u64, u64>,
    report: RecordReport,
}

/// Simulates one seed.
#[must_use]
pub fn run_seed(seed: u64, variant: RecordVariant) -> RecordReport {
    let mut simulation = Simulation::new(seed, variant);
    for _ in 0..STEPS {
        simulation.step();
        if !simulation.report.violations.is_empty() {
            return simulation.report;
        }
    }
    simulation.check_recovery();
    simulation.report
}

fn turn(number: u64) -> Turn {
    Turn {
        id: format!("t{number}"),
        previous: None,
        input: Bytes::new(),
        output: Bytes::new(),
        cached: None,
        tenant: None,
        allowed_regions: Vec::new(),
    }
}

fn location_of_turn(number: u64) -> Location {
    Location {
        offset: number,
        ..Location::default()
    }
}

/// Plans the next view of simulated stores, none of which is retiring; `None` if there is nothing to change.
pub(crate) fn next_view(
    view: &RecordView,
    stores: &BTreeMap<NodeId, StoreMachine>,
    silent: &BTreeSet<NodeId>,
    max_lost_disks: usize,
) -> Option<RecordView> {
    plan_view(&ViewPlan {
        view,
        stores,
        silent,
        retiring: &BTreeSet::new(),
        replication_factor: 2 * max_lost_disks + 1,
        replicas: &BTreeMap::new(),
        home: None,
    })
}

/// Loads an exported entry. The location of a turn determines its content.
fn load_entry(entry: StoredEntry) -> (Record, Location) {
    match entry {
        StoredEntry::Reservation(record) => (record, Location::default()),
        StoredEntry::Turn { location, keep_ms } => {
            let turn = turn(location.offset);
            (Record::StoreTurn { turn, keep_ms }, location)
        }
    }
}

impl Simulation {
    fn new(seed: u64, variant: RecordVariant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let max_lost_disks = rng.random_range(1..=2);
        let count = 2 * max_lost_disks + 1 + rng.random_range(0..=2);
        let mut stores = BTreeMap::new();
        let mut machines = BTreeMap::new();
        for number in 1..=count as u32 {
            let node = NodeId(number);
            let incarnation = u64::from(number) * 1000;
            let store = Store {
                replica: RecordReplica::default(),
                incarnation,
                is_reachable: true,
                catch_up: None,
            };
            stores.insert(node, store);
            let machine = StoreMachine {
                name: format!("store-{number}"),
                zone: format!("zone-{}", number % 3),
                incarnation,
            };
            machines.insert(node, machine);
        }
        let mut simulation = Self {
            rng,
            variant,
            max_lost_disks,
            view: RecordView::default(),
            displaced: BTreeSet::new(),
            lost_disks: BTreeSet::new(),
            writer_views: Vec::new(),
            stores,
            machines,
            operations: Vec::new(),
            next_id: 0,
            stored_turns: Vec::new(),
            granted: BTreeMap::new(),
            report: RecordReport::default(),
        };
        simulation.recover_all();
        simulation.writer_views = vec![simulation.view.clone(); 3];
        simulation
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..50 => self.deliver(),
            50..60 => self.start_operation(),
            60..65 => self.refresh_writer(),
            65..72 => self.change_view(),
            72..86 => self.catch_up_step(),
            86..90 => self.lose_disk(),
            90..95 => self.disconnect_node(),
            _ => self.reconnect_node(),
        }
    }

    fn start_operation(&mut self) {
        let Some(view) = self.writer_views.choose(&mut self.rng).cloned() else {
            return;
        };
        self.next_id += 1;
        let id = self.next_id;
        let (record, purpose) = match self.rng.random_range(0..3) {
            0 => {
                let record = Record::Reserve {
                    program: PROGRAM.to_owned(),
                    reservation: id,
                    most: MAX_TOKENS,
                    keep_ms: KEEP_MS,
                };
                let tally = ReservationTally::new(&view, id, MAX_TOKENS, BUDGET);
                (Some(record), Purpose::Reserve { id, tally })
            }
            1 => {
                let turn = turn(id);
                let id = turn.id.clone();
                let record = Record::StoreTurn {
                    turn,
                    keep_ms: KEEP_MS,
                };
                let tally = WriteTally::new(&view);
                (Some(record), Purpose::Keep { id, tally })
            }
            _ => {
                let Some(id) = self.stored_turns.choose(&mut self.rng).cloned() else {
                    return;
                };
                let tally = MissTally::new(&view);
                let was_stored = true;
                (
                    None,
                    Purpose::Read {
                        id,
                        was_stored,
                        tally,
                    },
                )
            }
        };
        let undelivered = view.members.iter().map(|member| member.node).collect();
        self.operations.push(Operation {
            view,
            record,
            location: location_of_turn(id),
            undelivered,
            purpose,
        });
    }

    /// Delivers or drops one message of one operation, with its reply.
    fn deliver(&mut self) {
        if self.operations.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.operations.len());
        if self.operations[index].undelivered.is_empty() {
            self.operations.swap_remove(index);
            return;
        }
        let left = self.operations[index].undelivered.len();
        let target = self.rng.random_range(0..left);
        let node = self.operations[index].undelivered.swap_remove(target);
        let is_dropped = self.rng.random_range(0..20) == 0;
        let accepted = !is_dropped && self.handle_request(index, node);
        if accepted && self.handle_reply(index, node) {
            self.operations.swap_remove(index);
        }
    }

    /// Handles a request on the store's side. Returns whether the store accepts it.
    fn handle_request(&mut self, index: usize, node: NodeId) -> bool {
        let operation = &self.operations[index];
        let expected_incarnation = operation.view.member(node).map(|member| member.incarnation);
        let Some(store) = self.stores.get_mut(&node) else {
            return false;
        };
        let epoch = operation.view.epoch;
        let is_outdated =
            epoch < store.replica.epoch() && self.variant != RecordVariant::OldEpochsAccepted;
        if !store.is_reachable || expected_incarnation != Some(store.incarnation) || is_outdated {
            return false;
        }
        store
            .replica
            .apply(0, &Record::Epoch(epoch), Location::default());
        if let Some(record) = operation.record.clone() {
            store.replica.apply(0, &record, operation.location);
        }
        true
    }

    /// Handles a reply on the writer's side. Returns whether the operation is complete.
    fn handle_reply(&mut self, index: usize, node: NodeId) -> bool {
        let store = &self.stores[&node];
        let operation = &mut self.operations[index];
        match &mut operation.purpose {
            Purpose::Reserve { id, tally } => {
                let reserved = store.replica.reserved(PROGRAM);
                match tally.on_reserved(node, &reserved) {
                    Some(ReservationDecision::Granted { .. }) => {
                        let id = *id;
                        self.grant(id);
                        true
                    }
                    Some(ReservationDecision::Exceeded { .. }) => {
                        self.report.spent += 1;
                        true
                    }
                    None => false,
                }
            }
            Purpose::Keep { id, tally } => {
                let is_stored = tally.on_stored(node);
                if is_stored {
                    self.stored_turns.push(id.clone());
                    self.report.kept += 1;
                }
                is_stored
            }
            Purpose::Read {
                id,
                was_stored,
                tally,
            } => {
                if store.replica.chain(id).is_ok() {
                    self.report.found += 1;
                    return true;
                }
                let is_unknown = tally.on_missing(node);
                if is_unknown && *was_stored {
                    let detail = format!(
                        "stored turn {id} is missing in epoch {}",
                        operation.view.epoch
                    );
                    self.report
                        .violations
                        .push((RecordInvariant::DurableTurn, detail));
                }
                is_unknown
            }
        }
    }

    fn grant(&mut self, id: u64) {
        self.granted.insert(id, u64::from(MAX_TOKENS));
        self.report.granted += 1;
        let sum: u64 = self.granted.values().sum();
        if sum > BUDGET {
            let detail = format!("granted {sum} tokens of a budget of {BUDGET}");
            self.report
                .violations
                .push((RecordInvariant::Budget, detail));
        }
    }

    fn refresh_writer(&mut self) {
        let writers = self.writer_views.len();
        let index = self.rng.random_range(0..writers);
        self.writer_views[index] = self.view.clone();
    }

    fn change_view(&mut self) {
        let silent: BTreeSet<NodeId> = self
            .stores
            .iter()
            .filter(|(_, store)| !store.is_reachable)
            .map(|(node, _)| *node)
            .collect();
        let next = next_view(&self.view, &self.machines, &silent, self.max_lost_disks);
        if let Some(next) = next {
            self.adopt(next);
        }
    }

    fn adopt(&mut self, mut next: RecordView) {
        if self.variant == RecordVariant::FormerForgotten {
            next.former.clear();
        }
        if self.variant == RecordVariant::NoCatchUp {
            for member in &mut next.members {
                member.active = true;
            }
        }
        let before = self.view.members.iter().map(|member| member.node);
        let removed = before.filter(|node| next.member(*node).is_none());
        self.displaced.extend(removed.collect::<Vec<_>>());
        let all_active = next.members.iter().all(|member| member.active);
        if all_active {
            self.displaced.clear();
        }
        let stores = &self.stores;
        self.lost_disks.retain(|node| match next.member(*node) {
            Some(_) => !next.is_active(*node, stores[node].incarnation),
            None => !all_active,
        });
        self.view = next;
        self.report.views += 1;
    }

    /// A joining store reads from one more source, and becomes active after enough sources.
    fn catch_up_step(&mut self) {
        let joining: Vec<NodeId> = self
            .view
            .members
            .iter()
            .filter(|member| !member.active)
            .map(|member| member.node)
            .filter(|node| self.stores[node].is_reachable)
            .collect();
        let Some(node) = joining.choose(&mut self.rng).copied() else {
            return;
        };
        let current = self.view.clone();
        let catch_up = self
            .stores
            .get_mut(&node)
            .and_then(|store| store.catch_up.take());
        let (view, mut read) = catch_up.unwrap_or((current, BTreeSet::new()));
        let sources: Vec<(NodeId, u64)> = view
            .sources()
            .filter(|source| !read.contains(&source.node))
            .map(|source| (source.node, source.incarnation))
            .collect();
        let source = sources.choose(&mut self.rng).copied();
        let has_read = source.is_some_and(|source| self.copy_records(view.epoch, source, node));
        if let (true, Some((source, _))) = (has_read, source) {
            read.insert(source);
        }
        let skipped_sources = usize::from(self.variant == RecordVariant::CatchUpFromTooFew);
        if read.len() + skipped_sources >= view.sources_needed() {
            let incarnation = self.stores[&node].incarnation;
            if let Some(next) = self.view.activate(node, incarnation) {
                self.adopt(next);
            }
            return;
        }
        // As in production, a store restarts its catch-up when the view changes.
        let is_current = view.epoch == self.view.epoch;
        if let Some(store) = self.stores.get_mut(&node) {
            store.catch_up = is_current.then_some((view, read));
        }
    }

    fn copy_records(&mut self, epoch: u64, source: (NodeId, u64), to: NodeId) -> bool {
        let Some(store) = self.stores.get_mut(&source.0) else {
            return false;
        };
        if !store.is_reachable || store.incarnation != source.1 || epoch < store.replica.epoch() {
            return false;
        }
        store
            .replica
            .apply(0, &Record::Epoch(epoch), Location::default());
        let page = store
            .replica
            .export(0, &ExportCursor::default(), usize::MAX);
        if let Some(joining) = self.stores.get_mut(&to) {
            for entry in page.entries {
                let (record, location) = load_entry(entry);
                joining.replica.apply(0, &record, location);
            }
        }
        true
    }

    /// Loses a disk, if the tolerated number of lost disks permits.
    fn lose_disk(&mut self) {
        if self.lost_disks.len() >= self.max_lost_disks {
            return;
        }
        let nodes: Vec<NodeId> = self
            .stores
            .keys()
            .copied()
            .filter(|node| !self.displaced.contains(node))
            .collect();
        let Some(node) = nodes.choose(&mut self.rng).copied() else {
            return;
        };
        if self.view.member(node).is_some_and(|member| member.active) {
            self.lost_disks.insert(node);
        }
        self.wipe_disk(node);
    }

    fn wipe_disk(&mut self, node: NodeId) {
        let Some(store) = self.stores.get_mut(&node) else {
            return;
        };
        store.replica = RecordReplica::default();
        store.incarnation += 1;
        store.catch_up = None;
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.incarnation = store.incarnation;
        }
        self.report.disks_lost += 1;
    }

    fn disconnect_node(&mut self) {
        let nodes: Vec<NodeId> = self.stores.keys().copied().collect();
        if let Some(node) = nodes.choose(&mut self.rng)
            && let Some(store) = self.stores.get_mut(node)
        {
            store.is_reachable = false;
            self.report.cut_off += 1;
        }
    }

    fn reconnect_node(&mut self) {
        let unreachable: Vec<NodeId> = self
            .stores
            .iter()
            .filter(|(_, store)| !store.is_reachable)
            .map(|(node, _)| *node)
            .collect();
        if let Some(node) = unreachable.choose(&mut self.rng)
            && let Some(store) = self.stores.get_mut(node)
        {
            store.is_reachable = true;
        }
    }

    /// Makes all nodes reachable and checks that all replicas become active.
    fn check_recovery(&mut self) {
        self.recover_all();
        let all_active = self.view.members.iter().all(|member| member.active);
        if !all_active {
            let detail = format!("not all members are active: {:?}", self.view);
            self.report
                .violations
                .push((RecordInvariant::FullRecovery, detail));
        }
    }

    fn recover_all(&mut self) {
        for store in self.stores.values_mut() {
            store.is_reachable = true;
        }
        for _ in 0..RECOVERY_STEPS {
            self.change_view();
            self.catch_up_step();
        }
    }
}
