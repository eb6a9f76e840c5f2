//! The client against a scripted node: what is sent, what is printed, and the exit code.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Data, to};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use courseshed_cli::{Exit, run};
use yare::parameterized;

/// What the scripted node does with one request.
enum Reply {
    /// Answers.
    Answer(u16, &'static str),
    /// Takes the request and cuts the connection in the middle of the answer.
    CutOff,
}

#[derive(Default)]
struct Script {
    replies: Mutex<VecDeque<Reply>>,
    seen: Mutex<Vec<(String, String)>>,
}

struct Node {
    script: Arc<Script>,
    url: String,
    handle: ServerHandle,
}

impl Node {
    fn start(replies: impl IntoIterator<Item = Reply>) -> Self {
        let script = Arc::new(Script::default());
        script.replies.lock().expect("lock").extend(replies);
        let data = Data::from(Arc::clone(&script));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .default_service(to(answer))
        });
        let server = server
            .workers(1)
            .disable_signals()
            .bind(("127.0.0.1", 0))
            .expect("bound");
        let url = format!("http://{}", server.addrs()[0]);
        let server = server.run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Self {
            script,
            url,
            handle,
        }
    }

    async fn seen(self) -> Vec<(String, String)> {
        self.handle.stop(false).await;
        self.script.seen.lock().expect("lock").clone()
    }
}

async fn answer(script: Data<Script>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let line = format!("{} {}", request.method(), request.uri());
    let body = String::from_utf8_lossy(&body).into_owned();
    script.seen.lock().expect("lock").push((line, body));
    match script.replies.lock().expect("lock").pop_front() {
        Some(Reply::Answer(status, body)) => {
            let status = StatusCode::from_u16(status).expect("status");
            HttpResponse::build(status)
                .content_type("application/json")
                .body(body)
        }
        Some(Reply::CutOff) => {
            let cut = std::io::Error::other("cut off");
            let body = futures_util::stream::iter([Ok(Bytes::from_static(b"{")), Err(cut)]);
            HttpResponse::Ok().streaming(body)
        }
        None => HttpResponse::ImATeapot().finish(),
    }
}

/// Runs the client; its exit code, standard output and standard error.
async fn courseshed(url: &str, arguments: &[&str]) -> (Exit, String, String) {
    let mut words: Vec<String> = arguments.iter().map(|word| (*word).to_owned()).collect();
    if !arguments.contains(&"--url") {
        words.extend(["--url".to_owned(), url.to_owned()]);
    }
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&words, &mut out, &mut err).await;
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (exit, text(out), text(err))
}

fn tree_file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("file");
    std::fs::write(file.path(), text).expect("written");
    file
}

const ACCEPTED: &str =
    r#"{"version":8,"change_id":"c7","author":"ops","accepted_at_ms":1000,"tree":"[root]\n"}"#;
const CONFLICT: &str = r#"{"error":{"message":"version 9 is in force, not 7","type":"conflict","code":"version_conflict","verdict":"not_run","param":null}}"#;
const UNAVAILABLE: &str = r#"{"error":{"message":"no quorum","type":"server_error","code":"unavailable","verdict":"not_run","param":null}}"#;
const IN_DOUBT: &str = r#"{"error":{"message":"leader changed","type":"server_error","code":"unavailable","verdict":"may_have_run","param":null}}"#;
const FORBIDDEN: &str = r#"{"error":{"message":"not an operator's key","type":"permission","code":"forbidden","verdict":"not_run","param":null}}"#;

#[actix_web::test]
async fn a_change_whose_answer_is_lost_is_sent_again_under_the_same_change_id() {
    let node = Node::start([
        Reply::CutOff,
        Reply::Answer(503, UNAVAILABLE),
        Reply::Answer(503, IN_DOUBT),
        Reply::Answer(200, ACCEPTED),
    ]);
    let file = tree_file("[root]\n");
    let path = file.path().to_str().expect("path");
    let apply = ["settings", "apply", "-f", path, "--expect-version", "7"];
    let (exit, out, err) = courseshed(&node.url, &apply).await;
    assert_eq!((exit, err.as_str()), (Exit::Done, ""));
    assert!(out.contains("accepted version 8"), "{out}");
    let seen = node.seen().await;
    assert_eq!(seen.len(), 4);
    assert!(seen.iter().all(|request| request == &seen[0]), "{seen:?}");
    assert!(seen[0].1.contains("\"change_id\":\"c7-"), "{seen:?}");
}

