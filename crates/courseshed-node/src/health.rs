//! `/healthz`, `/readyz` and `/metrics`.

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, ServiceConfig},
};
use courseshed_types::ShardId;
use serde::Serialize;

use crate::{
    context::{NodeContext, SharedContext},
    gateway::sees_branches,
    metrics::Audience,
};

/// Adds the paths to an application that holds the node's context.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(alive))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics));
}

#[derive(Serialize)]
struct Health {
    status: &'static str,
}

async fn alive() -> HttpResponse {
    HttpResponse::Ok().json(Health { status: "alive" })
}

async fn ready(context: web::Data<SharedContext>) -> HttpResponse {
    match readiness(&context) {
        Ok(()) => HttpResponse::Ok().json(Health { status: "ready" }),
        Err(status) => HttpResponse::ServiceUnavailable().json(Health { status }),
    }
}

/// Whether the node can serve.
///
/// # Errors
/// Why not.
pub fn readiness(context: &NodeContext) -> Result<(), &'static str> {
    if context.drain.is_draining() {
        return Err("draining");
    }
    if context.view.is_leaving(context.identity.node) {
        return Err("leaving");
    }
    if !context.view.has_settings() {
        return Err("no settings in force");
    }
    if context.view.map().shards.is_empty() {
        return Err("no program shard is placed");
    }
    if !context.gateway.has_been_ready() && !knows_leaders(context) {
        return Err("a program shard has no leader");
    }
    context.gateway.note_ready();
    Ok(())
}

/// Whether the replicas here know who leads their shards. Asked only until the node has been ready once: if elections
/// made nodes unready, all nodes of a region would be so at the same time.
fn knows_leaders(context: &NodeContext) -> bool {
    let is_led = |shard: ShardId| context.shards.leader(shard).is_some();
    context.shards.ids().into_iter().all(is_led)
}

async fn metrics(context: web::Data<SharedContext>, request: HttpRequest) -> HttpResponse {
    let audience = match sees_branches(&context, &request) {
        true => Audience::Operator,
        false => Audience::Anyone,
    };
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(context.metrics.render(&context, audience))
}
