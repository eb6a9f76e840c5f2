//! The world of the specification: one shard under a chain of leaders, gateways, a dispatcher and an engine.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    hash::Hash,
    sync::Arc,
    time::Duration,
};

use courseshed_types::{
    BranchPath, BranchPolicy, CallId, ModelName, NodeId, PolicySnapshot, ProgramId, RequestId,
    Sequence, SettingsVersion, ShardId, Timestamp, Verdict,
    dispatch::DispatchRequestBody,
    program::NewProgram,
    shard::{ShardReply, ShardRequest, ShardRequestBody},
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    observer::{Observer, SeenOutcome},
    scenario::{Defect, Faults, Scenario},
};
use crate::{
    command::{CommandBody, ShardCommand},
    leader::{LeaderConfig, RequestToken, ShardOutput, ShardRole},
    model::search::{World, hash_encoded},
    shard::Shard,
};

pub(super) const SHARD: ShardId = ShardId(1);
pub(super) const GATEWAY: NodeId = NodeId(9);
/// One step of time: longer than an order to start is valid, two of them longer than any gateway may follow it.
pub(super) const STEP: Duration = Duration::from_secs(4);
/// A call waits this long for an engine.
const QUEUE_WAIT: Duration = Duration::from_secs(8);

/// A message under way, or a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Message {
    /// A gateway hands a copy of a call over.
    Submit { token: u64, sequence: u64 },
    /// The shard answers.
    Reply { sequence: u64, answer: Answer },
    /// A gateway sends an attempt to the engine.
    Start {
        request: RequestId,
        until: Timestamp,
    },
    /// A gateway reports the end of an attempt.
    Report { request: RequestId, end: RunEnd },
    /// The leader asks the engine.
    Query {
        request: RequestId,
        dispatched_at: Timestamp,
    },
    /// The engine answers the leader.
    Finding { request: RequestId, found: Found },
}

impl Message {
    /// The message, for traces.
    pub fn describe(&self) -> String {
        match self {
            Message::Submit { sequence, .. } => format!("a copy of call {sequence} at the shard"),
            Message::Reply { sequence, answer } => {
                format!("at the gateway of call {sequence}: {}", answer.describe())
            }
            Message::Start { request, .. } => format!("attempt {request} at the engine"),
            Message::Report { request, end } => format!("the report that {request} ended {end:?}"),
            Message::Query { request, .. } => format!("the question about {request} at the engine"),
            Message::Finding { request, found } => {
                format!("the finding about {request}: {found:?}")
            }
        }
    }
}

impl Answer {
    fn describe(&self) -> String {
        match self {
            Answer::Order { request, .. } => format!("the order to start {request}"),
            Answer::Outcome(outcome) => format!("the outcome {outcome:?}"),
            Answer::Refused(verdict) => format!("an error, {verdict}"),
            Answer::Other => "another answer".to_owned(),
        }
    }
}

/// What a reply says, as far as it matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Answer {
    Order {
        request: RequestId,
        until: Timestamp,
    },
    Outcome(SeenOutcome),
    Refused(Verdict),
    Other,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum RunEnd {
    Answered,
    Failed,
    NotStarted,
    Lost,
}

/// What the engine tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Found {
    NeverStarted,
    Running,
    Answered,
    Failed,
    Forgotten,
    Unreachable,
}

/// What the engine knows of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Run {
    Refused,
    Running,
    Answered,
    Failed,
}

/// The engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Engine {
    pub runs: BTreeMap<RequestId, Run>,
    /// When it last restarted.
    pub started_at: Option<Timestamp>,
    /// All attempts it ever answered; survives restarts, for the observer.
    pub answered: BTreeSet<RequestId>,
}

/// One state of the world.
#[derive(Debug, Clone)]
pub(super) struct CallWorld {
    pub calls: u64,
    pub copies: u8,
    pub repeatable: bool,
    pub defect: Defect,
    pub left: Faults,
    pub shard: Shard,
    pub term: u64,
    pub index: u64,
    pub now: Timestamp,
    pub programs: Vec<ProgramId>,
    pub pending: VecDeque<ShardCommand>,
    pub network: Vec<Message>,
    /// The call each request under way is about.
    pub tokens: BTreeMap<RequestToken, u64>,
    pub assignable: BTreeSet<RequestId>,
    pub engine: Engine,
    pub seen: Observer,
}

