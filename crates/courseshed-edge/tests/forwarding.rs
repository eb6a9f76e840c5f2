//! Forwarding of calls to mock servers: what the gateway forwards, refuses and retries.

mod support;

use std::time::Duration;

use courseshed_edge::gateway::{Mechanism, Policy};
use courseshed_edge::records::StoreLimits;
use courseshed_routing::CallKind;
use support::server::{Action, FINAL_CHUNK, MockServer, chunk, event, response, stream_head};
use support::{AMPLE_STORE, Fleet, call, get, plain_route, status, stream_route};

const GRACE: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn call_is_forwarded_unmodified() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| Action::Write(response(request, "hello"))).await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    let response = call(fleet.caller_addr, "c1", "", "the body").await;
    assert_eq!(status(&response), 200);
    assert!(response.ends_with("hello"), "{response}");
    let requests = server.requests();
    assert_eq!(requests.len(), 1);
    assert!(requests[0].head.starts_with("POST /a/x?y=1 HTTP/1.1"));
    assert_eq!(requests[0].header("x-server"), Some("one"));
    assert_eq!(requests[0].body, "the body");
    let unknown = get(fleet.caller_addr, "/b/").await;
    assert_eq!(status(&unknown), 404);
    let counted = "courseshed_calls_total{service=\"s\",outcome=\"answered\"}";
    let figures = fleet.metrics.text();
    assert!(figures.contains(counted), "{figures}");
}

#[actix_rt::test]
async fn stray_response_to_another_call_is_dropped() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| {
        let stray = response(request, "stray").replace("x-call: c2", "x-call: c1");
        Action::Write(format!("{stray}{}", response(request, "ours")))
    })
    .await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    let response = call(fleet.caller_addr, "c2", "", "").await;
    assert!(response.ends_with("ours"), "{response}");
}

#[actix_rt::test]
async fn connection_with_unread_bytes_is_not_reused() {
    let fleet = Fleet::start(GRACE).await;
    let server =
        MockServer::start(|request| Action::Write(format!("{}more", response(request, "whole"))))
            .await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    for id in ["c1", "c2"] {
        let response = call(fleet.caller_addr, id, "", "").await;
        assert!(response.ends_with("whole"), "{response}");
    }
    assert_eq!(server.connections(), 2);
}

#[actix_rt::test]
async fn at_most_once_call_that_may_have_run_is_not_retried() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|_| Action::WriteAndClose(String::new())).await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    let response = call(fleet.caller_addr, "c1", "", "").await;
    assert_eq!(status(&response), 502);
    assert_eq!(server.requests().len(), 1);
}

/// Guards against reporting a call as not run when its server shut down after receiving it.
#[actix_rt::test]
async fn call_whose_server_shut_down_is_not_reported_as_not_run() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|_| Action::Shutdown).await;
    let mut route = plain_route();
    route.kind = CallKind::Repeatable;
    fleet.set_routes(vec![route]).await;
    fleet.add_server("one", &server).await;
    let response = call(fleet.caller_addr, "c1", "", "").await;
    assert_eq!(server.requests().len(), 1);
    assert_eq!(status(&response), 502, "{response}");
}

#[actix_rt::test]
async fn call_rejected_as_not_run_is_retried_on_another_server() {
    let fleet = Fleet::start(GRACE).await;
    let full = MockServer::start(|request| {
        let refused = response(request, "").replace("200 OK", "503 Full");
        Action::Write(refused.replace("\r\n\r\n", "\r\nx-not-run: 1\r\n\r\n"))
    })
    .await;
    let free = MockServer::start(|request| Action::Write(response(request, "served"))).await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("full", &full).await;
    fleet.add_server("free", &free).await;
    for id in ["c1", "c2", "c3", "c4"] {
        let response = call(fleet.caller_addr, id, "", "").await;
        assert!(response.ends_with("served"), "{response}");
    }
    assert_eq!(free.requests().len(), 4);
}

/// Guards against preferring a server that fails fast because it looks idle and has a low latency.
#[actix_rt::test]
async fn failing_server_is_not_preferred_for_plain_calls() {
    const CALLS: usize = 60;
    const HEALTHY_CALL_TIME: Duration = Duration::from_millis(20);
    let fleet = Fleet::start(GRACE).await;
    let failing = MockServer::start(|request| {
        Action::Write(response(request, "broken").replace("200 OK", "500 Internal Server Error"))
    })
    .await;
    let healthy = MockServer::start(|request| {
        std::thread::sleep(HEALTHY_CALL_TIME);
        Action::Write(response(request, "served"))
    })
    .await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("failing", &failing).await;
    fleet.add_server("sound", &healthy).await;
    for index in 0..CALLS {
        let response = call(fleet.caller_addr, &format!("c{index}"), "", "").await;
        assert!(matches!(status(&response), 200 | 500), "{response}");
    }
    let (failed, served) = (failing.requests().len(), healthy.requests().len());
    assert!(failed < served / 4, "{failed} failed, {served} served");
}

