//! Keeps callers away until the node has an accepted settings tree in force.
//!
//! Until then the node has no keys and no branches, so that it could neither refuse a key nor find a branch.

use std::time::Duration;

use actix_web::{
    Error,
    body::MessageBody,
    dev::{ServiceRequest, ServiceResponse},
    middleware::Next,
    web,
};
use courseshed_types::{CallError, ErrorCode};

use crate::{context::SharedContext, gateway::ApiError};

/// Paths of callers and operators; health and metrics are outside.
const API: &str = "/v1/";
/// Paths of operators, who can act before there are settings.
const ADMIN_API: &str = "/v1/admin/";
/// What a refused caller is told to wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Passes a request on, or answers 503 while the node has no settings in force.
///
/// # Errors
/// 503, not run, while there are no settings; else what the service answers.
pub async fn require_settings(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let path = request.path();
    let is_callers = path.starts_with(API) && !path.starts_with(ADMIN_API);
    let context = request.app_data::<web::Data<SharedContext>>();
    let has_settings = context.is_some_and(|context| context.view.has_settings());
    if is_callers && !has_settings {
        let message = "the node has no accepted settings in force yet";
        let error = CallError::not_run(ErrorCode::Unavailable, message);
        return Err(ApiError::from(error.retry_after(RETRY_AFTER)).into());
    }
    next.call(request).await
}
