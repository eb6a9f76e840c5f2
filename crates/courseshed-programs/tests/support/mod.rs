//! A shard of one replica whose log commits at once, driven by hand in virtual time.
#![allow(dead_code)] // each test file uses a part

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_programs::{
    LeaderConfig, RequestToken, Shard, ShardCommand, ShardOutput, ShardRole, decode_command,
    encode_command,
};
use courseshed_types::{
    Attempt, BranchPath, BranchPolicy, CallAnswer, CallError, CallId, CallRequest, ChatRole,
    EngineId, FinishReason, ModelName, NodeId, PolicySnapshot, ProgramId, RequestId, Sequence,
    SettingsVersion, ShardId, Timestamp, Tokens, Usage,
    chat::ChatMessage,
    control::{Grant, GrantRequest},
    dispatch::{DispatchEvent, DispatchEventBody, DispatchRequestBody, DispatcherIdentity, PoolId},
    policy::PeriodBudget,
    program::{EndReason, NewProgram, ProgramView},
    shard::{
        AttemptReport, AttemptResult, ShardReply, ShardRequest, ShardRequestBody, StartOrder,
        SubmitCall,
    },
};

pub const SHARD: ShardId = ShardId(1);
pub const NODE: NodeId = NodeId(7);
pub const GATEWAY: NodeId = NodeId(9);
pub const BRANCH: &str = "guild/quotes";

pub fn model() -> ModelName {
    ModelName::from("m")
}

pub fn branch(path: &str) -> BranchPath {
    path.parse().expect("valid")
}

pub fn policy() -> PolicySnapshot {
    let mut snapshot = PolicySnapshot {
        version: SettingsVersion(1),
        models: vec![model()],
        ..PolicySnapshot::default()
    };
    for path in ["", "guild", BRANCH] {
        let policy = BranchPolicy {
            default_model: Some(model()),
            ..BranchPolicy::default()
        };
        snapshot.branches.insert(branch(path), policy);
    }
    snapshot
}

pub fn with_budget(tokens: u64) -> PolicySnapshot {
    let mut snapshot = policy();
    let guild = snapshot.branches.get_mut("guild").expect("present");
    guild.budget = Some(PeriodBudget {
        tokens: Tokens(tokens),
        period: Duration::from_secs(3_600),
    });
    snapshot
}

