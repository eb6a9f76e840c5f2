//! Runs of the simulations over many seeds.

use std::{
    collections::BTreeMap,
    fmt,
    ops::Range,
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use courseshed_consensus::simulation::{self as log, SimulationOptions, Variant};
use courseshed_records::simulation::{self as records, RecordInvariant, RecordVariant};
use serde::Serialize;

use super::fleet::{self, FleetOptions, FleetPromise, FleetVariant};

/// Seeds within which a variant broken on purpose must be caught.
const SEEDS_PER_VARIANT: u64 = 200;

/// A simulation that can be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Simulation {
    /// Groups of the replicated log.
    Log,
    /// The whole path from callers to engines.
    Fleet,
    /// Records of programs on a quorum of disks.
    Records,
}

impl Simulation {
    /// All simulations.
    pub const ALL: [Simulation; 3] = [Simulation::Log, Simulation::Fleet, Simulation::Records];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Simulation::Log => "log",
            Simulation::Fleet => "fleet",
            Simulation::Records => "records",
        }
    }

    /// The simulation of this name.
    pub fn from_name(name: &str) -> Option<Simulation> {
        Simulation::ALL
            .into_iter()
            .find(|simulation| simulation.name() == name)
    }

    fn promises(self) -> Vec<&'static str> {
        match self {
            Simulation::Log => log::Promise::ALL.map(log::Promise::name).to_vec(),
            Simulation::Fleet => FleetPromise::ALL.map(FleetPromise::name).to_vec(),
            Simulation::Records => RecordInvariant::ALL.map(RecordInvariant::name).to_vec(),
        }
    }

    fn run(self, seed: u64) -> SeedResult {
        match self {
            Simulation::Log => run_log(seed),
            Simulation::Fleet => run_fleet(seed),
            Simulation::Records => run_records(seed),
        }
    }

    /// Runs the variants broken on purpose until each is caught, or the seeds are used up.
    fn run_variants(self) -> Vec<BrokenSimulation> {
        match self {
            Simulation::Log => Variant::BROKEN.into_iter().map(run_log_variant).collect(),
            Simulation::Fleet => FleetVariant::BROKEN
                .into_iter()
                .map(run_fleet_variant)
                .collect(),
            Simulation::Records => RecordVariant::BROKEN
                .into_iter()
                .map(run_records_variant)
                .collect(),
        }
    }
}

/// A broken promise, with the way to see it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SeedViolation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
    /// The command that shows it again.
    pub replay: String,
}

/// A variant broken on purpose.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BrokenSimulation {
    /// What is broken.
    pub name: &'static str,
    /// The first seed that shows it; none means that the simulation is blind to it.
    pub caught_by_seed: Option<u64>,
}

/// What one seed came to.
struct SeedResult {
    faults: Vec<(&'static str, u64)>,
    work: Vec<(&'static str, u64)>,
    violations: Vec<SeedViolation>,
}

/// What all seeds of one simulation came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SimulationSummary {
    /// Which simulation.
    pub simulation: Simulation,
    /// The first seed.
    pub first_seed: u64,
    /// How many were run.
    pub seeds: u64,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// What was done under them.
    pub work: BTreeMap<&'static str, u64>,
    /// Violations by promise; every promise is named.
    pub violations: BTreeMap<&'static str, u64>,
    /// The violations themselves.
    pub violations_seen: Vec<SeedViolation>,
    /// Variants broken on purpose.
    pub broken_variants: Vec<BrokenSimulation>,
}

impl SimulationSummary {
    /// Runs seeds, on as many threads as asked for. The result does not depend on their number.
    pub fn of_seeds(
        simulation: Simulation,
        seeds: Range<u64>,
        with_variants: bool,
        threads: usize,
    ) -> SimulationSummary {
        let mut summary = SimulationSummary {
            simulation,
            first_seed: seeds.start,
            seeds: seeds.end - seeds.start,
            faults: BTreeMap::new(),
            work: BTreeMap::new(),
            violations: simulation
                .promises()
                .into_iter()
                .map(|promise| (promise, 0))
                .collect(),
            violations_seen: Vec::new(),
            broken_variants: Vec::new(),
        };
        for result in run_all(simulation, seeds, threads) {
            summary.add(result);
        }
        if with_variants {
            summary.broken_variants = simulation.run_variants();
        }
        summary
    }

    fn add(&mut self, result: SeedResult) {
        for (fault, times) in result.faults {
            *self.faults.entry(fault).or_default() += times;
        }
        for (work, times) in result.work {
            *self.work.entry(work).or_default() += times;
        }
        for violation in result.violations {
            *self.violations.entry(violation.promise).or_default() += 1;
            self.violations_seen.push(violation);
        }
    }

