//! Decides whether the body of a server's response is complete. No I/O.
//!
//! Invariant: only [`judge`] decides this, from the framing, what ended the reading, and where in the
//! body that was. The end of the received bytes alone proves nothing.

use actix_http::header::{self, HeaderMap};
use actix_http::{ResponseHead, StatusCode, Version};

/// How a response delimits its body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The status or the request's method rules out a body.
    Empty,
    /// The length is declared.
    Length,
    /// The body comes in chunks, of which the last is empty.
    Chunked,
    /// Neither: the body ends with the connection.
    UntilClose,
}

impl Framing {
    /// The framing that the head of a response declares.
    #[must_use]
    pub fn of(head: &ResponseHead, is_head_request: bool) -> Self {
        let status = head.status;
        let is_bodiless = status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if is_head_request || is_bodiless {
            Self::Empty
        } else if head.version >= Version::HTTP_11 && is_chunked(head.headers()) {
            Self::Chunked
        } else if head.headers().contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// The name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let encoding = headers.get(header::TRANSFER_ENCODING);
    let encoding = encoding.and_then(|value| value.to_str().ok());
    encoding.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}

/// What ended the reading of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The end that the framing marks.
    Framing,
    /// The server closed the connection in order.
    Closed,
    /// The same, before it had taken the whole request.
    ClosedEarly,
    /// The connection was reset, or failed otherwise.
    Reset,
    /// Bytes that violate the framing.
    Invalid,
    /// No bytes came within the time limit.
    Silent,
}

impl Ending {
    /// The name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Framing => "framing",
            Self::Closed => "closed",
            Self::ClosedEarly => "closed_early",
            Self::Reset => "reset",
            Self::Invalid => "invalid",
            Self::Silent => "silent",
        }
    }
}

/// The end of a body, as its connection shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyEnd {
    /// How the response delimits its body.
    pub framing: Framing,
    /// What ended the reading.
    pub ending: Ending,
    /// The error of the connection or of the decoder; empty if there is none.
    pub detail: String,
}

/// What a body consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// Bytes without a structure that the gateway knows.
    Plain {
        /// Whether the status of the response is a success.
        is_success: bool,
    },
    /// Server-sent events.
    Events,
}

/// What had been received of a body when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyProgress {
    /// What the body consists of.
    pub content: Content,
    /// Bytes received.
    pub bytes: u64,
    /// Complete events that continue what the client has; 0 in a plain body.
    pub events: u64,
    /// Bytes of an event that is not complete; 0 in a plain body.
    pub partial_event_bytes: usize,
}

/// Where in a body its end lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Nothing, or no event, came before it.
    Start,
    /// After some bytes of a plain body.
    WithinBody,
    /// After a complete event.
    BetweenEvents,
    /// Within an event, its empty line included.
    WithinEvent,
}

impl BodyProgress {
    /// Where the end lies.
    #[must_use]
    pub fn position(&self) -> Position {
        match self.content {
            Content::Plain { .. } if self.bytes == 0 => Position::Start,
            Content::Plain { .. } => Position::WithinBody,
            Content::Events if self.partial_event_bytes > 0 => Position::WithinEvent,
            Content::Events if self.events == 0 => Position::Start,
            Content::Events => Position::BetweenEvents,
        }
    }
}

impl Position {
    /// The name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::WithinBody => "within_body",
            Self::BetweenEvents => "between_events",
            Self::WithinEvent => "within_event",
        }
    }
}

/// Whether a body is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completeness {
    /// All of it was received.
    Complete,
    /// Some of it is missing.
    Truncated,
    /// The connection doesn't show which; the body is treated as truncated.
    Unknown,
}

impl Completeness {
    /// The name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Truncated => "truncated",
            Self::Unknown => "unknown",
        }
    }
}

