//! The decision is monotonic in its inputs and never exports without expected benefit.

use proptest::prelude::*;

use super::*;

fn pause_estimates() -> impl Strategy<Value = PauseEstimates> {
    let copies = prop_oneof![
        Just(CopyState::Impossible),
        Just(CopyState::Possible),
        Just(CopyState::Exists)
    ];
    let parts = (
        0.0..1.0f64,
        0.0..1.0f64,
        0.003..0.34f64,
        0.0..=1.0f64,
        0.01..2.0f64,
        copies,
    );
    parts.prop_map(
        |(rate, resume_probability, price, eviction_probability, transfer_cost, copy)| {
            PauseEstimates {
                resume_rate: rate * resume_probability,
                resume_probability,
                memory_price: price,
                eviction_probability,
                transfer_cost,
                copy,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn a_higher_memory_price_never_causes_a_hold(
        estimates in pause_estimates(),
        factor in 1.0..10.0f64,
    ) {
        let mut more_expensive = estimates;
        more_expensive.memory_price *= factor;
        if decide(&estimates) != PauseDecision::Hold {
            prop_assert_ne!(decide(&more_expensive), PauseDecision::Hold);
        }
    }

    #[test]
    fn a_higher_resume_rate_never_causes_a_release(
        estimates in pause_estimates(),
        factor in 1.0..10.0f64,
    ) {
        let mut higher_rate = estimates;
        higher_rate.resume_rate *= factor;
        if decide(&estimates) == PauseDecision::Hold {
            prop_assert_eq!(decide(&higher_rate), PauseDecision::Hold);
        }
    }

    #[test]
    fn an_export_saves_more_than_it_costs(estimates in pause_estimates()) {
        if decide(&estimates) == PauseDecision::Export {
            let saved = estimates.resume_probability
                * estimates.eviction_probability
                * (1.0 - estimates.transfer_cost);
            prop_assert!(saved > estimates.transfer_cost);
            prop_assert_eq!(estimates.copy, CopyState::Possible);
        }
    }

    #[test]
    fn an_existing_copy_never_causes_a_hold(estimates in pause_estimates()) {
        let mut copied = estimates;
        copied.copy = CopyState::Exists;
        copied.transfer_cost = estimates.transfer_cost.min(1.0);
        let mut alone = copied;
        alone.copy = CopyState::Impossible;
        if decide(&copied) == PauseDecision::Hold {
            prop_assert_eq!(decide(&alone), PauseDecision::Hold);
        }
    }

    #[test]
    fn a_program_that_never_resumes_holds_no_lease(estimates in pause_estimates()) {
        let mut over = estimates;
        over.resume_probability = 0.0;
        over.resume_rate = 0.0;
        prop_assert_eq!(decide(&over), PauseDecision::Drop);
    }

    #[test]
    fn nothing_is_exported_without_pressure(estimates in pause_estimates()) {
        let mut idle = estimates;
        idle.eviction_probability = 0.0;
        prop_assert_ne!(decide(&idle), PauseDecision::Export);
    }
}

#[test]
fn under_pressure_long_pauses_are_exported_and_short_ones_held() {
    let long = PauseEstimates {
        resume_rate: 0.02,
        resume_probability: 0.9,
        memory_price: 0.3,
        eviction_probability: 1.0,
        transfer_cost: 0.2,
        copy: CopyState::Possible,
    };
    assert_eq!(decide(&long), PauseDecision::Export);
    let short = PauseEstimates {
        resume_rate: 0.9,
        ..long
    };
    assert_eq!(decide(&short), PauseDecision::Hold);
    let doubtful = PauseEstimates {
        resume_probability: 0.15,
        ..long
    };
    assert_eq!(decide(&doubtful), PauseDecision::Drop);
}
