//! Machines that are replaced, lose their disks, stand still or are cut off, up to as many at one time as the group
//! has to bear.
//!
//! A machine counts as lost until [`CATCH_UP`] after its return, or after the start of its successor. Machines that
//! aren't voters ask to be admitted, as controllers do.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::cluster::{Cluster, Phase};
use super::events::Event;
use super::report::Fault;
use crate::{PeerConfig, ReplicaId};

/// The shortest `catch_up_s` of the deployments.
const CATCH_UP: Duration = Duration::from_secs(4);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
const CALM_MILLIS: std::ops::Range<u64> = 50..3_000;
/// Time from a loss to the start of the successor, or of the same machine.
const AWAY_MILLIS: std::ops::Range<u64> = 300..3_000;
const STANDSTILL_MILLIS: std::ops::Range<u64> = 100..6_000;
/// A machine with slower writes counts as lost itself.
pub(super) const SLOW_WRITE_MILLIS: std::ops::Range<u64> = 10..100;
/// Time from the start of a successor to its own loss.
const SHORT_LIFE_MILLIS: std::ops::Range<u64> = 1..1_500;

/// The losses of a run.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// How many machines may be lost at one time.
    tolerated: usize,
    /// Until when each lost machine counts.
    counted: BTreeMap<ReplicaId, Duration>,
    /// Until when the group is cut in two.
    split_until: Duration,
}

impl Losses {
    fn are_allowed(&self, now: Duration) -> bool {
        let counted = self.counted.values().filter(|until| **until > now).count();
        counted < self.tolerated
    }

    /// Counts a machine that comes back at a time. It can't catch up while the group is cut in two.
    fn count_until_return(&mut self, replica: ReplicaId, returns: Duration) {
        let caught_up = returns.max(self.split_until) + CATCH_UP;
        self.counted.insert(replica, caught_up);
    }

    /// Notes that the group is cut in two.
    fn record_split(&mut self, now: Duration, until: Duration) {
        self.split_until = self.split_until.max(until);
        let counted = self.counted.values_mut();
        for counted in counted.filter(|counted| **counted > now) {
            *counted = (*counted).max(until + CATCH_UP);
        }
    }

    fn is_counted(&self, now: Duration, replica: ReplicaId) -> bool {
        self.counted.get(&replica).is_some_and(|until| *until > now)
    }
}

/// Settings of a group whose leader replaces silent voters.
pub(super) fn configure(config: &mut PeerConfig) {
    config.election_timeout = ELECTION_TIMEOUT;
    config.heartbeat_interval = HEARTBEAT_INTERVAL;
    config.voter_silence = Some(2 * ELECTION_TIMEOUT);
}

impl Cluster {
    pub(super) fn begin_replacements(&mut self, voters: u64) {
        let most = (voters as usize - 1) / 2;
        self.losses.tolerated = self.random.random_range(1..=most);
        self.network.heal();
        let replicas: Vec<ReplicaId> = self.processes.keys().copied().collect();
        for replica in replicas {
            self.events.schedule(JOIN_INTERVAL, Event::Join(replica));
        }
        self.schedule_loss();
    }

    fn schedule_loss(&mut self) {
        let at = self.now + self.draw_millis(CALM_MILLIS);
        self.events.schedule(at, Event::Loss);
    }

    pub(super) fn inject_loss(&mut self) {
        if self.phase != Phase::Faulty {
            return;
        }
        self.schedule_loss();
        if self.random.random_range(0..10) == 0 {
            self.cut_in_two();
        }
        if !self.losses.are_allowed(self.now) {
            return;
        }
        let target = self.draw_target();
        if self.processes[&target].is_gone || self.losses.is_counted(self.now, target) {
            return;
        }
        match self.random.random_range(0..9) {
            0..4 => self.replace(target),
            4 | 5 => self.wipe(target),
            6 => self.restart(target),
            7 => self.stand_still(target),
            _ => self.cut_off(target),
        }
    }

