//! The callers' interface as a caller speaks it: one function per request, typed answers.

use std::time::Duration;

use actix_rt::time::timeout;
use awc::{ClientRequest, ClientResponse, error::SendRequestError, http::Method};
use courseshed_types::{ChatMessage, ModelName, ProgramId, Verdict, admin::ErrorDocument};
use futures_util::StreamExt;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, json};

use super::{
    gateways::{Gateways, MAX_DOCUMENT_BYTES},
    plan::ProgramPlan,
    record::Refusal,
    stream::CallStream,
};

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestError {
    /// An error with a verdict.
    Refused(Refusal),
    /// The response began and broke off.
    Cut,
    /// No response came, though the request may have been sent.
    NoWord,
    /// No connection could be made.
    NotSent,
}

/// A program as a gateway tells of it.
#[derive(Debug, Clone, Deserialize)]
pub struct ProgramStatus {
    /// Its id.
    pub id: ProgramId,
    /// The place that its next call takes.
    pub next_sequence: u64,
    /// Tokens it may spend.
    pub budget_tokens: Option<u64>,
    /// Aim for its whole latency.
    pub aim_ms: Option<u64>,
    /// Worth when done within the aim.
    pub worth: f64,
}

#[derive(Deserialize)]
struct HistoryDocument {
    messages: Vec<ChatMessage>,
}

#[derive(Deserialize)]
struct CompletionDocument {
    choices: Vec<CompletionChoice>,
}

#[derive(Deserialize)]
struct CompletionChoice {
    message: ChatMessage,
}

/// One call to be made.
#[derive(Debug, Clone)]
pub struct CallToMake {
    /// The program.
    pub program: ProgramId,
    /// Its place.
    pub sequence: u64,
    /// The caller's name for it.
    pub idempotency_key: String,
    /// Whether it may run again after a failure that leaves doubt.
    pub repeatable: bool,
    /// The model; none takes the branch's default.
    pub model: Option<ModelName>,
    /// The new messages.
    pub messages: Vec<ChatMessage>,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A response to a call that began well.
pub enum CallResponse {
    /// A stream of events.
    Stream(CallStream),
    /// The whole answer.
    Document(String),
}

/// A caller with the key of one branch.
#[derive(Clone)]
pub struct CallerClient<'a> {
    gateways: &'a Gateways,
    key: Option<&'a str>,
    silence: Duration,
}

impl<'a> CallerClient<'a> {
    /// A caller of programs on a branch, who waits no longer than `silence` for a word.
    pub fn new(gateways: &'a Gateways, key: Option<&'a str>, silence: Duration) -> Self {
        CallerClient {
            gateways,
            key,
            silence,
        }
    }

    /// Creates a program; the same `name` again gives the same program.
    ///
    /// # Errors
    /// The refusal, or that no word came.
    pub async fn create(
        &self,
        gateway: usize,
        plan: &ProgramPlan,
        parent: Option<ProgramId>,
        name: &str,
    ) -> Result<ProgramStatus, RequestError> {
        let body = json!({
            "branch": plan.branch,
            "kind": plan.settings_kind,
            "parent": parent,
        });
        let request = self.request(Method::POST, gateway, "/v1/programs");
        let request = request.insert_header(("Idempotency-Key", name));
        self.document(request, Some(&body)).await
    }

    /// What a program is doing.
    ///
    /// # Errors
    /// The refusal, or that no word came.
    pub async fn show(
        &self,
        gateway: usize,
        program: ProgramId,
    ) -> Result<ProgramStatus, RequestError> {
        let path = format!("/v1/programs/{program}");
        self.document(self.request(Method::GET, gateway, &path), None)
            .await
    }

    /// Ends a program.
    ///
    /// # Errors
    /// The refusal, or that no word came.
    pub async fn end(
        &self,
        gateway: usize,
        program: ProgramId,
    ) -> Result<ProgramStatus, RequestError> {
        let path = format!("/v1/programs/{program}");
        self.document(self.request(Method::DELETE, gateway, &path), None)
            .await
    }

    /// The messages of a program's answered calls.
    ///
    /// # Errors
    /// The refusal, or that no word came.
    pub async fn history(
        &self,
        gateway: usize,
        program: ProgramId,
    ) -> Result<Vec<ChatMessage>, RequestError> {
        let path = format!("/v1/programs/{program}/history");
        let request = self.request(Method::GET, gateway, &path);
        let document: HistoryDocument = self.document(request, None).await?;
        Ok(document.messages)
    }

