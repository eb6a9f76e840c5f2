//! Simulation: stores, views and writers, with messages in any order and disks lost.
//!
//! One seed decides everything. No more disks are lost at once than the view bears; any machine may
//! be out of reach at any time, views change while writes are under way, and writers use old views.
//! An observer knows only what writers were told and checks the promises against that.

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
/// Rounds in which everything must come back once all machines can be reached again.
const SETTLING_STEPS: usize = 400;
const BUDGET: u64 = 100;
const MOST: u32 = 30;
const KEEP_MS: u64 = 1 << 40;
const PROGRAM: &str = "p";

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordPromise {
    /// A turn that was kept is never said to be unknown.
    KeptTurn,
    /// What is granted to a program never exceeds its budget.
    Budget,
    /// Once all machines can be reached, all replicas count again.
    ComesBack,
}

impl RecordPromise {
    /// All promises.
    pub const ALL: [Self; 3] = [Self::KeptTurn, Self::Budget, Self::ComesBack];

    /// Its name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::KeptTurn => "a kept turn is never unknown",
            Self::Budget => "no program is granted more than its budget",
            Self::ComesBack => "all replicas count again",
        }
    }
}

/// The code as it is, or broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordVariant {
    /// As it is.
    Sound,
    /// A joining replica reads from one fewer than needed.
    CatchUpFromTooFew,
    /// A joining replica counts at once.
    NoCatchUp,
    /// Replicas accept writes of older views.
    OldEpochsAccepted,
    /// Replicas whose place was taken are forgotten at once.
    FormerForgotten,
}

impl RecordVariant {
    /// The broken ones.
    pub const BROKEN: [Self; 4] = [
        Self::CatchUpFromTooFew,
        Self::NoCatchUp,
        Self::OldEpochsAccepted,
        Self::FormerForgotten,
    ];

    /// Its name.
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

/// What one seed came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordReport {
    /// Turns kept.
    pub kept: u64,
    /// Reservations granted.
    pub granted: u64,
    /// Reservations refused since the budget is spent.
    pub spent: u64,
    /// Reads that found their turn.
    pub found: u64,
    /// Views after the first.
    pub views: u64,
    /// Disks lost.
    pub disks_lost: u64,
    /// Machines out of reach for a while.
    pub cut_off: u64,
    /// Broken promises, with what was seen.
    pub violations: Vec<(RecordPromise, String)>,
}

struct Store {
    replica: RecordReplica,
    incarnation: u64,
    is_reachable: bool,
    /// The view for which the store reads from others, and whom it has read from.
    reading: Option<(RecordView, BTreeSet<NodeId>)>,
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
        was_kept: bool,
        tally: MissTally,
    },
}

struct Operation {
    view: RecordView,
    record: Option<Record>,
    /// Where the record stands in the files of all stores: numbers of turns serve as places.
    location: Location,
    undelivered: Vec<NodeId>,
    purpose: Purpose,
}

struct World {
    random: ChaCha8Rng,
    variant: RecordVariant,
    borne: usize,
    view: RecordView,
    /// Replicas whose place was taken while another still joins: their disks are not lost.
    displaced: BTreeSet<NodeId>,
    /// Disks lost whose records are not yet on as many others.
    lost: BTreeSet<NodeId>,
    writer_views: Vec<RecordView>,
    stores: BTreeMap<NodeId, Store>,
    machines: BTreeMap<NodeId, StoreMachine>,
    operations: Vec<Operation>,
    next_id: u64,
    kept: Vec<String>,
    granted: BTreeMap<u64, u64>,
    report: RecordReport,
}

/// Runs one seed.
#[must_use]
pub fn run_seed(seed: u64, variant: RecordVariant) -> RecordReport {
    let mut world = World::new(seed, variant);
    for _ in 0..STEPS {
        world.step();
        if !world.report.violations.is_empty() {
            return world.report;
        }
    }
    world.settle();
    world.report
}

fn turn(number: u64) -> Turn {
    Turn {
        id: format!("t{number}"),
        previous: None,
        input: Bytes::new(),
        output: Bytes::new(),
        cached: None,
        tenant: None,
    }
}

fn place_of_turn(number: u64) -> Location {
    Location {
        offset: number,
        ..Location::default()
    }
}

/// Reads an exported entry from the files, which a turn's place alone decides.
fn read(entry: StoredEntry) -> (Record, Location) {
    match entry {
        StoredEntry::Reservation(record) => (record, Location::default()),
        StoredEntry::Turn { location, keep_ms } => {
            let turn = turn(location.offset);
            (Record::Keep { turn, keep_ms }, location)
        }
    }
}

