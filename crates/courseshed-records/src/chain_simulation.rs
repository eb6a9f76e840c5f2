//! Deterministic simulation of conversations whose stores are away now and then.
//!
//! A run is determined by its seed. Time passes and turns expire. Stores are stopped, cut off and replaced one
//! after the other, all of them are stopped at once, and single messages are lost. Stores are lost no faster than the
//! view tolerates, where a store counts as lost until it has been back for [`CATCH_UP_MS`].

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use courseshed_types::NodeId;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::simulation::next_view;
use crate::{
    ChainAssembly, ChainOutcome, ChainPart, ExportCursor, Location, Record, RecordReplica,
    RecordView, ReservationTally, StoreMachine, StoredEntry, Turn, WriteTally,
};

const STEPS: usize = 700;
const MAX_STEP_MS: u64 = 600;
/// How long a turn may be continued after it was accepted.
const RETENTION_MS: u64 = 60_000;
/// How long records of a turn are kept.
const KEEP_MS: u64 = 75_000;
/// How long a store counts as lost after its return.
const CATCH_UP_MS: u64 = 5_000;
/// How long a store must be silent to be replaced.
const SILENCE_MS: u64 = 3_000;
/// Longest absence of a store: longer than records are kept.
const MAX_AWAY_MS: u64 = 90_000;
/// Added to the time of an absence when missed records are copied.
const ABSENCE_MARGIN_MS: u64 = 2_000;
/// One in this number of messages is lost.
const MESSAGES_PER_LOSS: u32 = 12;
const REPAIRS_PER_STEP: usize = 16;

/// The implementation to simulate: the real one or one with an injected defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChainVariant {
    /// The real implementation.
    Sound,
    /// A chain is read only from a replica that has all of it.
    NoAssembly,
    /// A turn that closes a gap is not retained as long as its descendants.
    NoExtensionOverGaps,
    /// Replicas do not fetch missing ancestors.
    NoRepair,
    /// Replicas do not copy what they missed while they were away.
    NoCopyAfterAbsence,
    /// Reservations are not written to replicas that lack them.
    NoRepairOfReservations,
}

/// Result of one seed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainReport {
    /// Turns accepted.
    pub accepted: u64,
    /// Chains read from a quorum.
    pub read: u64,
    /// Chains that no single replica of the quorum had.
    pub assembled: u64,
    /// Turns that replicas fetched to close gaps.
    pub repaired: u64,
    /// Records that replicas copied after an absence.
    pub copied: u64,
    /// Times that a store was away.
    pub absences: u64,
    /// Disks lost.
    pub disks_lost: u64,
    /// View changes after the first view.
    pub views: u64,
    /// Accepted turns that could not be read, with details.
    pub unreadable: Vec<String>,
    /// Accepted reservations that a quorum did not know, with details.
    pub uncounted: Vec<String>,
    /// Accepted turns that a replica lacked although it had had time to get them back.
    pub not_replicated: Vec<String>,
}

struct Store {
    replica: RecordReplica,
    incarnation: u64,
    away_since: Option<u64>,
    back_at: u64,
    /// Since when other replicas may have received records that this one missed.
    missed_since: Option<u64>,
    /// Until when the store counts as lost.
    lost_until: u64,
}

struct Conversation {
    turns: Vec<u64>,
    accepted_at: u64,
    /// Accepted reservations of its program.
    reservations: BTreeSet<u64>,
}

struct Simulation {
    rng: ChaCha8Rng,
    variant: ChainVariant,
    now: u64,
    max_lost: usize,
    view: RecordView,
    stores: BTreeMap<NodeId, Store>,
    machines: BTreeMap<NodeId, StoreMachine>,
    turns: Vec<Turn>,
    conversations: Vec<Conversation>,
    /// Running stores and the turns of which the message to them was lost.
    missed_unnoticed: BTreeSet<(NodeId, u64)>,
    report: ChainReport,
}

