//! What a relay has heard from its zone and not yet passed on.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_types::{
    NodeId, Timestamp,
    control::{HeardNode, Member, MemberMap, NodeHeartbeat, ZoneReport},
};

/// Signs of life older than this are not passed on: the controller would take them for new.
const OLDEST_PASSED_ON: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct RelayEntry {
    heartbeat: NodeHeartbeat,
    heard_at: Timestamp,
}

/// The latest heartbeat of each node that was heard lately.
#[derive(Debug, Clone, Default)]
pub(super) struct RelayTable {
    entries: BTreeMap<NodeId, RelayEntry>,
}

impl RelayTable {
    pub(super) fn hear(&mut self, now: Timestamp, heartbeat: NodeHeartbeat) {
        let entry = RelayEntry {
            heartbeat,
            heard_at: now,
        };
        self.entries.insert(entry.heartbeat.member.node, entry);
    }

    /// Takes a report of another node; entries of nodes that the map does not know are left out, since a report in
    /// short says too little of them.
    pub(super) fn hear_report(
        &mut self,
        now: Timestamp,
        report: &ZoneReport,
        map: &Arc<MemberMap>,
    ) {
        for heard in &report.heard {
            if let Some(member) = map.members.get(&heard.node) {
                let member = Member {
                    incarnation: heard.incarnation,
                    ..member.clone()
                };
                let position = heard.position;
                self.hear(now, NodeHeartbeat { member, position });
            }
        }
        for heartbeat in &report.changed {
            self.hear(now, heartbeat.clone());
        }
    }

    /// The report of what was heard since the last one, and of the node itself.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        own: NodeHeartbeat,
        map: &Arc<MemberMap>,
    ) -> ZoneReport {
        let mut report = ZoneReport {
            from: own.member.node,
            ..ZoneReport::default()
        };
        let entries = std::mem::take(&mut self.entries);
        let fresh = entries
            .into_values()
            .filter(|entry| now.since(entry.heard_at) < OLDEST_PASSED_ON)
            .map(|entry| entry.heartbeat)
            .filter(|heartbeat| heartbeat.member.node != own.member.node);
        for heartbeat in std::iter::once(own.clone()).chain(fresh) {
            add(&mut report, heartbeat, map);
        }
        report
    }
}

fn add(report: &mut ZoneReport, heartbeat: NodeHeartbeat, map: &Arc<MemberMap>) {
    let known = map.members.get(&heartbeat.member.node);
    if known == Some(&heartbeat.member) {
        report.heard.push(HeardNode {
            node: heartbeat.member.node,
            incarnation: heartbeat.member.incarnation,
            position: heartbeat.position,
        });
    } else {
        report.changed.push(heartbeat);
    }
}
