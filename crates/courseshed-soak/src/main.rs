//! The binary `courseshed-soak`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use courseshed_soak::faults::plan;
use courseshed_soak::fleet::FleetSize;
use courseshed_soak::ledger::Tally;
use courseshed_soak::node::{self, NodeArguments};
use courseshed_soak::releases::plan_with_releases;
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
    /// gateways (6)
    #[argh(option, default = "6")]
    gateways: usize,
    /// stores (6)
    #[argh(option, default = "6")]
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
    /// limit calls to servers that warm up, and check it
    #[argh(switch)]
    limit_warm_up: bool,
    /// replace servers by ones of other software versions, and resume streams
    #[argh(switch)]
    releases: bool,
    /// let servers use every framing, and break responses off at every place
    #[argh(switch)]
    framings: bool,
    /// make requests that end the servers that run them
    #[argh(switch)]
    lethal: bool,
    /// let servers that fail answer no connection attempts for a time
    #[argh(switch)]
    silences: bool,
    /// conversations that last as long as the run (0)
    #[argh(option, default = "0")]
    conversations: usize,
    /// a file with the faults, as a failed run leaves one (those of the seed)
    #[argh(option)]
    plan: Option<PathBuf>,
    /// where files of a run with broken promises are kept (a folder of the system's)
    #[argh(option)]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Node(arguments) => match node::run(arguments) {
            Ok(()) => ExitCode::SUCCESS,
            // The last line of its log says why.
            Err(_) => ExitCode::FAILURE,
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
    let how_long = Duration::from_secs(arguments.seconds);
    let size = FleetSize {
        gateways: arguments.gateways,
        stores: arguments.stores,
        controllers: arguments.controllers,
    };
    let faults = match &arguments.plan {
        Some(file) => serde_json::from_slice(&std::fs::read(file)?)?,
        None if arguments.releases => plan_with_releases(seed, how_long, &size.roles()),
        None => plan(seed, how_long, &size.roles()),
    };
    let options = SoakOptions {
        seed,
        how_long,
        faults: Some(faults.clone()),
        has_regions: seed.is_multiple_of(2),
        limits_warm_up: arguments.limit_warm_up,
        has_releases: arguments.releases,
        varies_framing: arguments.framings,
        has_lethal_requests: arguments.lethal,
        has_silent_servers: arguments.silences,
        long_conversations: arguments.conversations,
        broken: None,
        size,
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
        let plan = folder.path().join("plan.json");
        std::fs::write(plan, serde_json::to_vec_pretty(&faults)?)?;
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
        restricted_runs,
        evacuated_arrivals,
        cold_arrivals,
        resumptions,
        broken_off_by_servers,
        lethal_requests,
        ended_servers,
        violations,
    } = tally;
    let broken = violations.len();
    println!(
        "seed {seed}: {calls} calls, {answered} answered, {refused} refused, {failed} failed; {restricted_runs} ran in their region, {evacuated_arrivals} came during evacuations, {cold_arrivals} to cold servers; {resumptions}; servers broke {broken_off_by_servers} off; {ended_servers} ended under {lethal_requests} requests; {broken} promises broken"
    );
    for violation in violations {
        println!("  {violation}");
    }
}
