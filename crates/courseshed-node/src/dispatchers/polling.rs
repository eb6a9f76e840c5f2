//! Polls the engines of this node's pools for load, cache events and leases.
//!
//! Only engines that serve one of the pools decided here are asked, and the rate of all polls together is bounded, so
//! that the cost of a node does not grow with its region.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use courseshed_engine::{EngineClient, EngineConnector, EngineError};
use courseshed_types::{
    EngineId, ModelName,
    dispatch::{EngineLoad, EngineMember, LeaseEntry},
};
use parking_lot::Mutex;

use crate::context::NodeContext;

/// Shortest time between two polls of an engine.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two polls of an engine, however many there are.
const LONGEST_INTERVAL: Duration = Duration::from_secs(2);
/// Polls a node makes in a second, unless the longest interval asks for more.
const POLLS_PER_SECOND: u32 = 40;
/// Time between two listings of an engine's leases.
const LISTING_INTERVAL: Duration = Duration::from_secs(10);
/// Polls that fail in a row before an engine counts as unreachable.
const FAILURES_TO_REPORT: u32 = 3;

/// What is known of one engine between polls.
#[derive(Debug, Default)]
struct Watch {
    is_polled: bool,
    next_poll: Duration,
    next_listing: Duration,
    failures: u32,
    start: u64,
    last_event: u64,
}

type Watches = Rc<Mutex<BTreeMap<EngineId, Watch>>>;

/// Polls engines.
pub(super) struct EnginePoller {
    context: Arc<NodeContext>,
    connector: EngineConnector,
    watches: Watches,
}

impl EnginePoller {
    /// A poller that knows no engine yet.
    pub(super) fn new(context: Arc<NodeContext>, connector: EngineConnector) -> EnginePoller {
        EnginePoller {
            context,
            connector,
            watches: Watches::default(),
        }
    }

    /// Starts the polls that are due.
    pub(super) fn poll_due(&self) {
        let map = self.context.view.map();
        let engines = self.engines_of_pools(&map.engines.engines);
        let interval = poll_interval(engines.len());
        let known = |id: &EngineId| engines.iter().any(|engine| &engine.engine == id);
        self.watches.lock().retain(|id, _| known(id));
        for engine in engines {
            self.poll_if_due(engine, interval);
        }
    }

    fn engines_of_pools<'a>(&self, engines: &'a [EngineMember]) -> Vec<&'a EngineMember> {
        let slots = self.context.dispatchers.all();
        let models: BTreeSet<&ModelName> = slots.iter().map(|slot| &slot.pool().model).collect();
        let region = &self.context.settings.region;
        let serves = |engine: &&EngineMember| {
            &engine.region == region && engine.models.iter().any(|model| models.contains(model))
        };
        engines.iter().filter(serves).collect()
    }

    fn poll_if_due(&self, engine: &EngineMember, interval: Duration) {
        let now = self.context.clock.elapsed();
        let mut watches = self.watches.lock();
        let watch = watches.entry(engine.engine.clone()).or_default();
        if watch.is_polled || now < watch.next_poll {
            return;
        }
        watch.is_polled = true;
        watch.next_poll = now + interval;
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

/// Time between two polls of each of so many engines.
fn poll_interval(engines: usize) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1).saturating_mul(engines) / POLLS_PER_SECOND;
    interval.clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL)
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
        let now = self.context.clock.elapsed();
        let lists = now >= watch.next_listing;
        if lists {
            watch.next_listing = now + LISTING_INTERVAL;
        }
        lists
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn many_engines_are_polled_less_often_but_never_rarely() {
        assert_eq!(poll_interval(1), SHORTEST_INTERVAL);
        assert_eq!(poll_interval(20), Duration::from_millis(500));
        assert_eq!(poll_interval(10_000), LONGEST_INTERVAL);
    }
}
