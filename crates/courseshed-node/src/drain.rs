//! A planned stop: no new work, leaderships handed over, calls under way finished.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use courseshed_types::control::NodeRole;
use tokio::time::{Instant, sleep};

use crate::{context::SharedContext, shards::hand_over_while};

/// Time between two looks at what is still under way.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// How long others are given to take pools and replicas over once nothing is under way here.
const TAKE_OVER_PATIENCE: Duration = Duration::from_secs(5);

/// Whether the node is stopping.
#[derive(Debug, Default)]
pub struct DrainState {
    draining: AtomicBool,
    closing: AtomicBool,
}

impl DrainState {
    /// Whether the node takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether the node answers nothing any more that may take long, not even for calls made before.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Takes no new work from now on; false if it did not already.
    pub fn begin(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }
}

/// Stops a node in a planned way. Returns when nothing is under way any more and others have taken over what was
/// decided and led here, or when the limit has passed.
pub async fn drain(context: &SharedContext, deadline: Instant) {
    context.drain.begin();
    hand_over_while(context, wait_until_relieved(context, deadline)).await;
    if leads_beside_others(context) {
        log::warn!("shards are still led here: no other replica took them in time");
    }
    let calls = context.gateway.active_calls();
    let bodies = context.gateway.open_bodies();
    if calls + bodies > 0 {
        log::warn!(calls, streams = bodies; "the limit of draining cuts off what is still under way");
    }
}

/// Waits until no call is under way, and others have taken over pools, replicas and leaderships.
async fn wait_until_relieved(context: &SharedContext, deadline: Instant) {
    wait_while(deadline, || has_calls(context)).await;
    let patience = Instant::now() + TAKE_OVER_PATIENCE;
    wait_while(patience.min(deadline), || others_lag(context)).await;
    // A leadership that ends with its process costs an election: worth the whole limit.
    wait_while(deadline, || leads_beside_others(context)).await;
}

/// Whether shards are led here that another replica could lead.
fn leads_beside_others(context: &SharedContext) -> bool {
    !context.shards.led_with_successor().is_empty()
}

/// Ends what callers came back to while others took over; who comes now is sent to another node.
pub async fn close(context: &SharedContext, deadline: Instant) {
    context.drain.closing.store(true, Ordering::Release);
    wait_while(deadline, || has_calls(context)).await;
}

async fn wait_while(deadline: Instant, holds: impl Fn() -> bool) {
    while holds() && Instant::now() < deadline {
        sleep(LOOK_INTERVAL).await;
    }
}

/// Whether calls run here, or callers still read what has run.
fn has_calls(context: &SharedContext) -> bool {
    context.gateway.active_calls() + context.gateway.open_bodies() > 0
}

/// Whether there are others in the region that have not yet taken over its pools and replicas from here.
fn others_lag(context: &SharedContext) -> bool {
    let map = context.view.map();
    let serves_beside = |role| {
        let others = map.members.values().filter(|member| {
            member.region == context.settings.region && !context.is_self(member.node)
        });
        others.into_iter().any(|member| member.serves(role))
    };
    let has_pools = !context.dispatchers.all().is_empty();
    let has_replicas = !context.shards.ids().is_empty();
    has_pools && serves_beside(NodeRole::Dispatcher)
        || has_replicas && serves_beside(NodeRole::Shard)
}
