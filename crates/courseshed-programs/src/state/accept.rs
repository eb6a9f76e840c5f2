//! Accepting calls: order, idempotency, limits and the reservation of the worst case.

use courseshed_types::{
    Attempt, CallError, CallId, ProgramId, Sequence, Timestamp, Tokens, Verdict,
};
use serde_json::Value;

use super::ShardState;
use crate::{
    call::{CallPhase, CallRecord, OpenCall},
    command::{AcceptCall, BudgetPeriod},
    escrow::Reservation,
    history::{PromptSize, encode_messages},
    program::ProgramRecord,
    result::Effect,
    verdicts,
};

/// What accepting a call would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptCheck {
    /// It is the program's next call and may be accepted.
    New(PromptSize),
    /// The same call was accepted before.
    Known(CallId),
}

impl ShardState {
    /// What accepting this call would do now; changes nothing.
    pub fn check_accept(&self, accept: &AcceptCall) -> Result<AcceptCheck, CallError> {
        let program = self.program_for_call(accept)?;
        if let Some(known) = find_known(program, accept)? {
            return Ok(AcceptCheck::Known(known));
        }
        check_order(program, accept.call.sequence)?;
        let size = program.history.prompt_size(&accept.model, &accept.messages);
        check_program_limits(program, accept, size)?;
        if let Some(full) = self.usage.calls_full(&accept.limits.calls_at_once) {
            return Err(verdicts::calls_full(&full.branch, full.limit));
        }
        let worst_case = size.worst_case.saturating_add(accept.max_output);
        self.check_budgets(program.root, &accept.limits.budgets, worst_case)?;
        Ok(AcceptCheck::New(size))
    }

    pub(super) fn accept_call(&mut self, at: Timestamp, accept: &AcceptCall) -> Effect {
        let size = match self.check_accept(accept) {
            Ok(AcceptCheck::New(size)) => size,
            Ok(AcceptCheck::Known(call)) => return Effect::Known(call),
            Err(error) => return Effect::Rejected(error),
        };
        let worst_case = size.worst_case.saturating_add(accept.max_output);
        let program = accept.call.program;
        let reservation = self.reserve(program, accept.limits.budgets.clone(), worst_case);
        let record = new_record(at, accept, size, reservation);
        self.insert_call(program, record);
        self.touch_family(at, program, true);
        Effect::Accepted(accept.call)
    }

    fn insert_call(&mut self, program: ProgramId, mut record: CallRecord) {
        let Some(program) = self.programs.get_mut(&program) else {
            return;
        };
        record.segments_before = program.history.segments() as u32;
        if let Some(open) = record.open()
            && !program.models.contains(&open.model)
        {
            program.models.push(open.model.clone());
        }
        program.calls.push(record);
        self.usage.call_opened(&program.branch);
    }

    fn program_for_call(&self, accept: &AcceptCall) -> Result<&ProgramRecord, CallError> {
        let id = accept.call.program;
        if let Some(program) = self.programs.get(&id) {
            return Ok(program);
        }
        let Some(tombstone) = self.tombstones.get(&id) else {
            return Err(self.missing_program(id));
        };
        let ran_before =
            accept.call.sequence < tombstone.view.next_sequence || accept.idempotency_key.is_some();
        let reason = tombstone.reason();
        Err(verdicts::program_ended(id, reason, ran_before))
    }

    /// Whether the root's budget and every branch's escrow cover `tokens`.
    pub(super) fn check_budgets(
        &self,
        root: ProgramId,
        budgets: &[BudgetPeriod],
        tokens: Tokens,
    ) -> Result<(), CallError> {
        let root = self.programs.get(&root);
        let left = root.and_then(ProgramRecord::budget_left);
        if let Some(left) = left.filter(|left| *left < tokens) {
            return Err(verdicts::program_budget_spent(tokens, left));
        }
        match self.escrow.first_short(budgets, tokens) {
            Some(short) => Err(verdicts::branch_budget_spent(&short.branch, tokens)),
            None => Ok(()),
        }
    }

