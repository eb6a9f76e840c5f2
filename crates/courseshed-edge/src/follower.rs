//! Replicates the fleet's state to a node by long-polling one controller at a time.
//!
//! Invariant: while the process runs, the version of the routing table never decreases, whichever
//! controller answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{PartitionMap, ViewChange};
use courseshed_registry::{
    EvacuatedZones, FleetUpdate, FollowerRevisions, LatestProof, RoutingProof, ServerList,
    SuspectRequests, SuspectRevision,
};
use courseshed_routing::{TableAssembler, TransferProgress, VersionedTable};
use courseshed_types::NodeId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::clock::Clock;
use crate::followed_controllers::{ControllerOrder, FollowedControllers};
use crate::follower_order::{CandidateController, order_of_controllers};
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerPort, PeerReply, PeerRequest};

/// Longest time for which a controller holds a request when there is nothing new.
const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum number of polls within the revocation bound.
const MIN_POLLS_PER_REVOCATION: u32 = 6;
/// Time allowed for a response beyond the poll timeout. Large lists are sent in parts, so that this also
/// suffices on a shared link.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);
/// Delay of a timeout that shows that this process stood still. Delays of a busy machine are shorter.
const MIN_FREEZE: Duration = Duration::from_millis(500);
/// Controllers count as reachable for this long after a response. Covers two polls.
const CONTACT_WINDOW: Duration = Duration::from_millis(1500);
/// How often a node that does not follow its preferred controller checks whether that one is available again.
/// Without this, the load would stay unbalanced after a network partition.
const PREFERRED_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a failed or empty response.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Upper bound of the backoff while a controller has no state yet.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timeout for measuring the response times of controllers: above the round-trip time between regions, and short
/// compared with the time that a node takes to start.
const ORDERING_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a node without state polls a set of controllers before it starts over with those known by then.
const FIRST_ROUND_TIMEOUT: Duration = Duration::from_millis(1500);

/// A node's view of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The routing table in force; none before the first.
    pub routing: Option<Arc<VersionedTable>>,
    /// The servers.
    pub servers: Arc<ServerList>,
    /// The partitions of the records and their replicas.
    pub records: Arc<PartitionMap>,
    /// Zones whose servers receive no new calls.
    pub evacuated: Arc<EvacuatedZones>,
}

/// The kind of a follower, which determines what state it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerKind {
    /// A record store. Its polls also serve as heartbeats.
    Store,
    /// A gateway.
    Gateway {
        /// Bound within which a revoked key must be rejected everywhere; none if unbounded.
        revocation: Option<Duration>,
    },
}

impl FollowerKind {
    fn is_strict(self) -> bool {
        matches!(
            self,
            Self::Gateway {
                revocation: Some(_)
            }
        )
    }

    /// The initial value of `known`, which marks state that this kind does not need as known.
    fn initial_known(self) -> FollowerRevisions {
        match self {
            Self::Store => FollowerRevisions {
                servers: FollowerRevisions::EVERYTHING.servers,
                removals: FollowerRevisions::EVERYTHING.removals,
                takes_parts: true,
                ..FollowerRevisions::default()
            },
            Self::Gateway { .. } => FollowerRevisions {
                takes_parts: true,
                ..FollowerRevisions::default()
            },
        }
    }

    /// How long a controller may hold a request, so that several polls fit into the revocation bound.
    fn poll_timeout(self) -> Duration {
        match self {
            Self::Gateway {
                revocation: Some(revocation),
            } => POLL_TIMEOUT.min(revocation / MIN_POLLS_PER_REVOCATION),
            _ => POLL_TIMEOUT,
        }
    }
}

/// A time without a response of a controller, in which this node may have been stopped or cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    began_before_notice: Duration,
    noticed_at: Instant,
}

impl Absence {
    /// An absence that is noticed now, after a time since its begin.
    #[must_use]
    pub fn noticed_after(time: Duration) -> Self {
        Self {
            began_before_notice: time,
            noticed_at: Instant::now(),
        }
    }

    /// Time since its begin.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.began_before_notice + self.noticed_at.elapsed()
    }
}

/// The response of a controller.
struct ControllerResponse {
    update: FleetUpdate,
    /// Whether the controller is up to date, so that an empty update means that nothing changed.
    is_up_to_date: bool,
}

