//! `courseshed-lab hollow`: what control costs a fleet of hollow nodes.

use std::time::Duration;

use argh::FromArgs;
use courseshed_control::hollow::HollowOptions;

use super::{
    CommandError, CommandOutcome,
    output::{OutputFormat, print_json, print_text},
};
use crate::hollow::{DayPlan, HollowPlan, HollowReport};

/// Sizes of a sweep; the last is the size the project is designed for.
const SWEEP: [u32; 3] = [50, 150, 330];
/// The fewest nodes that hold the controllers.
const FEWEST_NODES: u32 = 12;

/// Run a fleet of hollow nodes in virtual time and measure what control costs them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hollow")]
pub struct HollowArguments {
    /// nodes, controllers included (default 330)
    #[argh(option, default = "330")]
    nodes: u32,
    /// run 50, 150 and 330 nodes instead
    #[argh(switch)]
    sweep: bool,
    /// minutes of virtual time (default 10)
    #[argh(option, default = "10")]
    minutes: u64,
    /// changes of settings in a day (default 2800)
    #[argh(option, default = "2800.0")]
    changes: f64,
    /// changes made at once in the middle of the run (default 0)
    #[argh(option, default = "0")]
    burst: u32,
    /// machines that fail in a day, back after 15 minutes (default 0)
    #[argh(option, default = "0.0")]
    failures: f64,
    /// nodes restarted in a day, back after 10 seconds (default 0)
    #[argh(option, default = "0.0")]
    restarts: f64,
    /// how much faster than in a day changes, failures and restarts come (default 1)
    #[argh(option, default = "1.0")]
    compress: f64,
    /// minutes for which a region is cut off, from a quarter of the run on (default 0)
    #[argh(option, default = "0")]
    cut_minutes: u64,
    /// lose a zone in the middle of the run
    #[argh(switch)]
    lose_zone: bool,
    /// tenants in the settings tree (default 550)
    #[argh(option, default = "550")]
    tenants: u32,
    /// requests for escrow of each node in a minute (default 6)
    #[argh(option, default = "6")]
    grants: u32,
    /// frames lost, of a thousand (default 0)
    #[argh(option, default = "0")]
    loss: u32,
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// text (default) or json
    #[argh(option, default = "OutputFormat::Text")]
    output: OutputFormat,
}

impl HollowArguments {
    pub(super) fn run(self) -> Result<CommandOutcome, CommandError> {
        self.check()?;
        let sizes = if self.sweep {
            SWEEP.to_vec()
        } else {
            vec![self.nodes]
        };
        let report = HollowReport::sweep(&self.plan(), &sizes);
        match self.output {
            OutputFormat::Text => print_text(&report.to_string())?,
            OutputFormat::Json => print_json(&report)?,
        }
        Ok(if report.held() {
            CommandOutcome::Held
        } else {
            CommandOutcome::Violated
        })
    }

    fn check(&self) -> Result<(), CommandError> {
        let rates = [self.changes, self.failures, self.restarts, self.compress];
        if self.nodes < FEWEST_NODES {
            return Err(CommandError::Option {
                option: "--nodes",
                reason: format!("a fleet has at least {FEWEST_NODES} nodes"),
            });
        }
        if !rates.iter().all(|rate| rate.is_finite() && *rate >= 0.0) {
            return Err(CommandError::Option {
                option: "--changes, --failures, --restarts, --compress",
                reason: "a rate is a number that is not below zero".to_owned(),
            });
        }
        Ok(())
    }

    fn plan(&self) -> HollowPlan {
        let mut options = HollowOptions {
            tenants: self.tenants,
            grants_per_minute: self.grants,
            seed: self.seed,
            ..HollowOptions::default()
        };
        options.links.loss_permille = self.loss;
        HollowPlan {
            options,
            time: Duration::from_secs(self.minutes * 60),
            day: DayPlan {
                changes: self.changes,
                burst: self.burst,
                failures: self.failures,
                restarts: self.restarts,
                compress: self.compress,
                cut: Duration::from_secs(self.cut_minutes * 60),
                zone_lost: self.lose_zone,
            },
        }
    }
}
