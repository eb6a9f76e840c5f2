//! Draws replay, surges touch only their branch, and mistakes in a file are named.

use std::time::Duration;

use super::{ArrivalPlan, BundledWorkload, Distribution, Pause, Surge, Workload};
use yare::parameterized;

fn plan(programs_per_second: f64, seconds: u64) -> ArrivalPlan {
    ArrivalPlan {
        programs_per_second,
        duration: Duration::from_secs(seconds),
        surges: Vec::new(),
    }
}

#[parameterized(
    guild = { BundledWorkload::Guild },
    hokkaido = { BundledWorkload::Hokkaido },
)]
fn the_same_seed_gives_the_same_programs(bundled: BundledWorkload) {
    let workload = bundled.workload();
    let first = plan(20.0, 60).draw(&workload, 7);
    assert_eq!(first, plan(20.0, 60).draw(&workload, 7));
    assert_ne!(first, plan(20.0, 60).draw(&workload, 8));
    assert!((900..1_500).contains(&first.len()), "{}", first.len());
}

#[test]
fn a_surge_leaves_other_branches_as_they_were() {
    let workload = BundledWorkload::Hokkaido.workload();
    let calm = plan(10.0, 120);
    let surge = Surge {
        branch: "tomari".parse().expect("a path"),
        factor: 10.0,
        from_second: 30.0,
        until_second: 90.0,
    };
    let busy = ArrivalPlan {
        surges: vec![surge.clone()],
        ..calm.clone()
    };
    let of_others = |plan: &ArrivalPlan| {
        let mut arrivals = plan.draw(&workload, 3);
        arrivals.retain(|arrival| !arrival.script.branch.is_within(&surge.branch));
        arrivals
    };
    assert_eq!(of_others(&calm), of_others(&busy));
    let count = |plan: &ArrivalPlan| {
        let arrivals = plan.draw(&workload, 3);
        let within = arrivals
            .iter()
            .filter(|arrival| arrival.script.branch.is_within(&surge.branch));
        within.count() as f64
    };
    let ratio = count(&busy) / count(&calm);
    assert!(
        (4.0..7.0).contains(&ratio),
        "half the time tenfold: {ratio}"
    );
}

#[test]
fn programs_have_calls_pauses_and_sub_agents() {
    let workload = BundledWorkload::Guild.workload();
    let arrivals = plan(20.0, 300).draw(&workload, 1);
    let scripts = arrivals.iter().map(|arrival| &arrival.script);
    let turns = scripts.clone().flat_map(|script| &script.turns);
    assert!(scripts.clone().all(|script| !script.turns.is_empty()));
    assert!(turns.clone().any(|turn| !turn.children.is_empty()));
    assert!(turns.clone().any(|turn| turn.pause == Pause::Hangs));
    assert!(scripts.clone().any(|script| script.is_endless));
    let last_pauses = scripts.filter_map(|script| script.turns.last());
    assert!(last_pauses.into_iter().all(|turn| turn.children.is_empty()));
}

#[test]
fn log_normal_draws_keep_median_and_tail() {
    let distribution = Distribution::LogNormal {
        median: 100.0,
        p95: 400.0,
        most: 2_000.0,
    };
    let mut random = super::script::stream_random(5, 0, 0);
    let mut draws: Vec<f64> = (0..20_000)
        .map(|_| distribution.draw(&mut random))
        .collect();
    draws.sort_by(f64::total_cmp);
    assert!((95.0..105.0).contains(&draws[10_000]));
    assert!((370.0..430.0).contains(&draws[19_000]));
    assert!(draws[19_999] <= 2_000.0);
}

const KIND: &str = r#"
[[kinds]]
name = "quote"
arrivals = { "guild/quotes" = 1 }
turns = { fixed = 2 }
first_tokens = { fixed = 10 }
new_tokens = { fixed = 10 }
output_tokens = { fixed = 10 }
max_output_tokens = 20
pause_seconds = { fixed = 1 }
"#;

#[parameterized(
    unknown_key = { "endless = 1", "unknown field `endless`" },
    unknown_distribution = { "batch = { normal = 3 }", "unknown variant `normal`" },
    no_such_kind = { "sub_agents = { kind = \"x\", chance = 0.5 }", "kind quote: sub_agents.kind: no kind is called x" },
    nested = { "sub_agents = { kind = \"quote\", chance = 0.5 }", "kind quote: sub_agents: nested deeper" },
    bad_chance = { "endless_chance = 2.0", "kind quote: endless_chance: must be a chance" },
    bad_branch = { "sub_agents = { kind = \"quote\", chance = 0.5, branch = \"A b\" }", "branch path 'A b'" },
    empty_batch = { "batch = { fixed = 0 }", "kind quote: batch: must be above 0" },
)]
fn mistakes_are_named(line: &str, expected: &str) {
    assert!(Workload::parse(KIND, "file").is_ok());
    let error = Workload::parse(&format!("{KIND}{line}\n"), "file").expect_err("a mistake");
    let text = error.to_string();
    assert!(text.contains(expected), "{text}");
    assert!(text.starts_with("file: "), "{text}");
}
