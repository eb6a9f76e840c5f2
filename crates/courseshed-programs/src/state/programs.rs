//! Creating and ending programs, heartbeats, and the escrow commands.

use std::collections::VecDeque;

use courseshed_types::{CallError, ErrorCode, ProgramId, Timestamp, program::EndReason};

use super::{ProgramKey, ShardState};
use crate::{
    command::{ApplyGrant, BudgetPeriod, CreateProgram, EndProgram},
    history::History,
    program::{ProgramEnd, ProgramRecord},
    result::{Effect, EndedEffect},
    verdicts,
};

impl ShardState {
    /// The program a key was used for, if creating it again would give the same one; else why not.
    pub fn check_create(&self, create: &CreateProgram) -> Result<Option<ProgramId>, CallError> {
        if let Some(known) = self.program_with_key(create) {
            let same = self.digest_of(known) == Some(create.digest);
            return match same {
                true => Ok(Some(known)),
                false => Err(verdicts::program_key_differs(known)),
            };
        }
        if let Some(parent) = create.parent {
            self.check_parent(parent, create)?;
        }
        match self.usage.programs_full(&create.programs_at_once) {
            Some(full) => Err(verdicts::programs_full(&full.branch, full.limit)),
            None => Ok(None),
        }
    }

    fn check_parent(&self, parent: ProgramId, create: &CreateProgram) -> Result<(), CallError> {
        let Some(record) = self.programs.get(&parent) else {
            return Err(self.missing_program(parent));
        };
        if let Some(end) = record.ended {
            return Err(verdicts::program_ended(parent, end.reason, false));
        }
        if !create.branch.is_within(&record.branch) {
            return Err(verdicts::foreign_branch(&create.branch, &record.branch));
        }
        if record.depth + 1 > create.depth_limit {
            return Err(verdicts::too_deep(create.depth_limit));
        }
        Ok(())
    }

    fn program_with_key(&self, create: &CreateProgram) -> Option<ProgramId> {
        let key = program_key(&create.branch, create.idempotency_key.as_deref())?;
        self.keys.get(&key).copied()
    }

    fn digest_of(&self, program: ProgramId) -> Option<crate::digest::BodyDigest> {
        let record = self.programs.get(&program).map(|record| record.digest);
        record.or_else(|| self.tombstones.get(&program).map(|stone| stone.digest))
    }

    pub(super) fn create_program(&mut self, at: Timestamp, create: &CreateProgram) -> Effect {
        match self.check_create(create) {
            Err(error) => return Effect::Rejected(error),
            Ok(Some(known)) => return Effect::Program(known),
            Ok(None) => {}
        }
        self.last_program += 1;
        let id = ProgramId {
            shard: self.shard,
            number: self.last_program,
        };
        let record = self.new_program(at, id, create);
        if let Some(parent) = create.parent.and_then(|id| self.programs.get_mut(&id)) {
            parent.children.push(id);
        }
        if let Some(key) = program_key(&record.branch, record.idempotency_key.as_deref()) {
            self.keys.insert(key, id);
        }
        self.usage.program_started(&record.branch);
        self.programs.insert(id, record);
        self.touch_family(at, id, false);
        Effect::Program(id)
    }

    fn new_program(&self, at: Timestamp, id: ProgramId, create: &CreateProgram) -> ProgramRecord {
        let parent = create.parent.and_then(|id| self.programs.get(&id));
        ProgramRecord {
            id,
            branch: create.branch.clone(),
            kind: create.kind.as_deref().map(Box::from),
            parent: create.parent,
            root: parent.map_or(id, |parent| parent.root),
            depth: parent.map_or(0, |parent| parent.depth + 1),
            children: Vec::new(),
            idempotency_key: create.idempotency_key.as_deref().map(Box::from),
            digest: create.digest,
            aim: create.aim,
            worth: create.worth,
            budget: create.budget.filter(|_| create.parent.is_none()),
            spent: Default::default(),
            reserved: Default::default(),
            attained: Default::default(),
            created_at: at,
            first_call_at: None,
            last_answer_at: None,
            active_at: at,
            ended: None,
            last_engine: None,
            history: History::default(),
            calls: Vec::new(),
            models: Vec::new(),
        }
    }

    pub(super) fn heartbeat(&mut self, at: Timestamp, program: ProgramId) -> Effect {
        match self.programs.get(&program).map(|record| record.ended) {
            Some(None) => {
                self.touch_family(at, program, false);
                Effect::Active(program)
            }
            Some(Some(end)) => {
                Effect::Rejected(verdicts::program_ended(program, end.reason, false))
            }
            None => Effect::Rejected(self.missing_program(program)),
        }
    }

    pub(super) fn end_program(&mut self, at: Timestamp, end: &EndProgram) -> Effect {
        let Some(record) = self.programs.get(&end.program) else {
            return Effect::Nothing;
        };
        let is_active = |since: Timestamp| record.active_at > since || record.has_open_call();
        if record.ended.is_some() || end.idle_since.is_some_and(is_active) {
            return Effect::Nothing;
        }
        let mut ended = EndedEffect::default();
        let mut queue = VecDeque::from([(end.program, end.reason)]);
        while let Some((program, reason)) = queue.pop_front() {
            let children = self.end_one(at, program, reason, &mut ended);
            queue.extend(children.into_iter().map(|child| (child, EndReason::Parent)));
        }
        Effect::Ended(ended)
    }

    /// Ends one program and refuses its call if that was not dispatched; gives its sub-agents.
    fn end_one(
        &mut self,
        at: Timestamp,
        program: ProgramId,
        reason: EndReason,
        ended: &mut EndedEffect,
    ) -> Vec<ProgramId> {
        let Some(record) = self.programs.get_mut(&program) else {
            return Vec::new();
        };
        if record.ended.is_some() {
            return Vec::new();
        }
        record.ended = Some(ProgramEnd { at, reason });
        let branch = record.branch.clone();
        let children = record.children.clone();
        let open = record.open_call();
        self.usage.program_ended(&branch);
        ended.programs.push(program);
        let error = verdicts::program_ended(program, reason, false);
        let refused = open.filter(|call| self.refuse_call(at, *call, &error) != Effect::Nothing);
        ended.refused.extend(refused);
        children
    }

    pub(super) fn apply_grant(&mut self, apply: &ApplyGrant) -> Effect {
        let grant = &apply.grant;
        if grant.request.shard != self.shard {
            let message = "the grant is for another shard";
            return Effect::Rejected(CallError::not_run(ErrorCode::Internal, message));
        }
        if !self.escrow.apply_grant(apply) {
            return Effect::Nothing;
        }
        Effect::Granted(BudgetPeriod {
            branch: grant.request.branch.clone(),
            period: grant.request.period,
        })
    }

    pub(super) fn return_escrow(&mut self, budget: &BudgetPeriod) -> Effect {
        match self
            .escrow
            .begin_return(self.shard, self.generation(), budget)
        {
            Some(returned) => Effect::Returning(returned),
            None => Effect::Nothing,
        }
    }
}

/// The key of the table of keys, if the program has one.
pub(super) fn program_key(
    branch: &courseshed_types::BranchPath,
    key: Option<&str>,
) -> Option<ProgramKey> {
    Some(ProgramKey {
        branch: branch.clone(),
        key: Box::from(key?),
    })
}
