//! Telling the other gateways of our calls at servers and of what we saw those read, and learning
//! the same of them.
//!
//! The exchange goes through the controller that is followed, and takes a bounded part of the link,
//! however many servers there are.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::{LoadReport, MOST_READS_A_MESSAGE, ReportSize, pause_after_reports};
use courseshed_types::NodeId;
use tokio::time::sleep;

use super::core::GatewayCore;
use crate::peers::Peers;
use crate::protocol::{PeerReply, PeerRequest};

/// Shortest time from one exchange to the next.
const INTERVAL: Duration = Duration::from_millis(80);
/// How long a controller may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// How far which controller has told this gateway of the others' reads.
#[derive(Clone, Copy, Default)]
struct ToldBy {
    controller: Option<NodeId>,
    told: u64,
}

/// Exchanges loads for as long as the process lives. A gateway without calls says so once.
pub(super) async fn share_load(core: Rc<GatewayCore>, peers: Arc<Peers>) {
    let mut was_idle = true;
    let mut pause = INTERVAL;
    let mut told_by = ToldBy::default();
    loop {
        let own = core.servers.borrow().load_report().until_next(pause);
        let is_idle = own.servers.is_empty();
        let size = if is_idle && was_idle {
            let now = core.clock.now();
            core.servers.borrow_mut().forget_old_loads(now);
            ReportSize::default()
        } else {
            exchange(&core, &peers, own, &mut told_by).await
        };
        was_idle = is_idle;
        pause = pause_after_reports(size, INTERVAL);
        sleep(pause).await;
    }
}

/// Returns how much was sent and received.
async fn exchange(
    core: &GatewayCore,
    peers: &Peers,
    load: LoadReport,
    told_by: &mut ToldBy,
) -> ReportSize {
    let Some(controller) = core.follower.controllers().first().copied() else {
        return ReportSize::default();
    };
    if told_by.controller != Some(controller) {
        *told_by = ToldBy {
            controller: Some(controller),
            told: 0,
        };
    }
    let reads = core.servers.borrow_mut().take_reads(MOST_READS_A_MESSAGE);
    let mut size = ReportSize {
        reports: 2,
        servers: load.servers.len(),
        reads: reads.len(),
    };
    let request = PeerRequest::ShareLoad {
        load,
        reads,
        told: told_by.told,
    };
    let reply = peers.request(controller, request, ANSWER_LIMIT).await;
    let now = core.clock.now();
    let mut servers = core.servers.borrow_mut();
    let Ok(PeerReply::OthersLoad { load, news }) = reply else {
        servers.forget_old_loads(now);
        return size;
    };
    servers.note_others(&load, now);
    servers.note_reads(&news.reads, now);
    told_by.told = news.told;
    size.servers += load.servers.len();
    size.reads += news.reads.len();
    size
}
