//! The requests of the bench: streams, calls of one token, programs created and read.

use std::time::Duration;

use awc::{ClientRequest, http::Method};
use futures_util::{StreamExt, future::try_join_all};
use serde_json::{Value, json};

use super::{BenchError, Target};
use crate::live::stream::{CallStream, StreamItem};

/// How long any request may stay without a word.
const SILENCE: Duration = Duration::from_secs(60);
/// Requests under way at once where many short ones are made.
const CONCURRENCY: usize = 16;

/// Which way a stream goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// Through a gateway.
    Gateway,
    /// Straight to the engine.
    Straight,
}

/// Makes the bench's requests.
pub(crate) struct Requests<'a> {
    target: &'a Target,
    http: awc::Client,
}

impl<'a> Requests<'a> {
    pub(crate) fn new(target: &'a Target) -> Requests<'a> {
        let http = crate::live::gateways::http_client();
        Requests { target, http }
    }

    /// Opens so many streams at once and reads them to their ends; the tokens read.
    pub(crate) async fn streams(
        &self,
        way: Way,
        streams: usize,
        tokens: u32,
    ) -> Result<u64, BenchError> {
        let all = (0..streams).map(|number| self.stream(way, number, tokens));
        let read = try_join_all(all).await?;
        Ok(read.into_iter().sum())
    }

    /// Makes so many calls of one token, several at once.
    pub(crate) async fn calls(&self, way: Way, calls: usize) -> Result<u64, BenchError> {
        let mut made = futures_util::stream::iter(0..calls)
            .map(|number| self.stream(way, number, 1))
            .buffer_unordered(CONCURRENCY);
        let mut tokens = 0;
        while let Some(read) = made.next().await {
            tokens += read?;
        }
        Ok(tokens)
    }

    /// Creates so many programs: one commit each.
    pub(crate) async fn create(&self, programs: usize) -> Result<Vec<String>, BenchError> {
        let mut created = futures_util::stream::iter(0..programs)
            .map(|_| self.create_one())
            .buffer_unordered(CONCURRENCY);
        let mut ids = Vec::new();
        while let Some(id) = created.next().await {
            ids.push(id?);
        }
        Ok(ids)
    }

    /// Reads programs: the same way, without a commit.
    pub(crate) async fn read(&self, programs: &[String]) -> Result<(), BenchError> {
        let mut read = futures_util::stream::iter(programs)
            .map(|id| self.document(Method::GET, format!("/v1/programs/{id}"), None))
            .buffer_unordered(CONCURRENCY);
        while let Some(one) = read.next().await {
            one?;
        }
        Ok(())
    }

    /// Ends programs.
    pub(crate) async fn end(&self, programs: &[String]) -> Result<(), BenchError> {
        let mut ended = futures_util::stream::iter(programs)
            .map(|id| self.document(Method::DELETE, format!("/v1/programs/{id}"), None))
            .buffer_unordered(CONCURRENCY);
        while let Some(one) = ended.next().await {
            one?;
        }
        Ok(())
    }

    /// Gives each program a history of about `tokens` tokens, in one call.
    pub(crate) async fn fill(&self, programs: &[String], tokens: u32) -> Result<(), BenchError> {
        let mut filled = futures_util::stream::iter(programs)
            .map(|id| async move {
                let path = format!("/v1/programs/{id}/calls");
                let text = "word".repeat(tokens as usize);
                let body = self.body(&text, 1, false);
                self.document(Method::POST, path, Some(body)).await
            })
            .buffer_unordered(CONCURRENCY);
        while let Some(one) = filled.next().await {
            one?;
        }
        Ok(())
    }

    async fn create_one(&self) -> Result<String, BenchError> {
        let body = json!({ "branch": self.target.branch });
        let document = self.document(Method::POST, "/v1/programs".to_owned(), Some(body));
        let id = document.await?["id"].as_str().map(str::to_owned);
        id.ok_or_else(|| failed("the id of a program", "there is none"))
    }

    /// One stream read to its end; its tokens.
    async fn stream(&self, way: Way, number: usize, tokens: u32) -> Result<u64, BenchError> {
        let base = match way {
            Way::Gateway => &self.target.url,
            Way::Straight => &self.target.engine_url,
        };
        let request = self.http.post(format!("{base}/v1/chat/completions"));
        let request = match way {
            Way::Gateway => self.with_key(request),
            Way::Straight => request,
        };
        let text = format!("stream {number}");
        let sent = request
            .insert_header(("Courseshed-Branch", self.target.branch.as_str()))
            .timeout(SILENCE)
            .send_json(&self.body(&text, tokens, true));
        let mut response = sent.await.map_err(|error| failed("a stream", error))?;
        if !response.status().is_success() {
            let status = response.status();
            let body = response.body().await.unwrap_or_default();
            let text = String::from_utf8_lossy(&body).into_owned();
            return Err(failed("a stream", format!("{status}: {text}")));
        }
        read_whole(CallStream::new(response.boxed_local(), SILENCE)).await
    }

    async fn document(
        &self,
        method: Method,
        path: String,
        body: Option<Value>,
    ) -> Result<Value, BenchError> {
        let request = self
            .http
            .request(method, format!("{}{path}", self.target.url));
        let request = self.with_key(request).timeout(SILENCE);
        let sent = match &body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let mut response = sent.map_err(|error| failed("a request", error))?;
        let bytes = response.body().limit(1 << 26).await;
        let bytes = bytes.map_err(|error| failed("the body of an answer", error))?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            return Err(failed("a request", text));
        }
        serde_json::from_slice(&bytes).map_err(|error| failed("reading an answer", error))
    }

    fn with_key(&self, request: ClientRequest) -> ClientRequest {
        match &self.target.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }

    fn body(&self, text: &str, tokens: u32, stream: bool) -> Value {
        let content = format!("{text} {{\"emulator\":{{\"output_tokens\":{tokens}}}}}");
        json!({
            "model": self.target.model,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": tokens,
            "stream": stream,
        })
    }
}

async fn read_whole(mut stream: CallStream) -> Result<u64, BenchError> {
    let mut tokens = 0;
    loop {
        match stream.next().await {
            StreamItem::Text { .. } => tokens += 1,
            StreamItem::Other => {}
            StreamItem::Done => return Ok(tokens),
            StreamItem::Failed(refusal) => return Err(failed("a stream", refusal.message)),
            StreamItem::Cut => return Err(failed("a stream", "it broke off")),
        }
    }
}

fn failed(what: &'static str, reason: impl ToString) -> BenchError {
    BenchError::Request {
        what,
        reason: reason.to_string(),
    }
}
