//! Checks the promises by what callers sent and got and by what engines ran.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    CallError, CallId, CallOutcome, ChatMessage, ProgramId, Sequence, Verdict, shard::ShardReply,
};

use super::{
    engine::RunRecord,
    engine_requests::is_whole_answer,
    report::{FleetPromise, FleetViolation},
    wire::{CallerReply, CopyId},
};

/// How long an engine that leaves may still be given work: nodes learn of it within 2 s, an order to start holds for
/// 3 s more, clocks differ by up to 0.4 s, and the way to the engine takes up to 0.7 s.
const LEAVING_GRACE: Duration = Duration::from_millis(6_100);

/// A call as its caller knows it.
#[derive(Debug)]
struct SeenCall {
    repeatable: bool,
    /// The whole prompt: the conversation so far, then what is new.
    prompt: Vec<ChatMessage>,
    copies: BTreeMap<CopyId, SeenCopy>,
    answer: Option<ChatMessage>,
}

/// One copy of a call.
#[derive(Debug)]
struct SeenCopy {
    sent_at: Duration,
    reply: Option<CallerReply>,
}

impl SeenCopy {
    /// Whether its caller was told for certain that it didn't run.
    fn is_certainly_not_run(&self) -> bool {
        match &self.reply {
            Some(CallerReply::Refused) => true,
            Some(reply) => error_of(reply).is_some_and(|error| error.verdict == Verdict::NotRun),
            None => false,
        }
    }
}

/// What became of a call, as its caller knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered,
    NotRun,
    InDoubt,
}

/// Remembers what callers sent and got.
#[derive(Debug, Default)]
pub struct Observer {
    calls: BTreeMap<CallId, SeenCall>,
    copies: BTreeMap<CopyId, CallId>,
    violations: Vec<FleetViolation>,
}

/// Sums over all calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub calls: u64,
    pub answered: u64,
    pub not_run: u64,
    pub in_doubt: u64,
}

impl Observer {
    /// A caller sent a copy of a call.
    pub fn sent(
        &mut self,
        now: Duration,
        call: CallId,
        copy: CopyId,
        repeatable: bool,
        prompt: &[ChatMessage],
    ) {
        let seen = self.calls.entry(call).or_insert_with(|| SeenCall {
            repeatable,
            prompt: prompt.to_vec(),
            copies: BTreeMap::new(),
            answer: None,
        });
        let sent = SeenCopy {
            sent_at: now,
            reply: None,
        };
        seen.copies.insert(copy, sent);
        self.copies.insert(copy, call);
    }

    /// A caller got what became of a copy.
    pub fn got(&mut self, copy: CopyId, reply: &CallerReply) {
        let Some(call) = self.copies.get(&copy).copied() else {
            return;
        };
        let Some(seen) = self.calls.get_mut(&call) else {
            return;
        };
        if let Some(sent) = seen.copies.get_mut(&copy) {
            sent.reply = Some(reply.clone());
        }
        if let Some(message) = answer_of(reply) {
            let message = message.clone();
            self.check_answer(call, reply, message);
        }
    }

    fn check_answer(&mut self, call: CallId, reply: &CallerReply, message: ChatMessage) {
        let Some(seen) = self.calls.get_mut(&call) else {
            return;
        };
        let mut problems = Vec::new();
        if settled_call(reply) != Some(call) {
            problems.push(format!(
                "{call} got the answer to {:?}",
                settled_call(reply)
            ));
        }
        let known = seen.answer.get_or_insert_with(|| message.clone());
        if *known != message {
            problems.push(format!("{call} got two answers: {known:?} and {message:?}"));
        }
        if !is_whole_answer(&message.canonical_text(), &seen.prompt) {
            problems.push(format!("{call} got {message:?}, not the whole answer"));
        }
        for problem in problems {
            self.broken(FleetPromise::Answer, problem);
        }
    }

    /// A caller read its program's history.
    pub fn read_history(&mut self, program: ProgramId, own: &[ChatMessage], kept: &[ChatMessage]) {
        if own != kept {
            let detail = format!("{program}: the caller knows {own:?}, kept are {kept:?}");
            self.broken(FleetPromise::History, detail);
        }
    }

    pub fn broken(&mut self, promise: FleetPromise, detail: String) {
        self.violations.push(FleetViolation { promise, detail });
    }

    pub fn take_violations(&mut self) -> Vec<FleetViolation> {
        std::mem::take(&mut self.violations)
    }

