//! Limits, budgets and missing engines over HTTP: each refused in its own way, and nothing refused ran.

mod support;

use actix_web::http::StatusCode;
use serde_json::json;
use support::*;

const LIMITED_TREE: &str = r#"
models = ["base", "absent"]

[root]
models.default = "base"

[branch."narrow"]
limits = { calls_at_once = 1, queue_wait = "300ms" }

[branch."poor"]
budget = { tokens = "1M", period = "1h", per_program = 500 }
"#;

/// A program of the branch `narrow` in the same shard as another.
async fn program_beside(caller: &Caller, other: &str) -> String {
    let shard = |id: &str| id.split('-').next().map(str::to_owned);
    loop {
        let program = caller.program("narrow").await;
        if shard(&program) == shard(other) {
            return program;
        }
    }
}

#[actix_web::test]
async fn limits_budgets_and_missing_engines_are_told_apart() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], LIMITED_TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    // The limit of a region is divided among its shards.
    let one = caller.program("narrow").await;
    let two = program_beside(&caller, &one).await;
    let (ran, refused) = futures_util::join!(
        async {
            let body = call_body("a", 200, false);
            caller
                .post(&format!("/v1/programs/{one}/calls"), &[], &body)
                .await
        },
        async {
            wait_until(async || !engine.ran().requests.is_empty()).await;
            let body = call_body("b", 5, false);
            caller
                .post(&format!("/v1/programs/{two}/calls"), &[], &body)
                .await
        },
    );
    assert_eq!(ran.status, StatusCode::OK, "{:?}", ran.body);
    assert_refused(
        &refused,
        StatusCode::TOO_MANY_REQUESTS,
        "limit_reached",
        "calls at once",
    );
    assert!(refused.header("Retry-After").is_some());
    assert_eq!(refused.json()["error"]["type"], json!("rate_limit_error"));

    let mut body = call_body("c", 5, false);
    body["model"] = json!("absent");
    let refused = caller
        .post(&format!("/v1/programs/{two}/calls"), &[], &body)
        .await;
    assert_refused(
        &refused,
        StatusCode::GATEWAY_TIMEOUT,
        "deadline_exceeded",
        "no engine",
    );
    assert!(refused.header("Retry-After").is_some());

    let poor = caller.program("poor").await;
    let mut body = call_body("d", 400, false);
    body["max_tokens"] = json!(10_000);
    let refused = caller
        .post(&format!("/v1/programs/{poor}/calls"), &[], &body)
        .await;
    assert_refused(
        &refused,
        StatusCode::TOO_MANY_REQUESTS,
        "budget_spent",
        "budget",
    );
}

#[actix_web::test]
async fn a_gateway_sheds_calls_beyond_its_limit() {
    let engine = start_engine("e1");
    let node = start_lone_with(&[&engine], TREE, |settings| settings.limits.streams = 1);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let headers = [("Courseshed-Branch", "guild")];
    let (ran, refused) = futures_util::join!(
        async {
            let body = call_body("a", 200, false);
            caller.post("/v1/chat/completions", &headers, &body).await
        },
        async {
            wait_until(async || !engine.ran().requests.is_empty()).await;
            let body = call_body("b", 5, false);
            caller.post("/v1/chat/completions", &headers, &body).await
        },
    );
    assert_eq!(ran.status, StatusCode::OK);
    assert_refused(
        &refused,
        StatusCode::SERVICE_UNAVAILABLE,
        "overloaded",
        "streams",
    );
    assert!(refused.header("Retry-After").is_some());
    assert_eq!(refused.json()["error"]["type"], json!("overloaded_error"));
}
