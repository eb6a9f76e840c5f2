//! Streams under bad conditions: callers that leave, return or read slowly, engines that break off or crash.

mod support;

use std::time::Duration;

use actix_web::http::StatusCode;
use courseshed_emulator::engine::FaultOrder;
use serde_json::json;
use support::*;
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Sends a call over a bare socket and hands it back unread.
async fn call_over_socket(caller: &Caller, path: &str, body: &serde_json::Value) -> TcpStream {
    let mut socket = TcpStream::connect(caller.address).await.expect("connected");
    let body = body.to_string();
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.expect("sent");
    socket.write_all(body.as_bytes()).await.expect("sent");
    socket
}

#[actix_web::test]
async fn a_call_outlives_its_caller() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let program = caller.program("guild/quotes").await;
    let path = format!("/v1/programs/{program}/calls");
    let mut stream = caller.stream(&path, &[], &call_body("a", 150, true)).await;
    let mut seen = vec![stream.next().await.expect("an event")];
    seen.push(stream.next().await.expect("an event"));
    drop(stream);

    let place = seen[1].id.clone().expect("an id");
    let rest = caller
        .get(&format!("{path}/1"), &[("Last-Event-ID", &place)])
        .await;
    let rest = sse_events(&rest.body);
    assert!(is_whole(&rest), "{rest:?}");
    let whole = text_of(&seen) + &text_of(&rest);
    let settled = caller.get(&format!("{path}/1"), &[]).await;
    assert_eq!(
        settled.json()["choices"][0]["message"]["content"],
        json!(whole)
    );
    assert_eq!(whole.len(), 600);
    assert_eq!(engine.ran().requests[0].runs, 1);
}

#[actix_web::test]
async fn a_caller_that_hangs_up_before_the_first_token_finds_its_answer() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let program = caller.program("guild/quotes").await;
    let path = format!("/v1/programs/{program}/calls");
    engine.fault(&FaultOrder {
        answer_late_ms: Some(300),
        ..FaultOrder::default()
    });
    drop(call_over_socket(&caller, &path, &call_body("a", 20, true)).await);
    wait_until(async || {
        let state = caller.get(&format!("{path}/1"), &[]).await;
        state.status == StatusCode::OK
    })
    .await;
    assert_eq!(engine.ran().requests.len(), 1);
    wait_until(async || node.context().gateway.active_calls() == 0).await;
    assert_eq!(node.context().gateway.streams(), 0);
}

#[actix_web::test]
async fn a_slow_reader_hurts_no_other_stream_and_gets_all() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let slow_program = caller.program("guild/quotes").await;
    let slow_path = format!("/v1/programs/{slow_program}/calls");
    let mut slow = caller
        .stream(&slow_path, &[], &call_body("slow", 400, true))
        .await;
    let mut seen = vec![slow.next().await.expect("an event")];

    let headers = [("Courseshed-Branch", "guild")];
    for _ in 0..3 {
        let body = call_body("quick", 50, true);
        let quick = caller.post("/v1/chat/completions", &headers, &body).await;
        let events = sse_events(&quick.body);
        assert!(is_whole(&events));
        assert_eq!(text_of(&events).len(), 200);
    }
    wait_until(async || node.context().gateway.active_calls() == 0).await;

    seen.extend(slow.rest().await);
    assert!(is_whole(&seen));
    let settled = caller.get(&format!("{slow_path}/1"), &[]).await;
    let content = &settled.json()["choices"][0]["message"]["content"];
    assert_eq!(content, &json!(text_of(&seen)));
    assert_eq!(text_of(&seen).len(), 1_600);
}

