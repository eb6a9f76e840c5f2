//! Sees that a node leads a shard no more, while that node itself may be cut off or frozen.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_types::{
    NodeId, ShardId,
    shard::{ShardReply, ShardRequest, ShardRequestBody},
};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use crate::{
    context::NodeContext,
    protocol::{NodeReply, NodeRequest},
};

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a replica that is asked may take.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Looks in a row that must see another leader; a single one may be older than what the asker knows.
const LOOKS_TO_BELIEVE: u32 = 2;

/// Who was last seen to lead.
#[derive(Debug, Clone, Copy)]
struct Seen {
    at: Instant,
    leader: Option<NodeId>,
}

/// Looks at who leads; all that wait for one shard share the looks.
#[derive(Default)]
pub struct LeaderWatch(Mutex<BTreeMap<ShardId, Seen>>);

impl LeaderWatch {
    /// Returns when another node than `node` is seen to lead, with that node.
    pub async fn until_deposed(
        &self,
        context: &Arc<NodeContext>,
        shard: ShardId,
        node: NodeId,
    ) -> NodeId {
        let mut looks = 0;
        loop {
            sleep(LOOK_INTERVAL).await;
            let leader = self.look(context, shard, node).await;
            match leader.filter(|leader| *leader != node) {
                Some(leader) if looks + 1 >= LOOKS_TO_BELIEVE => return leader,
                Some(_) => looks += 1,
                None => looks = 0,
            }
        }
    }

    async fn look(
        &self,
        context: &Arc<NodeContext>,
        shard: ShardId,
        node: NodeId,
    ) -> Option<NodeId> {
        if context.shards.contains(shard) {
            return context.shards.leader(shard);
        }
        if let Some(seen) = self.recent(shard) {
            return seen.leader;
        }
        // Others that look meanwhile take the last answer, so that a shard is asked about once.
        self.note(shard, None);
        let leader = ask_another(context, shard, node).await;
        self.note(shard, leader);
        leader
    }

    fn recent(&self, shard: ShardId) -> Option<Seen> {
        let seen = self.0.lock().get(&shard).copied();
        seen.filter(|seen| seen.at.elapsed() < LOOK_INTERVAL)
    }

    fn note(&self, shard: ShardId, leader: Option<NodeId>) {
        let at = Instant::now();
        self.0.lock().insert(shard, Seen { at, leader });
    }
}

/// Asks a replica on another node than `node` who leads.
async fn ask_another(context: &Arc<NodeContext>, shard: ShardId, node: NodeId) -> Option<NodeId> {
    let map = context.view.map();
    let replicas = &map.shards.get(&shard)?.replicas;
    let others = replicas.iter().filter(|replica| **replica != node);
    let others: Vec<NodeId> = others.copied().collect();
    let turn = context.clock.elapsed().as_millis() / LOOK_INTERVAL.as_millis();
    let other = *others.get(turn as usize % others.len().max(1))?;
    // Word of no streams changes nothing, and is answered by whoever leads.
    let body = ShardRequestBody::StreamsAlive(Vec::new());
    let request = NodeRequest::Shard(Box::new(ShardRequest { shard, body }));
    let asked = context.transport().request(other, request, ANSWER_LIMIT);
    match asked.await.ok()? {
        NodeReply::Shard(reply) => match *reply {
            ShardReply::NotLeader { leader } => leader,
            ShardReply::Done => Some(other),
            _ => None,
        },
        _ => None,
    }
}
