//! The buffer between a call's task and its caller's connection.

use std::task::{Context, Poll, Waker};

use courseshed_types::{CallId, CallOutcome, ProgramId, Sequence, ShardId};

use super::*;

const BOUNDS: StallBounds = StallBounds {
    buffer_bytes: 10,
    patience: Duration::from_millis(5),
};

/// All text that is there for a caller now, as one write would carry it.
fn written(reader: &CallReader) -> Vec<String> {
    let mut context = Context::from_waker(Waker::noop());
    let mut seen = Vec::new();
    loop {
        match reader.poll_progress(&mut context) {
            Poll::Ready(CallProgress::Text) => {
                seen.push(
                    reader
                        .take_text(|_, _, text| text.to_owned())
                        .expect("a place"),
                );
            }
            Poll::Ready(CallProgress::End(CallEnd::Broken(error))) => {
                seen.push(format!("broken: {}", error.code.as_str()));
                return seen;
            }
            Poll::Ready(CallProgress::End(CallEnd::Settled(_))) => {
                seen.push("settled".to_owned());
                return seen;
            }
            Poll::Pending => return seen,
        }
    }
}

fn settled() -> SettledCall {
    SettledCall {
        call: CallId {
            program: ProgramId {
                shard: ShardId(0),
                number: 1,
            },
            sequence: Sequence(1),
        },
        outcome: CallOutcome::Failed(diverged()),
    }
}

#[test]
fn tokens_that_come_together_leave_together() {
    let (mut sink, reader) = call_text(BOUNDS, true, 0);
    sink.begin_attempt(Attempt(1));
    sink.text("one ");
    sink.text("two ");
    assert_eq!(written(&reader), ["one two "]);
    sink.text("three");
    assert_eq!(written(&reader), ["three"]);
    assert_eq!(sink.attempt_text(), "one two three");
    sink.settled(settled());
    assert_eq!(written(&reader), ["settled"]);
}

#[test]
fn a_second_attempt_that_agrees_goes_on_where_the_first_stopped() {
    let (mut sink, reader) = call_text(BOUNDS, true, 0);
    sink.begin_attempt(Attempt(1));
    sink.text("one ");
    sink.text("two ");
    assert_eq!(written(&reader), ["one two "]);
    sink.begin_attempt(Attempt(2));
    sink.text("one");
    assert_eq!(sink.attempt_text(), "one");
    assert!(written(&reader).is_empty());
    sink.text(" two three");
    assert_eq!(written(&reader), ["three"]);
    assert_eq!(sink.attempt_text(), "one two three");
}

#[test]
fn a_second_attempt_that_differs_ends_the_stream() {
    let (mut sink, reader) = call_text(BOUNDS, true, 0);
    sink.begin_attempt(Attempt(1));
    sink.text("one ");
    assert_eq!(written(&reader), ["one "]);
    sink.begin_attempt(Attempt(2));
    sink.text("two three");
    sink.text(" four");
    assert_eq!(written(&reader), ["broken: engine_failed"]);
    assert_eq!(sink.attempt_text(), "two three four");
    drop(reader);
    sink.text(" five");
    assert_eq!(sink.attempt_text(), "two three four five");
}

#[test]
fn without_a_listener_only_the_last_attempt_counts() {
    let (mut sink, reader) = call_text(BOUNDS, false, 0);
    sink.begin_attempt(Attempt(1));
    sink.text("one ");
    sink.begin_attempt(Attempt(2));
    sink.text("two ");
    assert_eq!(sink.attempt_text(), "two ");
    assert!(written(&reader).is_empty());
}

#[test]
fn text_the_caller_had_is_not_sent_again() {
    let (mut sink, reader) = call_text(BOUNDS, true, 5);
    sink.begin_attempt(Attempt(1));
    sink.text("one ");
    assert!(written(&reader).is_empty());
    sink.text("two ");
    sink.text("three");
    assert_eq!(written(&reader), ["wo three"]);
}

#[test]
fn a_place_inside_a_character_is_none() {
    let (mut sink, reader) = call_text(BOUNDS, true, 1);
    sink.begin_attempt(Attempt(1));
    sink.text("é and more");
    assert!(reader.take_text(|_, _, _| ()).is_none());
}

#[test]
fn a_slow_reader_holds_nothing_up_and_loses_nothing() {
    let (mut sink, reader) = call_text(BOUNDS, true, 0);
    sink.begin_attempt(Attempt(1));
    for _ in 0..10_000 {
        sink.text("word ");
    }
    let text = written(&reader).concat();
    assert_eq!(text.len(), 50_000);
}

#[test]
fn a_task_that_is_gone_is_told() {
    let (sink, reader) = call_text(BOUNDS, true, 0);
    drop(sink);
    assert_eq!(written(&reader), ["broken: internal"]);
}

#[actix_web::test]
async fn a_reader_that_stopped_keeps_no_settled_answer() {
    let (mut sink, reader) = call_text(BOUNDS, true, 0);
    sink.begin_attempt(Attempt(1));
    sink.text("more than the caller may hold");
    sink.settled(settled());
    // Timers of one thread fire in order.
    sleep(BOUNDS.patience * 10).await;
    assert_eq!(written(&reader), ["broken: unavailable"]);
}
