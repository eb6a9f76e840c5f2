//! Handlers of programs: create, show, keep alive, end, and read the history.

use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_membership::shards_of_tenant;
use courseshed_types::{
    BranchPath, CallError, ErrorCode, ProgramId, ShardId,
    program::{EndReason, NewProgram, ProgramView},
    shard::{ShardReply, ShardRequestBody},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    context::SharedContext,
    gateway::{
        auth::authenticate,
        branches::{authorize, unexpected},
        call::program_of,
        documents::{CreateProgramBody, HistoryDocument, ProgramDocument},
        error::ApiError,
        parse::{idempotency_key, parse_json, program_id, read_body},
        routes::refuse_when_draining,
    },
    shards::ShardPatience,
};

/// `POST /v1/programs`
pub async fn create(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, ApiError> {
    let context = context.get_ref();
    let caller = authenticate(context, &request)?;
    refuse_when_draining(context)?;
    let key = idempotency_key(&request)?;
    let body: CreateProgramBody = parse_json(&read_body(context, payload).await?)?;
    if body
        .worth
        .is_some_and(|worth| !worth.is_finite() || worth < 0.0)
    {
        return Err(ApiError::invalid("worth", "must be a number from 0"));
    }
    let branch = body.branch.unwrap_or_else(|| caller.scope.clone());
    if !caller.reaches(&branch) {
        let message = format!("the key does not reach branch {branch}");
        return Err(ApiError::not_run(ErrorCode::Forbidden, message));
    }
    if let Some(parent) = body.parent {
        authorize(context, &caller, parent).await?;
    }
    let new = NewProgram {
        branch,
        kind: body.kind,
        aim: body.aim_ms.map(Duration::from_millis),
        worth: body.worth,
        parent: body.parent,
        idempotency_key: key,
    };
    let view = create_program(context, new).await?;
    Ok(HttpResponse::Created().json(ProgramDocument::from(view)))
}

/// Creates a program in its parent's shard, in the shard its key names, or in any.
///
/// # Errors
/// The shard's refusal.
pub async fn create_program(
    context: &SharedContext,
    mut new: NewProgram,
) -> Result<ProgramView, CallError> {
    check_branch(context, &new.branch)?;
    let key = match new.idempotency_key.take() {
        Some(key) => key,
        // A name of our own makes asking the shard twice harmless.
        None => context.random_key(),
    };
    let shard = match new.parent {
        Some(parent) => parent.shard,
        None => choose_shard(context, &new.branch, &key)?,
    };
    new.idempotency_key = Some(key);
    let body = ShardRequestBody::CreateProgram(new);
    let client = &context.shard_client;
    let asked = client.ask(context, shard, body, ShardPatience::PROMPT);
    let view = program_of(asked.await?)?;
    let branches = &context.gateway.branches;
    branches.insert(view.id, view.branch.clone());
    Ok(view)
}

fn check_branch(context: &SharedContext, branch: &BranchPath) -> Result<(), CallError> {
    let policy = context.view.policy();
    if policy.snapshot.branches.is_empty() || policy.snapshot.branch(branch).is_some() {
        return Ok(());
    }
    let message = format!("there is no branch {branch}");
    Err(CallError::not_run(ErrorCode::NotFound, message))
}

/// The shard of a new program: every gateway of the region chooses the same for the same key.
fn choose_shard(
    context: &SharedContext,
    branch: &BranchPath,
    key: &str,
) -> Result<ShardId, CallError> {
    let map = context.view.map();
    let region = &context.settings.region;
    let of_region = map.shards.values().filter(|shard| &shard.region == region);
    let shards = shards_of_tenant(branch, of_region.map(|placement| placement.shard));
    if shards.is_empty() {
        let message = "no program shard is placed yet";
        let error = CallError::not_run(ErrorCode::Unavailable, message);
        return Err(error.retry_after(Duration::from_secs(1)));
    }
    let hash = xxh3_64(format!("{branch}\n{key}").as_bytes());
    let place = (hash % shards.len() as u64) as usize;
    Ok(shards[place])
}

/// `GET /v1/programs/{id}`
pub async fn show(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    path: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    let program = reached(&context, &request, &path).await?;
    ask_program(&context, program, ShardRequestBody::GetProgram(program)).await
}

/// `POST /v1/programs/{id}/heartbeat`
pub async fn heartbeat(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    path: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    let program = reached(&context, &request, &path).await?;
    ask_program(&context, program, ShardRequestBody::Heartbeat(program)).await
}

/// `DELETE /v1/programs/{id}`
pub async fn end(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    path: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    let program = reached(&context, &request, &path).await?;
    let reason = EndReason::Caller;
    let body = ShardRequestBody::EndProgram { program, reason };
    ask_program(&context, program, body).await
}

/// `GET /v1/programs/{id}/history`
pub async fn history(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    path: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    let program = reached(&context, &request, &path).await?;
    let body = ShardRequestBody::GetHistory(program);
    let client = &context.shard_client;
    let asked = client.ask(&context, program.shard, body, ShardPatience::PROMPT);
    match asked.await? {
        ShardReply::History(messages) => {
            let id = program;
            Ok(HttpResponse::Ok().json(HistoryDocument { id, messages }))
        }
        other => Err(unexpected(&other).into()),
    }
}

async fn reached(
    context: &SharedContext,
    request: &HttpRequest,
    path: &str,
) -> Result<ProgramId, ApiError> {
    let caller = authenticate(context, request)?;
    let program = program_id(path)?;
    authorize(context, &caller, program).await?;
    Ok(program)
}

async fn ask_program(
    context: &SharedContext,
    program: ProgramId,
    body: ShardRequestBody,
) -> Result<HttpResponse, ApiError> {
    let client = &context.shard_client;
    let asked = client.ask(context, program.shard, body, ShardPatience::PROMPT);
    let view = program_of(asked.await?)?;
    Ok(HttpResponse::Ok().json(ProgramDocument::from(view)))
}
