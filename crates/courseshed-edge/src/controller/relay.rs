//! What controllers tell each other beside the replicated log: whom they heard, and the calls of the
//! gateways that follow them. All of it is soft knowledge that is told again and again.

use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::pause_after_reports;
use courseshed_types::NodeId;
use tokio::time::sleep;

use super::handle::{Input, Shared};
use crate::protocol::{PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest};

/// How often a controller that doesn't lead tells the leader whom it heard.
const RELAY_INTERVAL: Duration = Duration::from_millis(500);
/// How often a controller that doesn't lead has the leader confirm the routing table: a part of the
/// 1.6 s that a proof may be old at a gateway in touch.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// How long the leader may take: a round between zones takes 3 to 10 ms.
const CONFIRM_LIMIT: Duration = Duration::from_millis(400);
/// How often controllers tell each other of the calls of their gateways.
const LOAD_INTERVAL: Duration = Duration::from_millis(80);

/// Tells the leader, here or elsewhere, whom this controller heard.
pub(super) async fn relay_heard(shared: Arc<Shared>) {
    loop {
        sleep(RELAY_INTERVAL).await;
        let published = shared.published();
        let Some(leader) = published.leader else {
            continue;
        };
        let heard = shared.take_heard();
        let servers: Vec<String> = heard.servers.into_iter().collect();
        let nodes: Vec<NodeId> = heard.nodes.into_iter().collect();
        if servers.is_empty() && nodes.is_empty() {
            continue;
        }
        if published.is_leader {
            shared.tell(Input::Heard { servers, nodes });
        } else if let Some(peers) = shared.peers() {
            let _ = peers.send(leader, PeerMessage::Heartbeats { servers, nodes });
        }
    }
}

/// Asks the leader again and again which version of the routing table is in force, so that this
/// controller can prove to its followers that it has the newest.
pub(super) async fn confirm_routing(shared: Arc<Shared>, addresses: PeerAddresses) {
    loop {
        let published = shared.published();
        let other = published.leader.filter(|_| !published.is_leader);
        if let (Some(leader), Some(peers)) = (other, shared.peers()) {
            peers.set_address(leader, addresses.of(leader, PeerPort::Controller));
            let asked_at = shared.clock().now();
            let question = PeerRequest::ReadRoutingVersion;
            let answer = peers.request(leader, question, CONFIRM_LIMIT).await;
            if let Ok(PeerReply::RoutingVersion(version)) = answer {
                shared.note_confirmed(asked_at, version);
            }
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}

/// Tells the other controllers what the gateways have that follow this one.
pub(super) async fn relay_load(shared: Arc<Shared>) {
    let mut was_idle = true;
    loop {
        let controllers = shared.published().controllers;
        let others: Vec<NodeId> = controllers
            .into_keys()
            .filter(|node| *node != shared.node())
            .collect();
        let report = shared.load_of_own_gateways();
        let is_idle = report.lines() == 0;
        let servers = report.lines() * others.len();
        let pause = pause_after_reports(others.len(), servers, LOAD_INTERVAL);
        let report = report.until_next(pause);
        if let (false, Some(peers)) = (is_idle && was_idle, shared.peers()) {
            for controller in others {
                let _ = peers.send(controller, PeerMessage::Load(report.clone()));
            }
        }
        was_idle = is_idle;
        sleep(pause).await;
    }
}
