//! Finds the controllers' leader and asks it, again until it answers or time runs out.
//!
//! Every request to the controllers does no more when it comes twice, so that asking again is always harmless.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use courseshed_transport::{Backoff, RequestError};
use courseshed_types::{
    CallError, ErrorCode, NodeId, Verdict,
    control::{ControlReply, ControlRequest, NodeRole},
};
use tokio::time::{Instant, sleep};

use crate::{
    context::NodeContext,
    control::founding::controllers,
    protocol::{NodeReply, NodeRequest},
};

/// First wait before asking again.
const RETRY_BASE: Duration = Duration::from_millis(30);
/// Longest wait before asking again.
const RETRY_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for one controller, which may be frozen.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(2);
/// Hints followed without a pause.
const HINTS_AT_ONCE: usize = 4;

/// How long operators' requests wait for the controllers.
pub const OPERATOR_PATIENCE: Duration = Duration::from_secs(8);

/// What became of asking one controller.
enum Asked {
    Reply(Box<ControlReply>),
    NotHandedOver,
    Lost,
}

/// Asks the controllers' leader.
#[derive(Debug, Default)]
pub struct ControlClient {
    seed: AtomicU64,
}

impl ControlClient {
    /// Asks the leader.
    ///
    /// # Errors
    /// Its refusal, or that none answered, with the verdict.
    pub async fn ask(
        &self,
        context: &Arc<NodeContext>,
        request: ControlRequest,
        patience: Duration,
    ) -> Result<ControlReply, CallError> {
        let deadline = Instant::now() + patience;
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_LIMIT, self.next_seed(context));
        let mut hint = context.view.control_leader();
        let mut doubt = false;
        for tries in 0.. {
            let Some(node) = hint.take().or_else(|| candidate(context, tries)) else {
                return Err(no_controller(false));
            };
            let limit = deadline.saturating_duration_since(Instant::now());
            let asked = ask_node(context, node, &request, limit.min(ATTEMPT_LIMIT)).await;
            match asked {
                Asked::Reply(reply) => match *reply {
                    ControlReply::NotLeader { leader } => {
                        hint = leader.filter(|leader| *leader != node);
                    }
                    ControlReply::Error(error) if error.code == ErrorCode::Unavailable => {
                        doubt |= error.verdict != Verdict::NotRun;
                    }
                    ControlReply::Error(error) => return Err(error),
                    reply => {
                        context.view.set_control_leader(Some(node));
                        return Ok(reply);
                    }
                },
                Asked::NotHandedOver => {}
                Asked::Lost => doubt = true,
            }
            if hint.is_some() && tries < HINTS_AT_ONCE {
                continue;
            }
            let wait = backoff.next_wait();
            if Instant::now() + wait >= deadline {
                break;
            }
            sleep(wait).await;
        }
        Err(no_controller(doubt && !is_read(&request)))
    }

    fn next_seed(&self, context: &NodeContext) -> u64 {
        let count = self.seed.fetch_add(1, Ordering::Relaxed);
        context.identity.incarnation.0.wrapping_add(count)
    }
}

/// One controller after the other: those of the map, and those of the settings file.
fn candidate(context: &NodeContext, tries: usize) -> Option<NodeId> {
    let map = context.view.map();
    let known = map.members.values();
    let known = known.filter(|member| member.roles.contains(&NodeRole::Controller));
    let mut nodes = controllers(&context.settings);
    nodes.extend(known.map(|member| member.node));
    nodes.sort();
    nodes.dedup();
    nodes.get(tries % nodes.len().max(1)).copied()
}

async fn ask_node(
    context: &Arc<NodeContext>,
    node: NodeId,
    request: &ControlRequest,
    limit: Duration,
) -> Asked {
    let request = NodeRequest::Control(Box::new(request.clone()));
    match context.transport().request(node, request, limit).await {
        Ok(NodeReply::Control(reply)) => Asked::Reply(reply),
        Ok(_) | Err(RequestError::ConnectionLost { .. } | RequestError::TimedOut { .. }) => {
            Asked::Lost
        }
        Err(RequestError::NotHandedOver { .. }) => Asked::NotHandedOver,
    }
}

fn is_read(request: &ControlRequest) -> bool {
    matches!(
        request,
        ControlRequest::GetSettings(_)
            | ControlRequest::SettingsHistory { .. }
            | ControlRequest::Lagging(_)
            | ControlRequest::Pull(_)
            | ControlRequest::HeardNodes
    )
}

fn no_controller(doubt: bool) -> CallError {
    let message = "no controller that leads answers";
    let error = if doubt {
        CallError::may_have_run(ErrorCode::Unavailable, message)
    } else {
        CallError::not_run(ErrorCode::Unavailable, message)
    };
    error.retry_after(Duration::from_secs(1))
}