    /// The machine is gone for good, and an empty one is started in its place; sometimes that one is lost as well.
    fn replace(&mut self, target: ReplicaId) {
        self.count(Fault::Replaced);
        self.remove_machine(target);
        let mut starts = self.now + self.draw_millis(AWAY_MILLIS);
        let mut successor = self.add_successor(starts);
        if self.random.random_range(0..4) == 0 {
            let ends = starts + self.draw_millis(SHORT_LIFE_MILLIS);
            self.events.schedule(ends, Event::Remove(successor));
            self.losses.counted.insert(successor, Duration::MAX);
            starts = ends + self.draw_millis(AWAY_MILLIS);
            successor = self.add_successor(starts);
        }
        // Counted under the name of the successor, which may not be lost either until then.
        self.losses.counted.remove(&target);
        self.losses.count_until_return(successor, starts);
        let ended = self.processes.values().filter(|process| process.is_gone);
        let ended: Vec<ReplicaId> = ended.map(|process| process.address.replica).collect();
        self.losses.counted.retain(|id, _| !ended.contains(id));
    }

    fn add_successor(&mut self, starts: Duration) -> ReplicaId {
        let successor = ReplicaId(self.processes.len() as u64 + 1);
        self.add_process(successor, false);
        let life = self.processes[&successor].life;
        self.events.schedule(
            starts,
            Event::Start {
                replica: successor,
                life,
            },
        );
        self.events
            .schedule(starts + JOIN_INTERVAL, Event::Join(successor));
        successor
    }

    pub(super) fn remove_machine(&mut self, target: ReplicaId) {
        let process = self.process(target);
        process.is_gone = true;
        process.kill();
        self.losses.counted.remove(&target);
    }

    fn wipe(&mut self, target: ReplicaId) {
        self.count(Fault::StateLost);
        let process = self.process(target);
        process.kill();
        process.lose_state();
        self.return_later(target);
    }

    fn restart(&mut self, target: ReplicaId) {
        self.count(Fault::Crash);
        self.process(target).kill();
        self.return_later(target);
    }

    fn return_later(&mut self, target: ReplicaId) {
        let at = self.now + self.draw_millis(AWAY_MILLIS);
        let life = self.processes[&target].life;
        let replica = target;
        self.events.schedule(at, Event::Start { replica, life });
        self.losses.count_until_return(target, at);
    }

    fn stand_still(&mut self, target: ReplicaId) {
        let until = self.now + self.draw_millis(STANDSTILL_MILLIS);
        if self.freeze_until(target, until) {
            self.losses.count_until_return(target, until);
        }
    }

    fn cut_off(&mut self, target: ReplicaId) {
        self.cut_from_all(target);
        let until = self.heal_later();
        self.losses.count_until_return(target, until);
    }

    /// Cuts the group in two, whatever is lost: no memory is lost by it, and machines may be lost meanwhile and right
    /// after it. Those that are lost already can't catch up before it ends.
    fn cut_in_two(&mut self) {
        self.split();
        let until = self.heal_later();
        self.losses.record_split(self.now, until);
    }

    fn heal_later(&mut self) -> Duration {
        let until = self.now + self.draw_millis(STANDSTILL_MILLIS);
        self.events.schedule(until, Event::Heal);
        until
    }

    /// A machine that isn't a voter asks a leader to be admitted.
    pub(super) fn ask_to_join(&mut self, replica: ReplicaId) {
        if self.processes[&replica].is_gone {
            return;
        }
        self.events
            .schedule(self.now + JOIN_INTERVAL, Event::Join(replica));
        let address = self.processes[&replica].address;
        let Some(running) = self.process(replica).awake() else {
            return;
        };
        let peer = running.group.peer();
        if peer.configuration().is_voter(address) && peer.leader().is_some() {
            return;
        }
        let Some(leader) = self.leader_reached_by(replica) else {
            return;
        };
        let now = self.now;
        let process = self.process(leader);
        let local_now = process.clock.at(now);
        if let Some(running) = process.awake()
            && running.group.admit(local_now, address).is_ok()
        {
            self.schedule_flush(leader);
        }
    }

    /// The leader of the latest term among those that a machine can exchange messages with.
    fn leader_reached_by(&self, replica: ReplicaId) -> Option<ReplicaId> {
        let leaders = self.processes.values().filter(|process| process.leads());
        let leaders = leaders.map(|process| (process.term(), process.address.replica));
        leaders
            .filter(|(_, leader)| self.network.connects(replica, *leader))
            .max()
            .map(|(_, leader)| leader)
    }
}
