//! From a settings tree to the policy that dispatchers, shards and gateways follow.
//!
//! Invariant: the same text compiles to the same policy on every node.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::policy::{BranchLimits, CutOffPolicy, KindPolicy, PeriodBudget};
use courseshed_types::{
    BranchPath, BranchPolicy, ModelName, PolicySnapshot, SettingsVersion, Tokens,
};

use super::effective::{default_value, resolve};
use super::key::{KindKey, KindName, PlainKey, SettingKey};
use super::value::SettingValue;
use super::{Branch, SettingsTree};
use crate::digest::KeyDigest;
use crate::problem::Problem;

/// Reads, checks and compiles the text of a tree, as `version`.
///
/// # Errors
/// Every fault of the text at once, in the order of their lines.
pub fn compile_text(text: &str, version: SettingsVersion) -> Result<PolicySnapshot, Vec<Problem>> {
    SettingsTree::parse(text).map(|tree| tree.compile(version))
}

impl SettingsTree {
    /// The effective policy of every branch, as `version`.
    pub fn compile(&self, version: SettingsVersion) -> PolicySnapshot {
        let policies = self
            .branches
            .keys()
            .map(|path| (path.clone(), self.policy(path)));
        PolicySnapshot {
            version,
            branches: policies.collect(),
            operator_key_digests: digests(&self.operator_keys),
            models: self.models.clone(),
        }
    }

    fn policy(&self, path: &BranchPath) -> BranchPolicy {
        let view = View {
            branches: &self.branches,
            path,
        };
        let default_kind = KindPolicy {
            aim: view.duration(PlainKey::Aim),
            worth: view.weight(PlainKey::Worth),
            priority: 0,
        };
        let kinds = self.kinds(path).into_iter();
        BranchPolicy {
            share: view.weight(PlainKey::Share),
            floor: view.percent(PlainKey::Floor),
            priority: view.priority(PlainKey::Priority),
            budget: view.budget(),
            program_budget: view.tokens(PlainKey::BudgetPerProgram),
            limits: view.limits(),
            default_kind,
            kinds: kinds
                .map(|kind| (kind.as_str().to_owned(), view.kind(&kind, default_kind)))
                .collect(),
            cache_share: view.percent(PlainKey::CacheShare),
            models: view.models(),
            default_model: view.model(),
            when_cut_off: view.when_cut_off(),
            key_digests: view.digests(),
        }
    }
}

/// The settings as they hold for one branch.
struct View<'t> {
    branches: &'t BTreeMap<BranchPath, Branch>,
    path: &'t BranchPath,
}

impl View<'_> {
    fn value(&self, key: PlainKey) -> Option<SettingValue> {
        let set = resolve(self.branches, self.path, &SettingKey::Plain(key));
        set.map(|(_, setting)| setting.value.clone())
            .or_else(|| default_value(key))
    }

    fn weight(&self, key: PlainKey) -> f64 {
        match self.value(key) {
            Some(SettingValue::Weight(weight)) => weight.as_f64(),
            _ => 1.0,
        }
    }

    fn percent(&self, key: PlainKey) -> f64 {
        match self.value(key) {
            Some(SettingValue::Percent(percent)) => percent.as_f64(),
            _ => 0.0,
        }
    }

    fn priority(&self, key: PlainKey) -> i32 {
        match self.value(key) {
            Some(SettingValue::Priority(priority)) => priority,
            _ => 0,
        }
    }

    fn duration(&self, key: PlainKey) -> Option<Duration> {
        match self.value(key)? {
            SettingValue::Duration(duration) => Some(duration),
            _ => None,
        }
    }

    fn tokens(&self, key: PlainKey) -> Option<Tokens> {
        match self.value(key)? {
            SettingValue::Tokens(tokens) => Some(tokens),
            _ => None,
        }
    }

    fn count(&self, key: PlainKey) -> Option<u32> {
        match self.value(key)? {
            SettingValue::Count(count) => Some(count),
            _ => None,
        }
    }

    /// The budget that the branch itself holds: those above it bind on their own.
    fn budget(&self) -> Option<PeriodBudget> {
        let key = SettingKey::Plain(PlainKey::BudgetTokens);
        let own = self.branches.get(self.path)?.settings.get(&key)?;
        let SettingValue::Tokens(tokens) = own.value else {
            return None;
        };
        Some(PeriodBudget {
            tokens,
            period: self.duration(PlainKey::BudgetPeriod)?,
        })
    }

    fn limits(&self) -> BranchLimits {
        let default = BranchLimits::default();
        let count = |key, default| self.count(key).unwrap_or(default);
        let tokens = |key, default| self.tokens(key).unwrap_or(default);
        let duration = |key, default| self.duration(key).unwrap_or(default);
        BranchLimits {
            calls_at_once: count(PlainKey::LimitCallsAtOnce, default.calls_at_once),
            programs_at_once: count(PlainKey::LimitProgramsAtOnce, default.programs_at_once),
            turns: count(PlainKey::LimitTurns, default.turns),
            history_tokens: tokens(PlainKey::LimitHistoryTokens, default.history_tokens),
            tool_pause: duration(PlainKey::LimitToolPause, default.tool_pause),
            queue_wait: duration(PlainKey::LimitQueueWait, default.queue_wait),
            output_tokens: tokens(PlainKey::LimitOutputTokens, default.output_tokens),
            depth: count(PlainKey::LimitDepth, default.depth),
        }
    }

    fn kind(&self, kind: &KindName, default: KindPolicy) -> KindPolicy {
        let value = |key| {
            let key = SettingKey::Kind(kind.clone(), key);
            resolve(self.branches, self.path, &key).map(|(_, setting)| setting.value.clone())
        };
        let mut policy = default;
        if let Some(SettingValue::Duration(aim)) = value(KindKey::Aim) {
            policy.aim = Some(aim);
        }
        if let Some(SettingValue::Weight(worth)) = value(KindKey::Worth) {
            policy.worth = worth.as_f64();
        }
        if let Some(SettingValue::Priority(priority)) = value(KindKey::Priority) {
            policy.priority = priority;
        }
        policy
    }

    fn models(&self) -> Vec<ModelName> {
        match self.value(PlainKey::ModelsAllowed) {
            Some(SettingValue::Models(models)) => models,
            _ => Vec::new(),
        }
    }

    fn model(&self) -> Option<ModelName> {
        match self.value(PlainKey::ModelsDefault)? {
            SettingValue::Model(model) => Some(model),
            _ => None,
        }
    }

    fn when_cut_off(&self) -> CutOffPolicy {
        match self.value(PlainKey::WhenCutOff) {
            Some(SettingValue::CutOff(policy)) => policy,
            _ => CutOffPolicy::Refuse,
        }
    }

    fn digests(&self) -> Vec<String> {
        match self.value(PlainKey::Keys) {
            Some(SettingValue::Digests(keys)) => digests(&keys),
            _ => Vec::new(),
        }
    }
}

fn digests(keys: &[KeyDigest]) -> Vec<String> {
    keys.iter().map(ToString::to_string).collect()
}
