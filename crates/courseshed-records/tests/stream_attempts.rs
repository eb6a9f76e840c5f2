//! Streams under way: what a store keeps of them, and which one a client goes on from.

use std::time::Duration;

use bytes::Bytes;
use courseshed_records::{
    AttemptReceipt, AttemptUpdate, EventMark, OutputPiece, ResumedAttempt, StreamAttempt,
    StreamAttempts, resumed_attempt,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const KEEP: Duration = Duration::from_secs(10);
const STREAM: &str = "asked";

fn update(request: &str, output: Option<OutputPiece>) -> AttemptUpdate {
    AttemptUpdate {
        request: request.to_owned(),
        resumes: None,
        version: Some("v1".to_owned()),
        output,
    }
}

/// One event of ten bytes for each ID.
fn piece(ids: std::ops::Range<u64>) -> OutputPiece {
    let offset = (ids.start - 1) * 10;
    let data: String = ids.clone().map(|id| format!("event-{id:03}\n")).collect();
    OutputPiece {
        offset,
        data: Bytes::from(data),
        marks: ids.map(|id| EventMark { id, end: id * 10 }).collect(),
    }
}

fn beginning(attempts: &StreamAttempts, through: u64) -> Option<Bytes> {
    let known = attempts.attempts_at(Duration::ZERO, STREAM, Some(through));
    known.first().expect("an attempt").beginning.clone()
}

/// Guards against an output with a gap, or with a part twice, whichever pieces arrive in which order.
#[test]
fn output_never_has_a_gap_nor_a_part_twice() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let whole = piece(1..21).data;
    for _ in 0..200 {
        let mut attempts = StreamAttempts::default();
        for _ in 0..random.random_range(1..12) {
            let from = random.random_range(1..20);
            let to = random.random_range(from + 1..21);
            let sent = update("a", Some(piece(from..to)));
            attempts.record(Duration::ZERO, STREAM.to_owned(), sent, KEEP);
        }
        let kept: Vec<u64> = (1..21)
            .filter(|id| beginning(&attempts, *id).is_some())
            .collect();
        assert_eq!(kept, (1..=kept.len() as u64).collect::<Vec<_>>());
        for id in kept {
            let expected = whole.slice(..id as usize * 10);
            assert_eq!(beginning(&attempts, id), Some(expected));
        }
    }
}

/// Guards against a store that takes outputs without end, and against an attempt that was accepted and has no room.
#[test]
fn attempts_beyond_the_budget_are_refused_before_they_run() {
    let mut attempts = StreamAttempts::default();
    let mut open = |number: usize, output| {
        let request = update(&format!("a-{number}"), output);
        attempts.record(Duration::ZERO, format!("s-{number}"), request, KEEP)
    };
    let empty = || Some(OutputPiece::default());
    let accepted = (0..)
        .take_while(|number| open(*number, empty()) != AttemptReceipt::Full)
        .count();
    assert!((100..10_000).contains(&accepted), "{accepted} attempts");
    assert_eq!(
        open(0, Some(piece(1..3))),
        AttemptReceipt::Recorded { kept: 20 }
    );
    assert_eq!(
        open(accepted + 1, None),
        AttemptReceipt::Recorded { kept: 0 }
    );
    attempts.expire(KEEP);
    assert!(attempts.is_empty());
    assert_eq!(attempts.charged_bytes(), 0);
}

#[test]
fn expired_attempts_are_unknown() {
    let mut attempts = StreamAttempts::default();
    attempts.record(Duration::ZERO, STREAM.to_owned(), update("a", None), KEEP);
    assert_eq!(attempts.attempts_at(KEEP, STREAM, None), Vec::new());
}

fn attempt(
    request: &str,
    resumes: Option<&str>,
    version: &str,
    text: Option<&str>,
) -> StreamAttempt {
    StreamAttempt {
        request: request.to_owned(),
        resumes: resumes.map(str::to_owned),
        version: Some(version.to_owned()),
        beginning: text.map(|text| Bytes::copy_from_slice(text.as_bytes())),
    }
}

/// Guards against a guess among several streams that ask for the same, and against one that goes on from an attempt
/// which another one has taken up since.
#[parameterized(
    nothing_known = { vec![], None, Err(ResumedAttempt::Unknown) },
    one = { vec![attempt("a", None, "v1", Some("x"))], None, Ok("a") },
    two_alike = { vec![attempt("a", None, "v1", None), attempt("b", None, "v1", None)], None, Ok("a") },
    two_versions = { vec![attempt("a", None, "v1", None), attempt("b", None, "v2", None)], None, Err(ResumedAttempt::Ambiguous) },
    two_texts = { vec![attempt("a", None, "v1", Some("x")), attempt("b", None, "v1", Some("y"))], None, Err(ResumedAttempt::Ambiguous) },
    two_texts_one_named = { vec![attempt("a", None, "v1", Some("x")), attempt("b", None, "v1", Some("y"))], Some("b"), Ok("b") },
    one_without_the_last_event = { vec![attempt("a", None, "v1", None), attempt("b", None, "v1", Some("x"))], None, Ok("b") },
    taken_up = { vec![attempt("a", None, "v1", Some("old")), attempt("b", Some("a"), "v1", Some("new"))], None, Ok("b") },
    taken_up_twice = { vec![attempt("a", None, "v1", Some("old")), attempt("b", Some("a"), "v1", Some("new")), attempt("c", Some("b"), "v1", Some("new"))], None, Ok("c") },
    named_and_not_known = { vec![attempt("a", None, "v1", None)], Some("b"), Err(ResumedAttempt::Unknown) },
)]
fn client_goes_on_from(
    known: Vec<StreamAttempt>,
    named: Option<&str>,
    expected: Result<&str, ResumedAttempt>,
) {
    match (resumed_attempt(known, named), expected) {
        (ResumedAttempt::Found { request, .. }, Ok(expected)) => assert_eq!(request, expected),
        (found, expected) => assert_eq!(Err(found), expected),
    }
}

/// Guards against a replica that lacks a part of an attempt and hides what another one has.
#[test]
fn replies_of_replicas_are_merged() {
    let partial = StreamAttempt {
        version: None,
        ..attempt("a", None, "v1", None)
    };
    let whole = attempt("a", Some("z"), "v1", Some("x"));
    for replies in [[partial.clone(), whole.clone()], [whole, partial]] {
        let found = resumed_attempt(replies, None);
        let expected = ResumedAttempt::Found {
            request: "a".to_owned(),
            version: Some("v1".to_owned()),
            beginning: Some(Bytes::from_static(b"x")),
        };
        assert_eq!(found, expected);
    }
}
