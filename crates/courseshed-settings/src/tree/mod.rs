//! The settings tree: what operators say about every branch.
//!
//! The root holds the defaults; each branch inherits from the branches above it
//! and overrides what it must. A [`SettingsTree`] exists only if all checks
//! passed, so whoever holds one can compile it, and the text it was made from is
//! kept exactly as given.

mod check;
mod compile;
mod diff;
mod effective;
mod key;
mod parse;
mod value;

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::{BranchPath, ModelName};

use crate::digest::KeyDigest;

pub use compile::compile_text;
pub use diff::{Change, diff};
pub use effective::{EffectiveSetting, Source};
pub use key::{Inheritance, KindKey, KindName, PlainKey, SettingKey};
pub use value::{Percent, SettingValue, Weight};

/// A settings tree that passed every check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsTree {
    text: String,
    models: Vec<ModelName>,
    operator_keys: Vec<KeyDigest>,
    branches: BTreeMap<BranchPath, Branch>,
}

/// The settings that a branch itself holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Branch {
    /// Line of the text on which the branch starts.
    line: Option<u32>,
    settings: BTreeMap<SettingKey, Setting>,
    /// Settings whose values could not be read: reported already, and no ground for more reports.
    faulty: BTreeSet<SettingKey>,
}

/// A setting as a branch holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Setting {
    value: SettingValue,
    /// Line of the text on which the value stands.
    line: u32,
}

impl SettingsTree {
    /// The text, exactly as it was given.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The models that branches may name.
    pub fn models(&self) -> &[ModelName] {
        &self.models
    }

    /// Digests of the operators' bearer keys.
    pub fn operator_keys(&self) -> &[KeyDigest] {
        &self.operator_keys
    }

    /// All branches, the root first, each before the branches below it.
    pub fn branches(&self) -> impl Iterator<Item = &BranchPath> {
        self.branches.keys()
    }

    /// What `branch` itself holds at `key`.
    pub fn own(&self, branch: &BranchPath, key: &SettingKey) -> Option<&SettingValue> {
        let setting = self.branches.get(branch)?.settings.get(key)?;
        Some(&setting.value)
    }
}
