//! What nodes say to each other survives the wire, and is as small as the budget of control traffic assumes.

use std::time::Duration;

use courseshed_consensus::{
    Entry, EntryPayload, GroupId, LogIndex, Message, MessageBody, Probe, ReplicaAddress, ReplicaId,
    Term,
};
use courseshed_node::protocol::{NodeMessage, ShardLogMessage};

/// Bytes that `docs/design/shard-replication.md` counts for a heartbeat.
const HEARTBEAT_BYTES: usize = 90;

fn append(entries: Vec<Entry>) -> NodeMessage {
    let message = Message {
        group: GroupId(200),
        from: ReplicaAddress::new(ReplicaId(300), 1_796_196_766_367_000),
        to: ReplicaId(301),
        term: Term(70),
        body: MessageBody::Append {
            previous_index: LogIndex(1_000_000),
            previous_term: Term(70),
            entries,
            commit: LogIndex(1_000_000),
            probe: Probe {
                round: 1_000_000,
                sent_at: Duration::from_micros(86_400_123_456),
            },
        },
    };
    NodeMessage::ShardLog(ShardLogMessage {
        generation: 1,
        message: Box::new(message),
    })
}

#[test]
fn a_heartbeat_is_small() {
    let bytes = rmp_serde::to_vec_named(&append(Vec::new())).expect("encoded");
    assert!(bytes.len() <= HEARTBEAT_BYTES, "{} bytes", bytes.len());
}

#[test]
fn entries_survive_the_wire() {
    let entry = Entry {
        term: Term(70),
        index: LogIndex(1_000_001),
        payload: EntryPayload::Data(vec![7_u8; 1_000].into()),
    };
    let sent = append(vec![entry]);
    let bytes = rmp_serde::to_vec_named(&sent).expect("encoded");
    let received: NodeMessage = rmp_serde::from_slice(&bytes).expect("decoded");
    let (NodeMessage::ShardLog(sent), NodeMessage::ShardLog(received)) = (sent, received) else {
        panic!("another message came out");
    };
    assert_eq!(sent.message, received.message);
    assert_eq!(sent.generation, received.generation);
}
