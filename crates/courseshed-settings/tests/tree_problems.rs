//! The settings tree: one table of texts that must be refused, and why.

use courseshed_settings::{Problem, SettingsTree};
use yare::parameterized;

const TREE: &str = r#"
models = ["quote-8b", "policy-70b"]
operator_keys = ["0000000000000000000000000000000000000000000000000000000000000000"]

[root]
models.default = "quote-8b"
budget = { tokens = "10M", period = "1h" }

[branch."guild"]
share = 3
floor = "30%"
keys = ["1111111111111111111111111111111111111111111111111111111111111111"]

[branch."guild/quotes"]
floor = "20%"
priority = 5
budget = { tokens = "2M", per_program = "100k" }
kinds.quote = { aim = "20s", worth = 5 }

[branch."guild/batch"]
floor = "10%"
limits.turns = 40

[branch."ski"]
share = 1.5
floor = "50%"
cache.share = "40%"
models.allowed = ["quote-8b"]
"#;

fn problems(text: &str) -> Vec<Problem> {
    match SettingsTree::parse(text) {
        Ok(_) => panic!("accepted"),
        Err(problems) => problems,
    }
}

#[test]
fn the_text_is_kept_as_given() {
    let tree = SettingsTree::parse(TREE).expect("sound");
    assert_eq!(tree.text(), TREE);
}

#[parameterized(
    unknown_key = { "priority = 5", "priorty = 5",
        "guild/quotes line 16: priorty: unknown key; did you mean `priority`? (example: priority)" },
    unknown_key_in_a_group = { "limits.turns", "limits.turnz",
        "guild/batch line 22: limits.turnz: unknown key; did you mean `turns`?" },
    unknown_kind_key = { "worth = 5", "wort = 5",
        "guild/quotes line 18: kinds.quote.wort: unknown key; did you mean `worth`?" },
    unknown_top_key = { "operator_keys", "operator_key",
        "tree line 3: operator_key: unknown key; did you mean `operator_keys`?" },
    bad_duration = { "\"20s\"", "\"20 sec0nds\"",
        "guild/quotes line 18: kinds.quote.aim: `20 sec0nds` is not a duration" },
    bad_tokens = { "\"2M\"", "\"2 Mio\"",
        "guild/quotes line 17: budget.tokens: `2 Mio` is not a number of tokens; units are k, M, G" },
    bad_percent = { "\"30%\"", "\"130%\"",
        "guild line 11: floor: `130%` is not a percentage from 0% to 100% (example: \"10%\")" },
    percent_as_number = { "\"30%\"", "0.3",
        "guild line 11: floor: must be a string, not a fraction" },
    share_of_zero = { "share = 3", "share = 0",
        "guild line 10: share: `0` is not a number above 0" },
    negative_share = { "share = 3", "share = -3",
        "guild line 10: share: `-3` is not a number above 0" },
    share_out_of_proportion = { "share = 3", "share = 30000",
        "ski line 25: share: its share cannot hold: 1.5 beside a sibling's 30000" },
    floors_above_the_parent = { "floor = \"10%\"", "floor = \"15%\"",
        "guild/quotes line 15: floor: the floors below `guild` add up to 35%, above its own 30%" },
    floors_above_the_pool = { "\"50%\"", "\"80%\"",
        "ski line 26: floor: the floors below `/` add up to 110%, above its own 100%" },
    floors_that_leave_nothing = { "floor = \"50%\"", "floor = \"70%\"\n[branch.\"idle\"]",
        "idle line 27: share: its share cannot hold: the floors of its siblings take 100%" },
    budget_above_the_parent = { "\"2M\"", "\"20M\"",
        "guild/quotes line 17: budget.tokens: 20000000 tokens in 1h is above the 10000000 in 1h of `/`" },
    budget_rate_above_the_parent = { "\"2M\"", "\"2M\", period = \"10m\"",
        "guild/quotes line 17: budget.tokens: 2000000 tokens in 10m is above the 10000000 in 1h of `/`" },
    program_budget_above_the_branch = { "\"100k\"", "\"3M\"",
        "budget.per_program: 3000000 tokens is above the 2000000 that the branch may spend in a period" },
    undeclared_model = { "[\"quote-8b\"]", "[\"quote-8\"]",
        "ski line 28: models.allowed: model `quote-8` is not declared in `models`; did you mean `quote-8b`?" },
    default_not_allowed = { "[\"quote-8b\"]", "[\"policy-70b\"]",
        "ski line 24: models.default: model `quote-8b` is not in models.allowed" },
    model_declared_twice = { "[\"quote-8b\", \"policy-70b\"]", "[\"quote-8b\", \"quote-8b\"]",
        "tree: models: `quote-8b` is declared twice" },
    missing_parent = { "[branch.\"guild/batch\"]", "[branch.\"tours/batch\"]",
        "tours/batch line 20: its parent `tours` is missing (example: [branch.\"tours\"])" },
    bad_path = { "[branch.\"ski\"]", "[branch.\"Ski\"]",
        "Ski line 24: branch path 'Ski' holds 'S'" },
    unquoted_path = { "[branch.\"guild/batch\"]", "[branch.guild.batch]",
        "guild line 20: batch: is a branch; write [branch.\"guild/batch\"]" },
    root_as_branch = { "[branch.\"ski\"]", "[branch.\"/\"]",
        "/ line 24: the root is written [root]" },
    bad_digest = { "1111111111111111111111111111111111111111111111111111111111111111", "secret",
        "guild line 12: keys: a key digest is the sha256 of the key in 64 lower-case hex digits" },
    duplicate_digest = {
        "1111111111111111111111111111111111111111111111111111111111111111",
        "0000000000000000000000000000000000000000000000000000000000000000",
        "guild line 12: keys: duplicate key digest 0000000000000000000000000000000000000000000000000000000000000000: it stands at operator_keys too" },
    cache_shares_over_all = { "share = 3", "share = 3\ncache.share = \"61%\"",
        "cache.share: the cache shares below `/` add up to 101%, above 100% (example: \"39%\")" },
    wrong_group = { "limits.turns = 40", "turns = 40",
        "guild/batch line 22: turns: unknown key; did you mean `limits.turns`? (example: limits.turns)" },
    bad_cut_off = { "share = 3", "when_cut_off = \"panic\"",
        "guild line 10: when_cut_off: `panic` is neither refuse nor continue (example: \"refuse\")" },
    not_toml = { "share = 3", "share = = 3", "tree line 10: not valid TOML" },
)]
fn a_fault_is_one_clear_line(sound: &str, faulty: &str, expected: &str) {
    let text = TREE.replacen(sound, faulty, 1);
    let problems = problems(&text);
    assert_eq!(problems.len(), 1, "{problems:#?}");
    let printed = problems[0].to_string();
    assert!(printed.contains(expected), "{printed}");
    assert_eq!(printed.lines().count(), 1, "{printed}");
}

