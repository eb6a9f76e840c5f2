//! Benchmarks the cost of a scheduling decision against the numbers of queued calls, engines and
//! programs.
//!
//! One decision consists of a call finishing, its program making the next call, and the dispatcher
//! selecting a call and its engine.
//!
//! Run with `cargo run --release -p courseshed-dispatch --example dispatch_cost`.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use courseshed_dispatch::{DispatchOutput, Dispatcher, DispatcherConfig, PolicyKind};
use courseshed_types::{
    Attempt, BranchPath, BranchPolicy, CallId, Incarnation, NodeId, PolicySnapshot, ProgramId,
    RequestId, Sequence, SettingsVersion, ShardId, Timestamp, Tokens, Usage,
    dispatch::{
        DispatchEventBody, DispatchRequest, DispatchRequestBody, DispatcherIdentity, EngineLoad,
        EngineMember, EngineState, PoolId, WaitingCall,
    },
};

/// Number of groups in the branch tree, and of teams per group.
const GROUPS: u64 = 10;
const TEAMS: u64 = 10;
/// Decisions per round.
const DECISIONS: u64 = 10_000;
/// Number of rounds; the fastest one is reported to reduce noise from other processes.
const ROUNDS: usize = 5;
/// Page size in which `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4_096;

#[derive(Clone, Copy)]
struct Size {
    engines: u64,
    batch: u32,
    programs: u64,
    waiting: u64,
}

struct Bench {
    dispatcher: Dispatcher,
    size: Size,
    now: Timestamp,
    sequences: Vec<u64>,
    running: Vec<CallId>,
    paused: VecDeque<u64>,
}

/// Cost of one configuration.
struct Cost {
    micros: f64,
    bytes: f64,
}

fn main() {
    if let Some(size) = size_from_args() {
        return measure_in_process(size);
    }
    let base = Size {
        engines: 20,
        batch: 64,
        programs: 3_600,
        waiting: 2_000,
    };
    println!("engines programs  queued | us/decision | KB");
    sweep(
        "queued calls (with 1,600 more programs than calls)",
        [500, 2_000, 8_000, 32_000],
        |waiting| Size {
            waiting,
            programs: waiting + 1_600,
            ..base
        },
    );
    sweep("engines (1,280 slots in total)", [5, 20, 80], |engines| {
        Size {
            engines,
            batch: (20 * 64 / engines) as u32,
            ..base
        }
    });
    sweep(
        "programs (500 queued calls, 320 slots)",
        [900, 3_600, 14_400],
        |programs| Size {
            programs,
            waiting: 500,
            batch: 16,
            ..base
        },
    );
}

/// Measures several sizes and prints the exponent of growth, fitted in log-log space.
fn sweep<const N: usize>(name: &str, values: [u64; N], size: impl Fn(u64) -> Size) {
    println!("{name}:");
    let costs = values.map(|value| measure(size(value)));
    let sizes = values.map(|value| value as f64);
    let time = exponent(&sizes, &costs.each_ref().map(|cost| cost.micros));
    let memory = exponent(&sizes, &costs.each_ref().map(|cost| cost.bytes));
    let more = costs[N - 1].bytes - costs[0].bytes;
    let slope = more / (sizes[N - 1] - sizes[0]);
    println!("  time grows as size^{time:.2}, memory as size^{memory:.2} ({slope:.0} bytes each)");
}

/// Slope of the least-squares line through the logarithms.
fn exponent(sizes: &[f64], costs: &[f64]) -> f64 {
    let count = sizes.len() as f64;
    let points = || {
        sizes
            .iter()
            .zip(costs)
            .map(|(x, y)| (x.ln(), y.max(1.0e-3).ln()))
    };
    let mean_x = points().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

/// Measures one size in a separate process, so that memory of other sizes is neither counted nor
/// reused.
fn measure(size: Size) -> Cost {
    let program = std::env::current_exe().expect("path of the current executable");
    let numbers = [
        size.engines,
        u64::from(size.batch),
        size.programs,
        size.waiting,
    ];
    let output = std::process::Command::new(program)
        .args(numbers.map(|number| number.to_string()))
        .output()
        .expect("start the child process");
    let line = String::from_utf8_lossy(&output.stdout);
    let mut values = line.split_whitespace().map(|value| value.parse::<f64>());
    let mut next = || {
        values
            .next()
            .and_then(Result::ok)
            .expect("two numbers in the child's output")
    };
    let cost = Cost {
        micros: next(),
        bytes: next(),
    };
    println!(
        "{:7} {:8} {:7} | {:11.2} | {:.0}",
        size.engines,
        size.programs,
        size.waiting,
        cost.micros,
        cost.bytes / 1_024.0
    );
    cost
}

fn measure_in_process(size: Size) {
    let before = resident_bytes();
    let mut bench = Bench::new(size);
    bench.fill();
    let micros = (0..ROUNDS)
        .map(|_| bench.time_decision())
        .fold(f64::INFINITY, f64::min);
    // Every program is known only after the rounds.
    let bytes = resident_bytes().saturating_sub(before);
    println!("{micros} {bytes}");
}

/// Parses engines, batch, programs and queued calls from the arguments.
fn size_from_args() -> Option<Size> {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|number| number.parse().ok())
        .collect();
    let [engines, batch, programs, waiting] = numbers[..] else {
        return None;
    };
    Some(Size {
        engines,
        batch: batch as u32,
        programs,
        waiting,
    })
}

