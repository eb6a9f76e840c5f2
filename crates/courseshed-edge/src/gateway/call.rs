//! The gateway's view of a client request, and the codec that maps it to and from HTTP headers.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use bytes::{Bytes, BytesMut};
use courseshed_routing::KeyDigest;
use courseshed_types::PromptPart;
use snafu::Snafu;

/// The program that a request declares itself part of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramHeaders {
    /// The program ID.
    pub program: String,
    /// Total tokens that the turns of the program may generate; `None` if unlimited.
    pub token_budget: Option<u64>,
    /// Time remaining until the program should finish.
    pub time_left: Option<Duration>,
}

/// The credential presented by a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No credential.
    Missing,
    /// Malformed, or more than one.
    Unusable,
    /// The digest of an API key.
    Key(KeyDigest),
}

/// A decoded client request.
#[derive(Clone, Debug)]
pub struct GatewayRequest {
    /// Unique request ID.
    pub request_id: String,
    /// HTTP method, as received.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// The path without the query.
    pub path: String,
    /// The `Host` header, as received.
    pub host: String,
    /// End-to-end headers, as received.
    pub headers: HeaderMap,
    /// The credential presented by the client.
    pub credential: Credential,
    /// The request body.
    pub body: Bytes,
    /// The client's timeout.
    pub time_left: Option<Duration>,
    /// ID of the last event of this stream that the client has received.
    pub last_event: Option<u64>,
    /// ID of the request that delivered the first event of this stream, if the client names one.
    pub resumed_request: Option<String>,
    /// The program that the request belongs to.
    pub program: Option<ProgramHeaders>,
    /// Maximum number of tokens to generate.
    pub most_tokens: Option<u32>,
    /// Key for routing related requests to the same server.
    pub affinity_key: Option<String>,
    /// The segments of the prompt, in order; empty if there is no prompt.
    pub prompt: Vec<PromptPart>,
    /// ID of the stored turn that this request continues.
    pub previous_turn: Option<String>,
}

/// Values that the gateway adds to a request that it forwards to a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardingContext {
    /// Time remaining for the server to respond.
    pub time_left: Option<Duration>,
    /// The only server instance that may execute the request.
    pub server: String,
    /// ID of the last event that the client has; the stream resumes after it.
    pub resume_after: Option<u64>,
    /// The authenticated tenant; `None` if the fleet requires no keys.
    pub tenant: Option<String>,
    /// Whether the client's key is removed before forwarding.
    pub strips_key: bool,
}

/// Metadata in a server's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// ID of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the server states that it did not execute the request.
    pub is_not_run: bool,
    /// Remaining warm-up time of the server; `None` if not stated.
    pub warmup_remaining: Option<Duration>,
}

/// A request that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct InvalidRequest {
    /// The cause, in terms that the client understands.
    pub reason: String,
}

/// Encodes and decodes the wire format of clients and servers. Pure translation, no decisions.
pub trait CallCodec: 'static {
    /// Decodes the head of a client request; the body is read separately.
    ///
    /// # Errors
    /// [`InvalidRequest`] if a mandatory header is malformed.
    fn read_call(&self, head: &RequestHead) -> Result<GatewayRequest, InvalidRequest>;

    /// Encodes the request head for a server, including the terminating empty line.
    fn write_head(
        &self,
        call: &GatewayRequest,
        body_bytes: usize,
        terms: &ForwardingContext,
        out: &mut BytesMut,
    );

    /// Decodes the metadata of a server's response.
    fn read_answer(&self, head: &ResponseHead) -> ResponseMetadata;
}
