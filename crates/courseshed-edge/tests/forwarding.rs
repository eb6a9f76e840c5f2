//! A gateway before stand-in servers: what is passed on, what is refused, and what is sent again.

mod support;

use std::time::Duration;

use courseshed_edge::gateway::{Mechanism, Policy};
use courseshed_edge::records::StoreLimits;
use courseshed_routing::CallKind;
use support::server::{Act, END, StandIn, answer, chunk, event, stream_head};
use support::{AMPLE_STORE, Fleet, call, get, plain_route, status, stream_route};

const GRACE: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn a_call_is_passed_on_as_it_is() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| Act::Write(answer(got, "hello"))).await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("one", &server).await;
    let answer = call(fleet.callers, "c1", "", "the body").await;
    assert_eq!(status(&answer), 200);
    assert!(answer.ends_with("hello"), "{answer}");
    let got = server.got();
    assert_eq!(got.len(), 1);
    assert!(got[0].head.starts_with("POST /a/x?y=1 HTTP/1.1"));
    assert_eq!(got[0].header("x-server"), Some("one"));
    assert_eq!(got[0].body, "the body");
    let unknown = get(fleet.callers, "/b/").await;
    assert_eq!(status(&unknown), 404);
    let counted = "courseshed_calls_total{service=\"s\",outcome=\"answered\"}";
    let figures = fleet.metrics.text();
    assert!(figures.contains(counted), "{figures}");
}

#[actix_rt::test]
async fn a_late_answer_of_another_call_is_dropped() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| {
        let stray = answer(got, "stray").replace("x-call: c2", "x-call: c1");
        Act::Write(format!("{stray}{}", answer(got, "ours")))
    })
    .await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("one", &server).await;
    let answer = call(fleet.callers, "c2", "", "").await;
    assert!(answer.ends_with("ours"), "{answer}");
}

#[actix_rt::test]
async fn a_connection_with_something_left_over_is_not_used_again() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| Act::Write(format!("{}more", answer(got, "whole")))).await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("one", &server).await;
    for id in ["c1", "c2"] {
        let answer = call(fleet.callers, id, "", "").await;
        assert!(answer.ends_with("whole"), "{answer}");
    }
    assert_eq!(server.connections(), 2);
}

#[actix_rt::test]
async fn a_call_that_may_have_run_once_is_not_sent_again() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|_| Act::WriteAndClose(String::new())).await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("one", &server).await;
    let answer = call(fleet.callers, "c1", "", "").await;
    assert_eq!(status(&answer), 502);
    assert_eq!(server.got().len(), 1);
}

/// Found by reading: a server that had the call, broke off and ended was no longer counted, and the
/// caller was told that the call did not run.
#[actix_rt::test]
async fn a_call_whose_server_ended_is_not_said_not_to_have_run() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|_| Act::End).await;
    let mut route = plain_route();
    route.kind = CallKind::Repeatable;
    fleet.route(vec![route]).await;
    fleet.announce("one", &server).await;
    let answer = call(fleet.callers, "c1", "", "").await;
    assert_eq!(server.got().len(), 1);
    assert_eq!(status(&answer), 502, "{answer}");
}

#[actix_rt::test]
async fn a_call_that_a_server_did_not_run_goes_to_another() {
    let fleet = Fleet::start(GRACE).await;
    let full = StandIn::start(|got| {
        let refused = answer(got, "").replace("200 OK", "503 Full");
        Act::Write(refused.replace("\r\n\r\n", "\r\nx-not-run: 1\r\n\r\n"))
    })
    .await;
    let free = StandIn::start(|got| Act::Write(answer(got, "served"))).await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("full", &full).await;
    fleet.announce("free", &free).await;
    for id in ["c1", "c2", "c3", "c4"] {
        let answer = call(fleet.callers, id, "", "").await;
        assert!(answer.ends_with("served"), "{answer}");
    }
    assert_eq!(free.got().len(), 4);
}

/// A server that answers each call with a quick error of its own looked idle and fast, and drew ever
/// more calls.
#[actix_rt::test]
async fn a_server_that_answers_with_errors_is_not_preferred() {
    const CALLS: usize = 60;
    const SOUND_CALL: Duration = Duration::from_millis(20);
    let fleet = Fleet::start(GRACE).await;
    let failing = StandIn::start(|got| {
        Act::Write(answer(got, "broken").replace("200 OK", "500 Internal Server Error"))
    })
    .await;
    let sound = StandIn::start(|got| {
        std::thread::sleep(SOUND_CALL);
        Act::Write(answer(got, "served"))
    })
    .await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("failing", &failing).await;
    fleet.announce("sound", &sound).await;
    for index in 0..CALLS {
        let answer = call(fleet.callers, &format!("c{index}"), "", "").await;
        assert!(matches!(status(&answer), 200 | 500), "{answer}");
    }
    let (failed, served) = (failing.got().len(), sound.got().len());
    assert!(failed < served / 4, "{failed} failed, {served} served");
}

