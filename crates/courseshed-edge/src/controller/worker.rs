//! The thread that drives the replica of the controllers' log.
//!
//! It takes in all that came while it wrote, then writes once. Invariant: what is answered as
//! committed was applied here under the term in which it was proposed.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use courseshed_consensus::{
    Configuration, DiskLog, FaultSwitch, FaultyLog, GroupError, GroupId, GroupOutputs, LogIndex,
    MembershipChange, Message, MessageBody, PeerConfig, ProposeError, ReadId, ReplicaAddress,
    ReplicatedGroup, RoleChange, RoleName, StorageError, Term,
};
use courseshed_registry::{Command, FleetState, Outcome};
use courseshed_types::NodeId;
use snafu::{ResultExt, Snafu};
use tokio::sync::oneshot;

use super::handle::{Input, Published, Shared};
use super::housekeeping::{Housekeeper, INTERVAL, NODE_SILENCE, replicas_wanted};
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerMessage, PeerPort, PeerReply, node_of, replica_of};

const GROUP: GroupId = GroupId(1);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Inputs taken in before one write.
const BATCH: usize = 256;
/// Fewest voters that may be left when a silent one is taken out.
const FEWEST_VOTERS: usize = 3;
const RETAINED_ENTRIES: u64 = 256;

/// Pause before a replica whose disk took no bytes is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(700);
/// What was tried when a flush failed. What the system holds in memory then may differ from the
/// disk, so the replica stays closed until its process starts anew.
const FLUSH: &str = "flush";

type Group = ReplicatedGroup<FaultyLog<DiskLog>, FleetState>;

/// A replica can't be opened.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Its folder can't be used.
    #[snafu(display("{source}"))]
    Storage {
        /// Why not.
        source: StorageError,
    },
    /// What is kept there can't be used.
    #[snafu(display("{source}"))]
    Group {
        /// Why not.
        source: GroupError,
    },
    /// The thread can't be started.
    #[snafu(display("can't start the thread of the replica: {source}"))]
    Thread {
        /// Why not.
        source: std::io::Error,
    },
}

pub(super) struct WorkerOptions {
    pub node: NodeId,
    pub folder: PathBuf,
    pub incarnation: u64,
    pub initial_members: Configuration,
    pub addresses: PeerAddresses,
    pub server_silence: Duration,
    pub disks_borne: usize,
    pub disk_faults: FaultSwitch,
}

pub(super) fn start(
    options: WorkerOptions,
    shared: Arc<Shared>,
    peers: Arc<Peers>,
) -> Result<(), StartError> {
    let group = open_group(&options, &shared)?;
    let inputs = shared.take_receiver();
    let last_shown = Shown::default();
    let worker = Worker::new(group, options, shared, peers, last_shown);
    let run = move || {
        if let Some(inputs) = inputs {
            run_replica(worker, &inputs);
        }
    };
    thread::Builder::new()
        .name("replica".to_owned())
        .spawn(run)
        .context(ThreadSnafu)?;
    Ok(())
}

fn open_group(options: &WorkerOptions, shared: &Shared) -> Result<Group, StartError> {
    let storage = DiskLog::open(&options.folder, options.incarnation).context(StorageSnafu)?;
    let address = ReplicaAddress::new(replica_of(options.node), storage.incarnation());
    let mut config = PeerConfig::new(GROUP, address, options.initial_members.clone());
    config.election_timeout = ELECTION_TIMEOUT;
    config.heartbeat_interval = HEARTBEAT_INTERVAL;
    config.retained_entries = RETAINED_ENTRIES;
    config.seed = address.replica.0 ^ address.incarnation;
    let now = shared.clock().now();
    let storage = FaultyLog::new(storage, options.disk_faults.clone());
    let group = Group::new(config, storage, FleetState::default(), now).context(GroupSnafu)?;
    log::info!(event = "replica_opened", incarnation = address.incarnation, term = group.term().0, applied = group.status().applied_index.0; "the replica of the controllers' log is open");
    Ok(group)
}

