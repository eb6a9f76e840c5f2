//! Runs replay to the byte, every call ends exactly once, and what callers got is what engines counted.

use std::{sync::Arc, time::Duration};

use courseshed_dispatch::{DispatcherConfig, PolicyKind};
use courseshed_engine_model::EngineModelConfig;
use courseshed_settings::tree::compile_text;
use courseshed_types::{EngineId, ModelName, SettingsVersion};
use yare::parameterized;

use super::{Delays, EngineFault, EngineSpec, FaultKind, RunResult, Scenario, simulate};
use crate::workload::{ArrivalPlan, Surge, Workload};

const WORKLOAD: &str = r#"
[[kinds]]
name = "quote"
arrivals = { "a/quotes" = 2, "b" = 2 }
system_tokens = 160
turns = { log-normal = { median = 4, p95 = 10, most = 20 } }
first_tokens = { log-normal = { median = 300, p95 = 900, most = 2000 } }
new_tokens = { log-normal = { median = 150, p95 = 500, most = 1000 } }
output_tokens = { log-normal = { median = 40, p95 = 120, most = 200 } }
max_output_tokens = 200
pause_seconds = { log-normal = { median = 0.3, p95 = 2, most = 20 } }
hung_tool_chance = 0.01
endless_chance = 0.01
sub_agents = { kind = "lookup", chance = 0.3 }

[[kinds]]
name = "lookup"
arrivals = { "a/lookups" = 1 }
system_tokens = 64
turns = { fixed = 1 }
first_tokens = { fixed = 100 }
new_tokens = { fixed = 50 }
output_tokens = { fixed = 20 }
max_output_tokens = 50
pause_seconds = { fixed = 0.2 }
"#;

const TREE: &str = r#"
models = ["m"]
[root]
models.default = "m"
limits = { turns = 30, tool_pause = "30s", queue_wait = "20s" }
aim = "20s"
[branch."a"]
share = 2
[branch."a/quotes"]
share = 3
[branch."a/lookups"]
priority = 5
[branch."b"]
share = 1
"#;

fn scenario(policy_kind: PolicyKind, seed: u64, programs_per_second: f64) -> Scenario {
    let engine = |number: usize| EngineSpec {
        engine: EngineId::from(format!("e{number}")),
        zone: "z".into(),
        model: ModelName::from("m"),
        config: EngineModelConfig {
            max_batch: 8,
            kv_blocks: 1_500,
            ..EngineModelConfig::default()
        },
    };
    Scenario {
        workload: Arc::new(Workload::parse(WORKLOAD, "test").expect("a workload")),
        plan: ArrivalPlan {
            programs_per_second,
            duration: Duration::from_secs(60),
            surges: Vec::new(),
        },
        policy: Arc::new(compile_text(TREE, SettingsVersion(1)).expect("a tree")),
        policy_kind,
        dispatcher: DispatcherConfig::default(),
        engines: (1..=3).map(engine).collect(),
        faults: Vec::new(),
        delays: Delays::default(),
        warm_up: Duration::from_secs(5),
        drain: Duration::from_secs(300),
        seed,
    }
}

fn run(scenario: &Scenario) -> RunResult {
    simulate(scenario).expect("a scenario that fits together")
}

fn fault(engine: &str, kind: FaultKind, from: u64, until: u64) -> EngineFault {
    EngineFault {
        engine: engine.into(),
        kind,
        from: Duration::from_secs(from),
        until: Duration::from_secs(until),
    }
}

fn assert_every_call_ended_once(result: &RunResult) {
    let calls = &result.calls;
    assert!(calls.issued > 500, "{calls:?}");
    assert_eq!(
        calls.issued,
        calls.answered + calls.refused + calls.open,
        "{calls:?}"
    );
    assert_eq!(calls.open, 0, "the drain is long enough for all");
    for kind in &result.kinds {
        let ended = kind.completed + kind.refused + kind.limited;
        assert_eq!(kind.arrived, ended + kind.unfinished);
        assert_eq!(kind.unfinished, 0, "{kind:?}");
    }
}

#[parameterized(
    courseshed = { PolicyKind::Courseshed },
    first_come = { PolicyKind::FirstComeLeastLoad },
    affinity = { PolicyKind::PrefixAffinity },
    per_call_fair = { PolicyKind::PerCallFair },
)]
fn the_same_seed_gives_the_same_bytes(policy_kind: PolicyKind) {
    let bytes =
        |seed| serde_json::to_string(&run(&scenario(policy_kind, seed, 6.0))).expect("json");
    let first = bytes(1);
    assert!(first == bytes(1), "the same seed gave another result");
    assert!(first != bytes(2), "the seed makes no difference");
}