/// Rests are switched off, so that only what gateways tell each other keeps calls from the server; so is the
/// scheduler, which would send it no more calls by what it knows itself, as `pool_scheduling.rs` shows.
#[actix_rt::test]
async fn a_server_that_answers_streams_with_errors_is_avoided() {
    const MOST_CALLS: usize = 2_000;
    let policy = Policy::without([
        Mechanism::Rests,
        Mechanism::ServerPace,
        Mechanism::PoolScheduler,
    ]);
    let fleet = Fleet::start_with(GRACE, policy).await;
    let failing = StandIn::start(|got| {
        Act::Write(answer(got, "broken").replace("200 OK", "503 Service Unavailable"))
    })
    .await;
    let sound =
        StandIn::start(|got| Act::Write(format!("{}{}{END}", stream_head(got), event(1)))).await;
    fleet.route(vec![stream_route()]).await;
    fleet.announce("failing", &failing).await;
    fleet.announce("sound", &sound).await;
    let told = "courseshed_servers_avoided{service=\"s\"} 1";
    let mut calls = 0;
    while !fleet.metrics.text().contains(told) {
        calls += 1;
        assert!(calls < MOST_CALLS, "it is never avoided");
        let answer = call(fleet.callers, &format!("c{calls}"), "", "").await;
        assert!(matches!(status(&answer), 200 | 503), "{answer}");
    }
    assert!(failing.got().len() >= 4);
}

/// Callers that give a stream too little time say nothing of its server.
#[actix_rt::test]
async fn a_server_is_not_avoided_for_streams_whose_time_is_over() {
    const CALLS: usize = 40;
    const ROUNDS: usize = 5;
    let policy = Policy::without([
        Mechanism::Rests,
        Mechanism::ServerPace,
        Mechanism::PoolScheduler,
    ]);
    let fleet = Fleet::start_with(GRACE, policy).await;
    let slow = StandIn::start(|got| Act::Write(format!("{}{}", stream_head(got), event(1)))).await;
    let sound =
        StandIn::start(|got| Act::Write(format!("{}{}{END}", stream_head(got), event(1)))).await;
    fleet.route(vec![stream_route()]).await;
    fleet.announce("slow", &slow).await;
    fleet.announce("sound", &sound).await;
    for round in 0..ROUNDS {
        let calls = (0..CALLS).map(|index| {
            let callers = fleet.callers;
            let id = format!("c{round}-{index}");
            async move { call(callers, &id, "x-time: 300\r\n", "").await }
        });
        futures_util::future::join_all(calls).await;
        let figures = fleet.metrics.text();
        assert!(!figures.contains("courseshed_servers_avoided{service=\"s\"} 1"));
    }
    assert!(slow.got().len() >= CALLS, "{}", slow.got().len());
}

/// Found on a played day: servers ran calls of tools and their answers were lost; callers
/// waited for their deadlines. The servers' pace doesn't count here: on a busy machine one of them
/// looked slower than the other and got nothing more.
#[actix_rt::test]
async fn a_repeatable_call_whose_answer_is_lost_goes_to_another_server() {
    const ANSWERED: usize = 30;
    let policy = Policy::without([Mechanism::ServerPace]);
    let fleet = Fleet::start_with(GRACE, policy).await;
    let mut answered = 0;
    let forgetful = StandIn::start(move |got| {
        answered += 1;
        if answered > ANSWERED {
            return Act::Write(String::new());
        }
        Act::Write(answer(got, "served"))
    })
    .await;
    let mut route = plain_route();
    route.kind = CallKind::Repeatable;
    route.max_attempts = 2;
    fleet.route(vec![route]).await;
    fleet.announce("forgetful", &forgetful).await;
    for index in 0..ANSWERED {
        let answer = call(fleet.callers, &format!("c{index}"), "", "").await;
        assert!(answer.ends_with("served"), "{answer}");
    }
    let sound = StandIn::start(|got| Act::Write(answer(got, "served"))).await;
    fleet.announce("sound", &sound).await;
    for index in 0..ANSWERED {
        let answer = call(fleet.callers, &format!("d{index}"), "", "").await;
        assert!(answer.ends_with("served"), "{answer}");
    }
    assert!(forgetful.got().len() > ANSWERED);
}

