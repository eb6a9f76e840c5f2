//! The whole path with one node and one engine: stream, plain answer, history, duplicates, resume.

mod support;

use actix_web::http::StatusCode;
use serde_json::json;
use support::*;

#[actix_web::test]
async fn a_call_streams_from_the_engine_to_the_caller() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let program = caller.program("guild/quotes").await;
    let path = format!("/v1/programs/{program}/calls");

    let answer = caller
        .post(
            &path,
            &[("Courseshed-Sequence", "1")],
            &call_body("quote", 30, true),
        )
        .await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    assert_eq!(answer.header("Courseshed-Program"), Some(program.as_str()));
    assert_eq!(answer.header("Courseshed-Attempt"), Some("1"));
    let events = sse_events(&answer.body);
    assert!(is_whole(&events), "{events:?}");
    let text = text_of(&events);
    assert!(!text.is_empty());

    let again = caller
        .post(
            &path,
            &[("Courseshed-Sequence", "1")],
            &call_body("quote", 30, false),
        )
        .await;
    assert_eq!(again.status, StatusCode::OK);
    assert_eq!(
        again.json()["choices"][0]["message"]["content"],
        json!(text)
    );

    let history = caller
        .get(&format!("/v1/programs/{program}/history"), &[])
        .await;
    let messages = history.json()["messages"].clone();
    assert_eq!(messages.as_array().map(Vec::len), Some(2));
    assert_eq!(messages[1]["content"], json!(text));

    let place = events[events.len() / 2].id.clone().expect("an id");
    let rest = caller
        .get(&format!("{path}/1"), &[("Last-Event-ID", &place)])
        .await;
    let rest = sse_events(&rest.body);
    assert!(is_whole(&rest));
    let before = text_of(&events[..=events.len() / 2]);
    assert_eq!(before + &text_of(&rest), text);
    assert_eq!(engine.ran().requests.len(), 1);
}

#[actix_web::test]
async fn an_openai_client_needs_no_program() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let headers = [("Courseshed-Branch", "guild/quotes")];
    let answer = caller
        .post(
            "/v1/chat/completions",
            &headers,
            &call_body("hello", 10, false),
        )
        .await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    let document = answer.json();
    assert_eq!(document["object"], json!("chat.completion"));
    assert_eq!(document["usage"]["completion_tokens"], json!(10));
}

#[actix_web::test]
async fn a_node_that_says_it_is_ready_takes_calls_of_every_shard() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let context = node.context();
    assert_eq!(context.shards.led(), context.shards.ids());
    assert!(!context.shards.ids().is_empty());
}
