//! Handles requests and messages of peers, by the replica or from its published state.

use std::sync::Arc;
use std::time::Duration;

use courseshed_consensus::ReplicaAddress;
use courseshed_records::CaughtUp;
use courseshed_registry::FollowerRevisions;
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::NodeId;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::handle::{Input, ReadKind, Shared};
use super::pools::Pools;
use crate::protocol::{FleetProtocol, PeerMessage, PeerReply, PeerRequest, node_of, replica_of};

/// How often a held request checks whether this controller is still up to date.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// How long changes of servers are batched before they are sent to a follower. Limits the rate of updates while
/// many servers start or are replaced, and delays the draining of a server by the same time. With thousands of
/// servers, each of some 90 followers received 300 updates per second without it, and receives 20 with it.
const BATCH_DELAY: Duration = Duration::from_millis(50);

pub(super) struct ControllerPeers {
    shared: Arc<Shared>,
    pools: Arc<Pools>,
}

impl ControllerPeers {
    pub(super) fn new(shared: Arc<Shared>, pools: Arc<Pools>) -> Self {
        Self { shared, pools }
    }

    fn forward(
        &self,
        reply: ReplySender<FleetProtocol>,
        make_input: impl FnOnce(oneshot::Sender<PeerReply>) -> Input,
    ) {
        let (sender, answered) = oneshot::channel();
        self.shared.send_input(make_input(sender));
        tokio::spawn(async move {
            if let Ok(answer) = answered.await {
                reply.send(answer);
            }
        });
    }

    fn read(&self, reply: ReplySender<FleetProtocol>, kind: ReadKind) {
        self.forward(reply, |reply| Input::Read { kind, reply });
    }

    fn known_incarnation(&self, node: NodeId) -> PeerReply {
        if !self.shared.is_fresh() {
            return PeerReply::OutcomeUnknown;
        }
        let published = self.shared.published();
        PeerReply::Incarnation(published.controllers.get(&node).copied())
    }
}

impl Handler<FleetProtocol> for ControllerPeers {
    fn on_message(&self, from: PeerIdentity, message: PeerMessage) {
        match message {
            PeerMessage::Consensus(message) => {
                if node_of(message.from.replica) == from.node {
                    self.shared.send_input(Input::Consensus(message));
                }
            }
            PeerMessage::Heartbeats {
                servers,
                nodes,
                suspects,
            } => {
                self.shared.suspects().record_relayed(&suspects);
                if !servers.is_empty() || !nodes.is_empty() {
                    self.shared.send_input(Input::Heartbeats { servers, nodes });
                }
            }
            PeerMessage::Load(report) => self.shared.record_controller_load(from.node, report),
            PeerMessage::PoolNotes { service, notes } => {
                self.pools.record_ended(from.node, &service, &notes);
            }
            PeerMessage::PoolCalls { service, calls } => {
                self.pools.set_running(from.node, &service, &calls);
            }
        }
    }

    fn on_request(
        &self,
        from: PeerIdentity,
        request: PeerRequest,
        reply: ReplySender<FleetProtocol>,
    ) {
        match request {
            PeerRequest::Follow {
                known,
                hold_ms,
                is_store,
            } => {
                if is_store {
                    self.shared.record_node_heartbeat(from.node);
                }
                let arrived = self.shared.clock().now();
                tokio::spawn(follow(self.shared.clone(), known, hold_ms, arrived, reply));
            }
            PeerRequest::Submit(command) => {
                self.forward(reply, |reply| Input::Submit { command, reply });
            }
            PeerRequest::ReadRouting => self.read(reply, ReadKind::Routing),
            PeerRequest::ReadRoutingVersion => self.read(reply, ReadKind::RoutingVersion),
            PeerRequest::Join { incarnation } => {
                let address = ReplicaAddress::new(replica_of(from.node), incarnation);
                self.forward(reply, |reply| Input::Join { address, reply });
            }
            PeerRequest::KnownIncarnation => reply.send(self.known_incarnation(from.node)),
            PeerRequest::CaughtUp {
                incarnation,
                partitions,
            } => {
                let node = from.node;
                let caught_up = partitions.into_iter().map(|partition| CaughtUp {
                    partition,
                    node,
                    incarnation,
                });
                self.shared.send_input(Input::CaughtUp(caught_up.collect()));
                reply.send(PeerReply::Joining);
            }
            PeerRequest::ShareLoad(report) => {
                let others = self.shared.exchange_load(from.node, report);
                reply.send(PeerReply::OthersLoad(others));
            }
            PeerRequest::Quota(report) => self.forward(reply, |reply| Input::Quota {
                gateway: from.node,
                report,
                reply,
            }),
            PeerRequest::Warmup(report) => self.forward(reply, |reply| Input::Warmup {
                gateway: from.node,
                report,
                reply,
            }),
            PeerRequest::Suspects(reports) => {
                let verdict = self.shared.record_suspects(&reports);
                reply.send(PeerReply::Suspect(verdict));
            }
            PeerRequest::Schedule { service, demand } => {
                self.pools.request(from.node, &service, demand, reply);
            }
            PeerRequest::Records(_) => {}
        }
    }
}

/// Replies to a follower when there are changes, when this controller stops being up to date, or when the
/// hold time has passed.
async fn follow(
    shared: Arc<Shared>,
    known: FollowerRevisions,
    hold_ms: u64,
    arrived: Duration,
    reply: ReplySender<FleetProtocol>,
) {
    let mut watch = shared.watch();
    let mut suspect_changes = shared.suspects().watch();
    let deadline = Instant::now() + Duration::from_millis(hold_ms);
    let mut has_batched = hold_ms == 0;
    loop {
        let published = watch.borrow_and_update().clone();
        suspect_changes.mark_unchanged();
        let update = shared.update_for(&published.state, known);
        let is_fresh = shared.is_fresh();
        let left = deadline.saturating_duration_since(Instant::now());
        if update.is_batchable() && update.suspects.is_none() && is_fresh && !has_batched {
            has_batched = true;
            sleep(BATCH_DELAY.min(left)).await;
            continue;
        }
        let has_changes = !update.is_empty() || update.suspects.is_some();
        if has_changes || !is_fresh || left.is_zero() {
            let proof = shared.proof_of(&published.state, arrived);
            reply.send(PeerReply::Update {
                proof,
                update: Box::new(update),
                controllers: published.controllers.into_keys().collect(),
                is_fresh,
            });
            return;
        }
        let changed = async {
            tokio::select! {
                _ = watch.changed() => {}
                _ = suspect_changes.changed(), if known.suspects.is_some() => {}
            }
        };
        let _ = timeout(left.min(FRESHNESS_CHECK_INTERVAL), changed).await;
    }
}
