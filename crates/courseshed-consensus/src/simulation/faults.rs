//! What fails, when, and for how long.

use std::time::Duration;

use rand::RngExt;

use super::cluster::{Cluster, Phase};
use super::disk::WriteFate;
use super::events::Event;
use super::options::Variant;
use super::process::Process;
use super::report::Fault;
use crate::{Configuration, ReplicaId};

/// Longest time between faults, from a storm of them to now and then.
const LONGEST_CALM_MILLIS: [u64; 3] = [1_500, 4_000, 12_000];
const SHORTEST_CALM_MILLIS: u64 = 50;
/// The rate of a clock that breaks the bounds, where that is to be caught.
const BROKEN_CLOCK_PERMILLE: u32 = 100;
const RESTART_MILLIS: std::ops::Range<u64> = 1..50;
const CUT_MILLIS: std::ops::Range<u64> = 100..6_000;
const PAUSE_MILLIS: std::ops::Range<u64> = 50..6_000;
const DISK_FAULT_MILLIS: std::ops::Range<u64> = 100..4_000;

impl Cluster {
    pub(super) fn schedule_fault(&mut self) {
        let longest = LONGEST_CALM_MILLIS[(self.report.seed % 3) as usize];
        let at = self.now + self.draw_millis(SHORTEST_CALM_MILLIS..longest);
        self.events.schedule(at, Event::Fault);
    }

    pub(super) fn draw_millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    pub(super) fn inject_fault(&mut self) {
        if self.phase != Phase::Faulty {
            return;
        }
        self.schedule_fault();
        let target = self.draw_target();
        match self.random.random_range(0..18) {
            0..3 => self.crash(target),
            3 => self.crash_during_write(target),
            4 | 5 => self.lose_state(target),
            6 => self.crash_whole_group(),
            7 | 8 => self.pause(target),
            9 => self.cut_one_way(target),
            10 => self.isolate(target),
            11 => self.split(),
            12 => self.break_disk(target, WriteFate::Full, Fault::DiskFull),
            13 => self.break_disk(target, WriteFate::Fails, Fault::DiskFailing),
            14 => self.ask_leader(Self::hand_over),
            17 => self.restart_whole_group(),
            _ => self.ask_leader(Self::change_members),
        }
    }

    /// Leaders are the most interesting to harm.
    pub(super) fn draw_target(&mut self) -> ReplicaId {
        match self.random.random_range(0..2) {
            0 => self.some_leader().unwrap_or(ReplicaId(1)),
            _ => self.any_replica(),
        }
    }

    /// A replica that believes to lead.
    fn some_leader(&mut self) -> Option<ReplicaId> {
        let leaders = self.processes.values().filter(|process| process.leads());
        let leaders: Vec<ReplicaId> = leaders.map(|process| process.address.replica).collect();
        if leaders.is_empty() {
            return None;
        }
        Some(leaders[self.random.random_range(0..leaders.len())])
    }

    fn ask_leader(&mut self, request: fn(&mut Self, ReplicaId)) {
        if let Some(leader) = self.some_leader() {
            request(self, leader);
        }
    }

    fn crash(&mut self, target: ReplicaId) {
        if self.processes[&target].running.is_none() {
            return;
        }
        if self.processes[&target].disk.forgets() {
            self.lose_state(target);
            return;
        }
        self.count(Fault::Crash);
        self.kill(target);
    }

    fn crash_during_write(&mut self, target: ReplicaId) {
        let disk = &self.processes[&target].disk;
        if !disk.forgets() && disk.fate() == WriteFate::Succeeds {
            disk.set_fate(WriteFate::Kills);
            self.count(Fault::CrashDuringWrite);
        }
    }

    fn lose_state(&mut self, target: ReplicaId) {
        let is_bearable = self.may_lose(target);
        if !is_bearable && !self.is_reckless {
            return;
        }
        self.report.beyond_repair |= !is_bearable;
        self.count(Fault::StateLost);
        let process = self.process(target);
        let forgets = process.disk.forgets();
        self.kill(target);
        if !forgets {
            self.process(target).lose_state();
        }
    }

    /// Whether every configuration that may be in force keeps a quorum of voters with their memory.
    fn may_lose(&self, target: ReplicaId) -> bool {
        let configurations = self.processes.values().map(Process::configuration);
        let mut known = configurations.filter(|configuration| !configuration.is_empty());
        known.all(|configuration| self.keeps_quorum_without(configuration, target))
    }

