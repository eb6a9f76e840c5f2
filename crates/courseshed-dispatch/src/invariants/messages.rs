//! Generators of arbitrary messages, and a dispatcher to apply them to.

use courseshed_types::{
    Attempt, BranchPolicy, CallId, Incarnation, NodeId, PolicySnapshot, ProgramId, RequestId,
    Sequence, SettingsVersion, ShardId, Timestamp, Tokens, Usage,
    dispatch::{
        CacheChange, CacheEvent, DispatchRequest, DispatchRequestBody, DispatcherIdentity,
        EngineLoad, EngineMember, EngineState, LeaseEntry, PoolId, WaitingCall,
    },
};
use proptest::prelude::*;

use crate::{Dispatcher, DispatcherConfig, PolicyKind};

/// An input to the dispatcher. Ids are drawn from small ranges so that they often collide.
#[derive(Debug, Clone)]
pub(super) enum Input {
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
    AdvanceMillis(u64),
}

const BRANCHES: [&str; 4] = ["/", "a", "a/x", "b"];
pub(super) const ENGINES: [&str; 3] = ["e1", "e2", "e3"];

pub(super) fn inputs() -> impl Strategy<Value = Vec<Input>> {
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
        4 => (1u64..8_000).prop_map(Input::AdvanceMillis),
    ];
    prop::collection::vec(input, 1..200)
}

pub(super) struct Run {
    pub(super) dispatcher: Dispatcher,
    pub(super) now: Timestamp,
    term: u64,
    version: u64,
    event: u64,
}

impl Run {
    pub(super) fn new() -> Run {
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

    fn send(&mut self, body: DispatchRequestBody) {
        let request = DispatchRequest {
            pool: pool(),
            shard: ShardId(1),
            leader: NodeId(2),
            term: self.term,
            body,
        };
        self.dispatcher.on_request(self.now, request);
    }

    pub(super) fn apply(&mut self, input: Input) {
        match input {
            Input::Enqueue(program, sequence, attempt, branch) => {
                let call = self.call(program, sequence, attempt, branch);
                self.send(DispatchRequestBody::Enqueue(call));
            }
            Input::Started(program, sequence, attempt, engine) => {
                let call = self.call(program, sequence, attempt, 1);
                let engine = ENGINES[engine].into();
                self.send(DispatchRequestBody::Started { call, engine });
            }
            Input::Finished(program, sequence, attempt, tokens) => {
                let request = request(program, sequence, attempt);
                let usage = Usage {
                    prompt_tokens: Tokens(tokens),
                    cached_tokens: Tokens(tokens / 3),
                    completion_tokens: Tokens(10),
                };
                self.send(DispatchRequestBody::Finished { request, usage });
            }
            Input::Failed(program, sequence, attempt, engine_fault) => {
                let request = request(program, sequence, attempt);
                self.send(DispatchRequestBody::Failed {
                    request,
                    engine_fault,
                });
            }
            Input::Withdraw(program, sequence) => {
                let call = request(program, sequence, 1).call;
                self.send(DispatchRequestBody::Withdraw(call));
            }
            Input::Ended(number) => {
                let program = program(number);
                self.send(DispatchRequestBody::ProgramEnded(program));
            }
            Input::AnnounceComplete => self.send(DispatchRequestBody::AnnounceComplete),
            Input::NewTerm => self.term += 1,
            other => self.apply_engine_input(other),
        }
    }

    fn apply_engine_input(&mut self, input: Input) {
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
            Input::AdvanceMillis(millis) => self.now = Timestamp(now.0 + millis * 1_000),
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

/// An engine directory in which each engine is absent, live, down or leaving, as derived from
/// `choice`.
pub(super) fn directory(choice: u8) -> Vec<EngineMember> {
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