    /// Whether all promises held and all broken variants were caught.
    pub fn passed(&self) -> bool {
        let all_caught = self
            .broken_variants
            .iter()
            .all(|variant| variant.caught_by_seed.is_some());
        self.violations_seen.is_empty() && all_caught
    }
}

impl fmt::Display for SimulationSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let last = self.first_seed + self.seeds.saturating_sub(1);
        writeln!(
            formatter,
            "simulation {}: {} seeds, {} to {last}",
            self.simulation.name(),
            self.seeds,
            self.first_seed
        )?;
        for (work, times) in &self.work {
            writeln!(formatter, "  {work}: {times}")?;
        }
        writeln!(formatter, "  faults injected:")?;
        for (fault, times) in &self.faults {
            writeln!(formatter, "    {fault}: {times}")?;
        }
        writeln!(formatter, "  violations:")?;
        for (promise, times) in &self.violations {
            writeln!(formatter, "    {promise}: {times}")?;
        }
        for violation in &self.violations_seen {
            writeln!(formatter, "  VIOLATION of: {}", violation.promise)?;
            writeln!(formatter, "    {}", violation.detail)?;
            writeln!(formatter, "    again with: {}", violation.replay)?;
        }
        for variant in &self.broken_variants {
            match variant.caught_by_seed {
                Some(seed) => writeln!(
                    formatter,
                    "  broken on purpose, caught by seed {seed}: {}",
                    variant.name
                )?,
                None => writeln!(
                    formatter,
                    "  broken on purpose, NOT CAUGHT: {}",
                    variant.name
                )?,
            }
        }
        Ok(())
    }
}

/// Runs all seeds. Results come in the order of the seeds.
fn run_all(simulation: Simulation, seeds: Range<u64>, threads: usize) -> Vec<SeedResult> {
    let next = AtomicU64::new(seeds.start);
    let work = || {
        let mut results = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return results;
            }
            results.push((seed, simulation.run(seed)));
        }
    };
    let mut results = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        let results = workers
            .into_iter()
            .map(|worker| worker.join().expect("a seed panicked"));
        results.flatten().collect::<Vec<_>>()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}

fn replay(simulation: Simulation, seed: u64) -> String {
    let name = simulation.name();
    format!("courseshed-lab check --simulation {name} --seeds 1 --first-seed {seed}")
}

fn run_log(seed: u64) -> SeedResult {
    let report = log::run_seed(seed, &SimulationOptions::default());
    let violation = |violation: &log::Violation| SeedViolation {
        promise: violation.promise.name(),
        detail: violation.detail.clone(),
        replay: replay(Simulation::Log, seed),
    };
    SeedResult {
        faults: report
            .faults
            .iter()
            .map(|(fault, times)| (fault.name(), *times))
            .collect(),
        work: vec![
            ("writes confirmed", report.writes_confirmed),
            ("reads answered", report.reads_answered),
            ("terms led", report.terms_led),
            ("snapshots installed", report.snapshots_installed),
            ("messages delivered", report.messages_delivered),
            (
                "seeds that lost more than a group can bear",
                u64::from(report.beyond_repair),
            ),
        ],
        violations: report.violations.iter().map(violation).collect(),
    }
}

fn run_fleet(seed: u64) -> SeedResult {
    let report = fleet::run_seed(seed, &FleetOptions::default());
    let violation = |violation: &fleet::FleetViolation| SeedViolation {
        promise: violation.promise.name(),
        detail: violation.detail.clone(),
        replay: replay(Simulation::Fleet, seed),
    };
    SeedResult {
        faults: report
            .faults
            .iter()
            .map(|(fault, times)| (fault.name(), *times))
            .collect(),
        work: vec![
            ("programs", report.programs),
            ("calls", report.calls),
            ("calls answered", report.answered),
            ("calls refused as not run", report.not_run),
            ("calls that ended in doubt", report.in_doubt),
            ("attempts that engines began", report.attempts),
        ],
        violations: report.violations.iter().map(violation).collect(),
    }
}

fn run_records(seed: u64) -> SeedResult {
    let report = records::run_seed(seed, RecordVariant::Sound);
    let violation = |(promise, detail): &(RecordInvariant, String)| SeedViolation {
        promise: promise.name(),
        detail: detail.clone(),
        replay: replay(Simulation::Records, seed),
    };
    SeedResult {
        faults: vec![
            ("disks lost", report.disks_lost),
            ("machines out of reach", report.cut_off),
        ],
        work: vec![
            ("turns kept", report.kept),
            ("turns found", report.found),
            ("reservations granted", report.granted),
            ("reservations refused", report.spent),
            ("views", report.views),
        ],
        violations: report.violations.iter().map(violation).collect(),
    }
}

fn run_records_variant(variant: RecordVariant) -> BrokenSimulation {
    let is_caught = |seed: &u64| !records::run_seed(*seed, variant).violations.is_empty();
    BrokenSimulation {
        name: variant.name(),
        caught_by_seed: (0..SEEDS_PER_VARIANT).find(is_caught),
    }
}

fn run_log_variant(variant: Variant) -> BrokenSimulation {
    let options = SimulationOptions {
        variant,
        ..SimulationOptions::default()
    };
    let is_caught = |seed: &u64| !log::run_seed(*seed, &options).violations.is_empty();
    BrokenSimulation {
        name: variant.name(),
        caught_by_seed: (0..SEEDS_PER_VARIANT).find(is_caught),
    }
}

fn run_fleet_variant(variant: FleetVariant) -> BrokenSimulation {
    let options = FleetOptions {
        variant,
        ..FleetOptions::default()
    };
    let is_caught = |seed: &u64| !fleet::run_seed(*seed, &options).violations.is_empty();
    BrokenSimulation {
        name: variant.name(),
        caught_by_seed: (0..SEEDS_PER_VARIANT).find(is_caught),
    }
}
