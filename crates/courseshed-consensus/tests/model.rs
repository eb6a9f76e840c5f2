//! Every state within the bounds keeps the promises, and every broken variant is caught.

use courseshed_consensus::model::check;
use yare::parameterized;

#[parameterized(
    durable = { "replicas with disks" },
    volatile = { "volatile replicas" },
    membership = { "membership changes" },
    old_terms = { "entries of older terms" },
    restart = { "elections after a restart" },
    restart_after_removal = { "elections after a restart and a removal" },
)]
fn promises_hold_and_broken_variants_are_caught(name: &str) {
    let report = check(name).expect("the scenario exists");
    println!(
        "{name}: {} states, {} at goal; {}",
        report.states, report.states_at_goal, report.bounds
    );
    for variant in &report.broken_variants {
        println!("  broken: {} ({} states)", variant.name, variant.states);
        if let Some(counterexample) = &variant.counterexample {
            println!("{counterexample}");
        }
    }
    assert!(report.is_as_expected(), "{report:#?}");
}
