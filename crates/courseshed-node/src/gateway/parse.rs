//! Reads headers and bodies of callers, with a clear error for each fault.

use std::time::Duration;

use actix_web::{HttpRequest, web};
use bytes::Bytes;
use courseshed_types::{CallError, CallRequest, ErrorCode, ProgramId, Sequence, Tokens};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{
    context::NodeContext,
    gateway::{documents::ChatRequestBody, error::ApiError, sse::EventId},
};

/// Header with a call's place in its program.
pub const HEADER_SEQUENCE: &str = "Courseshed-Sequence";
/// Header with the program.
pub const HEADER_PROGRAM: &str = "Courseshed-Program";
/// Header with the attempt that answered.
pub const HEADER_ATTEMPT: &str = "Courseshed-Attempt";
/// Header that says whether a call may run again after a failure that leaves doubt.
pub const HEADER_REPEATABLE: &str = "Courseshed-Repeatable";
/// Header with the branch of a program of one call.
pub const HEADER_BRANCH: &str = "Courseshed-Branch";
/// Header with the caller's name for a request.
pub const HEADER_IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Header with the last event of a stream that the caller has.
pub const HEADER_LAST_EVENT_ID: &str = "Last-Event-ID";
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// What the headers say of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHeaders {
    /// The place in the program; none lets the shard choose.
    pub sequence: Option<Sequence>,
    /// The caller's name for the request.
    pub idempotency_key: Option<String>,
    /// Whether the call may run again after a failure that leaves doubt.
    pub repeatable: bool,
}

/// Reads a body within the node's limits of size and time.
///
/// # Errors
/// 413 if it is too large, 400 if it breaks off or does not come in time.
pub async fn read_body(context: &NodeContext, payload: web::Payload) -> Result<Bytes, ApiError> {
    let limits = &context.settings.limits;
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let patience: Duration = context.settings.timeouts.request_read;
    match timeout(patience, payload.to_bytes_limited(limit)).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(error))) => Err(malformed(format!("the body broke off: {error}"))),
        Ok(Err(_)) => {
            let message = format!("the body is larger than {limit} bytes");
            Err(ApiError::not_run(ErrorCode::TooLarge, message))
        }
        Err(_) => Err(malformed("the body did not come in time".to_owned())),
    }
}

/// Reads JSON.
///
/// # Errors
/// 400 with the place of the fault.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|error| malformed(format!("malformed body: {error}")))
}

fn malformed(message: String) -> ApiError {
    CallError::not_run(ErrorCode::InvalidRequest, message).into()
}

/// The program named in a path.
///
/// # Errors
/// 404: a text that is no id names no program.
pub fn program_id(text: &str) -> Result<ProgramId, ApiError> {
    text.parse()
        .map_err(|error| ApiError::not_run(ErrorCode::NotFound, format!("{error}")))
}

/// Reads the headers of a call.
///
/// # Errors
/// 400 for a value that can't be read.
pub fn call_headers(request: &HttpRequest) -> Result<CallHeaders, ApiError> {
    let sequence = match text_header(request, HEADER_SEQUENCE)? {
        Some(text) => Some(sequence_number(text)?),
        None => None,
    };
    let repeatable = match text_header(request, HEADER_REPEATABLE)? {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(ApiError::invalid(HEADER_REPEATABLE, "write true or false")),
    };
    Ok(CallHeaders {
        sequence,
        idempotency_key: idempotency_key(request)?,
        repeatable,
    })
}

/// Reads a sequence number.
///
/// # Errors
/// 400 unless it is a whole number from 1.
pub fn sequence_number(text: &str) -> Result<Sequence, ApiError> {
    match text.parse::<u64>() {
        Ok(number) if number >= 1 => Ok(Sequence(number)),
        _ => Err(ApiError::invalid(
            HEADER_SEQUENCE,
            format!("'{text}' is not a whole number from 1"),
        )),
    }
}

/// Reads the caller's name for a request.
///
/// # Errors
/// 400 if it is empty or too long.
pub fn idempotency_key(request: &HttpRequest) -> Result<Option<String>, ApiError> {
    match text_header(request, HEADER_IDEMPOTENCY_KEY)? {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(ApiError::invalid(
            HEADER_IDEMPOTENCY_KEY,
            format!("1 to {MAX_KEY_BYTES} bytes"),
        )),
        key => Ok(key.map(str::to_owned)),
    }
}

/// Reads the event a caller has last.
///
/// # Errors
/// 400 if it is not an id that a stream carried.
pub fn last_event_id(request: &HttpRequest) -> Result<Option<EventId>, ApiError> {
    match text_header(request, HEADER_LAST_EVENT_ID)? {
        None | Some("") => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|()| {
            ApiError::invalid(
                HEADER_LAST_EVENT_ID,
                "not an id of this stream, such as 1.120",
            )
        }),
    }
}

/// Reads a header as text.
///
/// # Errors
/// 400 if it is not text.
pub fn text_header<'a>(
    request: &'a HttpRequest,
    name: &'static str,
) -> Result<Option<&'a str>, ApiError> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(|text| Some(text.trim()))
        .map_err(|_| ApiError::invalid(name, "not plain text"))
}

/// Turns a chat body into a call.
///
/// # Errors
/// 400 for values that make no sense.
pub fn call_request(body: ChatRequestBody, repeatable: bool) -> Result<CallRequest, ApiError> {
    if body.messages.is_empty() {
        return Err(ApiError::invalid(
            "messages",
            "at least one message is needed",
        ));
    }
    if body.n.is_some_and(|choices| choices != 1) {
        return Err(ApiError::invalid("n", "only one choice can be had"));
    }
    let max_tokens = body.max_completion_tokens.or(body.max_tokens);
    if max_tokens == Some(0) {
        return Err(ApiError::invalid("max_tokens", "must be at least 1"));
    }
    Ok(CallRequest {
        model: body.model,
        messages: body.messages,
        max_tokens: max_tokens.map(Tokens),
        repeatable,
        parameters: body.parameters,
    })
}
