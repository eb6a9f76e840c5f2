//! The binary `courseshed-soak`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use courseshed_soak::fleet::FleetSize;
use courseshed_soak::ledger::Tally;
use courseshed_soak::node::{self, NodeArguments};
use courseshed_soak::run::{SoakOptions, run, warnings};

const EXIT_CANNOT_RUN: u8 = 2;

/// a fault soak of real processes on loopback, which checks the promises from outside
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(RunArguments),
    Node(NodeArguments),
}

/// run a soak; exit status 1 when a promise was broken, and the files are kept then
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArguments {
    /// the first seed
    #[argh(option)]
    seed: u64,
    /// seeds to run, one after the other (1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// how long faults come, in seconds (20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// gateways (3)
    #[argh(option, default = "3")]
    gateways: usize,
    /// stores (4)
    #[argh(option, default = "4")]
    stores: usize,
    /// controllers (3)
    #[argh(option, default = "3")]
    controllers: usize,
    /// servers (4)
    #[argh(option, default = "4")]
    servers: usize,
    /// callers (12)
    #[argh(option, default = "12")]
    callers: usize,
    /// where files of a run with broken promises are kept (a folder of the system's)
    #[argh(option)]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Node(arguments) => match node::run(arguments) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
        Command::Run(arguments) => soak(&arguments),
    }
}

fn soak(arguments: &RunArguments) -> ExitCode {
    let mut has_broken = false;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        match soak_seed(arguments, seed) {
            Ok(is_sound) => has_broken |= !is_sound,
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(EXIT_CANNOT_RUN);
            }
        }
    }
    ExitCode::from(u8::from(has_broken))
}

fn soak_seed(arguments: &RunArguments, seed: u64) -> Result<bool, Box<dyn std::error::Error>> {
    let prefix = format!("courseshed-soak-{seed}-");
    let mut named = tempfile::Builder::new();
    let named = named.prefix(&prefix);
    let mut folder = match &arguments.keep {
        Some(parent) => named.tempdir_in(parent)?,
        None => named.tempdir()?,
    };
    let options = SoakOptions {
        seed,
        how_long: Duration::from_secs(arguments.seconds),
        size: FleetSize {
            gateways: arguments.gateways,
            stores: arguments.stores,
            controllers: arguments.controllers,
        },
        servers: arguments.servers,
        callers: arguments.callers,
        program: std::env::current_exe()?,
        folder: folder.path().to_owned(),
    };
    let tally = actix_rt::System::new().block_on(run(options))?;
    report(seed, &tally);
    let is_sound = tally.violations.is_empty();
    if !is_sound {
        folder.disable_cleanup(true);
        println!("  files are kept in {}", folder.path().display());
        for line in warnings(folder.path())?.iter().take(5) {
            println!("  {line}");
        }
    }
    Ok(is_sound)
}

fn report(seed: u64, tally: &Tally) {
    let Tally {
        calls,
        answered,
        refused,
        failed,
        violations,
    } = tally;
    let broken = violations.len();
    println!(
        "seed {seed}: {calls} calls, {answered} answered, {refused} refused, {failed} failed, {broken} promises broken"
    );
    for violation in violations {
        println!("  {violation}");
    }
}
