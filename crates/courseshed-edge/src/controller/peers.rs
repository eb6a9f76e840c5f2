//! Requests and messages of peers, handed to the replica or answered from what it shows.

use std::sync::Arc;
use std::time::Duration;

use courseshed_consensus::ReplicaAddress;
use courseshed_records::CaughtUp;
use courseshed_registry::Known;
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::NodeId;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::handle::{Input, Reading, Shared};
use super::pools::Pools;
use crate::protocol::{FleetProtocol, PeerMessage, PeerReply, PeerRequest, node_of, replica_of};

/// How often a held request looks whether this controller still hears the leader.
const FRESHNESS_CHECK: Duration = Duration::from_millis(300);

/// For how long news of servers is gathered before a follower is told. Where thousands of servers start or are
/// replaced together, each of some 90 followers of a controller was told 300 times a second; so it is told 20
/// times. A server that drains is left alone by all gateways that much later: a fortieth of the 2 s that this may
/// take.
const GATHER: Duration = Duration::from_millis(50);

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
        make: impl FnOnce(oneshot::Sender<PeerReply>) -> Input,
    ) {
        let (sender, answered) = oneshot::channel();
        self.shared.tell(make(sender));
        tokio::spawn(async move {
            if let Ok(answer) = answered.await {
                reply.send(answer);
            }
        });
    }

    fn read(&self, reply: ReplySender<FleetProtocol>, wanted: Reading) {
        self.forward(reply, |reply| Input::Read { wanted, reply });
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
                    self.shared.tell(Input::Consensus(message));
                }
            }
            PeerMessage::Heartbeats { servers, nodes } => {
                self.shared.tell(Input::Heard { servers, nodes })
            }
            PeerMessage::Load(report) => self.shared.note_controller_load(from.node, report),
            PeerMessage::PoolNotes { service, notes } => {
                self.pools.note(from.node, &service, &notes);
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
                    self.shared.hear_node(from.node);
                }
                let arrived = self.shared.clock().now();
                tokio::spawn(follow(self.shared.clone(), known, hold_ms, arrived, reply));
            }
            PeerRequest::Submit(command) => {
                self.forward(reply, |reply| Input::Submit { command, reply });
            }
            PeerRequest::ReadRouting => self.read(reply, Reading::Routing),
            PeerRequest::ReadRoutingVersion => self.read(reply, Reading::RoutingVersion),
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
                self.shared.tell(Input::CaughtUp(caught_up.collect()));
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
            PeerRequest::Schedule { service, demand } => {
                self.pools.ask(from.node, &service, demand, reply);
            }
            PeerRequest::Records(_) => {}
        }
    }
}

/// Answers a follower as soon as there is news, when this controller stops hearing the leader, or
/// when the time is over.
async fn follow(
    shared: Arc<Shared>,
    known: Known,
    hold_ms: u64,
    arrived: Duration,
    reply: ReplySender<FleetProtocol>,
) {
    let mut watch = shared.watch();
    let deadline = Instant::now() + Duration::from_millis(hold_ms);
    let mut has_gathered = hold_ms == 0;
    loop {
        let published = watch.borrow_and_update().clone();
        let update = shared.update_for(&published.state, known);
        let is_fresh = shared.is_fresh();
        let left = deadline.saturating_duration_since(Instant::now());
        if update.can_wait() && is_fresh && !has_gathered {
            has_gathered = true;
            sleep(GATHER.min(left)).await;
            continue;
        }
        if !update.is_empty() || !is_fresh || left.is_zero() {
            let proof = shared.proof_of(&published.state, arrived);
            reply.send(PeerReply::Update {
                proof,
                update: Box::new(update),
                controllers: published.controllers.into_keys().collect(),
                is_fresh,
            });
            return;
        }
        let _ = timeout(left.min(FRESHNESS_CHECK), watch.changed()).await;
    }
}
