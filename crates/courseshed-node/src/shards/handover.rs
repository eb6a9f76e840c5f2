//! Hands the leaderships of a node that stops to other replicas.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{context::NodeContext, shards::input::ShardInput};

/// Time between two looks at what is still led here.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Hands over every shard led here that another replica can lead. Returns when none is left, or `limit` has passed;
/// true if none is left. A shard without another replica is led on.
pub async fn hand_over_all(context: &Arc<NodeContext>, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    loop {
        let led = context.shards.led_with_successor();
        if led.is_empty() {
            return true;
        }
        for shard in led {
            let hand_over = ShardInput::HandOver;
            context.shards.step(context, shard, hand_over);
        }
        if Instant::now() >= deadline {
            return false;
        }
        sleep(LOOK_INTERVAL).await;
    }
}
