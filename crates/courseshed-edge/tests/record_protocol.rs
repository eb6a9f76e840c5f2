//! Requests for records between releases that run side by side during an upgrade.

use courseshed_edge::protocol::{ChainReading, RecordOperation};
use courseshed_records::ExportCursor;
use serde::Deserialize;

/// The operations of the release before parts of chains and ages of exports.
#[derive(Debug, PartialEq, Eq, Deserialize)]
enum EarlierOperation {
    Chain { id: String },
    Export { cursor: EarlierCursor },
}

#[derive(Debug, PartialEq, Eq, Deserialize)]
struct EarlierCursor {
    program: Option<String>,
    turn: Option<String>,
}

fn read_by_earlier_release(operation: &RecordOperation) -> EarlierOperation {
    let bytes = rmp_serde::to_vec_named(operation).expect("encodable");
    rmp_serde::from_slice(&bytes).expect("readable")
}

/// Guards against stores of an earlier release that refuse requests for parts of chains.
#[test]
fn earlier_release_reads_a_request_for_a_part_as_one_for_the_whole_chain() {
    for reading in [
        ChainReading::Whole,
        ChainReading::Part,
        ChainReading::Repair { max_turns: 3 },
    ] {
        let id = "turn".to_owned();
        let operation = RecordOperation::Chain { id, reading };
        let id = "turn".to_owned();
        assert_eq!(
            read_by_earlier_release(&operation),
            EarlierOperation::Chain { id }
        );
    }
}

/// Guards against stores of an earlier release that refuse to export to a store that was away.
#[test]
fn earlier_release_exports_everything_if_asked_for_recent_records() {
    let cursor = ExportCursor {
        max_age_ms: Some(4_000),
        ..ExportCursor::default()
    };
    let operation = RecordOperation::Export { cursor };
    let cursor = EarlierCursor {
        program: None,
        turn: None,
    };
    assert_eq!(
        read_by_earlier_release(&operation),
        EarlierOperation::Export { cursor }
    );
}

/// Guards against bytes on the way of turns whose chain has no gap.
#[test]
fn request_for_a_whole_chain_is_encoded_as_in_earlier_releases() {
    let operation = RecordOperation::Chain {
        id: "turn".to_owned(),
        reading: ChainReading::Whole,
    };
    let encoded = serde_json::to_string(&operation).expect("encodable");
    assert_eq!(encoded, r#"{"Chain":{"id":"turn"}}"#);
    let cursor = serde_json::to_string(&ExportCursor::default()).expect("encodable");
    assert_eq!(cursor, r#"{"program":null,"turn":null}"#);
}
