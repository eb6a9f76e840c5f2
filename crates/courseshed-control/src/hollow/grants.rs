//! A shard leader's talk with the controllers: escrow asked for and given back at a steady rate.

use std::time::Duration;

use courseshed_types::{
    BranchPath, NodeId, PolicySnapshot, ShardId, Timestamp, Tokens,
    control::{ControlReply, ControlRequest, GrantRequest, GrantReturn},
};

/// Tokens asked for at a time.
const WANTED: Tokens = Tokens(100_000);
/// Time after which an unanswered request is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(1);

/// Asks for escrow, gives it back, and so on.
#[derive(Debug)]
pub(super) struct GrantClient {
    shard: ShardId,
    every: Option<Duration>,
    next_at: Timestamp,
    number: u64,
    under_way: Option<ControlRequest>,
    sent_at: Timestamp,
}

impl GrantClient {
    /// A client that starts at its own place within the interval.
    pub fn new(node: NodeId, per_minute: u32, now: Timestamp) -> GrantClient {
        let every = (per_minute > 0).then(|| Duration::from_secs(60) / per_minute);
        let phase = every.unwrap_or_default() * (node.0 % 64) / 64;
        GrantClient {
            shard: ShardId(node.0),
            every,
            next_at: now + phase,
            number: 0,
            under_way: None,
            sent_at: now,
        }
    }

    /// What to send now.
    pub fn tick(&mut self, now: Timestamp, policy: &PolicySnapshot) -> Option<ControlRequest> {
        if let Some(request) = &self.under_way {
            if now.since(self.sent_at) < RESEND_AFTER {
                return None;
            }
            self.sent_at = now;
            return Some(request.clone());
        }
        let every = self.every.filter(|_| now >= self.next_at)?;
        self.next_at = now + every;
        let request = ControlRequest::RequestGrant(self.request(now, policy)?);
        self.send(now, request)
    }

    /// An answer; after a grant the same tokens go back.
    pub fn on_reply(&mut self, now: Timestamp, reply: &ControlReply) -> Option<ControlRequest> {
        match reply {
            ControlReply::Granted(grant) => {
                self.under_way = None;
                self.number = grant.request.number;
                let returned = GrantReturn {
                    shard: self.shard,
                    generation: 1,
                    number: grant.request.number,
                    branch: grant.request.branch.clone(),
                    period: grant.request.period,
                    returned: grant.granted,
                };
                self.send(now, ControlRequest::ReturnGrant(returned))
            }
            ControlReply::Done | ControlReply::Error(_) => {
                self.under_way = None;
                None
            }
            _ => None,
        }
    }

    fn send(&mut self, now: Timestamp, request: ControlRequest) -> Option<ControlRequest> {
        self.under_way = Some(request.clone());
        self.sent_at = now;
        Some(request)
    }

    fn request(&self, now: Timestamp, policy: &PolicySnapshot) -> Option<GrantRequest> {
        let branch = self.branch(policy)?;
        let budget = policy.branch(&branch)?.budget?;
        let period = now.since(Timestamp::ZERO).as_micros() / budget.period.as_micros().max(1);
        Some(GrantRequest {
            shard: self.shard,
            generation: 1,
            number: self.number + 1,
            branch,
            period: u64::try_from(period).unwrap_or(u64::MAX),
            wanted: WANTED,
            needed: WANTED,
        })
    }

    /// One of the branches with a budget, always the same one.
    fn branch(&self, policy: &PolicySnapshot) -> Option<BranchPath> {
        let with_budget = policy.branches.iter();
        let with_budget = with_budget.filter(|(_, branch)| branch.budget.is_some());
        let count = with_budget.clone().count().max(1);
        let (path, _) = with_budget.clone().nth(self.shard.0 as usize % count)?;
        Some(path.clone())
    }
}
