//! The replicated state machine of the controllers.
//!
//! Commands are applied in the order of the log, by every controller alike; nothing here looks at a clock or at
//! anything that is not in the state or the command. A command that can't be carried out changes nothing and
//! answers with an error.

mod fleet;
mod founding;
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

/// A snapshot could not be written or read.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// It could not be written.
    #[snafu(display("the control state can't be encoded: {source}"))]
    Write {
        /// What MessagePack says.
        source: rmp_serde::encode::Error,
    },
    /// It could not be read.
    #[snafu(display("the control snapshot can't be decoded: {source}"))]
    Read {
        /// What MessagePack says.
        source: rmp_serde::decode::Error,
    },
}

/// What holds for the whole fleet, agreed through the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetOptions {
    /// How shards are placed.
    pub placement: PlacementOptions,
}

/// What an applied command did.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyOutcome {
    /// The settings were changed, now or when the same change came first.
    Settings(SettingsRecord),
    /// Escrow was granted, now or when the same request came first.
    Granted(Grant),
    /// A fence was given.
    Fence(u64),
    /// Done, or nothing to do.
    Done,
    /// Refused; nothing changed.
    Refused(CallError),
}

/// An applied command.
#[derive(Debug, Clone, PartialEq)]
pub struct Applied {
    /// Who proposed it; none if the entry could not be read.
    pub origin: Option<CommandOrigin>,
    /// What it did.
    pub outcome: ApplyOutcome,
}

/// Settings, member map, placement, grants and fences.
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
    /// Applies the entry of the log at `index`; entries applied before change nothing.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> Applied {
        let command = match ControlCommand::decode(bytes) {
            Ok(command) => command,
            Err(error) => {
                return Applied {
                    origin: None,
                    outcome: refused(ErrorCode::Internal, error.to_string()),
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

    /// The whole state as bytes.
    pub fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        rmp_serde::to_vec(self).context(WriteSnafu)
    }

    /// The state from the bytes of a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<ControlState, SnapshotError> {
        rmp_serde::from_slice(bytes).context(ReadSnafu)
    }

    /// The index of the last entry applied.
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

    /// Whether the map lists just these engines, in the state they would get.
    pub fn has_engines(&self, engines: &[EngineMember]) -> bool {
        self.fleet.listed(engines.to_vec()) == self.map().engines.engines
    }

    /// Policy and map, with what is needed to make deltas.
    pub fn published(&self) -> &Published {
        &self.published
    }

    /// The accepted changes.
    pub fn settings(&self) -> &SettingsHistory {
        &self.settings
    }

    /// The grants.
    pub fn ledger(&self) -> &BudgetLedger {
        &self.ledger
    }

    /// How the fleet is configured, once a leader has done so.
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
            CommandBody::ReturnGrant(returned) => self.ledger.give_back(&returned),
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

fn refused(code: ErrorCode, message: String) -> ApplyOutcome {
    ApplyOutcome::Refused(CallError::not_run(code, message))
}

/// The version that a change makes.
pub fn version_after(version: SettingsVersion) -> SettingsVersion {
    SettingsVersion(version.0 + 1)
}

#[cfg(test)]
mod tests;
