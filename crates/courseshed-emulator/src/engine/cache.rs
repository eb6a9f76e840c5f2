//! Cache events, leases, export and import.

use crate::engine::error;
use crate::engine::state::{EngineState, ProgramPrefix, Shared};
use actix_web::{HttpResponse, web};
use courseshed_engine::protocol::{
    EngineErrorCode, ExportBody, ExportedPrefix, ImportStatus, LeaseBody, LeaseList, LeaseStatus,
};
use courseshed_engine_model::{BlockHash, OwnerKey, ProgramKey};
use courseshed_types::ProgramId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Query of `GET /v1/cache/events`.
#[derive(Deserialize)]
pub(crate) struct EventQuery {
    #[serde(default)]
    after: u64,
}

/// Answer of `GET /v1/cache/blocks`.
#[derive(Serialize)]
struct BlockList {
    start: u64,
    blocks: Vec<BlockHash>,
}

/// `GET /v1/cache/events`.
pub(crate) async fn events(
    shared: web::Data<Shared>,
    query: web::Query<EventQuery>,
) -> HttpResponse {
    let now = shared.now();
    let state = shared.lock();
    let batch = state.cache_log.read(now, query.after, state.start);
    HttpResponse::Ok().json(batch)
}

/// `GET /v1/cache/blocks`.
pub(crate) async fn blocks(shared: web::Data<Shared>) -> HttpResponse {
    let state = shared.lock();
    HttpResponse::Ok().json(BlockList {
        start: state.start,
        blocks: state.model.cached_blocks(),
    })
}

/// `GET /v1/cache/leases`.
pub(crate) async fn leases(shared: web::Data<Shared>) -> HttpResponse {
    let now = shared.now();
    let mut state = shared.lock();
    state.move_on(now);
    let mut leases = Vec::new();
    for view in state.model.leases() {
        if let Some(program) = state.program_keys.name(view.program.0) {
            leases.push(LeaseStatus {
                program: *program,
                held_tokens: state.block_tokens(view.held_blocks),
                ttl_ms: view.expires_at.saturating_sub(now).as_millis() as u64,
            });
        }
    }
    leases.sort_by_key(|lease| lease.program);
    let start = state.start;
    HttpResponse::Ok().json(LeaseList { start, leases })
}

/// `PUT /v1/cache/leases/{program}`.
pub(crate) async fn put_lease(
    shared: web::Data<Shared>,
    program: web::Path<ProgramId>,
    body: web::Json<LeaseBody>,
) -> HttpResponse {
    let program = *program;
    let now = shared.now();
    let mut state = shared.lock();
    state.move_on(now);
    let Some(chain) = state.chain_of(program) else {
        return no_prefix(program);
    };
    let key = ProgramKey(state.program_keys.number(&program));
    let expires_at = now + Duration::from_millis(body.ttl_ms);
    let grant = state.model.put_lease(now, key, chain, expires_at);
    HttpResponse::Ok().json(LeaseStatus {
        program,
        held_tokens: state.block_tokens(grant.held_blocks),
        ttl_ms: body.ttl_ms,
    })
}

/// `DELETE /v1/cache/leases/{program}`.
pub(crate) async fn delete_lease(
    shared: web::Data<Shared>,
    program: web::Path<ProgramId>,
) -> HttpResponse {
    let now = shared.now();
    let mut state = shared.lock();
    let key = ProgramKey(state.program_keys.number(&program));
    match state.model.remove_lease(now, key) {
        true => HttpResponse::NoContent().finish(),
        false => error::not_run(EngineErrorCode::NotFound, format!("no lease of {program}")),
    }
}

/// `POST /v1/cache/export`: answers when the blocks are out.
pub(crate) async fn export(shared: web::Data<Shared>, body: web::Json<ExportBody>) -> HttpResponse {
    let program = body.program;
    let (prefix, ready_at) = {
        let now = shared.now();
        let mut state = shared.lock();
        state.move_on(now);
        let Some(prefix) = state.programs.get(&program).cloned() else {
            return no_prefix(program);
        };
        let ticket = state.model.export(now, prefix.chain.clone());
        let chain: Arc<[BlockHash]> = prefix.chain[..ticket.blocks].into();
        (ProgramPrefix { chain, ..prefix }, ticket.ready_at)
    };
    wait_until(&shared, ready_at).await;
    let mut state = shared.lock();
    if body.drop {
        state.drop_prefix(program, &prefix.chain, shared.now());
    }
    HttpResponse::Ok().json(ExportedPrefix {
        program,
        branch: prefix.branch,
        blocks: prefix.chain.iter().map(|block| block.0).collect(),
        tokens: state.block_tokens(prefix.chain.len()),
    })
}

/// `POST /v1/cache/import`: answers when the blocks are cached.
pub(crate) async fn import(
    shared: web::Data<Shared>,
    body: web::Json<ExportedPrefix>,
) -> HttpResponse {
    let body = body.into_inner();
    let chain: Arc<[BlockHash]> = body.blocks.iter().copied().map(BlockHash).collect();
    let prefix = ProgramPrefix {
        chain: chain.clone(),
        branch: body.branch,
    };
    let ready_at = {
        let now = shared.now();
        let mut state = shared.lock();
        let owner = OwnerKey(state.owner_keys.number(&prefix.branch));
        state.programs.insert(body.program, prefix);
        state.model.import(now, chain.clone(), owner).ready_at
    };
    wait_until(&shared, ready_at).await;
    let now = shared.now();
    let mut state = shared.lock();
    state.move_on(now);
    let cached = state.model.cached_prefix(&chain);
    let tokens = state.block_tokens(cached);
    HttpResponse::Ok().json(ImportStatus { tokens })
}

async fn wait_until(shared: &Shared, at: Duration) {
    shared.changed.notify_one();
    actix_rt::time::sleep(at.saturating_sub(shared.now())).await;
}

fn no_prefix(program: ProgramId) -> HttpResponse {
    error::not_run(
        EngineErrorCode::NotFound,
        format!("no prefix of {program} is known"),
    )
}

impl EngineState {
    fn chain_of(&self, program: ProgramId) -> Option<Arc<[BlockHash]>> {
        self.programs
            .get(&program)
            .map(|prefix| prefix.chain.clone())
    }

    fn drop_prefix(&mut self, program: ProgramId, chain: &[BlockHash], now: Duration) {
        let key = ProgramKey(self.program_keys.number(&program));
        self.model.remove_lease(now, key);
        self.model.drop_prefix(now, chain);
    }
}
