//! A planned stop: no new work, leaderships handed over, calls under way finished.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use tokio::time::{Instant, sleep};

use crate::context::SharedContext;

/// Time between two looks at what is still under way.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Whether the node is stopping.
#[derive(Debug, Default)]
pub struct DrainState(AtomicBool);

impl DrainState {
    /// Whether the node takes no new work.
    pub fn is_draining(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Takes no new work from now on; false if it did not already.
    pub fn begin(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }
}

/// Stops a node in a planned way. Returns when nothing is under way any more, or the limit has passed.
pub async fn drain(context: &SharedContext) {
    let deadline = Instant::now() + context.settings.timeouts.drain;
    context.drain.begin();
    while context.gateway.active_calls() > 0 && Instant::now() < deadline {
        sleep(LOOK_INTERVAL).await;
    }
}