/// What decided whether a body is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The framing marked the end.
    FramedEnd,
    /// The connection, whose end is the end of the body, was closed in order.
    OrderlyClose,
    /// An error response whose status says all that the client needs.
    ErrorWithoutBody,
    /// The end lies within an event.
    PartialEvent,
    /// The connection was closed before the end that the framing marks.
    ClosedWithinFraming,
    /// The connection was reset.
    Reset,
    /// Bytes that violate the framing.
    InvalidFraming,
    /// No bytes came within the time limit.
    Silence,
    /// The connection was closed after the head, which an empty body and a failed server have in common.
    ClosedAfterHead,
    /// The connection was closed before the server had taken the whole request, as a server does that has
    /// answered and as one that failed.
    ClosedBeforeRequestSent,
}

impl Reason {
    /// The name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FramedEnd => "framed_end",
            Self::OrderlyClose => "orderly_close",
            Self::ErrorWithoutBody => "error_without_body",
            Self::PartialEvent => "partial_event",
            Self::ClosedWithinFraming => "closed_within_framing",
            Self::Reset => "reset",
            Self::InvalidFraming => "invalid_framing",
            Self::Silence => "silence",
            Self::ClosedAfterHead => "closed_after_head",
            Self::ClosedBeforeRequestSent => "closed_before_request_sent",
        }
    }
}

/// The verdict on a body that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyVerdict {
    /// Whether the body is complete.
    pub completeness: Completeness,
    /// What decided it.
    pub reason: Reason,
}

impl BodyVerdict {
    const fn complete(reason: Reason) -> Self {
        Self {
            completeness: Completeness::Complete,
            reason,
        }
    }

    const fn unknown(reason: Reason) -> Self {
        Self {
            completeness: Completeness::Unknown,
            reason,
        }
    }

    const fn truncated(reason: Reason) -> Self {
        Self {
            completeness: Completeness::Truncated,
            reason,
        }
    }

    /// Whether the body may be passed on as complete.
    #[must_use]
    pub fn is_complete(self) -> bool {
        self.completeness == Completeness::Complete
    }
}

/// Decides whether a body is complete; `docs/design/response-ends.md` gives the reason of each case.
#[must_use]
pub fn judge(framing: Framing, ending: Ending, progress: &BodyProgress) -> BodyVerdict {
    let position = progress.position();
    match (ending, framing) {
        (Ending::Reset, _) => BodyVerdict::truncated(Reason::Reset),
        (Ending::Invalid, _) => BodyVerdict::truncated(Reason::InvalidFraming),
        (Ending::Silent, _) => BodyVerdict::truncated(Reason::Silence),
        (Ending::Framing | Ending::Closed | Ending::ClosedEarly, _)
            if position == Position::WithinEvent =>
        {
            BodyVerdict::truncated(Reason::PartialEvent)
        }
        (Ending::Framing, Framing::UntilClose) => BodyVerdict::truncated(Reason::InvalidFraming),
        (Ending::Framing, _) => BodyVerdict::complete(Reason::FramedEnd),
        (Ending::Closed, Framing::UntilClose) => judge_orderly_close(position, progress.content),
        (Ending::ClosedEarly, Framing::UntilClose) => match progress.content {
            Content::Plain { is_success: false } => BodyVerdict::complete(Reason::ErrorWithoutBody),
            Content::Plain { .. } | Content::Events => {
                BodyVerdict::unknown(Reason::ClosedBeforeRequestSent)
            }
        },
        (Ending::Closed | Ending::ClosedEarly, _) => {
            BodyVerdict::truncated(Reason::ClosedWithinFraming)
        }
    }
}

/// Decides whether a body that its connection delimits is complete.
fn judge_orderly_close(position: Position, content: Content) -> BodyVerdict {
    if position != Position::Start {
        return BodyVerdict::complete(Reason::OrderlyClose);
    }
    match content {
        Content::Plain { is_success: false } => BodyVerdict::complete(Reason::ErrorWithoutBody),
        Content::Plain { .. } | Content::Events => BodyVerdict::unknown(Reason::ClosedAfterHead),
    }
}
