//! The simulated world: processes, their network, their clients, and the run of events over them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::clients::{Client, ClientId};
use super::disk::{SimulatedDisk, WriteFate};
use super::events::{Event, Events};
use super::network::Network;
use super::observer::Observer;
use super::options::{Scenario, SimulationOptions, Variant};
use super::process::{Clock, Input, Process};
use super::replacements::{self, Losses};
use super::report::{Fault, Promise, SimulationReport};
use crate::{Configuration, GroupError, GroupId, PeerConfig, ReplicaAddress, ReplicaId, RoleName};

const FIRST_INCARNATION: u64 = 1;
const CLIENTS: usize = 6;
/// Replicas that aren't members at first.
const SPARES: u64 = 1;
const LARGEST_CLOCK_OFFSET_MILLIS: u64 = 1_000_000;
const TICK_MILLIS: std::ops::Range<u64> = 5..40;
const USUAL_WRITE_MICROS: std::ops::Range<u64> = 0..3_000;
const SLOW_WRITE_MILLIS: std::ops::Range<u64> = 10..400;
/// One write in so many is slow.
const SLOW_WRITE_ONE_IN: u32 = 60;
/// A disk that acknowledges before it flushes does flush at one write in so many.
const TRUE_FLUSH_ONE_IN: u32 = 16;

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Faults come.
    Faulty,
    /// No faults come, and clients go on since the given time.
    Healed(Duration),
    /// Clients ask nothing more.
    Quiet,
}

/// The simulated world.
#[derive(Debug)]
pub(super) struct Cluster {
    pub(super) options: SimulationOptions,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Duration,
    pub(super) events: Events,
    pub(super) network: Network,
    pub(super) processes: BTreeMap<ReplicaId, Process>,
    pub(super) phase: Phase,
    /// State may be lost at more replicas than the group can bear.
    pub(super) is_reckless: bool,
    pub(super) report: SimulationReport,
    pub(super) clients: Vec<Client>,
    initial_members: Configuration,
    pub(super) observer: Observer,
    pub(super) operations: u64,
    pub(super) served_since_healed: bool,
    pub(super) losses: Losses,
}

