//! The replicated state machine of one shard.
//!
//! Applying the same commands in the same order gives the same state on every replica: there is no clock, no
//! settings and no random source here. Invariants, kept by `apply`:
//! - at most one call of a program is open, and it is its last one;
//! - a settled call never changes;
//! - an attempt is bound to an engine by exactly one command;
//! - reserved + spent stays within the escrow granted and within the program's budget.

mod accept;
mod attempts;
mod programs;
mod read;
mod retire;
mod snapshot;

use std::collections::BTreeMap;

use courseshed_types::{BranchPath, CallId, ProgramId, ShardId, Timestamp, shard::ShardReply};

pub use self::{accept::AcceptCheck, read::START_ORDER_VALIDITY, snapshot::SnapshotError};
use crate::{
    command::{CommandBody, ShardCommand},
    escrow::EscrowLedger,
    program::{ProgramRecord, Tombstone},
    result::{ApplyResult, Effect},
    usage::UsageTable,
};

/// Numbers a generation may give to programs, as a power of two.
const GENERATION_SHIFT: u32 = 40;

/// A caller's key for a program, unique within the branch that pays.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ProgramKey {
    branch: BranchPath,
    key: Box<str>,
}

/// The state of one shard, equal on all replicas that applied the same commands.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardState {
    shard: ShardId,
    applied: u64,
    last_program: u64,
    programs: BTreeMap<ProgramId, ProgramRecord>,
    tombstones: BTreeMap<ProgramId, Tombstone>,
    escrow: EscrowLedger,
    keys: BTreeMap<ProgramKey, ProgramId>,
    usage: UsageTable,
}

impl ShardState {
    /// The state of a shard before its first command.
    pub fn new(shard: ShardId) -> ShardState {
        ShardState::of_generation(shard, 1)
    }

    /// The state of a shard that was founded for the `generation`th time, before its first command. Earlier
    /// generations were lost with all their replicas; their programs' numbers are not given again.
    pub fn of_generation(shard: ShardId, generation: u32) -> ShardState {
        let lost = u64::from(generation.saturating_sub(1));
        ShardState {
            shard,
            applied: 0,
            last_program: lost << GENERATION_SHIFT,
            programs: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            escrow: EscrowLedger::default(),
            keys: BTreeMap::new(),
            usage: UsageTable::default(),
        }
    }

    /// The shard.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// The generation in which the shard was founded without programs.
    pub fn generation(&self) -> u32 {
        let lost = self.last_program >> GENERATION_SHIFT;
        u32::try_from(lost).map_or(u32::MAX, |lost| lost.saturating_add(1))
    }

    /// Index of the last command applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Applies the command at `index` of the log. An index at or below the last applied one changes nothing.
    pub fn apply(&mut self, index: u64, command: &ShardCommand) -> ApplyResult {
        let effect = if index > self.applied {
            self.applied = index;
            self.apply_body(command.at, &command.body)
        } else {
            Effect::Nothing
        };
        ApplyResult {
            origin: command.origin,
            effect,
        }
    }

    fn apply_body(&mut self, at: Timestamp, body: &CommandBody) -> Effect {
        match body {
            CommandBody::CreateProgram(create) => self.create_program(at, create),
            CommandBody::AcceptCall(accept) => self.accept_call(at, accept),
            CommandBody::DispatchCall(dispatch) => self.dispatch_call(at, dispatch),
            CommandBody::CompleteCall { request, answer } => {
                self.complete_call(at, *request, answer)
            }
            CommandBody::RetryCall(retry) => self.retry_call(at, retry),
            CommandBody::RefuseCall { call, error } => self.refuse_call(at, *call, error),
            CommandBody::FailCall {
                request,
                charge,
                error,
            } => self.fail_call(at, *request, *charge, error),
            CommandBody::Heartbeat(program) => self.heartbeat(at, *program),
            CommandBody::EndProgram(end) => self.end_program(at, end),
            CommandBody::ApplyGrant(grant) => self.apply_grant(grant),
            CommandBody::ReturnEscrow(budget) => self.return_escrow(budget),
            CommandBody::ReturnTaken(taken) => {
                self.escrow.finish_return(taken);
                Effect::Nothing
            }
            CommandBody::Retire(rule) => self.retire(at, rule),
        }
    }

    /// The error for a program that is not in the table.
    fn missing_program(&self, program: ProgramId) -> courseshed_types::CallError {
        crate::verdicts::missing_program(program, self.was_created(program))
    }

    /// Whether the program ever existed in this shard.
    fn was_created(&self, program: ProgramId) -> bool {
        program.shard == self.shard && program.number <= self.last_program && program.number > 0
    }

    /// The reply to a caller that waits for a call, if it is settled.
    pub fn settled_reply(&self, call: CallId) -> Option<ShardReply> {
        let outcome = self.outcome(call)?;
        Some(ShardReply::Outcome(courseshed_types::shard::SettledCall {
            call,
            outcome,
        }))
    }
}