#[actix_web::test]
async fn a_change_without_any_answer_ends_as_unknown_and_names_its_change_id() {
    let node = Node::start((0..50).map(|_| Reply::CutOff));
    let file = tree_file("[root]\n");
    let path = file.path().to_str().expect("path");
    let apply = [
        "settings",
        "apply",
        "-f",
        path,
        "--expect-version",
        "7",
        "--change-id",
        "monday",
        "--timeout",
        "300ms",
    ];
    let (exit, _, err) = courseshed(&node.url, &apply).await;
    assert_eq!(exit, Exit::Unknown, "{err}");
    assert!(
        err.contains("send it again with --change-id monday"),
        "{err}"
    );
    assert_eq!(err.lines().count(), 1, "{err}");
    node.seen().await;
}

#[actix_web::test]
async fn an_order_to_an_engine_is_never_sent_twice() {
    let node = Node::start([Reply::CutOff, Reply::Answer(200, ACCEPTED)]);
    let order = ["engines", "order", "engine-1", "load", "quote-8b"];
    let (exit, _, err) = courseshed(&node.url, &order).await;
    assert_eq!(exit, Exit::Unknown, "{err}");
    let seen = node.seen().await;
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].0, "POST /v1/admin/engines/engine-1/orders");
    assert_eq!(seen[0].1, r#"{"order":"load_model","model":"quote-8b"}"#);
}

#[actix_web::test]
async fn a_node_that_cannot_be_reached_is_passed_over_for_the_next() {
    let node = Node::start([Reply::Answer(200, "[]")]);
    let urls = format!("http://127.0.0.1:1,{}", node.url);
    let (exit, out, err) = courseshed(&urls, &["nodes", "list", "--output", "json"]).await;
    assert_eq!((exit, out.as_str(), err.as_str()), (Exit::Done, "[]\n", ""));
    node.seen().await;
}

#[parameterized(
    conflict = { 409, CONFLICT, Exit::Conflict, "version 9 is in force, not 7" },
    in_doubt = { 503, IN_DOUBT, Exit::Unknown, "leader changed" },
    no_quorum = { 503, UNAVAILABLE, Exit::Failed, "no quorum" },
    forbidden = { 403, FORBIDDEN, Exit::Failed, "not an operator's key" },
    no_document = { 500, "<html>", Exit::Unknown, "the request may have been carried out" },
    foreign_answer = { 200, "[]", Exit::Unknown, "the request may have been carried out" },
)]
#[test_macro(actix_web::test)]
async fn the_exit_code_says_what_is_known(status: u16, body: &'static str, exit: Exit, text: &str) {
    let node = Node::start((0..50).map(|_| Reply::Answer(status, body)));
    let file = tree_file("[root]\n");
    let path = file.path().to_str().expect("path");
    let apply = [
        "settings",
        "apply",
        "-f",
        path,
        "--expect-version",
        "7",
        "--timeout",
        "250ms",
    ];
    let (got, out, err) = courseshed(&node.url, &apply).await;
    assert_eq!((got, out.as_str()), (exit, ""), "{err}");
    assert!(err.contains(text), "{err}");
    assert_eq!(err.lines().count(), 1, "{err}");
    node.seen().await;
}