impl Bench {
    fn new(size: Size) -> Bench {
        let now = Timestamp::from_millis(1_000);
        let identity = DispatcherIdentity {
            node: NodeId(1),
            incarnation: Incarnation(1),
        };
        let config = DispatcherConfig {
            max_waiting: 100_000,
            slot_overcommit: 0.0,
            ..DispatcherConfig::default()
        };
        let kind = PolicyKind::Courseshed;
        let mut dispatcher = Dispatcher::new(pool(), identity, config, kind, now);
        dispatcher.on_policy(now, Arc::new(policy()));
        let members: Vec<EngineMember> = (0..size.engines).map(member).collect();
        dispatcher.on_engines(now, &members);
        for member in &members {
            dispatcher.on_engine_load(now, &member.engine, load(size.batch));
        }
        Bench {
            dispatcher,
            size,
            now,
            sequences: vec![0; size.programs as usize],
            running: Vec::new(),
            paused: (0..size.programs).collect(),
        }
    }

    /// Fills all engine slots and the queue.
    fn fill(&mut self) {
        let slots = self.size.engines * u64::from(self.size.batch);
        for _ in 0..slots + self.size.waiting {
            self.call_next();
        }
        self.decide();
    }

    fn run(&mut self, decisions: u64) {
        for step in 0..decisions {
            self.now += Duration::from_millis(4);
            let ended = (step * 7_919) as usize % self.running.len();
            self.end(ended);
            self.call_next();
            self.decide();
        }
    }

    /// CPU time per decision in microseconds, over one round.
    fn time_decision(&mut self) -> f64 {
        let start = thread_cpu_nanos();
        self.run(DECISIONS);
        (thread_cpu_nanos() - start) as f64 / 1e3 / DECISIONS as f64
    }

    fn call_next(&mut self) {
        let number = self.paused.pop_front().expect("enough programs");
        let sequence = &mut self.sequences[number as usize];
        *sequence += 1;
        let call = call(number, *sequence, self.now);
        self.send(DispatchRequestBody::Enqueue(Box::new(call)));
    }

    fn end(&mut self, running: usize) {
        let call = self.running.swap_remove(running);
        let usage = Usage {
            prompt_tokens: Tokens(6_000),
            cached_tokens: Tokens(5_000),
            completion_tokens: Tokens(200 + call.program.number % 100),
        };
        let request = RequestId {
            call,
            attempt: Attempt(1),
        };
        self.send(DispatchRequestBody::Finished { request, usage });
        self.paused.push_back(call.program.number);
    }

    fn decide(&mut self) {
        self.dispatcher.tick(self.now);
        for output in self.dispatcher.take_outputs() {
            let DispatchOutput::Event { event, .. } = output else {
                continue;
            };
            if let DispatchEventBody::Assigned { call, engine, .. } = event.body {
                let number = call.program.number;
                let call = crate::call(number, call.sequence.0, self.now);
                self.running.push(call.call);
                let call = Box::new(call);
                self.send(DispatchRequestBody::Started { call, engine });
            }
        }
    }

    fn send(&mut self, body: DispatchRequestBody) {
        let request = DispatchRequest {
            pool: pool(),
            shard: ShardId(1),
            leader: NodeId(2),
            term: 1,
            body,
        };
        self.dispatcher.on_request(self.now, request);
    }
}

fn pool() -> PoolId {
    PoolId {
        region: "r1".into(),
        model: "m1".into(),
    }
}

fn policy() -> PolicySnapshot {
    let mut snapshot = PolicySnapshot {
        version: SettingsVersion(1),
        ..PolicySnapshot::default()
    };
    let policy = BranchPolicy::default();
    snapshot.branches.insert(BranchPath::root(), policy.clone());
    for group in 0..GROUPS {
        snapshot
            .branches
            .insert(path(&format!("g{group}")), policy.clone());
        for team in 0..TEAMS {
            let path = path(&format!("g{group}/t{team}"));
            snapshot.branches.insert(path, policy.clone());
        }
    }
    snapshot
}

fn path(text: &str) -> BranchPath {
    text.parse().expect("a valid path")
}

fn member(number: u64) -> EngineMember {
    EngineMember {
        engine: format!("engine-{number:03}").into(),
        address: "127.0.0.1:9000".to_string(),
        region: "r1".into(),
        zone: format!("r1-{}", number % 3).into(),
        models: vec!["m1".into()],
        state: EngineState::Live,
    }
}

fn load(max_batch: u32) -> EngineLoad {
    EngineLoad {
        max_batch,
        total_blocks: 65_536,
        block_tokens: 16,
        start: 1,
        models: vec!["m1".into()],
        ..EngineLoad::default()
    }
}

fn call(number: u64, sequence: u64, now: Timestamp) -> WaitingCall {
    let program = ProgramId {
        shard: ShardId(1),
        number,
    };
    let branch = format!("g{}/t{}", number % GROUPS, number / GROUPS % TEAMS);
    WaitingCall {
        call: CallId {
            program,
            sequence: Sequence(sequence),
        },
        attempt: Attempt(1),
        root: program,
        branch: path(&branch),
        model: "m1".into(),
        priority: (number % 3) as i32,
        prompt_tokens: Tokens(6_000),
        max_output: Tokens(1_000),
        attained: Tokens(sequence * 6_000),
        turn: sequence as u32 - 1,
        root_started_at: now,
        aim_at: Some(now + Duration::from_secs(60)),
        worth: 1.0,
        accepted_at: now,
        give_up_at: now + Duration::from_secs(3_600),
        last_engine: None,
        avoid: Vec::new(),
        repeatable: true,
    }
}

/// CPU time of this thread: the first field of `/proc/thread-self/schedstat`.
fn thread_cpu_nanos() -> u64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = stat.split_whitespace().next().unwrap_or("0");
    nanos.parse().unwrap_or(0)
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).unwrap_or("0");
    pages.parse::<u64>().unwrap_or(0) * PAGE_BYTES
}
