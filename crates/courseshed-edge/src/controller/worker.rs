//! The thread that drives the replica of the controllers' log.
//!
//! It takes in all that came while it wrote, then writes once. Invariant: what is answered as
//! committed was applied here under the term in which it was proposed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use courseshed_consensus::{
    GroupOutputs, LogIndex, Message, MessageBody, ProposeError, ReadId, ReplicaAddress, RoleChange,
    RoleName, Term,
};
use courseshed_registry::{Command, CommitFreshness, Outcome};
use courseshed_types::NodeId;
use tokio::sync::oneshot;

use super::handle::{FRESH_LIMIT, Input, Published, Reading, Shared};
use super::housekeeping::{Housekeeper, INTERVAL, replicas_wanted};
use super::quotas::OwnedQuotas;
use super::replica::{Group, ReplicaFailure, WorkerOptions};
use crate::peers::Peers;
use crate::protocol::{PeerMessage, PeerPort, PeerReply, node_of};

/// Inputs taken in before one write.
const BATCH: usize = 256;

/// What was shown last, which a replica that is opened again never falls behind.
#[derive(Clone, Default)]
pub(super) struct Shown {
    published: Published,
    applied: LogIndex,
}

impl Shown {
    /// The same state, of a controller that hears no leader.
    pub(super) fn without_leader(&self) -> Published {
        Published {
            is_leader: false,
            leader: None,
            ..self.published.clone()
        }
    }
}

pub(super) struct Worker {
    pub(super) group: Group,
    pub(super) address: ReplicaAddress,
    pub(super) shared: Arc<Shared>,
    pub(super) peers: Arc<Peers>,
    pub(super) options: WorkerOptions,
    proposals: BTreeMap<LogIndex, (Term, Option<oneshot::Sender<PeerReply>>)>,
    reads: BTreeMap<ReadId, (Reading, oneshot::Sender<PeerReply>)>,
    pub(super) housekeeper: Option<Housekeeper>,
    /// The owner of tenants' permits, while this controller leads.
    pub(super) quota: Option<OwnedQuotas>,
    next_housekeeping: Duration,
    freshness: CommitFreshness,
    /// Since when this replica lacks what it was told to be committed, once that was said in the log.
    behind_since: Option<Duration>,
    pub(super) shown: Shown,
    has_news: bool,
}

