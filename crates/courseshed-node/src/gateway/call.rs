//! Starts the task of a call and turns its events into a response.

use std::time::Duration;

use actix_web::{HttpResponse, http::header};
use courseshed_engine::EngineConnector;
use courseshed_types::{
    Attempt, BranchPath, CallError, CallId, CallOutcome, ErrorCode, ProgramId,
    program::EndReason,
    shard::{SettledCall, ShardReply, ShardRequestBody, SubmitCall},
};
use tokio::sync::oneshot;

use crate::{
    context::SharedContext,
    gateway::{
        branches::unexpected,
        documents::CompletionDocument,
        driver::CallDriver,
        error::{ApiError, HEADER_VERDICT, internal},
        events::{CallEnd, CallProgress, CallReader, StallBounds, call_text},
        parse::{HEADER_ATTEMPT, HEADER_PROGRAM, HEADER_SEQUENCE},
        sse::{EventId, SseBody, StreamShape},
        streams::{ActiveCall, OpenBody},
    },
    shards::ShardPatience,
};

/// How long a call of a branch that is gone from the settings may wait.
const LONGEST_QUEUE_WAIT: Duration = Duration::from_secs(60);

/// How the caller wants the answer.
#[derive(Debug, Clone, Default)]
pub struct AnswerShape {
    /// As a stream.
    pub stream: bool,
    /// With the usage in a chunk of its own.
    pub include_usage: bool,
    /// The model to name.
    pub model: String,
    /// What the caller has already.
    pub had: Option<EventId>,
}

/// What a call's task does.
pub struct CallPlan {
    /// The program.
    pub program: ProgramId,
    /// The branch that pays.
    pub branch: BranchPath,
    /// What to ask the shard first.
    pub first: ShardRequestBody,
    /// Whether the program ends with the call.
    pub ends_program: bool,
    /// How the caller wants the answer.
    pub shape: AnswerShape,
}

/// Runs a call in a task of its own and answers with what comes of it.
///
/// # Errors
/// The call's error, if it ends before any text came.
pub async fn answer_call(
    context: &SharedContext,
    connector: &EngineConnector,
    plan: CallPlan,
) -> Result<HttpResponse, ApiError> {
    let limit = context.settings.limits.streams as usize;
    let active = ActiveCall::enter(context, limit).ok_or_else(too_many)?;
    let shape = plan.shape.clone();
    let program = plan.program;
    let bounds = StallBounds {
        buffer_bytes: context.settings.limits.stream_buffer_bytes,
        patience: context.settings.timeouts.caller_stall,
    };
    let skip = shape.had.map_or(0, |had| had.bytes);
    let (sink, reader) = call_text(bounds, shape.stream, skip);
    let (placed, place) = oneshot::channel();
    let driver = CallDriver {
        context: context.clone(),
        connector: connector.clone(),
        patience: patience(context, &plan.branch),
        sink,
        resumed_attempt: shape.had.map(|had| had.attempt),
        only_follows: matches!(plan.first, ShardRequestBody::AttachCall(_)),
    };
    actix_rt::spawn(run(driver, plan, placed, active));
    let call = place.await.ok();
    let end = match reader.progress().await {
        CallProgress::Text => {
            let call = call.ok_or_else(|| internal_doubt(program))?;
            let attempt = reader.attempt();
            return Ok(stream_response(context, call, attempt, shape, reader, None));
        }
        CallProgress::End(end) => end,
    };
    let settled = match end {
        CallEnd::Broken(error) => return Err(error.into()),
        CallEnd::Settled(settled) => settled,
    };
    match &settled.outcome {
        CallOutcome::Failed(error) => Err(error.clone().into()),
        CallOutcome::Answered(_) if !shape.stream => settled_response(context, &shape, &settled),
        CallOutcome::Answered(answer) => {
            let (call, attempt) = (settled.call, answer.attempt);
            let end = Some(CallEnd::Settled(settled));
            Ok(stream_response(context, call, attempt, shape, reader, end))
        }
    }
}

