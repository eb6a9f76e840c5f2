//! Error answers of the emulated engine.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use courseshed_engine::protocol::{EngineErrorCode, ErrorBody, ErrorDetail, RequestState};
use courseshed_types::Verdict;

/// Builds the body of an error.
pub(crate) fn error_body(
    code: EngineErrorCode,
    verdict: Verdict,
    message: impl Into<String>,
) -> ErrorBody {
    ErrorBody {
        error: ErrorDetail {
            code,
            message: message.into(),
            verdict,
        },
        state: None,
    }
}

/// An answer for a request that did not run and won't.
pub(crate) fn not_run(code: EngineErrorCode, message: impl Into<String>) -> HttpResponse {
    answer(error_body(code, Verdict::NotRun, message))
}

/// An answer that says nothing about whether the request ran.
pub(crate) fn doubtful(code: EngineErrorCode, message: impl Into<String>) -> HttpResponse {
    answer(error_body(code, Verdict::MayHaveRun, message))
}

/// An answer for a request id that is known already.
pub(crate) fn known(state: RequestState) -> HttpResponse {
    answer(known_body(state))
}

/// The body of the answer for a request id that is known already.
pub(crate) fn known_body(state: RequestState) -> ErrorBody {
    let verdict = match state {
        RequestState::NeverStarted => Verdict::NotRun,
        RequestState::Finished => Verdict::Ran,
        _ => Verdict::MayHaveRun,
    };
    let message = "this request id has come before and will not run again";
    let mut body = error_body(EngineErrorCode::RequestKnown, verdict, message);
    body.state = Some(state);
    body
}

/// The answer with a given body.
pub(crate) fn answer(body: ErrorBody) -> HttpResponse {
    HttpResponse::build(status(body.error.code)).json(body)
}

fn status(code: EngineErrorCode) -> StatusCode {
    match code {
        EngineErrorCode::InvalidRequest | EngineErrorCode::ContextTooLong => {
            StatusCode::BAD_REQUEST
        }
        EngineErrorCode::ModelNotLoaded
        | EngineErrorCode::RequestUnknown
        | EngineErrorCode::NotFound => StatusCode::NOT_FOUND,
        EngineErrorCode::RequestKnown
        | EngineErrorCode::FenceTooLow
        | EngineErrorCode::Cancelled => StatusCode::CONFLICT,
        EngineErrorCode::Leaving | EngineErrorCode::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
        EngineErrorCode::WeightsUnavailable => StatusCode::BAD_GATEWAY,
        EngineErrorCode::Other => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
