//! What the rest of the process may ask of its controller.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::{Message, ReplicaAddress};
use courseshed_quota::QuotaReport;
use courseshed_records::CaughtUp;
use courseshed_registry::{
    Command, Confirmations, FleetState, FleetUpdate, Known, LoadBoard, LoadReport, Outcome,
    Registration, Retirement, RoutingInForce, RoutingProof, ServerState,
};
use courseshed_routing::{RecentTables, VersionedTable};
use courseshed_types::{NodeId, ZoneMap};
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep};

use crate::clock::Clock;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerPort, PeerReply, PeerRequest};

/// How long a caller waits before it is told that nothing is certain. Callers try another controller
/// after a second of silence.
const SUBMIT_LIMIT: Duration = Duration::from_millis(900);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A controller whose state is older than this may not say that nothing is new.
pub(super) const FRESH_LIMIT: Duration = Duration::from_millis(600);

/// Why a controller can't do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ControlError {
    /// It may have been done, or not: ask again, here or elsewhere.
    #[snafu(display("not certain; ask again"))]
    OutcomeUnknown,
    /// No machine of that name is known.
    #[snafu(display("no machine of that name is known"))]
    UnknownMachine,
    /// No zone of that name is known.
    #[snafu(display("no zone of that name is known"))]
    UnknownZone,
    /// Too few machines would remain.
    #[snafu(display("too few machines would remain"))]
    TooFew,
    /// There is no routing table yet.
    #[snafu(display("no routing table was accepted yet"))]
    NoRouting,
}

/// What the worker shows of the replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Published {
    pub state: Arc<FleetState>,
    pub incarnation: u64,
    pub is_voter: bool,
    pub is_leader: bool,
    pub leader: Option<NodeId>,
    /// The controllers, with the lives of their disks.
    pub controllers: BTreeMap<NodeId, u64>,
    /// Up to when the state holds all that was committed; none if that was never known.
    pub current_as_of: Option<Duration>,
}

/// What is read of the state once a quorum has confirmed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reading {
    /// The routing table.
    Routing,
    /// Its version alone.
    RoutingVersion,
}

/// What the worker is told.
pub(crate) enum Input {
    Consensus(Message),
    Submit {
        command: Command,
        reply: oneshot::Sender<PeerReply>,
    },
    Read {
        wanted: Reading,
        reply: oneshot::Sender<PeerReply>,
    },
    Join {
        address: ReplicaAddress,
        reply: oneshot::Sender<PeerReply>,
    },
    CaughtUp(Vec<CaughtUp>),
    Heard {
        servers: Vec<String>,
        nodes: Vec<NodeId>,
    },
    /// A gateway's use of tenants' permits.
    Quota {
        gateway: NodeId,
        report: QuotaReport,
        reply: oneshot::Sender<PeerReply>,
    },
    HandOver,
}

/// What the threads and tasks of a controller share.
pub(crate) struct Shared {
    node: NodeId,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    receiver: Mutex<Option<mpsc::Receiver<Input>>>,
    peers: Mutex<Option<Arc<Peers>>>,
    published: watch::Sender<Published>,
    heard: Mutex<Heard>,
    load: Mutex<LoadBoard>,
    confirmations: Mutex<Confirmations>,
    tables: Mutex<RecentTables>,
}

