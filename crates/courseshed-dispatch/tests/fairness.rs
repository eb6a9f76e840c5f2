//! Bounds on the deviation of backlogged branches from their shares, and absence of starvation.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{Driver, branch, call, policy, usage};
use courseshed_types::{BranchPolicy, CallId, PolicySnapshot, Tokens, dispatch::WaitingCall};
use proptest::prelude::*;

/// Keeps every branch backlogged on one engine and finishes calls in a given order.
struct Saturation {
    driver: Driver,
    next_program: u64,
    waiting: BTreeMap<CallId, WaitingCall>,
    running: Vec<WaitingCall>,
    /// Actual service of finished calls by branch.
    ended: BTreeMap<String, f64>,
}

impl Saturation {
    fn new(policy: PolicySnapshot, slots: u32) -> Saturation {
        let mut driver = Driver::with_engines(&["e1"], slots);
        let mut report = common::load(0, slots);
        report.total_blocks = 1 << 24;
        driver.report("e1", report);
        driver.set_policy(policy);
        Saturation {
            driver,
            next_program: 1,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            ended: BTreeMap::new(),
        }
    }

    fn add(&mut self, path: &str, prompt: u64, change: impl Fn(&mut WaitingCall)) {
        let mut added = call(self.next_program, 1, path, self.driver.now);
        self.next_program += 1;
        added.prompt_tokens = Tokens(prompt);
        added.max_output = Tokens(1);
        change(&mut added);
        self.waiting.insert(added.call, added.clone());
        self.driver.enqueue(added);
    }

    /// Runs one tick and returns the assigned calls.
    fn assign(&mut self) -> Vec<WaitingCall> {
        let assigned = self.driver.tick();
        let calls: Vec<WaitingCall> = assigned
            .iter()
            .map(|assigned| {
                self.waiting
                    .remove(&assigned.call)
                    .expect("the call was queued")
            })
            .collect();
        self.running.extend(calls.iter().cloned());
        calls
    }

    /// Finishes a running call; `counted` returns its uncached prompt tokens.
    fn finish(&mut self, choice: usize, counted: impl Fn(&WaitingCall) -> u64) {
        let ended = self.running.swap_remove(choice % self.running.len());
        let uncached = counted(&ended);
        *self.ended.entry(ended.branch.to_string()).or_default() += service_of(uncached);
        let prompt = ended.prompt_tokens.0;
        self.driver
            .finished(ended.call, usage(prompt, prompt - uncached, 1));
    }

    /// Service by branch: actual service of finished calls plus charges of running ones.
    fn service_by_branch(&self) -> BTreeMap<String, f64> {
        let mut service_by_branch = self.ended.clone();
        for call in &self.running {
            *service_by_branch
                .entry(call.branch.to_string())
                .or_default() += service_of(call.prompt_tokens.0);
        }
        let of_b: f64 = ["b/x", "b/y"]
            .iter()
            .filter_map(|leaf| service_by_branch.get(*leaf))
            .sum();
        service_by_branch.insert("b".to_string(), of_b);
        service_by_branch
    }

    fn served(&self) -> BTreeMap<String, f64> {
        let stats = self.driver.dispatcher.stats(self.driver.now);
        stats
            .branches
            .iter()
            .filter(|branch| !branch.own_queue)
            .map(|branch| (branch.branch.to_string(), branch.served as f64))
            .collect()
    }
}

/// Service units of a call with one output token.
fn service_of(uncached: u64) -> f64 {
    (uncached + 4) as f64
}

/// Counts the whole prompt as uncached.
fn whole_prompt(call: &WaitingCall) -> u64 {
    call.prompt_tokens.0
}

