//! A stand-in controller that shows one routing table and answers for the scheduler as a script says.

use std::net::Ipv4Addr;
use std::sync::Arc;

use courseshed_edge::peers::{Peers, start_peers};
use courseshed_edge::protocol::{
    FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest, node_at,
};
use courseshed_pool::{CallDemand, CallNote, RunningCall};
use courseshed_registry::{FleetUpdate, FollowerRevisions, Server, ServerChanges};
use courseshed_routing::VersionedTable;
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::NodeId;
use parking_lot::Mutex;

/// What the fleet looks like to whoever follows a stand-in controller.
#[derive(Clone)]
pub struct Shown {
    pub table: Arc<VersionedTable>,
    pub servers: Vec<Server>,
    pub controllers: Vec<NodeId>,
}

type Script = Box<dyn FnMut(&CallDemand) -> Option<PeerReply> + Send>;

/// What a stand-in controller got.
#[derive(Default)]
pub struct Got {
    pub asked: Vec<CallDemand>,
    pub notes: Vec<CallNote>,
    pub running: Vec<Vec<RunningCall>>,
}

struct Answers {
    shown: Shown,
    script: Mutex<Script>,
    got: Arc<Mutex<Got>>,
    /// Senders of requests that are never answered.
    unanswered: Mutex<Vec<ReplySender<FleetProtocol>>>,
}

/// A stand-in controller. It ends when it is dropped.
pub struct StandInController {
    pub got: Arc<Mutex<Got>>,
    _peers: Peers,
}

impl StandInController {
    /// Starts one that answers as `script` says; none is no answer at all.
    pub fn start(
        ip: Ipv4Addr,
        addresses: PeerAddresses,
        shown: Shown,
        script: impl FnMut(&CallDemand) -> Option<PeerReply> + Send + 'static,
    ) -> Self {
        let got: Arc<Mutex<Got>> = Arc::default();
        let answers = Answers {
            shown,
            script: Mutex::new(Box::new(script)),
            got: got.clone(),
            unanswered: Mutex::default(),
        };
        let peers = start_peers(
            node_at(ip),
            addresses,
            PeerPort::Controller,
            Arc::new(answers),
        );
        Self {
            got,
            _peers: peers.expect("a port"),
        }
    }
}

impl Answers {
    fn update(&self, known: FollowerRevisions) -> PeerReply {
        let is_new = known.routing.is_none();
        let servers = ServerChanges {
            is_full: true,
            changed: self.shown.servers.iter().cloned().map(Arc::new).collect(),
            removed: Vec::new(),
            ..ServerChanges::default()
        };
        PeerReply::Update {
            update: Box::new(FleetUpdate {
                known: FollowerRevisions {
                    routing: Some(self.shown.table.version),
                    servers: 1,
                    ..FollowerRevisions::default()
                },
                routing: is_new.then(|| self.shown.table.clone()),
                servers: is_new.then_some(servers),
                ..FleetUpdate::default()
            }),
            controllers: self.shown.controllers.clone(),
            is_fresh: true,
            proof: None,
        }
    }
}

impl Handler<FleetProtocol> for Answers {
    fn on_message(&self, _: PeerIdentity, message: PeerMessage) {
        let mut got = self.got.lock();
        match message {
            PeerMessage::PoolNotes { notes, .. } => got.notes.extend(notes),
            PeerMessage::PoolCalls { calls, .. } => got.running.push(calls),
            _ => {}
        }
    }

    fn on_request(&self, _: PeerIdentity, request: PeerRequest, reply: ReplySender<FleetProtocol>) {
        let answer = match request {
            PeerRequest::Follow { known, hold_ms, .. } => {
                let answer = self.update(known);
                let hold = std::time::Duration::from_millis(hold_ms);
                let hold = if known.routing.is_none() {
                    std::time::Duration::ZERO
                } else {
                    hold
                };
                tokio::spawn(async move {
                    tokio::time::sleep(hold).await;
                    reply.send(answer);
                });
                return;
            }
            PeerRequest::Schedule { demand, .. } => {
                let answer = (self.script.lock())(&demand);
                self.got.lock().asked.push(demand);
                answer
            }
            _ => None,
        };
        match answer {
            Some(answer) => reply.send(answer),
            None => self.unanswered.lock().push(reply),
        }
    }
}
