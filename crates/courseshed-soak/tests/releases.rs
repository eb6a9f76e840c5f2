//! The seed decides the releases, which go forward and back and overlap with faults.

use std::collections::BTreeSet;
use std::time::Duration;

use courseshed_soak::faults::{Fault, FaultKind, plan};
use courseshed_soak::node::Role;
use courseshed_soak::releases::{FIRST_VERSION, plan_with_releases};

const ROLES: [Role; 4] = [Role::Controller, Role::Store, Role::Gateway, Role::Gateway];
const HOW_LONG: Duration = Duration::from_secs(60);

fn versions(faults: &[Fault]) -> Vec<u32> {
    let versions = faults.iter().filter_map(|fault| match fault.kind {
        FaultKind::UpgradeServer { version } => Some(version),
        _ => None,
    });
    versions.collect()
}

/// Guards against seeds of known cases that would mean other faults.
#[test]
fn releases_leave_the_faults_of_a_seed_as_they_are() {
    for seed in 0..20 {
        let mut faults = plan_with_releases(seed, HOW_LONG, &ROLES);
        faults.retain(|fault| !matches!(fault.kind, FaultKind::UpgradeServer { .. }));
        assert_eq!(faults, plan(seed, HOW_LONG, &ROLES));
    }
}

#[test]
fn releases_go_forward_and_back_and_bring_three_versions() {
    for seed in 0..20 {
        let versions = versions(&plan_with_releases(seed, HOW_LONG, &ROLES));
        let kinds: BTreeSet<u32> = versions.iter().copied().collect();
        assert_eq!(kinds.len(), 3, "seed {seed}");
        assert!(kinds.contains(&FIRST_VERSION));
        assert!(versions.windows(2).any(|pair| pair[0] < pair[1]));
        assert!(versions.windows(2).any(|pair| pair[0] > pair[1]));
    }
}

#[test]
fn faults_come_between_the_steps_of_releases() {
    let faults = plan_with_releases(1, HOW_LONG, &ROLES);
    let is_step = |fault: &Fault| matches!(fault.kind, FaultKind::UpgradeServer { .. });
    let overlaps = faults
        .windows(3)
        .filter(|three| is_step(&three[0]) && !is_step(&three[1]) && is_step(&three[2]));
    assert!(overlaps.count() > 5);
}