#[actix_web::test]
async fn a_broken_connection_to_the_engine_is_resumed_unseen() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let program = caller.program("guild/quotes").await;
    let path = format!("/v1/programs/{program}/calls");
    let headers = [("Courseshed-Repeatable", "false")];
    let mut stream = caller
        .stream(&path, &headers, &call_body("a", 150, true))
        .await;
    let mut seen = vec![stream.next().await.expect("an event")];
    for _ in 0..3 {
        engine.fault(&FaultOrder {
            cut_streams: true,
            ..FaultOrder::default()
        });
        seen.push(stream.next().await.expect("an event"));
    }
    seen.extend(stream.rest().await);
    assert!(is_whole(&seen), "{seen:?}");
    assert_eq!(text_of(&seen).len(), 600);
    let ran = engine.ran();
    assert_eq!(ran.requests.len(), 1);
    assert_eq!(ran.requests[0].runs, 1);
}

#[actix_web::test]
async fn a_repeatable_call_goes_on_elsewhere_after_a_crash() {
    let engines = [start_engine("e1"), start_engine("e2")];
    let node = start_lone(&[&engines[0], &engines[1]], TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let program = caller.program("guild/quotes").await;
    let path = format!("/v1/programs/{program}/calls");
    let mut stream = caller.stream(&path, &[], &call_body("a", 150, true)).await;
    let mut seen = vec![stream.next().await.expect("an event")];
    let first = engines
        .iter()
        .find(|engine| !engine.ran().requests.is_empty())
        .expect("one runs it");
    first.crash(Duration::from_secs(60));
    seen.extend(stream.rest().await);
    assert!(is_whole(&seen), "{:?}", seen.last());
    let settled = caller.get(&format!("{path}/1"), &[]).await;
    assert_eq!(
        settled.json()["choices"][0]["message"]["content"],
        json!(text_of(&seen))
    );
    assert_eq!(settled.header("Courseshed-Attempt"), Some("2"));
}

#[actix_web::test]
async fn a_call_that_is_not_repeatable_ends_in_doubt_after_a_crash() {
    let engines = [start_engine("e1"), start_engine("e2")];
    let node = start_lone(&[&engines[0], &engines[1]], TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let program = caller.program("guild/quotes").await;
    let path = format!("/v1/programs/{program}/calls");
    let headers = [
        ("Courseshed-Repeatable", "false"),
        ("Courseshed-Sequence", "1"),
    ];
    let body = call_body("a", 150, true);
    let mut stream = caller.stream(&path, &headers, &body).await;
    stream.next().await.expect("an event");
    for engine in &engines {
        engine.crash(Duration::from_millis(200));
    }
    let rest = stream.rest().await;
    let last = rest.last().expect("an end");
    assert_eq!(last.name.as_deref(), Some("error"), "{last:?}");
    let document: serde_json::Value = serde_json::from_str(&last.data).expect("JSON");
    assert_eq!(document["error"]["verdict"], json!("may_have_run"));

    let again = caller.post(&path, &headers, &body).await;
    assert_eq!(again.status, StatusCode::BAD_GATEWAY, "{:?}", again.body);
    assert_eq!(again.header("Courseshed-Verdict"), Some("may_have_run"));
    let runs: u32 = engines
        .iter()
        .flat_map(|engine| engine.ran().requests)
        .map(|ran| ran.runs)
        .sum();
    assert_eq!(runs, 1);
}

#[actix_web::test]
async fn an_engine_that_is_not_there_leaves_no_doubt() {
    let engine = start_engine("e1");
    let impatient = format!("{TREE}limits = {{ queue_wait = \"2s\" }}\n");
    let node = start_lone(&[&engine], &impatient);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let program = caller.program("guild/quotes").await;
    let path = format!("/v1/programs/{program}/calls");
    engine.stop();
    let headers = [("Courseshed-Repeatable", "false")];
    let answer = caller.post(&path, &headers, &call_body("a", 5, true)).await;
    assert_ne!(answer.status, StatusCode::OK);
    assert_eq!(
        answer.header("Courseshed-Verdict"),
        Some("not_run"),
        "{:?}",
        answer.body
    );
}