    fn keeps_quorum_without(&self, configuration: &Configuration, target: ReplicaId) -> bool {
        let kept = self.voters_with_memory(configuration);
        kept.filter(|id| *id != target).count() >= configuration.quorum()
    }

    /// The voters whose admitted incarnation still lives.
    pub(super) fn voters_with_memory<'a>(
        &'a self,
        configuration: &'a Configuration,
    ) -> impl Iterator<Item = ReplicaId> + 'a {
        let voters = configuration.voters();
        voters.filter(|id| configuration.is_voter(self.processes[id].address))
    }

    /// A power cut: only where all have disks, since nothing else would be left.
    fn crash_whole_group(&mut self) {
        if self
            .processes
            .values()
            .any(|process| process.disk.forgets())
        {
            return;
        }
        self.count(Fault::WholeGroupCrash);
        for replica in self.replicas() {
            if self.processes[&replica].running.is_some() {
                self.kill(replica);
            }
        }
    }

    /// All processes restart almost at once, or all but a leader, which is cut off from the others
    /// and may hold a lease.
    fn restart_whole_group(&mut self) {
        let mut processes = self.processes.values();
        if processes.any(|process| process.disk.forgets()) {
            return;
        }
        let spares_leader = self.random.random_range(0..2) == 0;
        let spared = self.some_leader().filter(|_| spares_leader);
        for replica in self.replicas() {
            if Some(replica) != spared && self.processes[&replica].running.is_some() {
                self.kill(replica);
                let life = self.processes[&replica].life;
                let at = self.now + self.draw_millis(RESTART_MILLIS);
                self.events.schedule(at, Event::Start { replica, life });
            }
        }
        if let Some(leader) = spared {
            self.isolate(leader);
        }
        self.count(Fault::WholeGroupRestart);
    }

    fn replicas(&self) -> Vec<ReplicaId> {
        self.processes.keys().copied().collect()
    }

    fn pause(&mut self, target: ReplicaId) {
        let until = self.now + self.draw_millis(PAUSE_MILLIS);
        self.freeze_until(target, until);
    }

    /// Freezes a process until a time. Returns whether it ran.
    pub(super) fn freeze_until(&mut self, target: ReplicaId, until: Duration) -> bool {
        let process = self.process(target);
        let life = process.life;
        let Some(running) = process.awake() else {
            return false;
        };
        running.frozen = Some(Vec::new());
        let replica = target;
        self.events.schedule(until, Event::Resume { replica, life });
        self.count(Fault::Pause);
        true
    }

    fn cut_one_way(&mut self, target: ReplicaId) {
        let other = self.any_replica();
        self.network.cut(target, other);
        self.reconnect_later();
        self.count(Fault::LinkCutOneWay);
    }

    fn isolate(&mut self, target: ReplicaId) {
        self.cut_from_all(target);
        if self.options.variant == Variant::ClocksBeyondBounds {
            let now = self.now;
            self.process(target)
                .clock
                .set_rate(now, BROKEN_CLOCK_PERMILLE);
        }
        self.reconnect_later();
    }

    pub(super) fn cut_from_all(&mut self, target: ReplicaId) {
        for other in self.replicas() {
            self.network.cut(target, other);
            self.network.cut(other, target);
        }
        self.count(Fault::ReplicaIsolated);
    }

    pub(super) fn split(&mut self) {
        let replicas = self.replicas();
        let border = self.random.random_range(1..replicas.len());
        let (left, right) = replicas.split_at(border);
        for (from, to) in left
            .iter()
            .flat_map(|from| right.iter().map(move |to| (from, to)))
        {
            self.network.cut(*from, *to);
            self.network.cut(*to, *from);
        }
        self.reconnect_later();
        self.count(Fault::GroupSplit);
    }

    fn reconnect_later(&mut self) {
        let at = self.now + self.draw_millis(CUT_MILLIS);
        self.events.schedule(at, Event::Reconnect);
    }

    fn break_disk(&mut self, target: ReplicaId, fate: WriteFate, fault: Fault) {
        if self.processes[&target].disk.forgets() {
            return;
        }
        self.processes[&target].disk.set_fate(fate);
        let at = self.now + self.draw_millis(DISK_FAULT_MILLIS);
        self.events.schedule(at, Event::MendDisk(target));
        self.count(fault);
    }

    /// Ends all faults, and lets everything run.
    pub(super) fn heal(&mut self) {
        self.phase = Phase::Healed(self.now);
        self.network.heal();
        for replica in self.replicas() {
            self.processes[&replica].disk.set_fate(WriteFate::Succeeds);
            self.resume(replica);
            self.start(replica);
        }
    }
}
