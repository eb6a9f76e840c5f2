//! The paths of the callers' interface.

use std::time::Duration;

use actix_web::{
    body::MessageBody,
    dev::{ServiceRequest, ServiceResponse},
    middleware::{Next, from_fn},
    web::{self, ServiceConfig},
};
use courseshed_engine::EngineConnector;
use courseshed_types::{CallError, ErrorCode};

use crate::{
    context::SharedContext,
    gateway::{
        calls, completions,
        error::{ApiError, HEADER_VERDICT, unknown_path},
        programs,
    },
};

/// What each HTTP worker thread holds.
#[derive(Clone)]
pub struct GatewayWorker {
    /// The node.
    pub context: SharedContext,
    /// The thread's connections to engines.
    pub connector: EngineConnector,
}

/// Adds the callers' paths to an application.
pub fn configure(config: &mut ServiceConfig, worker: GatewayWorker) {
    let scope = web::scope("/v1")
        .wrap(from_fn(count_answers))
        .route("/models", web::get().to(completions::models))
        .route("/chat/completions", web::post().to(completions::complete))
        .route("/programs", web::post().to(programs::create))
        .route("/programs/{program}", web::get().to(programs::show))
        .route("/programs/{program}", web::delete().to(programs::end))
        .route(
            "/programs/{program}/history",
            web::get().to(programs::history),
        )
        .route(
            "/programs/{program}/heartbeat",
            web::post().to(programs::heartbeat),
        )
        .route("/programs/{program}/calls", web::post().to(calls::make))
        .route(
            "/programs/{program}/calls/{sequence}",
            web::get().to(calls::get),
        )
        .default_service(web::route().to(unknown_path));
    config
        .app_data(web::Data::new(worker.context))
        .app_data(web::Data::new(worker.connector))
        .service(scope)
        .default_service(web::route().to(unknown_path));
}

/// Counts answers by status and verdict.
async fn count_answers(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let context = request.app_data::<web::Data<SharedContext>>().cloned();
    let response = next.call(request).await?;
    if let Some(context) = context {
        let verdict = response.headers().get(HEADER_VERDICT);
        let verdict = verdict.and_then(|value| value.to_str().ok());
        let status = response.status().as_u16();
        context.metrics.answered(status, verdict.unwrap_or("none"));
    }
    Ok(response)
}

/// Refuses new work while the node stops.
///
/// # Errors
/// 503, not run, while draining.
pub fn refuse_when_draining(context: &SharedContext) -> Result<(), ApiError> {
    match context.drain.is_draining() {
        true => Err(stopping()),
        false => Ok(()),
    }
}

/// Refuses to follow a call made before in the last moments of a node that stops.
///
/// # Errors
/// 503, not run, while closing.
pub fn refuse_when_closing(context: &SharedContext) -> Result<(), ApiError> {
    match context.drain.is_closing() {
        true => Err(stopping()),
        false => Ok(()),
    }
}

fn stopping() -> ApiError {
    let message = "this node is stopping; ask another one";
    let error = CallError::not_run(ErrorCode::Draining, message);
    error.retry_after(Duration::from_secs(1)).into()
}
