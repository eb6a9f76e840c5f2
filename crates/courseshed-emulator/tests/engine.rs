//! The engine client against emulated engines: each promise, and each failure on demand.

mod support;

use courseshed_emulator::EmulatedEngine;
use courseshed_emulator::answer::expected_answer;
use courseshed_emulator::engine::{EventFaults, FaultOrder};
use courseshed_engine::protocol::{EngineErrorCode, FencedOrder, RequestState};
use courseshed_engine::{EngineConnector, EngineError, EngineTimeouts};
use courseshed_types::call::FinishReason;
use courseshed_types::dispatch::CacheChange;
use courseshed_types::{ChatMessage, ChatRole, EngineCall, ModelName, Sequence, Tokens, Verdict};
use std::time::Duration;
use support::*;

#[test]
fn a_streamed_answer_is_whole_and_its_own() {
    with_engine(fast(), async |setup: Setup| {
        let calls: Vec<EngineCall> = (0..20).map(|number| call(number, 50)).collect();
        let mut streams = Vec::new();
        for call in &calls {
            streams.push(setup.client.start_stream(call).await.expect("it starts"));
        }
        for (call, stream) in calls.iter().zip(&mut streams) {
            let (text, finish) = read(stream).await;
            assert_eq!(text, expected_answer(&call.messages, 50));
            let finish = finish.expect("it finishes");
            assert_eq!(finish.reason, FinishReason::Stop);
            assert_eq!(finish.usage.completion_tokens, Tokens(50));
        }
        let ran = setup.engine.ran();
        assert_eq!(ran.requests.len(), 20);
        assert!(ran.requests.iter().all(|request| request.runs == 1));
        let branch = &ran.branches["guild/quotes"];
        assert_eq!(branch.output_tokens, 1_000);
    });
}

#[test]
fn max_tokens_cuts_the_answer() {
    with_engine(fast(), async |setup: Setup| {
        let mut call = call(1, 50);
        call.max_tokens = Tokens(7);
        let mut stream = setup.client.start_stream(&call).await.expect("it starts");
        let (text, finish) = read(&mut stream).await;
        assert_eq!(text, expected_answer(&call.messages, 7));
        assert_eq!(finish.expect("it finishes").reason, FinishReason::Length);
    });
}

#[test]
fn a_known_request_id_never_runs_again() {
    with_engine(fast(), async |setup: Setup| {
        let call = call(1, 30);
        let mut stream = setup.client.start_stream(&call).await.expect("it starts");
        let again = setup
            .client
            .start_stream(&call)
            .await
            .err()
            .expect("refused");
        assert!(again.known_state().is_some());
        assert_eq!(again.verdict(), Verdict::MayHaveRun);
        read(&mut stream).await.1.expect("it finishes");
        let again = setup
            .client
            .start_stream(&call)
            .await
            .err()
            .expect("refused");
        assert_eq!(again.known_state(), Some(RequestState::Finished));
        assert_eq!(setup.engine.ran().requests[0].runs, 1);
    });
}

#[test]
fn a_cut_stream_is_resumed_from_its_offset() {
    with_engine(fast(), async |setup: Setup| {
        let call = call(1, 200);
        let mut stream = setup.client.start_stream(&call).await.expect("it starts");
        let mut text = read_some(&mut stream, 3).await;
        setup.engine.fault(&FaultOrder {
            cut_streams: true,
            ..FaultOrder::default()
        });
        let (more, cut) = read(&mut stream).await;
        text.push_str(&more);
        assert_eq!(cut.expect_err("it was cut").verdict(), Verdict::MayHaveRun);
        let offset = stream.offset();
        let resumed = setup.client.resume(&call.request, offset).await;
        let (rest, finish) = read(&mut resumed.expect("it is known")).await;
        text.push_str(&rest);
        assert_eq!(text, expected_answer(&call.messages, 200));
        finish.expect("it finishes");
        assert_eq!(setup.engine.ran().requests[0].runs, 1);
    });
}

#[test]
fn a_caller_that_goes_away_does_not_cancel() {
    with_engine(fast(), async |setup: Setup| {
        let call = call(1, 60);
        drop(setup.client.start_stream(&call).await.expect("it starts"));
        let mut resumed = setup.client.resume(&call.request, 0).await.expect("known");
        let (text, finish) = read(&mut resumed).await;
        finish.expect("it finishes");
        assert_eq!(text, expected_answer(&call.messages, 60));
        let status = setup.client.lookup(&call.request).await.expect("an answer");
        assert_eq!(status.state, RequestState::Finished);
        assert_eq!(status.answer, Some(text));
    });
}