/// Keeps a [`FleetView`] up to date.
pub struct FleetFollower {
    peers: Arc<Peers>,
    addresses: PeerAddresses,
    kind: FollowerKind,
    seeds: Box<dyn Fn() -> Vec<NodeId> + Send + Sync>,
    controllers: Mutex<FollowedControllers>,
    view: watch::Sender<FleetView>,
    assembler: Mutex<TableAssembler>,
    clock: Clock,
    proof_keeper: Mutex<LatestProof>,
    /// Notified on each new proof.
    proofs: watch::Sender<()>,
    /// When a refresh was requested that no response has fulfilled yet.
    refresh_requested_at: Mutex<Option<Duration>>,
    /// Interrupts the current poll for a refresh.
    refresh_request: Notify,
    /// Notified when a refresh is complete.
    refreshes: watch::Sender<()>,
    /// Time of the last response of any controller.
    answered_at: Mutex<Option<Instant>>,
    /// Where absences are sent once they are over; none without a receiver.
    absences: Mutex<Option<UnboundedSender<Absence>>>,
    suspects: Mutex<FollowedSuspects>,
}

/// The suspect requests that a gateway knows.
#[derive(Default)]
struct FollowedSuspects {
    requests: SuspectRequests,
    /// What was received of the controller that is followed; none if it doesn't know suspects.
    revision: Option<SuspectRevision>,
}

impl FleetFollower {
    /// Creates a follower. `seeds` returns the initial controllers, and is called again when no known
    /// controller answers.
    pub fn new(
        peers: Arc<Peers>,
        addresses: PeerAddresses,
        kind: FollowerKind,
        seeds: Box<dyn Fn() -> Vec<NodeId> + Send + Sync>,
    ) -> Arc<Self> {
        Arc::new(Self {
            peers,
            addresses,
            kind,
            seeds,
            controllers: Mutex::default(),
            view: watch::channel(FleetView::default()).0,
            assembler: Mutex::default(),
            clock: Clock::start(),
            proof_keeper: Mutex::default(),
            proofs: watch::channel(()).0,
            refresh_requested_at: Mutex::new(None),
            refresh_request: Notify::new(),
            refreshes: watch::channel(()).0,
            answered_at: Mutex::new(None),
            absences: Mutex::new(None),
            suspects: Mutex::default(),
        })
    }