#[derive(Default)]
pub(super) struct Heard {
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
            heard: Mutex::default(),
            load: Mutex::default(),
            confirmations: Mutex::default(),
            tables: Mutex::default(),
        }
    }

    /// Notes that a version of the routing table was the newest at a time or later.
    pub(crate) fn note_confirmed(&self, at: Duration, version: Option<u64>) {
        self.confirmations.lock().note(at, version);
    }

    /// What is certain of a state's routing table, for a question that arrived at a time.
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

    pub(crate) fn tell(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    pub(crate) fn published(&self) -> Published {
        self.published.borrow().clone()
    }

    /// The state that is shown now.
    pub(crate) fn state(&self) -> Arc<FleetState> {
        self.published.borrow().state.clone()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Published> {
        self.published.subscribe()
    }

    /// What a follower lacks of a state.
    pub(crate) fn update_for(&self, state: &FleetState, known: Known) -> FleetUpdate {
        let mut update = state.update_for(known);
        if known.takes_parts {
            update.table_part = self.tables.lock().part_for(known.routing, known.parts);
        }
        update
    }

    pub(crate) fn publish(&self, published: Published, is_news: bool) {
        if let Some(routing) = published.state.routing() {
            self.tables.lock().push(&routing.table);
        }
        self.published.send_if_modified(|held| {
            *held = published;
            is_news
        });
    }

    /// Whether the state holds all that was committed until lately, so that its lack of news is one.
    ///
    /// It isn't enough to have heard the leader: a controller that returns from behind a cut hears it at once, and
    /// would keep its followers from what it lacks itself.
    pub(crate) fn is_fresh(&self) -> bool {
        let published = self.published.borrow();
        let age = published
            .current_as_of
            .map(|at| self.clock.now().saturating_sub(at));
        published.leader.is_some() && age.is_some_and(|age| age < FRESH_LIMIT)
    }

    pub(crate) fn hear_node(&self, node: NodeId) {
        self.heard.lock().nodes.insert(node);
    }

    pub(crate) fn hear_server(&self, id: String) {
        self.heard.lock().servers.insert(id);
    }

    /// Takes in a gateway's calls, and returns those of all others.
    pub(crate) fn exchange_load(&self, gateway: NodeId, report: LoadReport) -> LoadReport {
        let now = self.clock.now();
        let mut board = self.load.lock();
        board.note_gateway(now, gateway, report);
        board.all_but(now, gateway)
    }

    /// Takes in the calls of the gateways that follow another controller.
    pub(crate) fn note_controller_load(&self, controller: NodeId, report: LoadReport) {
        let now = self.clock.now();
        self.load.lock().note_controller(now, controller, report);
    }

    pub(super) fn load_of_own_gateways(&self) -> LoadReport {
        let now = self.clock.now();
        let mut board = self.load.lock();
        board.forget_old(now);
        board.own_gateways(now)
    }

    pub(super) fn take_heard(&self) -> Heard {
        std::mem::take(&mut *self.heard.lock())
    }
}

/// A controller, for servers and operators.
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

    /// Takes an announcement of a server. Only what is new is committed.
    ///
    /// # Errors
    /// [`ControlError::OutcomeUnknown`] when what is new could not be committed in time.
    pub async fn announce(&self, registration: Registration) -> Result<(), ControlError> {
        let id = registration.server.id.clone();
        let state = self.shared.published().state;
        if !state.is_ordinary(&registration) {
            let is_leaving = registration.server.state == ServerState::Draining;
            let result = self.submit(Command::Announce(registration)).await;
            log::info!(event = "server_announced", server = id.as_str(), is_leaving, committed = result.is_ok(); "a server said something new");
            result?;
        }
        self.shared.hear_server(id);
        Ok(())
    }

    /// Takes that a server leaves.
    ///
    /// # Errors
    /// [`ControlError::OutcomeUnknown`] when it could not be committed in time.
    pub async fn leave(&self, server: String) -> Result<(), ControlError> {
        let id = server.clone();
        let result = self.submit(Command::Leave { server }).await;
        log::info!(event = "server_left", server = id.as_str(), committed = result.is_ok(); "a server left");
        result.map(|_| ())
    }

    /// Keeps all new work from the servers of a zone, or lets it go there again. Once this is committed,
    /// gateways that hear a controller learn of it like of a routing table, within a round between zones.
    ///
    /// # Errors
    /// [`ControlError::UnknownZone`], or [`ControlError::OutcomeUnknown`] when it could not be committed in time.
    pub async fn evacuate(&self, zone: &str, is_evacuated: bool) -> Result<(), ControlError> {
        if !self.zones.is_empty() && !self.zones.contains(zone) {
            return Err(ControlError::UnknownZone);
        }
        let command = Command::Evacuate {
            zone: zone.to_owned(),
            is_evacuated,
        };
        let result = self.submit(command).await;
        log::info!(event = "evacuation", zone, is_evacuated, committed = result.is_ok(); "an operator evacuates a zone or takes it back");
        result
    }

    /// Puts a checked routing table in force, unless a higher version is.
    ///
    /// # Errors
    /// [`ControlError::OutcomeUnknown`] when it could not be committed in time.
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
    /// [`ControlError`]: refused, or not certain.
    pub async fn submit(&self, command: Command) -> Result<(), ControlError> {
        let make = || PeerRequest::Submit(command.clone());
        match self.ask_leader(make).await? {
            PeerReply::Committed(Outcome::Done) => Ok(()),
            PeerReply::Committed(Outcome::UnknownMachine) => Err(ControlError::UnknownMachine),
            PeerReply::Committed(Outcome::TooFew) => Err(ControlError::TooFew),
            _ => Err(ControlError::OutcomeUnknown),
        }
    }

    /// The routing table in force, confirmed by a quorum.
    ///
    /// # Errors
    /// [`ControlError::OutcomeUnknown`] when that can't be known, [`ControlError::NoRouting`] before the first.
    pub async fn routing(&self) -> Result<RoutingInForce, ControlError> {
        match self.ask_leader(|| PeerRequest::ReadRouting).await? {
            PeerReply::Routing(routing) => routing.ok_or(ControlError::NoRouting),
            _ => Err(ControlError::OutcomeUnknown),
        }
    }

    /// How far the emptying of a machine is, as far as this controller knows.
    ///
    /// # Errors
    /// [`ControlError::UnknownMachine`] when no emptying of it was asked for, [`ControlError::OutcomeUnknown`] when this
    /// controller may lack that it was.
    pub fn retirement(&self, name: &str) -> Result<Retirement, ControlError> {
        match self.shared.state().retirement(name) {
            Some(retirement) => Ok(retirement),
            None if self.shared.is_fresh() => Err(ControlError::UnknownMachine),
            None => Err(ControlError::OutcomeUnknown),
        }
    }

    /// Whether this controller leads, or has all that the leader had committed until lately.
    #[must_use]
    pub fn hears_a_leader(&self) -> bool {
        self.shared.is_fresh()
    }

    /// Hands leadership over, before a planned stop.
    pub fn hand_over(&self) {
        self.shared.tell(Input::HandOver);
    }

    async fn ask_leader(&self, make: impl Fn() -> PeerRequest) -> Result<PeerReply, ControlError> {
        let deadline = Instant::now() + SUBMIT_LIMIT;
        let mut hint = None;
        loop {
            let published = self.shared.published();
            let leader = hint.take().or(published.leader);
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ControlError::OutcomeUnknown);
            }
            let reply = match leader {
                Some(leader) => self.ask(leader, make(), left).await,
                None => None,
            };
            match reply {
                Some(PeerReply::NotLeader(other)) => hint = other,
                Some(PeerReply::OutcomeUnknown) | None => {}
                Some(reply) => return Ok(reply),
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn ask(
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