/// Simulates one seed.
#[must_use]
pub fn run_seed(seed: u64, variant: ChainVariant) -> ChainReport {
    let mut simulation = Simulation::new(seed, variant);
    for _ in 0..STEPS {
        simulation.step();
        if !simulation.report.unreadable.is_empty() || !simulation.report.uncounted.is_empty() {
            return simulation.report;
        }
    }
    simulation.check_replication();
    simulation.report
}

fn id(number: u64) -> String {
    format!("t{number}")
}

/// The program of a conversation.
fn program(conversation: usize) -> String {
    format!("p{conversation}")
}

impl Simulation {
    fn new(seed: u64, variant: ChainVariant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let max_lost = rng.random_range(1..=2);
        let count = 2 * max_lost as u32 + 1 + rng.random_range(0..=1);
        let mut stores = BTreeMap::new();
        let mut machines = BTreeMap::new();
        for number in 1..=count {
            let incarnation = u64::from(number) * 1000;
            let store = Store {
                replica: RecordReplica::default(),
                incarnation,
                away_since: None,
                back_at: 0,
                missed_since: None,
                lost_until: 0,
            };
            stores.insert(NodeId(number), store);
            let machine = StoreMachine {
                name: format!("store-{number}"),
                zone: format!("zone-{}", number % 3),
                incarnation,
            };
            machines.insert(NodeId(number), machine);
        }
        let mut simulation = Self {
            rng,
            variant,
            now: 1_000_000,
            max_lost,
            view: RecordView::default(),
            stores,
            machines,
            turns: Vec::new(),
            conversations: Vec::new(),
            missed_unnoticed: BTreeSet::new(),
            report: ChainReport::default(),
        };
        while !simulation.view.is_fully_active() {
            simulation.change_view();
            simulation.catch_up();
        }
        simulation
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..MAX_STEP_MS);
        self.return_stores();
        match self.rng.random_range(0..100) {
            0..60 => self.continue_conversation(),
            60..64 => self.start_conversation(),
            64..70 => self.take_store_away(),
            70 => self.lose_disk(),
            71 => self.take_all_away(),
            _ => {}
        }
        self.change_view();
        self.catch_up();
        self.copy_missed();
        self.repair_gaps();
        let now = self.now;
        let running = self.stores.values_mut();
        for store in running.filter(|store| store.away_since.is_none()) {
            store.replica.expire(now);
        }
        self.check_conversation();
    }

    fn is_running(&self, node: NodeId) -> bool {
        self.stores[&node].away_since.is_none()
    }

    fn is_message_lost(&mut self) -> bool {
        self.rng.random_range(0..MESSAGES_PER_LOSS) == 0
    }

    /// Stores that are away, were until recently, or have not caught up.
    fn lost(&self) -> BTreeSet<NodeId> {
        let is_lost = |node: &NodeId, store: &Store| {
            let is_joining = self.view.member(*node).is_some_and(|member| !member.active);
            store.away_since.is_some() || store.lost_until > self.now || is_joining
        };
        let stores = self.stores.iter();
        let lost = stores.filter(|(node, store)| is_lost(node, store));
        lost.map(|(node, _)| *node).collect()
    }

    fn start_conversation(&mut self) {
        self.conversations.push(Conversation {
            turns: Vec::new(),
            accepted_at: self.now,
            reservations: BTreeSet::new(),
        });
        let index = self.conversations.len() - 1;
        self.add_turn(index);
    }

    fn continue_conversation(&mut self) {
        let now = self.now;
        let is_open = |conversation: &Conversation| {
            conversation.accepted_at + RETENTION_MS > now && !conversation.turns.is_empty()
        };
        let conversations = self.conversations.iter().enumerate();
        let open: Vec<usize> = conversations
            .filter(|(_, conversation)| is_open(conversation))
            .map(|(index, _)| index)
            .collect();
        match open.choose(&mut self.rng).copied() {
            Some(index) => self.add_turn(index),
            None => self.start_conversation(),
        }
    }

    /// Reserves tokens for a turn and writes it.
    fn add_turn(&mut self, conversation: usize) {
        let number = self.turns.len() as u64;
        let reservation = Record::Reserve {
            program: program(conversation),
            reservation: number,
            most: 1,
            keep_ms: KEEP_MS,
        };
        if !self.write(&reservation, Location::default()) {
            return;
        }
        self.conversations[conversation].reservations.insert(number);
        self.repair_reservations(conversation, number);
        let previous = self.conversations[conversation].turns.last().copied();
        let turn = Turn {
            id: id(number),
            previous: previous.map(id),
            tenant: None,
            input: Bytes::new(),
            output: Bytes::new(),
            cached: None,
            allowed_regions: Vec::new(),
        };
        self.turns.push(turn.clone());
        let record = Record::StoreTurn {
            turn,
            keep_ms: KEEP_MS,
        };
        if self.write(&record, location_of(number)) {
            self.report.accepted += 1;
            let conversation = &mut self.conversations[conversation];
            conversation.turns.push(number);
            conversation.accepted_at = self.now;
        }
    }

    /// Writes reservations of a program to the replicas of a quorum that lack them.
    fn repair_reservations(&mut self, conversation: usize, reservation: u64) {
        if self.variant == ChainVariant::NoRepairOfReservations {
            return;
        }
        let program = program(conversation);
        let mut tally = ReservationTally::new(&self.view, reservation, 1, u64::MAX);
        let active: Vec<NodeId> = self.view.active().map(|member| member.node).collect();
        for node in active {
            let reserved = self.stores[&node].replica.reserved(&program);
            let has_replied = reserved.iter().any(|it| it.reservation == reservation);
            if has_replied && tally.on_reserved(node, &reserved).is_some() {
                break;
            }
        }
        for (node, lacking) in tally.missing_reservations() {
            for reserved in lacking {
                let record = Record::Reserve {
                    program: program.clone(),
                    reservation: reserved.reservation,
                    most: reserved.tokens,
                    keep_ms: KEEP_MS,
                };
                if !self.is_message_lost() {
                    self.apply(node, &record, Location::default());
                }
            }
        }
    }

    /// Writes a record to all running replicas; it is accepted if a quorum stores it.
    fn write(&mut self, record: &Record, location: Location) -> bool {
        let mut tally = WriteTally::new(&self.view);
        let members: Vec<NodeId> = self.view.members.iter().map(|member| member.node).collect();
        for node in members {
            if !self.is_running(node) {
                continue;
            }
            if self.is_message_lost() {
                if matches!(record, Record::StoreTurn { .. }) {
                    self.missed_unnoticed.insert((node, location.offset));
                }
                continue;
            }
            self.apply(node, record, location);
            tally.on_stored(node);
        }
        tally.is_decided()
    }

    fn apply(&mut self, node: NodeId, record: &Record, location: Location) {
        let now = self.now;
        if let Some(store) = self.stores.get_mut(&node) {
            store.replica.apply(now, record, location);
        }
    }

    fn take_store_away(&mut self) {
        if self.lost().len() >= self.max_lost {
            return;
        }
        let nodes: Vec<NodeId> = self.stores.keys().copied().collect();
        if let Some(node) = nodes.choose(&mut self.rng).copied() {
            let is_long = self.rng.random_range(0..4) == 0;
            let longest = if is_long { MAX_AWAY_MS } else { SILENCE_MS };
            let away_ms = self.rng.random_range(500..longest);
            self.take_away(node, away_ms);
        }
    }

    /// Stops all stores at once, which keep their disks.
    fn take_all_away(&mut self) {
        if !self.lost().is_empty() {
            return;
        }
        let nodes: Vec<NodeId> = self.stores.keys().copied().collect();
        for node in nodes {
            let away_ms = self.rng.random_range(500..2_000);
            self.take_away(node, away_ms);
        }
    }

    fn take_away(&mut self, node: NodeId, away_ms: u64) {
        let now = self.now;
        let Some(store) = self.stores.get_mut(&node) else {
            return;
        };
        if store.away_since.is_none() {
            store.away_since = Some(now);
            store.back_at = now + away_ms;
            store.missed_since = store.missed_since.or(Some(now));
            self.report.absences += 1;
        }
    }

    fn return_stores(&mut self) {
        let now = self.now;
        for store in self.stores.values_mut() {
            if store.away_since.is_some() && store.back_at <= now {
                store.away_since = None;
                store.lost_until = now + CATCH_UP_MS;
            }
        }
    }

    fn lose_disk(&mut self) {
        if self.lost().len() >= self.max_lost {
            return;
        }
        let nodes: Vec<NodeId> = self.stores.keys().copied().collect();
        let Some(node) = nodes.choose(&mut self.rng).copied() else {
            return;
        };
        let now = self.now;
        let Some(store) = self.stores.get_mut(&node) else {
            return;
        };
        store.replica = RecordReplica::default();
        store.incarnation += 1;
        store.missed_since = None;
        store.lost_until = now + CATCH_UP_MS;
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.incarnation = store.incarnation;
        }
        self.report.disks_lost += 1;
    }

    fn change_view(&mut self) {
        let now = self.now;
        let is_silent = |store: &Store| {
            store
                .away_since
                .is_some_and(|since| now - since > SILENCE_MS)
        };
        let stores = self.stores.iter();
        let silent = stores
            .filter(|(_, store)| is_silent(store))
            .map(|(node, _)| *node)
            .collect();
        let next = next_view(&self.view, &self.machines, &silent, self.max_lost);
        if let Some(next) = next {
            self.adopt(next);
        }
    }

    fn adopt(&mut self, next: RecordView) {
        // A store that is no member keeps its disk, but its records count for nothing any more.
        let now = self.now;
        for member in &self.view.members {
            if next.member(member.node).is_none()
                && let Some(store) = self.stores.get_mut(&member.node)
            {
                store.missed_since = None;
            }
        }
        for member in next.members.iter().filter(|member| !member.active) {
            if let Some(store) = self.stores.get_mut(&member.node) {
                store.lost_until = now + CATCH_UP_MS;
            }
        }
        self.view = next;
        self.report.views += 1;
    }

    /// Each joining store reads from all sources that it needs, or waits until enough of them run.
    fn catch_up(&mut self) {
        let joining: Vec<(NodeId, u64)> = self
            .view
            .members
            .iter()
            .filter(|member| !member.active)
            .map(|member| (member.node, member.incarnation))
            .collect();
        for (node, incarnation) in joining {
            let is_same_disk = self.stores[&node].incarnation == incarnation;
            if !self.is_running(node) || !is_same_disk {
                continue;
            }
            let sources = self.running_sources(node);
            let needed = self.view.sources_needed();
            if sources.len() < needed {
                continue;
            }
            for source in sources.into_iter().take(needed) {
                self.copy(source, node, None);
            }
            if let Some(next) = self.view.activate(node, incarnation) {
                self.adopt(next);
            }
        }
    }

    /// Running replicas other than `node` that have the disk named by the view, in random order.
    fn running_sources(&mut self, node: NodeId) -> Vec<NodeId> {
        let sources = self.view.sources();
        let is_source = |source: NodeId, incarnation: u64| {
            let store = &self.stores[&source];
            source != node && store.away_since.is_none() && store.incarnation == incarnation
        };
        let mut sources: Vec<NodeId> = sources
            .filter(|source| is_source(source.node, source.incarnation))
            .map(|source| source.node)
            .collect();
        sources.shuffle(&mut self.rng);
        sources
    }

    /// Copies the records that a source has, or those that it received within a time. Returns how many.
    fn copy(&mut self, source: NodeId, to: NodeId, max_age_ms: Option<u64>) -> usize {
        let cursor = ExportCursor {
            max_age_ms,
            ..ExportCursor::default()
        };
        let replica = &self.stores[&source].replica;
        let page = replica.export(self.now, &cursor, usize::MAX);
        let count = page.entries.len();
        for entry in page.entries {
            match entry {
                StoredEntry::Turn { location, keep_ms } => {
                    let turn = self.turns[location.offset as usize].clone();
                    self.apply(to, &Record::StoreTurn { turn, keep_ms }, location);
                }
                StoredEntry::Reservation(record) => self.apply(to, &record, Location::default()),
            }
        }
        count
    }

    /// Each store that was away reads what others received meanwhile.
    fn copy_missed(&mut self) {
        if self.variant == ChainVariant::NoCopyAfterAbsence {
            return;
        }
        let active: Vec<NodeId> = self.view.active().map(|member| member.node).collect();
        for node in active {
            let Some(missed_since) = self.stores[&node].missed_since else {
                continue;
            };
            if !self.is_running(node) || self.is_message_lost() {
                continue;
            }
            let sources = self.running_sources(node);
            let needed = self.view.sources_needed() - 1;
            if sources.len() < needed {
                continue;
            }
            let max_age_ms = self.now - missed_since + ABSENCE_MARGIN_MS;
            for source in sources.into_iter().take(needed) {
                self.report.copied += self.copy(source, node, Some(max_age_ms)) as u64;
            }
            if let Some(store) = self.stores.get_mut(&node) {
                store.missed_since = None;
            }
        }
    }

    /// Each running replica fetches missing ancestors from the first other one that has them.
    fn repair_gaps(&mut self) {
        if self.variant == ChainVariant::NoRepair {
            return;
        }
        let active: Vec<NodeId> = self.view.active().map(|member| member.node).collect();
        for node in active {
            if !self.is_running(node) {
                continue;
            }
            let now = self.now;
            let Some(store) = self.stores.get_mut(&node) else {
                continue;
            };
            let due = store.replica.start_repairs(now, REPAIRS_PER_STEP);
            if self.variant == ChainVariant::NoExtensionOverGaps && !due.is_empty() {
                store.replica.forget_gaps();
            }
            for missing in due {
                let keep_ms = match self.variant {
                    ChainVariant::NoExtensionOverGaps => KEEP_MS / 2,
                    _ => missing.expires_ms - now,
                };
                let max_turns = missing.repaired_turns as usize + 1;
                for source in self.running_sources(node) {
                    if self.is_message_lost() {
                        continue;
                    }
                    let part = self.part_of_chain(source, &missing.id, max_turns);
                    if part.turns.is_empty() {
                        continue;
                    }
                    for turn in part.turns {
                        let location = location_of_id(&turn.id);
                        self.apply(node, &Record::StoreTurn { turn, keep_ms }, location);
                        self.report.repaired += 1;
                    }
                    break;
                }
            }
        }
    }

    fn part_of_chain(&self, node: NodeId, id: &str, max_turns: usize) -> ChainPart {
        let (locations, rest) = self.stores[&node].replica.chain_part(id, max_turns);
        let turns = locations.into_iter();
        ChainPart {
            turns: turns
                .map(|location| self.turns[location.offset as usize].clone())
                .collect(),
            rest,
        }
    }

    /// Reads the chain of an accepted turn that may be continued, from a random quorum of running replicas.
    fn check_conversation(&mut self) {
        if self.lost().len() > self.max_lost {
            return;
        }
        let now = self.now;
        let conversations = self.conversations.iter().enumerate();
        let open: Vec<(usize, &Conversation)> = conversations
            .filter(|(_, it)| it.accepted_at + RETENTION_MS > now && !it.turns.is_empty())
            .collect();
        let Some((number, conversation)) = open.choose(&mut self.rng).copied() else {
            return;
        };
        let expected: Vec<String> = conversation.turns.iter().copied().map(id).collect();
        let mut running: Vec<NodeId> = self
            .view
            .active()
            .map(|member| member.node)
            .filter(|node| self.is_running(*node))
            .collect();
        if running.len() < self.view.quorum() {
            return;
        }
        running.shuffle(&mut self.rng);
        running.truncate(self.view.quorum());
        let replicas = running.iter().map(|node| &self.stores[node].replica);
        let known: BTreeSet<u64> = replicas
            .flat_map(|replica| replica.reserved(&program(number)))
            .map(|reserved| reserved.reservation)
            .collect();
        if !conversation.reservations.is_subset(&known) {
            let unknown = conversation.reservations.difference(&known);
            let detail = format!("{:?} at {running:?} at {now}", unknown.collect::<Vec<_>>());
            self.report.uncounted.push(detail);
        }
        let newest = expected.last().cloned().unwrap_or_default();
        let is_whole_at_one = running
            .iter()
            .any(|node| self.stores[node].replica.chain(&newest).is_ok());
        self.report.read += 1;
        self.report.assembled += u64::from(!is_whole_at_one);
        let outcome = if self.variant == ChainVariant::NoAssembly && !is_whole_at_one {
            None
        } else {
            self.assemble(&newest, &running)
        };
        let is_readable = match &outcome {
            Some(ChainOutcome::Complete(turns)) => turns.iter().map(|turn| &turn.id).eq(&expected),
            _ => false,
        };
        if !is_readable {
            let detail = format!("{newest} from {running:?} at {now}: {outcome:?}");
            self.report.unreadable.push(detail);
        }
    }

    /// Asks some replicas for a chain, as a gateway does while the others are silent.
    fn assemble(&self, newest: &str, replicas: &[NodeId]) -> Option<ChainOutcome> {
        let mut assembly = ChainAssembly::new(newest);
        assembly.start_round(&self.view);
        let mut asked: Vec<(NodeId, String)> = replicas
            .iter()
            .map(|node| (*node, newest.to_owned()))
            .collect();
        while !asked.is_empty() {
            let (node, wanted) = asked.remove(0);
            let part = self.part_of_chain(node, &wanted, usize::MAX);
            let outcome = assembly.on_part(node, part);
            if outcome.is_some() {
                return outcome;
            }
            let wanted = assembly.wanted().to_owned();
            let next = assembly.next_requests().into_iter();
            asked.extend(next.map(|node| (node, wanted.clone())));
        }
        None
    }

    /// Lets all stores run until they have caught up, and checks that each active replica has the turns that it missed
    /// in absences, with their ancestors.
    fn check_replication(&mut self) {
        for store in self.stores.values_mut() {
            store.back_at = self.now;
        }
        let end = self.now + 2 * CATCH_UP_MS;
        while self.now < end {
            self.now += MAX_STEP_MS / 2;
            self.return_stores();
            self.change_view();
            self.catch_up();
            self.copy_missed();
            self.repair_gaps();
        }
        let now = self.now;
        let conversations = self.conversations.iter();
        for conversation in conversations.filter(|it| it.accepted_at + RETENTION_MS > now) {
            let Some(number) = conversation.turns.last().copied() else {
                continue;
            };
            let newest = id(number);
            let active = self.view.active().map(|member| member.node);
            // No later turn has told the replica of such a turn.
            let noticed = active.filter(|node| !self.missed_unnoticed.contains(&(*node, number)));
            let lacking: Vec<NodeId> = noticed
                .filter(|node| self.stores[node].replica.chain(&newest).is_err())
                .collect();
            if !lacking.is_empty() {
                let detail = format!("{newest} at {lacking:?}");
                self.report.not_replicated.push(detail);
            }
        }
    }
}

/// The location of a turn, alike in all stores: its number serves as the offset.
fn location_of(number: u64) -> Location {
    Location {
        offset: number,
        ..Location::default()
    }
}

fn location_of_id(id: &str) -> Location {
    let number = id.trim_start_matches('t').parse();
    location_of(number.unwrap_or_default())
}
