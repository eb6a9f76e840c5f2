//! What an owner of permits may conclude from reports and from proposed ceilings.

use std::time::Duration;

use courseshed_quota::{
    Ceiling, OwnerBounds, ProgramPhase, QuotaAnswer, QuotaHolder, QuotaOwner, QuotaPolicy,
    QuotaReport, Shortage, TenantUse,
};
use courseshed_types::NodeId;

const TENANT: &str = "tenant";
const PERMITS: u32 = 100;
const EPOCH: u64 = 2;
const NOW: Duration = Duration::from_secs(100);
const FIRST: NodeId = NodeId(1);
const SECOND: NodeId = NodeId(2);

fn owner(ceiling: u32) -> QuotaOwner {
    let bounds = OwnerBounds {
        ceilings: vec![Ceiling {
            tenant: TENANT.to_owned(),
            permits: ceiling,
        }],
        holders: vec![FIRST, SECOND],
        former_holders: Vec::new(),
    };
    QuotaOwner::new(QuotaPolicy::default(), EPOCH, NOW, bounds)
}

fn report(sequence: u64, epoch: u64, held: u32, waiting: u32) -> QuotaReport {
    QuotaReport {
        incarnation: 1,
        uptime_ms: 60_000,
        sequence,
        epoch: Some(epoch),
        is_complete: true,
        uses: vec![TenantUse {
            tenant: TENANT.to_owned(),
            held,
            used: held,
            waiting,
        }],
    }
}

/// Sends a report, and commits the bounds that follow from it at once.
fn send(owner: &mut QuotaOwner, gateway: NodeId, report: QuotaReport) -> Option<u32> {
    let (answer, bounds) = owner.on_report(NOW, gateway, report, |_| Some(PERMITS));
    owner.on_bounds(&bounds);
    match answer {
        Some(QuotaAnswer::Granted { grants }) => grants.first().map(|grant| grant.permits),
        _ => None,
    }
}

/// Guards against a delayed report from before the owner's term that counts as the gateway's current
/// state: its permits would be granted to other gateways too.
#[test]
fn report_from_an_earlier_term_releases_no_permits() {
    let mut owner = owner(60);
    // The first gateway holds 60 permits. A report from before it got them arrives late.
    assert_eq!(send(&mut owner, FIRST, report(1, EPOCH - 1, 0, 0)), None);
    send(&mut owner, SECOND, report(1, EPOCH, 0, PERMITS));
    let granted = send(&mut owner, SECOND, report(2, EPOCH, 0, PERMITS));
    assert_eq!(granted, Some(PERMITS - 60));
}

/// Guards against a ceiling that is committed after a higher one and is lower than the permits granted
/// under that one: a successor would rely on it.
#[test]
fn pending_ceilings_never_decrease() {
    let mut owner = owner(0);
    let mut propose = |gateway, waiting| {
        let report = report(1, EPOCH, 0, waiting);
        let (_, bounds) = owner.on_report(NOW, gateway, report, |_| Some(PERMITS));
        bounds.ceilings[0].permits
    };
    let high = propose(FIRST, 80);
    let low = propose(SECOND, 5);
    assert!(low >= high, "{low} is proposed after {high}");
    let due = owner.due_bounds(NOW + Duration::from_secs(60), [(TENANT, PERMITS)]);
    let ceilings = due.ceilings.iter().map(|ceiling| ceiling.permits);
    assert!(ceilings.min().is_none_or(|lowest| lowest >= high));
}

/// Guards against new programs that take the permits left after a restart of all processes, and
/// against all refused calls returning at once.
#[test]
fn programs_under_way_come_first_after_a_restart() {
    let mut owner = owner(PERMITS - 4);
    // The gateways have restarted and hold nothing. The second report confirms the epoch, and the
    // third gets what the ceiling then allows.
    let mut second = report(1, EPOCH, 0, 0);
    second.uptime_ms = 300;
    send(&mut owner, SECOND, second);
    let mut holder = QuotaHolder::new(QuotaPolicy::default(), 1, NOW);
    holder.begin_waiting(TENANT);
    for _ in 0..3 {
        let report = holder.report(NOW).expect("none is in flight");
        let sequence = report.sequence;
        let (answer, bounds) = owner.on_report(NOW, FIRST, report, |_| Some(PERMITS));
        owner.on_bounds(&bounds);
        holder.on_answer(sequence, answer.expect("reports arrive in order"));
    }
    let outcomes =
        [ProgramPhase::New, ProgramPhase::Running].map(|phase| holder.acquire(NOW, TENANT, phase));
    assert_eq!(outcomes, [Err(Shortage::ReservedForRunning), Ok(())]);
    for spread in [0.0, 0.5, 1.0] {
        let running = holder.retry_after(TENANT, ProgramPhase::Running, spread);
        let new = holder.retry_after(TENANT, ProgramPhase::New, spread);
        assert!(running < new, "{running:?} {new:?}");
    }
}
