//! What changes from one settings tree to another.

use std::collections::BTreeSet;
use std::fmt;

use courseshed_types::{BranchPath, ModelName};

use super::value::write_list;
use super::{SettingKey, SettingValue, SettingsTree};
use crate::digest::KeyDigest;

/// One difference between two trees; it displays as one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The list of models is another one.
    Models {
        /// Models of the old tree.
        from: Vec<ModelName>,
        /// Models of the new tree.
        to: Vec<ModelName>,
    },
    /// The operators' keys are other ones.
    OperatorKeys {
        /// Digests of the old tree.
        from: Vec<KeyDigest>,
        /// Digests of the new tree.
        to: Vec<KeyDigest>,
    },
    /// The new tree has this branch besides.
    BranchAdded(BranchPath),
    /// The new tree lacks this branch.
    BranchRemoved(BranchPath),
    /// A branch holds another value, or no longer holds one, or holds one for the first time.
    Setting {
        /// The branch.
        branch: BranchPath,
        /// The setting.
        key: SettingKey,
        /// What the old tree holds.
        from: Option<SettingValue>,
        /// What the new tree holds.
        to: Option<SettingValue>,
    },
}

/// The differences from `old` to `new`, by branch and key; empty if both say the same.
pub fn diff(old: &SettingsTree, new: &SettingsTree) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.models != new.models {
        changes.push(Change::Models {
            from: old.models.clone(),
            to: new.models.clone(),
        });
    }
    if old.operator_keys != new.operator_keys {
        let (from, to) = (old.operator_keys.clone(), new.operator_keys.clone());
        changes.push(Change::OperatorKeys { from, to });
    }
    let branches: BTreeSet<_> = old.branches().chain(new.branches()).collect();
    for branch in branches {
        match (
            old.branches.contains_key(branch),
            new.branches.contains_key(branch),
        ) {
            (false, _) => changes.push(Change::BranchAdded(branch.clone())),
            (_, false) => changes.push(Change::BranchRemoved(branch.clone())),
            _ => {}
        }
        changes.extend(diff_branch(old, new, branch));
    }
    changes
}

fn diff_branch(old: &SettingsTree, new: &SettingsTree, branch: &BranchPath) -> Vec<Change> {
    let held = [old, new]
        .into_iter()
        .filter_map(|tree| tree.branches.get(branch));
    let keys: BTreeSet<_> = held.flat_map(|branch| branch.settings.keys()).collect();
    let mut changes = Vec::new();
    for key in keys {
        let from = old.own(branch, key).cloned();
        let to = new.own(branch, key).cloned();
        if from != to {
            changes.push(Change::Setting {
                branch: branch.clone(),
                key: key.clone(),
                from,
                to,
            });
        }
    }
    changes
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Models { from, to } => write_lists(formatter, "models", from, to),
            Self::OperatorKeys { from, to } => write_lists(formatter, "operator_keys", from, to),
            Self::BranchAdded(branch) => write!(formatter, "+ {branch}"),
            Self::BranchRemoved(branch) => write!(formatter, "- {branch}"),
            Self::Setting {
                branch,
                key,
                from,
                to,
            } => {
                let shown = |value: &Option<SettingValue>| {
                    value
                        .as_ref()
                        .map_or_else(|| "(unset)".to_owned(), ToString::to_string)
                };
                write!(
                    formatter,
                    "~ {branch} {key}: {} -> {}",
                    shown(from),
                    shown(to)
                )
            }
        }
    }
}

fn write_lists(
    formatter: &mut fmt::Formatter<'_>,
    name: &str,
    from: &[impl fmt::Display],
    to: &[impl fmt::Display],
) -> fmt::Result {
    write!(formatter, "~ {name}: ")?;
    write_list(formatter, from)?;
    formatter.write_str(" -> ")?;
    write_list(formatter, to)
}
