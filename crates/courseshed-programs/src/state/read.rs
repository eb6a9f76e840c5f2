//! What can be read from the state: programs, histories, calls and the orders to run them.

use std::time::Duration;

use courseshed_types::{
    BranchPath, CallAnswer, CallError, CallId, CallOutcome, EngineCall, ProgramId, RequestId,
    Timestamp,
    chat::ChatMessage,
    program::{CallState, ProgramView},
    shard::{AttachOrder, StartOrder},
};

use super::ShardState;
use crate::{
    call::{AnsweredCall, CallPhase, CallRecord, OpenCall},
    escrow::EscrowLedger,
    history::decode_messages,
    program::ProgramRecord,
    usage::UsageTable,
    verdicts,
};

/// How long after its dispatch an order to start may be followed.
pub const START_ORDER_VALIDITY: Duration = Duration::from_secs(3);

/// Most programs one listing gives.
const MAX_LISTED: u32 = 1_000;

impl ShardState {
    /// A program that has not become a tombstone.
    pub fn program(&self, program: ProgramId) -> Option<&ProgramRecord> {
        self.programs.get(&program)
    }

    /// All programs that have not become tombstones, by id.
    pub fn programs(&self) -> impl Iterator<Item = &ProgramRecord> {
        self.programs.values()
    }

    /// Number of tombstones.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// The escrow the shard holds.
    pub fn escrow(&self) -> &EscrowLedger {
        &self.escrow
    }

    /// Calls and programs under way, by branch.
    pub fn usage(&self) -> &UsageTable {
        &self.usage
    }

    /// A call's record.
    pub fn call(&self, call: CallId) -> Option<&CallRecord> {
        self.programs.get(&call.program)?.call(call.sequence)
    }

    /// A call that is not settled.
    pub fn open_call(&self, call: CallId) -> Option<&OpenCall> {
        self.call(call)?.open()
    }

    /// All calls that are not settled, by program.
    pub fn open_calls(&self) -> impl Iterator<Item = (CallId, &OpenCall)> {
        self.programs.values().filter_map(|program| {
            let call = program.open_call()?;
            let open = program.call(call.sequence)?.open()?;
            Some((call, open))
        })
    }

    /// A program as callers see it, also when only its tombstone is left.
    pub fn view(&self, program: ProgramId) -> Result<ProgramView, CallError> {
        if let Some(record) = self.programs.get(&program) {
            return Ok(record.view());
        }
        match self.tombstones.get(&program) {
            Some(tombstone) => Ok(tombstone.view.clone()),
            None => Err(self.missing_program(program)),
        }
    }

    /// The messages of a program's answered calls, in order.
    pub fn history(&self, program: ProgramId) -> Result<Vec<ChatMessage>, CallError> {
        if let Some(record) = self.programs.get(&program) {
            return Ok(record.history.messages());
        }
        Err(match self.tombstones.get(&program) {
            Some(stone) => verdicts::program_ended(program, stone.reason(), true),
            None => self.missing_program(program),
        })
    }

    /// The state of a call, with its outcome if it is settled.
    pub fn call_state(&self, call: CallId) -> Result<CallState, CallError> {
        let Some(record) = self.call(call) else {
            return Err(self.missing_call(call));
        };
        Ok(match &record.phase {
            CallPhase::Open(open) => match &open.dispatch {
                None => CallState::Accepted,
                Some(dispatch) => CallState::Dispatched {
                    attempt: open.attempt,
                    engine: dispatch.engine.clone(),
                },
            },
            _ => match self.outcome(call) {
                Some(outcome) => CallState::Settled(outcome),
                None => return Err(self.missing_call(call)),
            },
        })
    }

    /// How a call ended, if it has.
    pub fn outcome(&self, call: CallId) -> Option<CallOutcome> {
        let program = self.programs.get(&call.program)?;
        match &program.call(call.sequence)?.phase {
            CallPhase::Open(_) => None,
            CallPhase::Failed(error) => Some(CallOutcome::Failed((**error).clone())),
            CallPhase::Answered(answered) => {
                read_answer(program, answered).map(CallOutcome::Answered)
            }
        }
    }

    /// The error for a call that is not in the table.
    pub fn missing_call(&self, call: CallId) -> CallError {
        if self.programs.contains_key(&call.program) {
            return verdicts::missing_call(call.program, call.sequence);
        }
        match self.tombstones.get(&call.program) {
            Some(stone) => {
                let ran_before = call.sequence < stone.view.next_sequence;
                verdicts::program_ended(call.program, stone.reason(), ran_before)
            }
            None => self.missing_program(call.program),
        }
    }

    /// The order to run the current attempt of a dispatched call, with its whole prompt.
    pub fn start_order(&self, request: RequestId) -> Option<StartOrder> {
        let program = self.programs.get(&request.call.program)?;
        let open = program.call(request.call.sequence)?.open()?;
        let dispatch = open.dispatch.as_ref()?;
        if open.attempt != request.attempt {
            return None;
        }
        let mut messages = program.history.messages();
        messages.extend(decode_messages(&open.messages));
        let call = EngineCall {
            request,
            model: open.model.clone(),
            messages,
            max_tokens: open.max_output,
            priority: dispatch.priority,
            branch: program.branch.clone(),
            parameters: serde_json::from_str(&open.parameters).unwrap_or_default(),
        };
        Some(StartOrder {
            engine: dispatch.engine.clone(),
            engine_address: dispatch.engine_address.clone(),
            call,
            valid_until: dispatch.at + START_ORDER_VALIDITY,
        })
    }

    /// The order to resume the stream of a dispatched call.
    pub fn attach_order(&self, call: CallId) -> Option<AttachOrder> {
        let open = self.open_call(call)?;
        let dispatch = open.dispatch.as_ref()?;
        Some(AttachOrder {
            request: open.request(call),
            engine: dispatch.engine.clone(),
            engine_address: dispatch.engine_address.clone(),
        })
    }

    /// Programs on a branch and below it, by id.
    pub fn list(
        &self,
        branch: &BranchPath,
        after: Option<ProgramId>,
        limit: u32,
        include_ended: bool,
    ) -> Vec<ProgramView> {
        let is_wanted = |record: &&ProgramRecord| {
            after.is_none_or(|after| record.id > after)
                && record.branch.is_within(branch)
                && (include_ended || record.ended.is_none())
        };
        let wanted = self.programs.values().filter(is_wanted);
        let limit = limit.min(MAX_LISTED) as usize;
        wanted.take(limit).map(ProgramRecord::view).collect()
    }

    /// Programs between two calls that nothing happened to since a time their branch allows.
    pub(crate) fn idle_programs<'a>(
        &'a self,
        idle_before: impl Fn(&ProgramRecord) -> Option<Timestamp> + 'a,
    ) -> impl Iterator<Item = &'a ProgramRecord> + 'a {
        self.programs.values().filter(move |record| {
            record.ended.is_none()
                && !record.has_open_call()
                && idle_before(record).is_some_and(|before| record.active_at < before)
        })
    }
}

fn read_answer(program: &ProgramRecord, answered: &AnsweredCall) -> Option<CallAnswer> {
    Some(CallAnswer {
        message: program.history.answer(answered.segment as usize)?,
        finish_reason: answered.finish_reason,
        usage: answered.usage,
        attempt: answered.attempt,
        engine: answered.engine.clone(),
    })
}
