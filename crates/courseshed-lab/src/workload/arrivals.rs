//! When programs arrive: an open loop of Poisson streams, one for each kind on each branch.
//!
//! Streams are independent, so a surge of one branch leaves the arrivals of the others as they were.

use std::time::Duration;

use courseshed_types::BranchPath;
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::{
    distribution::Distribution,
    kind::Workload,
    script::{ProgramScript, ScriptSource, stream_random},
};

/// The place in a stream whose random numbers give the times of arrival.
const TIMES: u32 = u32::MAX;

/// A branch that sends more than usual for a while.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// The branch; those below it surge too.
    pub branch: BranchPath,
    /// Arrivals are so many times as frequent.
    pub factor: f64,
    /// Second at which it begins.
    pub from_second: f64,
    /// Second at which it ends.
    pub until_second: f64,
}

/// A program and when it arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// What it does.
    pub script: ProgramScript,
}

/// When programs arrive.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivalPlan {
    /// Programs per second over the whole workload, sub-agents not counted.
    pub programs_per_second: f64,
    /// No arrivals after this.
    pub duration: Duration,
    /// Branches that send more for a while.
    pub surges: Vec<Surge>,
}

/// The arrivals of one kind on one branch.
struct Stream<'w> {
    number: u32,
    kind: usize,
    branch: &'w BranchPath,
    batch: &'w Distribution,
    batches_per_second: f64,
}

impl ArrivalPlan {
    /// All arrivals for a seed, in order of time.
    pub fn draw(&self, workload: &Workload, seed: u64) -> Vec<Arrival> {
        let source = ScriptSource::new(workload, seed);
        let mut arrivals = Vec::new();
        for stream in self.streams(workload) {
            self.draw_stream(&source, &stream, seed, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    fn streams<'w>(&self, workload: &'w Workload) -> Vec<Stream<'w>> {
        let total = workload.total_weight();
        let mut streams = Vec::new();
        for (index, kind) in workload.kinds.iter().enumerate() {
            let together = kind.batch.mean_count();
            for (branch, weight) in &kind.arrivals {
                streams.push(Stream {
                    number: streams.len() as u32,
                    kind: index,
                    branch,
                    batch: &kind.batch,
                    batches_per_second: self.programs_per_second * weight / total / together,
                });
            }
        }
        streams
    }

    fn draw_stream(
        &self,
        source: &ScriptSource<'_>,
        stream: &Stream<'_>,
        seed: u64,
        arrivals: &mut Vec<Arrival>,
    ) {
        if stream.batches_per_second <= 0.0 {
            return;
        }
        let mut random = stream_random(seed, stream.number, TIMES);
        let end = self.duration.as_secs_f64();
        let mut second = 0.0;
        let mut number = 0;
        loop {
            second = self.next_arrival(stream, second, random.random::<f64>());
            if second >= end {
                return;
            }
            let at = Duration::from_secs_f64(second);
            let together = stream.batch.draw_count(&mut random);
            for _ in 0..together {
                let script = source.draw(stream.number, number, stream.kind, stream.branch);
                arrivals.push(Arrival { at, script });
                number += 1;
            }
        }
    }

    /// The time at which the integral of the rate has grown by an exponential draw.
    fn next_arrival(&self, stream: &Stream<'_>, from: f64, uniform: f64) -> f64 {
        let branch = stream.branch;
        let mut left = -(1.0 - uniform).ln();
        let mut at = from;
        loop {
            let current = stream.batches_per_second * self.factor_at(branch, at);
            let next_change = self.next_change(branch, at);
            let gained = current * (next_change - at);
            if gained >= left {
                return at + left / current;
            }
            if next_change == f64::INFINITY {
                return f64::INFINITY;
            }
            left -= gained;
            at = next_change;
        }
    }

    fn factor_at(&self, branch: &BranchPath, second: f64) -> f64 {
        let active = self
            .surges_of(branch)
            .filter(|surge| surge.from_second <= second && second < surge.until_second);
        active.map(|surge| surge.factor).product()
    }

    fn next_change(&self, branch: &BranchPath, second: f64) -> f64 {
        self.surges_of(branch)
            .flat_map(|surge| [surge.from_second, surge.until_second])
            .filter(|change| *change > second)
            .fold(f64::INFINITY, f64::min)
    }

    fn surges_of<'p>(&'p self, branch: &'p BranchPath) -> impl Iterator<Item = &'p Surge> {
        self.surges
            .iter()
            .filter(|surge| branch.is_within(&surge.branch))
    }
}