    pub fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for seen in self.calls.values() {
            tally.calls += 1;
            match seen.fate() {
                Fate::Answered => tally.answered += 1,
                Fate::NotRun => tally.not_run += 1,
                Fate::InDoubt => tally.in_doubt += 1,
            }
        }
        tally
    }

    /// Checks everything that engines ran.
    pub fn check_runs(&mut self, runs: &[RunRecord]) {
        let mut by_call: BTreeMap<CallId, Vec<&RunRecord>> = BTreeMap::new();
        for run in runs {
            by_call.entry(run.request.call).or_default().push(run);
        }
        for (call, runs) in &by_call {
            self.check_at_most_once(*call, runs);
            self.check_not_run(*call, runs);
            self.check_order(*call, runs, &by_call);
            self.check_ids(*call, runs);
        }
    }

    fn check_at_most_once(&mut self, call: CallId, runs: &[&RunRecord]) {
        let repeatable = self.calls.get(&call).is_none_or(|seen| seen.repeatable);
        let is_told = runs.iter().any(|run| !run.repeatable);
        if (!repeatable || is_told) && runs.len() > 1 {
            let detail = format!("{call} is not repeatable and ran {} times", runs.len());
            self.broken(FleetPromise::AtMostOnce, detail);
        }
    }

    /// Whatever the kind of the call, one attempt runs once.
    fn check_ids(&mut self, call: CallId, runs: &[&RunRecord]) {
        for (place, run) in runs.iter().enumerate() {
            let is_same =
                |other: &&&RunRecord| other.request == run.request && other.engine == run.engine;
            if runs[..place].iter().any(|other| is_same(&other)) {
                let detail = format!("{call}: {:?} ran twice", run.request);
                self.broken(FleetPromise::AtMostOnce, detail);
            }
        }
    }

    /// Some copy that was sent before a run must have been left in doubt or answered.
    fn check_not_run(&mut self, call: CallId, runs: &[&RunRecord]) {
        let Some(seen) = self.calls.get(&call) else {
            return;
        };
        let is_denied = |run: &&&RunRecord| {
            let before = |copy: &&SeenCopy| copy.sent_at <= run.arrived_at;
            let mut sent = seen.copies.values().filter(before);
            sent.all(SeenCopy::is_certainly_not_run)
        };
        if let Some(run) = runs.iter().find(is_denied) {
            let detail = format!("{call} ran: {run:?}; copies {:?}", seen.copies);
            self.broken(FleetPromise::NotRun, detail);
        }
    }

    /// A call starts only after the one before it ran.
    fn check_order(
        &mut self,
        call: CallId,
        runs: &[&RunRecord],
        by_call: &BTreeMap<CallId, Vec<&RunRecord>>,
    ) {
        if call.sequence.0 < 2 {
            return;
        }
        let before = CallId {
            program: call.program,
            sequence: Sequence(call.sequence.0 - 1),
        };
        let first = runs.iter().map(|run| run.taken_at).min();
        let earlier = by_call.get(&before).into_iter().flatten();
        let has_run = earlier.map(|run| run.taken_at).any(|at| Some(at) < first);
        if !has_run {
            let detail = format!("{call} started at {first:?}, before {before}");
            self.broken(FleetPromise::Order, detail);
        }
    }

    /// An engine that leaves takes nothing new after a few seconds.
    pub fn check_leaving(
        &mut self,
        runs: &[RunRecord],
        engine: usize,
        from: Duration,
        to: Duration,
    ) {
        let given = runs.iter().filter(|run| {
            let is_late = run.arrived_at > from + LEAVING_GRACE && run.arrived_at < to;
            run.engine == engine && is_late
        });
        for run in given {
            let detail = format!(
                "engine {engine} left at {from:?} and was given {:?} at {:?}",
                run.request, run.arrived_at
            );
            self.violations.push(FleetViolation {
                promise: FleetPromise::Leaving,
                detail,
            });
        }
    }
}

impl SeenCall {
    fn fate(&self) -> Fate {
        if self.answer.is_some() {
            return Fate::Answered;
        }
        match self.copies.values().all(SeenCopy::is_certainly_not_run) {
            true => Fate::NotRun,
            false => Fate::InDoubt,
        }
    }
}

/// The message of an answered call.
pub fn answer_of(reply: &CallerReply) -> Option<&ChatMessage> {
    let CallerReply::Answered(answer) = reply else {
        return None;
    };
    match answer.as_ref() {
        Ok(ShardReply::Outcome(settled)) => match &settled.outcome {
            CallOutcome::Answered(answer) => Some(&answer.message),
            CallOutcome::Failed(_) => None,
        },
        _ => None,
    }
}

/// The error a caller was told.
pub fn error_of(reply: &CallerReply) -> Option<&CallError> {
    let CallerReply::Answered(answer) = reply else {
        return None;
    };
    match answer.as_ref() {
        Ok(ShardReply::Outcome(settled)) => match &settled.outcome {
            CallOutcome::Failed(error) => Some(error),
            CallOutcome::Answered(_) => None,
        },
        Ok(_) => None,
        Err(error) => Some(error),
    }
}

fn settled_call(reply: &CallerReply) -> Option<CallId> {
    let CallerReply::Answered(answer) = reply else {
        return None;
    };
    match answer.as_ref() {
        Ok(ShardReply::Outcome(settled)) => Some(settled.call),
        _ => None,
    }
}
