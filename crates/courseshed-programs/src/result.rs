//! What applying a command did, for the leader that proposed it.

use courseshed_types::{CallError, CallId, ProgramId, RequestId, control::GrantReturn};

use crate::command::{BudgetPeriod, ProposalId};

/// What one command did to the state.
#[derive(Debug, Clone, PartialEq)]
pub struct ApplyResult {
    /// Who proposed the command.
    pub origin: ProposalId,
    /// What it did.
    pub effect: Effect,
}

/// The effect of a command. All but `Rejected` and `Nothing` changed the state.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The program exists now, or did before.
    Program(ProgramId),
    /// The call is accepted.
    Accepted(CallId),
    /// The same call was accepted before.
    Known(CallId),
    /// The attempt is bound to its engine. Exactly one command per attempt has this effect.
    Dispatched(RequestId),
    /// The attempt ended and the call waits for another one.
    Retried(RetriedEffect),
    /// The call is settled now.
    Settled(SettledEffect),
    /// These programs ended, and these calls, not dispatched, were refused with them.
    Ended(EndedEffect),
    /// The program's time of activity moved.
    Active(ProgramId),
    /// Escrow was added.
    Granted(BudgetPeriod),
    /// Escrow was taken out, to be given back.
    Returning(GrantReturn),
    /// Nothing changed: stale, or done before.
    Nothing,
    /// Nothing changed: against the rules.
    Rejected(CallError),
}

/// An attempt that ended while its call goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetriedEffect {
    /// The attempt that ended.
    pub request: RequestId,
    /// Whether its engine is to blame.
    pub engine_fault: bool,
}

/// A call that was settled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettledEffect {
    /// The call.
    pub call: CallId,
    /// The attempt that was under way, if one had been dispatched.
    pub request: Option<RequestId>,
}

/// Programs that ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndedEffect {
    /// The programs, parents first.
    pub programs: Vec<ProgramId>,
    /// Calls refused with them.
    pub refused: Vec<CallId>,
}
