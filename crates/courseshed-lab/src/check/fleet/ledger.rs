//! The budget ledger: the controllers' own state machine, as if on one machine that is never lost.
//!
//! Whether a group of controllers keeps its state is the log's own simulation; here the ledger may only be slow, out
//! of reach, or asked the same thing again.

use std::sync::Arc;

use courseshed_control::{ApplyOutcome, CommandBody, CommandOrigin, ControlCommand, ControlState};
use courseshed_types::{
    NodeId, PolicySnapshot, SettingsVersion, Timestamp, Tokens,
    control::{Grant, GrantRequest, GrantReturn, SettingsChange},
};

use super::options::FleetVariant;

/// The ledger.
pub struct Ledger {
    state: ControlState,
    index: u64,
    variant: FleetVariant,
    pub is_reachable: bool,
}

impl Ledger {
    pub fn new(policy: Arc<PolicySnapshot>, variant: FleetVariant) -> Ledger {
        let mut ledger = Ledger {
            state: ControlState::default(),
            index: 0,
            variant,
            is_reachable: true,
        };
        let change = SettingsChange {
            expected_version: SettingsVersion(0),
            change_id: "first".into(),
            tree: String::new(),
            author: "check".to_owned(),
        };
        ledger.apply(
            Timestamp::ZERO,
            CommandBody::ApplySettings { change, policy },
        );
        ledger
    }

    fn apply(&mut self, now: Timestamp, body: CommandBody) -> ApplyOutcome {
        self.index += 1;
        let command = ControlCommand {
            at: now,
            origin: CommandOrigin {
                node: NodeId(100),
                serial: self.index,
            },
            body,
        };
        let bytes = command.encode().expect("a command can be encoded");
        self.state.apply(self.index, &bytes).outcome
    }

    /// Answers a request for escrow; none if it is refused.
    pub fn grant(&mut self, now: Timestamp, request: GrantRequest) -> Option<Grant> {
        if self.variant == FleetVariant::LedgerGrantsAll {
            let granted = Tokens(request.wanted.0);
            return Some(Grant { request, granted });
        }
        match self.apply(now, CommandBody::Grant(request)) {
            ApplyOutcome::Granted(grant) => Some(grant),
            _ => None,
        }
    }

    /// Takes escrow back.
    pub fn take_back(&mut self, now: Timestamp, returned: GrantReturn) -> Option<GrantReturn> {
        match self.apply(now, CommandBody::ReturnGrant(returned.clone())) {
            ApplyOutcome::Done => Some(returned),
            _ => None,
        }
    }
}