#[parameterized(
    courseshed = { PolicyKind::Courseshed, 6.0 },
    courseshed_overloaded = { PolicyKind::Courseshed, 40.0 },
    first_come = { PolicyKind::FirstComeLeastLoad, 6.0 },
    affinity_overloaded = { PolicyKind::PrefixAffinity, 40.0 },
    per_call_fair = { PolicyKind::PerCallFair, 6.0 },
)]
fn calls_end_once_and_service_is_what_engines_counted(policy_kind: PolicyKind, rate: f64) {
    let result = run(&scenario(policy_kind, 3, rate));
    assert_every_call_ended_once(&result);
    let generated: u64 = result
        .engines
        .iter()
        .map(|engine| engine.output_tokens)
        .sum();
    let uncached: u64 = result
        .engines
        .iter()
        .map(|engine| engine.uncached_tokens)
        .sum();
    assert_eq!(result.calls.output_tokens, generated);
    assert_eq!(result.calls.uncached_tokens, uncached);
}

#[test]
fn limits_end_hung_and_endless_programs() {
    let result = run(&scenario(PolicyKind::Courseshed, 4, 10.0));
    let limited: u64 = result.kinds.iter().map(|kind| kind.limited).sum();
    assert!(limited > 5, "{limited}");
}

#[test]
fn a_crash_fails_attempts_and_loses_no_call() {
    let mut scenario = scenario(PolicyKind::Courseshed, 5, 12.0);
    scenario.faults = vec![fault("e1", FaultKind::Crash, 20, 30)];
    let result = run(&scenario);
    assert_every_call_ended_once(&result);
    assert!(result.calls.failed_attempts > 0);
    assert!(result.waste.iter().any(|row| row.engine_lost > 0));
}

#[test]
fn an_engine_that_leaves_gets_no_work_after_a_few_seconds() {
    let mut scenario = scenario(PolicyKind::Courseshed, 6, 8.0);
    let calm = run(&scenario);
    scenario.faults = vec![fault("e2", FaultKind::Leaving, 10, 400)];
    let result = run(&scenario);
    assert_every_call_ended_once(&result);
    assert_eq!(result.calls.failed_attempts, 0);
    let of_second = |result: &RunResult| result.engines[1].output_tokens;
    assert!(
        of_second(&result) * 3 < of_second(&calm),
        "it served ten seconds of sixty"
    );
}

#[test]
fn a_slow_engine_is_given_less() {
    let mut scenario = scenario(PolicyKind::Courseshed, 7, 10.0);
    scenario.faults = vec![fault("e3", FaultKind::Slow(6.0), 5, 300)];
    let result = run(&scenario);
    assert_every_call_ended_once(&result);
    let output = |index: usize| result.engines[index].output_tokens;
    assert!(output(2) < output(0) && output(2) < output(1));
}

#[test]
fn a_surge_of_one_branch_leaves_the_others_their_arrivals() {
    let mut scenario = scenario(PolicyKind::Courseshed, 8, 6.0);
    let calm = run(&scenario);
    scenario.plan.surges = vec![Surge {
        branch: "b".parse().expect("a path"),
        factor: 5.0,
        from_second: 10.0,
        until_second: 60.0,
    }];
    let busy = run(&scenario);
    assert!(busy.with_surges && !calm.with_surges);
    let arrived = |result: &RunResult, branch: &str| -> u64 {
        let rows = result.kinds.iter().filter(|row| row.branch == branch);
        rows.map(|row| row.arrived).sum()
    };
    assert_eq!(arrived(&calm, "a/quotes"), arrived(&busy, "a/quotes"));
    assert!(arrived(&busy, "b") > 3 * arrived(&calm, "b"));
}

#[test]
fn backlogged_branches_get_their_shares() {
    let result = run(&scenario(PolicyKind::Courseshed, 9, 40.0));
    let unfair = run(&scenario(PolicyKind::FirstComeLeastLoad, 9, 40.0));
    assert!(result.share_drift < 0.1, "{}", result.share_drift);
    assert!(
        result.share_drift < unfair.share_drift,
        "{}",
        unfair.share_drift
    );
}

#[parameterized(
    branch = { "arrivals = { \"a/quotes\"", "arrivals = { \"a/other\"", "names branch a/other" },
    model = { "name = \"lookup\"", "name = \"lookup\"\nmodel = \"x\"", "no engine serves model x" },
)]
fn what_does_not_fit_together_is_named(from: &str, to: &str, expected: &str) {
    let mut scenario = scenario(PolicyKind::Courseshed, 1, 1.0);
    let text = WORKLOAD.replace(from, to);
    scenario.workload = Arc::new(Workload::parse(&text, "test").expect("a workload"));
    let error = simulate(&scenario).expect_err("a mistake").to_string();
    assert!(error.contains(expected), "{error}");
}
