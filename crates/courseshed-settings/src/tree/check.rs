//! Checks across branches: what is fine in each place but cannot hold together.

use std::collections::BTreeMap;

use courseshed_types::{BranchPath, ModelName};

use super::effective::resolve;
use super::key::{PlainKey, SettingKey};
use super::parse::{Draft, TREE};
use super::value::{Percent, SettingValue};
use super::{Branch, Setting};
use crate::digest::KeyDigest;
use crate::problem::{Problem, nearest};
use crate::reader::Report;
use crate::units::{BASIS_POINTS, format_percent};

mod budgets;

/// Greatest ratio between the shares of two siblings: a smaller part could not be told from none.
const MOST_SHARE_RATIO: f64 = 10_000.0;

/// Reports every fault of the draft.
pub(super) fn check(draft: &Draft, report: &Report) {
    let checker = Checker {
        draft,
        report,
        children: children_by_parent(draft),
    };
    for (path, branch) in &draft.branches {
        checker.check_parent(path, branch);
        checker.check_models(path, branch);
        checker.check_children(path);
        checker.check_budgets(path, branch);
    }
    checker.check_declared_models();
    checker.check_keys();
}

struct Checker<'d> {
    draft: &'d Draft,
    report: &'d Report,
    /// The branches directly below each branch that has any.
    children: BTreeMap<BranchPath, Vec<&'d BranchPath>>,
}

fn children_by_parent(draft: &Draft) -> BTreeMap<BranchPath, Vec<&BranchPath>> {
    let mut children: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for path in draft.branches.keys() {
        if let Some(parent) = path.parent() {
            children.entry(parent).or_default().push(path);
        }
    }
    children
}

