//! The thread that drives the replica of the controllers' log.
//!
//! It batches the inputs that arrive during a write into the next one. Invariant: a command is answered
//! as committed only if it was applied on this replica in the term in which it was proposed.

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

use super::group_health::GroupHealth;
use super::handle::{Input, MAX_STATE_AGE, Published, ReadKind, Shared};
use super::housekeeping::{HOUSEKEEPING_INTERVAL, Housekeeper, replicas_wanted};
use super::quotas::OwnedQuotas;
use super::replica::{Group, ReplicaFailure, WorkerOptions};
use super::warmup::OwnedWarmup;
use crate::peers::Peers;
use crate::protocol::{PeerMessage, PeerPort, PeerReply, node_of};

/// Maximum number of queued inputs added to a batch, which is written once.
const MAX_BATCH: usize = 256;

/// The last published state, which is kept until a reopened replica has caught up with it.
#[derive(Clone, Default)]
pub(super) struct LastPublished {
    published: Published,
    applied: LogIndex,
}

impl LastPublished {
    /// The same state without a leader.
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
    reads: BTreeMap<ReadId, (ReadKind, oneshot::Sender<PeerReply>)>,
    pub(super) housekeeper: Option<Housekeeper>,
    /// The owner of tenants' permits, while this controller leads.
    pub(super) quota: Option<OwnedQuotas>,
    /// The owner of the permits of servers that are warming up, while this controller leads.
    pub(super) warmup: Option<OwnedWarmup>,
    /// The members of the group as last logged; empty unless this controller leads.
    pub(super) group_health: GroupHealth,
    next_housekeeping: Duration,
    freshness: CommitFreshness,
    /// Since when this replica lacks committed entries, once this was logged.
    behind_since: Option<Duration>,
    pub(super) last_published: LastPublished,
    has_changes: bool,
}