/// Backoff and the pool scheduler are disabled, so that only the outcomes shared between gateways keep calls
/// away from the failing server. `pool_scheduling.rs` covers the scheduler.
#[actix_rt::test]
async fn server_that_fails_streams_is_avoided() {
    const MAX_CALLS: usize = 2_000;
    let policy = Policy::without([
        Mechanism::ServerBackoff,
        Mechanism::ServerLatency,
        Mechanism::PoolScheduler,
    ]);
    let fleet = Fleet::start_with(GRACE, policy).await;
    let failing = MockServer::start(|request| {
        Action::Write(response(request, "broken").replace("200 OK", "503 Service Unavailable"))
    })
    .await;
    let healthy = MockServer::start(|request| {
        Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(1)))
    })
    .await;
    fleet.set_routes(vec![stream_route()]).await;
    fleet.add_server("failing", &failing).await;
    fleet.add_server("sound", &healthy).await;
    let avoided = "courseshed_servers_avoided{service=\"s\"} 1";
    let mut calls = 0;
    while !fleet.metrics.text().contains(avoided) {
        calls += 1;
        assert!(
            calls < MAX_CALLS,
            "the failing server was not avoided after {MAX_CALLS} calls"
        );
        let response = call(fleet.caller_addr, &format!("c{calls}"), "", "").await;
        assert!(matches!(status(&response), 200 | 503), "{response}");
    }
    assert!(failing.requests().len() >= 4);
}

/// A stream that exceeds the caller's own deadline must not count as a failure of its server.
#[actix_rt::test]
async fn server_is_not_avoided_for_streams_past_their_deadline() {
    const CALLS: usize = 40;
    const ROUNDS: usize = 5;
    let policy = Policy::without([
        Mechanism::ServerBackoff,
        Mechanism::ServerLatency,
        Mechanism::PoolScheduler,
    ]);
    let fleet = Fleet::start_with(GRACE, policy).await;
    let slow =
        MockServer::start(|request| Action::Write(format!("{}{}", stream_head(request), event(1))))
            .await;
    let healthy = MockServer::start(|request| {
        Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(1)))
    })
    .await;
    fleet.set_routes(vec![stream_route()]).await;
    fleet.add_server("slow", &slow).await;
    fleet.add_server("sound", &healthy).await;
    for round in 0..ROUNDS {
        let calls = (0..CALLS).map(|index| {
            let caller_addr = fleet.caller_addr;
            let id = format!("c{round}-{index}");
            async move { call(caller_addr, &id, "x-time: 300\r\n", "").await }
        });
        futures_util::future::join_all(calls).await;
        let figures = fleet.metrics.text();
        assert!(!figures.contains("courseshed_servers_avoided{service=\"s\"} 1"));
    }
    assert!(slow.requests().len() >= CALLS, "{}", slow.requests().len());
}

/// Guards against waiting for the deadline when a response to a repeatable call is lost. Latency-based selection
/// is disabled, so that a loaded test machine does not steer all calls to one server.
#[actix_rt::test]
async fn repeatable_call_whose_response_is_lost_is_retried_on_another_server() {
    const ANSWERED: usize = 30;
    let policy = Policy::without([Mechanism::ServerLatency]);
    let fleet = Fleet::start_with(GRACE, policy).await;
    let mut answered = 0;
    let unresponsive = MockServer::start(move |request| {
        answered += 1;
        if answered > ANSWERED {
            return Action::Write(String::new());
        }
        Action::Write(response(request, "served"))
    })
    .await;
    let mut route = plain_route();
    route.kind = CallKind::Repeatable;
    route.max_attempts = 2;
    fleet.set_routes(vec![route]).await;
    fleet.add_server("forgetful", &unresponsive).await;
    for index in 0..ANSWERED {
        let response = call(fleet.caller_addr, &format!("c{index}"), "", "").await;
        assert!(response.ends_with("served"), "{response}");
    }
    let healthy = MockServer::start(|request| Action::Write(response(request, "served"))).await;
    fleet.add_server("sound", &healthy).await;
    for index in 0..ANSWERED {
        let response = call(fleet.caller_addr, &format!("d{index}"), "", "").await;
        assert!(response.ends_with("served"), "{response}");
    }
    assert!(unresponsive.requests().len() > ANSWERED);
}

