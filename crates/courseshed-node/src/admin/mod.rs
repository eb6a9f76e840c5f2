//! The operators' HTTP interface, the same at every node.
//!
//! Any node answers: what concerns settings, nodes and engines comes from the controllers' leader, what concerns
//! programs from the leaders of their shards. Operators' keys are apart from callers' keys; a caller's key reads
//! programs and effective settings of its own branch and below, and nothing else.
//!
//! The paths and documents are those of `courseshed_types::admin`.

mod access;
mod engines;
mod explain;
mod nodes;
mod programs;
mod request;
mod settings;

use actix_web::web::{self, PayloadConfig, ServiceConfig};

use crate::gateway::unknown_path;

/// Largest body; a settings tree of several thousand branches fits.
const BODY_LIMIT: usize = 8 << 20;

/// Adds the paths to an application that holds the node's context and connections to engines.
pub fn configure(config: &mut ServiceConfig) {
    let scope = web::scope("/v1/admin")
        .app_data(PayloadConfig::new(BODY_LIMIT))
        .route("/status", web::get().to(nodes::status))
        .route("/settings", web::get().to(settings::show))
        .route("/settings", web::post().to(settings::apply))
        .route("/settings/effective", web::get().to(settings::effective))
        .route("/settings/history", web::get().to(settings::history))
        .route("/settings/lagging", web::get().to(settings::lagging))
        .route("/programs", web::get().to(programs::list))
        .route("/programs/{program}", web::get().to(programs::show))
        .route("/programs/{program}", web::delete().to(programs::end))
        .route(
            "/programs/{program}/explain",
            web::get().to(explain::explain),
        )
        .route("/engines", web::get().to(engines::list))
        .route("/engines/{engine}/drain", web::post().to(engines::drain))
        .route("/engines/{engine}/orders", web::post().to(engines::order))
        .route("/nodes", web::get().to(nodes::list))
        .route("/nodes/{node}/drain", web::post().to(nodes::drain))
        .default_service(web::route().to(unknown_path));
    config.service(scope);
}