#[actix_rt::test]
async fn an_answer_that_is_cut_off_does_not_look_whole() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| {
        let head = stream_head(got);
        Act::WriteAndClose(format!("{head}{}{}", event(1), chunk("id: 2\nda")))
    })
    .await;
    fleet.route(vec![stream_route()]).await;
    fleet.announce("one", &server).await;
    let answer = call(fleet.callers, "c1", "", "").await;
    assert_eq!(status(&answer), 200);
    assert!(answer.contains("data: d1"));
    assert!(
        !answer.contains("id: 2"),
        "part of an event was passed on: {answer}"
    );
    assert!(!answer.ends_with(END), "it looks whole: {answer}");
}

#[actix_rt::test]
async fn a_resumable_stream_goes_on_behind_the_last_event() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| match got.header("x-last") {
        None => Act::WriteAndClose(format!("{}{}{}", stream_head(got), event(1), event(2))),
        Some(_) => Act::Write(format!("{}{}{}{END}", stream_head(got), event(2), event(3))),
    })
    .await;
    let mut route = stream_route();
    route.resumable = true;
    fleet.route(vec![route]).await;
    fleet.announce("one", &server).await;
    let answer = call(fleet.callers, "c1", "", "").await;
    assert!(answer.ends_with(END), "{answer}");
    for data in ["d1", "d2", "d3"] {
        assert_eq!(answer.matches(data).count(), 1, "{data} in {answer}");
    }
    assert_eq!(server.got()[1].header("x-last"), Some("2"));
}

#[actix_rt::test]
async fn a_program_is_told_when_its_tokens_are_spent() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| {
        Act::Write(format!("{}{}{}{END}", stream_head(got), event(1), event(2)))
    })
    .await;
    fleet.route(vec![stream_route()]).await;
    fleet.announce("one", &server).await;
    fleet.until_records().await;
    let headers = "x-program: p\r\nx-budget: 70\r\nx-most: 30\r\n";
    // Each call is given 20 tokens of the 30 set aside: the third fits only once those are settled.
    for id in ["c1", "c2", "c3"] {
        support::until(async || {
            let answer = call(fleet.callers, id, headers, "").await;
            if status(&answer) == 402 {
                return false;
            }
            assert_eq!(status(&answer), 200, "{answer}");
            true
        })
        .await;
    }
    let spent = call(fleet.callers, "c4", headers, "").await;
    assert_eq!(status(&spent), 402, "{spent}");
    assert_eq!(server.got().len(), 3);
}

/// A store whose index may take no memory has no room once it keeps something.
#[actix_rt::test]
async fn a_program_is_refused_at_once_while_the_stores_have_no_room() {
    let limits = StoreLimits {
        memory_bytes: 0,
        ..AMPLE_STORE
    };
    let fleet = Fleet::start_with_store(GRACE, Policy::default(), limits).await;
    let server = StandIn::start(|got| {
        Act::Write(format!("{}{}{}{END}", stream_head(got), event(1), event(2)))
    })
    .await;
    fleet.route(vec![stream_route()]).await;
    fleet.announce("one", &server).await;
    fleet.until_records().await;
    let headers = "x-program: p\r\nx-budget: 7000\r\nx-most: 30\r\n";
    let first = call(fleet.callers, "c0", headers, "").await;
    assert_eq!(status(&first), 200, "{first}");
    // The store notices when it counts what it keeps.
    support::until(async || {
        let served = server.got().len();
        let answer = call(fleet.callers, &format!("c{served}"), headers, "").await;
        if status(&answer) == 200 {
            return false;
        }
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(answer.ends_with("no_room"), "{answer}");
        assert!(answer.contains("retry-after: 2.000"), "{answer}");
        assert_eq!(server.got().len(), served);
        true
    })
    .await;
}

#[actix_rt::test]
async fn a_turn_brings_the_turns_before_it() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| {
        Act::Write(format!("{}{}{}{END}", stream_head(got), event(1), event(2)))
    })
    .await;
    let mut route = stream_route();
    route.keeps_turns = true;
    fleet.route(vec![route]).await;
    fleet.announce("one", &server).await;
    fleet.until_records().await;
    let first = call(fleet.callers, "t1", "", "first").await;
    assert_eq!(status(&first), 200, "{first}");
    let second = call(fleet.callers, "t2", "x-previous: t1\r\n", "second").await;
    assert_eq!(status(&second), 200, "{second}");
    let third = call(fleet.callers, "t3", "x-previous: t2\r\n", "third").await;
    assert_eq!(status(&third), 200);
    assert_eq!(server.got()[2].body, "firstd1\nd2\nsecondd1\nd2\nthird");
    let unknown = call(fleet.callers, "t4", "x-previous: never\r\n", "x").await;
    assert_eq!(status(&unknown), 404);
}

