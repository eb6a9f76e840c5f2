//! The paths of the callers' interface.

use std::time::Duration;

use actix_web::web::{self, ServiceConfig};
use courseshed_engine::EngineConnector;
use courseshed_types::{CallError, ErrorCode};

use crate::{
    context::SharedContext,
    gateway::{calls, completions, error::ApiError, error::unknown_path, programs},
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
    config
        .app_data(web::Data::new(worker.context))
        .app_data(web::Data::new(worker.connector))
        .route("/v1/models", web::get().to(completions::models))
        .route(
            "/v1/chat/completions",
            web::post().to(completions::complete),
        )
        .route("/v1/programs", web::post().to(programs::create))
        .route("/v1/programs/{program}", web::get().to(programs::show))
        .route("/v1/programs/{program}", web::delete().to(programs::end))
        .route(
            "/v1/programs/{program}/history",
            web::get().to(programs::history),
        )
        .route(
            "/v1/programs/{program}/heartbeat",
            web::post().to(programs::heartbeat),
        )
        .route("/v1/programs/{program}/calls", web::post().to(calls::make))
        .route(
            "/v1/programs/{program}/calls/{sequence}",
            web::get().to(calls::get),
        )
        .default_service(web::route().to(unknown_path));
}

/// Refuses new work while the node stops.
///
/// # Errors
/// 503, not run, while draining.
pub fn refuse_when_draining(context: &SharedContext) -> Result<(), ApiError> {
    if !context.drain.is_draining() {
        return Ok(());
    }
    let message = "this node is stopping; ask another one";
    let error = CallError::not_run(ErrorCode::Draining, message);
    Err(error.retry_after(Duration::from_secs(1)).into())
}
