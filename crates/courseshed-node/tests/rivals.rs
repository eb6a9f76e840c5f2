//! Rival branches on one fleet: a key reaches its own branch and below, and learns nothing of the others.

mod support;

use actix_web::http::StatusCode;
use courseshed_node::gateway::sha256_hex;
use serde_json::{Value, json};
use support::*;

fn rival_tree() -> String {
    let (aurora, kitaguni) = (sha256_hex("aurora-key"), sha256_hex("kitaguni-key"));
    let operator = sha256_hex("operator-key");
    format!(
        r#"
models = ["base"]
operator_keys = ["{operator}"]

[root]
models.default = "base"

[branch."aurora"]
keys = ["{aurora}"]

[branch."aurora/counter"]

[branch."kitaguni"]
keys = ["{kitaguni}"]

[branch."kitaguni/counter"]
"#
    )
}

const AURORA: (&str, &str) = ("Authorization", "Bearer aurora-key");
const KITAGUNI: (&str, &str) = ("Authorization", "Bearer kitaguni-key");
const OPERATOR: (&str, &str) = ("Authorization", "Bearer operator-key");

async fn make_program(caller: &Caller) -> String {
    let body = json!({"branch": "aurora/counter"});
    let made = caller.post("/v1/programs", &[AURORA], &body).await;
    assert_eq!(made.status, StatusCode::CREATED, "{:?}", made.body);
    made.json()["id"].as_str().expect("an id").to_owned()
}

#[actix_web::test]
async fn callers_need_a_key_that_is_known() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], &rival_tree());
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let body = json!({"branch": "aurora/counter"});
    let headers: [&[(&str, &str)]; 4] = [
        &[],
        &[("Authorization", "Bearer wrong")],
        &[("Authorization", "Basic aurora-key")],
        &[("Authorization", "aurora-key")],
    ];
    for headers in headers {
        let answer = caller.post("/v1/programs", headers, &body).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{headers:?}");
        assert_eq!(answer.error_code(), "unauthorized");
        assert_eq!(answer.header("Courseshed-Verdict"), Some("not_run"));
        assert_eq!(answer.header("WWW-Authenticate"), Some("Bearer"));
    }
    let answer = caller.post("/v1/programs", &[KITAGUNI], &body).await;
    assert_eq!(answer.status, StatusCode::FORBIDDEN);
    assert_eq!(answer.error_code(), "forbidden");
    let headers = [KITAGUNI, ("Courseshed-Branch", "aurora/counter")];
    let answer = caller
        .post("/v1/chat/completions", &headers, &call_body("x", 5, false))
        .await;
    assert_eq!(answer.status, StatusCode::FORBIDDEN);
    let models = caller.get("/v1/models", &[AURORA]).await;
    assert_eq!(models.json()["data"][0]["id"], json!("base"));
}

#[actix_web::test]
async fn a_rival_is_not_even_told_that_a_program_exists() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], &rival_tree());
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let program = make_program(&caller).await;
    let path = format!("/v1/programs/{program}");
    let body = call_body("a secret", 5, false);
    let headers = [AURORA, ("Courseshed-Sequence", "1")];
    let answer = caller.post(&format!("{path}/calls"), &headers, &body).await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);

    let unknown = caller.get("/v1/programs/p0-fffff", &[KITAGUNI]).await;
    let gets = ["", "/history", "/calls/1"];
    for rest in gets {
        let answer = caller.get(&format!("{path}{rest}"), &[KITAGUNI]).await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND, "{rest}");
        let shown: Value = answer.json();
        let expected = unknown.json()["error"]["message"]
            .as_str()
            .expect("text")
            .replace("p0-fffff", &program);
        assert_eq!(shown["error"]["message"], json!(expected), "{rest}");
    }
    for rest in ["/calls", "/heartbeat"] {
        let answer = caller
            .post(&format!("{path}{rest}"), &[KITAGUNI], &body)
            .await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND, "{rest}");
    }
    let headers = [KITAGUNI, ("Courseshed-Program", program.as_str())];
    let answer = caller.post("/v1/chat/completions", &headers, &body).await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    let child = json!({"branch": "kitaguni/counter", "parent": program});
    let answer = caller.post("/v1/programs", &[KITAGUNI], &child).await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    let end = caller
        .client
        .delete(caller.url(&path))
        .insert_header(KITAGUNI);
    assert_eq!(
        end.send().await.expect("answered").status(),
        StatusCode::NOT_FOUND
    );
    let kept = caller.get(&format!("{path}/history"), &[AURORA]).await;
    assert_eq!(kept.json()["messages"].as_array().map(Vec::len), Some(2));
}

#[actix_web::test]
async fn metrics_name_branches_to_operators_only() {
    let engine = start_engine("e1");
    let node = start_lone(&[&engine], &rival_tree());
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let program = make_program(&caller).await;
    let path = format!("/v1/programs/{program}/calls");
    let answer = caller
        .post(&path, &[AURORA], &call_body("x", 5, false))
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    for headers in [&[][..], &[AURORA][..], &[KITAGUNI][..]] {
        let metrics = caller.get("/metrics", headers).await;
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        assert!(text.contains("courseshed_gateway_calls_total"), "{text}");
        assert!(
            !text.contains("aurora") && !text.contains("kitaguni"),
            "{text}"
        );
    }
    let metrics = caller.get("/metrics", &[OPERATOR]).await;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("branch=\"aurora/counter\""), "{text}");
}
