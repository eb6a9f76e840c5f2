//! Asks engines what became of attempts whose gateway or leader is gone.
//!
//! An engine that does not know an attempt does not prove that it never ran: it may have restarted since, or an
//! earlier question may have left the refusal there. Unless the engine's answer is certain, the finding is
//! "forgotten", which leaves doubt.

use courseshed_engine::{
    EngineClient, EngineError,
    protocol::{RequestState, RequestStatus},
};
use courseshed_programs::EngineQuery;
use courseshed_types::{
    CallAnswer, ChatMessage, ChatRole, FinishReason, RequestId, ShardId, Usage,
    shard::EngineFinding,
};

use crate::{context::NodeContext, shards::input::ShardInput};

/// A question of a shard's leader.
#[derive(Debug, Clone)]
pub struct EngineQuestion {
    /// The shard that asks.
    pub shard: ShardId,
    /// The question.
    pub query: EngineQuery,
}

/// Asks the engine.
pub async fn find_attempt(client: &EngineClient, query: &EngineQuery) -> EngineFinding {
    match look_up(client, query).await {
        Ok(finding) => finding,
        Err(error) => EngineFinding::Unreachable(error.to_string()),
    }
}

async fn look_up(client: &EngineClient, query: &EngineQuery) -> Result<EngineFinding, EngineError> {
    let status = client.lookup(&query.request).await?;
    match status.state {
        RequestState::Unknown => {
            // Keeps the attempt from starting if it is still on its way.
            let status = client.cancel(&query.request).await?;
            Ok(read(query, status))
        }
        _ => Ok(read(query, status)),
    }
}

fn read(query: &EngineQuery, status: RequestStatus) -> EngineFinding {
    match status.state {
        RequestState::Queued | RequestState::Running => EngineFinding::Running,
        RequestState::Finished => answered(query, status),
        RequestState::Cancelled => EngineFinding::Failed("the attempt was cancelled".to_owned()),
        RequestState::Failed => EngineFinding::Failed("the attempt failed".to_owned()),
        RequestState::Unknown | RequestState::NeverStarted => EngineFinding::Forgotten,
    }
}

fn answered(query: &EngineQuery, status: RequestStatus) -> EngineFinding {
    let (Some(text), Some(usage)) = (status.answer, status.usage) else {
        return EngineFinding::Failed("the engine kept no answer".to_owned());
    };
    EngineFinding::Answered(CallAnswer {
        message: ChatMessage::text(ChatRole::Assistant, text),
        finish_reason: status.finish_reason.unwrap_or(FinishReason::Stop),
        usage: Usage::from(usage),
        attempt: query.request.attempt,
        engine: query.engine.clone(),
    })
}

/// Hands a finding to the shard that asked.
pub fn give_finding(
    context: &NodeContext,
    shard: ShardId,
    request: RequestId,
    finding: EngineFinding,
) {
    let input = ShardInput::Finding(request, finding);
    context.shards.step(context, shard, input);
}
