//! The phases of a bench against one fleet.

use std::{future::Future, time::Duration};

use actix_rt::time::{Instant, sleep};

use super::{
    BenchError, BenchOptions, Target,
    report::{BenchReport, MemoryFigure, Phase, PhaseKind},
    streams::{Requests, Way},
};

/// How long a fleet is watched without load.
const IDLE: Duration = Duration::from_secs(3);
/// Rest between phases, so that one does not pay for another.
const REST: Duration = Duration::from_millis(500);
/// Tokens of history of the programs that are kept to tell their memory.
const KEPT_HISTORY: u32 = 2_000;
/// Programs that are kept to tell their memory.
const KEPT_PROGRAMS: usize = 1_000;
/// How long after their start the memory of open streams is read.
const STREAMS_OPEN: Duration = Duration::from_millis(1_500);

pub(super) async fn run_all(
    options: &BenchOptions,
    target: &Target,
    replicas: u32,
    on_phase: &impl Fn(&str),
    report: &mut BenchReport,
) -> Result<(), BenchError> {
    let requests = Requests::new(target);
    let mut bench = Bench {
        target,
        replicas,
        idle: IdleLoad::default(),
        on_phase,
        report,
    };
    requests.calls(Way::Gateway, 50).await?;
    bench.measure_idle().await?;
    for streams in &options.streams {
        for way in [Way::Straight, Way::Gateway] {
            let run = requests.streams(way, *streams, options.tokens);
            bench
                .measure(PhaseKind::streams(way), *streams, run)
                .await?;
        }
    }
    for way in [Way::Straight, Way::Gateway] {
        let run = requests.calls(way, options.calls);
        bench
            .measure(PhaseKind::calls(way), options.calls, run)
            .await?;
    }
    bench.measure_commits(&requests, options.commits).await?;
    bench.measure_memory(&requests, options).await
}

/// What a fleet takes without load, in cores.
#[derive(Debug, Clone, Copy, Default)]
struct IdleLoad {
    node: f64,
    engine: f64,
}

struct Bench<'a, F> {
    target: &'a Target,
    replicas: u32,
    idle: IdleLoad,
    on_phase: &'a F,
    report: &'a mut BenchReport,
}

/// Processor time of each part, seconds.
#[derive(Debug, Clone, Copy)]
struct Spent {
    node: f64,
    engine: f64,
    caller: f64,
}

impl Target {
    fn spent(&self) -> Result<Spent, BenchError> {
        Ok(Spent {
            node: self.node.processor_time()?.as_secs_f64(),
            engine: self.engine.processor_time()?.as_secs_f64(),
            caller: self.caller.processor_time()?.as_secs_f64(),
        })
    }
}

impl<F: Fn(&str)> Bench<'_, F> {
    async fn measure_idle(&mut self) -> Result<(), BenchError> {
        (self.on_phase)("a fleet without load");
        sleep(REST).await;
        let before = self.target.spent()?;
        sleep(IDLE).await;
        let after = self.target.spent()?;
        self.idle = IdleLoad {
            node: (after.node - before.node) / IDLE.as_secs_f64(),
            engine: (after.engine - before.engine) / IDLE.as_secs_f64(),
        };
        let idle = self.idle.node / f64::from(self.replicas);
        self.report.idle_cores.insert(self.replicas, idle);
        Ok(())
    }

    /// Runs one phase and notes what it cost beyond the idle load.
    async fn measure(
        &mut self,
        kind: PhaseKind,
        calls: usize,
        run: impl Future<Output = Result<u64, BenchError>>,
    ) -> Result<(), BenchError> {
        (self.on_phase)(&format!("{kind}, {calls}, {} replicas", self.replicas));
        sleep(REST).await;
        let started = Instant::now();
        let before = self.target.spent()?;
        let tokens = run.await?;
        let after = self.target.spent()?;
        let seconds = started.elapsed().as_secs_f64();
        let beyond_idle = |spent: f64, idle: f64| (spent - idle * seconds).max(0.0) * 1e6;
        self.report.phases.push(Phase {
            kind,
            replicas: self.replicas,
            calls: calls as u64,
            tokens,
            seconds,
            node_us: beyond_idle(after.node - before.node, self.idle.node),
            engine_us: beyond_idle(after.engine - before.engine, self.idle.engine),
            caller_us: beyond_idle(after.caller - before.caller, 0.0),
        });
        Ok(())
    }

    async fn measure_commits(
        &mut self,
        requests: &Requests<'_>,
        programs: usize,
    ) -> Result<(), BenchError> {
        let mut created = Vec::new();
        let create = async {
            created = requests.create(programs).await?;
            Ok(0)
        };
        self.measure(PhaseKind::Create, programs, create).await?;
        let read = async {
            requests.read(&created).await?;
            Ok(0)
        };
        self.measure(PhaseKind::Read, programs, read).await?;
        requests.end(&created).await
    }

    async fn measure_memory(
        &mut self,
        requests: &Requests<'_>,
        options: &BenchOptions,
    ) -> Result<(), BenchError> {
        if self.target.node.resident_bytes()?.is_none() {
            return Ok(());
        }
        let streams = options.streams.iter().copied().max().unwrap_or_default();
        (self.on_phase)("memory of open streams");
        let before = self.resident()?;
        let reading = async {
            sleep(STREAMS_OPEN).await;
            self.resident()
        };
        let run = requests.streams(Way::Gateway, streams, options.tokens);
        let (run, during) = futures_util::future::join(run, reading).await;
        run?;
        self.note_memory("open stream", streams, before, during?);
        (self.on_phase)("memory of kept programs");
        let before = self.resident()?;
        let kept = requests.create(KEPT_PROGRAMS).await?;
        requests.fill(&kept, KEPT_HISTORY).await?;
        let after = self.resident()?;
        self.note_memory(
            "program kept, 2,000 tokens of history",
            kept.len(),
            before,
            after,
        );
        requests.end(&kept).await
    }

    fn resident(&self) -> Result<u64, BenchError> {
        Ok(self.target.node.resident_bytes()?.unwrap_or_default())
    }

    fn note_memory(&mut self, what: &'static str, count: usize, before: u64, after: u64) {
        self.report.memory.push(MemoryFigure {
            what,
            replicas: self.replicas,
            count: count as u64,
            bytes_each: after.saturating_sub(before) / count.max(1) as u64,
        });
    }
}
