//! Test driver: a dispatcher for one pool, with hand-made calls and virtual time.
#![allow(dead_code)]

use std::{sync::Arc, time::Duration};

use courseshed_dispatch::{DispatchOutput, Dispatcher, DispatcherConfig, PolicyKind};
use courseshed_types::{
    Attempt, BranchPath, BranchPolicy, CallId, EngineId, Incarnation, NodeId, PolicySnapshot,
    ProgramId, RequestId, Sequence, SettingsVersion, ShardId, Timestamp, Tokens, Usage,
    dispatch::{
        DispatchEventBody, DispatchRequest, DispatchRequestBody, DispatcherIdentity, EngineLoad,
        EngineMember, EngineOrder, EngineState, PoolId, WaitingCall,
    },
};

pub const SHARD: ShardId = ShardId(1);
pub const LEADER: NodeId = NodeId(7);

/// An assignment received by the shard.
#[derive(Debug, Clone, PartialEq)]
pub struct Assigned {
    pub call: CallId,
    pub attempt: Attempt,
    pub engine: EngineId,
    pub priority: i32,
}

pub struct Driver {
    pub dispatcher: Dispatcher,
    pub now: Timestamp,
    pub term: u64,
    pub assigned: Vec<Assigned>,
    pub shed: Vec<(CallId, courseshed_types::CallError)>,
    pub checked_programs: Vec<ProgramId>,
    pub announce_requests: usize,
    pub orders: Vec<EngineOrder>,
}

pub fn pool() -> PoolId {
    PoolId {
        region: "south".into(),
        model: "m1".into(),
    }
}

pub fn branch(path: &str) -> BranchPath {
    path.parse().expect("a valid path")
}

pub fn member(engine: &str) -> EngineMember {
    EngineMember {
        engine: engine.into(),
        address: format!("127.0.0.1:{engine}"),
        region: "south".into(),
        zone: "south-a".into(),
        models: vec!["m1".into()],
        state: EngineState::Live,
    }
}

/// A load report with batch size `max_batch` and 4,096 blocks of 16 tokens.
pub fn load(running: u32, max_batch: u32) -> EngineLoad {
    EngineLoad {
        running,
        max_batch,
        total_blocks: 4_096,
        free_blocks: 4_096,
        block_tokens: 16,
        start: 1,
        models: vec!["m1".into()],
        ..EngineLoad::default()
    }
}

/// A policy from (path, share) pairs; the root is added.
pub fn policy(shares: &[(&str, f64)]) -> PolicySnapshot {
    let mut snapshot = PolicySnapshot {
        version: SettingsVersion(1),
        ..PolicySnapshot::default()
    };
    snapshot
        .branches
        .insert(BranchPath::root(), BranchPolicy::default());
    for (path, share) in shares {
        let policy = BranchPolicy {
            share: *share,
            ..BranchPolicy::default()
        };
        snapshot.branches.insert(branch(path), policy);
    }
    snapshot
}

pub fn program(number: u64) -> ProgramId {
    ProgramId {
        shard: SHARD,
        number,
    }
}

/// Call `sequence` of a program: first attempt, 500 prompt tokens.
pub fn call(number: u64, sequence: u64, path: &str, now: Timestamp) -> WaitingCall {
    WaitingCall {
        call: CallId {
            program: program(number),
            sequence: Sequence(sequence),
        },
        attempt: Attempt(1),
        root: program(number),
        branch: branch(path),
        model: "m1".into(),
        priority: 0,
        prompt_tokens: Tokens(500),
        max_output: Tokens(100),
        attained: Tokens(0),
        turn: sequence as u32 - 1,
        root_started_at: now,
        aim_at: None,
        worth: 1.0,
        accepted_at: now,
        give_up_at: now + Duration::from_secs(60),
        last_engine: None,
        avoid: Vec::new(),
        repeatable: true,
    }
}

impl Driver {
    pub fn new(kind: PolicyKind, config: DispatcherConfig) -> Driver {
        let now = Timestamp::from_millis(1_000);
        let identity = DispatcherIdentity {
            node: NodeId(1),
            incarnation: Incarnation(1),
        };
        Driver {
            dispatcher: Dispatcher::new(pool(), identity, config, kind, now),
            now,
            term: 1,
            assigned: Vec::new(),
            shed: Vec::new(),
            checked_programs: Vec::new(),
            announce_requests: 0,
            orders: Vec::new(),
        }
    }

