//! Starts programs in an open loop and gathers what their callers wrote down.
//!
//! A program starts when its time has come, whether earlier ones are done or not, so that a slow system is not
//! spared.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use actix_rt::{
    task::JoinHandle,
    time::{Instant, sleep_until},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    checks::Evidence,
    draw::draw_programs,
    engines::EngineObserver,
    gateways::Gateways,
    nodes::NodeObserver,
    options::LoadOptions,
    plan::ProgramPlan,
    program::run_program,
    record::ProgramRecord,
    retry::{Patience, RetryBudget},
    time::now,
};

/// Stream of the random numbers that jitter is drawn from.
const JITTER_STREAM: u64 = u64::MAX - 1;

/// What all callers of a run share.
pub struct CallerContext {
    /// The gateways.
    pub gateways: Gateways,
    /// How long they wait.
    pub patience: Patience,
    /// What bounds further tries.
    pub budget: RefCell<RetryBudget>,
    /// Jitter.
    pub random: RefCell<ChaCha8Rng>,
}

/// How far a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Programs of the run.
    pub programs: usize,
    /// Programs started.
    pub started: usize,
    /// Programs over.
    pub over: usize,
}

/// Runs callers against a deployment and returns what they, the engines and the nodes showed.
pub async fn drive(options: &LoadOptions, on_progress: impl Fn(Progress) + 'static) -> Evidence {
    drive_under(options, on_progress, std::future::ready(())).await
}

/// The same while faults are caused. Engines and nodes are observed until both the programs and the
/// faults are over, so that no fault goes unjudged however soon the programs end.
pub async fn drive_under(
    options: &LoadOptions,
    on_progress: impl Fn(Progress) + 'static,
    faults: impl Future<Output = ()>,
) -> Evidence {
    let started_at = now();
    let engines = EngineObserver::start(&options.engines);
    let nodes = NodeObserver::start(&options.urls, options.operator_key.clone());
    let context = Rc::new(new_context(options));
    let programs = run_all(options, &context, on_progress);
    let (programs, ()) = futures_util::future::join(programs, faults).await;
    engines.settle(&programs, options.limits.memory_grace).await;
    let (engines, leases) = engines.finish().await;
    Evidence {
        started_at,
        ended_at: now(),
        programs,
        engines,
        leases,
        nodes: nodes.finish(),
        limits: options.limits.clone(),
    }
}

fn new_context(options: &LoadOptions) -> CallerContext {
    let mut random = ChaCha8Rng::seed_from_u64(options.draw.seed);
    random.set_stream(JITTER_STREAM);
    CallerContext {
        gateways: Gateways::new(options.urls.clone(), options.keys.clone()),
        patience: options.patience,
        budget: RefCell::default(),
        random: RefCell::new(random),
    }
}

async fn run_all(
    options: &LoadOptions,
    context: &Rc<CallerContext>,
    on_progress: impl Fn(Progress) + 'static,
) -> Vec<ProgramRecord> {
    let planned = draw_programs(&options.draw);
    let report = Rc::new(ProgressReport {
        programs: planned.len(),
        started: Cell::default(),
        over: Cell::default(),
        on_progress: Box::new(on_progress),
    });
    let run = run_name(options);
    let origin = Instant::now();
    let mut running = Vec::new();
    for (number, program) in planned.into_iter().enumerate() {
        sleep_until(origin + program.at).await;
        let name = format!("{run}-{number}");
        running.push(spawn(context.clone(), report.clone(), program.plan, name));
    }
    let mut records = Vec::new();
    for program in running {
        match program.await {
            Ok(mut of_program) => records.append(&mut of_program),
            Err(error) => log::error!("a caller's task failed: {error}"),
        }
    }
    records
}

/// Names the programs of one run apart from those of other runs against the same deployment.
fn run_name(options: &LoadOptions) -> String {
    format!("run-{:x}-{:x}", options.draw.seed, now().as_millis())
}

fn spawn(
    context: Rc<CallerContext>,
    report: Rc<ProgressReport>,
    plan: ProgramPlan,
    name: String,
) -> JoinHandle<Vec<ProgramRecord>> {
    actix_rt::spawn(async move {
        report.note(&report.started);
        let records = run_program(&context, &plan, None, name).await;
        report.note(&report.over);
        records
    })
}

struct ProgressReport {
    programs: usize,
    started: Cell<usize>,
    over: Cell<usize>,
    on_progress: Box<dyn Fn(Progress)>,
}

impl ProgressReport {
    fn note(&self, counter: &Cell<usize>) {
        counter.set(counter.get() + 1);
        (self.on_progress)(Progress {
            programs: self.programs,
            started: self.started.get(),
            over: self.over.get(),
        });
    }
}