    /// Time since the current routing table was last proven to be in force; none if it never was.
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        let held = self.view.borrow().routing.as_ref().map(|held| held.version);
        self.proof_keeper.lock().age(self.clock.now(), held)
    }

    /// Subscribes to the view.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<FleetView> {
        self.view.subscribe()
    }

    /// Waits for the next proof of the routing table, up to a time limit.
    pub async fn wait_for_proof(&self, limit: Duration) {
        let mut proofs = self.proofs.subscribe();
        // Callers check the age of the proof, so a timeout needs no report.
        let _ = timeout(limit, proofs.changed()).await;
    }

    /// Polls a controller at once, because the state may be outdated after a freeze.
    pub fn request_refresh(&self) {
        *self.refresh_requested_at.lock() = Some(self.clock.now());
        self.refresh_request.notify_one();
    }

    /// Waits until a requested refresh is complete, up to a time limit.
    pub async fn wait_for_refresh(&self, limit: Duration) {
        let mut refreshes = self.refreshes.subscribe();
        if self.refresh_requested_at.lock().is_some() {
            // Without a controller, the state held is used.
            let _ = timeout(limit, refreshes.changed()).await;
        }
    }

    /// Completes a requested refresh if `asked_at`, when the answered poll was sent, is later.
    fn complete_refresh(&self, asked_at: Duration) {
        let mut requested_at = self.refresh_requested_at.lock();
        if requested_at.is_some_and(|requested_at| requested_at <= asked_at) {
            *requested_at = None;
            self.refreshes.send_replace(());
        }
    }

    /// Passes the suspect requests known to this node to `use_them`.
    pub fn with_suspects<R>(
        &self,
        use_them: impl FnOnce(&mut SuspectRequests, Duration) -> R,
    ) -> R {
        use_them(&mut self.suspects.lock().requests, self.clock.now())
    }

    /// Whether the controller that is followed takes reports on suspect requests.
    #[must_use]
    pub fn reports_suspects(&self) -> bool {
        self.suspects.lock().revision.is_some()
    }

    /// Applies changes of suspect requests. A controller that has just started is told what is known here.
    fn follow_suspects(&self, controller: NodeId, update: &mut FleetUpdate) {
        let changes = update.suspects.take();
        let received = update.known.suspects;
        let now = self.clock.now();
        let mut followed = self.suspects.lock();
        let before = std::mem::replace(&mut followed.revision, received);
        let is_new_source = before.map(|before| before.source) != received.map(|now| now.source);
        if is_new_source && received.is_some() && !followed.requests.is_empty() {
            let reports = followed.requests.reports(now, Duration::MAX);
            let peers = self.peers.clone();
            tokio::spawn(async move {
                let request = PeerRequest::Suspects(reports);
                if let Err(error) = peers.request(controller, request, RESPONSE_MARGIN).await {
                    log::info!(event = "suspects_not_reported", controller:% = controller; "a controller was not told the suspect requests known here: {error}");
                }
            });
        }
        if let Some(changes) = changes {
            followed.requests.apply(now, changes);
        }
        followed.requests.expire(now);
    }

    /// Whether a controller answered recently. If so, state missing here is missing at all gateways.
    #[must_use]
    pub fn has_controller_contact(&self) -> bool {
        let answered_at = *self.answered_at.lock();
        answered_at.is_some_and(|at| at.elapsed() < CONTACT_WINDOW)
    }

    /// The absences of this node from now on, each once it is over.
    #[must_use]
    pub fn absences(&self) -> UnboundedReceiver<Absence> {
        let (sender, receiver) = unbounded_channel();
        *self.absences.lock() = Some(sender);
        receiver
    }

    /// Records a response, which ends an absence if the one before was long ago.
    fn record_response(&self) {
        let before = self.answered_at.lock().replace(Instant::now());
        let Some(silence) = before
            .map(|at| at.elapsed())
            .filter(|it| *it >= CONTACT_WINDOW)
        else {
            return;
        };
        if let Some(absences) = &*self.absences.lock() {
            let absence = Absence::noticed_after(silence);
            if let Err(error) = absences.send(absence) {
                log::warn!(event = "absence_ignored"; "nobody waits for absences any more: {error}");
            }
        }
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> FleetView {
        self.view.borrow().clone()
    }

    /// Returns the known controllers, starting with the one that answered last.
    #[must_use]
    pub fn controllers(&self) -> Vec<NodeId> {
        let nodes = self.controllers.lock().all(&self.seeds);
        for node in &nodes {
            let address = self.addresses.of(*node, PeerPort::Controller);
            self.peers.set_address(*node, address);
        }
        nodes
    }

    /// Polls controllers indefinitely.
    pub async fn run(self: Arc<Self>) {
        let mut known = self.load_initial_state().await;
        let mut failures = 0;
        let mut next_check = Instant::now() + jittered_check_interval();
        loop {
            if next_check <= Instant::now() {
                next_check = Instant::now() + jittered_check_interval();
                let is_preferred = self.controllers.lock().follows_preferred();
                if !is_preferred {
                    self.order_controllers().await;
                }
            }
            let controllers = self.controllers();
            let Some(controller) = controllers.first().copied() else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let asked_at = self.clock.now();
            let polled = tokio::select! {
                polled = self.poll(controller, known) => polled,
                () = self.refresh_request.notified() => continue,
            };
            if let Some(update) = polled {
                if failures > 0 {
                    log::info!(event = "controller_regained", controller:% = controller, failures; "following a controller after failures");
                }
                failures = 0;
                known = self.apply_update(controller, known, update);
                self.complete_refresh(asked_at);
                continue;
            }
            if self.has_overslept(asked_at) {
                continue;
            }
            failures += 1;
            if failures == 1 {
                log::warn!(event = "controller_lost", controller:% = controller; "a controller does not answer or is not up to date; trying the next one");
            }
            self.controllers
                .lock()
                .move_to_end(controller, failures, &self.seeds);
            sleep(RETRY_DELAY).await;
        }
    }

    /// Whether a poll sent at `asked_at` took much longer than its time limit, so that this process
    /// stood still and the controller may well have answered.
    fn has_overslept(&self, asked_at: Duration) -> bool {
        let is_gateway = matches!(self.kind, FollowerKind::Gateway { .. });
        let passed = self.clock.now().saturating_sub(asked_at);
        is_gateway && passed > POLL_TIMEOUT + RESPONSE_MARGIN + MIN_FREEZE
    }

    /// Loads the initial state from any controller that has one, even if it is not up to date, so that a node can
    /// serve before a leader is elected. All controllers are polled for whether they have state, but only one
    /// transfers it, since the state of a large fleet saturates a gateway's link.
    async fn load_initial_state(&self) -> FollowerRevisions {
        loop {
            let controllers = self.controllers();
            let mut polls: FuturesUnordered<_> = controllers
                .into_iter()
                .map(|controller| self.poll_until_nonempty(controller))
                .collect();
            let found = timeout(FIRST_ROUND_TIMEOUT, polls.next()).await;
            drop(polls);
            if matches!(found, Ok(Some(_))) {
                self.order_controllers().await;
                let known = self.kind.initial_known();
                for controller in self.controllers() {
                    if let Some(update) = self.poll(controller, known).await
                        && !update.is_empty()
                    {
                        return self.apply_update(controller, known, update);
                    }
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Measures the response times of all known controllers and sorts them by preference.
    async fn order_controllers(&self) {
        let began = Instant::now();
        let controllers = self.controllers();
        let mut polls: FuturesUnordered<_> = controllers
            .iter()
            .map(|node| async move {
                let answer = self
                    .send_follow(*node, FollowerRevisions::EVERYTHING, Duration::ZERO)
                    .await?;
                answer.is_up_to_date.then(|| (*node, began.elapsed()))
            })
            .collect();
        let mut answered = BTreeMap::new();
        while let Ok(Some(answer)) = timeout_at(began + ORDERING_TIMEOUT, polls.next()).await {
            answered.extend(answer);
        }
        let candidates = controllers.iter().map(|node| CandidateController {
            node: *node,
            answered_in: answered.get(node).copied(),
        });
        let order = order_of_controllers(self.peers.identity().node, candidates.collect());
        let computed = ControllerOrder {
            is_complete: answered.len() == order.len(),
            nodes: order.clone(),
        };
        if self.controllers.lock().set_order(computed) {
            log::info!(event = "controllers_ordered", controllers:? = order; "the preference order of controllers changed");
        }
    }

    /// Polls a controller until it has state, with exponential backoff: in a new fleet all nodes poll the same seeds
    /// until the first routing table is set.
    async fn poll_until_nonempty(&self, controller: NodeId) -> NodeId {
        let mut delay = RETRY_DELAY;
        loop {
            let answer = self
                .send_follow(controller, FollowerRevisions::EVERYTHING, Duration::ZERO)
                .await;
            match answer {
                Some(answer) if answer.update.known.is_initialized() => return controller,
                _ => sleep(delay).await,
            }
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Polls a controller; none if it is unreachable, or returned an empty update without being up to date.
    async fn poll(&self, controller: NodeId, known: FollowerRevisions) -> Option<FleetUpdate> {
        let is_gateway = matches!(self.kind, FollowerKind::Gateway { .. });
        let suspects = self.suspects.lock().revision.unwrap_or_default();
        let known = FollowerRevisions {
            suspects: is_gateway.then_some(suspects),
            ..known
        };
        let answer = self
            .send_follow(controller, known, self.poll_timeout())
            .await?;
        // Changes are accepted from any controller; an empty update only from one that is up to date.
        (answer.is_up_to_date || !answer.update.is_empty()).then_some(answer.update)
    }

    async fn send_follow(
        &self,
        controller: NodeId,
        known: FollowerRevisions,
        poll_timeout: Duration,
    ) -> Option<ControllerResponse> {
        let request = PeerRequest::Follow {
            known,
            hold_ms: poll_timeout.as_millis() as u64,
            is_store: self.kind == FollowerKind::Store,
        };
        let asked_at = self.clock.now();
        let limit = poll_timeout + RESPONSE_MARGIN;
        let reply = self.peers.request(controller, request, limit).await;
        let Ok(PeerReply::Update {
            mut update,
            controllers,
            is_fresh,
            proof,
        }) = reply
        else {
            return None;
        };
        self.record_response();
        if known.suspects.is_some() {
            self.follow_suspects(controller, &mut update);
        }
        self.controllers.lock().update(controller, controllers);
        if let Some(proof) = &proof {
            self.record_proof(proof, asked_at);
        }
        let is_up_to_date = is_fresh && (proof.is_some() || !self.kind.is_strict());
        Some(ControllerResponse {
            update: *update,
            is_up_to_date,
        })
    }

    /// The poll timeout of the next request; zero while the proof is missing or old.
    fn poll_timeout(&self) -> Duration {
        let poll_timeout = self.kind.poll_timeout();
        if self.refresh_requested_at.lock().is_some() {
            return Duration::ZERO;
        }
        let is_proven = self.proof_age().is_some_and(|age| age < poll_timeout * 3);
        if self.kind.is_strict() && !is_proven {
            return Duration::ZERO;
        }
        poll_timeout
    }

    /// Records a proof received with the response to a request sent at `asked_at`.
    fn record_proof(&self, proof: &RoutingProof, asked_at: Duration) {
        if self.proof_keeper.lock().record(asked_at, proof) {
            self.proofs.send_replace(());
        }
    }

    /// Adds a part of a routing table to those received, and sets `update.routing` once the table is complete.
    /// Returns the parts received of an incomplete table.
    fn assemble_table(&self, update: &mut FleetUpdate) -> Option<TransferProgress> {
        let mut assembler = self.assembler.lock();
        if let Some(part) = update.table_part.take() {
            let held = self.view.borrow().routing.clone();
            update.routing = assembler.add_part(held.as_deref(), part).map(Arc::new);
        }
        assembler.progress()
    }

    fn apply_update(
        &self,
        controller: NodeId,
        known: FollowerRevisions,
        mut update: FleetUpdate,
    ) -> FollowerRevisions {
        let mut next = update.known;
        next.takes_parts = known.takes_parts;
        next.parts = self.assemble_table(&mut update);
        let received = update.routing.as_ref().map(|table| table.version);
        next.routing = known.routing.max(received);
        let servers = update.servers.as_ref();
        if !servers.is_some_and(|changes| changes.is_full) {
            next.servers = next.servers.max(known.servers);
            next.removals = next.removals.max(known.removals);
        }
        next.records = next.records.max(known.records);
        next.evacuated = next.evacuated.max(known.evacuated);
        if update.is_empty() {
            return next;
        }
        self.view.send_modify(|view| {
            if let Some(routing) = update.routing {
                let held = view.routing.as_ref().map(|held| held.version);
                if held < Some(routing.version) {
                    log::info!(event = "routing_in_force", controller:% = controller, version = routing.version, routes = routing.table.routes.len(); "a new routing table is in force on this node");
                    view.routing = Some(routing);
                }
            }
            if let Some(changes) = update.servers {
                let changed = changes.changed.len();
                let removed = changes.removed.len();
                let is_whole = changes.is_full;
                let servers = Arc::make_mut(&mut view.servers);
                servers.apply(changes);
                log::info!(event = "servers_changed", revision = update.known.servers, changed, removed, is_whole, servers = servers.len(); "the list of servers changed");
            }
            if let Some(evacuated) = update.evacuated
                && evacuated.revision > view.evacuated.revision
            {
                log::info!(event = "evacuated_zones", revision = evacuated.revision, zones:? = evacuated.zones; "the evacuated zones changed");
                view.evacuated = Arc::new(evacuated);
            }
            if !update.record_views.is_empty() {
                apply_view_changes(&mut view.records, update.record_views);
            }
        });
        next
    }
}

/// Interval with jitter, so that followers do not all return to a recovered controller at once.
fn jittered_check_interval() -> Duration {
    PREFERRED_CHECK_INTERVAL.mul_f64(rand::random_range(0.75..1.25))
}

/// Applies changes of partition views and logs those that are new.
fn apply_view_changes(records: &mut Arc<PartitionMap>, changes: Vec<ViewChange>) {
    let records = Arc::make_mut(records);
    let mut changed = Vec::new();
    for change in changes {
        let partition = change.partition.0;
        let epoch = change.view.epoch;
        if records.merge(change) {
            changed.push((partition, epoch));
        }
    }
    if !changed.is_empty() {
        log::info!(event = "record_views_changed", partitions_and_epochs:? = changed, whole = records.is_fully_active(); "the replicas of record partitions changed");
    }
}