async fn run(
    driver: CallDriver,
    plan: CallPlan,
    placed: oneshot::Sender<CallId>,
    active: ActiveCall,
) {
    let context = driver.context.clone();
    let shard = plan.program.shard;
    let client = &context.shard_client;
    let first = client
        .ask(&context, shard, plan.first, driver.patience)
        .await;
    if let Some(call) = first.as_ref().ok().and_then(call_of) {
        let _ = placed.send(call);
    } else {
        drop(placed);
    }
    driver.context.metrics.call_started();
    driver.drive(first).await;
    if plan.ends_program {
        end_program(&context, plan.program).await;
    }
    drop(active);
}

async fn end_program(context: &SharedContext, program: ProgramId) {
    let body = ShardRequestBody::EndProgram {
        program,
        reason: EndReason::Caller,
    };
    let client = &context.shard_client;
    let asked = client.ask(context, program.shard, body, ShardPatience::PROMPT);
    if let Err(error) = asked.await {
        log::debug!("a program of one call was not ended: {error}");
    }
}

fn call_of(reply: &ShardReply) -> Option<CallId> {
    match reply {
        ShardReply::Start(order) => Some(order.call.request.call),
        ShardReply::Attach(order) => Some(order.request.call),
        ShardReply::Outcome(settled) => Some(settled.call),
        _ => None,
    }
}

fn patience(context: &SharedContext, branch: &BranchPath) -> ShardPatience {
    let policy = context.view.policy();
    let limits = policy
        .snapshot
        .branch(branch)
        .map(|branch| branch.limits.queue_wait);
    ShardPatience::for_calls(limits.unwrap_or(LONGEST_QUEUE_WAIT))
}

fn too_many() -> ApiError {
    let message = "this gateway has as many calls under way as it may";
    let wait = Duration::from_secs(1);
    CallError::not_run(ErrorCode::Overloaded, message)
        .retry_after(wait)
        .into()
}

fn internal_doubt(program: ProgramId) -> ApiError {
    let message = format!("the call's task ended early; ask for the calls of {program} again");
    internal(courseshed_types::Verdict::MayHaveRun, message).into()
}

/// A settled call as one JSON document.
///
/// # Errors
/// The call's error, if it failed.
pub fn settled_response(
    context: &SharedContext,
    shape: &AnswerShape,
    settled: &SettledCall,
) -> Result<HttpResponse, ApiError> {
    let answer = match &settled.outcome {
        CallOutcome::Answered(answer) => answer,
        CallOutcome::Failed(error) => return Err(error.clone().into()),
    };
    let created = context.clock.now().as_millis() / 1_000;
    let document = CompletionDocument::new(settled.call, &shape.model, created, answer);
    let mut response = HttpResponse::Ok();
    response.insert_header((HEADER_PROGRAM, settled.call.program.to_string()));
    response.insert_header((HEADER_SEQUENCE, settled.call.sequence.to_string()));
    response.insert_header((HEADER_ATTEMPT, answer.attempt.to_string()));
    response.insert_header((HEADER_VERDICT, "ran"));
    Ok(response.json(document))
}

fn stream_response(
    context: &SharedContext,
    call: CallId,
    attempt: Attempt,
    shape: AnswerShape,
    reader: CallReader,
    end: Option<CallEnd>,
) -> HttpResponse {
    let stream_shape = StreamShape {
        call,
        model: shape.model,
        created: context.clock.now().as_millis() / 1_000,
        include_usage: shape.include_usage,
    };
    let had = shape.had.filter(|had| had.attempt == attempt);
    let body = SseBody::new(stream_shape, reader, end, had).counted(OpenBody::enter(context));
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .insert_header((HEADER_PROGRAM, call.program.to_string()))
        .insert_header((HEADER_SEQUENCE, call.sequence.to_string()))
        .insert_header((HEADER_ATTEMPT, attempt.to_string()))
        .streaming(body)
}

/// Submits a call.
pub fn submit(submit: SubmitCall) -> ShardRequestBody {
    ShardRequestBody::SubmitCall(submit)
}

/// Checks that a reply is the state of a program.
///
/// # Errors
/// 500 for any other reply.
pub fn program_of(reply: ShardReply) -> Result<courseshed_types::program::ProgramView, CallError> {
    match reply {
        ShardReply::Program(view) => Ok(view),
        other => Err(unexpected(&other)),
    }
}
