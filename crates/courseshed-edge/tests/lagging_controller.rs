//! A controller that receives the leader's heartbeats but lacks committed entries.
//!
//! Guards against such a controller reporting its stale state to its followers as current, for example after a
//! network partition, which leaves their gateways on an old routing table.

mod support;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::{
    Entry, EntryPayload, GroupId, LogIndex, Message, MessageBody, Probe, ReplicaAddress,
    StateMachine, Term,
};
use courseshed_edge::controller::{self, ControlError, ControllerHandle};
use courseshed_edge::follower::{FleetFollower, FollowerKind};
use courseshed_edge::follower_order::{CandidateController, order_of_controllers};
use courseshed_edge::peers::{Peers, start_peers};
use courseshed_edge::protocol::{
    FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest, node_at,
    replica_of,
};
use courseshed_registry::{Command, FleetState, FollowerRevisions};
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::NodeId;
use parking_lot::Mutex;
use support::{controller_settings, free_port, new_subnet, plain_route, table, wait_until};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

/// The shortest time that users require for a change to be active on all gateways.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Longer than the interval at which a follower retries its preferred controller.
const PREFERRED_RETRY_WAIT: Duration = Duration::from_secs(7);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Group, term and storage incarnation of controllers at their first start.
const GROUP: GroupId = GroupId(1);
const TERM: Term = Term(1);
const INCARNATION: u64 = 1;

/// The leader's committed entries, and how many of them were sent to the controller under test.
#[derive(Default)]
struct Log {
    state: FleetState,
    committed: Vec<Entry>,
    sent: usize,
}

/// A mock leader of the controller under test.
struct MockLeader {
    log: Mutex<Log>,
}

impl MockLeader {
    /// Commits a version of the routing table.
    fn commit(&self, version: u64) {
        let command = Command::ReplaceRouting {
            table: table(version, vec![plain_route()], None),
            document: Bytes::new(),
        };
        let data = rmp_serde::to_vec_named(&command).expect("a command");
        let mut log = self.log.lock();
        let index = LogIndex(log.committed.len() as u64 + 1);
        log.state.apply(index, &data);
        log.committed.push(Entry {
            term: TERM,
            index,
            payload: EntryPayload::Data(data.into()),
        });
    }

    /// An append of all unsent entries, or an empty one as a heartbeat.
    fn append(&self, with_entries: bool) -> MessageBody {
        let mut log = self.log.lock();
        let from = log.sent;
        if with_entries {
            log.sent = log.committed.len();
        }
        let entries = log.committed[from..log.sent].to_vec();
        MessageBody::Append {
            previous_index: LogIndex(from as u64),
            previous_term: if from == 0 { Term(0) } else { TERM },
            entries,
            commit: LogIndex(log.committed.len() as u64),
            probe: Probe::default(),
        }
    }
}

struct LeaderPeers {
    leader: Arc<MockLeader>,
    controllers: Vec<NodeId>,
}

impl Handler<FleetProtocol> for LeaderPeers {
    fn on_message(&self, _from: PeerIdentity, _message: PeerMessage) {}

    fn on_request(
        &self,
        _from: PeerIdentity,
        request: PeerRequest,
        reply: ReplySender<FleetProtocol>,
    ) {
        let PeerRequest::Follow { known, hold_ms, .. } = request else {
            return;
        };
        // This leader sends full tables, as earlier builds do.
        let known = FollowerRevisions {
            takes_parts: false,
            ..known
        };
        let leader = self.leader.clone();
        let controllers = self.controllers.clone();
        tokio::spawn(async move {
            let mut update = leader.log.lock().state.update_for(known);
            if update.is_empty() {
                sleep(Duration::from_millis(hold_ms)).await;
                update = leader.log.lock().state.update_for(known);
            }
            reply.send(PeerReply::Update {
                update: Box::new(update),
                controllers,
                is_fresh: true,
                proof: None,
            });
        });
    }
}

