//! What replicas of shards cost: bytes and processor time of idle ones, and processor time of a commit.
//!
//! Three nodes in this process, over loopback, with the program in the controllers' place.
//!
//!     cargo run --release -p courseshed-node --example shard_cost -- idle --shards 4,16,64 --seconds 10
//!     cargo run --release -p courseshed-node --example shard_cost -- commits --seconds 10

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use courseshed_node::{context::NodeContext, shards::ShardPatience};
use courseshed_transport::TrafficClass;
use courseshed_types::{
    NodeId, ProgramId, ShardId,
    program::NewProgram,
    shard::{ShardReply, ShardRequestBody},
};
use support::{
    TREE,
    mapped_fleet::{MappedFleet, MappedPlan},
};

/// Nodes of the fleet; each keeps a replica of every shard.
const NODES: u32 = 3;
/// Time for elections and the first balancing to pass.
const WARM_UP: Duration = Duration::from_secs(7);

/// Measures what replicas of shards cost.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Idle(Idle),
    Commits(Commits),
}

/// Bytes and processor time of shards in which nothing happens.
#[derive(FromArgs)]
#[argh(subcommand, name = "idle")]
struct Idle {
    /// numbers of shards to measure, with commas between
    #[argh(option, default = "\"4,16,64\".into()")]
    shards: String,
    /// seconds of each measurement
    #[argh(option, default = "10")]
    seconds: u64,
    /// heartbeat, such as 100ms
    #[argh(option, default = "\"100ms\".into()")]
    heartbeat: String,
    /// least time without a leader before an election
    #[argh(option, default = "\"500ms\".into()")]
    election: String,
}

/// Processor time of commits, sockets included.
#[derive(FromArgs)]
#[argh(subcommand, name = "commits")]
struct Commits {
    /// seconds of the measurement
    #[argh(option, default = "10")]
    seconds: u64,
    /// shards
    #[argh(option, default = "16")]
    shards: u32,
    /// requests under way at once
    #[argh(option, default = "64")]
    at_once: u32,
}

/// Counters of the whole process at one moment.
#[derive(Clone, Copy)]
struct Meter {
    at: Instant,
    cpu: Duration,
    control_bytes: u64,
    control_messages: u64,
    data_bytes: u64,
}

impl Meter {
    /// Bytes are counted where they are sent, so that none counts twice.
    fn read(fleet: &MappedFleet) -> Meter {
        let mut meter = Meter {
            at: Instant::now(),
            cpu: cpu_time(),
            control_bytes: 0,
            control_messages: 0,
            data_bytes: 0,
        };
        for node in fleet.running() {
            let counters = fleet.node(node).context().transport().counters();
            let control = counters.snapshot(TrafficClass::Control);
            meter.control_bytes += control.sent_bytes;
            meter.control_messages += control.sent_messages;
            meter.data_bytes += counters.snapshot(TrafficClass::Data).sent_bytes;
        }
        meter
    }
}

/// User and system time of this process.
fn cpu_time() -> Duration {
    /// Clock ticks in a second, as Linux reports them.
    const TICKS: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").expect("Linux");
    let fields = stat.rsplit(')').next().expect("fields");
    let mut fields = fields.split_whitespace().skip(11);
    let mut ticks = || -> f64 {
        fields
            .next()
            .and_then(|field| field.parse().ok())
            .expect("ticks")
    };
    Duration::from_secs_f64((ticks() + ticks()) / TICKS)
}

fn plan(shards: u32, more: &str) -> MappedPlan<'_> {
    MappedPlan {
        nodes: NODES,
        shards,
        engines: &[],
        tree: TREE,
        more,
    }
}

fn idle(arguments: &Idle) {
    let more = format!(
        "[timeouts]\nheartbeat = \"{}\"\nelection = \"{}\"\nsuspect_after = \"10s\"",
        arguments.heartbeat, arguments.election
    );
    println!("shards  replicas/node  led/node  bytes/s/node (sent)  messages/s/node  core%/node");
    for shards in arguments.shards.split(',') {
        let shards: u32 = shards.trim().parse().expect("a number of shards");
        let fleet = MappedFleet::start_planned(&plan(shards, &more));
        std::thread::sleep(WARM_UP);
        let before = Meter::read(&fleet);
        std::thread::sleep(Duration::from_secs(arguments.seconds));
        let after = Meter::read(&fleet);
        let seconds = (after.at - before.at).as_secs_f64();
        let per_node = |sum: f64| sum / seconds / f64::from(NODES);
        println!(
            "{shards:6}  {shards:13}  {:8.1}  {:19.0}  {:15.1}  {:10.3}",
            f64::from(shards) / f64::from(NODES),
            per_node((after.control_bytes - before.control_bytes) as f64),
            per_node((after.control_messages - before.control_messages) as f64),
            per_node((after.cpu - before.cpu).as_secs_f64()) * 100.0,
        );
    }
}

async fn commits(arguments: &Commits) {
    let fleet = MappedFleet::start_planned(&plan(arguments.shards, ""));
    std::thread::sleep(WARM_UP);
    let context = fleet.node(NodeId(1)).context().clone();
    let mut programs = Vec::new();
    for shard in 0..arguments.shards {
        programs.push(create(&context, ShardId(shard)).await);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicU64::new(0));
    let before = Meter::read(&fleet);
    let tasks: Vec<_> = (0..arguments.at_once)
        .map(|task| programs[task as usize % programs.len()])
        .map(|program| {
            let (context, stop, done) = (context.clone(), stop.clone(), done.clone());
            actix_rt::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    heartbeat(&context, program).await;
                    done.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    actix_rt::time::sleep(Duration::from_secs(arguments.seconds)).await;
    let commits = done.load(Ordering::Relaxed);
    let after = Meter::read(&fleet);
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.await;
    }
    let seconds = (after.at - before.at).as_secs_f64();
    let each = |sum: f64| sum / commits as f64;
    println!(
        "{commits} commits in {seconds:.1} s: {:.0}/s",
        commits as f64 / seconds
    );
    println!(
        "each: {:.1} us of processor time over all three replicas and the asker, {:.0} bytes sent",
        each((after.cpu - before.cpu).as_secs_f64() * 1e6),
        each(
            (after.data_bytes - before.data_bytes + after.control_bytes - before.control_bytes)
                as f64
        ),
    );
}

async fn create(context: &Arc<NodeContext>, shard: ShardId) -> ProgramId {
    let new = NewProgram {
        branch: "guild/quotes".parse().expect("a branch"),
        kind: None,
        aim: None,
        worth: None,
        parent: None,
        idempotency_key: Some(context.random_key()),
    };
    let body = ShardRequestBody::CreateProgram(new);
    let client = &context.shard_client;
    let asked = client.ask(context, shard, body, ShardPatience::PROMPT);
    match asked.await {
        Ok(ShardReply::Program(view)) => view.id,
        other => panic!("no program: {other:?}"),
    }
}

/// One commit: a program's heartbeat.
async fn heartbeat(context: &Arc<NodeContext>, program: ProgramId) {
    let body = ShardRequestBody::Heartbeat(program);
    let client = &context.shard_client;
    let asked = client.ask(context, program.shard, body, ShardPatience::PROMPT);
    asked.await.expect("a live program");
}

fn main() {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Idle(arguments) => idle(&arguments),
        Command::Commits(arguments) => actix_rt::System::new().block_on(commits(&arguments)),
    }
}