impl Cluster {
    pub(super) fn new(seed: u64, options: SimulationOptions) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let voters: u64 = random.random_range(3..=5);
        let address = |id| ReplicaAddress::new(ReplicaId(id), FIRST_INCARNATION);
        let network = Network::new(&mut random);
        let is_reckless = random.random_range(0..6) == 0;
        let mut cluster = Self {
            options,
            random,
            now: Duration::ZERO,
            events: Events::default(),
            network,
            processes: BTreeMap::new(),
            phase: Phase::Faulty,
            is_reckless,
            report: SimulationReport {
                seed,
                ..SimulationReport::default()
            },
            clients: Vec::new(),
            initial_members: Configuration::of_voters((1..=voters).map(address)),
            observer: Observer::default(),
            operations: 0,
            served_since_healed: false,
            losses: Losses::default(),
        };
        match options.scenario {
            Scenario::Faults => {
                cluster.add_processes(voters + SPARES);
                cluster.add_clients();
                cluster.schedule_fault();
            }
            Scenario::Replacements => {
                for id in 1..=voters {
                    cluster.add_process(ReplicaId(id), false);
                    cluster.start(ReplicaId(id));
                }
                cluster.add_clients();
                cluster.begin_replacements(voters);
            }
        }
        cluster
    }

    fn add_processes(&mut self, count: u64) {
        // Which machines have disks: all, none, or some.
        let with_disk_percent = [100, 0, 50][self.random.random_range(0..3)];
        for id in 1..=count {
            let forgets = self.random.random_range(0..100) >= with_disk_percent;
            self.add_process(ReplicaId(id), forgets);
            self.start(ReplicaId(id));
        }
    }

    pub(super) fn add_process(&mut self, replica: ReplicaId, forgets: bool) {
        let lies = self.options.variant == Variant::AcknowledgesBeforeFlush;
        let process = Process {
            address: ReplicaAddress::new(replica, FIRST_INCARNATION),
            clock: self.draw_clock(),
            disk: SimulatedDisk::new(lies, forgets),
            life: 0,
            running: None,
            last_configuration: Configuration::default(),
            is_gone: false,
            hides_loss: self.options.variant == Variant::ReturnsUnderOldIncarnation,
        };
        self.processes.insert(replica, process);
    }

    /// A clock whose rate differs from any other's by at most what the settings allow.
    fn draw_clock(&mut self) -> Clock {
        let drift = PeerConfig::new(
            GroupId(1),
            ReplicaAddress::new(ReplicaId(1), FIRST_INCARNATION),
            Configuration::default(),
        )
        .clock_drift_permille;
        let offset = self.random.random_range(0..=LARGEST_CLOCK_OFFSET_MILLIS);
        let rate = self
            .random
            .random_range(1000 - drift / 2..=1000 + drift / 2);
        Clock::new(Duration::from_millis(offset), rate)
    }

    fn add_clients(&mut self) {
        for number in 0..CLIENTS {
            self.clients.push(Client {
                leader: None,
                waiting_for: None,
            });
            self.events
                .schedule(Duration::ZERO, Event::Ask(ClientId(number)));
        }
    }

    fn config(&self, address: ReplicaAddress) -> PeerConfig {
        // The founders alone are told the members, and only in their first life.
        let is_founder =
            address.incarnation == FIRST_INCARNATION && self.initial_members.contains(address);
        let members = match is_founder {
            true => self.initial_members.clone(),
            false => Configuration::default(),
        };
        let mut config = PeerConfig::new(GroupId(1), address, members);
        config.seed = self.report.seed;
        config.max_batch_bytes = 256;
        config.max_inflight = 4;
        config.promotion_lag = 8;
        config.restart_election = true;
        config.snapshot_chunk_bytes = 64;
        config.snapshot_after_entries = 40;
        config.retained_entries = 8;
        if self.options.scenario == Scenario::Replacements {
            replacements::configure(&mut config);
        }
        config
    }

    pub(super) fn count(&mut self, fault: Fault) {
        *self.report.faults.entry(fault).or_default() += 1;
    }

    /// Runs all events before a time.
    pub(super) fn run_until(&mut self, end: Duration) {
        while let Some((at, event)) = self.events.next_before(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(message) => self.input(message.to, Input::Message(message)),
            Event::Tick { replica, life } => self.tick(replica, life),
            Event::Flush { replica, life } => self.flush(replica, life),
            Event::Ask(client) => self.ask(client),
            Event::Arrive { replica, operation } => {
                self.input(replica, Input::Operation(operation));
            }
            Event::Answered { operation, answer } => self.answered(operation, answer),
            Event::GiveUp(operation) => self.give_up(operation),
            Event::Fault => self.inject_fault(),
            Event::Reconnect => self.network.reconnect(),
            Event::Start { replica, life } if self.processes[&replica].life == life => {
                self.start(replica);
            }
            Event::Resume { replica, life } if self.processes[&replica].life == life => {
                self.resume(replica);
            }
            Event::MendDisk(replica) => self.processes[&replica].disk.set_fate(WriteFate::Succeeds),
            Event::Loss => self.inject_loss(),
            Event::Remove(replica) if self.phase == Phase::Faulty => self.remove_machine(replica),
            Event::Join(replica) => self.ask_to_join(replica),
            Event::Heal => self.network.heal(),
            Event::Start { .. } | Event::Resume { .. } | Event::Remove(_) => {}
        }
    }

    pub(super) fn start(&mut self, replica: ReplicaId) {
        let config = self.config(self.processes[&replica].address);
        let now = self.now;
        let defect = self.options.variant.defect();
        let process = self.process(replica);
        if process.running.is_some() || process.is_gone {
            return;
        }
        if process.start(now, config, defect).is_err() {
            self.start_later(replica);
            return;
        }
        let life = process.life;
        self.events.schedule(now, Event::Tick { replica, life });
    }

    pub(super) fn start_later(&mut self, replica: ReplicaId) {
        let life = self.processes[&replica].life;
        let after = Duration::from_millis(self.random.random_range(50..3_000));
        self.events
            .schedule(self.now + after, Event::Start { replica, life });
    }

    pub(super) fn process(&mut self, replica: ReplicaId) -> &mut Process {
        self.processes
            .get_mut(&replica)
            .expect("processes are never removed")
    }

    pub(super) fn resume(&mut self, replica: ReplicaId) {
        let Some(running) = &mut self.process(replica).running else {
            return;
        };
        for input in running.frozen.take().unwrap_or_default() {
            self.input(replica, input);
        }
        let life = self.processes[&replica].life;
        self.events
            .schedule(self.now, Event::Tick { replica, life });
    }

    fn tick(&mut self, replica: ReplicaId, life: u64) {
        let now = self.now;
        let process = self.process(replica);
        let local_now = process.clock.at(now);
        let is_same_life = process.life == life;
        let Some(running) = process.awake().filter(|_| is_same_life) else {
            return;
        };
        running.group.tick(local_now);
        self.schedule_flush(replica);
        let after = Duration::from_millis(self.random.random_range(TICK_MILLIS));
        self.events
            .schedule(now + after, Event::Tick { replica, life });
    }

    fn input(&mut self, replica: ReplicaId, input: Input) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&replica) else {
            return;
        };
        let local_now = process.clock.at(now);
        let Some(running) = &mut process.running else {
            self.refuse_connection(input);
            return;
        };
        if let Some(frozen) = &mut running.frozen {
            frozen.push(input);
            return;
        }
        match input {
            Input::Message(message) => {
                running.group.handle(local_now, message);
                self.report.messages_delivered += 1;
            }
            Input::Operation(operation) => self.take_operation(replica, local_now, operation),
        }
        self.schedule_flush(replica);
    }

    fn slow_write_millis(&self) -> std::ops::Range<u64> {
        match self.options.scenario {
            Scenario::Faults => SLOW_WRITE_MILLIS,
            Scenario::Replacements => replacements::SLOW_WRITE_MILLIS,
        }
    }

    pub(super) fn schedule_flush(&mut self, replica: ReplicaId) {
        let is_slow = self.random.random_range(0..SLOW_WRITE_ONE_IN) == 0;
        let duration = match is_slow {
            true => Duration::from_millis(self.random.random_range(self.slow_write_millis())),
            false => Duration::from_micros(self.random.random_range(USUAL_WRITE_MICROS)),
        };
        let at = self.now + duration;
        let process = self.process(replica);
        let life = process.life;
        let Some(running) = &mut process.running else {
            return;
        };
        if !std::mem::replace(&mut running.is_flush_scheduled, true) {
            self.events.schedule(at, Event::Flush { replica, life });
        }
    }

    fn flush(&mut self, replica: ReplicaId, life: u64) {
        let flushes_truly = self.random.random_range(0..TRUE_FLUSH_ONE_IN) == 0;
        let process = self.process(replica);
        if process.life != life {
            return;
        }
        let disk = process.disk.clone();
        let Some(running) = &mut process.running else {
            return;
        };
        running.is_flush_scheduled = false;
        if running.frozen.is_some() {
            return;
        }
        let outputs = running.group.take_outputs();
        let failure = running.group.failure().map(ToString::to_string);
        let won_restart_election = running.group.peer().won_restart_election();
        let is_inconsistent = matches!(running.group.failure(), Some(GroupError::Inconsistent));
        let address = process.address;
        if disk.take_killed() {
            self.kill(replica);
            return;
        }
        if flushes_truly {
            disk.flush();
        }
        self.observe_roles(address, &outputs.role_changes);
        let is_elected = |change: &crate::RoleChange| change.role == RoleName::Leader;
        if won_restart_election && outputs.role_changes.iter().any(is_elected) {
            self.report.restart_elections += 1;
        }
        self.answer_applied(replica, &outputs);
        self.report.snapshots_installed += u64::from(outputs.installed.is_some());
        for message in outputs.messages {
            self.send(message);
        }
        if is_inconsistent {
            let detail = format!("{address} stopped: {}", failure.clone().unwrap_or_default());
            self.observer.broken(Promise::CommittedStays, detail);
        }
        if failure.is_some() {
            self.kill(replica);
        }
    }

    /// Ends a process, which is started again later.
    pub(super) fn kill(&mut self, replica: ReplicaId) {
        self.process(replica).kill();
        self.start_later(replica);
    }

    fn observe_roles(&mut self, address: ReplicaAddress, changes: &[crate::RoleChange]) {
        for change in changes {
            if change.role == RoleName::Leader {
                self.observer.leads(change.term, address);
            }
        }
    }

    fn send(&mut self, message: crate::Message) {
        let link = (message.from.replica, message.to);
        let faults = &mut self.report.faults;
        let arrivals = self
            .network
            .arrivals(&mut self.random, self.now, link, faults);
        for at in arrivals {
            self.events.schedule(at, Event::Deliver(message.clone()));
        }
    }
}
