//! Exchanges in-flight calls and call outcomes with the other gateways.
//!
//! The exchange goes through a controller and uses bounded bandwidth, regardless of the number of
//! servers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::{LoadReport, pause_after_reports};
use tokio::time::sleep;

use super::core::GatewayCore;
use crate::peers::Peers;
use crate::protocol::{PeerReply, PeerRequest};

/// Minimum interval between exchanges.
const INTERVAL: Duration = Duration::from_millis(80);
/// Timeout of an exchange.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// Exchanges load reports until the process exits. A gateway that has become idle reports that
/// once.
pub(super) async fn share_load(core: Rc<GatewayCore>, peers: Arc<Peers>) {
    let mut was_idle = true;
    let mut pause = INTERVAL;
    loop {
        let own = core
            .servers
            .borrow()
            .load_report(core.clock.now())
            .until_next(pause);
        let is_idle = own.lines() == 0;
        let sent = own.lines();
        let received = if is_idle && was_idle {
            let now = core.clock.now();
            core.servers.borrow_mut().expire_load_report(now);
            0
        } else {
            exchange(&core, &peers, own).await
        };
        core.reevaluate_avoidance();
        was_idle = is_idle;
        pause = pause_after_reports(2, sent + received, INTERVAL);
        sleep(pause).await;
    }
}

/// Sends the load report and applies the others' reports. Returns their number of servers.
async fn exchange(core: &GatewayCore, peers: &Peers, own: LoadReport) -> usize {
    let Some(controller) = core.follower.controllers().first().copied() else {
        return 0;
    };
    let request = PeerRequest::ShareLoad(own);
    let reply = peers.request(controller, request, ANSWER_LIMIT).await;
    let now = core.clock.now();
    let mut servers = core.servers.borrow_mut();
    let Ok(PeerReply::OthersLoad(others)) = reply else {
        servers.expire_load_report(now);
        return 0;
    };
    servers.apply_load_report(&others, now);
    others.lines()
}
