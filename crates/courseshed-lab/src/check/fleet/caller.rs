//! A caller: one program, call after call, with everything that callers do.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    CallError, CallId, CallRequest, ChatMessage, ChatRole, ErrorCode, NodeId, ProgramId, Sequence,
    Tokens,
    program::{EndReason, NewProgram},
    shard::{ShardReply, ShardRequestBody, SubmitCall},
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{
    caller_script::{BUDGETED_BRANCH, Script, ScriptedCall},
    engine_requests::NOT_REPEATABLE,
    observer::{Observer, answer_of, error_of},
    report::{FleetFault, FleetPromise},
    wire::{CallerId, CallerReply, CopyId},
};

/// How long a caller waits for an answer before it asks again.
const PATIENCE: Duration = Duration::from_secs(30);
/// Times a caller asks for the same thing.
const MAX_TRIES: u32 = 10;
const RETRY_MILLIS: std::ops::Range<u64> = 200..2_000;
const LEAVE_MILLIS: std::ops::Range<u64> = 5..900;

/// What a caller wants done.
#[derive(Debug)]
pub enum CallerOutput {
    Send {
        gateway: NodeId,
        copy: CopyId,
        body: Box<ShardRequestBody>,
    },
    WakeAt(Duration),
}

/// What a caller needs of the world.
pub struct CallerWorld<'a> {
    pub now: Duration,
    pub random: &'a mut ChaCha8Rng,
    pub observer: &'a mut Observer,
    pub faults: &'a mut BTreeMap<FleetFault, u64>,
    pub last_copy: &'a mut u64,
    pub gateways: &'a [NodeId],
    pub outputs: Vec<CallerOutput>,
}

impl CallerWorld<'_> {
    fn count(&mut self, fault: FleetFault) {
        *self.faults.entry(fault).or_default() += 1;
    }

    fn wake_in(&mut self, wait: Duration) {
        self.outputs.push(CallerOutput::WakeAt(self.now + wait));
    }

    fn draw_millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn send(&mut self, body: ShardRequestBody) -> CopyId {
        let gateway = self.gateways[self.random.random_range(0..self.gateways.len())];
        *self.last_copy += 1;
        let copy = CopyId(*self.last_copy);
        self.outputs.push(CallerOutput::Send {
            gateway,
            copy,
            body: Box::new(body),
        });
        self.wake_in(PATIENCE);
        copy
    }
}

/// What the caller is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doing {
    Creating,
    Pausing { until: Duration },
    Calling,
    ReadingHistory,
    Ending,
    Done,
}

/// A caller.
#[derive(Debug)]
pub struct Caller {
    pub id: CallerId,
    script: Script,
    doing: Doing,
    program: Option<ProgramId>,
    /// Calls answered so far.
    answered: usize,
    conversation: Vec<ChatMessage>,
    /// Copies of the present request that the caller waits for, and since when.
    waiting: BTreeMap<CopyId, Duration>,
    retry_at: Duration,
    tries: u32,
    has_left: bool,
    /// A call ended without an answer, so that the rest of the program makes no sense.
    has_failed: bool,
    last_error: Option<CallError>,
}

impl Caller {
    pub fn new(id: CallerId, script: Script) -> Caller {
        Caller {
            id,
            script,
            doing: Doing::Creating,
            program: None,
            answered: 0,
            conversation: Vec::new(),
            waiting: BTreeMap::new(),
            retry_at: Duration::ZERO,
            tries: 0,
            has_left: false,
            has_failed: false,
            last_error: None,
        }
    }

    pub fn is_done(&self) -> bool {
        self.doing == Doing::Done
    }

    pub fn has_program(&self) -> bool {
        self.program.is_some()
    }

    pub fn program(&self) -> Option<ProgramId> {
        self.program
    }

    pub fn is_budgeted(&self) -> bool {
        self.script.branch == BUDGETED_BRANCH
    }

    /// What keeps it, for people.
    pub fn describe(&self) -> String {
        format!(
            "{:?} {:?} {:?} after {} calls, {} tries, {:?}",
            self.id, self.program, self.doing, self.answered, self.tries, self.last_error
        )
    }