/// Programs are kept in partitions of their own, and a turn may go on from one of another program.
#[actix_rt::test]
async fn a_turn_goes_on_from_that_of_another_program() {
    const PROGRAMS: u32 = 8;
    let fleet = Fleet::start(GRACE).await;
    let script =
        |got: &support::server::Got| Act::Write(format!("{}{}{END}", stream_head(got), event(1)));
    let server = StandIn::start(script).await;
    let mut route = stream_route();
    route.keeps_turns = true;
    fleet.route(vec![route]).await;
    fleet.announce("one", &server).await;
    fleet.until_records().await;
    let first = call(fleet.callers, "t0", "x-program: p0\r\n", "0").await;
    assert_eq!(status(&first), 200, "{first}");
    for program in 1..=PROGRAMS {
        let headers = format!("x-program: p{program}\r\nx-previous: t{}\r\n", program - 1);
        let next = call(fleet.callers, &format!("t{program}"), &headers, "x").await;
        assert_eq!(status(&next), 200, "{next}");
    }
    let got = server.got();
    let whole = format!("0d1\n{}x", "xd1\n".repeat(PROGRAMS as usize - 1));
    assert_eq!(got[PROGRAMS as usize].body, whole);
    let unknown = call(
        fleet.callers,
        "t9",
        "x-program: p1\r\nx-previous: never\r\n",
        "x",
    )
    .await;
    assert_eq!(status(&unknown), 404);
}

#[actix_rt::test]
async fn a_prompt_that_claims_more_tokens_than_fit_is_served() {
    let fleet = Fleet::start(GRACE).await;
    let server =
        StandIn::start(|got| Act::Write(format!("{}{}{END}", stream_head(got), event(1)))).await;
    fleet.route(vec![stream_route()]).await;
    fleet.announce("one", &server).await;
    let prompt = "x-prompt: 1:4294967295,2:4294967295\r\n";
    for id in ["c1", "c2"] {
        let answer = call(fleet.callers, id, prompt, "").await;
        assert_eq!(status(&answer), 200, "{answer}");
    }
}

/// A line of turns that comes in through another gateway goes on where its prompt was read.
#[actix_rt::test]
async fn another_gateway_learns_from_the_kept_turn_which_server_read_its_prompt() {
    const LINES: u64 = 8;
    let fleet = Fleet::start(GRACE).await;
    let script =
        |got: &support::server::Got| Act::Write(format!("{}{}{END}", stream_head(got), event(1)));
    let reader = StandIn::start(script).await;
    let mut route = stream_route();
    route.keeps_turns = true;
    fleet.route(vec![route]).await;
    fleet.announce("reader", &reader).await;
    fleet.until_records().await;
    for line in 0..LINES {
        let prompt = format!("x-prompt: {line}:1000,{}:50000\r\n", LINES + line);
        let first = call(fleet.callers, &format!("first{line}"), &prompt, "").await;
        assert_eq!(status(&first), 200, "{first}");
    }
    let stranger = StandIn::start(script).await;
    fleet.announce("stranger", &stranger).await;
    let other = fleet.start_another_gateway().await;
    support::until(async || {
        call(other.callers, support::server::PROBE, "", "").await;
        reader.probes() > 0 && stranger.probes() > 1
    })
    .await;
    for line in 0..LINES {
        let headers = format!(
            "x-previous: first{line}\r\nx-prompt: {line}:1000,{}:50020\r\n",
            LINES + line
        );
        let second = call(other.callers, &format!("second{line}"), &headers, "").await;
        assert_eq!(status(&second), 200, "{second}");
    }
    assert_eq!(stranger.got().len(), 0);
}

/// A caller's connection was closed without an answer: a call taken 7.1 s after SIGTERM was cut off by the end of
/// the process.
#[actix_rt::test]
async fn a_stopping_gateway_takes_only_what_it_can_finish() {
    let mut fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| Act::Write(answer(got, "served"))).await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("one", &server).await;
    call(fleet.callers, "c1", "", "").await;
    fleet.stop().await;
    let long = call(fleet.callers, "c2", "", "").await;
    assert_eq!(status(&long), 503, "{long}");
    assert!(long.contains("retry-after"), "{long}");
    let short = call(fleet.callers, "c3", "x-time: 2000\r\n", "").await;
    assert_eq!(status(&short), 200, "{short}");
}
