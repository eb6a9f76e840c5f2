//! Carries shards' wishes to the controllers: escrow, and escrow given back.
//!
//! A wish that fails is dropped: the shard asks again under the same number.

use std::{sync::Arc, time::Duration};

use courseshed_types::control::{ControlReply, ControlRequest};
use tokio::sync::{Semaphore, mpsc};

use crate::{context::NodeContext, control::tasks::ShardWish, shards::ShardInput};

/// Wishes under way at once.
const AT_ONCE: usize = 64;
/// Longest wait for the controllers; shards ask again after a few seconds.
const PATIENCE: Duration = Duration::from_secs(3);

/// Carries wishes until the node ends.
pub async fn run(context: Arc<NodeContext>, mut wishes: mpsc::Receiver<ShardWish>) {
    let places = Arc::new(Semaphore::new(AT_ONCE));
    while let Some(wish) = wishes.recv().await {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let context = context.clone();
        actix_rt::spawn(async move {
            carry(&context, wish).await;
            drop(place);
        });
    }
}

async fn carry(context: &Arc<NodeContext>, wish: ShardWish) {
    let request = match wish.clone() {
        ShardWish::Grant(request) => ControlRequest::RequestGrant(request),
        ShardWish::Return(returned) => ControlRequest::ReturnGrant(returned),
    };
    let asked = context.control_client.ask(context, request, PATIENCE);
    match (wish, asked.await) {
        (ShardWish::Grant(request), Ok(ControlReply::Granted(grant))) => {
            let input = ShardInput::Granted(grant);
            context.shards.step(context, request.shard, input);
        }
        (ShardWish::Return(returned), Ok(ControlReply::Done)) => {
            let shard = returned.shard;
            let input = ShardInput::Returned(returned);
            context.shards.step(context, shard, input);
        }
        (_, Ok(_)) => {}
        (wish, Err(error)) => log::debug!("a shard's request failed: {error}; {wish:?}"),
    }
}
