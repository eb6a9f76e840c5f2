//! Volatile state that controllers exchange outside the replicated log: heartbeats received, load of the
//! gateways that follow them, and confirmations of the routing table. It is resent periodically.

use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::report_interval;
use courseshed_types::NodeId;
use tokio::time::sleep;

use super::handle::{Input, Shared};
use crate::protocol::{PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest};

/// How often heartbeats are relayed to the leader.
const RELAY_INTERVAL: Duration = Duration::from_millis(500);
/// How often a follower has the leader confirm the routing table: a fraction of the 1.6 s that a proof may be
/// old at a connected gateway.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for the leader's confirmation: well above the round-trip time between zones (3 to 10 ms).
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest interval between load reports to other controllers.
const LOAD_INTERVAL: Duration = Duration::from_millis(80);

/// Relays the heartbeats that this controller received to the leader.
pub(super) async fn relay_heartbeats(shared: Arc<Shared>) {
    loop {
        sleep(RELAY_INTERVAL).await;
        let published = shared.published();
        let Some(leader) = published.leader else {
            continue;
        };
        let heartbeats = shared.take_heartbeats();
        let servers: Vec<String> = heartbeats.servers.into_iter().collect();
        let nodes: Vec<NodeId> = heartbeats.nodes.into_iter().collect();
        if servers.is_empty() && nodes.is_empty() {
            continue;
        }
        if published.is_leader {
            shared.send_input(Input::Heartbeats { servers, nodes });
        } else if let Some(peers) = shared.peers() {
            let heartbeats = PeerMessage::Heartbeats {
                servers,
                nodes,
                suspects: Vec::new(),
            };
            let _ = peers.send(leader, heartbeats);
        }
    }
}

/// Periodically reads the version of the routing table from the leader, so that this controller can prove to
/// its followers that its table is the newest.
pub(super) async fn confirm_routing(shared: Arc<Shared>, addresses: PeerAddresses) {
    loop {
        let published = shared.published();
        let other = published.leader.filter(|_| !published.is_leader);
        if let (Some(leader), Some(peers)) = (other, shared.peers()) {
            peers.set_address(leader, addresses.of(leader, PeerPort::Controller));
            let asked_at = shared.clock().now();
            let question = PeerRequest::ReadRoutingVersion;
            let answer = peers.request(leader, question, CONFIRM_TIMEOUT).await;
            if let Ok(PeerReply::RoutingVersion(version)) = answer {
                shared.record_confirmed(asked_at, version);
            }
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}

/// Reports the load of the gateways that follow this controller to the other controllers.
pub(super) async fn relay_load(shared: Arc<Shared>) {
    let mut was_idle = true;
    loop {
        let controllers = shared.published().controllers;
        let others: Vec<NodeId> = controllers
            .into_keys()
            .filter(|node| *node != shared.node())
            .collect();
        let report = shared.own_gateways_load();
        let is_idle = report.entry_count() == 0;
        let servers = report.entry_count() * others.len();
        let pause = report_interval(others.len(), servers, LOAD_INTERVAL);
        let report = report.with_lifetime_for(pause);
        if let (false, Some(peers)) = (is_idle && was_idle, shared.peers()) {
            for controller in others {
                let _ = peers.send(controller, PeerMessage::Load(report.clone()));
            }
        }
        was_idle = is_idle;
        sleep(pause).await;
    }
}
