//! Following the fleet's state: a node asks one controller after another for what it lacks.
//!
//! Invariant: within one life of a process the routing table's version never falls, whichever
//! controller answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{PartitionMap, ViewChange};
use courseshed_registry::{
    EvacuatedZones, FleetUpdate, Known, ProofKeeper, RoutingProof, ServerList,
};
use courseshed_routing::{PartsTaken, TableAssembler, VersionedTable};
use courseshed_types::NodeId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::clock::Clock;
use crate::followed_controllers::{ControllerOrder, FollowedControllers};
use crate::follower_order::{CandidateController, order_of_controllers};
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerPort, PeerReply, PeerRequest};

/// How long a controller holds a request when there is nothing new.
const HOLD: Duration = Duration::from_millis(600);
/// Requests that must fit into the time within which a key must be out of use.
const HOLDS_A_REVOCATION: u32 = 6;
/// How much longer than that an answer may take. Lists are told in parts, so that it needs no more on a link that
/// many share.
const ANSWER_SLACK: Duration = Duration::from_millis(250);
/// An answer no older than this means that controllers can be reached: two requests that are held.
const HEARD_LATELY: Duration = Duration::from_millis(1500);
/// How often a node that follows another controller than it would choose looks whether that one serves again: a cut
/// drives all followers to the controllers that are left, and what these send would stay theirs.
const RETURN_CHECK: Duration = Duration::from_secs(5);
/// Pause after a controller that could not help.
const PAUSE: Duration = Duration::from_millis(60);
/// The longest pause between questions to a controller that has nothing to tell yet.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// How long controllers are waited for to tell how far they are: longer than a way between regions and back (60
/// ms), and little of the second or two that a node takes to serve after a loss of power.
const ORDER_LIMIT: Duration = Duration::from_millis(100);
/// How long a node that knows nothing yet asks the same controllers before it looks for others.
const FIRST_ROUND: Duration = Duration::from_millis(1500);

/// What a node knows of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The routing table in force; none before the first.
    pub routing: Option<Arc<VersionedTable>>,
    /// The servers.
    pub servers: Arc<ServerList>,
    /// Where records are kept.
    pub records: Arc<PartitionMap>,
    /// Zones whose servers get nothing.
    pub evacuated: Arc<EvacuatedZones>,
}

/// What a follower is, and so what it must know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerKind {
    /// A store with records, which controllers must hear.
    Store,
    /// A gateway.
    Gateway {
        /// How soon a key must be out of use everywhere; none if that isn't asked for.
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

    /// What a follower that knows nothing says that it knows: what it has no use for.
    fn known_first(self) -> Known {
        match self {
            Self::Store => Known {
                servers: Known::EVERYTHING.servers,
                removals: Known::EVERYTHING.removals,
                takes_parts: true,
                ..Known::default()
            },
            Self::Gateway { .. } => Known {
                takes_parts: true,
                ..Known::default()
            },
        }
    }

    /// How long a controller holds a request: so long that several fit into the time within which
    /// a proof must be renewed.
    fn hold(self) -> Duration {
        match self {
            Self::Gateway {
                revocation: Some(revocation),
            } => HOLD.min(revocation / HOLDS_A_REVOCATION),
            _ => HOLD,
        }
    }
}

/// What a controller answered.
struct ControllerAnswer {
    update: FleetUpdate,
    /// Whether nothing is newer, as far as it can be known.
    is_sure: bool,
}

/// Follows the fleet's state and shows the newest that is known.
pub struct FleetFollower {
    peers: Arc<Peers>,
    addresses: PeerAddresses,
    kind: FollowerKind,
    seeds: Box<dyn Fn() -> Vec<NodeId> + Send + Sync>,
    controllers: Mutex<FollowedControllers>,
    view: watch::Sender<FleetView>,
    assembler: Mutex<TableAssembler>,
    clock: Clock,
    proofs_kept: Mutex<ProofKeeper>,
    /// Changes with each proof.
    proofs: watch::Sender<()>,
    /// When any controller answered last.
    answered_at: Mutex<Option<Instant>>,
}

