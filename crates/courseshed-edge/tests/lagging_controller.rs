//! A controller that hears its leader, but lacks what that leader has committed.
//!
//! What was seen: operators were told that routes were in force, and 2.6 and 2.9 s later two of 79 gateways
//! answered 404 for them.
//!
//! Order of events: operators changed the routing table two or three times a second. Two of five controllers had
//! been cut off for some seconds, and returned. They heard the leader again at once, long before they had
//! been sent what had been committed meanwhile.
//!
//! Cause: a controller counted as fresh when it had heard the leader, whatever it lacked, and so told its followers
//! that nothing was new. They had no reason to ask another one.
//!
//! Proof: on a day with such a cut, `replica_behind` showed a controller that heard the leader and lacked up to 13 committed
//! entries for 1.6 s. The test below, with such a controller, left its gateway at the older table for
//! as long as it lasted.

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
use support::{controller_settings, free_port, new_subnet, plain_route, table, until};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

/// How soon a change must be in force everywhere, by the shortest bound that users ask for.
const IN_FORCE: Duration = Duration::from_secs(2);
/// More than the time after which a follower looks whether its first choice serves again.
const LONGER_THAN_A_CHECK: Duration = Duration::from_secs(7);
/// How often a leader lets its followers hear it.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// The group, term and disks' lives of the controllers of a first start.
const GROUP: GroupId = GroupId(1);
const TERM: Term = Term(1);
const INCARNATION: u64 = 1;

/// What a leader has committed, and what of it the controller under test was sent.
#[derive(Default)]
struct Log {
    state: FleetState,
    committed: Vec<Entry>,
    sent: usize,
}

/// The leader, as far as one replica and its followers see it.
struct Leader {
    log: Mutex<Log>,
}

impl Leader {
    /// Commits a version of the routing table, with the other replicas.
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

    /// All that the replica was not sent yet, or nothing: a heartbeat.
    fn append(&self, sends_entries: bool) -> MessageBody {
        let mut log = self.log.lock();
        let from = log.sent;
        if sends_entries {
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
    leader: Arc<Leader>,
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
        // This leader tells tables whole, as earlier builds do.
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

/// Lets a replica hear the leader without being sent anything.
async fn keep_hearing(peers: Arc<Peers>, leader: Arc<Leader>, from: NodeId, to: NodeId) {
    loop {
        tell(&peers, from, to, leader.append(false));
        sleep(HEARTBEAT).await;
    }
}

fn tell(peers: &Peers, from: NodeId, to: NodeId, body: MessageBody) {
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

/// A machine whose first choice among controllers is the given one.
fn follower_of(host: impl Fn(u8) -> Ipv4Addr, preferred: NodeId, other: NodeId) -> NodeId {
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
        .expect("half of all nodes prefer it")
}

/// A controller under test, a follower that prefers it, and its leader.
struct Fleet {
    controller: ControllerHandle,
    leader: Arc<Leader>,
    peers: Arc<Peers>,
    follower: Arc<FleetFollower>,
    behind: NodeId,
    leading: NodeId,
    _folder: TempDir,
}

impl Fleet {
    /// Starts with version 1 in force everywhere, and the follower at the controller under test.
    async fn start() -> Self {
        let folder = TempDir::new().expect("a folder");
        let [a, b, c, _] = new_subnet().octets();
        let host = |number: u8| Ipv4Addr::new(a, b, c, number);
        let addresses = PeerAddresses {
            first_port: free_port(host(1)),
        };
        let [behind, leading, silent] = [1, 2, 3].map(|number| node_at(host(number)));
        let settings = controller_settings(
            behind,
            folder.path(),
            addresses,
            vec![behind, leading, silent],
        );
        let controller = controller::start(settings).await.expect("a controller");
        let leader = Arc::new(Leader {
            log: Mutex::default(),
        });
        let handler = Arc::new(LeaderPeers {
            leader: leader.clone(),
            controllers: vec![behind, leading],
        });
        let peers = start_peers(leading, addresses, PeerPort::Controller, handler.clone());
        let peers = Arc::new(peers.expect("a port"));
        peers.set_address(behind, addresses.of(behind, PeerPort::Controller));
        leader.commit(1);
        tell(&peers, leading, behind, leader.append(true));
        let hearing = keep_hearing(peers.clone(), leader.clone(), leading, behind);
        tokio::spawn(hearing);
        let node = follower_of(host, behind, leading);
        let own = start_peers(node, addresses, PeerPort::Gateway, handler);
        let follower = FleetFollower::new(
            Arc::new(own.expect("a port")),
            addresses,
            FollowerKind::Gateway { revocation: None },
            Box::new(move || vec![behind, leading]),
        );
        tokio::spawn(follower.clone().run());
        let fleet = Self {
            controller,
            leader,
            peers,
            follower,
            behind,
            leading,
            _folder: folder,
        };
        until(async || fleet.version() == Some(1)).await;
        until(async || fleet.followed() == Some(behind)).await;
        fleet
    }

    fn version(&self) -> Option<u64> {
        self.follower.view().routing.map(|routing| routing.version)
    }

    fn followed(&self) -> Option<NodeId> {
        self.follower.controllers().first().copied()
    }

    /// Sends the controller under test all that it lacks.
    fn let_catch_up(&self) {
        let entries = self.leader.append(true);
        tell(&self.peers, self.leading, self.behind, entries);
    }
}

#[actix_rt::test]
async fn a_controller_that_lacks_what_is_committed_keeps_no_gateway_from_it() {
    let fleet = Fleet::start().await;
    fleet.leader.commit(2);
    let in_force = until(async || fleet.version() == Some(2));
    let is_in_time = timeout(IN_FORCE, in_force).await.is_ok();
    assert!(is_in_time, "the gateway holds {:?}", fleet.version());
}

/// Operators that asked how far the emptying of a machine is were told that nobody had asked for it.
#[actix_rt::test]
async fn a_controller_that_lacks_what_is_committed_denies_no_retirement() {
    let fleet = Fleet::start().await;
    let known = fleet.controller.retirement("store-1");
    assert_eq!(known, Err(ControlError::UnknownMachine));
    fleet.leader.commit(2);
    until(async || !fleet.controller.is_up_to_date()).await;
    let unsure = fleet.controller.retirement("store-1");
    assert_eq!(unsure, Err(ControlError::OutcomeUnknown));
    fleet.let_catch_up();
    until(async || fleet.controller.is_up_to_date()).await;
    let known = fleet.controller.retirement("store-1");
    assert_eq!(known, Err(ControlError::UnknownMachine));
}

/// After a cut nobody went back: the leader of five had 115 connections, and one that had returned 28.
#[actix_rt::test]
async fn a_gateway_returns_to_its_controller_once_that_has_caught_up() {
    let fleet = Fleet::start().await;
    fleet.leader.commit(2);
    until(async || fleet.followed() == Some(fleet.leading)).await;
    sleep(LONGER_THAN_A_CHECK).await;
    assert_eq!(fleet.followed(), Some(fleet.leading), "it lacks version 2");
    fleet.let_catch_up();
    until(async || fleet.followed() == Some(fleet.behind)).await;
    fleet.leader.commit(3);
    fleet.let_catch_up();
    until(async || fleet.version() == Some(3)).await;
    assert_eq!(fleet.followed(), Some(fleet.behind));
}
