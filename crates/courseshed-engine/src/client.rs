//! The client of one engine.

use crate::error::EngineError;
use crate::protocol::*;
use crate::stream::EngineStream;
use crate::timeouts::EngineTimeouts;
use awc::http::{Method, StatusCode};
use awc::{ClientRequest, ClientResponse, Connector};
use courseshed_types::dispatch::EngineLoad;
use courseshed_types::{EngineCall, ProgramId, RequestId, Verdict};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Largest plain answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Fields of the chat body that parameters must not overwrite.
const OWN_FIELDS: [&str; 4] = ["model", "messages", "max_tokens", "stream"];

/// The connections of one single-threaded runtime to all engines.
#[derive(Clone)]
pub struct EngineConnector {
    http: awc::Client,
    timeouts: EngineTimeouts,
}

impl EngineConnector {
    /// A connector without connections; must be made and used on the same runtime.
    pub fn new(timeouts: EngineTimeouts) -> Self {
        let connector = Connector::new().limit(0).timeout(timeouts.connect);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        EngineConnector { http, timeouts }
    }

    /// The client of the engine at `address`, `ip:port`.
    pub fn engine(&self, address: &str) -> EngineClient {
        EngineClient {
            http: self.http.clone(),
            address: Arc::from(address),
            timeouts: self.timeouts,
        }
    }
}

/// The client of one engine; cheap to clone.
#[derive(Clone)]
pub struct EngineClient {
    http: awc::Client,
    address: Arc<str>,
    timeouts: EngineTimeouts,
}

impl EngineClient {
    /// The engine's address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Starts a call and returns its stream once the engine has taken it.
    ///
    /// An error with [`EngineError::known_state`] means that this request id had come before.
    pub async fn start_stream(&self, call: &EngineCall) -> Result<EngineStream, EngineError> {
        let request = self
            .request(Method::POST, "/v1/chat/completions")
            .insert_header((HEADER_REQUEST_ID, call.request.to_string()))
            .insert_header((HEADER_PRIORITY, call.priority))
            .insert_header((HEADER_PROGRAM_ID, call.program().to_string()))
            .insert_header((HEADER_BRANCH, call.branch.as_str()))
            .timeout(self.timeouts.connect + self.timeouts.first_token);
        let response = self.send_json(request, &chat_body(call)).await?;
        self.open_stream(response, 0).await
    }

    /// Goes on with the stream of a request that the engine knows, after `from_offset` chunks.
    pub async fn resume(
        &self,
        request: &RequestId,
        from_offset: u64,
    ) -> Result<EngineStream, EngineError> {
        let path = format!("/v1/requests/{request}/stream");
        let request = self
            .request(Method::GET, &path)
            .insert_header((HEADER_LAST_EVENT_ID, from_offset));
        let response = self.send(request).await?;
        self.open_stream(response, from_offset).await
    }

    async fn open_stream(
        &self,
        response: Response,
        from_offset: u64,
    ) -> Result<EngineStream, EngineError> {
        let response = self.expect_success(response).await?;
        let address = self.address.clone();
        let payload = response.boxed_local();
        Ok(EngineStream::new(
            address,
            payload,
            self.timeouts,
            from_offset,
        ))
    }

    /// What the engine knows of a request; [`RequestState::Unknown`] is an answer, not an error.
    ///
    /// "Unknown" does not prove that it never ran: the engine may have restarted, or the request
    /// may still be on its way. [`EngineClient::cancel`] settles the latter.
    pub async fn lookup(&self, request: &RequestId) -> Result<RequestStatus, EngineError> {
        let request = self.request(Method::GET, &format!("/v1/requests/{request}"));
        self.fetch(request).await
    }

    /// Cancels a request, or keeps one that has not come from ever starting.
    pub async fn cancel(&self, request: &RequestId) -> Result<RequestStatus, EngineError> {
        let path = format!("/v1/requests/{request}/cancel");
        self.fetch(self.request(Method::POST, &path)).await
    }

    /// The engine's load, as old as the engine makes it.
    pub async fn load(&self) -> Result<EngineLoad, EngineError> {
        self.fetch(self.request(Method::GET, "/v1/load")).await
    }

    /// The models loaded.
    pub async fn models(&self) -> Result<ModelList, EngineError> {
        self.fetch(self.request(Method::GET, "/v1/models")).await
    }

    /// Cache events after number `after` of the engine's present start.
    pub async fn cache_events(&self, after: u64) -> Result<CacheEventBatch, EngineError> {
        let path = format!("/v1/cache/events?after={after}");
        self.fetch(self.request(Method::GET, &path)).await
    }

