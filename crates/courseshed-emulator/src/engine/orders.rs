//! Fenced orders, and the models they load.

use crate::engine::chat::is_plain;
use crate::engine::error;
use crate::engine::state::{EngineState, Shared, ready_model};
use actix_web::{HttpResponse, web};
use courseshed_engine::protocol::{
    EngineErrorCode, FencedOrder, ModelList, ModelStatus, OrderBody, OrderStatus,
};
use courseshed_types::ModelName;
use futures_util::StreamExt;
use std::time::Duration;

/// Longest wait for the weight store's answer head.
const STORE_TIMEOUT: Duration = Duration::from_secs(30);

/// `GET /v1/models`.
pub(crate) async fn models(shared: web::Data<Shared>) -> HttpResponse {
    let data = shared.lock().models.values().cloned().collect();
    HttpResponse::Ok().json(ModelList { data })
}

/// `POST /v1/orders`: answers at once; a model that loads becomes ready later.
pub(crate) async fn order(shared: web::Data<Shared>, body: web::Json<OrderBody>) -> HttpResponse {
    let OrderBody { fence, order } = body.into_inner();
    let mut state = shared.lock();
    if fence < state.fence {
        let message = format!("fence {fence} is below {}", state.fence);
        return error::not_run(EngineErrorCode::FenceTooLow, message);
    }
    state.fence = fence;
    match state.obey(order) {
        Ok(Some(model)) => drop(actix_rt::spawn(load(shared.clone(), model))),
        Ok(None) => {}
        Err(missing) => {
            let message = format!("model '{missing}' is not loaded");
            return error::not_run(EngineErrorCode::ModelNotLoaded, message);
        }
    }
    HttpResponse::Ok().json(state.order_status())
}

/// Fetches a model's weights, then has it serve.
async fn load(shared: web::Data<Shared>, model: ModelStatus) {
    let fetched = match &shared.options.weight_store {
        Some(store) => fetch(store, &model).await,
        None => {
            actix_rt::time::sleep(shared.options.load_delay).await;
            Ok(())
        }
    };
    let mut state = shared.lock();
    let Some(loading) = state.models.get_mut(&model.id) else {
        return;
    };
    match fetched {
        Ok(()) => loading.ready |= loading.version == model.version,
        Err(reason) => {
            log::warn!(
                "engine {} can't load {}: {reason}",
                shared.options.id,
                model.id
            );
            if !loading.ready {
                state.models.remove(&model.id);
            }
        }
    }
}

async fn fetch(store: &str, model: &ModelStatus) -> Result<(), String> {
    let url = format!("http://{store}/weights/{}/{}", model.id, model.version);
    let client = awc::Client::builder().disable_timeout().finish();
    let request = client.get(url).timeout(STORE_TIMEOUT);
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("the weight store answered {}", response.status()));
    }
    while let Some(chunk) = response.next().await {
        chunk.map_err(|error| error.to_string())?;
    }
    Ok(())
}

impl EngineState {
    /// Obeys an order; the model to fetch, if any, or the model it lacks.
    fn obey(&mut self, order: FencedOrder) -> Result<Option<ModelStatus>, ModelName> {
        match order {
            FencedOrder::LoadModel { model, version } => return self.begin_load(model, version),
            FencedOrder::DropModel { model } => {
                self.models.remove(&model);
            }
            FencedOrder::LoadAdapter { model, adapter } => {
                let adapters = &mut self.model_named(model)?.adapters;
                if !adapters.contains(&adapter) {
                    adapters.push(adapter);
                }
            }
            FencedOrder::DropAdapter { model, adapter } => {
                let adapters = &mut self.model_named(model)?.adapters;
                adapters.retain(|loaded| *loaded != adapter);
            }
            FencedOrder::SetVersion { model, version } => {
                self.model_named(model.clone())?;
                return self.begin_load(model, Some(version));
            }
            FencedOrder::SetRole { role } => self.role = role,
            FencedOrder::SetLeaving { leaving } => self.leaving = leaving,
        }
        Ok(None)
    }

    fn model_named(&mut self, model: ModelName) -> Result<&mut ModelStatus, ModelName> {
        self.models.get_mut(&model).ok_or(model)
    }

    fn begin_load(
        &mut self,
        model: ModelName,
        version: Option<String>,
    ) -> Result<Option<ModelStatus>, ModelName> {
        if !model.as_str().chars().all(is_plain) {
            return Err(model);
        }
        let mut wanted = ready_model(&model);
        wanted.ready = false;
        if let Some(version) = version {
            wanted.version = version;
        }
        let present = self.models.get(&model);
        if present.is_some_and(|present| present.version == wanted.version) {
            return Ok(None);
        }
        self.models.insert(model, wanted.clone());
        Ok(Some(wanted))
    }

    fn order_status(&self) -> OrderStatus {
        OrderStatus {
            fence: self.fence,
            role: self.role,
            leaving: self.leaving,
            models: self.models.values().cloned().collect(),
        }
    }
}
