//! A mock controller that publishes a fixed routing table and scripted scheduler replies.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use courseshed_edge::peers::{Peers, start_peers};
use courseshed_edge::protocol::{
    FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest, node_at,
};
use courseshed_pool::{CallDemand, CallEndReport, RunningCall};
use courseshed_registry::{FleetUpdate, FollowerRevisions, Server, ServerChanges};
use courseshed_routing::VersionedTable;
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::NodeId;
use parking_lot::Mutex;

/// The fleet state that a mock controller publishes to its followers.
#[derive(Clone)]
pub struct FleetSnapshot {
    pub table: Arc<VersionedTable>,
    pub servers: Vec<Server>,
    pub controllers: Vec<NodeId>,
}

type Script = Box<dyn FnMut(&CallDemand) -> Option<PeerReply> + Send>;

/// What a mock controller has received.
#[derive(Default)]
pub struct Received {
    pub demands: Vec<CallDemand>,
    pub notes: Vec<CallEndReport>,
    pub running: Vec<Vec<RunningCall>>,
}

struct ScriptedHandler {
    snapshot: FleetSnapshot,
    script: Mutex<Script>,
    received: Arc<Mutex<Received>>,
    /// Reply senders of requests that are left unanswered, kept open until the controller is dropped.
    unanswered: Mutex<Vec<ReplySender<FleetProtocol>>>,
}

/// A mock controller, stopped when dropped.
pub struct MockController {
    pub received: Arc<Mutex<Received>>,
    _peers: Peers,
}

impl MockController {
    /// Starts a controller that replies with the result of `script`; `None` sends no reply.
    pub fn start(
        ip: Ipv4Addr,
        addresses: PeerAddresses,
        snapshot: FleetSnapshot,
        script: impl FnMut(&CallDemand) -> Option<PeerReply> + Send + 'static,
    ) -> Self {
        let received: Arc<Mutex<Received>> = Arc::default();
        let handler = ScriptedHandler {
            snapshot,
            script: Mutex::new(Box::new(script)),
            received: received.clone(),
            unanswered: Mutex::default(),
        };
        let peers = start_peers(
            node_at(ip),
            addresses,
            PeerPort::Controller,
            Arc::new(handler),
        );
        Self {
            received,
            _peers: peers.expect("a port"),
        }
    }
}

impl ScriptedHandler {
    fn update(&self, known: FollowerRevisions) -> PeerReply {
        let is_initial = known.routing.is_none();
        let servers = ServerChanges {
            is_full: true,
            changed: self
                .snapshot
                .servers
                .iter()
                .cloned()
                .map(Arc::new)
                .collect(),
            removed: Vec::new(),
            ..ServerChanges::default()
        };
        PeerReply::Update {
            update: Box::new(FleetUpdate {
                known: FollowerRevisions {
                    routing: Some(self.snapshot.table.version),
                    servers: 1,
                    ..FollowerRevisions::default()
                },
                routing: is_initial.then(|| self.snapshot.table.clone()),
                servers: is_initial.then_some(servers),
                ..FleetUpdate::default()
            }),
            controllers: self.snapshot.controllers.clone(),
            is_fresh: true,
            proof: None,
        }
    }
}

impl Handler<FleetProtocol> for ScriptedHandler {
    fn on_message(&self, _: PeerIdentity, message: PeerMessage) {
        let mut received = self.received.lock();
        match message {
            PeerMessage::PoolNotes { notes, .. } => received.notes.extend(notes),
            PeerMessage::PoolCalls { calls, .. } => received.running.push(calls),
            _ => {}
        }
    }

    fn on_request(&self, _: PeerIdentity, request: PeerRequest, reply: ReplySender<FleetProtocol>) {
        let answer = match request {
            PeerRequest::Follow { known, hold_ms, .. } => {
                let update = self.update(known);
                let hold = Duration::from_millis(hold_ms);
                let hold = if known.routing.is_none() {
                    Duration::ZERO
                } else {
                    hold
                };
                tokio::spawn(async move {
                    tokio::time::sleep(hold).await;
                    reply.send(update);
                });
                return;
            }
            PeerRequest::Schedule { demand, .. } => {
                let scripted = (self.script.lock())(&demand);
                self.received.lock().demands.push(demand);
                scripted
            }
            _ => None,
        };
        match answer {
            Some(answer) => reply.send(answer),
            None => self.unanswered.lock().push(reply),
        }
    }
}
