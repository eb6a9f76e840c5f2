//! Fleets inside the test process: embedded nodes, emulated engines, and a caller.

#![allow(dead_code)]

use std::{net::SocketAddr, ops::Deref, path::Path, time::Duration};

pub mod fleet;
pub mod mapped_fleet;

use awc::{ClientResponse, http::StatusCode};
use bytes::Bytes;
pub use courseshed_emulator::engine::EngineHandle;
use courseshed_emulator::engine::{EmulatedEngine, EngineOptions};
use courseshed_node::{Node, NodeHandle, NodeOptions};
use courseshed_settings::{NodeSettings, Overrides, SettingsTree};
use futures_util::{Stream, StreamExt};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Longest wait for anything in a test.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub const TREE: &str = r#"
models = ["base"]

[root]
models.default = "base"

[branch."guild"]
share = 2

[branch."guild/quotes"]
priority = 1
"#;

/// An engine of the model `base`.
pub fn start_engine(name: &str) -> EngineHandle {
    EmulatedEngine::start(EngineOptions {
        id: name.into(),
        load_lag: Duration::from_millis(20),
        event_delay: Duration::from_millis(20),
        ..EngineOptions::default()
    })
    .expect("the engine starts")
}

pub fn engine_entry(engine: &EngineHandle) -> String {
    format!(
        "[[engines]]\nid = \"{}\"\naddress = \"{}\"\nmodels = [\"base\"]\nregion = \"south\"\nzone = \"south-a\"\n",
        engine.id(),
        engine.address()
    )
}

/// The settings of one node that stands alone and keeps its state in a folder.
pub fn lone_settings(engines: &[&EngineHandle], folder: &Path) -> NodeSettings {
    let mut text = r#"
node_id = 1
region = "south"
zone = "south-a"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
roles = ["gateway", "shard", "dispatcher", "controller"]
"#
    .to_owned();
    text.push_str(&format!("data_dir = {:?}\n", folder.join("node-1")));
    for engine in engines {
        text.push_str(&engine_entry(engine));
    }
    NodeSettings::parse(&text, "node.toml", Overrides::default()).expect("valid settings")
}

/// A node that stands alone, with the folder of its state.
pub struct LoneNode {
    handle: NodeHandle,
    _folder: TempDir,
}

impl Deref for LoneNode {
    type Target = NodeHandle;

    fn deref(&self) -> &NodeHandle {
        &self.handle
    }
}

/// One node that stands alone.
pub fn start_lone(engines: &[&EngineHandle], tree: &str) -> LoneNode {
    start_lone_with(engines, tree, |_| {})
}

/// One node that stands alone, with some of its settings changed.
pub fn start_lone_with(
    engines: &[&EngineHandle],
    tree: &str,
    change: impl FnOnce(&mut NodeSettings),
) -> LoneNode {
    let folder = tempfile::tempdir().expect("a folder");
    let mut options = NodeOptions::new(lone_settings(engines, folder.path()));
    options.http_workers = 1;
    options.initial_tree = Some(SettingsTree::parse(tree).expect("valid tree"));
    change(&mut options.settings);
    LoneNode {
        handle: Node::start(options).expect("the node starts"),
        _folder: folder,
    }
}

/// A caller of one node.
#[derive(Clone)]
pub struct Caller {
    pub client: awc::Client,
    pub address: SocketAddr,
}