impl Worker {
    pub(super) fn new(
        group: Group,
        options: WorkerOptions,
        shared: Arc<Shared>,
        peers: Arc<Peers>,
        last_published: LastPublished,
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
            warmup: None,
            group_health: GroupHealth::default(),
            next_housekeeping: Duration::ZERO,
            freshness: CommitFreshness::default(),
            behind_since: None,
            last_published,
            has_changes: true,
        };
        worker.publish();
        worker
    }

    /// Runs until the replica fails; none if the input channel was closed.
    pub(super) fn run(&mut self, inputs: &Receiver<Input>) -> Option<ReplicaFailure> {
        loop {
            // First publish the state recovered from disk, which can be served before any peer is reached.
            self.group.tick(self.now());
            self.run_housekeeping();
            let outputs = self.group.take_outputs();
            self.process_outputs(outputs);
            self.update_freshness();
            if let Some(failure) = self.group.failure() {
                return Some(ReplicaFailure::of(failure));
            }
            self.publish();
            match inputs.recv_timeout(self.wait_timeout()) {
                Ok(first) => {
                    self.handle_input(first);
                    for input in inputs.try_iter().take(MAX_BATCH) {
                        self.handle_input(input);
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

    fn wait_timeout(&self) -> Duration {
        let mut wakeup = self.group.next_wakeup();
        if self.housekeeper.is_some() {
            wakeup = wakeup.min(self.next_housekeeping);
        }
        let longest = Duration::from_secs(1);
        wakeup.saturating_sub(self.now()).min(longest)
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Consensus(message) => self.on_consensus(message),
            Input::Submit { command, reply } => self.submit(command, Some(reply)),
            Input::Read { kind, reply } => self.read(kind, reply),
            Input::Join { address, reply } => {
                let answer = self.join(address);
                let _ = reply.send(answer);
            }
            Input::CaughtUp(caught_up) => {
                if let Some(housekeeper) = &mut self.housekeeper {
                    housekeeper.add_caught_up(caught_up);
                    self.next_housekeeping = Duration::ZERO;
                }
            }
            Input::Heartbeats { servers, nodes } => self.on_heartbeats(servers, nodes),
            Input::Quota {
                gateway,
                report,
                reply,
            } => self.on_quota(gateway, report, reply),
            Input::Warmup {
                gateway,
                report,
                reply,
            } => self.on_warmup(gateway, &report, reply),
            Input::TransferLeadership => self.transfer_leadership(),
        }
    }

    fn on_consensus(&mut self, message: Message) {
        let now = self.now();
        let from = node_of(message.from.replica);
        if let MessageBody::Append { commit, .. } = message.body
            && message.term >= self.group.term()
        {
            self.freshness.record_committed(now, commit);
        }
        if let Some(housekeeper) = &mut self.housekeeper {
            housekeeper.liveness.record_node_heartbeat(now, from);
        }
        self.group.handle(now, message);
    }

    /// Updates the freshness of the state, and logs when it falls behind or catches up.
    fn update_freshness(&mut self) {
        let now = self.now();
        let applied = self.group.peer().applied_index();
        self.freshness.record_applied(applied);
        // A replica that was never current is behind since the clock was started.
        let current = self.freshness.current_as_of().unwrap_or(Duration::ZERO);
        let lacked = self.freshness.newest_unapplied();
        let is_behind = lacked.is_some() && now.saturating_sub(current) > MAX_STATE_AGE;
        match (self.behind_since, is_behind, lacked) {
            (None, true, Some(lacked)) => {
                self.behind_since = Some(current);
                log::warn!(event = "replica_behind", applied = applied.0, committed = lacked.0; "this controller is behind the committed log");
            }
            (Some(since), false, _) => {
                self.behind_since = None;
                let behind_ms = now.saturating_sub(since).as_millis() as u64;
                log::info!(event = "replica_caught_up", applied = applied.0, behind_ms; "this controller has caught up with the committed log");
            }
            _ => {}
        }
    }

    fn on_heartbeats(&mut self, servers: Vec<String>, nodes: Vec<NodeId>) {
        let now = self.now();
        if let Some(housekeeper) = &mut self.housekeeper {
            housekeeper.liveness.record_server_heartbeats(now, servers);
            for node in nodes {
                housekeeper.liveness.record_node_heartbeat(now, node);
            }
        }
    }

    pub(super) fn not_leader(&self) -> PeerReply {
        PeerReply::NotLeader(self.group.leader().map(node_of))
    }

    pub(super) fn submit(&mut self, command: Command, reply: Option<oneshot::Sender<PeerReply>>) {
        if let Some(rejection) = self.rejection(&command) {
            if let Some(reply) = reply {
                let _ = reply.send(rejection);
            }
            return;
        }
        let data = rmp_serde::to_vec_named(&command).expect("encoding a command is infallible");
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

    /// Rejects a retirement that would leave too few stores, not counting silent ones.
    fn rejection(&self, command: &Command) -> Option<PeerReply> {
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
        let remains = |node: &&NodeId| !silent.contains(node) && !retiring.contains(node);
        let remaining = state.stores().keys().filter(remains).count();
        let is_known = state.stores().values().any(|store| store.name == *name);
        let too_few = is_known && remaining <= replicas_wanted(self.options.losses.disks);
        too_few.then_some(PeerReply::Committed(Outcome::TooFewStores))
    }

    fn read(&mut self, kind: ReadKind, reply: oneshot::Sender<PeerReply>) {
        match self.group.read_barrier(self.now()) {
            Ok(id) => {
                self.reads.insert(id, (kind, reply));
            }
            Err(_) => {
                let _ = reply.send(self.not_leader());
            }
        }
    }

    fn transfer_leadership(&mut self) {
        let status = self.group.status();
        let best = status
            .followers
            .iter()
            .filter(|follower| !follower.snapshotting)
            .max_by_key(|follower| follower.matched);
        if let Some(best) = best {
            let result = self.group.transfer_leadership(self.now(), best.replica);
            log::info!(event = "hand_over", to = best.replica.0, accepted = result.is_ok(); "transferring leadership");
        }
    }

    fn run_housekeeping(&mut self) {
        let now = self.now();
        // As soon as possible, since all permits of the servers listed by then count as granted.
        self.ensure_warmup_owner();
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        self.update_group_health();
        if !self.group.is_established() {
            return;
        }
        let Some(housekeeper) = &mut self.housekeeper else {
            return;
        };
        for command in housekeeper.due(now, self.group.machine()) {
            self.submit(command, None);
        }
        self.update_quotas();
        self.update_warmup();
    }

    fn process_outputs(&mut self, outputs: GroupOutputs<Option<Outcome>>) {
        for message in outputs.messages {
            let to = node_of(message.to);
            let address = self.options.addresses.of(to, PeerPort::Controller);
            self.peers.set_address(to, address);
            let _ = self.peers.send(to, PeerMessage::Consensus(message));
        }
        for applied in outputs.applied {
            self.has_changes = true;
            self.apply_bounds(applied.output.as_ref());
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
            self.has_changes = true;
        }
        for read in outputs.reads {
            if let Some((kind, reply)) = self.reads.remove(&read.id) {
                let routing = self.group.machine().routing();
                let _ = reply.send(match kind {
                    ReadKind::Routing => PeerReply::Routing(routing.cloned()),
                    ReadKind::RoutingVersion => {
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
        log::info!(event = "role_changed", role:? = change.role, term = change.term.0, leader = change.leader.map_or(0, |leader| leader.0), after_restart = self.group.peer().won_restart_election(); "the role of this controller changed");
        self.has_changes = true;
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
        self.warmup = None;
        self.options.metrics.set_warmup_outstanding(0);
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
            self.freshness.record_committed(now, applied);
        }
        let has_changes = std::mem::take(&mut self.has_changes);
        if has_changes && applied >= self.last_published.applied {
            self.last_published.applied = applied;
            self.last_published.published.state = Arc::new(self.group.machine().clone());
        }
        let published = Published {
            state: self.last_published.published.state.clone(),
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
        self.last_published.published = published.clone();
        if has_lease {
            // Everything that this leader reported as committed is applied and published.
            let routing = published.state.routing();
            let version = routing.map(|routing| routing.table.version);
            self.shared.record_confirmed(now, version);
        }
        self.shared.publish(published, has_changes);
    }
}