impl Worker {
    pub(super) fn new(
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
            quota: None,
            next_housekeeping: Duration::ZERO,
            freshness: CommitFreshness::default(),
            behind_since: None,
            shown,
            has_news: true,
        };
        worker.publish();
        worker
    }

    /// Runs until the replica fails; none when the process ends.
    pub(super) fn run(&mut self, inputs: &Receiver<Input>) -> Option<ReplicaFailure> {
        loop {
            // First of all what the disk held, which serves before anyone is heard.
            self.group.tick(self.now());
            self.keep_house();
            let outputs = self.group.take_outputs();
            self.carry_out(outputs);
            self.note_applied();
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

    pub(super) fn now(&self) -> Duration {
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
            Input::Read { wanted, reply } => self.read(wanted, reply),
            Input::Join { address, reply } => {
                let answer = self.join(address);
                let _ = reply.send(answer);
            }
            Input::CaughtUp(caught_up) => {
                if let Some(housekeeper) = &mut self.housekeeper {
                    housekeeper.note_caught_up(caught_up);
                    self.next_housekeeping = Duration::ZERO;
                }
            }
            Input::Heard { servers, nodes } => self.on_heard(servers, nodes),
            Input::Quota {
                gateway,
                report,
                reply,
            } => self.on_quota(gateway, report, reply),
            Input::HandOver => self.hand_over(),
        }
    }

    fn on_consensus(&mut self, message: Message) {
        let now = self.now();
        let from = node_of(message.from.replica);
        if let MessageBody::Append { commit, .. } = message.body
            && message.term >= self.group.term()
        {
            self.freshness.note_committed(now, commit);
        }
        if let Some(housekeeper) = &mut self.housekeeper {
            housekeeper.liveness.heard_node(now, from);
        }
        self.group.handle(now, message);
    }

    /// Follows how new the state is, and says when it falls behind what is committed.
    fn note_applied(&mut self) {
        let now = self.now();
        let applied = self.group.peer().applied_index();
        self.freshness.note_applied(applied);
        // One that never was current has been behind since the clock started, with the process.
        let current = self.freshness.current_as_of().unwrap_or(Duration::ZERO);
        let lacked = self.freshness.lacked();
        let is_behind = lacked.is_some() && now.saturating_sub(current) > FRESH_LIMIT;
        match (self.behind_since, is_behind, lacked) {
            (None, true, Some(lacked)) => {
                self.behind_since = Some(current);
                log::warn!(event = "replica_behind", applied = applied.0, committed = lacked.0; "this controller lacks what was committed a while ago");
            }
            (Some(since), false, _) => {
                self.behind_since = None;
                let behind_ms = now.saturating_sub(since).as_millis() as u64;
                log::info!(event = "replica_caught_up", applied = applied.0, behind_ms; "this controller has all that is committed again");
            }
            _ => {}
        }
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

    pub(super) fn not_leader(&self) -> PeerReply {
        PeerReply::NotLeader(self.group.leader().map(node_of))
    }

    pub(super) fn submit(&mut self, command: Command, reply: Option<oneshot::Sender<PeerReply>>) {
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
                    _ => PeerReply::OutcomeUnknown,
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
        let too_few = is_known && left <= replicas_wanted(self.options.losses.disks);
        too_few.then_some(PeerReply::Committed(Outcome::TooFew))
    }

    fn read(&mut self, wanted: Reading, reply: oneshot::Sender<PeerReply>) {
        match self.group.read_barrier(self.now()) {
            Ok(id) => {
                self.reads.insert(id, (wanted, reply));
            }
            Err(_) => {
                let _ = reply.send(self.not_leader());
            }
        }
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
        self.keep_quotas();
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
            self.note_bounds(applied.output.as_ref());
            if let Some((term, reply)) = self.proposals.remove(&applied.index) {
                let committed = (term == applied.term)
                    .then_some(applied.output)
                    .flatten()
                    .map(PeerReply::Committed);
                if let Some(reply) = reply {
                    let _ = reply.send(committed.unwrap_or(PeerReply::OutcomeUnknown));
                }
            }
        }
        if outputs.installed.is_some() {
            self.has_news = true;
        }
        for read in outputs.reads {
            if let Some((wanted, reply)) = self.reads.remove(&read.id) {
                let routing = self.group.machine().routing();
                let _ = reply.send(match wanted {
                    Reading::Routing => PeerReply::Routing(routing.cloned()),
                    Reading::RoutingVersion => {
                        PeerReply::RoutingVersion(routing.map(|routing| routing.table.version))
                    }
                });
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
                let _ = reply.send(PeerReply::OutcomeUnknown);
            }
        }
        for (_, (_, reply)) in std::mem::take(&mut self.reads) {
            let _ = reply.send(PeerReply::OutcomeUnknown);
        }
        if self.quota.take().is_some() {
            self.options.metrics.clear_permits();
        }
        self.housekeeper = (change.role == RoleName::Leader).then(|| {
            Housekeeper::new(
                self.options.server_silence,
                self.options.losses.clone(),
                self.now(),
            )
        });
    }

    fn publish(&mut self) {
        let is_leader = self.group.is_leader();
        let configuration = self.group.peer().configuration();
        let now = self.now();
        let applied = self.group.peer().applied_index();
        let has_lease = is_leader && self.group.lease_valid(now);
        if has_lease {
            self.freshness.note_committed(now, applied);
        }
        let news = std::mem::take(&mut self.has_news);
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
            current_as_of: self.freshness.current_as_of(),
        };
        self.shown.published = published.clone();
        if has_lease {
            // All that this leader said was committed has been applied, and is shown.
            let routing = published.state.routing();
            let version = routing.map(|routing| routing.table.version);
            self.shared.note_confirmed(now, version);
        }
        self.shared.publish(published, news);
    }
}