impl CallWorld {
    pub fn new(scenario: &Scenario, defect: Defect) -> CallWorld {
        let mut world = CallWorld {
            calls: scenario.calls,
            copies: scenario.copies,
            repeatable: scenario.repeatable,
            defect,
            left: scenario.faults,
            shard: new_shard(),
            term: 1,
            index: 0,
            now: Timestamp::from_millis(1_000),
            programs: Vec::new(),
            pending: VecDeque::new(),
            network: Vec::new(),
            tokens: BTreeMap::new(),
            assignable: BTreeSet::new(),
            engine: Engine::default(),
            seen: Observer::default(),
        };
        let role = ShardRole::Leader { term: 1 };
        world.shard.on_role_change(world.now, role);
        for _ in 0..scenario.calls {
            world.create_program();
        }
        world
    }

    fn create_program(&mut self) {
        let new = NewProgram {
            branch: BranchPath::root(),
            kind: None,
            aim: None,
            worth: None,
            parent: None,
            idempotency_key: None,
        };
        let token = self.token(0);
        self.request(token, ShardRequestBody::CreateProgram(new));
        self.commit_next();
        self.network.clear();
        self.tokens.clear();
        let last = self.shard.state().programs().last().map(|record| record.id);
        self.programs.extend(last);
    }

    /// The id of the caller's n-th call.
    pub fn call_id(&self, sequence: u64) -> CallId {
        let is_split = self.defect == Defect::OrderNotKept;
        let place = if is_split { sequence as usize - 1 } else { 0 };
        CallId {
            program: self.programs[place],
            sequence: Sequence(if is_split { 1 } else { sequence }),
        }
    }

    fn is_accepted(&self, sequence: u64) -> bool {
        let call = self.call_id(sequence);
        self.shard.state().call(call).is_some()
    }

    /// The caller's number of a call.
    pub fn sequence_of(&self, call: CallId) -> u64 {
        let numbers = 1..=self.calls;
        let mut numbers = numbers.filter(|number| self.call_id(*number) == call);
        numbers.next().unwrap_or(0)
    }

    /// Whether all calls before this one are settled.
    pub fn earlier_settled(&self, sequence: u64) -> bool {
        let state = self.shard.state();
        (1..sequence).all(|earlier| state.outcome(self.call_id(earlier)).is_some())
    }

    /// The lowest free token: states that differ only in the numbers of old requests are the same.
    pub fn token(&mut self, sequence: u64) -> RequestToken {
        let is_free = |number: &u64| !self.tokens.contains_key(&RequestToken(*number));
        let number = (1..).find(is_free).unwrap_or_default();
        let token = RequestToken(number);
        self.tokens.insert(token, sequence);
        token
    }

    pub fn request(&mut self, token: RequestToken, body: ShardRequestBody) {
        let request = ShardRequest { shard: SHARD, body };
        self.shard.on_request(self.now, token, request);
        self.collect();
    }

    /// Commits and applies the oldest proposal.
    pub fn commit_next(&mut self) {
        if let Some(command) = self.pending.pop_front() {
            self.index += 1;
            self.shard.apply(self.now, self.index, &command);
            self.collect();
        }
    }

    /// Turns the shard's outputs into proposals and messages.
    pub fn collect(&mut self) {
        for output in self.shard.take_outputs() {
            match output {
                ShardOutput::Propose(command) => self.proposed(*command),
                ShardOutput::Reply { token, reply } => self.replied(token, &reply),
                ShardOutput::Dispatch(request) => self.told_dispatcher(request.body),
                ShardOutput::QueryEngine(query) => self.send(Message::Query {
                    request: query.request,
                    dispatched_at: query.dispatched_at,
                }),
                ShardOutput::RequestGrant(_) | ShardOutput::ReturnGrant(_) => {}
            }
        }
    }

    fn proposed(&mut self, command: ShardCommand) {
        let command = self.break_proposal(command);
        self.pending.push_back(command);
    }

    fn replied(&mut self, token: RequestToken, reply: &ShardReply) {
        let Some(sequence) = self.tokens.remove(&token) else {
            return;
        };
        if let ShardReply::Error(error) = reply {
            let is_accepted = sequence > 0 && self.is_accepted(sequence);
            self.seen.shard_refused(error.verdict, is_accepted);
        }
        let answer = match reply {
            ShardReply::Start(order) => Answer::Order {
                request: order.call.request,
                until: order.valid_until,
            },
            ShardReply::Outcome(settled) => Answer::Outcome(SeenOutcome::of(&settled.outcome)),
            ShardReply::Error(_) if self.defect == Defect::DoubtDenied => {
                Answer::Refused(Verdict::NotRun)
            }
            ShardReply::Error(error) => Answer::Refused(error.verdict),
            _ => Answer::Other,
        };
        if answer != Answer::Other {
            self.send(Message::Reply { sequence, answer });
        }
    }

