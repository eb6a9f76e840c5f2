//! The operators' reference names every setting, with the defaults that the code has.

use courseshed_settings::SettingsTree;
use courseshed_settings::tree::SettingKey;
use courseshed_types::BranchPath;

const REFERENCE: &str = include_str!("../../../docs/operations/settings.md");

#[test]
fn every_setting_of_a_branch_stands_in_the_reference_with_its_default() {
    let tree = SettingsTree::parse("[root]\nkinds.NAME.worth = 1\n").expect("sound");
    for setting in tree.effective(&BranchPath::root()).expect("root") {
        let key = format!("| `{}` |", setting.key);
        let row = REFERENCE.lines().find(|line| line.starts_with(&key));
        let row = row.unwrap_or_else(|| panic!("{} is not in the reference", setting.key));
        let Some(value) = setting.value else {
            continue;
        };
        if matches!(setting.key, SettingKey::Plain(_)) {
            let shown = row
                .split('|')
                .nth(2)
                .unwrap_or_default()
                .trim()
                .trim_matches('`');
            let same = format!("[root]\n{} = {shown}\n", setting.key);
            let documented = SettingsTree::parse(&same).unwrap_or_else(|problems| {
                panic!(
                    "the default of {} cannot be read: {problems:?}",
                    setting.key
                )
            });
            assert_eq!(
                documented.own(&BranchPath::root(), &setting.key),
                Some(&value)
            );
        }
    }
}

#[test]
fn the_example_of_the_reference_is_sound() {
    let start = REFERENCE.find("    models = [").expect("example");
    let example = &REFERENCE[start..];
    let lines = example
        .lines()
        .take_while(|line| line.is_empty() || line.starts_with("    "));
    let text: String = lines.map(|line| format!("{line}\n")).collect();
    let text = text.replace("<digest>", &"0".repeat(64));
    let tree = SettingsTree::parse(&text).unwrap_or_else(|problems| panic!("{problems:#?}"));
    assert_eq!(tree.branches().count(), 3);
}
