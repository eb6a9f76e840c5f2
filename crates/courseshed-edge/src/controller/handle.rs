//! The handle to a controller, and the state shared by its threads and tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::{Message, ReplicaAddress};
use courseshed_quota::QuotaReport;
use courseshed_records::CaughtUp;
use courseshed_registry::{
    ActiveRouting, Command, Confirmations, FleetState, FleetUpdate, FollowerRevisions,
    LoadAggregator, LoadReport, Outcome, Registration, Retirement, RoutingProof, ServerState,
    SuspectReport, SuspectVerdict,
};
use courseshed_routing::{RecentTables, VersionedTable};
use courseshed_types::{NodeId, ZoneMap};
use courseshed_warmup::WarmupReport;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep};

use super::suspects::SuspectBoard;
use crate::clock::Clock;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest};

/// Timeout of requests to the leader. Below the 1 s after which clients try another controller.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Age of the state up to which a controller counts as up to date.
pub(super) const MAX_STATE_AGE: Duration = Duration::from_millis(600);

/// Errors of requests to a controller.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ControlError {
    /// The outcome is unknown; the request may be retried on any controller.
    #[snafu(display("not certain; ask again"))]
    OutcomeUnknown,
    /// No machine has that name.
    #[snafu(display("no machine of that name is known"))]
    UnknownMachine,
    /// No zone has that name.
    #[snafu(display("no zone of that name is known"))]
    UnknownZone,
    /// Too few machines would remain for the configured replication.
    #[snafu(display("too few machines would remain"))]
    TooFew,
    /// No routing table was set yet.
    #[snafu(display("no routing table was accepted yet"))]
    NoRouting,
}

/// The state of the replica as published by the worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Published {
    pub state: Arc<FleetState>,
    pub incarnation: u64,
    pub is_voter: bool,
    pub is_leader: bool,
    pub leader: Option<NodeId>,
    /// The controllers with the incarnations of their disks.
    pub controllers: BTreeMap<NodeId, u64>,
    /// Time up to which the state is known to be complete; none if it never was.
    pub current_as_of: Option<Duration>,
}

/// The kinds of linearizable reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadKind {
    /// The routing table.
    Routing,
    /// The version of the routing table.
    RoutingVersion,
}

/// Inputs of the worker.
pub(crate) enum Input {
    Consensus(Message),
    Submit {
        command: Command,
        reply: oneshot::Sender<PeerReply>,
    },
    Read {
        kind: ReadKind,
        reply: oneshot::Sender<PeerReply>,
    },
    Join {
        address: ReplicaAddress,
        reply: oneshot::Sender<PeerReply>,
    },
    CaughtUp(Vec<CaughtUp>),
    Heartbeats {
        servers: Vec<String>,
        nodes: Vec<NodeId>,
    },
    /// A gateway's use of tenants' permits.
    Quota {
        gateway: NodeId,
        report: QuotaReport,
        reply: oneshot::Sender<PeerReply>,
    },
    /// A gateway's use of the permits of servers that are warming up.
    Warmup {
        gateway: NodeId,
        report: WarmupReport,
        reply: oneshot::Sender<PeerReply>,
    },
    TransferLeadership,
}

/// State shared by the threads and tasks of a controller.
pub(crate) struct Shared {
    node: NodeId,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    receiver: Mutex<Option<mpsc::Receiver<Input>>>,
    peers: Mutex<Option<Arc<Peers>>>,
    published: watch::Sender<Published>,
    heartbeats: Mutex<Heartbeats>,
    load: Mutex<LoadAggregator>,
    confirmations: Mutex<Confirmations>,
    tables: Mutex<RecentTables>,
    suspects: SuspectBoard,
}

#[derive(Default)]
pub(super) struct Heartbeats {
    pub(super) servers: BTreeSet<String>,
    pub(super) nodes: BTreeSet<NodeId>,
}

impl Shared {
    pub(crate) fn new(node: NodeId, clock: Clock) -> Self {
        let (inputs, receiver) = mpsc::channel();
        Self {
            node,
            clock,
            inputs,
            receiver: Mutex::new(Some(receiver)),
            peers: Mutex::new(None),
            published: watch::channel(Published::default()).0,
            heartbeats: Mutex::default(),
            load: Mutex::default(),
            confirmations: Mutex::default(),
            tables: Mutex::default(),
            suspects: SuspectBoard::new(clock),
        }
    }

    /// Records that a version of the routing table was the newest at `at` or later.
    pub(crate) fn record_confirmed(&self, at: Duration, version: Option<u64>) {
        self.confirmations.lock().record(at, version);
    }

    /// The proof for a state's routing table, for a request that arrived at `arrived`.
    pub(crate) fn proof_of(&self, state: &FleetState, arrived: Duration) -> Option<RoutingProof> {
        let held = state.routing().map(|routing| routing.table.version);
        self.confirmations.lock().proof(held, arrived)
    }

    pub(crate) fn node(&self) -> NodeId {
        self.node
    }

    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    pub(crate) fn peers(&self) -> Option<Arc<Peers>> {
        self.peers.lock().clone()
    }