/// Sends heartbeats without entries to a replica.
async fn send_heartbeats(peers: Arc<Peers>, leader: Arc<MockLeader>, from: NodeId, to: NodeId) {
    loop {
        send(&peers, from, to, leader.append(false));
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn send(peers: &Peers, from: NodeId, to: NodeId, body: MessageBody) {
    let message = Message {
        group: GROUP,
        from: ReplicaAddress::new(replica_of(from), INCARNATION),
        to: replica_of(to),
        term: TERM,
        body,
    };
    peers
        .send(to, PeerMessage::Consensus(message))
        .expect("a known peer");
}

/// A node whose preferred controller is the given one.
fn node_preferring(host: impl Fn(u8) -> Ipv4Addr, preferred: NodeId, other: NodeId) -> NodeId {
    let candidate = |node| CandidateController {
        node,
        answered_in: Some(Duration::ZERO),
    };
    (10..100)
        .map(|number| node_at(host(number)))
        .find(|node| {
            let candidates = vec![candidate(preferred), candidate(other)];
            order_of_controllers(*node, candidates)[0] == preferred
        })
        .expect("a node that prefers the controller")
}

/// A controller under test, a follower that prefers it, and a mock leader.
struct Fleet {
    controller: ControllerHandle,
    leader: Arc<MockLeader>,
    peers: Arc<Peers>,
    follower: Arc<FleetFollower>,
    lagging_node: NodeId,
    leader_node: NodeId,
    _folder: TempDir,
}

impl Fleet {
    /// Starts with version 1 active everywhere and the follower connected to the controller under test.
    async fn start() -> Self {
        let folder = TempDir::new().expect("a folder");
        let [a, b, c, _] = new_subnet().octets();
        let host = |number: u8| Ipv4Addr::new(a, b, c, number);
        let addresses = PeerAddresses {
            first_port: free_port(host(1)),
        };
        let [lagging_node, leader_node, silent_node] =
            [1, 2, 3].map(|number| node_at(host(number)));
        let settings = controller_settings(
            lagging_node,
            folder.path(),
            addresses,
            vec![lagging_node, leader_node, silent_node],
        );
        let controller = controller::start(settings).await.expect("a controller");
        let leader = Arc::new(MockLeader {
            log: Mutex::default(),
        });
        let handler = Arc::new(LeaderPeers {
            leader: leader.clone(),
            controllers: vec![lagging_node, leader_node],
        });
        let peers = start_peers(
            leader_node,
            addresses,
            PeerPort::Controller,
            handler.clone(),
        );
        let peers = Arc::new(peers.expect("a port"));
        peers.set_address(
            lagging_node,
            addresses.of(lagging_node, PeerPort::Controller),
        );
        leader.commit(1);
        send(&peers, leader_node, lagging_node, leader.append(true));
        let heartbeats = send_heartbeats(peers.clone(), leader.clone(), leader_node, lagging_node);
        tokio::spawn(heartbeats);
        let node = node_preferring(host, lagging_node, leader_node);
        let follower_peers = start_peers(node, addresses, PeerPort::Gateway, handler);
        let follower = FleetFollower::new(
            Arc::new(follower_peers.expect("a port")),
            addresses,
            FollowerKind::Gateway { revocation: None },
            Box::new(move || vec![lagging_node, leader_node]),
        );
        tokio::spawn(follower.clone().run());
        let fleet = Self {
            controller,
            leader,
            peers,
            follower,
            lagging_node,
            leader_node,
            _folder: folder,
        };
        wait_until(async || fleet.version() == Some(1)).await;
        wait_until(async || fleet.followed_controller() == Some(lagging_node)).await;
        fleet
    }

    fn version(&self) -> Option<u64> {
        self.follower.view().routing.map(|routing| routing.version)
    }

    fn followed_controller(&self) -> Option<NodeId> {
        self.follower.controllers().first().copied()
    }

    /// Sends all missing entries to the controller under test.
    fn catch_up(&self) {
        let entries = self.leader.append(true);
        send(&self.peers, self.leader_node, self.lagging_node, entries);
    }
}

#[actix_rt::test]
async fn lagging_controller_does_not_delay_its_gateways() {
    let fleet = Fleet::start().await;
    fleet.leader.commit(2);
    let updated = wait_until(async || fleet.version() == Some(2));
    let is_in_time = timeout(PROPAGATION_LIMIT, updated).await.is_ok();
    assert!(
        is_in_time,
        "the gateway still uses version {:?}",
        fleet.version()
    );
}

/// Guards against reporting a machine's retirement as unknown when its request may be among the missing entries.
#[actix_rt::test]
async fn lagging_controller_does_not_report_retirement_as_unknown() {
    let fleet = Fleet::start().await;
    let known = fleet.controller.retirement("store-1");
    assert_eq!(known, Err(ControlError::UnknownMachine));
    fleet.leader.commit(2);
    wait_until(async || !fleet.controller.is_up_to_date()).await;
    let unsure = fleet.controller.retirement("store-1");
    assert_eq!(unsure, Err(ControlError::OutcomeUnknown));
    fleet.catch_up();
    wait_until(async || fleet.controller.is_up_to_date()).await;
    let known = fleet.controller.retirement("store-1");
    assert_eq!(known, Err(ControlError::UnknownMachine));
}

/// Guards against connections staying concentrated on the leader after a network partition.
#[actix_rt::test]
async fn gateway_returns_to_its_preferred_controller_once_that_has_caught_up() {
    let fleet = Fleet::start().await;
    fleet.leader.commit(2);
    wait_until(async || fleet.followed_controller() == Some(fleet.leader_node)).await;
    sleep(PREFERRED_RETRY_WAIT).await;
    assert_eq!(
        fleet.followed_controller(),
        Some(fleet.leader_node),
        "the preferred controller lacks version 2"
    );
    fleet.catch_up();
    wait_until(async || fleet.followed_controller() == Some(fleet.lagging_node)).await;
    fleet.leader.commit(3);
    fleet.catch_up();
    wait_until(async || fleet.version() == Some(3)).await;
    assert_eq!(fleet.followed_controller(), Some(fleet.lagging_node));
}
