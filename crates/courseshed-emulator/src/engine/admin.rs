//! The admin calls, the load report, and the gate that late and hanging answers pass.

use crate::engine::driver;
use crate::engine::faults::FaultOrder;
use crate::engine::ran::RanReport;
use crate::engine::record::RequestRecord;
use crate::engine::state::{EngineState, Shared};
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{HttpResponse, web};
use std::time::Duration;

/// Paths that answer whatever the engine suffers from.
const ADMIN_PREFIX: &str = "/admin/";

/// `GET /v1/load`.
pub(crate) async fn load(shared: web::Data<Shared>) -> HttpResponse {
    let now = shared.now();
    let load = shared.lock().lagging_load(now, shared.options.load_lag);
    HttpResponse::Ok().json(load)
}

/// `GET /admin/ran`.
pub(crate) async fn ran(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(report_ran(&shared))
}

/// What truly ran until now.
pub(crate) fn report_ran(shared: &Shared) -> RanReport {
    let now = shared.now();
    let mut state = shared.lock();
    if state.faults.hang_left(now).is_none() {
        state.move_on(now);
    }
    let mut report = state.ran.report();
    for (branch, tokens) in state.model_waste() {
        report
            .branches
            .entry(branch)
            .or_default()
            .wasted_cache_tokens += tokens;
    }
    report
}

/// `POST /admin/faults`.
pub(crate) async fn faults(
    shared: web::Data<Shared>,
    order: web::Json<FaultOrder>,
) -> HttpResponse {
    apply_faults(&shared, &order);
    HttpResponse::NoContent().finish()
}

/// Puts faults in force.
pub(crate) fn apply_faults(shared: &Shared, order: &FaultOrder) {
    let now = shared.now();
    let mut state = shared.lock();
    state.put_faults(order, now);
    if order.cut_streams {
        state.requests.values().for_each(|record| cut(record));
    }
    if order.crash_after_tokens == Some(0) {
        state.move_on(now);
        driver::crash(shared, &mut state);
    }
    drop(state);
    shared.changed.notify_one();
}

fn cut(record: &RequestRecord) {
    record.change(|progress| progress.cuts += 1);
}

impl EngineState {
    fn put_faults(&mut self, order: &FaultOrder, now: Duration) {
        if let Some(factor) = order.slow_factor {
            self.model.set_slow_factor(factor);
        }
        if let Some(hang) = order.hang_ms {
            self.faults.hang_until = Some(now + Duration::from_millis(hang));
        }
        if let Some(late) = order.answer_late_ms {
            self.faults.answer_late = Duration::from_millis(late);
        }
        if let Some(tokens) = order.crash_after_tokens {
            self.faults.crash_after = Some(tokens);
        }
        if let Some(down) = order.down_ms {
            self.faults.down = Duration::from_millis(down);
        }
        if let Some(events) = &order.events {
            self.cache_log.set_faults(events.clone());
        }
        if let Some(leaving) = order.leaving {
            self.leaving = leaving;
        }
    }
}

/// Holds requests back while the engine hangs, and answers while it answers late.
pub(crate) async fn gate(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    if request.path().starts_with(ADMIN_PREFIX) {
        return next.call(request).await;
    }
    let shared = request.app_data::<web::Data<Shared>>().cloned();
    if let Some(shared) = &shared {
        wait_while_hanging(shared).await;
    }
    let response = next.call(request).await;
    if let Some(shared) = &shared {
        let late = shared.lock().faults.answer_late;
        actix_rt::time::sleep(late).await;
    }
    response
}

async fn wait_while_hanging(shared: &Shared) {
    loop {
        let left = shared.lock().faults.hang_left(shared.now());
        match left {
            Some(left) => actix_rt::time::sleep(left).await,
            None => return,
        }
    }
}
