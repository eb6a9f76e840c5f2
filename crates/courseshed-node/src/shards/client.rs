//! Finds the leader of a shard and asks it, again where that is harmless.
//!
//! An answer may take as long as a call waits for an engine. While one is awaited, another replica is asked now and
//! then who leads, so that a leader that is cut off or frozen is left as soon as another one leads.
//!
//! Invariant: "not run" is said only if no replica was ever handed the request, or the leader said so itself.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use courseshed_transport::{Backoff, RequestError};
use courseshed_types::{
    CallError, ErrorCode, NodeId, ShardId, Verdict,
    shard::{ShardReply, ShardRequest, ShardRequestBody},
};
use parking_lot::RwLock;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    context::NodeContext,
    protocol::{NodeReply, NodeRequest},
    shards::{leader_watch::LeaderWatch, retry_budget::RetryBudget},
};

/// First wait before asking again.
const RETRY_BASE: Duration = Duration::from_millis(20);
/// Longest wait before asking again.
const RETRY_LIMIT: Duration = Duration::from_millis(400);
/// Tries within which a hint is followed without a pause.
const HINTS_AT_ONCE: usize = 4;
/// What a refused caller is told to wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a request may take.
#[derive(Debug, Clone, Copy)]
pub struct ShardPatience {
    /// Until a leader has taken the request.
    pub find_leader: Duration,
    /// Until it has answered.
    pub answer: Duration,
}

impl ShardPatience {
    /// For requests that are answered at once.
    pub const PROMPT: ShardPatience = ShardPatience {
        find_leader: Duration::from_secs(8),
        answer: Duration::from_secs(8),
    };

    /// For calls, whose answer waits for an engine.
    pub fn for_calls(queue_wait: Duration) -> ShardPatience {
        let slack = Duration::from_secs(20);
        ShardPatience {
            find_leader: Duration::from_secs(8),
            answer: queue_wait + slack,
        }
    }
}

/// What became of asking one node.
enum Asked {
    Reply(Box<ShardReply>),
    NotHandedOver,
    Lost,
    /// Another replica leads; what the node makes of the request is lost.
    Deposed(NodeId),
}

/// The search for a leader that answers, and what is known of the request.
struct Search {
    find_deadline: Instant,
    deadline: Instant,
    hint: Option<NodeId>,
    tries: usize,
    /// Whether a replica may have acted on the request.
    doubt: bool,
}

impl Search {
    fn begin(patience: ShardPatience) -> Search {
        let now = Instant::now();
        Search {
            find_deadline: now + patience.find_leader,
            deadline: now + patience.answer,
            hint: None,
            tries: 0,
            doubt: false,
        }
    }

    /// Whether a hint is followed without a pause; not for ever, since replicas may point at each other.
    fn follows_hint(&self) -> bool {
        self.hint.is_some() && self.tries < HINTS_AT_ONCE
    }

    /// Whether another try after `wait` is in time. One in doubt goes on to the end, to learn what became of it.
    fn has_time_for(&self, wait: Duration) -> bool {
        let next = Instant::now() + wait;
        let finds_in_time = next < self.find_deadline || self.doubt;
        finds_in_time && next < self.deadline
    }
}

/// Asks shards' leaders.
#[derive(Default)]
pub struct ShardClient {
    leaders: RwLock<BTreeMap<ShardId, NodeId>>,
    watch: LeaderWatch,
    retries: RetryBudget,
    seed: AtomicU64,
}

