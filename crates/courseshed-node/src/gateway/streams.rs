//! The attempts whose streams this gateway runs, and the word to their shards that they are alive.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use actix::{Actor, AsyncContext, Context};
use courseshed_types::{RequestId, ShardId, shard::ShardRequestBody};
use parking_lot::Mutex;

use crate::{
    context::{NodeContext, SharedContext},
    shards::ShardPatience,
};

/// Time between two words to a shard.
const ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A word that takes longer than this is superseded by the next.
const ALIVE_PATIENCE: ShardPatience = ShardPatience {
    find_leader: Duration::from_millis(900),
    answer: Duration::from_millis(900),
};

/// Attempts by shard.
#[derive(Default)]
pub struct StreamRegistry(Mutex<BTreeMap<ShardId, BTreeSet<RequestId>>>);

impl StreamRegistry {
    /// Registers an attempt.
    pub fn insert(&self, request: RequestId) {
        let shard = request.call.program.shard;
        self.0.lock().entry(shard).or_default().insert(request);
    }

    /// Takes an attempt out.
    pub fn remove(&self, request: RequestId) {
        let shard = request.call.program.shard;
        let mut shards = self.0.lock();
        if let Some(requests) = shards.get_mut(&shard) {
            requests.remove(&request);
            if requests.is_empty() {
                shards.remove(&shard);
            }
        }
    }

    /// Attempts registered.
    pub fn len(&self) -> usize {
        self.0.lock().values().map(BTreeSet::len).sum()
    }

    fn by_shard(&self) -> Vec<(ShardId, Vec<RequestId>)> {
        let shards = self.0.lock();
        shards
            .iter()
            .map(|(shard, requests)| (*shard, requests.iter().copied().collect()))
            .collect()
    }
}

/// Counts calls under way, and answers that callers are still reading.
#[derive(Default)]
pub struct ActiveCalls {
    calls: AtomicUsize,
    bodies: AtomicUsize,
}

/// One call under way; counted until it is dropped.
pub struct ActiveCall(Arc<NodeContext>);

impl ActiveCalls {
    /// Calls under way.
    pub fn count(&self) -> usize {
        self.calls.load(Ordering::Acquire)
    }

    /// Streams that callers are still reading.
    pub fn open_bodies(&self) -> usize {
        self.bodies.load(Ordering::Acquire)
    }
}

/// One stream that a caller is reading; counted until it is dropped.
pub struct OpenBody(Arc<NodeContext>);

impl OpenBody {
    /// Counts a stream.
    pub fn enter(context: &SharedContext) -> OpenBody {
        let bodies = &context.gateway.calls.bodies;
        bodies.fetch_add(1, Ordering::AcqRel);
        OpenBody(context.clone())
    }
}

impl Drop for OpenBody {
    fn drop(&mut self) {
        let bodies = &self.0.gateway.calls.bodies;
        bodies.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ActiveCall {
    /// Counts a call, unless `limit` are under way already.
    pub fn enter(context: &SharedContext, limit: usize) -> Option<ActiveCall> {
        let count = &context.gateway.calls.calls;
        if count.fetch_add(1, Ordering::AcqRel) >= limit {
            count.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        Some(ActiveCall(context.clone()))
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        let count = &self.0.gateway.calls.calls;
        count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The actor that tells shards which attempts still stream, so that they need not ask engines.
pub struct StreamReporter(pub SharedContext);

impl StreamReporter {
    fn report(&self) {
        for (shard, requests) in self.0.gateway.streams.by_shard() {
            let context = self.0.clone();
            actix_rt::spawn(async move {
                let body = ShardRequestBody::StreamsAlive(requests);
                let asked = context
                    .shard_client
                    .ask(&context, shard, body, ALIVE_PATIENCE);
                if let Err(error) = asked.await {
                    log::debug!(shard = shard.0; "streams not reported: {error}");
                }
            });
        }
    }
}

impl Actor for StreamReporter {
    type Context = Context<StreamReporter>;

    fn started(&mut self, context: &mut Context<StreamReporter>) {
        context.run_interval(ALIVE_INTERVAL, |reporter, _| reporter.report());
    }
}