pub struct Harness {
    pub shard: Shard,
    pub now: Timestamp,
    pub log: Vec<Vec<u8>>,
    pub outputs: Vec<ShardOutput>,
    pub replies: BTreeMap<RequestToken, ShardReply>,
    /// Commands wait here instead of being applied at once.
    pub hold: bool,
    pub held: Vec<ShardCommand>,
    next_token: u64,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_policy(policy())
    }

    pub fn with_policy(policy: PolicySnapshot) -> Harness {
        let config = LeaderConfig::new(NODE, SHARD, "tas".into());
        let mut shard = Shard::new(config);
        shard.on_policy(Arc::new(policy), Timestamp::MAX);
        let mut harness = Harness {
            shard,
            now: Timestamp::from_millis(10_000),
            log: Vec::new(),
            outputs: Vec::new(),
            replies: BTreeMap::new(),
            hold: false,
            held: Vec::new(),
            next_token: 0,
        };
        harness.lead(1);
        harness
    }

    pub fn lead(&mut self, term: u64) {
        self.shard
            .on_role_change(self.now, ShardRole::Leader { term });
        self.run();
    }

    pub fn follow(&mut self) {
        let role = ShardRole::Follower { leader: None };
        self.shard.on_role_change(self.now, role);
        self.run();
    }

    pub fn release(&mut self) {
        self.hold = false;
        for command in std::mem::take(&mut self.held) {
            self.commit(&command);
        }
        self.run();
    }

    pub fn commit(&mut self, command: &ShardCommand) {
        let bytes = encode_command(command).expect("encodes");
        assert_eq!(&decode_command(&bytes).expect("decodes"), command);
        self.log.push(bytes);
        let index = self.log.len() as u64;
        self.shard.apply(self.now, index, command);
    }

    pub fn run(&mut self) {
        loop {
            let outputs = self.shard.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.handle(output);
            }
        }
    }

    fn handle(&mut self, output: ShardOutput) {
        match output {
            ShardOutput::Propose(command) if self.hold => self.held.push(*command),
            ShardOutput::Propose(command) => self.commit(&command),
            ShardOutput::Reply { token, reply } => {
                let before = self.replies.insert(token, *reply);
                assert_eq!(before, None, "one reply per token");
            }
            other => self.outputs.push(other),
        }
    }

    pub fn send(&mut self, body: ShardRequestBody) -> RequestToken {
        self.next_token += 1;
        let token = RequestToken(self.next_token);
        let request = ShardRequest { shard: SHARD, body };
        self.shard.on_request(self.now, token, request);
        self.run();
        token
    }

    pub fn ask(&mut self, body: ShardRequestBody) -> ShardReply {
        let token = self.send(body);
        self.reply(token).expect("answered at once")
    }

    pub fn reply(&self, token: RequestToken) -> Option<ShardReply> {
        self.replies.get(&token).cloned()
    }

    pub fn error(&self, token: RequestToken) -> CallError {
        match self.reply(token) {
            Some(ShardReply::Error(error)) => error,
            other => panic!("expected an error, got {other:?}"),
        }
    }

    pub fn start(&self, token: RequestToken) -> StartOrder {
        match self.reply(token) {
            Some(ShardReply::Start(order)) => *order,
            other => panic!("expected an order to start, got {other:?}"),
        }
    }

    pub fn create(&mut self) -> ProgramId {
        self.create_with(|_| {}).id
    }

    pub fn create_with(&mut self, change: impl Fn(&mut NewProgram)) -> ProgramView {
        let mut new = new_program();
        change(&mut new);
        match self.ask(ShardRequestBody::CreateProgram(new)) {
            ShardReply::Program(view) => view,
            other => panic!("expected a program, got {other:?}"),
        }
    }

    pub fn view(&mut self, program: ProgramId) -> ProgramView {
        match self.ask(ShardRequestBody::GetProgram(program)) {
            ShardReply::Program(view) => view,
            other => panic!("expected a program, got {other:?}"),
        }
    }

    pub fn history(&mut self, program: ProgramId) -> Vec<ChatMessage> {
        match self.ask(ShardRequestBody::GetHistory(program)) {
            ShardReply::History(messages) => messages,
            other => panic!("expected a history, got {other:?}"),
        }
    }

    pub fn submit(&mut self, program: ProgramId, sequence: u64, text: &str) -> RequestToken {
        self.send(ShardRequestBody::SubmitCall(call(program, sequence, text)))
    }

    pub fn assign(&mut self, call: CallId, attempt: u32) {
        self.dispatcher(DispatchEventBody::Assigned {
            call,
            attempt: Attempt(attempt),
            engine: engine(),
            engine_address: "127.0.0.1:9".to_owned(),
            priority: 0,
        });
    }

    pub fn dispatcher(&mut self, body: DispatchEventBody) {
        let event = DispatchEvent {
            shard: SHARD,
            pool: PoolId {
                region: "tas".into(),
                model: model(),
            },
            dispatcher: DispatcherIdentity {
                node: NODE,
                incarnation: courseshed_types::Incarnation(1),
            },
            body,
        };
        self.shard.on_dispatch_event(self.now, event);
        self.run();
    }

    pub fn report(&mut self, request: RequestId, result: AttemptResult) -> RequestToken {
        self.send(ShardRequestBody::ReportAttempt(AttemptReport {
            request,
            result,
            gateway: GATEWAY,
        }))
    }

    /// A whole call: submitted, assigned, started and answered.
    pub fn answer(&mut self, program: ProgramId, sequence: u64, text: &str) -> ShardReply {
        let token = self.submit(program, sequence, text);
        self.assign(call_id(program, sequence), 1);
        let order = self.start(token);
        let answer = answer_to(&order, "ok");
        let token = self.report(order.call.request, AttemptResult::Answered(answer));
        self.reply(token).expect("answered")
    }

    pub fn end(&mut self, program: ProgramId) {
        self.ask(ShardRequestBody::EndProgram {
            program,
            reason: EndReason::Caller,
        });
    }

    pub fn wait(&mut self, duration: Duration) {
        self.now += duration;
        self.shard.tick(self.now);
        self.run();
    }

    pub fn grant_requests(&mut self) -> Vec<GrantRequest> {
        let taken = std::mem::take(&mut self.outputs);
        let requests = taken.into_iter().filter_map(|output| match output {
            ShardOutput::RequestGrant(request) => Some(request),
            _ => None,
        });
        requests.collect()
    }

    pub fn grant(&mut self, request: GrantRequest, granted: u64) {
        let grant = Grant {
            request,
            granted: Tokens(granted),
        };
        self.shard.on_grant(self.now, grant);
        self.run();
    }

    /// Words to the dispatcher since they were last taken.
    pub fn dispatches(&mut self) -> Vec<DispatchRequestBody> {
        let taken = std::mem::take(&mut self.outputs);
        let requests = taken.into_iter().filter_map(|output| match output {
            ShardOutput::Dispatch(request) => Some(request.body),
            _ => None,
        });
        requests.collect()
    }

    pub fn queries(&mut self) -> Vec<RequestId> {
        let taken = std::mem::take(&mut self.outputs);
        let queries = taken.into_iter().filter_map(|output| match output {
            ShardOutput::QueryEngine(query) => Some(query.request),
            _ => None,
        });
        queries.collect()
    }
}

pub fn engine() -> EngineId {
    EngineId::from("e1")
}

pub fn new_program() -> NewProgram {
    NewProgram {
        branch: branch(BRANCH),
        kind: None,
        aim: None,
        worth: None,
        parent: None,
        idempotency_key: None,
    }
}

pub fn call_id(program: ProgramId, sequence: u64) -> CallId {
    CallId {
        program,
        sequence: Sequence(sequence),
    }
}

pub fn user(text: &str) -> ChatMessage {
    ChatMessage::text(ChatRole::User, text)
}

pub fn assistant(text: &str) -> ChatMessage {
    ChatMessage::text(ChatRole::Assistant, text)
}

pub fn call(program: ProgramId, sequence: u64, text: &str) -> SubmitCall {
    SubmitCall {
        program,
        sequence: Some(Sequence(sequence)),
        idempotency_key: None,
        call: CallRequest {
            model: None,
            messages: vec![user(text)],
            max_tokens: Some(Tokens(10)),
            repeatable: false,
            parameters: Default::default(),
        },
        full_history: false,
        gateway: GATEWAY,
    }
}

pub fn answer_to(order: &StartOrder, text: &str) -> CallAnswer {
    CallAnswer {
        message: assistant(text),
        finish_reason: FinishReason::Stop,
        usage: Usage {
            prompt_tokens: Tokens(order.call.messages.len() as u64 * 5),
            cached_tokens: Tokens(0),
            completion_tokens: Tokens(3),
        },
        attempt: order.call.request.attempt,
        engine: order.engine.clone(),
    }
}
