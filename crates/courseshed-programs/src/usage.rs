//! How many calls and programs each branch has under way in this shard, counted for the branch and all above it.
//!
//! Derived from the program table: rebuilt when a snapshot is restored, never written into one.

use std::collections::BTreeMap;

use courseshed_types::BranchPath;

use crate::command::BranchLimit;

/// What a branch and all below it have under way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BranchUsage {
    /// Programs that have not ended.
    pub programs: u32,
    /// Calls that wait or run.
    pub calls: u32,
}

/// Usage by branch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageTable {
    branches: BTreeMap<BranchPath, BranchUsage>,
}

impl UsageTable {
    /// What a branch and all below it have under way.
    pub fn of(&self, branch: &BranchPath) -> BranchUsage {
        self.branches.get(branch).copied().unwrap_or_default()
    }

    /// The first branch that has its limit of programs.
    pub fn programs_full<'a>(&self, limits: &'a [BranchLimit]) -> Option<&'a BranchLimit> {
        let full = |limit: &&BranchLimit| self.of(&limit.branch).programs >= limit.limit;
        limits.iter().find(full)
    }

    /// The first branch that has its limit of calls.
    pub fn calls_full<'a>(&self, limits: &'a [BranchLimit]) -> Option<&'a BranchLimit> {
        let full = |limit: &&BranchLimit| self.of(&limit.branch).calls >= limit.limit;
        limits.iter().find(full)
    }

    pub(crate) fn program_started(&mut self, branch: &BranchPath) {
        self.update(branch, |usage| usage.programs += 1);
    }

    pub(crate) fn program_ended(&mut self, branch: &BranchPath) {
        self.update(branch, |usage| {
            usage.programs = usage.programs.saturating_sub(1)
        });
    }

    pub(crate) fn call_opened(&mut self, branch: &BranchPath) {
        self.update(branch, |usage| usage.calls += 1);
    }

    pub(crate) fn call_settled(&mut self, branch: &BranchPath) {
        self.update(branch, |usage| usage.calls = usage.calls.saturating_sub(1));
    }

    fn update(&mut self, branch: &BranchPath, change: impl Fn(&mut BranchUsage)) {
        for ancestor in branch.ancestry() {
            let usage = self.branches.entry(ancestor.clone()).or_default();
            change(usage);
            if *usage == BranchUsage::default() {
                self.branches.remove(&ancestor);
            }
        }
    }
}
