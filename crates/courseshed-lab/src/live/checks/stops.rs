//! Planned stops: what was in flight at a node when it began to stop must come to its end.

use courseshed_types::Timestamp;

use super::{Evidence, Judgement, Promise, call_name};
use crate::live::{
    nodes::{NodeEvidence, NodeReadiness},
    record::{ProgramRecord, TryRecord, TryResult},
};

pub(super) fn check(evidence: &Evidence, judgement: &mut Judgement) {
    for program in &evidence.programs {
        for call in 0..program.calls.len() {
            for one in &program.calls[call].tries {
                check_try(evidence, program, call, one, judgement);
            }
        }
    }
}

fn check_try(
    evidence: &Evidence,
    program: &ProgramRecord,
    call: usize,
    one: &TryRecord,
    judgement: &mut Judgement,
) {
    let node = evidence.nodes.get(one.gateway);
    let stop = node.and_then(|node| stop_during(node, one));
    if stop.is_none() && !evidence.limits.all_stops_planned {
        return;
    }
    let holds = !matches!(one.result, TryResult::Cut { .. } | TryResult::NoWord);
    judgement.expect(
        Promise::PlannedStop,
        holds,
        call_name(program, call),
        || {
            format!(
                "its request was in flight at {} and was cut off",
                node.map_or("a node", |node| node.url.as_str())
            )
        },
    );
}

/// When a node began to stop while it held this request.
fn stop_during(node: &NodeEvidence, one: &TryRecord) -> Option<Timestamp> {
    let pairs = node.readiness.windows(2);
    let stops = pairs.filter(|pair| pair[1].readiness == NodeReadiness::Draining);
    let mut in_flight =
        stops.filter(|pair| one.sent_at <= pair[0].until && one.ended_at >= pair[1].from);
    in_flight.next().map(|pair| pair[1].from)
}
