//! A gateway: what it does for each call, by the rules of the daemon's gateway.
//!
//! "Not run" is said only if no replica was ever handed the request, or the shard's leader said so.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    CallError, CallId, ErrorCode, NodeId, RequestId, Timestamp, Verdict,
    shard::{AttemptReport, AttemptResult, ShardReply, ShardRequestBody},
};

use super::{
    gateway_streams::Streaming,
    options::FleetVariant,
    wire::{
        AskId, CallerAnswer, CallerId, CallerReply, CopyId, Party, Payload, StreamId, program_of,
    },
};

const RETRY_BASE: Duration = Duration::from_millis(20);
const RETRY_LIMIT: Duration = Duration::from_millis(400);
const FOLLOW_PAUSE: Duration = Duration::from_millis(200);
const ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Redirects followed without a wait.
const MAX_REDIRECTS: u32 = 4;

/// How long a request may take: until a leader has it, and until it is answered.
#[derive(Debug, Clone, Copy)]
struct Patience {
    find_leader: Duration,
    answer: Duration,
}

const PROMPT: Patience = Patience {
    find_leader: Duration::from_secs(8),
    answer: Duration::from_secs(8),
};
const FOR_CALLS: Patience = Patience {
    find_leader: Duration::from_secs(8),
    answer: Duration::from_secs(25),
};
const FOR_REPORTS: Patience = Patience {
    find_leader: Duration::from_secs(60),
    answer: Duration::from_secs(120),
};

/// A question to the shard, until its answer.
#[derive(Debug)]
pub(super) struct Asking {
    body: ShardRequestBody,
    find_deadline: Duration,
    deadline: Duration,
    under_way: Option<(AskId, NodeId)>,
    retry_at: Duration,
    wait: Duration,
    doubt: bool,
    hint: Option<NodeId>,
    tries: u32,
}

/// What a task waits for.
#[derive(Debug)]
pub(super) enum Stage {
    Asking(Asking),
    Streaming(Streaming),
    /// Another gateway runs the call; look again later.
    Following {
        call: CallId,
        at: Duration,
    },
}

/// One request of a caller.
#[derive(Debug)]
pub(super) struct Task {
    pub caller: CallerId,
    pub stage: Stage,
}

/// A gateway.
#[derive(Debug)]
pub struct Gateway {
    pub(super) node: NodeId,
    pub(super) variant: FleetVariant,
    pub(super) tasks: BTreeMap<CopyId, Task>,
    pub(super) outputs: Vec<(Party, Payload)>,
    replicas: Vec<NodeId>,
    leader: Option<NodeId>,
    last_number: u64,
    next_alive: Duration,
    pub is_draining: bool,
}

impl Gateway {
    /// A gateway whose names for questions and streams start after `first_number`.
    pub fn new(
        node: NodeId,
        replicas: Vec<NodeId>,
        first_number: u64,
        variant: FleetVariant,
    ) -> Gateway {
        Gateway {
            node,
            variant,
            tasks: BTreeMap::new(),
            outputs: Vec::new(),
            replicas,
            leader: None,
            last_number: first_number,
            next_alive: Duration::ZERO,
            is_draining: false,
        }
    }

    pub fn take_outputs(&mut self) -> Vec<(Party, Payload)> {
        std::mem::take(&mut self.outputs)
    }

    /// Requests under way, with their callers.
    pub fn under_way(&self) -> Vec<(CopyId, CallerId)> {
        let tasks = self.tasks.iter();
        tasks.map(|(copy, task)| (*copy, task.caller)).collect()
    }

