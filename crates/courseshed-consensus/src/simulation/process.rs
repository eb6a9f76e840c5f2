//! One replica's process: its clock, its disk, and the group it runs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::clients::Operation;
use super::disk::SimulatedDisk;
use super::journal::Journal;
use crate::peer::Defect;
use crate::{
    Configuration, GroupError, LogIndex, Message, PeerConfig, ReadId, ReplicaAddress,
    ReplicatedGroup, Term,
};

pub(super) type Group = ReplicatedGroup<SimulatedDisk, Journal>;

/// A clock that runs at its own rate from its own start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    /// What it showed when the rate was last set.
    shown: Duration,
    /// When that was.
    since: Duration,
    /// Its seconds per thousand true seconds.
    rate_permille: u32,
}

impl Clock {
    pub(super) fn new(shown: Duration, rate_permille: u32) -> Self {
        Self {
            shown,
            since: Duration::ZERO,
            rate_permille,
        }
    }

    pub(super) fn at(&self, now: Duration) -> Duration {
        self.shown + (now - self.since) * self.rate_permille / 1000
    }

    pub(super) fn set_rate(&mut self, now: Duration, rate_permille: u32) {
        self.shown = self.at(now);
        self.since = now;
        self.rate_permille = rate_permille;
    }
}

/// A request that a process is working on.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingWrite {
    pub(super) term: Term,
    pub(super) operation: Operation,
}

/// Something that reaches a process from outside.
#[derive(Clone, Debug)]
pub(super) enum Input {
    Message(Message),
    Operation(Operation),
}

/// A running group and what its process remembers for it.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) group: Group,
    pub(super) writes: BTreeMap<LogIndex, PendingWrite>,
    pub(super) reads: BTreeMap<ReadId, Operation>,
    pub(super) is_flush_scheduled: bool,
    /// What arrived while the process was frozen; none when it isn't.
    pub(super) frozen: Option<Vec<Input>>,
}

/// One replica's process, running or not.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) address: ReplicaAddress,
    pub(super) clock: Clock,
    pub(super) disk: SimulatedDisk,
    /// Counts starts and ends, so that events of an earlier life are void.
    pub(super) life: u64,
    pub(super) running: Option<Running>,
    /// The members in force here when it last ran.
    pub(super) last_configuration: Configuration,
    /// The machine doesn't come back.
    pub(super) is_gone: bool,
    /// Broken on purpose: it comes back without its state under its old incarnation.
    pub(super) hides_loss: bool,
}

impl Process {
    /// Starts the process on its disk.
    pub(super) fn start(
        &mut self,
        now: Duration,
        config: PeerConfig,
        defect: Defect,
    ) -> Result<(), GroupError> {
        let journal = Journal::default();
        let group = Group::new(config, self.disk.clone(), journal, self.clock.at(now))?;
        let group = group.with_defect(defect);
        self.life += 1;
        self.running = Some(Running {
            group,
            writes: BTreeMap::new(),
            reads: BTreeMap::new(),
            is_flush_scheduled: false,
            frozen: None,
        });
        Ok(())
    }

    /// Kills the process. A machine without a disk loses all, so its next life is a new incarnation.
    pub(super) fn kill(&mut self) {
        self.life += 1;
        self.last_configuration = self.configuration().clone();
        self.running = None;
        self.disk.crash();
        if self.disk.forgets() {
            self.lose_state();
        }
    }

    /// Loses what the replica knew.
    pub(super) fn lose_state(&mut self) {
        self.disk.wipe();
        self.last_configuration = Configuration::default();
        self.address.incarnation += u64::from(!self.hides_loss);
    }

    /// The group, unless the process is down or frozen.
    pub(super) fn awake(&mut self) -> Option<&mut Running> {
        self.running
            .as_mut()
            .filter(|running| running.frozen.is_none())
    }

    /// The members in force at the replica, as far as it remembers any.
    pub(super) fn configuration(&self) -> &Configuration {
        let running = self.running.as_ref();
        running.map_or(&self.last_configuration, |running| {
            running.group.peer().configuration()
        })
    }

    /// The latest term that the process has seen; zero if it isn't running.
    pub(super) fn term(&self) -> Term {
        let running = self.running.as_ref();
        running.map_or(Term(0), |running| running.group.term())
    }

    /// Whether the process leads, as far as it knows.
    pub(super) fn leads(&self) -> bool {
        self.running
            .as_ref()
            .is_some_and(|running| running.group.is_leader())
    }
}
