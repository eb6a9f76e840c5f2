//! Model checking of the shard: every reachable state of small worlds, driving the real [`crate::Shard`] and
//! [`crate::ShardState`].
//!
//! The specification is that of a call's life: callers, gateways, a dispatcher, an engine and a chain of leaders,
//! with lost and doubled messages, crashes of leaders at any point, and an engine that restarts. Escrow has its
//! specification beside the ledger, in the control crate.
//!
//! It is run with rules broken on purpose too, which the search must find. Consensus is taken for granted
//! here (it has its own specification): a proposal is committed in order, or lost with its leader.

mod call_life;
pub mod search;

use courseshed_types::model_report::ModelReport;

/// Checks every specification and every broken variant of it.
pub fn check_all() -> Vec<ModelReport> {
    call_life::check_all()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_specifications_hold_and_all_broken_variants_are_caught() {
        for report in check_all() {
            println!(
                "{}: {} states; {}",
                report.name, report.states, report.bounds
            );
            if let Some(violation) = &report.violation {
                panic!("{}: {violation}", report.name);
            }
            for variant in &report.broken_variants {
                let Some(found) = &variant.caught else {
                    panic!("{}: not caught: {}", report.name, variant.name);
                };
                println!("  caught: {}\n{found}", variant.name);
            }
        }
    }
}