impl World {
    fn new(seed: u64, variant: RecordVariant) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let borne = random.random_range(1..=2);
        let count = 2 * borne + 1 + random.random_range(0..=2);
        let mut stores = BTreeMap::new();
        let mut machines = BTreeMap::new();
        for number in 1..=count as u32 {
            let node = NodeId(number);
            let incarnation = u64::from(number) * 1000;
            let store = Store {
                replica: RecordReplica::default(),
                incarnation,
                is_reachable: true,
                reading: None,
            };
            stores.insert(node, store);
            let machine = StoreMachine {
                name: format!("store-{number}"),
                zone: format!("zone-{}", number % 3),
                incarnation,
            };
            machines.insert(node, machine);
        }
        let mut world = Self {
            random,
            variant,
            borne,
            view: RecordView::default(),
            displaced: BTreeSet::new(),
            lost: BTreeSet::new(),
            writer_views: Vec::new(),
            stores,
            machines,
            operations: Vec::new(),
            next_id: 0,
            kept: Vec::new(),
            granted: BTreeMap::new(),
            report: RecordReport::default(),
        };
        world.bring_all_in();
        world.writer_views = vec![world.view.clone(); 3];
        world
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..50 => self.deliver(),
            50..60 => self.begin_operation(),
            60..65 => self.refresh_writer(),
            65..72 => self.change_view(),
            72..86 => self.read_on(),
            86..90 => self.lose_disk(),
            90..95 => self.cut_off(),
            _ => self.reach_again(),
        }
    }

    fn begin_operation(&mut self) {
        let Some(view) = self.writer_views.choose(&mut self.random).cloned() else {
            return;
        };
        self.next_id += 1;
        let id = self.next_id;
        let (record, purpose) = match self.random.random_range(0..3) {
            0 => {
                let record = Record::Reserve {
                    program: PROGRAM.to_owned(),
                    reservation: id,
                    most: MOST,
                    keep_ms: KEEP_MS,
                };
                let tally = ReservationTally::new(&view, id, MOST, BUDGET);
                (Some(record), Purpose::Reserve { id, tally })
            }
            1 => {
                let turn = turn(id);
                let id = turn.id.clone();
                let record = Record::Keep {
                    turn,
                    keep_ms: KEEP_MS,
                };
                let tally = WriteTally::new(&view);
                (Some(record), Purpose::Keep { id, tally })
            }
            _ => {
                let Some(id) = self.kept.choose(&mut self.random).cloned() else {
                    return;
                };
                let tally = MissTally::new(&view);
                let was_kept = true;
                (
                    None,
                    Purpose::Read {
                        id,
                        was_kept,
                        tally,
                    },
                )
            }
        };
        let undelivered = view.members.iter().map(|member| member.node).collect();
        self.operations.push(Operation {
            view,
            record,
            location: place_of_turn(id),
            undelivered,
            purpose,
        });
    }

    /// Delivers one message of one operation, with its answer, or loses it.
    fn deliver(&mut self) {
        if self.operations.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.operations.len());
        if self.operations[index].undelivered.is_empty() {
            self.operations.swap_remove(index);
            return;
        }
        let left = self.operations[index].undelivered.len();
        let target = self.random.random_range(0..left);
        let node = self.operations[index].undelivered.swap_remove(target);
        let is_lost = self.random.random_range(0..20) == 0;
        let accepted = !is_lost && self.accept(index, node);
        if accepted && self.answer(index, node) {
            self.operations.swap_remove(index);
        }
    }

    /// The store's side: whether it takes the request, and what it writes down.
    fn accept(&mut self, index: usize, node: NodeId) -> bool {
        let operation = &self.operations[index];
        let meant = operation.view.member(node).map(|member| member.incarnation);
        let Some(store) = self.stores.get_mut(&node) else {
            return false;
        };
        let epoch = operation.view.epoch;
        let is_old =
            epoch < store.replica.epoch() && self.variant != RecordVariant::OldEpochsAccepted;
        if !store.is_reachable || meant != Some(store.incarnation) || is_old {
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

    /// The writer's side: whether the operation is decided.
    fn answer(&mut self, index: usize, node: NodeId) -> bool {
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
                    Some(ReservationDecision::Spent { .. }) => {
                        self.report.spent += 1;
                        true
                    }
                    None => false,
                }
            }
            Purpose::Keep { id, tally } => {
                let is_kept = tally.on_stored(node);
                if is_kept {
                    self.kept.push(id.clone());
                    self.report.kept += 1;
                }
                is_kept
            }
            Purpose::Read {
                id,
                was_kept,
                tally,
            } => {
                if store.replica.chain(id).is_ok() {
                    self.report.found += 1;
                    return true;
                }
                let is_unknown = tally.on_missing(node);
                if is_unknown && *was_kept {
                    let detail = format!(
                        "turn {id} was kept, and epoch {} lacks it",
                        operation.view.epoch
                    );
                    self.report
                        .violations
                        .push((RecordPromise::KeptTurn, detail));
                }
                is_unknown
            }
        }
    }

    fn grant(&mut self, id: u64) {
        self.granted.insert(id, u64::from(MOST));
        self.report.granted += 1;
        let sum: u64 = self.granted.values().sum();
        if sum > BUDGET {
            let detail = format!("{sum} tokens are granted of {BUDGET}");
            self.report.violations.push((RecordPromise::Budget, detail));
        }
    }

    fn refresh_writer(&mut self) {
        let writers = self.writer_views.len();
        let index = self.random.random_range(0..writers);
        self.writer_views[index] = self.view.clone();
    }

    fn change_view(&mut self) {
        let silent: BTreeSet<NodeId> = self
            .stores
            .iter()
            .filter(|(_, store)| !store.is_reachable)
            .map(|(node, _)| *node)
            .collect();
        let plan = ViewPlan {
            view: &self.view,
            stores: &self.machines,
            silent: &silent,
            retiring: &BTreeSet::new(),
            wanted: 2 * self.borne + 1,
            replicas: &BTreeMap::new(),
            home: None,
        };
        if let Some(next) = plan_view(&plan) {
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
        let gone = before.filter(|node| next.member(*node).is_none());
        self.displaced.extend(gone.collect::<Vec<_>>());
        let is_whole = next.members.iter().all(|member| member.active);
        if is_whole {
            self.displaced.clear();
        }
        let stores = &self.stores;
        self.lost.retain(|node| match next.member(*node) {
            Some(_) => !next.is_active(*node, stores[node].incarnation),
            None => !is_whole,
        });
        self.view = next;
        self.report.views += 1;
    }

    /// A joining store reads from one more source, or counts once it has read from enough.
    fn read_on(&mut self) {
        let joining: Vec<NodeId> = self
            .view
            .members
            .iter()
            .filter(|member| !member.active)
            .map(|member| member.node)
            .filter(|node| self.stores[node].is_reachable)
            .collect();
        let Some(node) = joining.choose(&mut self.random).copied() else {
            return;
        };
        let current = self.view.clone();
        let reading = self
            .stores
            .get_mut(&node)
            .and_then(|store| store.reading.take());
        let (view, mut read) = reading.unwrap_or((current, BTreeSet::new()));
        let sources: Vec<(NodeId, u64)> = view
            .sources()
            .filter(|source| !read.contains(&source.node))
            .map(|source| (source.node, source.incarnation))
            .collect();
        let source = sources.choose(&mut self.random).copied();
        let has_read = source.is_some_and(|source| self.copy(view.epoch, source, node));
        if let (true, Some((source, _))) = (has_read, source) {
            read.insert(source);
        }
        let fewer = usize::from(self.variant == RecordVariant::CatchUpFromTooFew);
        if read.len() + fewer >= view.sources_needed() {
            let incarnation = self.stores[&node].incarnation;
            if let Some(next) = self.view.activate(node, incarnation) {
                self.adopt(next);
            }
            return;
        }
        // A store begins again with a newer view, as its program does.
        let is_current = view.epoch == self.view.epoch;
        if let Some(store) = self.stores.get_mut(&node) {
            store.reading = is_current.then_some((view, read));
        }
    }

    fn copy(&mut self, epoch: u64, source: (NodeId, u64), to: NodeId) -> bool {
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
                let (record, location) = read(entry);
                joining.replica.apply(0, &record, location);
            }
        }
        true
    }

    /// Loses a disk, if no more are lost at once than must be borne.
    fn lose_disk(&mut self) {
        if self.lost.len() >= self.borne {
            return;
        }
        let nodes: Vec<NodeId> = self
            .stores
            .keys()
            .copied()
            .filter(|node| !self.displaced.contains(node))
            .collect();
        let Some(node) = nodes.choose(&mut self.random).copied() else {
            return;
        };
        if self.view.member(node).is_some_and(|member| member.active) {
            self.lost.insert(node);
        }
        self.empty(node);
    }

    fn empty(&mut self, node: NodeId) {
        let Some(store) = self.stores.get_mut(&node) else {
            return;
        };
        store.replica = RecordReplica::default();
        store.incarnation += 1;
        store.reading = None;
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.incarnation = store.incarnation;
        }
        self.report.disks_lost += 1;
    }

    fn cut_off(&mut self) {
        let nodes: Vec<NodeId> = self.stores.keys().copied().collect();
        if let Some(node) = nodes.choose(&mut self.random)
            && let Some(store) = self.stores.get_mut(node)
        {
            store.is_reachable = false;
            self.report.cut_off += 1;
        }
    }

    fn reach_again(&mut self) {
        let cut_off: Vec<NodeId> = self
            .stores
            .iter()
            .filter(|(_, store)| !store.is_reachable)
            .map(|(node, _)| *node)
            .collect();
        if let Some(node) = cut_off.choose(&mut self.random)
            && let Some(store) = self.stores.get_mut(node)
        {
            store.is_reachable = true;
        }
    }

    /// Lets all machines be reached, and expects all replicas to count in the end.
    fn settle(&mut self) {
        self.bring_all_in();
        let is_whole = self.view.members.iter().all(|member| member.active);
        if !is_whole {
            let detail = format!("view {:?}", self.view);
            self.report
                .violations
                .push((RecordPromise::ComesBack, detail));
        }
    }

    fn bring_all_in(&mut self) {
        for store in self.stores.values_mut() {
            store.is_reachable = true;
        }
        for _ in 0..SETTLING_STEPS {
            self.change_view();
            self.read_on();
        }
    }
}
