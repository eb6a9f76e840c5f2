//! From the text of a settings tree to its branches.

use std::collections::BTreeMap;

use courseshed_types::{BranchPath, ModelName};

use super::check::check;
use super::key::{GROUPS, KIND, KINDS, KindName, PLAIN, SettingKey};
use super::value::SettingValue;
use super::{Branch, Setting, SettingsTree};
use crate::digest::KeyDigest;
use crate::names;
use crate::problem::Problem;
use crate::reader::{NamedSection, Report, Section, list, parse_document, string};

/// Place of faults that belong to no branch.
pub(super) const TREE: &str = "tree";
const MODELS_EXAMPLE: &str = "[\"quote-8b\", \"policy-70b\"]";
const DIGESTS_EXAMPLE: &str = "[\"<64 hex digits of sha256 of the key>\"]";

/// A tree as read, before the checks across branches.
pub(super) struct Draft {
    pub(super) models: Vec<ModelName>,
    pub(super) operator_keys: Vec<KeyDigest>,
    pub(super) branches: BTreeMap<BranchPath, Branch>,
}

impl SettingsTree {
    /// Reads and checks a tree.
    ///
    /// # Errors
    /// Every fault of the text at once, in the order of their lines.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let report = Report::new(text);
        let Some(table) = parse_document(text, TREE, &report) else {
            return Err(report.into_problems());
        };
        let draft = read_tree(Section::new(&report, TREE, "", table), &report);
        check(&draft, &report);
        let problems = report.into_problems();
        if !problems.is_empty() {
            return Err(problems);
        }
        Ok(Self {
            text: text.to_owned(),
            models: draft.models,
            operator_keys: draft.operator_keys,
            branches: draft.branches,
        })
    }
}

fn read_tree(mut document: Section<'_, '_>, report: &Report) -> Draft {
    let models = document.take("models", MODELS_EXAMPLE, |value| list(value, names::model));
    let operator_keys = document.take("operator_keys", DIGESTS_EXAMPLE, |value| {
        list(value, |item| {
            string(item)?
                .parse::<KeyDigest>()
                .map_err(|error| error.to_string())
        })
    });
    let root = document.section("root");
    let line = Some(root.line());
    let mut branches = BTreeMap::new();
    let root = read_branch(root, &BranchPath::root().to_string(), line);
    branches.insert(BranchPath::root(), root);
    for named in document.section("branch").take_tables() {
        insert_branch(named, &mut branches, report);
    }
    document.finish();
    Draft {
        models: models.unwrap_or_default(),
        operator_keys: operator_keys.unwrap_or_default(),
        branches,
    }
}

fn insert_branch(
    named: NamedSection<'_, '_>,
    branches: &mut BTreeMap<BranchPath, Branch>,
    report: &Report,
) {
    let NamedSection {
        name,
        line,
        section,
    } = named;
    let path = match name.parse::<BranchPath>() {
        Ok(path) if !path.is_root() => Ok(path),
        Ok(_) => Err("the root is written [root]".to_owned()),
        Err(error) => Err(error.to_string()),
    };
    let shown = path
        .as_ref()
        .map_or_else(|_| name.clone(), ToString::to_string);
    let branch = read_branch(section, &shown, Some(line));
    match path {
        Ok(path) => {
            branches.insert(path, branch);
        }
        Err(reason) => report.add(Problem {
            line: Some(line),
            path: shown,
            key: String::new(),
            reason,
            example: "[branch.\"guild/quotes\"]".to_owned(),
        }),
    }
}

fn read_branch(section: Section<'_, '_>, shown: &str, line: Option<u32>) -> Branch {
    let mut section = section.at(shown);
    let mut branch = Branch {
        line,
        ..Branch::default()
    };
    for group in GROUPS {
        let mut group_section = section.section(group);
        read_group(&mut group_section, group, &mut branch);
        group_section.finish();
    }
    for named in section.section(KINDS).take_tables() {
        read_kind(named, &mut branch);
    }
    read_group(&mut section, "", &mut branch);
    for spec in PLAIN.iter().filter(|spec| !spec.group.is_empty()) {
        section.known_elsewhere(spec.key.to_string());
    }
    section.reject_tables(|name| {
        let reason = format!("is a branch; write [branch.\"{shown}/{name}\"]");
        (reason, format!("[branch.\"{shown}/{name}\"]"))
    });
    section.finish();
    branch
}

fn read_group(section: &mut Section<'_, '_>, group: &str, branch: &mut Branch) {
    for spec in PLAIN.iter().filter(|spec| spec.group == group) {
        let read = |value: &_| SettingValue::read(spec.form, value);
        let key = SettingKey::Plain(spec.key);
        let held = section.holds(spec.name);
        match section.take_located(spec.name, spec.example, read) {
            Some((value, line)) => {
                branch.settings.insert(key, Setting { value, line });
            }
            None if held => {
                branch.faulty.insert(key);
            }
            None => {}
        }
    }
}

fn read_kind(named: NamedSection<'_, '_>, branch: &mut Branch) {
    let NamedSection {
        name,
        line,
        mut section,
    } = named;
    if let Err(reason) = names::checked(&name) {
        section.fault(
            Some(line),
            "",
            reason,
            "kinds.quote = { aim = \"20s\", worth = 3 }",
        );
    }
    for spec in &KIND {
        let read = |value: &_| SettingValue::read(spec.form, value);
        if let Some((value, line)) = section.take_located(spec.name, spec.example, read) {
            let key = SettingKey::Kind(KindName(name.clone()), spec.key);
            branch.settings.insert(key, Setting { value, line });
        }
    }
    section.finish();
}
