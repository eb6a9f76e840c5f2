//! Hands the leaderships of a node that stops to other replicas.

use std::{future::Future, pin::pin, sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{context::NodeContext, shards::input::ShardInput};

/// Time between two looks at what is led here.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Hands over every shard led here that another replica can lead, and looks again until `stop` is over: a leadership may
/// come back (another replica hands it to the one that the map prefers, or falls), and a successor may be there only
/// later. A shard without another replica is led on.
pub async fn hand_over_while<T>(context: &Arc<NodeContext>, stop: impl Future<Output = T>) -> T {
    let mut stop = pin!(stop);
    loop {
        for shard in context.shards.led_with_successor() {
            context.shards.step(context, shard, ShardInput::HandOver);
        }
        if let Ok(result) = timeout(LOOK_INTERVAL, &mut stop).await {
            return result;
        }
    }
}
