//! What control does when its node stops in a planned way.

use std::{sync::Arc, time::Duration};

use courseshed_types::control::ControlRequest;
use tokio::time::{Instant, sleep};

use crate::{
    context::NodeContext,
    control::{controllers, follower::is_controller},
};

/// Longest wait for the controllers to note that the node leaves; its reports say so too.
const ANNOUNCE_PATIENCE: Duration = Duration::from_secs(2);
/// Longest wait for another controller to lead.
const HAND_OVER_PATIENCE: Duration = Duration::from_secs(3);
/// Time between two looks at whether this node's controller still leads.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Has the node marked leaving, so that pools and shards move at once instead of when it is missed, and waits until
/// another controller leads.
pub async fn leave(context: &Arc<NodeContext>) {
    let request = ControlRequest::Leave(context.identity.node);
    let announced = context
        .control_client
        .ask(context, request, ANNOUNCE_PATIENCE);
    if let Err(error) = announced.await {
        log::warn!("the controllers have not noted that this node leaves: {error}");
    }
    if is_controller(context) && controllers(&context.settings).len() > 1 {
        wait_handed_over(context).await;
    }
}

async fn wait_handed_over(context: &NodeContext) {
    let deadline = Instant::now() + HAND_OVER_PATIENCE;
    let leads = || {
        let controller = context.control.controller();
        controller.is_some_and(|controller| controller.leads)
    };
    while leads() {
        if Instant::now() >= deadline {
            log::warn!("no other controller has taken the lead");
            return;
        }
        sleep(LOOK_INTERVAL).await;
    }
}