    pub(crate) fn set_peers(&self, peers: Arc<Peers>) {
        *self.peers.lock() = Some(peers);
    }

    pub(crate) fn take_receiver(&self) -> Option<mpsc::Receiver<Input>> {
        self.receiver.lock().take()
    }

    pub(crate) fn send_input(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    pub(crate) fn published(&self) -> Published {
        self.published.borrow().clone()
    }

    /// The published state.
    pub(crate) fn state(&self) -> Arc<FleetState> {
        self.published.borrow().state.clone()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Published> {
        self.published.subscribe()
    }

    /// Changes from a follower's known state to `state`.
    pub(crate) fn update_for(&self, state: &FleetState, known: FollowerRevisions) -> FleetUpdate {
        let mut update = state.update_for(known);
        if known.takes_parts {
            update.table_part = self.tables.lock().part_for(known.routing, known.parts);
        }
        if let Some(known) = known.suspects {
            let (revision, changes) = self.suspects.changes_since(known);
            update.known.suspects = Some(revision);
            update.suspects = changes;
        }
        update
    }

    /// The suspect requests known to this controller.
    pub(super) fn suspects(&self) -> &SuspectBoard {
        &self.suspects
    }

    /// Records reports of a gateway and passes them on to the other controllers. Returns what is known of the last
    /// one.
    pub(super) fn record_suspects(&self, reports: &[SuspectReport]) -> Option<SuspectVerdict> {
        let (verdict, permitted) = self.suspects.record(reports);
        self.relay_suspects(&permitted);
        verdict
    }

    /// Passes reports on suspect requests to the other controllers.
    pub(super) fn relay_suspects(&self, reports: &[SuspectReport]) {
        let others = self.published().controllers.into_keys();
        for controller in others.filter(|node| *node != self.node) {
            let message = PeerMessage::Heartbeats {
                servers: Vec::new(),
                nodes: Vec::new(),
                suspects: reports.to_vec(),
            };
            if let Some(peers) = self.peers()
                && let Err(error) = peers.send(controller, message)
            {
                log::info!(event = "suspects_not_relayed", controller:% = controller; "reports on suspect requests were not passed on: {error}");
            }
        }
    }

    pub(crate) fn publish(&self, published: Published, has_changes: bool) {
        if let Some(routing) = published.state.routing() {
            self.tables.lock().push(&routing.table);
        }
        self.published.send_if_modified(|held| {
            *held = published;
            has_changes
        });
    }

    /// Whether the state contains everything committed until [`MAX_STATE_AGE`] ago.
    ///
    /// Contact with the leader is not sufficient: after a network partition a controller hears the leader before it
    /// has caught up.
    pub(crate) fn is_fresh(&self) -> bool {
        let published = self.published.borrow();
        let age = published
            .current_as_of
            .map(|at| self.clock.now().saturating_sub(at));
        published.leader.is_some() && age.is_some_and(|age| age < MAX_STATE_AGE)
    }

    pub(crate) fn record_node_heartbeat(&self, node: NodeId) {
        self.heartbeats.lock().nodes.insert(node);
    }

    pub(crate) fn record_server_heartbeat(&self, id: String) {
        self.heartbeats.lock().servers.insert(id);
    }

    /// Records a gateway's load and returns that of all others.
    pub(crate) fn exchange_load(&self, gateway: NodeId, report: LoadReport) -> LoadReport {
        let now = self.clock.now();
        let mut board = self.load.lock();
        board.record_gateway(now, gateway, report);
        board.sum_excluding(now, gateway)
    }

    /// Records the load of gateways that follow another controller.
    pub(crate) fn record_controller_load(&self, controller: NodeId, report: LoadReport) {
        let now = self.clock.now();
        self.load.lock().record_controller(now, controller, report);
    }

    pub(super) fn own_gateways_load(&self) -> LoadReport {
        let now = self.clock.now();
        let mut board = self.load.lock();
        board.remove_expired(now);
        board.own_gateways(now)
    }

    pub(super) fn take_heartbeats(&self) -> Heartbeats {
        std::mem::take(&mut *self.heartbeats.lock())
    }
}

/// Handle to a controller, for requests of servers and operators.
#[derive(Clone)]
pub struct ControllerHandle {
    shared: Arc<Shared>,
    addresses: PeerAddresses,
    zones: Arc<ZoneMap>,
}

impl ControllerHandle {
    pub(super) fn new(shared: Arc<Shared>, addresses: PeerAddresses, zones: Arc<ZoneMap>) -> Self {
        Self {
            shared,
            addresses,
            zones,
        }
    }

    /// Handles a heartbeat of a server. Commits a command only if the registration changed.
    ///
    /// # Errors
    /// Returns [`ControlError::OutcomeUnknown`] if a change could not be committed in time.
    pub async fn announce(&self, registration: Registration) -> Result<(), ControlError> {
        let id = registration.server.id.clone();
        let state = self.shared.published().state;
        if !state.is_redundant(&registration) {
            let is_leaving = registration.server.state == ServerState::Draining;
            let result = self.submit(Command::Announce(registration)).await;
            log::info!(event = "server_announced", server = id.as_str(), is_leaving, committed = result.is_ok(); "a server registered or changed its registration");
            result?;
        }
        self.shared.record_server_heartbeat(id);
        Ok(())
    }

    /// Removes a server that leaves.
    ///
    /// # Errors
    /// Returns [`ControlError::OutcomeUnknown`] if this could not be committed in time.
    pub async fn leave(&self, server: String) -> Result<(), ControlError> {
        let id = server.clone();
        let result = self.submit(Command::Leave { server }).await;
        log::info!(event = "server_left", server = id.as_str(), committed = result.is_ok(); "a server deregistered");
        result.map(|_| ())
    }

    /// Starts or ends the evacuation of a zone, whose servers receive no new calls meanwhile. Connected gateways
    /// learn of it within a round trip after it is committed.
    ///
    /// # Errors
    /// Returns [`ControlError::UnknownZone`], or [`ControlError::OutcomeUnknown`] if it could not be committed in time.
    pub async fn evacuate(&self, zone: &str, is_evacuated: bool) -> Result<(), ControlError> {
        if !self.zones.is_empty() && !self.zones.contains(zone) {
            return Err(ControlError::UnknownZone);
        }
        let command = Command::Evacuate {
            zone: zone.to_owned(),
            is_evacuated,
            marks_unverified: true,
        };
        let result = self.submit(command).await;
        log::info!(event = "evacuation", zone, is_evacuated, committed = result.is_ok(); "an operator started or ended the evacuation of a zone");
        result
    }

    /// Replaces the routing table by a validated one, unless a higher version is in force.
    ///
    /// # Errors
    /// Returns [`ControlError::OutcomeUnknown`] if it could not be committed in time.
    pub async fn replace_routing(
        &self,
        table: VersionedTable,
        document: Bytes,
    ) -> Result<(), ControlError> {
        let version = table.version;
        let result = self
            .submit(Command::ReplaceRouting { table, document })
            .await;
        log::info!(event = "routing_replaced", version, committed = result.is_ok(); "an operator replaced the routing table");
        result
    }

    /// Commits a command.
    ///
    /// # Errors
    /// Returns [`ControlError`] if the command was rejected or its outcome is unknown.
    pub async fn submit(&self, command: Command) -> Result<(), ControlError> {
        let make_request = || PeerRequest::Submit(command.clone());
        match self.ask_leader(make_request).await? {
            PeerReply::Committed(Outcome::Done) => Ok(()),
            PeerReply::Committed(Outcome::UnknownMachine) => Err(ControlError::UnknownMachine),
            PeerReply::Committed(Outcome::TooFewStores) => Err(ControlError::TooFew),
            _ => Err(ControlError::OutcomeUnknown),
        }
    }

    /// Reads the routing table in force, confirmed by a quorum.
    ///
    /// # Errors
    /// Returns [`ControlError::OutcomeUnknown`] if no quorum confirmed it, [`ControlError::NoRouting`] if none was set yet.
    pub async fn routing(&self) -> Result<ActiveRouting, ControlError> {
        match self.ask_leader(|| PeerRequest::ReadRouting).await? {
            PeerReply::Routing(routing) => routing.ok_or(ControlError::NoRouting),
            _ => Err(ControlError::OutcomeUnknown),
        }
    }

    /// The progress of a machine's retirement, as known to this controller.
    ///
    /// # Errors
    /// Returns [`ControlError::UnknownMachine`] if no retirement was started, [`ControlError::OutcomeUnknown`] if this
    /// controller is not up to date.
    pub fn retirement(&self, name: &str) -> Result<Retirement, ControlError> {
        match self.shared.state().retirement(name) {
            Some(retirement) => Ok(retirement),
            None if self.shared.is_fresh() => Err(ControlError::UnknownMachine),
            None => Err(ControlError::OutcomeUnknown),
        }
    }

    /// Whether this controller's state is up to date with a leader.
    #[must_use]
    pub fn is_up_to_date(&self) -> bool {
        self.shared.is_fresh()
    }

    /// Whether this controller leads the group, as far as it knows.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.shared.published().is_leader
    }

    /// Transfers leadership to another controller, before a shutdown.
    pub fn hand_over(&self) {
        self.shared.send_input(Input::TransferLeadership);
    }

    async fn ask_leader(
        &self,
        make_request: impl Fn() -> PeerRequest,
    ) -> Result<PeerReply, ControlError> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut hint = None;
        loop {
            let published = self.shared.published();
            let leader = hint.take().or(published.leader);
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ControlError::OutcomeUnknown);
            }
            let reply = match leader {
                Some(leader) => self.request(leader, make_request(), left).await,
                None => None,
            };
            match reply {
                Some(PeerReply::NotLeader(other)) => hint = other,
                Some(PeerReply::OutcomeUnknown) | None => {}
                Some(reply) => return Ok(reply),
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn request(
        &self,
        leader: NodeId,
        request: PeerRequest,
        limit: Duration,
    ) -> Option<PeerReply> {
        let peers = self.shared.peers()?;
        let address = self.addresses.of(leader, PeerPort::Controller);
        peers.set_address(leader, address);
        peers.request(leader, request, limit).await.ok()
    }
}
