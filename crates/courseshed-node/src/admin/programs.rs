//! `/v1/admin/programs`: list, show, end.

use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_types::{
    BranchPath, CallError, ErrorCode, ProgramId, ShardId, Timestamp,
    admin::ProgramSummary,
    program::{EndReason, ProgramPhase, ProgramView},
    shard::{ShardReply, ShardRequestBody},
};
use serde::Deserialize;

use crate::{
    admin::{
        access::{Access, access, operator},
        request::{part, query, unexpected},
    },
    context::SharedContext,
    gateway::ApiError,
    shards::ShardPatience,
};

/// Programs listed unless told otherwise.
const LIMIT_DEFAULT: u32 = 100;
/// Most programs in one answer.
const LIMIT_MOST: u32 = 1_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ListQuery {
    branch: Option<BranchPath>,
    after: Option<ProgramId>,
    limit: Option<u32>,
    #[serde(default)]
    ended: bool,
}

/// `GET /v1/admin/programs`
pub async fn list(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let access = access(&context, &request)?;
    let asked: ListQuery = query(&request)?;
    let scope = match &access {
        Access::Operator => BranchPath::root(),
        Access::Branch(scope) => scope.clone(),
    };
    let branch = asked.branch.clone().unwrap_or(scope);
    if !access.reads(&branch) {
        let message = format!("the key does not reach {branch}");
        return Err(ApiError::not_run(ErrorCode::Forbidden, message));
    }
    let programs = read_shards(&context, &asked, &branch).await?;
    let now = context.clock.now();
    let programs = programs.into_iter().map(|view| summary(view, now));
    Ok(HttpResponse::Ok().json(programs.collect::<Vec<_>>()))
}

/// `GET /v1/admin/programs/{id}`
pub async fn show(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let access = access(&context, &request)?;
    let program = part(&request, "program")?;
    let view = read_program(&context, &access, program).await?;
    Ok(HttpResponse::Ok().json(summary(view, context.clock.now())))
}

/// `DELETE /v1/admin/programs/{id}`
pub async fn end(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let program = part(&request, "program")?;
    let body = ShardRequestBody::EndProgram {
        program,
        reason: EndReason::Operator,
    };
    let view = ask_program(&context, program, body).await?;
    Ok(HttpResponse::Ok().json(summary(view, context.clock.now())))
}

/// A program that the key reaches.
///
/// # Errors
/// 404 for one that does not exist, and for one out of reach: a rival is not told that it exists.
pub async fn read_program(
    context: &SharedContext,
    access: &Access,
    program: ProgramId,
) -> Result<ProgramView, ApiError> {
    let view = ask_program(context, program, ShardRequestBody::GetProgram(program)).await?;
    if access.reads(&view.branch) {
        return Ok(view);
    }
    Err(no_program(program).into())
}

/// A program as operators see it.
pub fn summary(view: ProgramView, now: Timestamp) -> ProgramSummary {
    let since = view.first_call_at.unwrap_or(view.created_at);
    let made = view.next_sequence.0.saturating_sub(1);
    let is_calling = matches!(view.phase, ProgramPhase::Waiting | ProgramPhase::Running);
    ProgramSummary {
        id: view.id,
        branch: view.branch,
        kind: view.kind,
        parent: view.parent,
        phase: view.phase,
        calls: made.saturating_sub(u64::from(is_calling)),
        history_tokens: view.history_tokens.0,
        spent_tokens: view.spent.0,
        budget_tokens: view.budget.map(|budget| budget.0),
        age_ms: now.since(since).as_millis() as u64,
        aim_ms: view.aim.map(|aim| aim.as_millis() as u64),
    }
}

/// Programs in the order of their ids, which is that of their shards.
async fn read_shards(
    context: &SharedContext,
    asked: &ListQuery,
    branch: &BranchPath,
) -> Result<Vec<ProgramView>, ApiError> {
    let limit = asked.limit.unwrap_or(LIMIT_DEFAULT).clamp(1, LIMIT_MOST);
    let first = asked.after.map_or(ShardId(0), |after| after.shard);
    let map = context.view.map();
    let mut programs = Vec::new();
    for shard in map.shards.range(first..).map(|(shard, _)| *shard) {
        let left = limit - programs.len() as u32;
        if left == 0 {
            break;
        }
        let body = ShardRequestBody::ListPrograms {
            branch: branch.clone(),
            after: asked.after.filter(|after| after.shard == shard),
            limit: left,
            include_ended: asked.ended,
        };
        let client = &context.shard_client;
        match client
            .ask(context, shard, body, ShardPatience::PROMPT)
            .await?
        {
            ShardReply::Programs(views) => programs.extend(views),
            other => return Err(unexpected(&other)),
        }
        programs.truncate(limit as usize);
    }
    Ok(programs)
}

async fn ask_program(
    context: &SharedContext,
    program: ProgramId,
    body: ShardRequestBody,
) -> Result<ProgramView, ApiError> {
    if !context.view.map().shards.contains_key(&program.shard) {
        return Err(no_program(program).into());
    }
    let client = &context.shard_client;
    match client
        .ask(context, program.shard, body, ShardPatience::PROMPT)
        .await?
    {
        ShardReply::Program(view) => Ok(view),
        other => Err(unexpected(&other)),
    }
}

fn no_program(program: ProgramId) -> CallError {
    CallError::not_run(
        ErrorCode::NotFound,
        format!("there is no program {program}"),
    )
}
