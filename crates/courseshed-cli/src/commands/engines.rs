//! `courseshed engines`.

use courseshed_types::EngineId;
use courseshed_types::admin::{DrainOrder, EngineSummary, ModelOrder, ModelOrderResult};

use crate::arguments::{EnginesAction, OrderVerb};
use crate::client::{AdminClient, Request};
use crate::error::{CliError, Exit};
use crate::output::{Printer, Readable, fields, joined, or_dash, percent, table, variant_name};
use crate::retry::Repeat;

/// Carries out `courseshed engines`.
pub(crate) async fn run(
    action: EnginesAction,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<Exit, CliError> {
    match action {
        EnginesAction::List(_) => {
            let engines: Vec<EngineSummary> =
                client.send(Request::get("/v1/admin/engines")).await?;
            printer.print(&engines)?;
            Ok(Exit::Done)
        }
        EnginesAction::Drain(drain) => {
            let path = format!("/v1/admin/engines/{}/drain", drain.engine);
            let order = DrainOrder {
                leaving: !drain.undo,
            };
            let request = Request::post(path, &order, Repeat::Harmless);
            let engine: EngineSummary = client.send(request).await?;
            printer.print(&vec![engine])?;
            Ok(Exit::Done)
        }
        EnginesAction::Order(order) => {
            let model = order.model;
            let body = match order.order {
                OrderVerb::Load => ModelOrder::LoadModel { model },
                OrderVerb::Drop => ModelOrder::DropModel { model },
            };
            send_order(&order.engine, &body, client, printer).await
        }
        EnginesAction::Role(order) => {
            let body = ModelOrder::SetRole { role: order.role };
            send_order(&order.engine, &body, client, printer).await
        }
    }
}

async fn send_order(
    engine: &EngineId,
    order: &ModelOrder,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<Exit, CliError> {
    let path = format!("/v1/admin/engines/{engine}/orders");
    let hint = "; `courseshed engines list` shows the models it serves".to_owned();
    let request = Request::post(path, order, Repeat::Harmful).with_hint(hint);
    let result: ModelOrderResult = client.send(request).await?;
    printer.print(&result)?;
    Ok(if result.accepted {
        Exit::Done
    } else {
        Exit::Failed
    })
}

impl Readable for Vec<EngineSummary> {
    fn readable(&self) -> String {
        let header = [
            "engine", "region", "zone", "state", "running", "memory", "models", "address",
        ];
        let rows = self.iter().map(|engine| {
            [
                engine.engine.to_string(),
                engine.region.to_string(),
                engine.zone.to_string(),
                variant_name(&engine.state),
                or_dash(engine.running),
                or_dash(engine.memory_used.map(percent)),
                joined(&engine.models),
                engine.address.clone(),
            ]
        });
        table(header, rows)
    }
}

impl Readable for ModelOrderResult {
    fn readable(&self) -> String {
        fields([
            ("engine", self.engine.to_string()),
            ("accepted", self.accepted.to_string()),
            ("fence", self.fence.to_string()),
            ("message", self.message.clone()),
        ])
    }
}