/// Runs a replica, and opens it again after its disk took no bytes.
fn run_replica(mut worker: Worker, inputs: &Receiver<Input>) {
    while let Some(failure) = worker.run(inputs) {
        log::error!(event = "replica_failed"; "{failure}");
        let may_reopen = !failure.is_flush();
        let Worker {
            group,
            options,
            shared,
            peers,
            shown,
            ..
        } = worker;
        // Lets go of the folder, which is locked as long as the replica is open.
        drop(group);
        shared.publish(shown.without_leader(), true);
        worker = loop {
            discard_for(REOPEN_PAUSE, inputs);
            if !may_reopen {
                continue;
            }
            match open_group(&options, &shared) {
                Ok(group) => break Worker::new(group, options, shared, peers, shown),
                Err(error) => log::warn!(event = "replica_not_opened"; "{error}"),
            }
        };
    }
}

/// Drops what comes for a while: whoever asked is told that no answer will come.
fn discard_for(pause: Duration, inputs: &Receiver<Input>) {
    let end = Instant::now() + pause;
    while let Ok(input) = inputs.recv_timeout(end.saturating_duration_since(Instant::now())) {
        drop(input);
    }
}

/// Why a replica stopped.
#[derive(Debug, Snafu)]
#[snafu(display("the replica stopped: {reason}"))]
struct ReplicaFailure {
    reason: String,
    operation: Option<&'static str>,
}

impl ReplicaFailure {
    fn of(failure: &GroupError) -> Self {
        let operation = match failure {
            GroupError::Storage {
                source: StorageError::Io { operation, .. },
            } => Some(*operation),
            _ => None,
        };
        Self {
            reason: failure.to_string(),
            operation,
        }
    }

    /// Whether what is on disk is uncertain.
    fn is_flush(&self) -> bool {
        self.operation.is_none_or(|operation| operation == FLUSH)
    }
}

/// What was shown last, which a replica that is opened again never falls behind.
#[derive(Clone, Default)]
struct Shown {
    published: Published,
    applied: LogIndex,
}

impl Shown {
    /// The same state, of a controller that hears no leader.
    fn without_leader(&self) -> Published {
        Published {
            is_leader: false,
            leader: None,
            ..self.published.clone()
        }
    }
}

struct Worker {
    group: Group,
    address: ReplicaAddress,
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    options: WorkerOptions,
    proposals: BTreeMap<LogIndex, (Term, Option<oneshot::Sender<PeerReply>>)>,
    reads: BTreeMap<ReadId, oneshot::Sender<PeerReply>>,
    housekeeper: Option<Housekeeper>,
    next_housekeeping: Duration,
    leader_heard: Duration,
    shown: Shown,
    has_news: bool,
}

impl Worker {
    fn new(
        group: Group,
        options: WorkerOptions,
        shared: Arc<Shared>,
        peers: Arc<Peers>,
        shown: Shown,
    ) -> Self {
        let address = group.status().address;
        let mut worker = Self {
            group,
            address,
            shared,
            peers,
            options,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            housekeeper: None,
            next_housekeeping: Duration::ZERO,
            leader_heard: Duration::ZERO,
            shown,
            has_news: true,
        };
        worker.publish();
        worker
    }