    /// Goes on, if it is time.
    pub fn wake(&mut self, world: &mut CallerWorld<'_>) {
        let now = world.now;
        self.waiting.retain(|_, since| now < *since + PATIENCE);
        match self.doing {
            Doing::Done => {}
            Doing::Pausing { until } if now < until => {}
            Doing::Pausing { .. } => self.next_call(world),
            _ if self.waiting.is_empty() && now >= self.retry_at => self.try_now(world),
            _ => {}
        }
    }

    fn next_call(&mut self, world: &mut CallerWorld<'_>) {
        if self.script.abandons_after == Some(self.answered) {
            world.count(FleetFault::ProgramAbandoned);
            self.doing = Doing::Done;
            return;
        }
        if self.script.ended_after == Some(self.answered) {
            self.end_as_operator(world);
        }
        let has_more = self.answered < self.script.calls.len() && !self.has_failed;
        self.begin(
            world,
            if has_more {
                Doing::Calling
            } else {
                Doing::ReadingHistory
            },
        );
    }

    fn end_as_operator(&mut self, world: &mut CallerWorld<'_>) {
        let Some(program) = self.program else { return };
        world.count(FleetFault::ProgramEndedByOperator);
        let reason = EndReason::Operator;
        world.send(ShardRequestBody::EndProgram { program, reason });
    }

    fn begin(&mut self, world: &mut CallerWorld<'_>, doing: Doing) {
        self.doing = doing;
        self.tries = 0;
        self.has_left = false;
        self.retry_at = world.now;
        self.waiting.clear();
        self.try_now(world);
    }

    fn pause(&mut self, world: &mut CallerWorld<'_>) {
        let call = self.script.calls.get(self.answered);
        let pause = call.map_or(Duration::ZERO, |call| call.pause);
        self.doing = Doing::Pausing {
            until: world.now + pause,
        };
        self.waiting.clear();
        world.wake_in(pause);
    }

    fn try_now(&mut self, world: &mut CallerWorld<'_>) {
        self.tries += 1;
        if self.tries > MAX_TRIES {
            return self.give_up(world);
        }
        match self.doing {
            Doing::Creating => self.create(world),
            Doing::Calling => self.call(world),
            Doing::ReadingHistory => self.ask_of_program(world, ShardRequestBody::GetHistory),
            Doing::Ending => self.ask_of_program(world, |program| {
                let reason = EndReason::Caller;
                ShardRequestBody::EndProgram { program, reason }
            }),
            Doing::Pausing { .. } | Doing::Done => {}
        }
    }

    fn give_up(&mut self, world: &mut CallerWorld<'_>) {
        if self.script.is_probe {
            let detail = format!("a program after all faults: {}", self.describe());
            world.observer.broken(FleetPromise::Served, detail);
        }
        match self.doing {
            Doing::Calling => {
                self.has_failed = true;
                self.begin(world, Doing::ReadingHistory);
            }
            Doing::ReadingHistory => self.begin(world, Doing::Ending),
            _ => self.doing = Doing::Done,
        }
    }

    fn create(&mut self, world: &mut CallerWorld<'_>) {
        let new = NewProgram {
            branch: self.script.branch.parse().expect("a branch"),
            kind: None,
            aim: None,
            worth: None,
            parent: None,
            idempotency_key: Some(format!("caller-{}", self.id.0)),
        };
        let copy = world.send(ShardRequestBody::CreateProgram(new));
        self.waiting.insert(copy, world.now);
    }

    fn ask_of_program(
        &mut self,
        world: &mut CallerWorld<'_>,
        body: impl Fn(ProgramId) -> ShardRequestBody,
    ) {
        if let Some(program) = self.program {
            let copy = world.send(body(program));
            self.waiting.insert(copy, world.now);
        }
    }

    fn call(&mut self, world: &mut CallerWorld<'_>) {
        let Some(call) = self.script.calls.get(self.answered).cloned() else {
            return;
        };
        self.send_call(world, &call);
        let is_first = self.tries == 1;
        if call.sends_twice && is_first {
            world.count(FleetFault::CallSentTwice);
            self.send_call(world, &call);
        }
        if call.leaves && !self.has_left {
            self.has_left = true;
            world.count(FleetFault::CallerLeft);
            self.waiting.clear();
            let wait = world.draw_millis(LEAVE_MILLIS);
            self.retry_at = world.now + wait;
            world.wake_in(wait);
        }
    }

