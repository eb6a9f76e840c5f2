//! Errors as callers and operators see them: OpenAI's shape, with code and verdict.

use std::fmt;

use actix_web::{HttpResponse, ResponseError, http::StatusCode};
use courseshed_types::{
    CallError, ErrorCode, Verdict,
    admin::{ErrorBody, ErrorDocument},
};

/// Header that carries the verdict.
pub const HEADER_VERDICT: &str = "Courseshed-Verdict";

/// An error of the HTTP interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiError {
    /// The error.
    pub error: CallError,
    /// The parameter at fault, if one is.
    pub param: Option<&'static str>,
}

impl ApiError {
    /// A request that did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> ApiError {
        CallError::not_run(code, message).into()
    }

    /// A request that can't be understood, for the sake of `param`.
    pub fn invalid(param: &'static str, message: impl Into<String>) -> ApiError {
        ApiError {
            error: CallError::not_run(ErrorCode::InvalidRequest, message),
            param: Some(param),
        }
    }

    /// The JSON that is sent.
    pub fn document(&self) -> ErrorDocument {
        ErrorDocument {
            error: ErrorBody {
                message: self.error.message.clone(),
                kind: openai_kind(self.error.code).to_owned(),
                code: self.error.code.as_str().to_owned(),
                verdict: self.error.verdict,
                param: self.param.map(str::to_owned),
            },
        }
    }
}

impl From<CallError> for ApiError {
    fn from(error: CallError) -> ApiError {
        ApiError { error, param: None }
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.error.fmt(formatter)
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        let status = self.error.code.http_status();
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        response.insert_header((HEADER_VERDICT, self.error.verdict.as_str()));
        if let Some(wait) = self.error.retry_after {
            // Whole seconds, rounded up: the header knows nothing finer (RFC 9110, section 10.2.3).
            let seconds = wait.as_millis().div_ceil(1_000).max(1);
            response.insert_header(("Retry-After", seconds.to_string()));
        }
        if self.error.code == ErrorCode::Unauthorized {
            response.insert_header(("WWW-Authenticate", "Bearer"));
        }
        response.json(self.document())
    }
}

/// The class of error in OpenAI's terms.
fn openai_kind(code: ErrorCode) -> &'static str {
    match code.http_status() {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        503 => "overloaded_error",
        _ => "api_error",
    }
}

/// The answer to a path that does not exist.
pub async fn unknown_path() -> Result<HttpResponse, ApiError> {
    let message = "there is no such path or method";
    Err(ApiError::not_run(ErrorCode::NotFound, message))
}

/// The error for a defect of courseshed itself.
pub fn internal(verdict: Verdict, message: impl Into<String>) -> CallError {
    CallError {
        code: ErrorCode::Internal,
        verdict,
        message: message.into(),
        retry_after: None,
    }
}