#[actix_rt::test]
async fn truncated_stream_is_not_terminated_as_complete() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| {
        let head = stream_head(request);
        Action::WriteAndClose(format!("{head}{}{}", event(1), chunk("id: 2\nda")))
    })
    .await;
    fleet.set_routes(vec![stream_route()]).await;
    fleet.add_server("one", &server).await;
    let response = call(fleet.caller_addr, "c1", "", "").await;
    assert_eq!(status(&response), 200);
    assert!(response.contains("data: d1"));
    assert!(
        !response.contains("id: 2"),
        "a partial event was forwarded: {response}"
    );
    assert!(
        !response.ends_with(FINAL_CHUNK),
        "the truncated stream ends with the final chunk: {response}"
    );
}

#[actix_rt::test]
async fn resumable_stream_continues_after_the_last_event() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| match request.header("x-last") {
        None => Action::WriteAndClose(format!("{}{}{}", stream_head(request), event(1), event(2))),
        Some(_) => Action::Write(format!(
            "{}{}{}{FINAL_CHUNK}",
            stream_head(request),
            event(2),
            event(3)
        )),
    })
    .await;
    let mut route = stream_route();
    route.resumable = true;
    fleet.set_routes(vec![route]).await;
    fleet.add_server("one", &server).await;
    let response = call(fleet.caller_addr, "c1", "", "").await;
    assert!(response.ends_with(FINAL_CHUNK), "{response}");
    for data in ["d1", "d2", "d3"] {
        assert_eq!(response.matches(data).count(), 1, "{data} in {response}");
    }
    assert_eq!(server.requests()[1].header("x-last"), Some("2"));
}

#[actix_rt::test]
async fn program_with_exhausted_token_budget_is_refused() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| {
        Action::Write(format!(
            "{}{}{}{FINAL_CHUNK}",
            stream_head(request),
            event(1),
            event(2)
        ))
    })
    .await;
    fleet.set_routes(vec![stream_route()]).await;
    fleet.add_server("one", &server).await;
    fleet.wait_for_record_stores().await;
    let headers = "x-program: p\r\nx-budget: 70\r\nx-most: 30\r\n";
    // Each call reserves 30 tokens and uses 20, so the third fits only once the first two are settled.
    for id in ["c1", "c2", "c3"] {
        support::wait_until(async || {
            let response = call(fleet.caller_addr, id, headers, "").await;
            if status(&response) == 402 {
                return false;
            }
            assert_eq!(status(&response), 200, "{response}");
            true
        })
        .await;
    }
    let exhausted = call(fleet.caller_addr, "c4", headers, "").await;
    assert_eq!(status(&exhausted), 402, "{exhausted}");
    assert_eq!(server.requests().len(), 3);
}

/// A store with an index memory limit of 0 is full as soon as it holds a record.
#[actix_rt::test]
async fn program_is_refused_immediately_while_stores_are_full() {
    let limits = StoreLimits {
        memory_bytes: 0,
        ..AMPLE_STORE
    };
    let fleet = Fleet::start_with_store(GRACE, Policy::default(), limits).await;
    let server = MockServer::start(|request| {
        Action::Write(format!(
            "{}{}{}{FINAL_CHUNK}",
            stream_head(request),
            event(1),
            event(2)
        ))
    })
    .await;
    fleet.set_routes(vec![stream_route()]).await;
    fleet.add_server("one", &server).await;
    fleet.wait_for_record_stores().await;
    let headers = "x-program: p\r\nx-budget: 7000\r\nx-most: 30\r\n";
    let first = call(fleet.caller_addr, "c0", headers, "").await;
    assert_eq!(status(&first), 200, "{first}");
    // The store detects that it is full at its next usage check.
    support::wait_until(async || {
        let served = server.requests().len();
        let response = call(fleet.caller_addr, &format!("c{served}"), headers, "").await;
        if status(&response) == 200 {
            return false;
        }
        assert_eq!(status(&response), 503, "{response}");
        assert!(response.ends_with("no_room"), "{response}");
        assert!(response.contains("retry-after: 2.000"), "{response}");
        assert_eq!(server.requests().len(), served);
        true
    })
    .await;
}

#[actix_rt::test]
async fn turn_is_sent_with_its_preceding_turns() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| {
        Action::Write(format!(
            "{}{}{}{FINAL_CHUNK}",
            stream_head(request),
            event(1),
            event(2)
        ))
    })
    .await;
    let mut route = stream_route();
    route.stores_turns = true;
    fleet.set_routes(vec![route]).await;
    fleet.add_server("one", &server).await;
    fleet.wait_for_record_stores().await;
    let first = call(fleet.caller_addr, "t1", "", "first").await;
    assert_eq!(status(&first), 200, "{first}");
    let second = call(fleet.caller_addr, "t2", "x-previous: t1\r\n", "second").await;
    assert_eq!(status(&second), 200, "{second}");
    let third = call(fleet.caller_addr, "t3", "x-previous: t2\r\n", "third").await;
    assert_eq!(status(&third), 200);
    assert_eq!(
        server.requests()[2].body,
        "firstd1\nd2\nsecondd1\nd2\nthird"
    );
    let unknown = call(fleet.caller_addr, "t4", "x-previous: never\r\n", "x").await;
    assert_eq!(status(&unknown), 404);
}

