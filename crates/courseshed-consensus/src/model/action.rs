//! The steps that a modelled group may take.

use std::fmt;

use super::interner::Id;
use crate::{AppendOutcome, Message, MessageBody, ReplicaId};

/// One step of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Step {
    /// Its election timer fires.
    Campaign,
    /// It asks all voters, as after a start, whether they are leaderless.
    AskLeaderless,
    /// It takes a proposal, as the leader.
    Propose(u8),
    /// Its heartbeat timer fires, as the leader.
    Heartbeat,
    /// It is asked to remove a member, as the leader.
    Remove(ReplicaId),
    /// Its process dies and starts again.
    Restart,
    /// A message arrives.
    Receive(Id<Message>),
}

/// One step of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Action {
    /// Whose step, counted from 0.
    pub(super) replica: usize,
    pub(super) step: Step,
    /// The message received will arrive once more.
    pub(super) keeps_message: bool,
}

/// An action for people.
pub(super) struct Described<'a> {
    pub(super) action: Action,
    pub(super) message: Option<&'a Message>,
}

impl fmt::Display for Described<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let replica = self.action.replica + 1;
        match self.action.step {
            Step::Campaign => write!(formatter, "replica {replica} starts an election"),
            Step::AskLeaderless => write!(formatter, "replica {replica} asks who is leaderless"),
            Step::Propose(_) => write!(formatter, "leader {replica} takes a proposal"),
            Step::Heartbeat => write!(formatter, "leader {replica} sends heartbeats"),
            Step::Remove(member) => write!(formatter, "leader {replica} removes member {member}"),
            Step::Restart => write!(formatter, "replica {replica} restarts"),
            Step::Receive(_) => self.describe_delivery(formatter),
        }
    }
}

impl Described<'_> {
    fn describe_delivery(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = self.message.map(describe).unwrap_or_default();
        let again = if self.action.keeps_message {
            ", which will arrive again"
        } else {
            ""
        };
        write!(formatter, "delivered{again}: {message}")
    }
}

fn describe(message: &Message) -> String {
    let body = match &message.body {
        MessageBody::PreVoteRequest { .. } => "pre-vote request".to_owned(),
        MessageBody::PreVoteResponse {
            granted,
            leaderless,
            ..
        } => format!("pre-vote, granted: {granted}, leaderless: {leaderless}"),
        MessageBody::VoteRequest { log_end, .. } => {
            format!(
                "vote request, log ends at {} of term {}",
                log_end.index, log_end.term
            )
        }
        MessageBody::VoteResponse { granted, .. } => format!("vote, granted: {granted}"),
        MessageBody::Append {
            previous_index,
            entries,
            commit,
            ..
        } => {
            let count = entries.len();
            format!("append of {count} after {previous_index}, committed to {commit}")
        }
        MessageBody::AppendResponse { outcome, .. } => describe_outcome(*outcome),
        MessageBody::SnapshotChunk { .. } => "snapshot piece".to_owned(),
        MessageBody::SnapshotResponse { .. } => "snapshot piece taken".to_owned(),
        MessageBody::TimeoutNow => "start an election now".to_owned(),
    };
    format!(
        "{} to {} in term {}: {body}",
        message.from, message.to, message.term
    )
}

fn describe_outcome(outcome: AppendOutcome) -> String {
    match outcome {
        AppendOutcome::Accepted { matched } => format!("append accepted up to {matched}"),
        AppendOutcome::Rejected { previous, hint } => {
            format!("append after {previous} rejected, try after {hint}")
        }
    }
}