#[test]
fn all_faults_are_listed_in_the_order_of_their_lines() {
    let text = TREE
        .replace("share = 3", "share = 0")
        .replace("\"2M\"", "\"20M\"")
        .replace("priority = 5", "prioriti = 5")
        .replace("\"40%\"", "\"400%\"");
    let lines: Vec<_> = problems(&text).iter().map(|problem| problem.line).collect();
    assert_eq!(lines, [Some(10), Some(16), Some(17), Some(27)]);
}

#[parameterized(
    budget_of_the_parent = { "\"2M\"", "\"10M\"" },
    same_rate_in_a_shorter_period = { "\"2M\"", "\"5M\", period = \"30m\"" },
    floors_that_fill_the_parent = { "floor = \"10%\"", "floor = \"10.0%\"" },
    program_budget_of_the_branch = { "\"100k\"", "\"2M\"" },
    cache_shares_that_fill_the_whole = { "share = 3", "share = 3\ncache.share = \"60%\"" },
    share_at_the_ratio = { "share = 3", "share = 15000" },
    floors_that_fill_the_pool = { "floor = \"50%\"", "floor = \"70%\"" },
    empty_branch = { "[branch.\"ski\"]", "[branch.\"idle\"]\n[branch.\"ski\"]" },
)]
fn what_only_just_holds_is_taken(sound: &str, other: &str) {
    let text = TREE.replacen(sound, other, 1);
    if let Err(problems) = SettingsTree::parse(&text) {
        panic!("{problems:#?}");
    }
}