/// Checks that the normalized service of siblings differs by at most one call and the outstanding
/// corrections.
fn assert_siblings_within(
    service_by_branch: &BTreeMap<String, f64>,
    siblings: &[(&str, f64)],
    largest: f64,
    corrections: f64,
) -> Result<(), TestCaseError> {
    for (left, left_weight) in siblings {
        for (right, right_weight) in siblings {
            let of = |branch: &str| service_by_branch.get(branch).copied().unwrap_or(0.0);
            let drift = of(left) / left_weight - of(right) / right_weight;
            let bound = (largest + corrections) * (1.0 / left_weight + 1.0 / right_weight);
            prop_assert!(
                drift <= bound + 1.0,
                "{left} is {drift} ahead of {right}, more than {bound}"
            );
        }
    }
    Ok(())
}

const SLOTS: u32 = 4;
const LARGEST_PROMPT: u64 = 2_000;

fn run_saturated(
    shares: &[f64],
    steps: &[(usize, u64)],
    counted: impl Fn(&WaitingCall) -> u64 + Copy,
    corrections: f64,
) -> Result<(), TestCaseError> {
    let tree = [
        ("a", shares[0]),
        ("b", shares[1]),
        ("b/x", shares[2]),
        ("b/y", shares[3]),
    ];
    let leaves = ["a", "b/x", "b/y"];
    let mut run = Saturation::new(policy(&tree), SLOTS);
    for leaf in leaves {
        (0..5).for_each(|_| run.add(leaf, 700, |_| {}));
    }
    for (choice, prompt) in steps {
        for assigned in run.assign() {
            run.add(assigned.branch.as_str(), *prompt, |_| {});
        }
        run.finish(*choice, counted);
        let service_by_branch = run.service_by_branch();
        let largest = service_of(LARGEST_PROMPT);
        // The root's and `b`'s own queues have weight one among their siblings but stay idle.
        let siblings = [("a", shares[0]), ("b", shares[1])];
        assert_siblings_within(&service_by_branch, &siblings, largest, corrections)?;
        let siblings = [("b/x", shares[2]), ("b/y", shares[3])];
        assert_siblings_within(&service_by_branch, &siblings, largest, corrections)?;
    }
    Ok(())
}

fn steps() -> impl Strategy<Value = Vec<(usize, u64)>> {
    prop::collection::vec((0usize..64, 50u64..=LARGEST_PROMPT), 400)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn backlogged_branches_stay_within_one_call_of_their_shares(
        shares in prop::array::uniform4(0.2f64..8.0),
        steps in steps(),
    ) {
        run_saturated(&shares, &steps, whole_prompt, 0.0)?;
    }

    #[test]
    fn wrong_estimates_shift_shares_by_at_most_the_outstanding_corrections(
        shares in prop::array::uniform4(0.2f64..8.0),
        steps in steps(),
    ) {
        let corrections = (u64::from(SLOTS) * LARGEST_PROMPT * 9 / 10) as f64;
        let counted = |call: &WaitingCall| match call.branch.as_str() {
            "a" | "b/x" => call.prompt_tokens.0 / 10,
            _ => call.prompt_tokens.0,
        };
        run_saturated(&shares, &steps, counted, corrections)?;
    }
}

#[test]
fn an_idle_branch_accumulates_no_credit() {
    let mut run = Saturation::new(policy(&[("a", 1.0), ("b", 1.0)]), 1);
    for _ in 0..200 {
        run.add("a", 1_000, |_| {});
        run.assign();
        run.finish(0, whole_prompt);
    }
    (0..20).for_each(|_| run.add("a", 1_000, |_| {}));
    (0..20).for_each(|_| run.add("b", 1_000, |_| {}));
    let mut first_ten = Vec::new();
    while first_ten.len() < 10 {
        first_ten.extend(run.assign().into_iter().map(|call| call.branch));
        run.finish(0, whole_prompt);
    }
    let of_b = first_ten
        .iter()
        .filter(|path| **path == branch("b"))
        .count();
    assert!((4..=6).contains(&of_b), "{of_b} of 10");
}

