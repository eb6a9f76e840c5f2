//! Cases of the owner of permits that the simulation meets too rarely to rely on it.

use std::time::Duration;

use courseshed_types::NodeId;
use courseshed_warmup::{
    LEASE, OCCUPANCY, ServerUse, WarmupAnswer, WarmupOwner, WarmupPolicy, WarmupReport,
};

const EPOCH: u64 = 2;
const PERMITS: u32 = 8;

fn report(sequence: u64, epoch: u64, held: u32, waiting: u32) -> WarmupReport {
    WarmupReport {
        incarnation: 1,
        sequence,
        epoch: Some(epoch),
        is_complete: true,
        uses: vec![ServerUse {
            server: "s".to_owned(),
            held,
            used: held,
            waiting,
        }],
    }
}

/// Reports a use and returns the permits granted; none if a complete report is required.
fn granted(
    owner: &mut WarmupOwner,
    now: Duration,
    gateway: u32,
    report: &WarmupReport,
) -> Option<u32> {
    let answer = owner.on_report(now, NodeId(gateway), report, |_| Some(PERMITS));
    match answer? {
        WarmupAnswer::Granted { grants } => grants.first().map(|grant| grant.permits),
        WarmupAnswer::CompleteReportRequired { .. } => None,
    }
}

/// A late report that was sent under the previous owner tells of permits that were since given to
/// other gateways. Its permits must not be taken over, or they would be free twice.
#[test]
fn report_to_the_previous_owner_is_not_taken_over() {
    let listed = [("s".to_owned(), PERMITS)];
    let mut owner = WarmupOwner::new(EPOCH, Duration::ZERO, listed);
    let now = Duration::from_millis(10);
    assert_eq!(
        granted(&mut owner, now, 1, &report(1, EPOCH - 1, 5, 0)),
        None
    );
    assert_eq!(
        granted(&mut owner, now, 1, &report(2, EPOCH, 1, 0)),
        Some(1)
    );
    assert_eq!(
        granted(&mut owner, now, 2, &report(1, EPOCH, 0, 4)),
        Some(0)
    );
    let recovered = now + LEASE + OCCUPANCY;
    assert_ne!(
        granted(&mut owner, recovered, 2, &report(2, EPOCH, 0, 4)),
        Some(0)
    );
}

/// The permits that a gateway holds when the owner changes stay usable there.
#[test]
fn permits_in_use_are_renewed_by_a_new_owner() {
    let listed = [("s".to_owned(), PERMITS)];
    let mut owner = WarmupOwner::new(EPOCH, Duration::ZERO, listed);
    let now = Duration::from_millis(10);
    assert_eq!(
        granted(&mut owner, now, 1, &report(1, EPOCH, 5, 0)),
        Some(5)
    );
    assert_eq!(owner.outstanding(), u64::from(PERMITS));
}

/// After the limit was lowered, what the gateways may use together must fit under the new limit as
/// soon as all of them have reported.
#[test]
fn permits_are_returned_after_the_limit_was_lowered() {
    let mut owner = WarmupOwner::new(EPOCH, Duration::ZERO, []);
    let now = Duration::from_millis(10);
    for gateway in [1, 2] {
        for sequence in 1..20 {
            let held = 4.min(sequence as u32 - 1);
            let report = report(sequence, EPOCH, held, 4 - held);
            assert!(granted(&mut owner, now, gateway, &report).is_some());
        }
    }
    let mut lowered = 0;
    for gateway in [1, 2] {
        let report = report(20, EPOCH, 4, 0);
        let answer = owner.on_report(now, NodeId(gateway), &report, |_| Some(PERMITS / 2));
        let Some(WarmupAnswer::Granted { grants }) = answer else {
            panic!("no grant");
        };
        lowered += grants[0].permits;
    }
    assert!(lowered <= PERMITS / 2, "{lowered}");
}

/// A gateway with idle permits reports no change, so it would keep more than a lowered limit allows.
#[test]
fn idle_permits_are_returned_after_the_limit_was_lowered() {
    let mut owner = WarmupOwner::new(EPOCH, Duration::ZERO, []);
    let now = Duration::from_millis(10);
    assert!(granted(&mut owner, now, 1, &report(1, EPOCH, 0, 8)) > Some(0));
    let idle = WarmupReport {
        is_complete: false,
        uses: Vec::new(),
        ..report(2, EPOCH, 0, 0)
    };
    let answer = owner.on_report(now, NodeId(1), &idle, |_| Some(0));
    let Some(WarmupAnswer::Granted { grants }) = answer else {
        panic!("no grant");
    };
    assert_eq!(grants.first().map(|grant| grant.permits), Some(0));
}

/// A late report must not count as the state of a gateway whose lease has expired since: the
/// gateway's next report lists only what changed after a newer one.
#[test]
fn late_report_of_a_silent_gateway_is_ignored() {
    let mut owner = WarmupOwner::new(EPOCH, Duration::ZERO, []);
    let now = Duration::from_millis(10);
    assert!(granted(&mut owner, now, 1, &report(1, EPOCH, 0, 4)).is_some());
    assert!(granted(&mut owner, now, 1, &report(3, EPOCH, 1, 4)).is_some());
    let silent = now + LEASE;
    assert_eq!(
        granted(&mut owner, silent, 1, &report(2, EPOCH, 1, 0)),
        None
    );
    let partial = WarmupReport {
        is_complete: false,
        ..report(4, EPOCH, 1, 0)
    };
    let answer = owner.on_report(silent, NodeId(1), &partial, |_| Some(PERMITS));
    let required = WarmupAnswer::CompleteReportRequired { epoch: EPOCH };
    assert_eq!(answer, Some(required));
}

/// The limit of the deployment with 24 requests per second: 24 x 1.5 + 5.
#[test]
fn permits_follow_from_the_rate() {
    assert_eq!(WarmupPolicy::default().permits(24.0), 41);
}
