//! Requests of gateways and operators, apart from new calls and reports of attempts.
//!
//! Reads are answered from applied state; the driver passes them in only while it holds the leader's lease.

use courseshed_types::{
    CallId, ProgramId, RequestId, Timestamp,
    program::NewProgram,
    shard::{ShardReply, ShardRequest, ShardRequestBody},
};

use super::{ShardLeader, live::Waiter, output::RequestToken, proposals::Purpose};
use crate::{
    command::{CommandBody, EndProgram},
    state::ShardState,
    verdicts,
};

impl ShardLeader {
    /// A request came; it gets exactly one reply under its token, now or later.
    pub fn on_request(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        token: RequestToken,
        request: ShardRequest,
    ) {
        if request.shard != self.config.shard {
            return self.reply_error(token, verdicts::wrong_shard());
        }
        if self.term().is_none() {
            return self.reply_not_leader(token);
        }
        match request.body {
            ShardRequestBody::CreateProgram(new) => self.create(now, state, token, new),
            ShardRequestBody::SubmitCall(submit) => self.submit(now, state, token, submit),
            ShardRequestBody::AttachCall(call) => self.attach(now, state, token, call),
            ShardRequestBody::ReportAttempt(report) => self.report(now, state, token, report),
            ShardRequestBody::StreamsAlive(requests) => {
                self.streams_alive(now, &requests);
                self.reply(token, ShardReply::Done);
            }
            ShardRequestBody::Heartbeat(program) => self.heartbeat(now, state, token, program),
            ShardRequestBody::EndProgram { program, reason } => {
                let end = EndProgram {
                    program,
                    reason,
                    idle_since: None,
                };
                self.end(now, state, token, end);
            }
            read => self.answer_read(state, token, read),
        }
    }

    fn answer_read(&mut self, state: &ShardState, token: RequestToken, read: ShardRequestBody) {
        let reply = match read {
            ShardRequestBody::GetCall(call) => state.call_state(call).map(ShardReply::Call),
            ShardRequestBody::GetProgram(program) => state.view(program).map(ShardReply::Program),
            ShardRequestBody::GetHistory(program) => {
                state.history(program).map(ShardReply::History)
            }
            ShardRequestBody::ListPrograms {
                branch,
                after,
                limit,
                include_ended,
            } => Ok(ShardReply::Programs(state.list(
                &branch,
                after,
                limit,
                include_ended,
            ))),
            // The other requests are no reads; `on_request` handles them.
            _ => Ok(ShardReply::Done),
        };
        self.reply(token, reply.unwrap_or_else(ShardReply::Error));
    }

    fn create(&mut self, now: Timestamp, state: &ShardState, token: RequestToken, new: NewProgram) {
        if self.is_overloaded() {
            return self.reply_error(token, verdicts::overloaded());
        }
        let create = self
            .settings()
            .and_then(|settings| settings.create(now, new));
        let create = match create {
            Ok(create) => create,
            Err(error) => return self.reply_error(token, error),
        };
        match state.check_create(&create) {
            Ok(Some(known)) => self.reply_view(state, token, known),
            Ok(None) => {
                let body = CommandBody::CreateProgram(Box::new(create));
                self.propose(now, Purpose::Create { token }, body);
            }
            Err(error) => self.reply_error(token, error),
        }
    }

    fn attach(&mut self, now: Timestamp, state: &ShardState, token: RequestToken, call: CallId) {
        let waiter = Waiter {
            token,
            runner: None,
        };
        let pending = self.proposals.accepting(call.program);
        if let Some(pending) = pending.filter(|pending| pending.call == call) {
            return pending.waiters.push(waiter);
        }
        self.answer_or_wait(now, state, call, waiter);
    }

    fn heartbeat(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        token: RequestToken,
        program: ProgramId,
    ) {
        match state.program(program).map(|record| record.ended) {
            Some(None) => {
                let purpose = Purpose::ShowProgram { token, program };
                self.propose(now, purpose, CommandBody::Heartbeat(program));
            }
            _ => self.reply_view(state, token, program),
        }
    }

    fn end(&mut self, now: Timestamp, state: &ShardState, token: RequestToken, end: EndProgram) {
        let program = end.program;
        match state.program(program).map(|record| record.ended) {
            Some(None) => {
                let purpose = Purpose::ShowProgram { token, program };
                self.propose(now, purpose, CommandBody::EndProgram(end));
            }
            _ => self.reply_view(state, token, program),
        }
    }

    fn streams_alive(&mut self, now: Timestamp, requests: &[RequestId]) {
        let silence = self.config.stream_silence;
        for request in requests {
            if let Some(live) = self.live_mut(request.call) {
                live.query_at = now + silence;
            }
        }
    }
}
