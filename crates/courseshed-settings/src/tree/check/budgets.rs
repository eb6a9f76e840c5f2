//! Checks of budgets: a branch cannot be granted more than the branches above it.

use std::time::Duration;

use courseshed_types::{BranchPath, Tokens};

use super::Checker;
use crate::tree::Branch;
use crate::tree::effective::{default_value, resolve};
use crate::tree::key::{PlainKey, SettingKey};
use crate::tree::value::SettingValue;
use crate::units::format_duration;

/// A budget with the length of its period.
#[derive(Clone, Copy)]
struct Rate {
    tokens: Tokens,
    period: Duration,
}

impl Rate {
    /// Whether this grants more tokens over a long time than `other`.
    fn exceeds(self, other: Rate) -> bool {
        let own = u128::from(self.tokens.0).saturating_mul(other.period.as_millis());
        let others = u128::from(other.tokens.0).saturating_mul(self.period.as_millis());
        own > others
    }
}

impl Checker<'_> {
    /// Compares the budgets that `path` holds with those it holds beside them and those above.
    pub(super) fn check_budgets(&self, path: &BranchPath, branch: &Branch) {
        self.check_branch_budget(path);
        let key = SettingKey::Plain(PlainKey::BudgetPerProgram);
        if branch.settings.contains_key(&key) {
            self.check_program_budget(path);
        }
    }

    fn check_branch_budget(&self, path: &BranchPath) {
        let Some(own) = self.rate(path) else {
            return;
        };
        let above = path.ancestry().skip(1);
        let closest = above
            .filter_map(|holder| Some((self.rate(&holder)?, holder)))
            .next();
        let Some((bound, holder)) = closest else {
            return;
        };
        if own.exceeds(bound) {
            let reason = format!(
                "{} tokens in {} is above the {} in {} of `{holder}`",
                own.tokens,
                format_duration(own.period),
                bound.tokens,
                format_duration(bound.period),
            );
            self.setting_fault(
                path,
                PlainKey::BudgetTokens,
                reason,
                &bound.tokens.to_string(),
            );
        }
    }

    fn check_program_budget(&self, path: &BranchPath) {
        let Some(own) = self.tokens(path, PlainKey::BudgetPerProgram) else {
            return;
        };
        let above = path
            .parent()
            .and_then(|parent| self.tokens(&parent, PlainKey::BudgetPerProgram));
        let bounds = [
            (above, "the branch above grants a program"),
            (
                self.tokens(path, PlainKey::BudgetTokens),
                "the branch may spend in a period",
            ),
        ];
        for (bound, who) in bounds {
            if let Some(bound) = bound.filter(|bound| own > *bound) {
                let reason = format!("{own} tokens is above the {bound} that {who}");
                self.setting_fault(path, PlainKey::BudgetPerProgram, reason, &bound.to_string());
            }
        }
    }

    /// The budget that `path` itself holds.
    fn rate(&self, path: &BranchPath) -> Option<Rate> {
        let SettingValue::Tokens(tokens) = self.own(path, PlainKey::BudgetTokens)?.value else {
            return None;
        };
        let key = SettingKey::Plain(PlainKey::BudgetPeriod);
        let set =
            resolve(&self.draft.branches, path, &key).map(|(_, setting)| setting.value.clone());
        match set.or_else(|| default_value(PlainKey::BudgetPeriod))? {
            SettingValue::Duration(period) => Some(Rate { tokens, period }),
            _ => None,
        }
    }

    /// The tokens that hold for `path`.
    fn tokens(&self, path: &BranchPath, key: PlainKey) -> Option<Tokens> {
        match resolve(&self.draft.branches, path, &SettingKey::Plain(key))?
            .1
            .value
        {
            SettingValue::Tokens(tokens) => Some(tokens),
            _ => None,
        }
    }
}