/// Programs are stored in separate partitions, and a turn may continue one of another program.
#[actix_rt::test]
async fn turn_continues_a_turn_of_another_program() {
    const PROGRAMS: u32 = 8;
    let fleet = Fleet::start(GRACE).await;
    let respond = |request: &support::server::ReceivedRequest| {
        Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(1)))
    };
    let server = MockServer::start(respond).await;
    let mut route = stream_route();
    route.stores_turns = true;
    fleet.set_routes(vec![route]).await;
    fleet.add_server("one", &server).await;
    fleet.wait_for_record_stores().await;
    let first = call(fleet.caller_addr, "t0", "x-program: p0\r\n", "0").await;
    assert_eq!(status(&first), 200, "{first}");
    for program in 1..=PROGRAMS {
        let headers = format!("x-program: p{program}\r\nx-previous: t{}\r\n", program - 1);
        let next = call(fleet.caller_addr, &format!("t{program}"), &headers, "x").await;
        assert_eq!(status(&next), 200, "{next}");
    }
    let requests = server.requests();
    let conversation = format!("0d1\n{}x", "xd1\n".repeat(PROGRAMS as usize - 1));
    assert_eq!(requests[PROGRAMS as usize].body, conversation);
    let unknown = call(
        fleet.caller_addr,
        "t9",
        "x-program: p1\r\nx-previous: never\r\n",
        "x",
    )
    .await;
    assert_eq!(status(&unknown), 404);
}

#[actix_rt::test]
async fn prompt_with_overflowing_token_count_is_served() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| {
        Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(1)))
    })
    .await;
    fleet.set_routes(vec![stream_route()]).await;
    fleet.add_server("one", &server).await;
    let prompt = "x-prompt: 1:4294967295,2:4294967295\r\n";
    for id in ["c1", "c2"] {
        let response = call(fleet.caller_addr, id, prompt, "").await;
        assert_eq!(status(&response), 200, "{response}");
    }
}

/// A conversation that continues through another gateway is routed to the server that holds its prompt.
#[actix_rt::test]
async fn another_gateway_finds_the_server_with_the_cached_prompt_from_the_stored_turn() {
    const CONVERSATIONS: u64 = 8;
    let fleet = Fleet::start(GRACE).await;
    let respond = |request: &support::server::ReceivedRequest| {
        Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(1)))
    };
    let cached = MockServer::start(respond).await;
    let mut route = stream_route();
    route.stores_turns = true;
    fleet.set_routes(vec![route]).await;
    fleet.add_server("reader", &cached).await;
    fleet.wait_for_record_stores().await;
    for conversation in 0..CONVERSATIONS {
        let prompt = format!(
            "x-prompt: {conversation}:1000,{}:50000\r\n",
            CONVERSATIONS + conversation
        );
        let first = call(
            fleet.caller_addr,
            &format!("first{conversation}"),
            &prompt,
            "",
        )
        .await;
        assert_eq!(status(&first), 200, "{first}");
    }
    let uncached = MockServer::start(respond).await;
    fleet.add_server("stranger", &uncached).await;
    let other = fleet.start_second_gateway().await;
    support::wait_until(async || {
        call(other.caller_addr, support::server::PROBE_CALL_ID, "", "").await;
        cached.probes() > 0 && uncached.probes() > 1
    })
    .await;
    for conversation in 0..CONVERSATIONS {
        let headers = format!(
            "x-previous: first{conversation}\r\nx-prompt: {conversation}:1000,{}:50020\r\n",
            CONVERSATIONS + conversation
        );
        let second = call(
            other.caller_addr,
            &format!("second{conversation}"),
            &headers,
            "",
        )
        .await;
        assert_eq!(status(&second), 200, "{second}");
    }
    assert_eq!(uncached.requests().len(), 0);
}

/// Guards against accepting calls during shutdown that the process cannot finish before it exits.
#[actix_rt::test]
async fn stopping_gateway_accepts_only_calls_it_can_finish() {
    let mut fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| Action::Write(response(request, "served"))).await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    call(fleet.caller_addr, "c1", "", "").await;
    fleet.stop().await;
    let long = call(fleet.caller_addr, "c2", "", "").await;
    assert_eq!(status(&long), 503, "{long}");
    assert!(long.contains("retry-after"), "{long}");
    let short = call(fleet.caller_addr, "c3", "x-time: 2000\r\n", "").await;
    assert_eq!(status(&short), 200, "{short}");
}