impl FleetFollower {
    /// A follower that begins with the controllers that `seeds` names, and asks it again when none
    /// of those known answers.
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
            proofs_kept: Mutex::default(),
            proofs: watch::channel(()).0,
            answered_at: Mutex::new(None),
        })
    }

    /// How long ago the routing table shown was proven to be in force; none if it never was.
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        let held = self.view.borrow().routing.as_ref().map(|held| held.version);
        self.proofs_kept.lock().age(self.clock.now(), held)
    }

    /// The newest that is known, and its changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<FleetView> {
        self.view.subscribe()
    }

    /// Waits for the next proof of the routing table, for a time at most.
    pub async fn wait_for_proof(&self, limit: Duration) {
        let mut proofs = self.proofs.subscribe();
        // Whether one came shows in its age.
        let _ = timeout(limit, proofs.changed()).await;
    }

    /// Whether a controller answered lately, so that what is lacking is lacking at all gateways.
    #[must_use]
    pub fn hears_controllers(&self) -> bool {
        let answered_at = *self.answered_at.lock();
        answered_at.is_some_and(|at| at.elapsed() < HEARD_LATELY)
    }

    /// The newest that is known.
    #[must_use]
    pub fn view(&self) -> FleetView {
        self.view.borrow().clone()
    }

    /// The controllers that are known, the one that answered last first.
    #[must_use]
    pub fn controllers(&self) -> Vec<NodeId> {
        let nodes = self.controllers.lock().all(&self.seeds);
        for node in &nodes {
            let address = self.addresses.of(*node, PeerPort::Controller);
            self.peers.set_address(*node, address);
        }
        nodes
    }

    /// Follows until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut known = self.first_news().await;
        let mut failures = 0;
        let mut next_check = Instant::now() + return_pause();
        loop {
            if next_check <= Instant::now() {
                next_check = Instant::now() + return_pause();
                let is_first_choice = self.controllers.lock().follows_first_choice();
                if !is_first_choice {
                    self.order_controllers().await;
                }
            }
            let controllers = self.controllers();
            let Some(controller) = controllers.first().copied() else {
                sleep(PAUSE).await;
                continue;
            };
            if let Some(update) = self.ask(controller, known).await {
                if failures > 0 {
                    log::info!(event = "controller_regained", controller:% = controller, failures; "following a controller again");
                }
                failures = 0;
                known = self.take_in(controller, known, update);
                continue;
            }
            failures += 1;
            if failures == 1 {
                log::warn!(event = "controller_lost", controller:% = controller; "a controller does not answer, or may lack what is committed");
            }
            self.controllers
                .lock()
                .pass_over(controller, failures, &self.seeds);
            sleep(PAUSE).await;
        }
    }

    /// Looks for a controller with something to begin with, and takes it from that one: after a loss of
    /// power some may not be there yet, and any state that was in force once serves until a leader is found.
    /// All are asked whether they have something, and only one for it: with 10,000 servers it is 1.6 MB
    /// in some fifty parts, half a second of a gateway's link of 30 Mbit/s.
    async fn first_news(&self) -> Known {
        loop {
            let controllers = self.controllers();
            let mut asked: FuturesUnordered<_> = controllers
                .into_iter()
                .map(|controller| self.ask_until_any(controller))
                .collect();
            let found = timeout(FIRST_ROUND, asked.next()).await;
            drop(asked);
            if matches!(found, Ok(Some(_))) {
                self.order_controllers().await;
                let known = self.kind.known_first();
                for controller in self.controllers() {
                    if let Some(update) = self.ask(controller, known).await
                        && !update.is_empty()
                    {
                        return self.take_in(controller, known, update);
                    }
                }
            }
            sleep(PAUSE).await;
        }
    }

    /// Asks all known controllers how far they are, and puts them in the order in which this node follows them.
    async fn order_controllers(&self) {
        let began = Instant::now();
        let controllers = self.controllers();
        let mut asked: FuturesUnordered<_> = controllers
            .iter()
            .map(|node| async move {
                let answer = self
                    .exchange(*node, Known::EVERYTHING, Duration::ZERO)
                    .await?;
                answer.is_sure.then(|| (*node, began.elapsed()))
            })
            .collect();
        let mut answered = BTreeMap::new();
        while let Ok(Some(answer)) = timeout_at(began + ORDER_LIMIT, asked.next()).await {
            answered.extend(answer);
        }
        let candidates = controllers.iter().map(|node| CandidateController {
            node: *node,
            answered_in: answered.get(node).copied(),
        });
        let order = order_of_controllers(self.peers.identity().node, candidates.collect());
        let made = ControllerOrder {
            is_whole: answered.len() == order.len(),
            nodes: order.clone(),
        };
        if self.controllers.lock().put_in_order(made) {
            log::info!(event = "controllers_ordered", controllers:? = order; "the order in which controllers are followed");
        }
    }

    /// Asks a controller until it has something to tell, less and less often: a fleet that starts for the first
    /// time waits for its first routing table, and asks the three controllers that all of it knows.
    async fn ask_until_any(&self, controller: NodeId) -> NodeId {
        let mut pause = PAUSE;
        loop {
            let answer = self
                .exchange(controller, Known::EVERYTHING, Duration::ZERO)
                .await;
            match answer {
                Some(answer) if answer.update.known.is_any() => return controller,
                _ => sleep(pause).await,
            }
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// What a controller tells; none if it can't be reached, or has nothing to tell and isn't sure of that.
    async fn ask(&self, controller: NodeId, known: Known) -> Option<FleetUpdate> {
        let answer = self.exchange(controller, known, self.hold()).await?;
        // News may be taken from anyone; it is the lack of news that only a fresh one can tell.
        (answer.is_sure || !answer.update.is_empty()).then_some(answer.update)
    }

    async fn exchange(
        &self,
        controller: NodeId,
        known: Known,
        hold: Duration,
    ) -> Option<ControllerAnswer> {
        let request = PeerRequest::Follow {
            known,
            hold_ms: hold.as_millis() as u64,
            is_store: self.kind == FollowerKind::Store,
        };
        let asked_at = self.clock.now();
        let limit = hold + ANSWER_SLACK;
        let reply = self.peers.request(controller, request, limit).await;
        let Ok(PeerReply::Update {
            update,
            controllers,
            is_fresh,
            proof,
        }) = reply
        else {
            return None;
        };
        *self.answered_at.lock() = Some(Instant::now());
        self.controllers.lock().learn(controller, controllers);
        if let Some(proof) = &proof {
            self.note_proof(proof, asked_at);
        }
        let is_sure = is_fresh && (proof.is_some() || !self.kind.is_strict());
        Some(ControllerAnswer {
            update: *update,
            is_sure,
        })
    }

    /// How long the next request is held; not at all while the proof is old.
    fn hold(&self) -> Duration {
        let hold = self.kind.hold();
        let is_proven = self.proof_age().is_some_and(|age| age < hold * 3);
        if self.kind.is_strict() && !is_proven {
            return Duration::ZERO;
        }
        hold
    }

    /// Notes a proof that came with the answer to a question asked at a time.
    fn note_proof(&self, proof: &RoutingProof, asked_at: Duration) {
        if self.proofs_kept.lock().note(asked_at, proof) {
            self.proofs.send_replace(());
        }
    }

    /// Puts a part of a routing table to those that were taken; a table that is whole by that is an update like one
    /// that came whole. Returns what is taken of one that isn't.
    fn assemble(&self, update: &mut FleetUpdate) -> Option<PartsTaken> {
        let mut assembler = self.assembler.lock();
        if let Some(part) = update.table_part.take() {
            let held = self.view.borrow().routing.clone();
            update.routing = assembler.take(held.as_deref(), part).map(Arc::new);
        }
        assembler.taken()
    }

    fn take_in(&self, controller: NodeId, known: Known, mut update: FleetUpdate) -> Known {
        let mut next = update.known;
        next.takes_parts = known.takes_parts;
        next.parts = self.assemble(&mut update);
        let told = update.routing.as_ref().map(|table| table.version);
        next.routing = known.routing.max(told);
        let servers = update.servers.as_ref();
        if !servers.is_some_and(|changes| changes.is_whole) {
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
                    log::info!(event = "routing_in_force", controller:% = controller, version = routing.version, routes = routing.table.routes.len(); "a routing table is in force here");
                    view.routing = Some(routing);
                }
            }
            if let Some(changes) = update.servers {
                let changed = changes.changed.len();
                let removed = changes.removed.len();
                let is_whole = changes.is_whole;
                let servers = Arc::make_mut(&mut view.servers);
                servers.apply(changes);
                log::info!(event = "servers_changed", revision = update.known.servers, changed, removed, is_whole, servers = servers.len(); "the servers changed");
            }
            if let Some(evacuated) = update.evacuated
                && evacuated.revision > view.evacuated.revision
            {
                log::info!(event = "evacuated_zones", revision = evacuated.revision, zones:? = evacuated.zones; "the zones whose servers get nothing changed");
                view.evacuated = Arc::new(evacuated);
            }
            if !update.record_views.is_empty() {
                learn_views(&mut view.records, update.record_views);
            }
        });
        next
    }
}

/// Spread, so that the followers of a controller that returned don't all come back at once.
fn return_pause() -> Duration {
    RETURN_CHECK.mul_f64(rand::random_range(0.75..1.25))
}

/// Takes in views of partitions, and says which are new here.
fn learn_views(records: &mut Arc<PartitionMap>, changes: Vec<ViewChange>) {
    let records = Arc::make_mut(records);
    let mut changed = Vec::new();
    for change in changes {
        let partition = change.partition.0;
        let epoch = change.view.epoch;
        if records.learn(change) {
            changed.push((partition, epoch));
        }
    }
    if !changed.is_empty() {
        log::info!(event = "record_views_changed", partitions_and_epochs:? = changed, whole = records.is_whole(); "the replicas of partitions of the records changed");
    }
}
