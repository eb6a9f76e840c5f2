//! The actor that talks to engines besides calls: polls load and cache events for this node's dispatchers, and
//! executes orders and questions.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, AsyncContext, Context};
use courseshed_engine::{EngineClient, EngineConnector, EngineError, EngineTimeouts};
use courseshed_types::dispatch::{EngineOrder, EngineOrderBody};
use tokio::sync::{Semaphore, mpsc};

use crate::{
    context::NodeContext,
    dispatchers::{exports::ExportStore, orders::EngineTask, polling::EnginePoller},
    shards::{EngineQuestion, find_attempt, give_finding},
};

/// Time between two looks at which engines are to be polled.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the answer of a poll: an engine that hangs is to be noticed within a few of them.
const POLL_PATIENCE: Duration = Duration::from_secs(1);
/// Orders and questions under way at once.
const TASKS_AT_ONCE: usize = 64;

/// Talks to engines.
pub struct EngineWorker {
    context: Arc<NodeContext>,
    connector: EngineConnector,
    poller: EnginePoller,
}

impl EngineWorker {
    /// A worker for the node; must be started on the arbiter it stays on.
    pub fn new(context: Arc<NodeContext>) -> EngineWorker {
        let timeouts = engine_timeouts(&context);
        let connector = EngineConnector::new(timeouts);
        let polls = EngineConnector::new(EngineTimeouts {
            answer: POLL_PATIENCE,
            ..timeouts
        });
        EngineWorker {
            poller: EnginePoller::new(context.clone(), polls),
            context,
            connector,
        }
    }
}

/// How long this node waits for engines.
pub fn engine_timeouts(context: &NodeContext) -> EngineTimeouts {
    let timeouts = &context.settings.timeouts;
    EngineTimeouts {
        connect: timeouts.engine_connect,
        first_token: timeouts.engine_first_byte,
        idle: timeouts.engine_stall,
        ..EngineTimeouts::default()
    }
}

impl Actor for EngineWorker {
    type Context = Context<EngineWorker>;

    fn started(&mut self, context: &mut Context<EngineWorker>) {
        context.run_interval(LOOK_INTERVAL, |worker, _| worker.poller.poll_due());
        if let Some(tasks) = self.context.engines.take_receiver() {
            let executor = run_tasks(self.context.clone(), self.connector.clone(), tasks);
            actix_rt::spawn(executor);
        }
    }
}

async fn run_tasks(
    context: Arc<NodeContext>,
    connector: EngineConnector,
    mut tasks: mpsc::Receiver<EngineTask>,
) {
    let slots = Arc::new(Semaphore::new(TASKS_AT_ONCE));
    let exports = Rc::new(ExportStore::default());
    while let Some(task) = tasks.recv().await {
        let Ok(permit) = slots.clone().acquire_owned().await else {
            return;
        };
        let context = context.clone();
        let connector = connector.clone();
        let exports = exports.clone();
        actix_rt::spawn(async move {
            run_task(&context, &connector, &exports, task).await;
            drop(permit);
        });
    }
}

async fn run_task(
    context: &Arc<NodeContext>,
    connector: &EngineConnector,
    exports: &ExportStore,
    task: EngineTask,
) {
    match task {
        EngineTask::Question(EngineQuestion { shard, query }) => {
            let client = connector.engine(&query.engine_address);
            let finding = find_attempt(&client, &query).await;
            give_finding(context, shard, query.request, finding);
        }
        EngineTask::Order(order) => {
            let Some(address) = context.engine_address(&order.engine) else {
                return;
            };
            let client = connector.engine(&address);
            if let Err(error) = execute(&client, exports, &order).await {
                log::debug!(engine = order.engine.as_str(); "order failed: {error}");
            }
        }
    }
}

async fn execute(
    client: &EngineClient,
    exports: &ExportStore,
    order: &EngineOrder,
) -> Result<(), EngineError> {
    use courseshed_engine::protocol::FencedOrder;
    match &order.body {
        EngineOrderBody::RenewLease {
            program,
            time_to_live,
        } => client.put_lease(*program, *time_to_live).await.map(drop),
        EngineOrderBody::ReleaseLease { program } => client.delete_lease(*program).await,
        EngineOrderBody::Export { program } => {
            let prefix = client.export(*program, false).await?;
            exports.put(prefix);
            Ok(())
        }
        EngineOrderBody::Import { program } => match exports.get(program) {
            Some(prefix) => client.import(&prefix).await.map(drop),
            None => Ok(()),
        },
        EngineOrderBody::LoadModel { model, fence } => {
            let model = model.clone();
            let order = FencedOrder::LoadModel {
                model,
                version: None,
            };
            client.order(*fence, order).await.map(drop)
        }
        EngineOrderBody::DropModel { model, fence } => {
            let model = model.clone();
            let order = FencedOrder::DropModel { model };
            client.order(*fence, order).await.map(drop)
        }
    }
}
