//! When versions were accepted, as far as the present leader knows, and which nodes may still act on older ones.

use std::{collections::VecDeque, time::Duration};

use courseshed_types::{
    NodeId, SettingsVersion, Timestamp,
    control::{Member, NodeState},
};

use super::{ControlLeader, TreeCompiler};
use crate::state::ControlState;

/// Versions whose time of acceptance is remembered.
const ACCEPTANCES_REMEMBERED: usize = 256;

/// Upper bounds of the times at which versions were accepted.
#[derive(Debug, Clone, Default)]
pub(super) struct AcceptanceTimes {
    accepted: VecDeque<(SettingsVersion, Timestamp)>,
}

impl AcceptanceTimes {
    /// The version in force now; noting the same again changes nothing.
    pub(super) fn note(&mut self, version: SettingsVersion, now: Timestamp) {
        let newest = self.accepted.back().map(|(newest, _)| *newest);
        if newest.is_some_and(|newest| newest >= version) {
            return;
        }
        self.accepted.push_back((version, now));
        if self.accepted.len() > ACCEPTANCES_REMEMBERED {
            self.accepted.pop_front();
        }
    }

    /// A time by which the version had been accepted; none if it has not been.
    pub(super) fn accepted_by(&self, version: SettingsVersion) -> Option<Timestamp> {
        let mut times = self.accepted.iter();
        let (_, time) = times.find(|(accepted, _)| *accepted >= version)?;
        Some(*time)
    }
}

impl<C: TreeCompiler> ControlLeader<C> {
    /// Nodes that may act on a version older than `version`.
    ///
    /// A node is left out only if it reported the version itself, or if it is down and provably acts on nothing: any
    /// lease it may hold was issued before the version was accepted and has run out since, and no version it may
    /// have lets a branch go on when cut off.
    pub(super) fn lagging(
        &self,
        now: Timestamp,
        version: SettingsVersion,
        state: &ControlState,
    ) -> Vec<NodeId> {
        let members = state.map().members.values();
        members
            .filter(|member| self.may_lag(now, version, member, state))
            .map(|member| member.node)
            .collect()
    }

    fn may_lag(
        &self,
        now: Timestamp,
        version: SettingsVersion,
        member: &Member,
        state: &ControlState,
    ) -> bool {
        let known = self
            .positions
            .get(&member.node)
            .filter(|heard| heard.incarnation == member.incarnation)
            .map(|heard| heard.position.settings);
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        let oldest = known.unwrap_or_default();
        let refuses = self.leases_have_run_out(now, version)
            && !state.settings().may_continue(oldest, version);
        member.state != NodeState::Down || !refuses
    }

    /// Whether every lease on a version older than `version` has run out.
    fn leases_have_run_out(&self, now: Timestamp, version: SettingsVersion) -> bool {
        let accepted = self.acceptances.accepted_by(version);
        accepted.is_some_and(|accepted| now > accepted + self.longest_lease())
    }

    fn longest_lease(&self) -> Duration {
        let lease = self.options.settings_lease;
        lease + lease * self.options.clock_rate_percent / 100
    }
}