impl ShardClient {
    /// Asks the leader of a shard. The request must be harmless when it comes twice.
    ///
    /// # Errors
    /// The leader's refusal, or that no leader answered, with the verdict.
    pub async fn ask(
        &self,
        context: &Arc<NodeContext>,
        shard: ShardId,
        body: ShardRequestBody,
        patience: ShardPatience,
    ) -> Result<ShardReply, CallError> {
        self.retries.earn();
        let mut search = Search::begin(patience);
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_LIMIT, self.next_seed(context));
        loop {
            let hint = search.hint.take();
            let node = hint.or_else(|| self.candidate(context, shard, search.tries));
            let Some(node) = node else {
                return Err(no_replica(shard));
            };
            search.tries += 1;
            let asked = self.ask_node(context, node, shard, &body, search.deadline);
            if let Some(outcome) = self.judge(shard, node, asked.await, &mut search) {
                return outcome;
            }
            if search.follows_hint() {
                continue;
            }
            let wait = backoff.next_wait();
            if !search.has_time_for(wait) || !self.retries.spend() {
                return Err(no_leader(shard, search.doubt));
            }
            sleep(wait).await;
        }
    }

    /// What the request came to; none if it must be asked again.
    fn judge(
        &self,
        shard: ShardId,
        node: NodeId,
        asked: Asked,
        search: &mut Search,
    ) -> Option<Result<ShardReply, CallError>> {
        match asked {
            Asked::Reply(reply) => match *reply {
                ShardReply::NotLeader { leader } => {
                    search.hint = leader.filter(|leader| *leader != node);
                }
                ShardReply::Error(error) if is_passing(&error) => {
                    search.doubt |= error.verdict != Verdict::NotRun;
                    return None;
                }
                reply => {
                    self.leaders.write().insert(shard, node);
                    return Some(match reply {
                        ShardReply::Error(error) => Err(error),
                        reply => Ok(reply),
                    });
                }
            },
            Asked::NotHandedOver => {}
            Asked::Lost => search.doubt = true,
            Asked::Deposed(leader) => {
                search.doubt = true;
                search.hint = Some(leader);
            }
        }
        self.forget_leader(shard, node);
        None
    }

    /// The leader of a shard, as last seen.
    pub fn leader(&self, context: &NodeContext, shard: ShardId) -> Option<NodeId> {
        let cached = self.leaders.read().get(&shard).copied();
        cached.or_else(|| context.shards.leader(shard))
    }

    /// Forgets what a node led, since the start of it that led is over.
    pub fn forget_node(&self, node: NodeId) {
        self.leaders.write().retain(|_, leader| *leader != node);
    }

    fn next_seed(&self, context: &NodeContext) -> u64 {
        let count = self.seed.fetch_add(1, Ordering::Relaxed);
        context.identity.incarnation.0.wrapping_add(count)
    }

    fn candidate(&self, context: &NodeContext, shard: ShardId, tries: usize) -> Option<NodeId> {
        if let Some(leader) = self.leader(context, shard) {
            return Some(leader);
        }
        let map = context.view.map();
        let replicas = &map.shards.get(&shard)?.replicas;
        replicas.get(tries % replicas.len().max(1)).copied()
    }

    fn forget_leader(&self, shard: ShardId, node: NodeId) {
        let mut leaders = self.leaders.write();
        if leaders.get(&shard) == Some(&node) {
            leaders.remove(&shard);
        }
    }

    async fn ask_node(
        &self,
        context: &Arc<NodeContext>,
        node: NodeId,
        shard: ShardId,
        body: &ShardRequestBody,
        deadline: Instant,
    ) -> Asked {
        let request = Box::new(ShardRequest {
            shard,
            body: body.clone(),
        });
        if node == context.identity.node {
            let answer = context.shards.request_local(context, request);
            return match timeout_at(deadline, answer).await {
                Ok(Ok(reply)) => Asked::Reply(Box::new(reply)),
                _ => Asked::Lost,
            };
        }
        let limit = deadline.saturating_duration_since(Instant::now());
        let asked = context
            .transport()
            .request(node, NodeRequest::Shard(request), limit);
        let answer = tokio::select! {
            answer = asked => answer,
            leader = self.watch.until_deposed(context, shard, node) => {
                return Asked::Deposed(leader);
            }
        };
        match answer {
            Ok(NodeReply::Shard(reply)) => Asked::Reply(reply),
            Ok(_) | Err(RequestError::ConnectionLost { .. } | RequestError::TimedOut { .. }) => {
                Asked::Lost
            }
            Err(RequestError::NotHandedOver { .. }) => Asked::NotHandedOver,
        }
    }
}

/// Whether the refusal may be gone in a moment: the leader changed or has no settings yet.
fn is_passing(error: &CallError) -> bool {
    error.code == ErrorCode::Unavailable
}

fn no_replica(shard: ShardId) -> CallError {
    let message = format!("shard {shard} is not placed yet");
    CallError::not_run(ErrorCode::Unavailable, message).retry_after(RETRY_AFTER)
}

fn no_leader(shard: ShardId, doubt: bool) -> CallError {
    let message = format!("shard {shard} has no leader that answers");
    let error = if doubt {
        CallError::may_have_run(ErrorCode::Unavailable, message)
    } else {
        CallError::not_run(ErrorCode::Unavailable, message)
    };
    error.retry_after(RETRY_AFTER)
}
