//! The answers that a gateway gives of its own, each with what is known of whether the request ran.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{Response, StatusCode};
use courseshed_types::Verdict;

/// Why a gateway answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request can't be read.
    Unreadable,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// No route fits, and the routing table in force is known.
    NoRoute,
    /// No tenant holds the key that the caller shows, or it shows none.
    UnknownKey,
    /// Whether the caller's key may still be used isn't known for sure here.
    NoProof {
        /// Whether that is so at all gateways, as far as this one can tell.
        is_everywhere: bool,
    },
    /// The tenant has made as many requests as it may.
    OverQuota {
        /// When to come back.
        retry_after: Duration,
    },
    /// Whether the tenant may make more requests can't be found out here.
    NoQuota,
    /// No routing table is known yet.
    NotStarted,
    /// The scheduler of the pool won't serve it in the time that it has.
    Overloaded {
        /// When to come back with a chance.
        retry_after: Duration,
    },
    /// No server takes it now.
    NoServer,
    /// As much is held for other requests as this machine has memory for.
    NoMemory,
    /// A planned stop ends this gateway before the request would be over.
    Leaving,
    /// The stores that must agree can't be reached.
    NoRecords,
    /// The stores have no room for more programs.
    NoRoom,
    /// The program's tokens are spent.
    BudgetSpent,
    /// The turn that it goes on from was never kept, or is kept no longer.
    UnknownTurn,
    /// It was sent to a server, and no whole answer came.
    Broken,
    /// The time is over, and no server has it.
    TooLate,
    /// The time is over while a server has it.
    TimedOut,
}

/// When to come back after controllers or stores could not be reached: about as long as they take to
/// agree on a leader, or to answer again, after a loss of power.
const RECORDS_RETRY: Duration = Duration::from_millis(600);
/// When to come back after the stores had no room: they look this often for what is kept no longer.
const ROOM_RETRY: Duration = Duration::from_secs(2);
/// When to come back after the machine had no memory left: slow readers give up after two seconds or
/// more, and another gateway may have room sooner.
const MEMORY_RETRY: Duration = Duration::from_secs(1);
/// When to come back, to another gateway.
const OTHER_GATEWAY_RETRY: Duration = Duration::from_millis(10);
/// When to come back after the owner of the permits could not be asked: in about the time that the
/// controllers take to agree on another.
const QUOTA_RETRY: Duration = Duration::from_millis(400);
/// When to come back after no server took the request.
const SERVER_RETRY: Duration = Duration::from_millis(120);

impl Refusal {
    /// What is known of whether the request ran.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Broken | Self::TimedOut => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// The name used in logs and counters.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoProof { .. } => "no_proof",
            Self::OverQuota { .. } => "over_quota",
            Self::NoQuota => "no_quota",
            Self::NotStarted => "not_started",
            Self::Overloaded { .. } => "overloaded",
            Self::NoServer => "no_server",
            Self::NoMemory => "no_memory",
            Self::Leaving => "leaving",
            Self::NoRecords => "no_records",
            Self::NoRoom => "no_room",
            Self::BudgetSpent => "budget_spent",
            Self::UnknownTurn => "unknown_turn",
            Self::Broken => "broken",
            Self::TooLate => "too_late",
            Self::TimedOut => "timed_out",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Unreadable => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute | Self::UnknownTurn => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NotStarted
            | Self::NoProof { .. }
            | Self::NoQuota
            | Self::Overloaded { .. }
            | Self::NoServer
            | Self::NoMemory
            | Self::Leaving
            | Self::NoRecords
            | Self::NoRoom
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotStarted
            | Self::NoRecords
            | Self::NoProof {
                is_everywhere: true,
            } => Some(RECORDS_RETRY),
            Self::NoRoom => Some(ROOM_RETRY),
            Self::NoMemory => Some(MEMORY_RETRY),
            Self::Leaving
            | Self::NoProof {
                is_everywhere: false,
            } => Some(OTHER_GATEWAY_RETRY),
            Self::NoServer | Self::TooLate => Some(SERVER_RETRY),
            Self::OverQuota { retry_after } | Self::Overloaded { retry_after } => Some(retry_after),
            Self::NoQuota => Some(QUOTA_RETRY),
            _ => None,
        }
    }

    /// The answer to the caller.
    #[must_use]
    pub fn response(self) -> Response<BoxBody> {
        let mut response = Response::new(self.status()).set_body(BoxBody::new(self.as_str()));
        if let Some(wait) = self.retry_after() {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        if self == Self::UnknownKey {
            let scheme = HeaderValue::from_static("Bearer");
            response
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}
