//! An in-process cluster with virtual time and a network with injectable partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_consensus::{
    Applied, Configuration, GroupId, LogIndex, LogStorage, Message, PeerConfig, ReadReady,
    ReplicaAddress, ReplicaId, ReplicatedGroup, RestoreError, StateMachine,
};

/// A state machine that records every command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Journal(pub Vec<Vec<u8>>);

impl StateMachine for Journal {
    type Output = usize;

    fn apply(&mut self, _: LogIndex, data: &[u8]) -> usize {
        self.0.push(data.to_vec());
        self.0.len()
    }

    fn snapshot(&self) -> Vec<u8> {
        rmp_serde::to_vec(&self.0).expect("the commands can be encoded")
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let content = rmp_serde::from_slice(snapshot);
        self.0 = content.map_err(|error| RestoreError::new(error.to_string()))?;
        Ok(())
    }
}

pub type Group<S> = ReplicatedGroup<S, Journal>;

/// A set of replicas with a shared clock and in-order message delivery.
pub struct Cluster<S: LogStorage> {
    pub now: Duration,
    pub groups: BTreeMap<ReplicaId, Group<S>>,
    pub isolated: BTreeSet<ReplicaId>,
    pub applied: BTreeMap<ReplicaId, Vec<Applied<usize>>>,
    pub reads: Vec<ReadReady>,
    pub delivered: usize,
    queue: Vec<Message>,
}

pub fn address(id: u64) -> ReplicaAddress {
    ReplicaAddress::new(ReplicaId(id), 1)
}

pub fn voters(count: u64) -> Configuration {
    Configuration::of_voters((1..=count).map(address))
}

pub fn config(address: ReplicaAddress, members: Configuration) -> PeerConfig {
    let mut config = PeerConfig::new(GroupId(1), address, members);
    config.retained_entries = 4;
    config
}

impl<S: LogStorage> Cluster<S> {
    pub fn empty() -> Self {
        Self {
            now: Duration::ZERO,
            groups: BTreeMap::new(),
            isolated: BTreeSet::new(),
            applied: BTreeMap::new(),
            reads: Vec::new(),
            delivered: 0,
            queue: Vec::new(),
        }
    }

    pub fn start(&mut self, config: PeerConfig, storage: S) {
        let id = config.id;
        let group = ReplicatedGroup::new(config, storage, Journal::default(), self.now);
        self.groups.insert(id, group.expect("the replica starts"));
    }

    /// Delivers messages until none are pending.
    pub fn settle(&mut self) {
        loop {
            self.collect();
            if self.queue.is_empty() {
                return;
            }
            for message in std::mem::take(&mut self.queue) {
                self.deliver(message);
            }
        }
    }

    fn collect(&mut self) {
        for (id, group) in &mut self.groups {
            let outputs = group.take_outputs();
            self.queue.extend(outputs.messages);
            self.reads.extend(outputs.reads);
            self.applied.entry(*id).or_default().extend(outputs.applied);
        }
    }

    fn deliver(&mut self, message: Message) {
        let is_cut =
            self.isolated.contains(&message.from.replica) || self.isolated.contains(&message.to);
        if let (false, Some(group)) = (is_cut, self.groups.get_mut(&message.to)) {
            self.delivered += 1;
            group.handle(self.now, message);
        }
    }

    /// Advances the clock in steps, delivering messages after each step.
    pub fn run(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(10);
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for group in self.groups.values_mut() {
                group.tick(self.now);
            }
            self.settle();
        }
    }

    /// The leader among the replicas that are not isolated.
    pub fn leader(&self) -> Option<ReplicaId> {
        let reachable = self
            .groups
            .iter()
            .filter(|(id, _)| !self.isolated.contains(id));
        reachable
            .filter(|(_, group)| group.is_leader())
            .map(|(id, _)| *id)
            .next()
    }

    pub fn group(&mut self, id: ReplicaId) -> &mut Group<S> {
        self.groups.get_mut(&id).expect("the replica is running")
    }

    pub fn propose(&mut self, data: &[u8]) {
        let leader = self.leader().expect("there is a leader");
        let now = self.now;
        let proposed = self.group(leader).propose(now, data.to_vec());
        proposed.expect("the leader accepts the proposal");
        self.settle();
    }
}
