//! Telling the other gateways of our calls at servers, and learning of theirs.
//!
//! The exchange goes through the controller that is followed, and takes no more of the link than
//! [`BYTES_PER_SECOND`], however many servers there are.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::LoadReport;
use tokio::time::sleep;

use super::core::GatewayCore;
use crate::peers::Peers;
use crate::protocol::{PeerReply, PeerRequest};

/// Shortest time from one exchange to the next.
const INTERVAL: Duration = Duration::from_millis(80);
/// How long a controller may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// What the exchange may take of the link, in both directions together.
const BYTES_PER_SECOND: f64 = 8_000.0;
/// About what an exchange takes without, and for, each server.
const BYTES_OF_EXCHANGE: f64 = 100.0;
const BYTES_OF_SERVER: f64 = 8.0;

/// Exchanges loads for as long as the process lives. A gateway without calls says so once.
pub(super) async fn share_load(core: Rc<GatewayCore>, peers: Arc<Peers>) {
    let mut was_idle = true;
    loop {
        let own = core.servers.borrow().load_report();
        let is_idle = own.servers.is_empty();
        let sent = own.servers.len();
        let received = if is_idle && was_idle {
            0
        } else {
            exchange(&core, &peers, own).await
        };
        was_idle = is_idle;
        sleep(pause_after(sent + received)).await;
    }
}

/// Returns how many servers the others have calls at.
async fn exchange(core: &GatewayCore, peers: &Peers, own: LoadReport) -> usize {
    let Some(controller) = core.follower.controllers().first().copied() else {
        return 0;
    };
    let request = PeerRequest::ShareLoad(own);
    let reply = peers.request(controller, request, ANSWER_LIMIT).await;
    let now = core.clock.now();
    let mut servers = core.servers.borrow_mut();
    let Ok(PeerReply::OthersLoad(others)) = reply else {
        servers.forget_old_loads(now);
        return 0;
    };
    servers.note_others(&others, now);
    others.servers.len()
}

fn pause_after(servers: usize) -> Duration {
    let bytes = BYTES_OF_EXCHANGE + BYTES_OF_SERVER * servers as f64;
    INTERVAL.max(Duration::from_secs_f64(bytes / BYTES_PER_SECOND))
}
