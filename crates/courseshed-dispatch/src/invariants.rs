//! Checks that the tables agree with each other, and a test that drives them with arbitrary messages.

use std::collections::BTreeMap;

use courseshed_types::{
    Attempt, BranchPath, BranchPolicy, CallId, EngineId, Incarnation, NodeId, PolicySnapshot,
    ProgramId, RequestId, Sequence, SettingsVersion, ShardId, Timestamp, Tokens, Usage,
    dispatch::{
        CacheChange, CacheEvent, DispatchRequest, DispatchRequestBody, DispatcherIdentity,
        EngineLoad, EngineMember, EngineState, LeaseEntry, PoolId, WaitingCall,
    },
};
use proptest::prelude::*;

use crate::{
    Dispatcher, DispatcherConfig, PolicyKind,
    state::State,
    tables::{CallPhase, NodeIndex},
};

/// Panics where two tables disagree.
fn check(state: &State) {
    check_queues(state);
    check_listings(state);
    check_engines(state);
    check_leases(state);
    check_timers(state);
}

fn check_queues(state: &State) {
    let mut queued = 0;
    for (index, node) in state.branches.iter() {
        queued += node.queue.len();
        for (rank, call) in &node.queue {
            let entry = state.calls.get(call).expect("a queued call is known");
            assert_eq!(entry.phase, CallPhase::Waiting(*rank));
            assert_eq!(entry.queue, index);
        }
        assert!(node.first_calls.is_subset(&node.queue));
    }
    let parked: usize = state
        .engines
        .iter()
        .map(|(_, engine)| engine.parked.len())
        .sum();
    let waiting = state.calls.iter().filter(|(_, call)| call.is_waiting());
    assert_eq!(queued + parked, waiting.count());
    assert_eq!(queued + parked, state.calls.waiting());
    for (id, engine) in state.engines.iter() {
        for call in &engine.parked {
            let entry = state.calls.get(call).expect("a parked call is known");
            let CallPhase::Parked(parking) = &entry.phase else {
                panic!("{call:?} is listed as parked");
            };
            assert_eq!(parking.engine, *id);
        }
    }
}

fn check_listings(state: &State) {
    for (index, node) in state.branches.iter() {
        let has_calls = !node.queue.is_empty() || !node.active.is_empty();
        assert_eq!(node.active.len(), node.urgent.len());
        if index == NodeIndex::ROOT {
            continue;
        }
        assert_eq!(has_calls, node.listing.is_some());
        if let (Some(listing), Some(parent)) = (node.listing, node.parent) {
            let parent = state.branches.node(parent);
            assert!(parent.active.contains(&(listing.key, index)));
            assert!(parent.urgent.contains(&(listing.urgency, index)));
        }
    }
}

fn check_engines(state: &State) {
    let mut calls: BTreeMap<EngineId, (u32, u64)> = BTreeMap::new();
    for (_, call) in state.calls.iter() {
        if let Some(placement) = call.placement() {
            let entry = calls.entry(placement.engine.clone()).or_default();
            entry.0 += 1;
            entry.1 += placement.memory.0;
        }
    }
    for (id, engine) in state.engines.iter() {
        let (in_flight, memory) = calls.get(id).copied().unwrap_or_default();
        assert_eq!((engine.in_flight, engine.memory.0), (in_flight, memory));
    }
}

fn check_leases(state: &State) {
    let mut by_engine: BTreeMap<EngineId, u64> = BTreeMap::new();
    let mut by_branch: BTreeMap<BranchPath, u64> = BTreeMap::new();
    for (id, program) in state.programs.iter() {
        let Some(prefix) = &program.prefix else {
            continue;
        };
        *by_engine.entry(prefix.engine.clone()).or_default() += prefix.leased_tokens.0;
        for path in program.branch.ancestry() {
            *by_branch.entry(path).or_default() += prefix.leased_tokens.0;
        }
        if prefix.leased_until.is_some() {
            let mut calls = state.calls.iter().filter(|(call, _)| call.program == *id);
            assert!(calls.all(|(_, call)| call.placement().is_none()));
        }
    }
    for (branch, account) in &state.caches {
        let programs = state
            .programs
            .iter()
            .filter(|(_, program)| program.branch == *branch);
        let tokens = programs.filter_map(|(_, program)| program.prefix.as_ref());
        let cached: u64 = tokens.map(|prefix| prefix.tokens.0).sum();
        assert_eq!(account.cached, cached);
    }
    let exported: u64 = state
        .programs
        .iter()
        .map(|(_, program)| program.exported.0)
        .sum();
    assert_eq!(state.exported.0, exported);
    for (id, engine) in state.engines.iter() {
        assert_eq!(engine.leased.0, by_engine.get(id).copied().unwrap_or(0));
        let is_held = |program: &ProgramId| {
            let prefix = state
                .programs
                .get(program)
                .and_then(|entry| entry.prefix.as_ref());
            prefix.is_some_and(|prefix| prefix.leased_until.is_some() && prefix.engine == *id)
        };
        assert!(engine.lessees.iter().all(is_held));
    }
    for (branch, account) in &state.caches {
        assert_eq!(account.leased, by_branch.get(branch).copied().unwrap_or(0));
    }
}

