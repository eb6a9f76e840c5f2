//! Heartbeats that a relay has received from its zone and not yet forwarded.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_types::{
    NodeId, Timestamp,
    control::{HeardNode, Member, MemberMap, NodeHeartbeat, ZoneReport},
};

/// Maximum age of a forwarded heartbeat; the controller treats every heartbeat it receives as current.
const MAX_FORWARD_AGE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct RelayEntry {
    heartbeat: NodeHeartbeat,
    received_at: Timestamp,
}

/// The latest unforwarded heartbeat of each node.
#[derive(Debug, Clone, Default)]
pub(super) struct RelayTable {
    entries: BTreeMap<NodeId, RelayEntry>,
}

impl RelayTable {
    pub(super) fn record_heartbeat(&mut self, now: Timestamp, heartbeat: NodeHeartbeat) {
        let entry = RelayEntry {
            heartbeat,
            received_at: now,
        };
        self.entries.insert(entry.heartbeat.member.node, entry);
    }

    /// Adds the heartbeats of another node's report. Short entries of nodes that are not in the local map are dropped,
    /// because they can't be expanded to full entries.
    pub(super) fn record_report(
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
                self.record_heartbeat(now, NodeHeartbeat { member, position });
            }
        }
        for heartbeat in &report.changed {
            self.record_heartbeat(now, heartbeat.clone());
        }
    }

    /// Drains the received heartbeats into a report, together with the node's own heartbeat.
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
        let recent = entries
            .into_values()
            .filter(|entry| now.since(entry.received_at) < MAX_FORWARD_AGE)
            .map(|entry| entry.heartbeat)
            .filter(|heartbeat| heartbeat.member.node != own.member.node);
        for heartbeat in std::iter::once(own.clone()).chain(recent) {
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