    /// Keeps a program alive through a long pause.
    ///
    /// # Errors
    /// The refusal, or that no word came.
    pub async fn heartbeat(
        &self,
        gateway: usize,
        program: ProgramId,
    ) -> Result<ProgramStatus, RequestError> {
        let path = format!("/v1/programs/{program}/heartbeat");
        self.document(self.request(Method::POST, gateway, &path), None)
            .await
    }

    /// Makes a call.
    ///
    /// # Errors
    /// The refusal, or that no word came.
    pub async fn make(
        &self,
        gateway: usize,
        call: &CallToMake,
    ) -> Result<CallResponse, RequestError> {
        let path = format!("/v1/programs/{}/calls", call.program);
        let body = json!({
            "model": call.model,
            "messages": call.messages,
            "max_tokens": call.max_tokens,
            "stream": call.stream,
        });
        let request = self
            .request(Method::POST, gateway, &path)
            .insert_header(("Courseshed-Sequence", call.sequence))
            .insert_header(("Idempotency-Key", call.idempotency_key.as_str()))
            .insert_header(("Courseshed-Repeatable", call.repeatable.to_string()));
        let response = self.send(request, Some(&body)).await?;
        match call.stream {
            true => Ok(CallResponse::Stream(self.open(response))),
            false => self.completion(response).await.map(CallResponse::Document),
        }
    }

    /// Comes back to the stream of a call, after the event `last_event` if there was one.
    ///
    /// # Errors
    /// The refusal, or that no word came.
    pub async fn resume(
        &self,
        gateway: usize,
        program: ProgramId,
        sequence: u64,
        last_event: Option<&str>,
    ) -> Result<CallStream, RequestError> {
        let path = format!("/v1/programs/{program}/calls/{sequence}");
        let mut request = self
            .request(Method::GET, gateway, &path)
            .insert_header(("Accept", "text/event-stream"));
        if let Some(event) = last_event {
            request = request.insert_header(("Last-Event-ID", event));
        }
        let response = self.send(request, None).await?;
        Ok(self.open(response))
    }

    fn open(&self, response: ClientResponse) -> CallStream {
        CallStream::new(response.boxed_local(), self.silence)
    }

    async fn completion(&self, response: ClientResponse) -> Result<String, RequestError> {
        let document: CompletionDocument = self.read(response).await?;
        let choice = document.choices.into_iter().next();
        let text = choice.and_then(|choice| choice.message.content.as_str().map(str::to_owned));
        text.ok_or(RequestError::Cut)
    }

    fn request(&self, method: Method, gateway: usize, path: &str) -> ClientRequest {
        let url = format!("{}{path}", self.gateways.url(gateway));
        let request = self.gateways.http().request(method, url);
        let request = request.timeout(self.silence);
        match self.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }

    async fn document<T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: Option<&Value>,
    ) -> Result<T, RequestError> {
        let response = self.send(request, body).await?;
        self.read(response).await
    }

    /// Sends a request; anything but success is an error.
    async fn send(
        &self,
        request: ClientRequest,
        body: Option<&Value>,
    ) -> Result<ClientResponse, RequestError> {
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let response = sent.map_err(|error| unsent(&error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(self.refusal(response).await)
    }

    async fn refusal(&self, response: ClientResponse) -> RequestError {
        let status = response.status().as_u16();
        let header = response.headers().get("Retry-After");
        let seconds = header.and_then(|value| value.to_str().ok()?.parse().ok());
        let retry_after = seconds.map(Duration::from_secs);
        match self.read::<ErrorDocument>(response).await {
            Ok(document) => RequestError::Refused(Refusal {
                retry_after,
                ..refusal_of(status, document)
            }),
            Err(_) => RequestError::Refused(Refusal {
                status,
                code: "unreadable".to_owned(),
                verdict: Verdict::MayHaveRun,
                message: "the error could not be read".to_owned(),
                retry_after,
            }),
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        mut response: ClientResponse,
    ) -> Result<T, RequestError> {
        let body = response.body().limit(MAX_DOCUMENT_BYTES);
        match timeout(self.silence, body).await {
            Ok(Ok(body)) => serde_json::from_slice(&body).map_err(|_| RequestError::Cut),
            _ => Err(RequestError::Cut),
        }
    }
}

/// The refusal that an error document tells of.
pub(crate) fn refusal_of(status: u16, document: ErrorDocument) -> Refusal {
    Refusal {
        status,
        code: document.error.code,
        verdict: document.error.verdict,
        message: document.error.message,
        retry_after: None,
    }
}

fn unsent(error: &SendRequestError) -> RequestError {
    match error {
        SendRequestError::Connect(_) => RequestError::NotSent,
        _ => RequestError::NoWord,
    }
}
