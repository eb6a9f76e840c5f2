//! Handlers of calls of a program: make one, ask for one, attach to one.

use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_engine::EngineConnector;
use courseshed_types::{
    BranchPath, CallId, ModelName, ProgramId,
    call::CallOutcome,
    program::CallState,
    shard::{SettledCall, ShardReply, ShardRequestBody, SubmitCall},
};

use crate::{
    context::SharedContext,
    gateway::{
        auth::authenticate,
        branches::{authorize, unexpected},
        call::{AnswerShape, CallPlan, answer_call, settled_response, submit},
        documents::{ChatRequestBody, OpenCallDocument},
        error::ApiError,
        parse::{
            CallHeaders, call_headers, call_request, last_event_id, parse_json, program_id,
            read_body, sequence_number, text_header,
        },
        routes::{refuse_when_closing, refuse_when_draining},
    },
    shards::ShardPatience,
};

/// `POST /v1/programs/{id}/calls`
pub async fn make(
    context: web::Data<SharedContext>,
    connector: web::Data<EngineConnector>,
    request: HttpRequest,
    path: web::Path<String>,
    payload: web::Payload,
) -> Result<HttpResponse, ApiError> {
    let context = context.get_ref();
    let caller = authenticate(context, &request)?;
    refuse_when_draining(context)?;
    let program = program_id(&path)?;
    let headers = call_headers(&request)?;
    let body: ChatRequestBody = parse_json(&read_body(context, payload).await?)?;
    let branch = authorize(context, &caller, program).await?;
    let payer = Payer { program, branch };
    let plan = plan_call(context, payer, headers, body, false)?;
    answer_call(context, &connector, plan).await
}

/// The program that makes a call, and its branch.
pub struct Payer {
    /// The program.
    pub program: ProgramId,
    /// Its branch.
    pub branch: BranchPath,
}

/// Plans a call from what the caller sent.
///
/// # Errors
/// 400 for values that make no sense.
pub fn plan_call(
    context: &SharedContext,
    payer: Payer,
    headers: CallHeaders,
    body: ChatRequestBody,
    full_history: bool,
) -> Result<CallPlan, ApiError> {
    let Payer { program, branch } = payer;
    let model = body.model.clone();
    let shape = AnswerShape {
        stream: body.stream.unwrap_or(false),
        include_usage: body
            .stream_options
            .is_some_and(|options| options.include_usage),
        model: model_name(context, model, &branch),
        had: None,
    };
    let call = call_request(body, headers.repeatable)?;
    let has_name = headers.sequence.is_some() || headers.idempotency_key.is_some();
    // A name of our own makes asking the shard twice harmless.
    let idempotency_key = match headers.idempotency_key {
        None if !has_name => Some(context.random_key()),
        key => key,
    };
    Ok(CallPlan {
        program,
        branch,
        first: submit(SubmitCall {
            program,
            sequence: headers.sequence,
            idempotency_key,
            call,
            full_history,
            gateway: context.identity.node,
        }),
        ends_program: false,
        shape,
    })
}

/// The model named in an answer: the one asked for, or the branch's own.
fn model_name(context: &SharedContext, asked: Option<ModelName>, branch: &BranchPath) -> String {
    let policy = context.view.policy();
    let own = || policy.snapshot.branch(branch)?.default_model.clone();
    asked
        .or_else(own)
        .map_or_else(String::new, |model| model.to_string())
}

/// `GET /v1/programs/{id}/calls/{sequence}`: the outcome as JSON, or the stream when the caller asks for
/// `text/event-stream` or gives `Last-Event-ID`.
pub async fn get(
    context: web::Data<SharedContext>,
    connector: web::Data<EngineConnector>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
) -> Result<HttpResponse, ApiError> {
    let context = context.get_ref();
    let caller = authenticate(context, &request)?;
    let program = program_id(&path.0)?;
    let sequence = sequence_number(&path.1)?;
    let branch = authorize(context, &caller, program).await?;
    let call = CallId { program, sequence };
    let had = last_event_id(&request)?;
    if had.is_some() || wants_stream(&request)? {
        refuse_when_closing(context)?;
        let plan = CallPlan {
            program,
            branch,
            first: ShardRequestBody::AttachCall(call),
            ends_program: false,
            shape: AnswerShape {
                stream: true,
                had,
                ..AnswerShape::default()
            },
        };
        return answer_call(context, &connector, plan).await;
    }
    state_of(context, call).await
}

fn wants_stream(request: &HttpRequest) -> Result<bool, ApiError> {
    let accepted = text_header(request, "Accept")?;
    Ok(accepted.is_some_and(|types| types.contains("text/event-stream")))
}

async fn state_of(context: &SharedContext, call: CallId) -> Result<HttpResponse, ApiError> {
    let body = ShardRequestBody::GetCall(call);
    let client = &context.shard_client;
    let shard = call.program.shard;
    let asked = client.ask(context, shard, body, ShardPatience::PROMPT);
    match asked.await? {
        ShardReply::Call(CallState::Settled(outcome)) => outcome_response(context, call, outcome),
        ShardReply::Call(CallState::Accepted) => Ok(open_call(call, "accepted", None)),
        ShardReply::Call(CallState::Dispatched { attempt, .. }) => {
            Ok(open_call(call, "dispatched", Some(attempt.0)))
        }
        ShardReply::Outcome(settled) => outcome_response(context, call, settled.outcome),
        other => Err(unexpected(&other).into()),
    }
}

fn outcome_response(
    context: &SharedContext,
    call: CallId,
    outcome: CallOutcome,
) -> Result<HttpResponse, ApiError> {
    let settled = SettledCall { call, outcome };
    settled_response(context, &AnswerShape::default(), &settled)
}

fn open_call(call: CallId, state: &'static str, attempt: Option<u32>) -> HttpResponse {
    HttpResponse::Accepted()
        .insert_header(("Retry-After", "1"))
        .json(OpenCallDocument {
            program: call.program,
            sequence: call.sequence,
            state,
            attempt,
        })
}