    fn send_call(&mut self, world: &mut CallerWorld<'_>, call: &ScriptedCall) {
        let Some(program) = self.program else { return };
        let sequence = Sequence(self.answered as u64 + 1);
        let message = ChatMessage::text(ChatRole::User, call.text.clone());
        let mut parameters = serde_json::Map::new();
        if !call.repeatable {
            parameters.insert(NOT_REPEATABLE.to_owned(), true.into());
        }
        let body = ShardRequestBody::SubmitCall(SubmitCall {
            program,
            sequence: Some(sequence),
            idempotency_key: Some(format!("call-{sequence}")),
            call: CallRequest {
                model: None,
                messages: vec![message.clone()],
                max_tokens: Some(Tokens(call.max_tokens)),
                repeatable: call.repeatable,
                parameters,
            },
            full_history: false,
            gateway: NodeId(0),
        });
        let copy = world.send(body);
        self.waiting.insert(copy, world.now);
        let mut prompt = self.conversation.clone();
        prompt.push(message);
        let call_id = CallId { program, sequence };
        world
            .observer
            .sent(world.now, call_id, copy, call.repeatable, &prompt);
    }

    /// Takes what became of a copy.
    pub fn on_reply(&mut self, world: &mut CallerWorld<'_>, copy: CopyId, reply: &CallerReply) {
        world.observer.got(copy, reply);
        if self.waiting.remove(&copy).is_none() {
            return;
        }
        if let Some(error) = error_of(reply) {
            self.last_error = Some(error.clone());
        }
        match (self.doing, reply) {
            (Doing::Calling, reply) if answer_of(reply).is_some() => {
                self.was_answered(world, reply);
            }
            (doing, CallerReply::Answered(answer)) => match (doing, answer.as_ref()) {
                (Doing::Creating, Ok(ShardReply::Program(view))) => {
                    self.program = Some(view.id);
                    self.pause(world);
                }
                (Doing::ReadingHistory, Ok(ShardReply::History(kept))) => {
                    self.compare_history(world, kept);
                    self.begin(world, Doing::Ending);
                }
                (Doing::Ending, Ok(_)) => self.doing = Doing::Done,
                (_, Err(error)) if error.code == ErrorCode::ProgramEnded => {
                    self.was_ended(world);
                }
                _ => self.retry_later(world),
            },
            _ => self.retry_later(world),
        }
    }

    fn was_answered(&mut self, world: &mut CallerWorld<'_>, reply: &CallerReply) {
        let Some(answer) = answer_of(reply) else {
            return;
        };
        let asked = &self.script.calls[self.answered].text;
        let message = ChatMessage::text(ChatRole::User, asked.clone());
        self.conversation.push(message);
        self.conversation.push(answer.clone());
        self.answered += 1;
        self.pause(world);
    }

    /// The program is over, for whatever reason; its history still counts.
    fn was_ended(&mut self, world: &mut CallerWorld<'_>) {
        match self.doing {
            Doing::Calling => {
                self.has_failed = true;
                self.begin(world, Doing::ReadingHistory);
            }
            Doing::ReadingHistory => self.begin(world, Doing::Ending),
            _ => self.doing = Doing::Done,
        }
    }

    /// After a call without an answer the caller can't know whether the last turn is in the history.
    fn compare_history(&mut self, world: &mut CallerWorld<'_>, kept: &[ChatMessage]) {
        let Some(program) = self.program else { return };
        let own = &self.conversation;
        let same_length = kept.len().min(own.len());
        let compared = match self.has_failed && kept.len() > own.len() {
            true => &kept[..same_length],
            false => kept,
        };
        world.observer.read_history(program, own, compared);
    }

    fn retry_later(&mut self, world: &mut CallerWorld<'_>) {
        if !self.waiting.is_empty() {
            return;
        }
        let wait = world.draw_millis(RETRY_MILLIS);
        self.retry_at = world.now + wait;
        world.wake_in(wait);
    }
}
