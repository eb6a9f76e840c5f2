//! Settings: a version is in force everywhere within seconds, and no node goes back to an older one.

use courseshed_types::Timestamp;

use super::{Evidence, Judgement, Promise};
use crate::live::nodes::{NodeEvidence, VersionSpan};

pub(super) fn check(evidence: &Evidence, judgement: &mut Judgement) {
    for node in &evidence.nodes {
        check_no_reversion(node, judgement);
        for span in &node.versions {
            check_in_time(evidence, node, span, judgement);
        }
    }
}

fn check_no_reversion(node: &NodeEvidence, judgement: &mut Judgement) {
    for pair in node.versions.windows(2) {
        let (earlier, later) = (pair[0].version, pair[1].version);
        judgement.expect(Promise::Settings, later >= earlier, &node.url, || {
            format!("it went from version {earlier} back to {later}")
        });
    }
}

/// A version may be in force only so long after a newer one was seen anywhere.
fn check_in_time(
    evidence: &Evidence,
    node: &NodeEvidence,
    span: &VersionSpan,
    judgement: &mut Judgement,
) {
    let Some(newer_at) = first_newer(evidence, span.version) else {
        judgement.tested(Promise::Settings);
        return;
    };
    let holds = span.until <= newer_at + evidence.limits.settings_grace;
    judgement.expect(Promise::Settings, holds, &node.url, || {
        let late = span.until.since(newer_at);
        let version = span.version;
        format!("version {version} was in force {late:?} after a newer one was accepted")
    });
}

fn first_newer(evidence: &Evidence, version: u64) -> Option<Timestamp> {
    let spans = evidence.nodes.iter().flat_map(|node| &node.versions);
    let newer = spans.filter(|span| span.version > version);
    newer.map(|span| span.from).min()
}
