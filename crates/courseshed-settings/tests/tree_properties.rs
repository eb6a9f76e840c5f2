//! Properties of settings trees: inheritance, compilation, differences.
//!
//! Random trees are kept as a plain table of texts beside the tree parsed from
//! them, and a naive walk over that table says what must hold.

use std::collections::BTreeMap;

use courseshed_settings::SettingsTree;
use courseshed_settings::tree::{Change, Inheritance, PlainKey, SettingKey, Source, diff};
use courseshed_types::{BranchPath, SettingsVersion};
use proptest::prelude::*;

/// The settings that random trees hold: key, and values that are sound in any branch.
const CHOICES: [(PlainKey, [&str; 3]); 9] = [
    (PlainKey::Share, ["0.5", "1", "7"]),
    (PlainKey::Priority, ["-3", "0", "12"]),
    (PlainKey::Aim, ["\"1s\"", "\"1m 30s\"", "\"500ms\""]),
    (
        PlainKey::WhenCutOff,
        ["\"refuse\"", "\"continue\"", "\"refuse\""],
    ),
    (PlainKey::LimitTurns, ["1", "40", "320"]),
    (PlainKey::LimitToolPause, ["\"1m\"", "\"15m\"", "\"1h\""]),
    (
        PlainKey::LimitHistoryTokens,
        ["\"1k\"", "240000", "\"1.5M\""],
    ),
    (PlainKey::CacheShare, ["\"10%\"", "\"12.5%\"", "\"0%\""]),
    (PlainKey::ModelsDefault, ["\"a\"", "\"b\"", "\"a\""]),
];

/// What each branch holds, by branch and place in [`CHOICES`]: the text of the value.
type Table = BTreeMap<BranchPath, BTreeMap<usize, &'static str>>;

fn arbitrary_table() -> impl Strategy<Value = Table> {
    let held = proptest::collection::btree_map(0..CHOICES.len(), 0..3_usize, 0..CHOICES.len());
    let path = "[a-c](/[a-c]){0,2}";
    proptest::collection::btree_map(path, held, 0..8).prop_map(|branches| {
        let mut table = Table::from([(BranchPath::root(), BTreeMap::new())]);
        for (path, held) in branches {
            let path: BranchPath = path.parse().expect("path");
            for ancestor in path.ancestry() {
                table.entry(ancestor).or_default();
            }
            let values = held
                .into_iter()
                .map(|(index, pick)| (index, CHOICES[index].1[pick]));
            table.insert(path, values.collect());
        }
        table
    })
}

fn text_of(table: &Table) -> String {
    let mut text = "models = [\"a\", \"b\"]\n".to_owned();
    for (path, held) in table {
        let header = if path.is_root() {
            "[root]".to_owned()
        } else {
            format!("[branch.\"{path}\"]")
        };
        text.push_str(&format!("\n{header}\n"));
        for (index, value) in held {
            text.push_str(&format!("{} = {value}\n", CHOICES[*index].0));
        }
    }
    text
}

fn tree_of(table: &Table) -> SettingsTree {
    let text = text_of(table);
    SettingsTree::parse(&text).unwrap_or_else(|problems| panic!("{text}\n{problems:#?}"))
}

/// The closest holder of a setting by a walk from the root down.
fn expected_source(table: &Table, path: &BranchPath, index: usize) -> Source {
    let inherited = SettingKey::from(CHOICES[index].0).inheritance() != Inheritance::Own;
    let mut source = Source::Default;
    let mut downwards: Vec<_> = path.ancestry().collect();
    downwards.reverse();
    for branch in downwards {
        let reaches = inherited || &branch == path;
        if reaches && table[&branch].contains_key(&index) {
            source = Source::Branch(branch);
        }
    }
    source
}

proptest! {
    #[test]
    fn a_branch_takes_the_closest_value_above_it(table in arbitrary_table()) {
        let tree = tree_of(&table);
        for path in table.keys() {
            let effective = tree.effective(path).expect("branch");
            for (index, (key, _)) in CHOICES.iter().enumerate() {
                let key = SettingKey::from(*key);
                let found = effective.iter().find(|setting| setting.key == key).expect("key");
                prop_assert_eq!(&found.source, &expected_source(&table, path, index));
                if let Source::Branch(holder) = &found.source {
                    prop_assert_eq!(found.value.as_ref(), tree.own(holder, &key));
                }
            }
        }
    }

    #[test]
    fn compiling_says_what_the_effective_values_say(table in arbitrary_table()) {
        let tree = tree_of(&table);
        let snapshot = tree.compile(SettingsVersion(7));
        prop_assert_eq!(snapshot.version, SettingsVersion(7));
        prop_assert!(snapshot.branches.keys().eq(tree.branches()));
        for (path, policy) in &snapshot.branches {
            let document = tree.effective_document(path, snapshot.version).expect("branch");
            let shown = |key: PlainKey| {
                let key = key.to_string();
                let value = document.values.iter().find(|value| value.key == key);
                value.expect("key").value.clone()
            };
            prop_assert_eq!(policy.share.to_string(), shown(PlainKey::Share));
            prop_assert_eq!(policy.priority.to_string(), shown(PlainKey::Priority));
            prop_assert_eq!(policy.limits.turns.to_string(), shown(PlainKey::LimitTurns));
            let history = policy.limits.history_tokens.to_string();
            prop_assert_eq!(history, shown(PlainKey::LimitHistoryTokens));
            let model = policy.default_model.as_ref().map(|model| format!("\"{model}\""));
            prop_assert_eq!(model.unwrap_or_default(), shown(PlainKey::ModelsDefault));
        }
    }

    #[test]
    fn a_difference_turns_the_old_tree_into_the_new_one(
        old in arbitrary_table(),
        new in arbitrary_table(),
    ) {
        let (old_tree, new_tree) = (tree_of(&old), tree_of(&new));
        let mut patched = old.clone();
        for change in diff(&old_tree, &new_tree) {
            apply(&mut patched, &new, change);
        }
        let patched = tree_of(&patched);
        prop_assert_eq!(diff(&patched, &new_tree), Vec::new());
        let version = SettingsVersion(1);
        prop_assert_eq!(patched.compile(version), new_tree.compile(version));
        prop_assert!(diff(&new_tree, &new_tree).is_empty());
    }

    #[test]
    fn any_text_is_answered_and_never_panics(
        table in arbitrary_table(),
        cut in any::<prop::sample::Index>(),
        junk in "\\PC{0,6}",
    ) {
        let mut text = text_of(&table);
        text.insert_str(cut.index(text.len()), &junk);
        match SettingsTree::parse(&text) {
            Ok(tree) => prop_assert_eq!(tree.text(), text),
            Err(problems) => {
                prop_assert!(!problems.is_empty());
                for problem in problems {
                    prop_assert_eq!(problem.to_string().lines().count(), 1);
                }
            }
        }
    }
}

fn apply(table: &mut Table, new: &Table, change: Change) {
    match change {
        Change::BranchAdded(branch) => {
            table.insert(branch, BTreeMap::new());
        }
        Change::BranchRemoved(branch) => {
            table.remove(&branch);
        }
        Change::Setting {
            branch, key, to, ..
        } => {
            let Some(held) = table.get_mut(&branch) else {
                return;
            };
            let index = CHOICES
                .iter()
                .position(|(plain, _)| SettingKey::from(*plain) == key);
            let index = index.expect("key");
            match to {
                Some(_) => held.insert(index, new[&branch][&index]),
                None => held.remove(&index),
            };
        }
        other => panic!("the trees differ in no more than branches: {other}"),
    }
}