/// Timers are bounded by the entities they are of.
fn check_timers(state: &State) {
    let entities = state.calls.len() * 3 + state.programs.len() * 2;
    let few = ENGINES.len() + 2;
    assert!(state.timers.len() <= entities + few);
}

/// Something that arrives; small numbers make collisions likely.
#[derive(Debug, Clone)]
enum Input {
    Enqueue(u64, u64, u32, usize),
    Started(u64, u64, u32, usize),
    Finished(u64, u64, u32, u64),
    Failed(u64, u64, u32, bool),
    Withdraw(u64, u64),
    Ended(u64),
    AnnounceComplete,
    NewTerm,
    Directory(u8),
    Load(usize, u64, u32),
    Unreachable(usize),
    Evicted(usize, u64, u64),
    Listing(usize, u64),
    Policy(usize),
    Pass(u64),
}

const BRANCHES: [&str; 4] = ["/", "a", "a/x", "b"];
const ENGINES: [&str; 3] = ["e1", "e2", "e3"];

fn inputs() -> impl Strategy<Value = Vec<Input>> {
    let (program, sequence, attempt) = (0u64..6, 1u64..4, 1u32..3);
    let call = (program, sequence, attempt);
    let input = prop_oneof![
        6 => (call.clone(), 0usize..4).prop_map(|((p, s, a), b)| Input::Enqueue(p, s, a, b)),
        3 => (call.clone(), 0usize..3).prop_map(|((p, s, a), e)| Input::Started(p, s, a, e)),
        4 => (call.clone(), 0u64..500).prop_map(|((p, s, a), t)| Input::Finished(p, s, a, t)),
        2 => (call, any::<bool>()).prop_map(|((p, s, a), f)| Input::Failed(p, s, a, f)),
        1 => (0u64..6, 1u64..4).prop_map(|(p, s)| Input::Withdraw(p, s)),
        1 => (0u64..6).prop_map(Input::Ended),
        1 => Just(Input::AnnounceComplete),
        1 => Just(Input::NewTerm),
        1 => (0u8..27).prop_map(Input::Directory),
        2 => (0usize..3, 1u64..3, 0u32..6).prop_map(|(e, s, r)| Input::Load(e, s, r)),
        1 => (0usize..3).prop_map(Input::Unreachable),
        1 => (0usize..3, 0u64..6, 0u64..600).prop_map(|(e, p, t)| Input::Evicted(e, p, t)),
        1 => (0usize..3, 0u64..6).prop_map(|(e, p)| Input::Listing(e, p)),
        1 => (0usize..4).prop_map(Input::Policy),
        4 => (1u64..8_000).prop_map(Input::Pass),
    ];
    prop::collection::vec(input, 1..200)
}

struct Run {
    dispatcher: Dispatcher,
    now: Timestamp,
    term: u64,
    version: u64,
    event: u64,
}

impl Run {
    fn new() -> Run {
        let identity = DispatcherIdentity {
            node: NodeId(1),
            incarnation: Incarnation(1),
        };
        let config = DispatcherConfig {
            max_waiting: 6,
            min_branch_waiting: 1,
            ..DispatcherConfig::default()
        };
        let now = Timestamp::from_millis(1);
        Run {
            dispatcher: Dispatcher::new(pool(), identity, config, PolicyKind::Courseshed, now),
            now,
            term: 1,
            version: 1,
            event: 0,
        }
    }