/// An answer read to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: awc::http::header::HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|_| panic!("no JSON: {:?}", self.body))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub fn error_code(&self) -> String {
        let document = self.json();
        document["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

impl Caller {
    pub fn new(address: SocketAddr) -> Caller {
        let client = awc::Client::builder().timeout(PATIENCE).finish();
        Caller { client, address }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> Answer {
        let mut request = self.client.post(self.url(path));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        read(request.send_json(body).await.expect("answered")).await
    }

    pub async fn get(&self, path: &str, headers: &[(&str, &str)]) -> Answer {
        let mut request = self.client.get(self.url(path));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        read(request.send().await.expect("answered")).await
    }

    pub async fn delete(&self, path: &str) -> Answer {
        let request = self.client.delete(self.url(path));
        read(request.send().await.expect("answered")).await
    }

    /// Makes a call and reads its answer as it comes.
    pub async fn stream_call(
        &self,
        program: &str,
        sequence: u32,
        body: &Value,
    ) -> SseReader<impl Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + use<>>
    {
        let request = self
            .client
            .post(self.url(&format!("/v1/programs/{program}/calls")))
            .insert_header(("Courseshed-Sequence", sequence.to_string()));
        let response = request.send_json(body).await.expect("answered");
        assert_eq!(response.status(), StatusCode::OK);
        SseReader::new(response)
    }

    /// Creates a program and gives its id.
    pub async fn program(&self, branch: &str) -> String {
        let answer = self
            .post("/v1/programs", &[], &json!({ "branch": branch }))
            .await;
        assert_eq!(answer.status, StatusCode::CREATED, "{:?}", answer.body);
        answer.json()["id"].as_str().expect("an id").to_owned()
    }

    /// Waits until the node serves.
    pub async fn wait_ready(&self) {
        let started = std::time::Instant::now();
        loop {
            let answer = self.client.get(self.url("/readyz")).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            assert!(
                started.elapsed() < PATIENCE,
                "the node does not become ready"
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The body of a call of so many tokens.
pub fn call_body(text: &str, tokens: u32, stream: bool) -> Value {
    let content = format!("{text} {{\"emulator\":{{\"output_tokens\":{tokens}}}}}");
    json!({
        "model": "base",
        "messages": [{"role": "user", "content": content}],
        "stream": stream,
    })
}

async fn read<S>(mut response: ClientResponse<S>) -> Answer
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let body = response.body().limit(64 << 20).await.expect("a whole body");
    Answer {
        status: response.status(),
        headers: response.headers().clone(),
        body,
    }
}

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    pub id: Option<String>,
    pub name: Option<String>,
    pub data: String,
}

/// Reads server-sent events as they come.
pub struct SseReader<S> {
    stream: S,
    buffer: String,
}

impl<S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin> SseReader<S> {
    pub fn new(stream: S) -> SseReader<S> {
        SseReader {
            stream,
            buffer: String::new(),
        }
    }

    pub async fn next(&mut self) -> Option<SseEvent> {
        loop {
            if let Some(end) = self.buffer.find("\n\n") {
                let event: String = self.buffer.drain(..end + 2).collect();
                return Some(parse_event(&event));
            }
            match self.stream.next().await {
                Some(Ok(bytes)) => self
                    .buffer
                    .push_str(std::str::from_utf8(&bytes).expect("text")),
                _ => return None,
            }
        }
    }

    pub async fn rest(mut self) -> Vec<SseEvent> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await {
            events.push(event);
        }
        events
    }
}

fn parse_event(text: &str) -> SseEvent {
    let field = |name: &str| {
        let lines = text.lines();
        let mut values = lines.filter_map(|line| line.strip_prefix(name));
        values.next().map(|value| value.trim().to_owned())
    };
    SseEvent {
        id: field("id:"),
        name: field("event:"),
        data: field("data:").unwrap_or_default(),
    }
}

/// All events of a body.
pub fn sse_events(body: &[u8]) -> Vec<SseEvent> {
    let text = std::str::from_utf8(body).expect("text");
    text.split_inclusive("\n\n").map(parse_event).collect()
}

/// The text that events append.
pub fn text_of(events: &[SseEvent]) -> String {
    let deltas = events.iter().filter_map(|event| {
        let chunk: Value = serde_json::from_str(&event.data).ok()?;
        chunk["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    });
    deltas.collect()
}

/// Whether events end as a whole answer does.
pub fn is_whole(events: &[SseEvent]) -> bool {
    events.last().is_some_and(|event| event.data == "[DONE]")
}

impl Caller {
    /// Posts a body as it is, well formed or not.
    pub async fn post_text(&self, path: &str, body: &str) -> Answer {
        let request = self.client.post(self.url(path));
        let request = request.insert_header(("Content-Type", "application/json"));
        read(request.send_body(body.to_owned()).await.expect("answered")).await
    }

    /// Posts and gives the stream of events as it comes.
    pub async fn stream(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> SseReader<impl Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + use<>>
    {
        let mut request = self.client.post(self.url(path));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let response = request.send_json(body).await.expect("answered");
        assert_eq!(response.status(), StatusCode::OK);
        SseReader::new(response)
    }
}

/// Waits until a condition holds.
pub async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    let started = std::time::Instant::now();
    while !holds().await {
        assert!(started.elapsed() < PATIENCE, "it does not come to hold");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Checks that an answer is a refusal in OpenAI's shape, with the verdict in both places.
pub fn assert_refused(answer: &Answer, status: StatusCode, code: &str, what: &str) {
    assert_eq!(answer.status, status, "{what}: {:?}", answer.body);
    let document = answer.json();
    let error = &document["error"];
    assert_eq!(error["code"], json!(code), "{what}: {document}");
    assert_eq!(error["verdict"], json!("not_run"), "{what}");
    assert!(error["type"].is_string(), "{what}");
    assert!(
        error["message"]
            .as_str()
            .is_some_and(|text| !text.is_empty()),
        "{what}"
    );
    assert_eq!(
        answer.header("Courseshed-Verdict"),
        Some("not_run"),
        "{what}"
    );
}
