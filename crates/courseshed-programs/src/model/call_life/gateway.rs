//! What gateways and the engine do with the messages that reach them.

use courseshed_types::{
    CallAnswer, EngineId, FinishReason, RequestId, Timestamp, Tokens, Usage, Verdict,
    chat::{ChatMessage, Role},
    shard::{AttemptReport, AttemptResult, EngineFinding, ShardRequestBody},
};

use super::{
    observer::SeenOutcome,
    scenario::Defect,
    world::{Answer, CallWorld, Found, GATEWAY, Message, Run, RunEnd},
};
use crate::leader::RequestToken;

/// How long after an order to start has run out its attempt may still be on its way to the engine.
const SENDING: std::time::Duration = std::time::Duration::from_secs(2);

impl CallWorld {
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Submit { token, sequence } => {
                let body = self.submission(sequence);
                self.request(RequestToken(token), body);
            }
            Message::Reply { sequence, answer } => self.gateway_hears(sequence, answer),
            Message::Start { request, until } => self.engine_gets(request, until),
            Message::Report { request, end } => self.shard_gets_report(request, end),
            Message::Query {
                request,
                dispatched_at,
            } => self.engine_is_asked(request, dispatched_at),
            Message::Finding { request, found } => self.shard_gets_finding(request, found),
        }
    }

    fn gateway_hears(&mut self, sequence: u64, answer: Answer) {
        match answer {
            Answer::Order { request, until } => self.follow_order(request, until),
            Answer::Outcome(outcome) => {
                let was_given = self.was_given(sequence, outcome);
                self.seen.outcome_told(sequence, outcome, was_given);
            }
            Answer::Refused(verdict) => {
                // Without a commit a refusal speaks of one copy; another one may still run.
                let is_only_copy = self.seen.copies(sequence) == 1;
                let is_trusted = is_only_copy || self.defect == Defect::ResendTrusted;
                if is_trusted {
                    self.seen.error_told(sequence, verdict);
                } else {
                    self.seen.error_told(sequence, Verdict::MayHaveRun);
                }
            }
            Answer::Other => {}
        }
    }

    fn was_given(&self, sequence: u64, outcome: SeenOutcome) -> bool {
        let call = self.call_id(sequence);
        match outcome {
            SeenOutcome::Answered(attempt) => {
                let request = RequestId { call, attempt };
                self.engine.answered.contains(&request)
            }
            SeenOutcome::Failed(_) => true,
        }
    }

    fn follow_order(&mut self, request: RequestId, until: Timestamp) {
        if self.now > until && self.defect != Defect::OrdersNeverRunOut {
            let end = RunEnd::NotStarted;
            return self.send(Message::Report { request, end });
        }
        self.seen.order_followed(request);
        let until = until + SENDING;
        self.send(Message::Start { request, until });
    }

    fn engine_gets(&mut self, request: RequestId, until: Timestamp) {
        if self.now > until && self.defect != Defect::OrdersNeverRunOut {
            let end = RunEnd::NotStarted;
            return self.send(Message::Report { request, end });
        }
        match self.engine.runs.get(&request) {
            Some(Run::Refused) => {
                let end = RunEnd::NotStarted;
                self.send(Message::Report { request, end });
            }
            Some(_) => {}
            None => {
                let sequence = self.sequence_of(request.call);
                let earlier_settled = self.earlier_settled(sequence);
                self.seen
                    .run_began(sequence, self.repeatable, earlier_settled);
                self.engine.runs.insert(request, Run::Running);
            }
        }
    }

    fn engine_is_asked(&mut self, request: RequestId, dispatched_at: Timestamp) {
        if self.left.cuts > 0 {
            self.left.cuts -= 1;
            let found = Found::Unreachable;
            return self.send(Message::Finding { request, found });
        }
        let restarted = self.engine.started_at.is_some_and(|at| at >= dispatched_at);
        let found = match self.engine.runs.get(&request) {
            Some(Run::Running) => Found::Running,
            Some(Run::Answered) => Found::Answered,
            Some(Run::Failed) => Found::Failed,
            Some(Run::Refused) => Found::NeverStarted,
            None if restarted => Found::Forgotten,
            None => Found::NeverStarted,
        };
        if found == Found::NeverStarted {
            self.engine.runs.insert(request, Run::Refused);
        }
        self.send(Message::Finding { request, found });
    }

    fn shard_gets_report(&mut self, request: RequestId, end: RunEnd) {
        let result = match end {
            RunEnd::Answered => AttemptResult::Answered(answer_of(request)),
            RunEnd::Failed => AttemptResult::Failed("failed".to_owned()),
            RunEnd::NotStarted => AttemptResult::NotStarted("refused".to_owned()),
            RunEnd::Lost => AttemptResult::Lost("broken".to_owned()),
        };
        let request = self.break_report(request, end);
        let token = self.token(self.sequence_of(request.call));
        let report = AttemptReport {
            request,
            result,
            gateway: GATEWAY,
        };
        self.request(token, ShardRequestBody::ReportAttempt(report));
    }

    /// Makes the answer of an old attempt look like one of the current attempt.
    fn break_report(&self, mut request: RequestId, end: RunEnd) -> RequestId {
        if self.defect == Defect::StaleAnswerTaken && end == RunEnd::Answered {
            let open = self.shard.state().open_call(request.call);
            request.attempt = open.map_or(request.attempt, |open| open.attempt);
        }
        request
    }

    fn shard_gets_finding(&mut self, request: RequestId, found: Found) {
        let finding = match found {
            Found::NeverStarted => EngineFinding::NeverStarted,
            Found::Running => EngineFinding::Running,
            Found::Answered => EngineFinding::Answered(answer_of(request)),
            Found::Failed => EngineFinding::Failed("failed".to_owned()),
            Found::Forgotten => EngineFinding::Forgotten,
            Found::Unreachable => EngineFinding::Unreachable("cut off".to_owned()),
        };
        self.shard.on_engine_finding(self.now, request, finding);
        self.collect();
    }
}

fn answer_of(request: RequestId) -> CallAnswer {
    CallAnswer {
        message: ChatMessage::text(Role::Assistant, format!("answer of {}", request.attempt)),
        finish_reason: FinishReason::Stop,
        usage: Usage {
            prompt_tokens: Tokens(1),
            cached_tokens: Tokens(0),
            completion_tokens: Tokens(1),
        },
        attempt: request.attempt,
        engine: EngineId::from("e"),
    }
}