    /// Runs until the replica fails; none when the process ends.
    fn run(&mut self, inputs: &Receiver<Input>) -> Option<ReplicaFailure> {
        loop {
            // First of all what the disk held, which serves before anyone is heard.
            self.group.tick(self.now());
            self.keep_house();
            let outputs = self.group.take_outputs();
            self.carry_out(outputs);
            if let Some(failure) = self.group.failure() {
                return Some(ReplicaFailure::of(failure));
            }
            self.publish();
            match inputs.recv_timeout(self.time_to_wait()) {
                Ok(first) => {
                    self.take_in(first);
                    for input in inputs.try_iter().take(BATCH) {
                        self.take_in(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return None,
            }
        }
    }

    fn now(&self) -> Duration {
        self.shared.clock().now()
    }

    fn time_to_wait(&self) -> Duration {
        let mut wakeup = self.group.next_wakeup();
        if self.housekeeper.is_some() {
            wakeup = wakeup.min(self.next_housekeeping);
        }
        let longest = Duration::from_secs(1);
        wakeup.saturating_sub(self.now()).min(longest)
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::Consensus(message) => self.on_consensus(message),
            Input::Submit { command, reply } => self.submit(command, Some(reply)),
            Input::ReadRouting { reply } => self.read(reply),
            Input::Join { address, reply } => {
                let answer = self.join(address);
                let _ = reply.send(answer);
            }
            Input::CaughtUp { node, incarnation } => {
                if let Some(housekeeper) = &mut self.housekeeper {
                    housekeeper.note_caught_up(node, incarnation);
                    self.next_housekeeping = Duration::ZERO;
                }
            }
            Input::Heard { servers, nodes } => self.on_heard(servers, nodes),
            Input::HandOver => self.hand_over(),
        }
    }

    fn on_consensus(&mut self, message: Message) {
        let now = self.now();
        let from = node_of(message.from.replica);
        let is_from_leader = matches!(
            message.body,
            MessageBody::Append { .. } | MessageBody::SnapshotChunk { .. }
        );
        if is_from_leader && message.term >= self.group.term() {
            self.leader_heard = now;
        }
        if let Some(housekeeper) = &mut self.housekeeper {
            housekeeper.liveness.heard_node(now, from);
        }
        self.group.handle(now, message);
    }

    fn on_heard(&mut self, servers: Vec<String>, nodes: Vec<NodeId>) {
        let now = self.now();
        if let Some(housekeeper) = &mut self.housekeeper {
            housekeeper.liveness.heard_servers(now, servers);
            for node in nodes {
                housekeeper.liveness.heard_node(now, node);
            }
        }
    }

    fn not_leader(&self) -> PeerReply {
        PeerReply::NotLeader(self.group.leader().map(node_of))
    }

    fn submit(&mut self, command: Command, reply: Option<oneshot::Sender<PeerReply>>) {
        if let Some(refusal) = self.refusal(&command) {
            if let Some(reply) = reply {
                let _ = reply.send(refusal);
            }
            return;
        }
        let data = rmp_serde::to_vec_named(&command).expect("commands can always be encoded");
        let now = self.now();
        match self.group.propose(now, data) {
            Ok(id) => {
                self.proposals.insert(id.index, (id.term, reply));
            }
            Err(error) => {
                let answer = match error {
                    ProposeError::NotLeader { .. } => self.not_leader(),
                    _ => PeerReply::Unsure,
                };
                if let Some(reply) = reply {
                    let _ = reply.send(answer);
                }
            }
        }
    }

    /// Refuses what the leader knows to be impossible although the state alone would allow it.
    fn refusal(&self, command: &Command) -> Option<PeerReply> {
        let Command::Retire { name, .. } = command else {
            return None;
        };
        let housekeeper = self.housekeeper.as_ref()?;
        let state = self.group.machine();
        let now = self.now();
        if state.retirement(name).is_some() {
            return None;
        }
        let silent = housekeeper.liveness.silent_stores(now, state);
        let retiring = state.retiring();
        let is_left = |node: &&NodeId| !silent.contains(node) && !retiring.contains(node);
        let left = state.stores().keys().filter(is_left).count();
        let is_known = state.stores().values().any(|store| store.name == *name);
        let too_few = is_known && left <= replicas_wanted(self.options.disks_borne);
        too_few.then_some(PeerReply::Committed(Outcome::TooFew))
    }

    fn read(&mut self, reply: oneshot::Sender<PeerReply>) {
        match self.group.read_barrier(self.now()) {
            Ok(id) => {
                self.reads.insert(id, reply);
            }
            Err(_) => {
                let _ = reply.send(self.not_leader());
            }
        }
    }

    /// Admits a controller: a new one, one that lost its disk, or one in place of a silent one.
    fn join(&mut self, address: ReplicaAddress) -> PeerReply {
        if !self.group.is_leader() {
            return self.not_leader();
        }
        let configuration = self.group.peer().configuration().clone();
        let change = match configuration.member(address.replica) {
            Some(member) if member.incarnation >= address.incarnation => None,
            Some(_) => Some(MembershipChange::Readmit(address)),
            None => Some(self.silent_voter(&configuration).map_or(
                MembershipChange::AddVoter(address),
                MembershipChange::Remove,
            )),
        };
        if let Some(change) = change {
            let result = self.group.propose_membership(self.now(), change);
            log::info!(event = "membership_change", change:? = change, accepted = result.is_ok(); "a controller asked to take part");
        }
        PeerReply::Joining
    }

    fn silent_voter(
        &self,
        configuration: &Configuration,
    ) -> Option<courseshed_consensus::ReplicaId> {
        let now = self.now();
        let housekeeper = self.housekeeper.as_ref()?;
        if configuration.voters().count() <= FEWEST_VOTERS {
            return None;
        }
        configuration
            .voters()
            .filter(|voter| *voter != self.address.replica)
            .find(|voter| housekeeper.liveness.is_silent(now, node_of(*voter)))
    }

    fn hand_over(&mut self) {
        let status = self.group.status();
        let best = status
            .followers
            .iter()
            .filter(|follower| !follower.snapshotting)
            .max_by_key(|follower| follower.matched);
        if let Some(best) = best {
            let result = self.group.transfer_leadership(self.now(), best.replica);
            log::info!(event = "hand_over", to = best.replica.0, accepted = result.is_ok(); "handing leadership over");
        }
    }

    fn keep_house(&mut self) {
        let now = self.now();
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now + INTERVAL;
        if !self.group.is_established() {
            return;
        }
        let Some(housekeeper) = &mut self.housekeeper else {
            return;
        };
        for command in housekeeper.due(now, self.group.machine()) {
            self.submit(command, None);
        }
    }

    fn carry_out(&mut self, outputs: GroupOutputs<Option<Outcome>>) {
        for message in outputs.messages {
            let to = node_of(message.to);
            let address = self.options.addresses.of(to, PeerPort::Controller);
            self.peers.set_address(to, address);
            let _ = self.peers.send(to, PeerMessage::Consensus(message));
        }
        for applied in outputs.applied {
            self.has_news = true;
            if let Some((term, reply)) = self.proposals.remove(&applied.index) {
                let committed = (term == applied.term)
                    .then_some(applied.output)
                    .flatten()
                    .map(PeerReply::Committed);
                if let Some(reply) = reply {
                    let _ = reply.send(committed.unwrap_or(PeerReply::Unsure));
                }
            }
        }
        if outputs.installed.is_some() {
            self.has_news = true;
        }
        for read in outputs.reads {
            if let Some(reply) = self.reads.remove(&read.id) {
                let routing = self.group.machine().routing().cloned();
                let _ = reply.send(PeerReply::Routing(routing));
            }
        }
        for change in outputs.role_changes {
            self.on_role_change(change);
        }
    }

    fn on_role_change(&mut self, change: RoleChange) {
        log::info!(event = "role_changed", role:? = change.role, term = change.term.0, leader = change.leader.map_or(0, |leader| leader.0); "the part of this controller changed");
        self.has_news = true;
        for (_, (_, reply)) in std::mem::take(&mut self.proposals) {
            if let Some(reply) = reply {
                let _ = reply.send(PeerReply::Unsure);
            }
        }
        for (_, reply) in std::mem::take(&mut self.reads) {
            let _ = reply.send(PeerReply::Unsure);
        }
        self.housekeeper = (change.role == RoleName::Leader).then(|| {
            Housekeeper::new(
                self.options.server_silence,
                self.options.disks_borne,
                self.now(),
            )
        });
    }

    fn publish(&mut self) {
        let is_leader = self.group.is_leader();
        let configuration = self.group.peer().configuration();
        if is_leader && self.group.lease_valid(self.now()) {
            self.leader_heard = self.now();
        }
        let news = std::mem::take(&mut self.has_news);
        let applied = self.group.status().applied_index;
        if news && applied >= self.shown.applied {
            self.shown.applied = applied;
            self.shown.published.state = Arc::new(self.group.machine().clone());
        }
        let published = Published {
            state: self.shown.published.state.clone(),
            incarnation: self.address.incarnation,
            is_voter: configuration.is_voter(self.address),
            is_leader,
            leader: self.group.leader().map(node_of),
            controllers: configuration
                .members()
                .map(|(id, member)| (node_of(id), member.incarnation))
                .collect(),
            leader_heard: self.leader_heard,
        };
        self.shown.published = published.clone();
        self.shared.publish(published, news);
    }
}

const _: () = assert!(NODE_SILENCE.as_millis() > ELECTION_TIMEOUT.as_millis());
