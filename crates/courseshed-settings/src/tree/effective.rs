//! Effective values: what holds for a branch, and where each value came from.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_types::admin::{EffectiveDocument, EffectiveValue};
use courseshed_types::policy::CutOffPolicy;
use courseshed_types::{BranchPath, BranchPolicy, SettingsVersion};

use super::key::{Inheritance, KindKey, KindName, PLAIN, PlainKey, SettingKey};
use super::value::{Percent, SettingValue, Weight};
use super::{Branch, Setting, SettingsTree};
use crate::units::BASIS_POINTS;

/// Length of a budget period where no branch sets one.
const DEFAULT_PERIOD: Duration = Duration::from_secs(3_600);

/// Where an effective value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This branch sets it: the branch itself, or one above it.
    Branch(BranchPath),
    /// No branch sets it.
    Default,
}

/// A setting as it holds for a branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveSetting {
    /// The setting.
    pub key: SettingKey,
    /// Its value; `None` where there is no bound.
    pub value: Option<SettingValue>,
    /// Where the value came from.
    pub source: Source,
}

impl SettingsTree {
    /// Every setting as it holds for `branch`, by key; `None` if there is no such branch.
    pub fn effective(&self, branch: &BranchPath) -> Option<Vec<EffectiveSetting>> {
        self.branches.get(branch)?;
        let plain = PLAIN.iter().map(|spec| SettingKey::Plain(spec.key));
        let kinds = self.kinds(branch).into_iter().flat_map(|kind| {
            let keys = [KindKey::Aim, KindKey::Worth, KindKey::Priority];
            keys.map(|key| SettingKey::Kind(kind.clone(), key))
        });
        Some(
            plain
                .chain(kinds)
                .map(|key| self.effective_setting(branch, key))
                .collect(),
        )
    }

    /// The kinds of programs that `branch` or a branch above it names.
    pub(super) fn kinds(&self, branch: &BranchPath) -> BTreeSet<KindName> {
        let held = branch
            .ancestry()
            .filter_map(|path| self.branches.get(&path));
        let keys = held.flat_map(|branch| branch.settings.keys());
        keys.filter_map(|key| match key {
            SettingKey::Kind(kind, _) => Some(kind.clone()),
            SettingKey::Plain(_) => None,
        })
        .collect()
    }

    fn effective_setting(&self, branch: &BranchPath, key: SettingKey) -> EffectiveSetting {
        match resolve(&self.branches, branch, &key) {
            Some((holder, setting)) => EffectiveSetting {
                key,
                value: Some(setting.value.clone()),
                source: Source::Branch(holder),
            },
            None => EffectiveSetting {
                value: self.default_of(branch, &key),
                key,
                source: Source::Default,
            },
        }
    }

    /// The value where no branch sets one. A kind that sets only some of its values takes the
    /// others from the programs that name no kind.
    fn default_of(&self, branch: &BranchPath, key: &SettingKey) -> Option<SettingValue> {
        let plain = match key {
            SettingKey::Plain(key) => return default_value(*key),
            SettingKey::Kind(_, KindKey::Aim) => PlainKey::Aim,
            SettingKey::Kind(_, KindKey::Worth) => PlainKey::Worth,
            SettingKey::Kind(_, KindKey::Priority) => return Some(SettingValue::Priority(0)),
        };
        self.effective_setting(branch, SettingKey::Plain(plain))
            .value
    }
}

/// The branch that sets `key` for `branch`, and what it sets.
pub(super) fn resolve<'b>(
    branches: &'b BTreeMap<BranchPath, Branch>,
    branch: &BranchPath,
    key: &SettingKey,
) -> Option<(BranchPath, &'b Setting)> {
    let reach = match key.inheritance() {
        Inheritance::Own => 1,
        Inheritance::Inherited | Inheritance::Bounding => usize::MAX,
    };
    branch.ancestry().take(reach).find_map(|path| {
        let setting = branches.get(&path)?.settings.get(key)?;
        Some((path, setting))
    })
}

/// The built-in value of a setting; `None` where the default is no bound at all.
pub(super) fn default_value(key: PlainKey) -> Option<SettingValue> {
    use SettingValue as Value;
    let limits = BranchPolicy::default().limits;
    let value = match key {
        PlainKey::Share | PlainKey::Worth => Value::Weight(Weight::whole(1)),
        PlainKey::Floor => Value::Percent(Percent(0)),
        PlainKey::Priority => Value::Priority(0),
        PlainKey::WhenCutOff => Value::CutOff(CutOffPolicy::Refuse),
        PlainKey::BudgetPeriod => Value::Duration(DEFAULT_PERIOD),
        PlainKey::CacheShare => Value::Percent(Percent(BASIS_POINTS)),
        PlainKey::LimitCallsAtOnce => Value::Count(limits.calls_at_once),
        PlainKey::LimitProgramsAtOnce => Value::Count(limits.programs_at_once),
        PlainKey::LimitTurns => Value::Count(limits.turns),
        PlainKey::LimitDepth => Value::Count(limits.depth),
        PlainKey::LimitHistoryTokens => Value::Tokens(limits.history_tokens),
        PlainKey::LimitOutputTokens => Value::Tokens(limits.output_tokens),
        PlainKey::LimitToolPause => Value::Duration(limits.tool_pause),
        PlainKey::LimitQueueWait => Value::Duration(limits.queue_wait),
        PlainKey::Aim
        | PlainKey::Keys
        | PlainKey::BudgetTokens
        | PlainKey::BudgetPerProgram
        | PlainKey::ModelsAllowed
        | PlainKey::ModelsDefault => return None,
    };
    Some(value)
}

impl SettingsTree {
    /// The effective values of `branch` in the shape of the operators' interface.
    pub fn effective_document(
        &self,
        branch: &BranchPath,
        version: SettingsVersion,
    ) -> Option<EffectiveDocument> {
        let values = self
            .effective(branch)?
            .into_iter()
            .map(EffectiveSetting::into_document);
        Some(EffectiveDocument {
            version,
            branch: branch.clone(),
            values: values.collect(),
        })
    }
}

impl EffectiveSetting {
    fn into_document(self) -> EffectiveValue {
        let from = match self.source {
            Source::Branch(branch) => Some(branch),
            Source::Default => None,
        };
        EffectiveValue {
            key: self.key.to_string(),
            value: self
                .value
                .map(|value| value.to_string())
                .unwrap_or_default(),
            from,
        }
    }
}
