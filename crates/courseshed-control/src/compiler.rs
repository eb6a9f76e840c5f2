//! Compilation of a settings tree into a policy.
//!
//! The leader compiles the tree before proposing it, and the command contains the result, so that replicas running
//! different releases apply the same policy.

use courseshed_types::{PolicySnapshot, SettingsVersion};

/// Validates and compiles settings trees.
pub trait TreeCompiler {
    /// Returns the policy of a tree at a version, or all errors of the tree, one sentence each.
    fn compile(&self, tree: &str, version: SettingsVersion) -> Result<PolicySnapshot, Vec<String>>;
}

impl<F> TreeCompiler for F
where
    F: Fn(&str, SettingsVersion) -> Result<PolicySnapshot, Vec<String>>,
{
    fn compile(&self, tree: &str, version: SettingsVersion) -> Result<PolicySnapshot, Vec<String>> {
        self(tree, version)
    }
}