    fn told_dispatcher(&mut self, body: DispatchRequestBody) {
        match body {
            DispatchRequestBody::Enqueue(waiting) => {
                self.assignable.insert(RequestId {
                    call: waiting.call,
                    attempt: waiting.attempt,
                });
            }
            DispatchRequestBody::Withdraw(call) => {
                self.assignable.retain(|request| request.call != call);
            }
            _ => {}
        }
    }

    /// Puts a message under way. The order of messages does not matter, and equal ones count as one: what comes
    /// twice is bounded by the faults.
    pub fn send(&mut self, message: Message) {
        if let Err(place) = self.network.binary_search(&message) {
            self.network.insert(place, message);
        }
    }

    /// Replaces the leader. The first `kept` proposals are in the log of the new one.
    pub fn change_leader(&mut self, kept: usize) {
        let role = ShardRole::Follower { leader: None };
        self.shard.on_role_change(self.now, role);
        self.collect();
        self.pending.truncate(kept);
        // The old leader answered its callers; what is committed now was not proposed by the new one.
        while !self.pending.is_empty() {
            self.commit_next();
        }
        self.assignable.clear();
        self.term += 1;
        let role = ShardRole::Leader { term: self.term };
        self.shard.on_role_change(self.now, role);
        self.collect();
    }

    fn break_proposal(&mut self, mut command: ShardCommand) -> ShardCommand {
        match (&command.body, self.defect) {
            (CommandBody::DispatchCall(dispatch), Defect::StartBeforeCommit) => {
                let request = dispatch.request;
                let until = self.now + STEP;
                self.send(Message::Start { request, until });
            }
            (CommandBody::RefuseCall { call, error }, Defect::RefusalNotCommitted) => {
                let sequence = self.sequence_of(*call);
                let answer = Answer::Outcome(SeenOutcome::Failed(error.verdict));
                self.send(Message::Reply { sequence, answer });
            }
            (
                CommandBody::FailCall {
                    request, charge, ..
                },
                Defect::RepeatsAnything,
            ) => {
                command.body = CommandBody::RetryCall(crate::command::RetryCall {
                    request: *request,
                    charge: *charge,
                    not_before: self.now,
                    engine_fault: false,
                    give_up_at: self.now + QUEUE_WAIT,
                    budgets: Vec::new(),
                });
            }
            _ => {}
        }
        command
    }
}

impl World for CallWorld {
    fn fingerprint(&self, hasher: &mut Xxh3) {
        self.shard.state().hash_contents(hasher);
        self.shard.leader().hash_soft_state(hasher);
        for command in &self.pending {
            hash_encoded(&command.body, hasher);
        }
        self.left.hash(hasher);
        self.now.hash(hasher);
        self.network.hash(hasher);
        self.tokens.hash(hasher);
        self.assignable.hash(hasher);
        self.engine.hash(hasher);
        self.seen.hash(hasher);
    }

    fn successors(&self) -> Vec<(String, CallWorld)> {
        match self.violation() {
            Some(_) => Vec::new(),
            None => self.all_steps(),
        }
    }

    fn violation(&self) -> Option<&'static str> {
        self.seen.violation()
    }
}

fn new_shard() -> Shard {
    let mut config = LeaderConfig::new(NodeId(1), SHARD, "region".into());
    config.stream_silence = STEP;
    config.retry_base = Duration::ZERO;
    config.retry_cap = Duration::ZERO;
    config.runner_wait = QUEUE_WAIT;
    config.unreachable_limit = Duration::ZERO;
    config.max_attempts = 3;
    let mut shard = Shard::new(config);
    shard.on_policy(Arc::new(policy()), Timestamp::MAX);
    shard
}

fn policy() -> PolicySnapshot {
    let mut root = BranchPolicy {
        default_model: Some(ModelName::from("m")),
        ..BranchPolicy::default()
    };
    root.limits.queue_wait = QUEUE_WAIT;
    PolicySnapshot {
        version: SettingsVersion(1),
        branches: BTreeMap::from([(BranchPath::root(), root)]),
        ..PolicySnapshot::default()
    }
}
