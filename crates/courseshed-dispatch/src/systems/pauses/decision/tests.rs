//! The decision is monotonic in its inputs and never exports without expected benefit.

use proptest::prelude::*;

use super::*;

fn outlooks() -> impl Strategy<Value = PauseOutlook> {
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
        |(per_second, returns, price, eviction, transfer, copy)| PauseOutlook {
            returns_per_second: per_second * returns,
            returns,
            memory_price: price,
            eviction,
            transfer,
            copy,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn dearer_memory_never_makes_it_hold(outlook in outlooks(), factor in 1.0..10.0f64) {
        let mut dearer = outlook;
        dearer.memory_price *= factor;
        if decide(&outlook) != PauseDecision::Hold {
            prop_assert_ne!(decide(&dearer), PauseDecision::Hold);
        }
    }

    #[test]
    fn an_earlier_return_never_makes_it_let_go(outlook in outlooks(), factor in 1.0..10.0f64) {
        let mut earlier = outlook;
        earlier.returns_per_second *= factor;
        if decide(&outlook) == PauseDecision::Hold {
            prop_assert_eq!(decide(&earlier), PauseDecision::Hold);
        }
    }

    #[test]
    fn an_export_is_expected_to_pay_for_itself(outlook in outlooks()) {
        if decide(&outlook) == PauseDecision::Export {
            let saved = outlook.returns * outlook.eviction * (1.0 - outlook.transfer);
            prop_assert!(saved > outlook.transfer);
            prop_assert_eq!(outlook.copy, CopyState::Possible);
        }
    }

    #[test]
    fn a_copy_that_exists_makes_memory_matter_less(outlook in outlooks()) {
        let mut copied = outlook;
        copied.copy = CopyState::Exists;
        copied.transfer = outlook.transfer.min(1.0);
        let mut alone = copied;
        alone.copy = CopyState::Impossible;
        if decide(&copied) == PauseDecision::Hold {
            prop_assert_eq!(decide(&alone), PauseDecision::Hold);
        }
    }

    #[test]
    fn a_program_that_never_returns_holds_nothing(outlook in outlooks()) {
        let mut over = outlook;
        over.returns = 0.0;
        over.returns_per_second = 0.0;
        prop_assert_eq!(decide(&over), PauseDecision::Drop);
    }

    #[test]
    fn without_pressure_nothing_is_moved(outlook in outlooks()) {
        let mut idle = outlook;
        idle.eviction = 0.0;
        prop_assert_ne!(decide(&idle), PauseDecision::Export);
    }
}

#[test]
fn a_long_pause_under_pressure_is_moved_out_and_a_short_one_held() {
    let long = PauseOutlook {
        returns_per_second: 0.02,
        returns: 0.9,
        memory_price: 0.3,
        eviction: 1.0,
        transfer: 0.2,
        copy: CopyState::Possible,
    };
    assert_eq!(decide(&long), PauseDecision::Export);
    let short = PauseOutlook {
        returns_per_second: 0.9,
        ..long
    };
    assert_eq!(decide(&short), PauseDecision::Hold);
    let doubtful = PauseOutlook {
        returns: 0.15,
        ..long
    };
    assert_eq!(decide(&doubtful), PauseDecision::Drop);
}
