//! The actor that talks to engines besides calls: polls load and cache events for this node's dispatchers, and
//! executes orders and questions.

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, AsyncContext, Context};
use courseshed_engine::{EngineClient, EngineConnector, EngineError, EngineTimeouts};
use courseshed_types::{
    EngineId,
    dispatch::{EngineLoad, EngineMember, EngineOrder, EngineOrderBody, LeaseEntry},
};
use parking_lot::Mutex;
use tokio::sync::{Semaphore, mpsc};

use crate::{
    context::NodeContext,
    dispatchers::{exports::ExportStore, orders::EngineTask},
    shards::{EngineQuestion, find_attempt, give_finding},
};

/// Time between two polls of an engine.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Polls between two listings of an engine's leases.
const POLLS_PER_LISTING: u64 = 40;
/// Polls that fail in a row before an engine counts as unreachable.
const FAILURES_TO_REPORT: u32 = 3;
/// Orders and questions under way at once.
const TASKS_AT_ONCE: usize = 64;

/// What is known of one engine between polls.
#[derive(Debug, Default)]
struct Watch {
    is_polled: bool,
    polls: u64,
    failures: u32,
    start: u64,
    last_event: u64,
}

type Watches = Rc<Mutex<BTreeMap<EngineId, Watch>>>;

/// Talks to engines.
pub struct EngineWorker {
    context: Arc<NodeContext>,
    connector: EngineConnector,
    watches: Watches,
}

impl EngineWorker {
    /// A worker for the node; must be started on the arbiter it stays on.
    pub fn new(context: Arc<NodeContext>) -> EngineWorker {
        let timeouts = engine_timeouts(&context);
        EngineWorker {
            context,
            connector: EngineConnector::new(timeouts),
            watches: Watches::default(),
        }
    }

    fn poll_all(&self) {
        if self.context.dispatchers.all().is_empty() {
            return;
        }
        let map = self.context.view.map();
        let region = &self.context.settings.region;
        let engines = &map.engines.engines;
        self.watches
            .lock()
            .retain(|id, _| engines.iter().any(|engine| &engine.engine == id));
        for engine in engines.iter().filter(|engine| &engine.region == region) {
            self.poll(engine);
        }
    }

    fn poll(&self, engine: &EngineMember) {
        let mut watches = self.watches.lock();
        let watch = watches.entry(engine.engine.clone()).or_default();
        if watch.is_polled {
            return;
        }
        watch.is_polled = true;
        drop(watches);
        let poll = Poll {
            context: self.context.clone(),
            client: self.connector.engine(&engine.address),
            engine: engine.engine.clone(),
            watches: self.watches.clone(),
        };
        actix_rt::spawn(poll.run());
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
        context.run_interval(POLL_INTERVAL, |worker, _| worker.poll_all());
        if let Some(tasks) = self.context.engines.take_receiver() {
            let executor = run_tasks(self.context.clone(), self.connector.clone(), tasks);
            actix_rt::spawn(executor);
        }
    }
}

/// One poll of one engine.
struct Poll {
    context: Arc<NodeContext>,
    client: EngineClient,
    engine: EngineId,
    watches: Watches,
}

impl Poll {
    async fn run(self) {
        let result = self.ask().await;
        let mut watches = self.watches.lock();
        let Some(watch) = watches.get_mut(&self.engine) else {
            return;
        };
        watch.is_polled = false;
        watch.polls += 1;
        match result {
            Ok(()) => watch.failures = 0,
            Err(error) => {
                watch.failures += 1;
                if watch.failures == FAILURES_TO_REPORT {
                    log::warn!(engine = self.engine.as_str(); "engine unreachable: {error}");
                }
                if watch.failures >= FAILURES_TO_REPORT {
                    self.report_unreachable();
                }
            }
        }
    }

    async fn ask(&self) -> Result<(), EngineError> {
        let load = self.client.load().await?;
        let lists = self.note_start(&load);
        self.report_load(load);
        self.ask_events().await?;
        if lists {
            self.ask_leases().await?;
        }
        Ok(())
    }

    /// Whether the leases are to be listed this time.
    fn note_start(&self, load: &EngineLoad) -> bool {
        let mut watches = self.watches.lock();
        let Some(watch) = watches.get_mut(&self.engine) else {
            return false;
        };
        if watch.start != load.start {
            watch.start = load.start;
            watch.last_event = 0;
        }
        watch.polls % POLLS_PER_LISTING == POLLS_PER_LISTING - 1
    }

    async fn ask_events(&self) -> Result<(), EngineError> {
        let after = self
            .watches
            .lock()
            .get(&self.engine)
            .map(|watch| watch.last_event);
        let batch = self.client.cache_events(after.unwrap_or_default()).await?;
        if let Some(watch) = self.watches.lock().get_mut(&self.engine) {
            watch.last_event = batch.last;
        }
        if batch.events.is_empty() {
            return Ok(());
        }
        for slot in self.context.dispatchers.all() {
            slot.step(&self.context, |dispatcher, now| {
                for event in &batch.events {
                    dispatcher.on_cache_event(now, &self.engine, event.clone());
                }
            });
        }
        Ok(())
    }

    async fn ask_leases(&self) -> Result<(), EngineError> {
        let listing = self.client.leases().await?;
        let entries: Vec<LeaseEntry> = listing
            .leases
            .iter()
            .map(|lease| LeaseEntry {
                program: lease.program,
                tokens: lease.held_tokens,
                leased_for: Some(Duration::from_millis(lease.ttl_ms)),
            })
            .collect();
        for slot in self.context.dispatchers.all() {
            slot.step(&self.context, |dispatcher, now| {
                dispatcher.on_cache_listing(now, &self.engine, &entries);
            });
        }
        Ok(())
    }

    fn report_load(&self, load: EngineLoad) {
        for slot in self.context.dispatchers.all() {
            slot.step(&self.context, |dispatcher, now| {
                dispatcher.on_engine_load(now, &self.engine, load.clone());
            });
        }
    }

    fn report_unreachable(&self) {
        for slot in self.context.dispatchers.all() {
            slot.step(&self.context, |dispatcher, now| {
                dispatcher.on_engine_unreachable(now, &self.engine);
            });
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
