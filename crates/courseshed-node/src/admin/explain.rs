//! `/v1/admin/programs/{id}/explain`: why a program runs or waits, from its shard and its dispatcher.

use std::{collections::BTreeSet, time::Duration};

use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_membership::dispatcher_for;
use courseshed_types::{
    CallId, RegionName, Sequence, Timestamp,
    admin::ProgramExplanation,
    dispatch::{PoolId, WaitExplanation},
    program::{CallState, ProgramPhase, ProgramView},
    shard::{ShardReply, ShardRequestBody},
};

use crate::{
    admin::{
        access::access,
        programs::{read_program, summary},
        request::part,
    },
    context::SharedContext,
    gateway::ApiError,
    protocol::{NodeReply, NodeRequest},
    shards::ShardPatience,
};

/// Longest wait for one dispatcher.
const DISPATCHER_PATIENCE: Duration = Duration::from_secs(1);

/// `GET /v1/admin/programs/{id}/explain`
pub async fn explain(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let access = access(&context, &request)?;
    let program = part(&request, "program")?;
    let view = read_program(&context, &access, program).await?;
    let now = context.clock.now();
    let phase = view.phase;
    let mut explanation = ProgramExplanation {
        program: summary(view.clone(), now),
        engine: None,
        position: None,
        pool_waiting: None,
        entitled_share: None,
        attained_share: None,
        reason: String::new(),
    };
    match phase {
        ProgramPhase::Ended(reason) => explanation.reason = format!("it has ended: {reason:?}"),
        ProgramPhase::Paused => explanation.reason = paused(&view, now),
        ProgramPhase::Waiting | ProgramPhase::Running => {
            explain_call(&context, &view, &mut explanation).await;
        }
    }
    Ok(HttpResponse::Ok().json(explanation))
}

fn paused(view: &ProgramView, now: Timestamp) -> String {
    let since = view.last_answer_at.unwrap_or(view.created_at);
    let seconds = now.since(since).as_secs();
    format!(
        "between calls: its caller or tools have been at work for {seconds} s; call {} is next",
        view.next_sequence
    )
}

async fn explain_call(
    context: &SharedContext,
    view: &ProgramView,
    explanation: &mut ProgramExplanation,
) {
    let call = call_under_way(view);
    match call_state(context, call).await {
        Some(CallState::Dispatched { attempt, engine }) => {
            explanation.reason = format!("call {call} runs on {engine}, attempt {attempt}");
            explanation.engine = Some(engine);
        }
        Some(CallState::Accepted) => match ask_dispatchers(context, view, call).await {
            Some(wait) => take_wait(explanation, wait),
            None => {
                explanation.reason = format!(
                    "call {call} is accepted and in no dispatcher's queue: it waits for budget, or is on its way to a dispatcher{}",
                    budget_note(view)
                );
            }
        },
        Some(CallState::Settled(_)) => {
            explanation.reason = format!("call {call} has just been settled");
        }
        None => explanation.reason = format!("the state of call {call} can't be had now"),
    }
}

/// A program that waits or runs has given the sequence number before the next one to the call under way.
fn call_under_way(view: &ProgramView) -> CallId {
    CallId {
        program: view.id,
        sequence: Sequence(view.next_sequence.0.saturating_sub(1)),
    }
}

fn take_wait(explanation: &mut ProgramExplanation, wait: WaitExplanation) {
    explanation.position = Some(wait.position);
    explanation.pool_waiting = Some(wait.pool_waiting);
    explanation.entitled_share = Some(wait.entitled_share);
    explanation.attained_share = Some(wait.attained_share);
    explanation.reason = wait.reason;
}

fn budget_note(view: &ProgramView) -> String {
    match view.budget {
        Some(budget) => format!(
            " ({} of {budget} tokens of its budget spent, {} reserved)",
            view.spent, view.reserved
        ),
        None => String::new(),
    }
}

async fn call_state(context: &SharedContext, call: CallId) -> Option<CallState> {
    let body = ShardRequestBody::GetCall(call);
    let client = &context.shard_client;
    let asked = client.ask(context, call.program.shard, body, ShardPatience::PROMPT);
    match asked.await {
        Ok(ShardReply::Call(state)) => Some(state),
        _ => None,
    }
}

/// Asks the dispatchers of all pools of the program's region, since the shard does not tell the call's model.
async fn ask_dispatchers(
    context: &SharedContext,
    view: &ProgramView,
    call: CallId,
) -> Option<WaitExplanation> {
    let map = context.view.map();
    let region = map.shards.get(&view.id.shard)?.region.clone();
    for pool in pools(context, &region) {
        let Some(dispatcher) = dispatcher_for(&pool, &map) else {
            continue;
        };
        let request = NodeRequest::Explain { pool, call };
        let asked = context
            .transport()
            .request(dispatcher, request, DISPATCHER_PATIENCE);
        if let Ok(NodeReply::Explanation(Some(wait))) = asked.await {
            return Some(wait);
        }
    }
    None
}

fn pools(context: &SharedContext, region: &RegionName) -> Vec<PoolId> {
    let map = context.view.map();
    let policy = context.view.policy();
    let engines = map.engines.engines.iter();
    let served = engines.flat_map(|engine| engine.models.iter());
    let models: BTreeSet<_> = served.chain(policy.snapshot.models.iter()).collect();
    models
        .into_iter()
        .map(|model| PoolId {
            region: region.clone(),
            model: model.clone(),
        })
        .collect()
}