#[test]
fn a_crash_cuts_streams_and_forgets_requests() {
    with_engine(fast(), async |setup: Setup| {
        let call = call(1, 500);
        setup.engine.fault(&FaultOrder {
            crash_after_tokens: Some(20),
            down_ms: Some(100),
            ..FaultOrder::default()
        });
        let mut stream = setup.client.start_stream(&call).await.expect("it starts");
        let (_, end) = read(&mut stream).await;
        assert_eq!(end.expect_err("it crashed").verdict(), Verdict::MayHaveRun);
        let status = loop {
            match setup.client.lookup(&call.request).await {
                Ok(status) => break status,
                Err(_) => actix_rt::time::sleep(Duration::from_millis(10)).await,
            }
        };
        assert_eq!(status.state, RequestState::Unknown);
        assert_eq!(status.start, 2);
        let ran = setup.engine.ran();
        assert_eq!((ran.requests[0].runs, ran.requests[0].finished), (1, 0));
    });
}

#[test]
fn nothing_ran_where_nobody_listens() {
    with_engine(fast(), async |setup: Setup| {
        setup.engine.stop();
        let error = setup
            .client
            .start_stream(&call(1, 5))
            .await
            .err()
            .expect("refused");
        assert!(matches!(error, EngineError::Connect { .. }), "{error}");
        assert_eq!(error.verdict(), Verdict::NotRun);
    });
}

#[test]
fn a_cancelled_unknown_request_never_starts() {
    with_engine(fast(), async |setup: Setup| {
        let call = call(1, 5);
        let status = setup.client.cancel(&call.request).await.expect("an answer");
        assert_eq!(status.state, RequestState::NeverStarted);
        let late = setup
            .client
            .start_stream(&call)
            .await
            .err()
            .expect("refused");
        assert_eq!(late.known_state(), Some(RequestState::NeverStarted));
        assert_eq!(late.verdict(), Verdict::NotRun);
        assert!(setup.engine.ran().requests.is_empty());
    });
}

#[test]
fn a_running_request_is_cancelled_for_good() {
    with_engine(fast(), async |setup: Setup| {
        let call = call(1, 1_000);
        let mut stream = setup.client.start_stream(&call).await.expect("it starts");
        read_some(&mut stream, 2).await;
        let status = setup.client.cancel(&call.request).await.expect("an answer");
        assert_eq!(status.state, RequestState::Cancelled);
        let (_, end) = read(&mut stream).await;
        assert!(matches!(end, Err(EngineError::StreamFailed { .. })));
        assert_eq!(setup.client.load().await.expect("a report").running, 0);
    });
}

#[test]
fn a_hanging_engine_times_out_with_doubt() {
    with_engine(fast(), async |setup: Setup| {
        setup.engine.fault(&FaultOrder {
            hang_ms: Some(60_000),
            ..FaultOrder::default()
        });
        let connector = EngineConnector::new(EngineTimeouts {
            first_token: Duration::from_millis(50),
            connect: Duration::from_millis(100),
            ..EngineTimeouts::default()
        });
        let client = connector.engine(setup.client.address());
        let error = client
            .start_stream(&call(1, 5))
            .await
            .err()
            .expect("it hangs");
        assert!(matches!(error, EngineError::TimedOut { .. }), "{error}");
        assert_eq!(error.verdict(), Verdict::MayHaveRun);
    });
}

#[test]
fn a_leaving_engine_refuses_for_good() {
    with_engine(fast(), async |setup: Setup| {
        let call = call(1, 5);
        let order = FencedOrder::SetLeaving { leaving: true };
        setup.client.order(1, order).await.expect("obeyed");
        let refused = setup
            .client
            .start_stream(&call)
            .await
            .err()
            .expect("refused");
        assert_eq!(refused.verdict(), Verdict::NotRun);
        let order = FencedOrder::SetLeaving { leaving: false };
        setup.client.order(1, order).await.expect("obeyed");
        let late = setup
            .client
            .start_stream(&call)
            .await
            .err()
            .expect("refused");
        assert_eq!(late.known_state(), Some(RequestState::NeverStarted));
        let report = setup.engine.ran();
        assert!(report.requests.is_empty());
        let arrivals = report.late_arrivals.iter();
        let names: Vec<_> = arrivals.map(|arrival| arrival.request.clone()).collect();
        assert_eq!(names, [call.request.to_string()]);
    });
}

