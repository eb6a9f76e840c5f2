//! Exchanges in-flight calls and call outcomes with the other gateways.
//!
//! The exchange goes through a controller and uses bounded bandwidth, regardless of the number of
//! servers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::{LoadReport, report_interval};
use tokio::time::sleep;

use super::core::GatewayCore;
use super::policy::Mechanism;
use crate::peers::Peers;
use crate::protocol::{PeerReply, PeerRequest};

/// Minimum interval between exchanges.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(80);
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Exchanges load reports until the process exits. A gateway that has become idle reports that
/// once.
pub(super) async fn share_load(core: Rc<GatewayCore>, peers: Arc<Peers>) {
    let mut was_idle = true;
    let mut pause = MIN_EXCHANGE_INTERVAL;
    loop {
        let own = core
            .servers
            .borrow()
            .load_report(core.clock.now())
            .with_lifetime_for(pause);
        let is_idle = own.entry_count() == 0;
        let sent = own.entry_count();
        let received = if is_idle && was_idle {
            let now = core.clock.now();
            core.servers.borrow_mut().expire_load_report(now);
            0
        } else {
            exchange(&core, &peers, own).await
        };
        core.reevaluate_avoidance();
        was_idle = is_idle;
        pause = report_interval(2, sent + received, MIN_EXCHANGE_INTERVAL);
        sleep(pause).await;
    }
}

/// Sends the load report and applies the others' reports. Returns their number of servers.
async fn exchange(core: &GatewayCore, peers: &Peers, own: LoadReport) -> usize {
    let Some(controller) = core.follower.controllers().first().copied() else {
        return 0;
    };
    let request = PeerRequest::ShareLoad(own);
    let reply = peers.request(controller, request, EXCHANGE_TIMEOUT).await;
    let now = core.clock.now();
    let Ok(PeerReply::OthersLoad(others)) = reply else {
        core.servers.borrow_mut().expire_load_report(now);
        return 0;
    };
    core.servers.borrow_mut().apply_load_report(&others, now);
    if core.policy.uses(Mechanism::Admission) {
        core.observe_load(now);
    }
    others.entry_count()
}