    pub fn forget_leader(&mut self, node: NodeId) {
        if self.leader == Some(node) {
            self.leader = None;
        }
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Takes a caller's request.
    pub fn on_request(
        &mut self,
        now: Duration,
        caller: CallerId,
        copy: CopyId,
        mut body: ShardRequestBody,
    ) {
        if self.is_draining {
            let error = CallError::not_run(ErrorCode::Draining, "the node is stopping");
            return self.answer(caller, copy, Err(error));
        }
        if let ShardRequestBody::SubmitCall(submit) = &mut body {
            submit.gateway = self.node;
        }
        let patience = match &body {
            ShardRequestBody::SubmitCall(_) | ShardRequestBody::AttachCall(_) => FOR_CALLS,
            _ => PROMPT,
        };
        let stage = Stage::Asking(asking(now, body, patience));
        self.tasks.insert(copy, Task { caller, stage });
        self.advance_ask(now, copy);
    }

    fn answer(&mut self, caller: CallerId, copy: CopyId, answer: CallerAnswer) {
        let reply = CallerReply::Answered(Box::new(answer));
        let payload = Payload::Reply { copy, reply };
        self.outputs.push((Party::Caller(caller), payload));
    }

    fn finish(&mut self, copy: CopyId, answer: CallerAnswer) {
        let Some(task) = self.tasks.remove(&copy) else {
            return;
        };
        let mut to = (task.caller, copy);
        let is_outcome = matches!(answer, Ok(ShardReply::Outcome(_)));
        if self.variant == FleetVariant::GatewayMixesAnswers && is_outcome {
            let other = self.tasks.iter().next();
            to = other.map_or(to, |(copy, task)| (task.caller, *copy));
            self.tasks.remove(&to.1);
        }
        self.answer(to.0, to.1, answer);
    }

    pub(super) fn ask(&mut self, now: Duration, copy: CopyId, body: ShardRequestBody) {
        let patience = match &body {
            ShardRequestBody::ReportAttempt(_) => FOR_REPORTS,
            _ => FOR_CALLS,
        };
        if let Some(task) = self.tasks.get_mut(&copy) {
            task.stage = Stage::Asking(asking(now, body, patience));
            self.advance_ask(now, copy);
        }
    }

    /// Sends the question, if it is due, or gives up.
    fn advance_ask(&mut self, now: Duration, copy: CopyId) {
        let ask = AskId(self.next_number());
        let (leader, replicas) = (self.leader, &self.replicas);
        let Some(Stage::Asking(asking)) = self.tasks.get_mut(&copy).map(|task| &mut task.stage)
        else {
            return;
        };
        if asking.under_way.is_some() || now < asking.retry_at {
            return;
        }
        let place = asking.tries as usize % replicas.len();
        let node = asking.hint.take().or(leader).unwrap_or(replicas[place]);
        asking.tries += 1;
        asking.under_way = Some((ask, node));
        let body = asking.body.clone();
        self.outputs
            .push((Party::Node(node), Payload::Ask { ask, body }));
    }

    fn copy_of_ask(&self, ask: AskId) -> Option<CopyId> {
        let is_asked = |task: &Task| match &task.stage {
            Stage::Asking(asking) => asking.under_way.is_some_and(|(id, _)| id == ask),
            _ => false,
        };
        let mut found = self.tasks.iter().filter(|(_, task)| is_asked(task));
        found.next().map(|(copy, _)| *copy)
    }

    pub(super) fn copy_of_stream(&self, stream: StreamId) -> Option<CopyId> {
        let reads = |task: &Task| match &task.stage {
            Stage::Streaming(streaming) => streaming.stream == stream,
            _ => false,
        };
        let mut found = self.tasks.iter().filter(|(_, task)| reads(task));
        found.next().map(|(copy, _)| *copy)
    }

    /// Takes a replica's answer.
    pub fn on_answer(&mut self, now: Duration, wall: Timestamp, ask: AskId, reply: ShardReply) {
        let Some(copy) = self.copy_of_ask(ask) else {
            return;
        };
        let Some(Stage::Asking(asking)) = self.tasks.get_mut(&copy).map(|task| &mut task.stage)
        else {
            return;
        };
        let Some((_, node)) = asking.under_way.take() else {
            return;
        };
        match reply {
            ShardReply::NotLeader { leader } => {
                asking.hint = leader.filter(|leader| *leader != node);
                self.forget_leader(node);
                self.ask_again(now, copy);
            }
            ShardReply::Error(error) if error.code == ErrorCode::Unavailable => {
                asking.doubt |= error.verdict != Verdict::NotRun;
                self.ask_again(now, copy);
            }
            reply => {
                self.leader = Some(node);
                self.go_on(now, wall, copy, reply);
            }
        }
    }

    /// Takes that no answer will come.
    pub fn on_ask_lost(&mut self, now: Duration, ask: AskId, handed_over: bool) {
        let Some(copy) = self.copy_of_ask(ask) else {
            return;
        };
        let Some(Stage::Asking(asking)) = self.tasks.get_mut(&copy).map(|task| &mut task.stage)
        else {
            return;
        };
        if handed_over && self.variant == FleetVariant::GatewayDeniesDoubt {
            return self.finish(copy, Err(no_leader(false)));
        }
        asking.doubt |= handed_over;
        if let Some((_, node)) = asking.under_way.take() {
            self.forget_leader(node);
        }
        self.ask_again(now, copy);
    }

    fn ask_again(&mut self, now: Duration, copy: CopyId) {
        let Some(Stage::Asking(asking)) = self.tasks.get_mut(&copy).map(|task| &mut task.stage)
        else {
            return;
        };
        let is_redirect = asking.hint.is_some() && asking.tries < MAX_REDIRECTS;
        if !is_redirect {
            asking.retry_at = now + asking.wait;
            asking.wait = (asking.wait * 2).min(RETRY_LIMIT);
        }
        let gives_up = asking.retry_at >= asking.find_deadline && !asking.doubt;
        if gives_up || asking.retry_at >= asking.deadline {
            let error = no_leader(asking.doubt);
            return self.finish(copy, Err(error));
        }
        self.advance_ask(now, copy);
    }

    fn go_on(&mut self, now: Duration, wall: Timestamp, copy: CopyId, reply: ShardReply) {
        match reply {
            ShardReply::Start(order) => self.start_attempt(now, wall, copy, *order),
            ShardReply::Attach(order) => self.follow_attempt(now, copy, &order),
            ShardReply::Error(error) => self.finish(copy, Err(error)),
            reply => self.finish(copy, Ok(reply)),
        }
    }

    /// Reports the end of an attempt.
    pub(super) fn report(
        &mut self,
        now: Duration,
        copy: CopyId,
        request: RequestId,
        result: AttemptResult,
    ) {
        let gateway = self.node;
        let report = AttemptReport {
            request,
            result,
            gateway,
        };
        self.ask(now, copy, ShardRequestBody::ReportAttempt(report));
    }

    /// Looks again later at a call that another gateway runs.
    pub(super) fn look_later(&mut self, now: Duration, copy: CopyId, call: CallId) {
        if let Some(task) = self.tasks.get_mut(&copy) {
            let at = now + FOLLOW_PAUSE;
            task.stage = Stage::Following { call, at };
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        let copies: Vec<CopyId> = self.tasks.keys().copied().collect();
        for copy in copies {
            self.tick_task(now, copy);
        }
        if now >= self.next_alive {
            self.next_alive = now + ALIVE_INTERVAL;
            self.tell_alive();
        }
    }

    fn tick_task(&mut self, now: Duration, copy: CopyId) {
        let Some(task) = self.tasks.get(&copy) else {
            return;
        };
        match &task.stage {
            Stage::Asking(asking) => match asking.under_way {
                Some((ask, _)) if now >= asking.deadline => self.on_ask_lost(now, ask, true),
                _ => self.advance_ask(now, copy),
            },
            Stage::Following { call, at } if now >= *at => {
                let body = ShardRequestBody::AttachCall(*call);
                self.ask(now, copy, body);
            }
            Stage::Following { .. } => {}
            Stage::Streaming(_) => self.tick_stream(now, copy),
        }
    }

    /// Tells the shard which attempts still stream here.
    fn tell_alive(&mut self) {
        let running = |task: &Task| match &task.stage {
            Stage::Streaming(streaming) if !streaming.follows => Some(streaming.request),
            Stage::Asking(Asking {
                body: ShardRequestBody::ReportAttempt(report),
                ..
            }) => Some(report.request),
            _ => None,
        };
        let requests: Vec<RequestId> = self.tasks.values().filter_map(running).collect();
        if requests.is_empty() {
            return;
        }
        let ask = AskId(self.next_number());
        let body = ShardRequestBody::StreamsAlive(requests);
        let to = self.leader.unwrap_or(self.replicas[0]);
        self.outputs
            .push((Party::Node(to), Payload::Ask { ask, body }));
    }
}

fn asking(now: Duration, body: ShardRequestBody, patience: Patience) -> Asking {
    debug_assert!(program_of(&body).is_none_or(|program| program.number > 0));
    Asking {
        body,
        find_deadline: now + patience.find_leader,
        deadline: now + patience.answer,
        under_way: None,
        retry_at: now,
        wait: RETRY_BASE,
        doubt: false,
        hint: None,
        tries: 0,
    }
}

fn no_leader(doubt: bool) -> CallError {
    let message = "the shard has no leader that answers";
    match doubt {
        true => CallError::may_have_run(ErrorCode::Unavailable, message),
        false => CallError::not_run(ErrorCode::Unavailable, message),
    }
}
