//! Determines which nodes may still use settings older than a given version.

use std::{collections::VecDeque, time::Duration};

use courseshed_types::{
    NodeId, SettingsVersion, Timestamp,
    control::{Member, NodeState},
};

use super::{ControlLeader, TreeCompiler};
use crate::state::ControlState;

/// Maximum number of versions whose acceptance time is retained.
const MAX_ACCEPTANCES: usize = 256;

/// Upper bounds of the acceptance times of versions.
#[derive(Debug, Clone, Default)]
pub(super) struct AcceptanceTimes {
    accepted: VecDeque<(SettingsVersion, Timestamp)>,
}

impl AcceptanceTimes {
    /// Records the version in force now; no effect if it is already recorded.
    pub(super) fn record(&mut self, version: SettingsVersion, now: Timestamp) {
        let newest = self.accepted.back().map(|(newest, _)| *newest);
        if newest.is_some_and(|newest| newest >= version) {
            return;
        }
        self.accepted.push_back((version, now));
        if self.accepted.len() > MAX_ACCEPTANCES {
            self.accepted.pop_front();
        }
    }

    /// A time by which the version had been accepted, or `None` if it has not been accepted.
    pub(super) fn accepted_by(&self, version: SettingsVersion) -> Option<Timestamp> {
        let mut times = self.accepted.iter();
        let (_, time) = times.find(|(accepted, _)| *accepted >= version)?;
        Some(*time)
    }
}

impl<C: TreeCompiler> ControlLeader<C> {
    /// Returns the nodes that may use a version older than `version`.
    ///
    /// A node is excluded only if it reported the version, or if it is down and can't start work: all leases issued
    /// before the version was accepted have expired, and no version that the node may have lets a branch continue
    /// while cut off.
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
            .filter(|reported| reported.incarnation == member.incarnation)
            .map(|reported| reported.position.settings);
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        let oldest = known.unwrap_or_default();
        let starts_nothing = self.older_leases_expired(now, version)
            && !state.settings().may_continue(oldest, version);
        member.state != NodeState::Down || !starts_nothing
    }

    /// Whether every lease on a version older than `version` has expired.
    fn older_leases_expired(&self, now: Timestamp, version: SettingsVersion) -> bool {
        let accepted = self.acceptances.accepted_by(version);
        accepted.is_some_and(|accepted| now > accepted + self.max_lease_duration())
    }

    fn max_lease_duration(&self) -> Duration {
        let lease = self.options.settings_lease;
        lease + lease * self.options.clock_rate_percent / 100
    }
}
