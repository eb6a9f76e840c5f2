//! Two transports over loopback: sending, asking, losing a peer, and what an asker may conclude.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use courseshed_transport::{
    Handler, PeerIdentity, Protocol, ReplySender, RequestError, TrafficClass, Transport,
    TransportSettings, TransportTiming,
};
use courseshed_types::{Incarnation, NodeId, Verdict};
use serde::{Deserialize, Serialize};
use tokio::{runtime::Handle, sync::mpsc};

const LIMIT: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(100);

#[derive(Debug, Serialize, Deserialize)]
enum Question {
    Double(u64),
    Ignore,
    Hold,
}

struct Numbers;

impl Protocol for Numbers {
    type Message = u64;
    type Request = Question;
    type Reply = u64;

    fn message_class(message: &u64) -> TrafficClass {
        if *message >= 1_000 {
            TrafficClass::Bulk
        } else {
            TrafficClass::Control
        }
    }

    fn request_class(_: &Question) -> TrafficClass {
        TrafficClass::Data
    }
}

struct Recorder {
    heard: mpsc::UnboundedSender<u64>,
    held: parking_lot::Mutex<Vec<ReplySender<Numbers>>>,
}

impl Handler<Numbers> for Recorder {
    fn on_message(&self, _: PeerIdentity, message: u64) {
        let _ = self.heard.send(message);
    }

    fn on_request(&self, _: PeerIdentity, request: Question, reply: ReplySender<Numbers>) {
        match request {
            Question::Double(number) => reply.send(number * 2),
            Question::Ignore => drop(reply),
            Question::Hold => self.held.lock().push(reply),
        }
    }
}

struct Peer {
    transport: Transport<Numbers>,
    heard: mpsc::UnboundedReceiver<u64>,
    address: SocketAddr,
}

fn start(node: u32) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (sender, heard) = mpsc::unbounded_channel();
    let recorder = Recorder {
        heard: sender,
        held: parking_lot::Mutex::default(),
    };
    let identity = PeerIdentity {
        node: NodeId(node),
        incarnation: Incarnation(1),
    };
    let settings = TransportSettings {
        identity,
        queue_capacity: 64,
        seed: u64::from(node),
        timing: TransportTiming::default(),
    };
    let transport = Transport::start(settings, listener, Arc::new(recorder), &Handle::current())
        .expect("starts");
    Peer {
        transport,
        heard,
        address,
    }
}

fn introduce(from: &Peer, to: &Peer) {
    let node = to.transport.identity().node;
    from.transport
        .set_addresses(BTreeMap::from([(node, to.address)]));
}

#[tokio::test]
async fn messages_arrive_in_order_and_requests_are_answered() {
    let first = start(1);
    let mut second = start(2);
    introduce(&first, &second);
    for number in 0..20 {
        first.transport.send(NodeId(2), number).expect("queued");
    }
    for number in 0..20 {
        assert_eq!(second.heard.recv().await, Some(number));
    }
    let asked = first
        .transport
        .request(NodeId(2), Question::Double(21), LIMIT);
    assert_eq!(asked.await, Ok(42));
    let control = first.transport.counters().snapshot(TrafficClass::Control);
    let data = second.transport.counters().snapshot(TrafficClass::Data);
    assert_eq!(control.sent_messages, 20);
    assert_eq!(data.received_messages, 1);
    assert!(data.received_bytes > 0);
}

#[tokio::test]
async fn bulk_travels_apart() {
    let first = start(1);
    let mut second = start(2);
    introduce(&first, &second);
    first.transport.send(NodeId(2), 5_000).expect("queued");
    assert_eq!(second.heard.recv().await, Some(5_000));
    let bulk = second.transport.counters().snapshot(TrafficClass::Bulk);
    assert_eq!(bulk.received_messages, 1);
}

#[tokio::test]
async fn a_node_talks_to_itself_without_a_socket() {
    let mut peer = start(1);
    peer.transport.send(NodeId(1), 7).expect("queued");
    assert_eq!(peer.heard.recv().await, Some(7));
    let asked = peer
        .transport
        .request(NodeId(1), Question::Double(4), LIMIT);
    assert_eq!(asked.await, Ok(8));
    let data = peer.transport.counters().snapshot(TrafficClass::Data);
    assert_eq!(data.sent_messages, 0);
}

#[tokio::test]
async fn an_unreachable_peer_never_saw_the_request() {
    let first = start(1);
    let second = start(2);
    introduce(&first, &second);
    drop(second);
    tokio::time::sleep(SHORT).await;
    let asked = first
        .transport
        .request(NodeId(2), Question::Double(1), LIMIT);
    let error = asked.await.expect_err("nobody listens");
    assert_eq!(error.verdict(), Verdict::NotRun);
    let unknown = first
        .transport
        .request(NodeId(3), Question::Double(1), LIMIT);
    let error = unknown.await.expect_err("nobody known");
    assert_eq!(error.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn doubt_remains_when_the_answer_does_not_come() {
    let first = start(1);
    let second = start(2);
    introduce(&first, &second);
    let held = first.transport.request(NodeId(2), Question::Hold, SHORT);
    let error = held.await.expect_err("no answer");
    assert_eq!(error, RequestError::TimedOut { node: NodeId(2) });
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    let ignored = first.transport.request(NodeId(2), Question::Ignore, LIMIT);
    let error = ignored.await.expect_err("dropped");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    let held = first.transport.request(NodeId(2), Question::Hold, LIMIT);
    let stop = async {
        tokio::time::sleep(SHORT).await;
        second.transport.stop();
    };
    let (error, ()) = tokio::join!(held, stop);
    assert_eq!(error, Err(RequestError::ConnectionLost { node: NodeId(2) }));
}

#[tokio::test]
async fn a_peer_that_comes_back_is_reached_again() {
    let first = start(1);
    let second = start(2);
    introduce(&first, &second);
    let asked = first
        .transport
        .request(NodeId(2), Question::Double(1), LIMIT);
    assert_eq!(asked.await, Ok(2));
    drop(second);
    let third = start(2);
    introduce(&first, &third);
    let mut answer = Err(RequestError::TimedOut { node: NodeId(2) });
    while answer.is_err() {
        answer = first
            .transport
            .request(NodeId(2), Question::Double(3), LIMIT)
            .await;
    }
    assert_eq!(answer, Ok(6));
}

#[tokio::test]
async fn the_wrong_node_at_an_address_is_refused() {
    let first = start(1);
    let second = start(2);
    first.transport.set_address(NodeId(9), second.address);
    let asked = first
        .transport
        .request(NodeId(9), Question::Double(1), LIMIT);
    let error = asked.await.expect_err("not node 9");
    assert_eq!(error.verdict(), Verdict::NotRun);
}

/// Longer than a peer that owes an answer may be silent.
const LONG_SILENCE: Duration = Duration::from_millis(5_500);
/// Longer than the time between two looks at a peer's silence.
const LONG_THOUGHT: Duration = Duration::from_millis(1_300);

#[tokio::test]
async fn a_peer_that_owed_nothing_for_long_may_still_take_its_time() {
    let first = start(1);
    let mut second = start(2);
    introduce(&first, &second);
    let node = second.transport.identity().node;
    first.transport.send(node, 1).expect("queued");
    assert_eq!(second.heard.recv().await, Some(1));
    tokio::time::sleep(LONG_SILENCE).await;
    let asked = first.transport.request(node, Question::Hold, LONG_THOUGHT);
    let outcome = asked.await;
    assert!(
        matches!(outcome, Err(RequestError::TimedOut { .. })),
        "the connection was given up: {outcome:?}"
    );
}