    fn say(&mut self, body: DispatchRequestBody) {
        let request = DispatchRequest {
            pool: pool(),
            shard: ShardId(1),
            leader: NodeId(2),
            term: self.term,
            body,
        };
        self.dispatcher.on_request(self.now, request);
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Enqueue(program, sequence, attempt, branch) => {
                let call = self.call(program, sequence, attempt, branch);
                self.say(DispatchRequestBody::Enqueue(call));
            }
            Input::Started(program, sequence, attempt, engine) => {
                let call = self.call(program, sequence, attempt, 1);
                let engine = ENGINES[engine].into();
                self.say(DispatchRequestBody::Started { call, engine });
            }
            Input::Finished(program, sequence, attempt, tokens) => {
                let request = request(program, sequence, attempt);
                let usage = Usage {
                    prompt_tokens: Tokens(tokens),
                    cached_tokens: Tokens(tokens / 3),
                    completion_tokens: Tokens(10),
                };
                self.say(DispatchRequestBody::Finished { request, usage });
            }
            Input::Failed(program, sequence, attempt, engine_fault) => {
                let request = request(program, sequence, attempt);
                self.say(DispatchRequestBody::Failed {
                    request,
                    engine_fault,
                });
            }
            Input::Withdraw(program, sequence) => {
                let call = request(program, sequence, 1).call;
                self.say(DispatchRequestBody::Withdraw(call));
            }
            Input::Ended(number) => {
                let program = program(number);
                self.say(DispatchRequestBody::ProgramEnded(program));
            }
            Input::AnnounceComplete => self.say(DispatchRequestBody::AnnounceComplete),
            Input::NewTerm => self.term += 1,
            other => self.take_of_engines(other),
        }
    }

    fn take_of_engines(&mut self, input: Input) {
        let now = self.now;
        match input {
            Input::Directory(choice) => self.dispatcher.on_engines(now, &directory(choice)),
            Input::Load(engine, start, running) => {
                let load = EngineLoad {
                    running,
                    max_batch: 2,
                    total_blocks: 200,
                    block_tokens: 16,
                    start,
                    models: vec!["m1".into()],
                    ..EngineLoad::default()
                };
                let engine = ENGINES[engine].into();
                self.dispatcher.on_engine_load(now, &engine, load);
            }
            Input::Unreachable(engine) => {
                let engine = ENGINES[engine].into();
                self.dispatcher.on_engine_unreachable(now, &engine);
            }
            Input::Evicted(engine, number, left) => {
                self.event += 1 + left % 2;
                let event = CacheEvent {
                    number: self.event,
                    program: program(number),
                    change: CacheChange::Evicted(Tokens(left)),
                };
                let engine = ENGINES[engine].into();
                self.dispatcher.on_cache_event(now, &engine, event);
            }
            Input::Listing(engine, number) => {
                let entry = LeaseEntry {
                    program: program(number),
                    tokens: Tokens(160),
                    leased_for: Some(std::time::Duration::from_secs(5)),
                };
                let engine = ENGINES[engine].into();
                self.dispatcher.on_cache_listing(now, &engine, &[entry]);
            }
            Input::Policy(branches) => {
                self.version += 1;
                let policy = policy(self.version, branches).into();
                self.dispatcher.on_policy(now, policy);
            }
            Input::Pass(millis) => self.now = Timestamp(now.0 + millis * 1_000),
            _ => {}
        }
    }

    fn call(&self, number: u64, sequence: u64, attempt: u32, branch: usize) -> Box<WaitingCall> {
        Box::new(WaitingCall {
            call: request(number, sequence, attempt).call,
            attempt: Attempt(attempt),
            root: program(number),
            branch: BRANCHES[branch].parse().expect("valid"),
            model: "m1".into(),
            priority: number as i32 - 2,
            prompt_tokens: Tokens(100 * sequence),
            max_output: Tokens(50),
            attained: Tokens(sequence - 1),
            turn: sequence as u32 - 1,
            root_started_at: self.now,
            aim_at: Some(self.now + std::time::Duration::from_secs(2)),
            worth: 1.0,
            accepted_at: self.now,
            give_up_at: self.now + std::time::Duration::from_secs(9),
            last_engine: None,
            avoid: Vec::new(),
            repeatable: true,
        })
    }
}

fn pool() -> PoolId {
    PoolId {
        region: "r".into(),
        model: "m1".into(),
    }
}

fn program(number: u64) -> ProgramId {
    ProgramId {
        shard: ShardId(1),
        number,
    }
}

fn request(number: u64, sequence: u64, attempt: u32) -> RequestId {
    RequestId {
        call: CallId {
            program: program(number),
            sequence: Sequence(sequence),
        },
        attempt: Attempt(attempt),
    }
}

/// A directory in which each engine is absent, live or down, by the digits of a number in base three.
fn directory(choice: u8) -> Vec<EngineMember> {
    let mut rest = choice;
    let mut members = Vec::new();
    for engine in ENGINES {
        let state = match rest % 3 {
            0 => EngineState::Live,
            1 => EngineState::Down,
            _ => EngineState::Leaving,
        };
        if rest % 5 != 4 {
            members.push(EngineMember {
                engine: engine.into(),
                address: String::new(),
                region: "r".into(),
                zone: "z".into(),
                models: vec!["m1".into()],
                state,
            });
        }
        rest /= 3;
    }
    members
}

fn policy(version: u64, branches: usize) -> PolicySnapshot {
    let paths = BRANCHES.iter().take(branches.max(1));
    let branches = paths.map(|path| {
        let policy = BranchPolicy {
            floor: 0.1,
            ..BranchPolicy::default()
        };
        (path.parse().expect("valid"), policy)
    });
    PolicySnapshot {
        version: SettingsVersion(version),
        branches: branches.collect(),
        ..PolicySnapshot::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn tables_agree_after_any_messages(inputs in inputs()) {
        let mut run = Run::new();
        run.dispatcher.on_engines(run.now, &directory(0));
        for input in inputs {
            run.take(input);
            run.dispatcher.tick(run.now);
            check(&run.dispatcher.state);
            let late = run.dispatcher.next_wakeup().is_some_and(|at| at <= run.now);
            prop_assert!(!late, "a tick leaves nothing due");
        }
    }
}
