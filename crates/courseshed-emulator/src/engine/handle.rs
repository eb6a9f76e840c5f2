//! Starting an emulated engine inside a process, and steering it from there.

use crate::engine::faults::FaultOrder;
use crate::engine::options::EngineOptions;
use crate::engine::ran::RanReport;
use crate::engine::state::Shared;
use crate::engine::{admin, cache, chat, driver, orders, requests};
use crate::server::{EmbeddedServer, ServerControl};
use actix_web::middleware::from_fn;
use actix_web::web::{self, ServiceConfig};
use courseshed_types::EngineId;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest request body in bytes; a history of 240,000 tokens is about one megabyte.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Starts emulated engines.
pub struct EmulatedEngine;

impl EmulatedEngine {
    /// Starts an engine on threads of its own and returns once it listens.
    pub fn start(options: EngineOptions) -> io::Result<EngineHandle> {
        options.config.check().map_err(io::Error::other)?;
        let control = ServerControl::new();
        let listen = options.listen;
        let name = format!("engine-{}", options.id);
        let shared = Arc::new(Shared::new(options, control.clone()));
        let served = shared.clone();
        let configure = move |config: &mut ServiceConfig| configure(config, &served);
        let server = EmbeddedServer::start(&name, listen, control, configure)?;
        Ok(EngineHandle { shared, server })
    }
}

/// A running emulated engine; dropping it stops it.
pub struct EngineHandle {
    shared: Arc<Shared>,
    server: EmbeddedServer,
}

impl EngineHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its id.
    pub fn id(&self) -> &EngineId {
        &self.shared.options.id
    }

    /// Puts faults in force, as `POST /admin/faults` does.
    pub fn fault(&self, order: &FaultOrder) {
        admin::apply_faults(&self.shared, order);
    }

    /// Crashes at once and comes back after `down`, having forgotten all requests and its cache.
    pub fn crash(&self, down: Duration) {
        self.fault(&FaultOrder {
            crash_after_tokens: Some(0),
            down_ms: Some(down.as_millis() as u64),
            ..FaultOrder::default()
        });
    }

    /// What truly ran, crashes included.
    pub fn ran(&self) -> RanReport {
        admin::report_ran(&self.shared)
    }

    /// Stops it at once, cutting all connections.
    pub fn stop(self) {
        drop(self.server);
    }

    /// Serves until the process ends.
    pub fn wait(self) {
        self.server.wait();
    }
}

/// Sets up the routes and, as this runs once per start of the server, the timer.
fn configure(config: &mut ServiceConfig, shared: &Arc<Shared>) {
    actix_rt::spawn(driver::drive(shared.clone()));
    let scope = web::scope("")
        .wrap(from_fn(admin::gate))
        .route("/v1/chat/completions", web::post().to(chat::complete))
        .route("/v1/requests/{id}", web::get().to(requests::lookup))
        .route("/v1/requests/{id}/stream", web::get().to(requests::resume))
        .route("/v1/requests/{id}/cancel", web::post().to(requests::cancel))
        .route("/v1/models", web::get().to(orders::models))
        .route("/v1/orders", web::post().to(orders::order))
        .route("/v1/load", web::get().to(admin::load))
        .route("/v1/cache/events", web::get().to(cache::events))
        .route("/v1/cache/blocks", web::get().to(cache::blocks))
        .route("/v1/cache/leases", web::get().to(cache::leases))
        .route(
            "/v1/cache/leases/{program}",
            web::put().to(cache::put_lease),
        )
        .route(
            "/v1/cache/leases/{program}",
            web::delete().to(cache::delete_lease),
        )
        .route("/v1/cache/export", web::post().to(cache::export))
        .route("/v1/cache/import", web::post().to(cache::import))
        .route("/admin/faults", web::post().to(admin::faults))
        .route("/admin/ran", web::get().to(admin::ran));
    config
        .app_data(web::Data::from(shared.clone()))
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
        .service(scope);
}
