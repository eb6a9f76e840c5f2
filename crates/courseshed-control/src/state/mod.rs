//! The replicated state machine of the controllers.
//!
//! Every controller applies the commands in log order. Results depend only on the state and the command, never on a
//! local clock. A rejected command returns an error and leaves settings and the member map unchanged.

mod bootstrap;
mod fleet;
mod ledger;
mod settings;

use std::sync::Arc;

use courseshed_membership::PlacementOptions;
use courseshed_types::{
    CallError, EngineId, ErrorCode, PolicySnapshot, SettingsVersion,
    control::{ControlPosition, Grant, MemberMap, SettingsRecord},
    dispatch::EngineMember,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

pub use ledger::{BudgetLedger, LastGrant};
pub use settings::SettingsHistory;

use crate::{
    command::{CommandBody, CommandOrigin, ControlCommand},
    publish::Published,
};
use fleet::Fleet;

/// A snapshot could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// Encoding failed.
    #[snafu(display("the control state can't be encoded: {source}"))]
    Write {
        /// The MessagePack error.
        source: rmp_serde::encode::Error,
    },
    /// Decoding failed.
    #[snafu(display("the control snapshot can't be decoded: {source}"))]
    Read {
        /// The MessagePack error.
        source: rmp_serde::decode::Error,
    },
}

/// Fleet-wide options, replicated through the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetOptions {
    /// Parameters of shard placement.
    pub placement: PlacementOptions,
}

/// Result of an applied command.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyOutcome {
    /// The settings change was accepted, now or when it was first submitted.
    Settings(SettingsRecord),
    /// Escrow was granted, now or when it was first requested.
    Granted(Grant),
    /// A fencing token was issued.
    Fence(u64),
    /// The command succeeded or had no effect.
    Done,
    /// The command was rejected.
    Refused(CallError),
}

/// An applied command.
#[derive(Debug, Clone, PartialEq)]
pub struct Applied {
    /// The proposal that created the entry; `None` if it could not be decoded.
    pub origin: Option<CommandOrigin>,
    /// The result.
    pub outcome: ApplyOutcome,
}

/// The replicated state: settings, member map, placement, grants and fencing tokens.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ControlState {
    applied_index: u64,
    settings: SettingsHistory,
    fleet: Fleet,
    published: Published,
    ledger: BudgetLedger,
    last_fence: u64,
}

impl ControlState {
    /// Applies the log entry at `index`; entries that were already applied have no effect.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> Applied {
        let command = match ControlCommand::decode(bytes) {
            Ok(command) => command,
            Err(error) => {
                return Applied {
                    origin: None,
                    outcome: rejected(ErrorCode::Internal, error.to_string()),
                };
            }
        };
        let origin = Some(command.origin);
        if index <= self.applied_index {
            return Applied {
                origin,
                outcome: ApplyOutcome::Done,
            };
        }
        self.applied_index = index;
        Applied {
            origin,
            outcome: self.execute(command),
        }
    }

    /// Encodes the state as a snapshot.
    pub fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        rmp_serde::to_vec(self).context(WriteSnafu)
    }

    /// Restores the state from a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<ControlState, SnapshotError> {
        rmp_serde::from_slice(bytes).context(ReadSnafu)
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The settings version and map epoch.
    pub fn position(&self) -> ControlPosition {
        self.published.position()
    }

    /// The policy in force.
    pub fn policy(&self) -> &Arc<PolicySnapshot> {
        self.published.policy()
    }

    /// The member map.
    pub fn map(&self) -> &Arc<MemberMap> {
        self.published.map()
    }

    /// Whether setting these engines would leave the map unchanged.
    pub fn has_engines(&self, engines: &[EngineMember]) -> bool {
        self.fleet.normalize_engines(engines.to_vec()) == self.map().engines.engines
    }

    /// Policy and map with their change logs.
    pub fn published(&self) -> &Published {
        &self.published
    }

    /// History of accepted settings changes.
    pub fn settings(&self) -> &SettingsHistory {
        &self.settings
    }

    /// Ledger of budget grants.
    pub fn ledger(&self) -> &BudgetLedger {
        &self.ledger
    }

    /// The fleet options, once a leader has set them.
    pub fn fleet_options(&self) -> Option<FleetOptions> {
        self.fleet.options()
    }

    fn execute(&mut self, command: ControlCommand) -> ApplyOutcome {
        let at = command.at;
        let ControlState {
            fleet, published, ..
        } = self;
        let result = match command.body {
            CommandBody::Configure(options) => fleet.configure(published, options),
            CommandBody::RegisterNode(member) => fleet.register(published, member),
            CommandBody::NodeDown { node, incarnation } => {
                fleet.node_down(published, node, incarnation)
            }
            CommandBody::NodeLeaving(node) => fleet.node_leaving(published, node),
            CommandBody::DrainNode { node, leaving } => fleet.drain_node(published, node, leaving),
            CommandBody::NodeGone(node) => fleet.node_gone(published, node),
            CommandBody::ReportVoters(report) => fleet.report_voters(published, report),
            CommandBody::SetEngines(engines) => fleet.set_engines(published, engines),
            CommandBody::DrainEngine { engine, leaving } => {
                fleet.drain_engine(published, engine, leaving)
            }
            CommandBody::ApplySettings { change, policy } => {
                self.settings.apply(published, at, change, policy)
            }
            CommandBody::TakeFence(engine) => self.take_fence(&engine),
            CommandBody::Grant(request) => {
                let budget = budget_of(published.policy(), &request.branch);
                self.ledger.grant(at, request, budget)
            }
            CommandBody::ReturnGrant(returned) => self.ledger.return_grant(&returned),
        };
        result.unwrap_or_else(ApplyOutcome::Refused)
    }

    fn take_fence(&mut self, engine: &EngineId) -> Result<ApplyOutcome, CallError> {
        let engines = &self.published.map().engines.engines;
        if !engines.iter().any(|member| &member.engine == engine) {
            let message = format!("no engine is called {engine}");
            return Err(CallError::not_run(ErrorCode::NotFound, message));
        }
        self.last_fence += 1;
        Ok(ApplyOutcome::Fence(self.last_fence))
    }
}

fn budget_of(
    policy: &PolicySnapshot,
    branch: &courseshed_types::BranchPath,
) -> Result<Option<courseshed_types::policy::PeriodBudget>, CallError> {
    match policy.branch(branch) {
        Some(policy) => Ok(policy.budget),
        None => {
            let message = format!("no branch is called {branch}");
            Err(CallError::not_run(ErrorCode::NotFound, message))
        }
    }
}

fn rejected(code: ErrorCode, message: String) -> ApplyOutcome {
    ApplyOutcome::Refused(CallError::not_run(code, message))
}

/// The version that follows `version`.
pub fn version_after(version: SettingsVersion) -> SettingsVersion {
    SettingsVersion(version.0 + 1)
}

#[cfg(test)]
mod tests;