impl Checker<'_> {
    fn fault(
        &self,
        path: &BranchPath,
        line: Option<u32>,
        key: &str,
        reason: String,
        example: &str,
    ) {
        self.report.add(Problem {
            line,
            path: path.to_string(),
            key: key.to_owned(),
            reason,
            example: example.to_owned(),
        });
    }

    fn setting_fault(&self, path: &BranchPath, key: PlainKey, reason: String, example: &str) {
        let line = self.own(path, key).map(|setting| setting.line);
        let line = line.or_else(|| self.draft.branches.get(path)?.line);
        self.fault(path, line, &key.to_string(), reason, example);
    }

    fn own(&self, path: &BranchPath, key: PlainKey) -> Option<&Setting> {
        self.draft
            .branches
            .get(path)?
            .settings
            .get(&SettingKey::Plain(key))
    }

    fn is_faulty(&self, path: &BranchPath, key: PlainKey) -> bool {
        let branch = self.draft.branches.get(path);
        branch.is_some_and(|branch| branch.faulty.contains(&SettingKey::Plain(key)))
    }

    fn own_percent(&self, path: &BranchPath, key: PlainKey) -> Option<u32> {
        match self.own(path, key)?.value {
            SettingValue::Percent(Percent(points)) => Some(points),
            _ => None,
        }
    }

    fn children(&self, path: &BranchPath) -> impl Iterator<Item = &'_ BranchPath> {
        self.children.get(path).into_iter().flatten().copied()
    }

    fn check_parent(&self, path: &BranchPath, branch: &Branch) {
        let Some(parent) = path.parent() else {
            return;
        };
        if self.draft.branches.contains_key(&parent) {
            return;
        }
        let reason = format!("its parent `{parent}` is missing");
        self.fault(
            path,
            branch.line,
            "",
            reason,
            &format!("[branch.\"{parent}\"]"),
        );
    }

    fn check_children(&self, path: &BranchPath) {
        self.check_floors(path);
        self.check_shares(path);
        self.check_cache_shares(path);
    }

    /// Floors are parts of the whole pool, so those of siblings must fit into their parent's.
    fn check_floors(&self, path: &BranchPath) {
        if self.is_faulty(path, PlainKey::Floor) {
            return;
        }
        let floors = self.children(path).filter_map(|child| {
            self.own_percent(child, PlainKey::Floor)
                .map(|points| (child, points))
        });
        let floors: Vec<_> = floors.collect();
        let sum: u32 = floors.iter().map(|(_, points)| points).sum();
        let room = if path.is_root() {
            BASIS_POINTS
        } else {
            self.own_percent(path, PlainKey::Floor).unwrap_or(0)
        };
        if sum <= room {
            return;
        }
        let Some((last, _)) = floors.last() else {
            return;
        };
        let (sum, room) = (format_percent(sum), format_percent(room));
        let reason = format!("the floors below `{path}` add up to {sum}, above its own {room}");
        let example = format!("floor = \"{sum}\" at `{path}`");
        let example = if path.is_root() {
            "\"10%\"".to_owned()
        } else {
            example
        };
        self.setting_fault(last, PlainKey::Floor, reason, &example);
    }

    /// Shares divide what floors leave over; they cannot hold if nothing is left, or too little.
    fn check_shares(&self, path: &BranchPath) {
        let children: Vec<_> = self.children(path).collect();
        let floors = children
            .iter()
            .filter_map(|child| self.own_percent(child, PlainKey::Floor));
        let taken: u32 = floors.sum();
        if path.is_root() && taken == BASIS_POINTS {
            for child in &children {
                if self.own_percent(child, PlainKey::Floor).unwrap_or(0) == 0 {
                    let reason = "its share cannot hold: the floors of its siblings take 100%";
                    self.setting_fault(child, PlainKey::Share, reason.to_owned(), "floor = \"5%\"");
                }
            }
        }
        let weights = children.iter().map(|child| (self.share(child), *child));
        let weights: Vec<_> = weights.collect();
        let largest = weights.iter().map(|(share, _)| *share).fold(0.0, f64::max);
        for (share, child) in weights {
            if largest > share * MOST_SHARE_RATIO {
                let reason = format!(
                    "its share cannot hold: {share} beside a sibling's {largest} is less than 1 to {MOST_SHARE_RATIO}"
                );
                let example = (largest / MOST_SHARE_RATIO).to_string();
                self.setting_fault(child, PlainKey::Share, reason, &example);
            }
        }
    }

    fn share(&self, path: &BranchPath) -> f64 {
        match self
            .own(path, PlainKey::Share)
            .map(|setting| &setting.value)
        {
            Some(SettingValue::Weight(weight)) => weight.as_f64(),
            _ => 1.0,
        }
    }

    fn check_cache_shares(&self, path: &BranchPath) {
        let shares = self.children(path).filter_map(|child| {
            self.own_percent(child, PlainKey::CacheShare)
                .map(|points| (child, points))
        });
        let shares: Vec<_> = shares.collect();
        let sum: u32 = shares.iter().map(|(_, points)| points).sum();
        if sum <= BASIS_POINTS {
            return;
        }
        if let Some((last, points)) = shares.last() {
            let left = (BASIS_POINTS + points).saturating_sub(sum);
            let sum = format_percent(sum);
            let reason = format!("the cache shares below `{path}` add up to {sum}, above 100%");
            let example = format!("\"{}\"", format_percent(left));
            self.setting_fault(last, PlainKey::CacheShare, reason, &example);
        }
    }

    fn check_declared_models(&self) {
        let mut declared = std::collections::BTreeSet::new();
        for model in &self.draft.models {
            if !declared.insert(model) {
                self.report.add(Problem {
                    line: None,
                    path: TREE.to_owned(),
                    key: "models".to_owned(),
                    reason: format!("`{model}` is declared twice"),
                    example: "[\"quote-8b\", \"policy-70b\"]".to_owned(),
                });
            }
        }
    }

    fn check_models(&self, path: &BranchPath, branch: &Branch) {
        let allowed_key = SettingKey::Plain(PlainKey::ModelsAllowed);
        if let Some(setting) = branch.settings.get(&allowed_key)
            && let SettingValue::Models(models) = &setting.value
        {
            let above = path.parent().and_then(|parent| self.sound_allowed(&parent));
            for model in models {
                self.check_model(path, PlainKey::ModelsAllowed, model, above.as_deref());
            }
        }
        let default_key = SettingKey::Plain(PlainKey::ModelsDefault);
        let default = resolve(&self.draft.branches, path, &default_key);
        if let Some((_, setting)) = default
            && let SettingValue::Model(model) = &setting.value
        {
            let allowed = self.sound_allowed(path);
            self.check_model(path, PlainKey::ModelsDefault, model, allowed.as_deref());
        }
    }

    /// The models that `path` allows; `None` if it allows all that are declared.
    fn allowed(&self, path: &BranchPath) -> Option<Vec<ModelName>> {
        let key = SettingKey::Plain(PlainKey::ModelsAllowed);
        match &resolve(&self.draft.branches, path, &key)?.1.value {
            SettingValue::Models(models) => Some(models.clone()),
            _ => None,
        }
    }

    /// As `allowed`, but `None` too if it names an undeclared model, which is reported already.
    fn sound_allowed(&self, path: &BranchPath) -> Option<Vec<ModelName>> {
        let allowed = self.allowed(path)?;
        let sound = allowed
            .iter()
            .all(|model| self.draft.models.contains(model));
        sound.then_some(allowed)
    }

    fn check_model(
        &self,
        path: &BranchPath,
        key: PlainKey,
        model: &ModelName,
        allowed: Option<&[ModelName]>,
    ) {
        let declared = &self.draft.models;
        if !declared.contains(model) {
            let names = declared.iter().map(ModelName::as_str);
            let hint =
                nearest(model.as_str(), names).map(|name| format!("; did you mean `{name}`?"));
            let reason = format!(
                "model `{model}` is not declared in `models`{}",
                hint.unwrap_or_default()
            );
            self.setting_fault(path, key, reason, &example_model(declared));
            return;
        }
        if let Some(allowed) = allowed
            && !allowed.contains(model)
        {
            let reason = match key {
                PlainKey::ModelsDefault => format!("model `{model}` is not in models.allowed"),
                _ => format!("model `{model}` is not allowed by the branch above"),
            };
            self.setting_fault(path, key, reason, &example_model(allowed));
        }
    }

    /// A key that stands in two places would belong to two branches.
    fn check_keys(&self) {
        let mut holders: BTreeMap<&KeyDigest, String> = BTreeMap::new();
        for digest in &self.draft.operator_keys {
            if holders.insert(digest, "operator_keys".to_owned()).is_some() {
                self.report.add(Problem {
                    line: None,
                    path: TREE.to_owned(),
                    key: "operator_keys".to_owned(),
                    reason: format!("duplicate key digest {digest}"),
                    example: String::new(),
                });
            }
        }
        for path in self.draft.branches.keys() {
            let Some(setting) = self.own(path, PlainKey::Keys) else {
                continue;
            };
            let SettingValue::Digests(digests) = &setting.value else {
                continue;
            };
            for digest in digests {
                if let Some(holder) = holders.insert(digest, format!("`{path}`")) {
                    let reason =
                        format!("duplicate key digest {digest}: it stands at {holder} too");
                    self.setting_fault(path, PlainKey::Keys, reason, "another key's digest");
                }
            }
        }
    }
}

fn example_model(models: &[ModelName]) -> String {
    match models.first() {
        Some(model) => format!("\"{model}\""),
        None => "models = [\"quote-8b\"] at the top".to_owned(),
    }
}
