//! Reading of queries, paths and bodies, with errors in the usual shape; and asking the controllers.

use std::str::FromStr;

use actix_web::{HttpRequest, web};
use courseshed_types::{
    CallError, ErrorCode,
    control::{ControlReply, ControlRequest},
};
use serde::de::DeserializeOwned;

use crate::{context::SharedContext, control::OPERATOR_PATIENCE, gateway::ApiError};

/// A request body, or why it could not be read.
pub type Body = Result<web::Bytes, actix_web::Error>;

/// The query of a request.
///
/// # Errors
/// 400 for an unknown parameter or a value that does not fit.
pub fn query<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, ApiError> {
    let read = web::Query::<T>::from_query(request.query_string());
    let read = read.map(web::Query::into_inner);
    read.map_err(|error| ApiError::invalid("query", error.to_string()))
}

/// The JSON body of a request.
///
/// # Errors
/// 400 for a body that does not fit, 413 for one that is too large.
pub fn body<T: DeserializeOwned>(body: Body) -> Result<T, ApiError> {
    let bytes = body.map_err(|error| {
        let is_large = error.as_response_error().status_code().as_u16() == 413;
        let code = if is_large {
            ErrorCode::TooLarge
        } else {
            ErrorCode::InvalidRequest
        };
        ApiError::not_run(code, format!("the body can't be read: {error}"))
    })?;
    let read = serde_json::from_slice(&bytes);
    read.map_err(|error| ApiError::invalid("body", format!("the body does not fit: {error}")))
}

/// One part of the path.
///
/// # Errors
/// 404 for a text that names nothing of the kind.
pub fn part<T: FromStr>(request: &HttpRequest, name: &str) -> Result<T, ApiError>
where
    T::Err: ToString,
{
    let text = request.match_info().query(name);
    text.parse()
        .map_err(|error: T::Err| ApiError::not_run(ErrorCode::NotFound, error.to_string()))
}

/// Asks the controllers' leader.
///
/// # Errors
/// Its refusal, or that none answered.
pub async fn ask_control(
    context: &SharedContext,
    request: ControlRequest,
) -> Result<ControlReply, CallError> {
    let client = &context.control_client;
    client.ask(context, request, OPERATOR_PATIENCE).await
}

/// The error for an answer of the wrong kind.
pub fn unexpected(reply: &impl std::fmt::Debug) -> ApiError {
    log::error!("an answer of the wrong kind: {reply:?}");
    CallError::may_have_run(ErrorCode::Internal, "an answer of the wrong kind came").into()
}