#[parameterized(
    unknown_command = { &["setings", "show"], "setings" },
    bad_output = { &["status", "--output", "xml"], "neither table nor json" },
    bad_url = { &["status", "--url", "https://a"], "is no http:// URL" },
    bad_program = { &["explain", "3a7"], "p1f-3a7" },
    engine_with_slash = { &["engines", "drain", "a/b"], "is no name of an engine" },
    bad_role = { &["engines", "role", "engine-1", "draft"], "neither both, prefill nor decode" },
    no_file = { &["settings", "check", "-f", "/nowhere/tree.toml"], "/nowhere/tree.toml: cannot be read" },
    file_and_version = { &["settings", "diff"], "give either a file" },
)]
#[test_macro(actix_web::test)]
async fn wrong_usage_exits_with_two_and_sends_nothing(arguments: &[&str], text: &str) {
    let (exit, out, err) = courseshed("http://127.0.0.1:1", arguments).await;
    assert_eq!((exit.code(), out.as_str()), (2, ""), "{err}");
    assert!(err.contains(text), "{err}");
}

#[actix_web::test]
async fn a_faulty_tree_is_reported_whole_and_not_sent() {
    let node = Node::start([]);
    let file = tree_file("[root]\nprioriti = 1\n[branch.\"a/b\"]\nshare = 0\n");
    let path = file.path().to_str().expect("path");
    let apply = ["settings", "apply", "-f", path, "--expect-version", "7"];
    let (exit, _, err) = courseshed(&node.url, &apply).await;
    assert_eq!(exit, Exit::Usage);
    assert_eq!(err.lines().count(), 3, "{err}");
    assert!(err.contains("did you mean `priority`?"), "{err}");
    assert!(node.seen().await.is_empty());
}

#[actix_web::test]
async fn an_unreachable_fleet_exits_with_four() {
    let status = ["status", "--timeout", "200ms"];
    let (exit, _, err) = courseshed("http://127.0.0.1:1", &status).await;
    assert_eq!(exit.code(), 4, "{err}");
    assert_eq!(err.lines().count(), 1, "{err}");
}

#[actix_web::test]
async fn waiting_ends_when_no_node_lags() {
    let node = Node::start([
        Reply::Answer(200, r#"{"version":8,"nodes":[2,3]}"#),
        Reply::Answer(200, r#"{"version":8,"nodes":[]}"#),
    ]);
    let (exit, out, _) = courseshed(&node.url, &["settings", "wait", "--version", "8"]).await;
    assert_eq!(exit, Exit::Done);
    assert_eq!(out, "version 8 is in force on every node\n");
    assert_eq!(node.seen().await.len(), 2);
}

#[actix_web::test]
async fn waiting_in_vain_names_the_nodes_that_lag() {
    let lagging = || Reply::Answer(200, r#"{"version":8,"nodes":[2,3]}"#);
    let node = Node::start((0..50).map(|_| lagging()));
    let wait = ["settings", "wait", "--version", "8", "--timeout", "100ms"];
    let (exit, out, _) = courseshed(&node.url, &wait).await;
    assert_eq!(exit.code(), 6);
    assert_eq!(out, "version 8 is not in force on nodes 2,3\n");
    node.seen().await;
}

#[actix_web::test]
async fn a_branch_is_shown_with_where_its_values_came_from() {
    let body = r#"{"version":8,"branch":"guild/quotes","values":[
        {"key":"share","value":"3","from":"guild/quotes"},
        {"key":"limits.turns","value":"40","from":"guild"},
        {"key":"priority","value":"0","from":null}]}"#;
    let node = Node::start([Reply::Answer(200, body), Reply::Answer(200, body)]);
    let get = ["settings", "get", "guild/quotes", "--effective"];
    let (_, out, _) = courseshed(&node.url, &get).await;
    let lines: Vec<Vec<&str>> = out
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(lines[2], ["limits.turns", "40", "guild"]);
    assert_eq!(lines[3], ["priority", "0", "(default)"]);
    let (_, out, _) = courseshed(&node.url, &["settings", "get", "guild/quotes"]).await;
    assert_eq!(out.lines().count(), 2, "{out}");
    let seen = node.seen().await;
    assert_eq!(
        seen[0].0,
        "GET /v1/admin/settings/effective?branch=guild/quotes"
    );
}

#[actix_web::test]
async fn help_states_the_exit_codes() {
    let (exit, out, _) = courseshed("http://127.0.0.1:1", &["settings", "apply", "--help"]).await;
    assert_eq!(exit.code(), 0);
    assert!(out.contains("Exit codes: 0 done;"), "{out}");
}