    /// Reserves from the escrow and in the program and all above it.
    pub(super) fn reserve(
        &mut self,
        program: ProgramId,
        budgets: Vec<BudgetPeriod>,
        tokens: Tokens,
    ) -> Reservation {
        self.for_family(program, |record| {
            record.reserved = record.reserved.saturating_add(tokens);
        });
        self.escrow.reserve(budgets, tokens)
    }

    /// Ends a reservation, with what was spent of it.
    pub(super) fn settle_reservation(
        &mut self,
        program: ProgramId,
        reservation: &Reservation,
        spent: Tokens,
    ) {
        self.for_family(program, |record| {
            record.reserved = record.reserved.saturating_sub(reservation.tokens);
            record.spent = record.spent.saturating_add(spent);
        });
        self.escrow.settle(reservation, spent);
    }

    /// Changes a program and all above it, up to its root.
    pub(super) fn for_family(
        &mut self,
        program: ProgramId,
        mut change: impl FnMut(&mut ProgramRecord),
    ) {
        let mut next = Some(program);
        while let Some(record) = next.and_then(|id| self.programs.get_mut(&id)) {
            change(record);
            next = record.parent;
        }
    }

    /// Notes that something happened to a program, for it and all above it.
    pub(super) fn touch_family(&mut self, at: Timestamp, program: ProgramId, is_call: bool) {
        self.for_family(program, |record| {
            record.active_at = record.active_at.max(at);
            if is_call {
                record.first_call_at.get_or_insert(at);
            }
        });
    }
}

/// The call that was accepted before under the same sequence or key, if its body is the same.
///
/// The sequence decides: a gateway may have made up another key for the second copy of a request.
fn find_known(program: &ProgramRecord, accept: &AcceptCall) -> Result<Option<CallId>, CallError> {
    let key = accept.idempotency_key.as_deref();
    let by_key = key.and_then(|key| program.call_with_key(key));
    if let Some(other) = by_key.filter(|call| call.sequence != accept.call.sequence) {
        return Err(verdicts::body_differs(other.sequence));
    }
    let Some(known) = program.call(accept.call.sequence) else {
        return Ok(None);
    };
    if known.digest != accept.digest {
        return Err(verdicts::body_differs(known.sequence));
    }
    Ok(Some(accept.call))
}

fn check_order(program: &ProgramRecord, sequence: Sequence) -> Result<(), CallError> {
    if let Some(end) = program.ended {
        return Err(verdicts::program_ended(program.id, end.reason, false));
    }
    if let Some(open) = program.open_call() {
        return Err(verdicts::call_under_way(open.sequence));
    }
    if sequence != program.next_sequence() {
        return Err(verdicts::sequence_skipped(
            sequence,
            program.next_sequence(),
        ));
    }
    Ok(())
}

fn check_program_limits(
    program: &ProgramRecord,
    accept: &AcceptCall,
    size: PromptSize,
) -> Result<(), CallError> {
    if program.calls.len() as u64 >= u64::from(accept.limits.turns) {
        return Err(verdicts::turns_used(accept.limits.turns));
    }
    if size.estimated > accept.limits.history_tokens {
        return Err(verdicts::history_full(accept.limits.history_tokens));
    }
    Ok(())
}

fn new_record(
    at: Timestamp,
    accept: &AcceptCall,
    size: PromptSize,
    reservation: Reservation,
) -> CallRecord {
    let open = OpenCall {
        model: accept.model.clone(),
        messages: encode_messages(&accept.messages),
        parameters: Value::Object(accept.parameters.clone()).to_string().into(),
        max_output: accept.max_output,
        prompt: size,
        repeatable: accept.repeatable,
        gateway: accept.gateway,
        priority: accept.priority,
        accepted_at: at,
        give_up_at: accept.give_up_at,
        attempt: Attempt(1),
        not_before: at,
        doubt: Verdict::NotRun,
        doubtful_attempts: 0,
        avoid: Vec::new(),
        reservation,
        dispatch: None,
    };
    CallRecord {
        sequence: accept.call.sequence,
        idempotency_key: accept.idempotency_key.as_deref().map(Box::from),
        digest: accept.digest,
        segments_before: 0,
        phase: CallPhase::Open(Box::new(open)),
    }
}
