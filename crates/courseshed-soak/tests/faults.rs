//! The seed decides the faults, and they come in series that overlap.

use std::time::Duration;

use courseshed_soak::faults::{FaultKind, plan};
use courseshed_soak::node::Role;

const ROLES: [Role; 5] = [
    Role::Controller,
    Role::Controller,
    Role::Store,
    Role::Store,
    Role::Gateway,
];
const HOW_LONG: Duration = Duration::from_secs(60);

#[test]
fn a_seed_makes_the_same_faults_and_another_seed_others() {
    assert_eq!(plan(3, HOW_LONG, &ROLES), plan(3, HOW_LONG, &ROLES));
    assert_ne!(plan(3, HOW_LONG, &ROLES), plan(4, HOW_LONG, &ROLES));
}

#[test]
fn no_more_disks_are_lost_than_are_borne() {
    for seed in 0..200 {
        let faults = plan(seed, HOW_LONG, &ROLES);
        let lost = faults
            .iter()
            .filter(|fault| matches!(fault.kind, FaultKind::Wipe { .. }));
        assert!(lost.count() <= 1, "seed {seed}");
    }
}

#[test]
fn every_kind_comes_and_faults_overlap() {
    let faults: Vec<_> = (0..50)
        .flat_map(|seed| plan(seed, HOW_LONG, &ROLES))
        .collect();
    let has = |is_it: fn(&FaultKind) -> bool| faults.iter().any(|fault| is_it(&fault.kind));
    assert!(has(|kind| matches!(kind, FaultKind::Stop { .. })));
    assert!(has(|kind| matches!(kind, FaultKind::StopInTurn { .. })));
    assert!(has(|kind| matches!(kind, FaultKind::Kill { .. })));
    assert!(has(|kind| matches!(kind, FaultKind::KillAll { .. })));
    assert!(has(|kind| matches!(kind, FaultKind::Pause { .. })));
    assert!(has(|kind| matches!(kind, FaultKind::Reload { .. })));
    assert!(has(|kind| matches!(kind, FaultKind::Wipe { .. })));
    assert!(has(|kind| matches!(kind, FaultKind::ChangeRouting)));
    assert!(has(|kind| matches!(kind, FaultKind::ReplaceServer)));
    let overlap = plan(1, HOW_LONG, &ROLES).windows(2).any(|pair| {
        let lasts = match pair[0].kind {
            FaultKind::Pause { how_long, .. } => how_long,
            FaultKind::Kill { away, .. } | FaultKind::Stop { away, .. } => away,
            _ => Duration::ZERO,
        };
        pair[0].at + lasts > pair[1].at
    });
    assert!(overlap);
}
