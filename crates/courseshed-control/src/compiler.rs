//! Turns the text of a settings tree into a policy.
//!
//! The leader compiles before it proposes, and the command carries the result, so that replicas of different
//! releases never disagree on what a tree means.

use courseshed_types::{PolicySnapshot, SettingsVersion};

/// Checks and compiles settings trees.
pub trait TreeCompiler {
    /// The policy of a tree at a version, or all problems of the tree, one sentence each.
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