#[test]
fn a_lower_fence_is_refused_and_loads_take_time() {
    with_engine(fast(), async |setup: Setup| {
        let client = &setup.client;
        let load = |name: &str| FencedOrder::LoadModel {
            model: ModelName::from(name),
            version: None,
        };
        let status = client.order(5, load("large")).await.expect("obeyed");
        assert!(
            status
                .models
                .iter()
                .any(|model| &*model.id.0 == "large" && !model.ready)
        );
        let error = client.order(4, load("other")).await.expect_err("refused");
        assert_eq!(refusal_code(&error), Some(EngineErrorCode::FenceTooLow));
        loop {
            let models = client.models().await.expect("a list").data;
            if models.iter().all(|model| model.ready) {
                break assert_eq!(models.len(), 2);
            }
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
        let drop = FencedOrder::DropModel {
            model: ModelName::from("base"),
        };
        client.order(5, drop).await.expect("obeyed");
        let error = client
            .start_stream(&call(1, 5))
            .await
            .err()
            .expect("refused");
        assert_eq!(refusal_code(&error), Some(EngineErrorCode::ModelNotLoaded));
    });
}

#[test]
fn leases_are_listed_expire_and_are_given_up() {
    with_engine(fast(), async |setup: Setup| {
        let client = &setup.client;
        let missing = client.put_lease(program(9), Duration::from_secs(1)).await;
        assert_eq!(
            refusal_code(&missing.expect_err("refused")),
            Some(EngineErrorCode::NotFound)
        );
        for number in 1..=2 {
            let mut stream = client
                .start_stream(&call(number, 100))
                .await
                .expect("it starts");
            read(&mut stream).await.1.expect("it finishes");
        }
        let long = client
            .put_lease(program(1), Duration::from_secs(60))
            .await
            .expect("granted");
        assert!(long.held_tokens >= Tokens(96));
        client
            .put_lease(program(2), Duration::from_millis(1))
            .await
            .expect("granted");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
        let listed = client.leases().await.expect("a list").leases;
        assert_eq!(listed.len(), 1);
        assert_eq!(listed[0].program, program(1));
        client.delete_lease(program(1)).await.expect("given up");
        client
            .delete_lease(program(1))
            .await
            .expect("no error the second time");
        assert_eq!(client.load().await.expect("a report").leased_blocks, 0);
    });
}

#[test]
fn a_prefix_moves_from_one_engine_to_another() {
    with_engine(fast(), async |setup: Setup| {
        let other = EmulatedEngine::start(fast()).expect("it starts");
        let connector = EngineConnector::new(EngineTimeouts::default());
        let other_client = connector.engine(&other.address().to_string());
        let mut call = call(1, 100);
        let mut stream = setup.client.start_stream(&call).await.expect("it starts");
        let (answer, _) = read(&mut stream).await;
        let exported = setup.client.export(program(1), true).await.expect("out");
        assert_eq!(
            setup.client.load().await.expect("a report").cached_blocks,
            0
        );
        let imported = other_client.import(&exported).await.expect("in");
        assert_eq!(imported.tokens, exported.tokens);

        call.request.call.sequence = Sequence(2);
        call.messages
            .push(ChatMessage::text(ChatRole::Assistant, answer));
        call.messages
            .push(ChatMessage::text(ChatRole::User, "And a car?"));
        let mut stream = other_client.start_stream(&call).await.expect("it starts");
        let finish = read(&mut stream).await.1.expect("it finishes");
        assert_eq!(finish.usage.cached_tokens, exported.tokens);
    });
}

#[test]
fn cache_events_come_with_gaps_on_demand() {
    with_engine(fast(), async |setup: Setup| {
        let client = &setup.client;
        let mut stream = client.start_stream(&call(1, 100)).await.expect("it starts");
        read(&mut stream).await.1.expect("it finishes");
        let batch = client.cache_events(0).await.expect("a batch");
        assert_eq!(batch.events.len(), 2);
        assert!(
            matches!(batch.events[1].change, CacheChange::Stored(tokens) if tokens >= Tokens(96))
        );
        setup.engine.fault(&FaultOrder {
            events: Some(EventFaults {
                drop: 1.0,
                ..EventFaults::default()
            }),
            ..FaultOrder::default()
        });
        let mut stream = client.start_stream(&call(2, 100)).await.expect("it starts");
        read(&mut stream).await.1.expect("it finishes");
        let none = client.cache_events(batch.last).await.expect("a batch");
        assert!(none.events.is_empty());
        setup.engine.fault(&FaultOrder {
            events: Some(EventFaults::default()),
            ..FaultOrder::default()
        });
        let mut stream = client.start_stream(&call(3, 100)).await.expect("it starts");
        read(&mut stream).await.1.expect("it finishes");
        let after = client.cache_events(batch.last).await.expect("a batch");
        assert_eq!(
            after.events[0].number,
            batch.last + 3,
            "two numbers are missing"
        );
    });
}