#[test]
fn unused_share_goes_to_other_branches() {
    let mut run = Saturation::new(policy(&[("a", 1.0), ("b", 99.0)]), 4);
    (0..8).for_each(|_| run.add("a", 1_000, |_| {}));
    assert_eq!(run.assign().len(), 4);
}

#[test]
fn a_guaranteed_minimum_holds_against_a_large_share() {
    let mut tree = policy(&[("small", 1.0), ("large", 99.0)]);
    let floor = BranchPolicy {
        floor: 0.3,
        ..BranchPolicy::default()
    };
    tree.branches.insert(branch("small"), floor);
    let mut run = Saturation::new(tree, 2);
    for leaf in ["small", "large"] {
        (0..4).for_each(|_| run.add(leaf, 1_000, |_| {}));
    }
    for _ in 0..500 {
        for assigned in run.assign() {
            run.add(assigned.branch.as_str(), 1_000, |_| {});
        }
        run.finish(0, whole_prompt);
    }
    let served = run.served();
    let part = served["small"] / served["/"];
    assert!((0.29..0.33).contains(&part), "{part}");
}

#[test]
fn urgent_calls_go_first_but_are_charged_to_their_branch() {
    let mut run = Saturation::new(policy(&[("urgent", 1.0), ("batch", 1.0)]), 2);
    (0..4).for_each(|_| run.add("batch", 1_000, |_| {}));
    run.assign();
    (0..4).for_each(|_| run.add("urgent", 1_000, |call| call.priority = 3));
    let mut order = Vec::new();
    for _ in 0..2_000 {
        run.finish(0, whole_prompt);
        for assigned in run.assign() {
            order.push(assigned.branch.clone());
            let priority = assigned.priority;
            run.add(assigned.branch.as_str(), 1_000, |call| {
                call.priority = priority;
            });
        }
    }
    let urgent = |part: &[courseshed_types::BranchPath]| {
        part.iter()
            .filter(|path| **path == branch("urgent"))
            .count()
    };
    assert_eq!(urgent(&order[..10]), 10, "urgent calls go first");
    let late = urgent(&order[1_000..]);
    assert!(
        (450..=550).contains(&late),
        "shares hold in the long run: {late}"
    );
}

#[test]
fn a_call_of_a_long_program_is_not_starved() {
    let mut run = Saturation::new(policy(&[("a", 1.0)]), 1);
    run.add("a", 500, |_| {});
    run.assign();
    run.add("a", 500, |call| {
        call.attained = Tokens(10_000_000);
        call.priority = -5;
        call.give_up_at = call.accepted_at + Duration::from_secs(600);
    });
    let long = *run.waiting.keys().next().expect("the call is queued");
    let mut waited = 0;
    while run.waiting.contains_key(&long) {
        run.driver.now += Duration::from_millis(500);
        run.add("a", 500, |_| {});
        run.finish(0, whole_prompt);
        run.assign();
        waited += 1;
        assert!(waited < 100, "the call was overtaken for 50 s");
    }
    assert!(waited > 10, "the call is overtaken at first");
}

#[test]
fn an_explanation_counts_only_recent_service() {
    let mut run = Saturation::new(policy(&[("a", 1.0), ("b", 1.0)]), 1);
    let serve_only = |run: &mut Saturation, path: &str, calls: usize| {
        for _ in 0..calls {
            run.add(path, 100_000, |_| {});
            run.assign();
            run.finish(0, whole_prompt);
        }
    };
    serve_only(&mut run, "a", 2_000);
    serve_only(&mut run, "b", 1_000);
    run.add("b", 1_000, |_| {});
    run.assign();
    run.add("a", 1_000, |_| {});
    run.driver.tick();
    let waits = *run.waiting.keys().next().expect("the call is queued");
    let explained = run.driver.dispatcher.explain(run.driver.now, waits);
    let explained = explained.expect("the call is queued");
    assert!(explained.attained_share < 0.02, "{explained:?}");
    assert!(
        (explained.entitled_share - 0.5).abs() < 0.01,
        "the root's own queue is idle and does not count"
    );
}
