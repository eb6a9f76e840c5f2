//! The seed decides the faults, and they come in series that overlap.

use std::time::Duration;

use courseshed_soak::faults::{Fault, FaultKind, plan};
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
    assert!(has(|kind| matches!(kind, FaultKind::Freeze { .. })));
    assert!(has(|kind| matches!(kind, FaultKind::KillFleet { .. })));
    assert!(has(|kind| matches!(kind, FaultKind::Evacuate { .. })));
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

/// Guards against evacuations that end before anything else happens.
#[test]
fn evacuations_freezes_and_kills_overlap() {
    let overlaps = |seed: u64| {
        let faults = plan(seed, HOW_LONG, &ROLES);
        let evacuations = faults.iter().filter_map(|fault| match fault.kind {
            FaultKind::Evacuate { how_long, .. } => Some((fault.at, fault.at + how_long)),
            _ => None,
        });
        let mut evacuations = evacuations.map(|(from, to)| {
            let meanwhile = || {
                let faults = faults.iter();
                faults.filter(move |fault| fault.at > from && fault.at < to)
            };
            let freezes = |fault: &Fault| matches!(fault.kind, FaultKind::Freeze { .. });
            let kills = |fault: &Fault| matches!(fault.kind, FaultKind::Kill { .. });
            meanwhile().any(freezes) && meanwhile().any(kills)
        });
        evacuations.any(|overlaps| overlaps)
    };
    assert!((0..20).any(overlaps));
}

#[test]
fn a_third_of_the_gateways_freezes_at_once() {
    let roles = [Role::Gateway; 7];
    let faults = (0..20).flat_map(|seed| plan(seed, HOW_LONG, &roles));
    let freezes = faults.filter_map(|fault| match fault.kind {
        FaultKind::Freeze { members, .. } => Some(members),
        _ => None,
    });
    for mut members in freezes {
        members.dedup();
        assert_eq!(members.len(), 3);
    }
}

/// Guards against a plan that can't be played again from the file that a failed run leaves.
#[test]
fn a_plan_is_read_back_as_it_was_written() {
    let faults = plan(5, HOW_LONG, &ROLES);
    let text = serde_json::to_string(&faults).expect("text");
    let read: Vec<Fault> = serde_json::from_str(&text).expect("a plan");
    assert_eq!(read, faults);
}