    /// A driver whose engines have reported batch size `max_batch`, without slot overcommit.
    pub fn with_engines(engines: &[&str], max_batch: u32) -> Driver {
        let config = DispatcherConfig {
            slot_overcommit: 0.0,
            ..DispatcherConfig::default()
        };
        let mut driver = Driver::new(PolicyKind::Courseshed, config);
        driver.list_engines(engines);
        for engine in engines {
            driver.report(engine, load(0, max_batch));
        }
        driver
    }

    pub fn set_policy(&mut self, policy: PolicySnapshot) {
        self.dispatcher.on_policy(self.now, Arc::new(policy));
    }

    pub fn list_engines(&mut self, engines: &[&str]) {
        let members: Vec<EngineMember> = engines.iter().map(|engine| member(engine)).collect();
        self.dispatcher.on_engines(self.now, &members);
    }

    pub fn report(&mut self, engine: &str, load: EngineLoad) {
        self.dispatcher
            .on_engine_load(self.now, &engine.into(), load);
    }

    pub fn send(&mut self, body: DispatchRequestBody) {
        let request = DispatchRequest {
            pool: pool(),
            shard: SHARD,
            leader: LEADER,
            term: self.term,
            body,
        };
        self.dispatcher.on_request(self.now, request);
    }

    pub fn enqueue(&mut self, call: WaitingCall) {
        self.send(DispatchRequestBody::Enqueue(Box::new(call)));
    }

    pub fn started(&mut self, call: WaitingCall, engine: &str) {
        let engine = engine.into();
        let call = Box::new(call);
        self.send(DispatchRequestBody::Started { call, engine });
    }

    pub fn finished(&mut self, call: CallId, usage: Usage) {
        let request = RequestId {
            call,
            attempt: Attempt(1),
        };
        self.send(DispatchRequestBody::Finished { request, usage });
    }

    pub fn failed(&mut self, call: CallId, engine_fault: bool) {
        let request = RequestId {
            call,
            attempt: Attempt(1),
        };
        self.send(DispatchRequestBody::Failed {
            request,
            engine_fault,
        });
    }

    /// Ticks the dispatcher, records its outputs, and returns the new assignments.
    pub fn tick(&mut self) -> Vec<Assigned> {
        self.dispatcher.tick(self.now);
        let mut assigned = Vec::new();
        for output in self.dispatcher.take_outputs() {
            match output {
                DispatchOutput::Order(order) => self.orders.push(order),
                DispatchOutput::Event { to, event } => {
                    assert_eq!(to, LEADER);
                    self.record_event(event.body, &mut assigned);
                }
            }
        }
        self.assigned.extend(assigned.iter().cloned());
        assigned
    }

    /// Advances time, ticking at every wakeup, and returns the new assignments.
    pub fn advance(&mut self, time: Duration) -> Vec<Assigned> {
        let end = self.now + time;
        let mut assigned = Vec::new();
        while let Some(at) = self.dispatcher.next_wakeup().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            assigned.extend(self.tick());
        }
        self.now = end;
        assigned.extend(self.tick());
        assigned
    }

    fn record_event(&mut self, body: DispatchEventBody, assigned: &mut Vec<Assigned>) {
        match body {
            DispatchEventBody::Assigned {
                call,
                attempt,
                engine,
                priority,
                ..
            } => assigned.push(Assigned {
                call,
                attempt,
                engine,
                priority,
            }),
            DispatchEventBody::Shed { call, error } => self.shed.push((call, error)),
            DispatchEventBody::AnnounceAll => self.announce_requests += 1,
            DispatchEventBody::CheckPrograms(programs) => self.checked_programs.extend(programs),
        }
    }
}

pub fn usage(prompt: u64, cached: u64, output: u64) -> Usage {
    Usage {
        prompt_tokens: Tokens(prompt),
        cached_tokens: Tokens(cached),
        completion_tokens: Tokens(output),
    }
}