    /// Leases the prefix of a program's last request, or renews its lease.
    pub async fn put_lease(
        &self,
        program: ProgramId,
        time_to_live: Duration,
    ) -> Result<LeaseStatus, EngineError> {
        let request = self.request(Method::PUT, &format!("/v1/cache/leases/{program}"));
        let ttl_ms = time_to_live.as_millis() as u64;
        self.fetch_with(request, &LeaseBody { ttl_ms }).await
    }

    /// Gives a program's lease up; no error if there is none.
    pub async fn delete_lease(&self, program: ProgramId) -> Result<(), EngineError> {
        let request = self.request(Method::DELETE, &format!("/v1/cache/leases/{program}"));
        let response = self.send(request).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(());
        }
        self.expect_success(response).await.map(drop)
    }

    /// All leases in force.
    pub async fn leases(&self) -> Result<LeaseList, EngineError> {
        self.fetch(self.request(Method::GET, "/v1/cache/leases"))
            .await
    }

    /// Gives a fenced order; refused if the engine has seen a higher fence.
    pub async fn order(&self, fence: u64, order: FencedOrder) -> Result<OrderStatus, EngineError> {
        let request = self.request(Method::POST, "/v1/orders");
        self.fetch_with(request, &OrderBody { fence, order }).await
    }

    /// Moves a program's prefix out; answers when it is out.
    pub async fn export(
        &self,
        program: ProgramId,
        drop: bool,
    ) -> Result<ExportedPrefix, EngineError> {
        let request = self.request(Method::POST, "/v1/cache/export");
        let request = request.timeout(self.timeouts.connect + self.timeouts.first_token);
        self.fetch_with(request, &ExportBody { program, drop })
            .await
    }

    /// Brings a prefix in; answers when it is cached.
    pub async fn import(&self, prefix: &ExportedPrefix) -> Result<ImportStatus, EngineError> {
        let request = self.request(Method::POST, "/v1/cache/import");
        let request = request.timeout(self.timeouts.connect + self.timeouts.first_token);
        self.fetch_with(request, prefix).await
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}{path}", self.address);
        let timeout = self.timeouts.connect + self.timeouts.answer;
        self.http.request(method, url).timeout(timeout)
    }

    async fn fetch<T: DeserializeOwned>(&self, request: ClientRequest) -> Result<T, EngineError> {
        let response = self.send(request).await?;
        self.read_json(response).await
    }

    async fn fetch_with<T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: &impl Serialize,
    ) -> Result<T, EngineError> {
        let response = self.send_json(request, body).await?;
        self.read_json(response).await
    }

    async fn send(&self, request: ClientRequest) -> Result<Response, EngineError> {
        let sent = request.send().await;
        sent.map_err(|error| EngineError::from_send(&self.address, &error))
    }

    async fn send_json(
        &self,
        request: ClientRequest,
        body: &impl Serialize,
    ) -> Result<Response, EngineError> {
        let sent = request.send_json(body).await;
        sent.map_err(|error| EngineError::from_send(&self.address, &error))
    }

    async fn read_json<T: DeserializeOwned>(&self, response: Response) -> Result<T, EngineError> {
        let mut response = self
            .expect_success(response)
            .await?
            .timeout(self.timeouts.answer);
        let read = response.json().limit(MAX_ANSWER_BYTES).await;
        read.map_err(|error| EngineError::from_json(&self.address, &error))
    }

    async fn expect_success(&self, mut response: Response) -> Result<Response, EngineError> {
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let read = response.json::<ErrorBody>().limit(MAX_ANSWER_BYTES).await;
        let body = read.unwrap_or_else(|error| unreadable_error(status, &error.to_string()));
        Err(EngineError::Refused {
            address: self.address.to_string(),
            status: status.as_u16(),
            body: Box::new(body),
        })
    }
}

type Response = ClientResponse;

/// Stands in for an error answer that can't be read; it proves nothing about the request.
fn unreadable_error(status: StatusCode, reason: &str) -> ErrorBody {
    ErrorBody {
        error: ErrorDetail {
            code: EngineErrorCode::Other,
            message: format!("{status} without a readable error: {reason}"),
            verdict: Verdict::MayHaveRun,
        },
        state: None,
    }
}

fn chat_body(call: &EngineCall) -> ChatBodyRef<'_> {
    let own = |field: &str| OWN_FIELDS.contains(&field);
    let parameters = call
        .parameters
        .iter()
        .filter(|(field, _)| !own(field.as_str()));
    ChatBodyRef {
        model: call.model.as_str(),
        messages: &call.messages,
        max_tokens: call.max_tokens.0,
        stream: true,
        parameters: parameters.collect(),
    }
}

/// [`ChatBody`] without copies of the history.
#[derive(Serialize)]
struct ChatBodyRef<'a> {
    model: &'a str,
    messages: &'a [courseshed_types::ChatMessage],
    max_tokens: u64,
    stream: bool,
    #[serde(flatten)]
    parameters: std::collections::BTreeMap<&'a String, &'a serde_json::Value>,
}
