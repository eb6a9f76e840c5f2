//! `/v1/admin/engines`: list, drain, and fenced orders.

use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_engine::{EngineConnector, EngineError, protocol::FencedOrder};
use courseshed_types::{
    EngineId, ErrorCode,
    admin::{DrainOrder, EngineSummary, ModelOrder, ModelOrderResult},
    control::{ControlReply, ControlRequest},
    dispatch::{EngineLoad, EngineMember, EngineState},
};
use futures_util::{StreamExt, stream};
use tokio::time::timeout;

use crate::{
    admin::{
        access::operator,
        request::{Body, ask_control, body, unexpected},
    },
    context::SharedContext,
    gateway::ApiError,
};

/// Engines asked for their load at once.
const ASKED_AT_ONCE: usize = 64;
/// Longest wait for an engine's load.
const LOAD_PATIENCE: Duration = Duration::from_millis(500);

/// `GET /v1/admin/engines`
pub async fn list(
    context: web::Data<SharedContext>,
    connector: web::Data<EngineConnector>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let map = context.view.map();
    let engines = stream::iter(map.engines.engines.iter().cloned());
    let summaries: Vec<EngineSummary> = engines
        .map(|member| with_load(&connector, member))
        .buffered(ASKED_AT_ONCE)
        .collect()
        .await;
    Ok(HttpResponse::Ok().json(summaries))
}

/// `POST /v1/admin/engines/{id}/drain`
pub async fn drain(
    context: web::Data<SharedContext>,
    connector: web::Data<EngineConnector>,
    request: HttpRequest,
    payload: Body,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let mut member = engine_of(&context, &request)?;
    let DrainOrder { leaving } = body(payload)?;
    let engine = member.engine.clone();
    let order = ControlRequest::SetEngineLeaving { engine, leaving };
    match ask_control(&context, order).await? {
        ControlReply::Done => {
            member.state = if leaving {
                EngineState::Leaving
            } else {
                EngineState::Live
            };
            Ok(HttpResponse::Ok().json(with_load(&connector, member).await))
        }
        other => Err(unexpected(&other)),
    }
}

/// `POST /v1/admin/engines/{id}/orders`
pub async fn order(
    context: web::Data<SharedContext>,
    connector: web::Data<EngineConnector>,
    request: HttpRequest,
    payload: Body,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let member = engine_of(&context, &request)?;
    let order: ModelOrder = body(payload)?;
    let taken = ask_control(&context, ControlRequest::TakeFence(member.engine.clone())).await?;
    let ControlReply::Fence(fence) = taken else {
        return Err(unexpected(&taken));
    };
    let client = connector.engine(&member.address);
    let given = client.order(fence, fenced(order)).await;
    let (accepted, message) = match given {
        Ok(status) => (true, models_of(&status.models)),
        Err(error @ EngineError::Refused { .. }) => (false, error.to_string()),
        Err(error) => {
            let verdict = error.verdict();
            let mut answer = ApiError::not_run(ErrorCode::EngineFailed, error.to_string());
            answer.error.verdict = verdict;
            return Err(answer);
        }
    };
    Ok(HttpResponse::Ok().json(ModelOrderResult {
        engine: member.engine,
        fence,
        accepted,
        message,
    }))
}

fn engine_of(context: &SharedContext, request: &HttpRequest) -> Result<EngineMember, ApiError> {
    let engine = EngineId::from(request.match_info().query("engine"));
    let map = context.view.map();
    let mut engines = map.engines.engines.iter();
    let found = engines.find(|member| member.engine == engine).cloned();
    found.ok_or_else(|| {
        let message = format!("no engine is called {engine}");
        ApiError::not_run(ErrorCode::NotFound, message)
    })
}

fn fenced(order: ModelOrder) -> FencedOrder {
    match order {
        ModelOrder::LoadModel { model } => FencedOrder::LoadModel {
            model,
            version: None,
        },
        ModelOrder::DropModel { model } => FencedOrder::DropModel { model },
        ModelOrder::SetRole { role } => FencedOrder::SetRole { role },
    }
}

fn models_of(models: &[courseshed_engine::protocol::ModelStatus]) -> String {
    let names: Vec<&str> = models.iter().map(|model| model.id.as_str()).collect();
    format!(
        "the engine took the order; its models: {}",
        names.join(", ")
    )
}

async fn with_load(connector: &EngineConnector, member: EngineMember) -> EngineSummary {
    let client = connector.engine(&member.address);
    let load = timeout(LOAD_PATIENCE, client.load()).await;
    let load = load.ok().and_then(Result::ok);
    EngineSummary {
        running: load.as_ref().map(|load| load.running),
        memory_used: load.as_ref().and_then(memory_used),
        engine: member.engine,
        address: member.address,
        region: member.region,
        zone: member.zone,
        models: member.models,
        state: member.state,
    }
}

fn memory_used(load: &EngineLoad) -> Option<f64> {
    if load.total_blocks == 0 {
        return None;
    }
    let used = load.total_blocks.saturating_sub(load.free_blocks);
    Some(f64::from(used) / f64::from(load.total_blocks))
}
