//! A whole fleet in one process, a few dozen programs of both users' shapes, and the checks of what came of them.
//!
//! It is the first thing a newcomer runs: nothing to install, no ports to choose, under a minute. Nodes, engines
//! and callers are the real ones and talk over loopback; only the engines' model is emulated.

mod drill;
mod fleet;

use std::time::Duration;

use snafu::Snafu;

pub use self::fleet::{EmbeddedFleet, FleetOptions};
use crate::{
    live::{
        LiveReport, LoadOptions,
        checks::CheckLimits,
        draw::DrawOptions,
        driver::{Progress, drive_under},
        retry::Patience,
    },
    workload::BundledWorkload,
};

/// Parts of the run after each of which something goes wrong.
const DRILL_STEPS: u32 = 8;
/// Programs started a second.
const RATE: f64 = 4.0;
/// Most calls of a program; the workloads' longest go on for many minutes.
const MOST_CALLS: usize = 8;
/// Tools and people are so much faster than in the workloads.
const PAUSE_SCALE: f64 = 0.15;
/// The longest pause; the quickstart's tree allows longer ones.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// How long after its caller vanished a program may live on: the tool pause of the quickstart's tree.
const ABANDONED_GRACE: Duration = Duration::from_secs(8);
/// How long engines may hold the memory of a program after its end.
const MEMORY_GRACE: Duration = Duration::from_secs(10);

/// Why the quickstart can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum QuickstartError {
    /// An engine can't be started.
    #[snafu(display("cannot start an emulated engine: {source}"))]
    Engine {
        /// Why.
        source: std::io::Error,
    },
    /// There is no room for the nodes' data.
    #[snafu(display("cannot make a folder for the nodes' data: {source}"))]
    Folder {
        /// Why.
        source: std::io::Error,
    },
    /// The built-in settings are faulty.
    #[snafu(display("the quickstart's settings are faulty: {reason}"))]
    Settings {
        /// Why.
        reason: String,
    },
    /// A node can't be started.
    #[snafu(display("cannot start a node: {source}"))]
    Node {
        /// Why.
        source: courseshed_node::NodeError,
    },
    /// The nodes don't come to serve.
    #[snafu(display("the nodes did not become ready within {waited:?}"))]
    NotReady {
        /// How long.
        waited: Duration,
    },
}

/// What a quickstart does.
#[derive(Debug, Clone)]
pub struct QuickstartOptions {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Programs to run.
    pub programs: usize,
    /// The fleet.
    pub fleet: FleetOptions,
    /// Whether engines fail, settings change and a node stops while programs run.
    pub faults: bool,
}

impl Default for QuickstartOptions {
    fn default() -> QuickstartOptions {
        QuickstartOptions {
            seed: 1,
            programs: 60,
            fleet: FleetOptions::default(),
            faults: true,
        }
    }
}

/// Starts a fleet, runs programs against it and reports.
///
/// # Errors
/// When the fleet can't be started.
pub async fn run(
    options: &QuickstartOptions,
    on_progress: impl Fn(Progress) + 'static,
) -> Result<LiveReport, QuickstartError> {
    let fleet = EmbeddedFleet::start(&options.fleet).await?;
    let load = load_options(options, &fleet);
    let drill = async {
        if options.faults {
            drill::run(&fleet, load.draw.duration / DRILL_STEPS).await;
        }
    };
    let evidence = drive_under(&load, on_progress, drill).await;
    Ok(LiveReport::of(options.seed, &evidence))
}

fn load_options(options: &QuickstartOptions, fleet: &EmbeddedFleet) -> LoadOptions {
    // Twice the time that so many arrivals take on average, so that none is missing.
    let seconds = 2.0 * options.programs as f64 / RATE + 5.0;
    LoadOptions {
        urls: fleet.node_urls(),
        keys: Vec::new(),
        operator_key: None,
        engines: fleet.engine_urls(),
        draw: DrawOptions {
            workloads: vec![
                BundledWorkload::Guild.workload(),
                BundledWorkload::Hokkaido.workload(),
            ],
            seed: options.seed,
            rate: RATE,
            duration: Duration::from_secs_f64(seconds),
            programs: Some(options.programs),
            most_calls: MOST_CALLS,
            pause_scale: PAUSE_SCALE,
            longest_pause: LONGEST_PAUSE,
            names_models: false,
        },
        patience: Patience::default(),
        limits: CheckLimits {
            memory_grace: MEMORY_GRACE,
            abandoned_grace: Some(ABANDONED_GRACE),
            ..CheckLimits::default()
        },
    }
}
