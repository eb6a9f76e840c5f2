//! How full engines are, over time and each.

use std::collections::BTreeMap;

use courseshed_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::super::{engine_host::EngineHost, scenario::Scenario};

/// Length of a span whose samples are taken together, in seconds.
const SPAN_SECONDS: u64 = 10;

/// The engines of one model in one span of time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OccupancySample {
    /// Second at which the span begins.
    pub second: u64,
    /// The model.
    pub model: String,
    /// Part of the batches in use.
    pub batch: f64,
}

/// One engine over the whole run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineOccupancy {
    /// The engine.
    pub engine: String,
    /// Its model.
    pub model: String,
    /// Part of the time spent in steps.
    pub busy: f64,
    /// Mean part of the batch in use.
    pub batch: f64,
    /// Mean part of the KV memory held by calls and leases.
    pub memory: f64,
    /// Part of prompt tokens found in the cache.
    pub hits: f64,
    /// Prompt tokens not found in the cache when their call first started.
    pub uncached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Preemptions inside the engine.
    pub preemptions: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    running: u64,
    slots: u64,
}

/// Samples by pool and span.
pub(super) struct OccupancyLog {
    pools: Vec<BTreeMap<u64, Sums>>,
}

impl OccupancyLog {
    pub(super) fn new(pools: usize) -> OccupancyLog {
        OccupancyLog {
            pools: vec![BTreeMap::new(); pools],
        }
    }

    pub(super) fn sample(&mut self, now: Timestamp, engines: &[EngineHost]) {
        let span = now.as_millis() / 1_000 / SPAN_SECONDS * SPAN_SECONDS;
        for engine in engines {
            let sums = self.pools[engine.pool].entry(span).or_default();
            sums.running += engine.model.load().running as u64;
            sums.slots += engine.model.config().max_batch as u64;
        }
    }

    pub(super) fn samples(&self, models: &[String]) -> Vec<OccupancySample> {
        let mut samples = Vec::new();
        for (pool, model) in self.pools.iter().zip(models) {
            for (second, sums) in pool {
                samples.push(OccupancySample {
                    second: *second,
                    model: model.clone(),
                    batch: sums.running as f64 / sums.slots.max(1) as f64,
                });
            }
        }
        samples
    }
}

/// Each engine over the whole run.
pub(super) fn engine_results(
    scenario: &Scenario,
    engines: &[EngineHost],
    now: Timestamp,
) -> Vec<EngineOccupancy> {
    let run_nanos = (now.0 as f64 * 1_000.0).max(1.0);
    let pairs = scenario.engines.iter().zip(engines);
    let result = |(spec, host): (&super::super::EngineSpec, &EngineHost)| {
        let counters = host.counters();
        let samples = host.samples.max(1) as f64;
        let prompts = (counters.hit_tokens + counters.miss_tokens).max(1);
        EngineOccupancy {
            engine: spec.engine.to_string(),
            model: spec.model.to_string(),
            busy: counters.busy_nanos as f64 / run_nanos,
            batch: host.batch_sum as f64 / samples / spec.config.max_batch as f64,
            memory: host.memory_sum / samples,
            hits: counters.hit_tokens as f64 / prompts as f64,
            uncached_tokens: counters.miss_tokens,
            output_tokens: counters.output_tokens,
            preemptions: counters.preemptions,
        }
    };
    pairs.map(result).collect()
}
