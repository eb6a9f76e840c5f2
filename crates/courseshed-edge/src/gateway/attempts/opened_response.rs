//! A response whose head has been received.

use std::time::Duration;

use actix_http::ResponseHead;
use courseshed_pool::CallEnd;
use tokio::time::Instant;

use super::super::core::InFlightGuard;
use super::super::schedule::ScheduledCall;
use super::super::upstream::Upstream;
use super::milliseconds;

/// A response whose head has been received.
pub(in super::super) struct OpenedResponse {
    pub head: ResponseHead,
    pub upstream: Upstream,
    pub server: String,
    /// Software version of the server, if it reports one.
    pub server_version: Option<String>,
    pub sent_at: Instant,
    /// Estimated number of prompt tokens that the server had to prefill.
    pub uncached_tokens: u32,
    /// Time from sending the request to the first chunk of the response, once received.
    pub first_chunk_after: Option<Duration>,
    /// Tokens in the first chunk.
    pub first_tokens: u32,
    /// The call's registration at the pool scheduler.
    pub call: Option<ScheduledCall>,
    /// Counts the request as in flight at the server.
    pub _in_flight: InFlightGuard,
}

impl OpenedResponse {
    /// Reports the end of the call to the pool scheduler.
    pub(in super::super) fn end_call(&mut self, end: CallEnd) {
        if let Some(call) = self.call.take() {
            call.end(end);
        }
    }

    /// How a response that is not a complete stream ends the call: as a server failure or without
    /// information.
    pub(in super::super) fn end_of_unstreamed(&self) -> CallEnd {
        if self.head.status.is_server_error() {
            CallEnd::Failed
        } else {
            CallEnd::Abandoned
        }
    }

    /// How a complete response ends the call.
    pub(super) fn end_of_answer(&self, generated: u32, took: Duration) -> CallEnd {
        if !self.head.status.is_success() {
            return self.end_of_unstreamed();
        }
        CallEnd::Completed {
            generated,
            first_tokens: self.first_tokens,
            first_part_ms: milliseconds(self.first_chunk_after.unwrap_or(took)),
            took_ms: milliseconds(took),
        }
    }
}
