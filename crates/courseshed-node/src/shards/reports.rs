//! Tells the controllers who votes in the shards led here; they found a shard again only when all of them are gone.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use courseshed_types::{
    NodeId,
    control::{ControlReply, ControlRequest, NodeRole, ShardVoters},
};

use crate::{
    context::NodeContext,
    protocol::{NodeReply, NodeRequest},
};

/// How long a controller may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Controllers asked before a report is left for later.
const TRIES: usize = 4;

/// Sends reports, one round at a time.
#[derive(Default)]
pub struct VoterReports {
    under_way: Arc<AtomicBool>,
}

impl VoterReports {
    /// Starts a round with what leaders here owe, unless one is under way.
    pub fn send_owed(&self, context: &Arc<NodeContext>) {
        let owed = context.shards.owed_reports();
        if owed.is_empty() || self.under_way.swap(true, Ordering::AcqRel) {
            return;
        }
        let under_way = self.under_way.clone();
        let context = context.clone();
        actix_rt::spawn(async move {
            for report in owed {
                send(&context, report).await;
            }
            under_way.store(false, Ordering::Release);
        });
    }
}

/// Sends one report; what is not taken is owed on and sent with a later round.
async fn send(context: &NodeContext, report: ShardVoters) {
    let mut hint = context.view.control_leader();
    for tried in 0..TRIES {
        let Some(controller) = hint.take().or_else(|| controller(context, tried)) else {
            return;
        };
        let request = ControlRequest::ReportVoters(report.clone());
        let request = NodeRequest::Control(Box::new(request));
        let asked = context
            .transport()
            .request(controller, request, ANSWER_LIMIT);
        match asked.await {
            Ok(NodeReply::Control(reply)) => match *reply {
                ControlReply::NotLeader { leader } => hint = leader,
                _ => return,
            },
            _ => continue,
        }
    }
}

fn controller(context: &NodeContext, tried: usize) -> Option<NodeId> {
    let map = context.view.map();
    let members = map.members.values();
    let controllers = members.filter(|member| member.serves(NodeRole::Controller));
    let controllers: Vec<NodeId> = controllers.map(|member| member.node).collect();
    controllers.get(tried % controllers.len().max(1)).copied()
}
