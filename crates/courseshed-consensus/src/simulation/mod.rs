//! Simulation: a whole group of real replicas in virtual time, with everything failing that may.
//!
//! One seed decides everything: who runs on which storage, what the network does to messages, how
//! fast clocks run, which faults come when, and what clients ask. The same seed gives the same run,
//! on any machine. An observer sees only what clients asked and were told (and who claimed to lead
//! which term), and checks the promises of the log against that.
//!
//! The model checker explores small groups exhaustively but without time; this explores what depends
//! on time and size: leases, pre-votes, check-quorum, snapshots, disks, pauses.

mod asking;
mod clients;
mod cluster;
mod disk;
mod events;
mod faults;
mod journal;
mod membership;
mod network;
mod observer;
mod options;
mod process;
mod replacements;
mod report;
mod settling;

use std::time::Duration;

pub use options::{Scenario, SimulationOptions, Variant};
pub use report::{Fault, Promise, SimulationReport, Violation};

use cluster::Cluster;

/// How long the group may take to serve again once all faults have ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);

/// Runs one seed: a time with faults, then a time without any, then the checks.
#[must_use]
pub fn run_seed(seed: u64, options: &SimulationOptions) -> SimulationReport {
    let mut cluster = Cluster::new(seed, *options);
    cluster.run_until(options.duration);
    cluster.heal();
    cluster.run_until_settled(options.duration + RECOVERY_LIMIT);
    cluster.into_report()
}
