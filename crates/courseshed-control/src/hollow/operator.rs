//! Operators of the hollow fleet: they ask controllers, and send a change again until it is answered for good.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    ChangeId, NodeId, Timestamp,
    control::{ControlReply, ControlRequest, SettingsChange},
};

use super::{
    network::Delivery,
    wire::{Frame, NodeReply, mechanism_of},
};

/// The id under which operators speak; no node has it.
pub(super) const OPERATOR: NodeId = NodeId(0);
/// Time after which an operator who got no answer sends a change again.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// Names a question of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuestionId(pub u64);

/// What came of a change of the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeAnswer {
    /// The change.
    pub change_id: ChangeId,
    /// When it was first sent.
    pub submitted_at: Timestamp,
    /// When it was answered for good.
    pub answered_at: Timestamp,
    /// The answer: the accepted record, or why it was refused.
    pub reply: ControlReply,
}

#[derive(Debug)]
struct PendingChange {
    change: SettingsChange,
    submitted_at: Timestamp,
    sent_at: Timestamp,
}

/// All operators.
#[derive(Debug, Default)]
pub(super) struct Operators {
    next_question: u64,
    answers: BTreeMap<QuestionId, ControlReply>,
    pending: Option<PendingChange>,
    changes: Vec<ChangeAnswer>,
}

impl Operators {
    /// A question to a controller.
    pub fn ask(&mut self, controller: NodeId, request: ControlRequest) -> (QuestionId, Delivery) {
        self.next_question += 1;
        let mechanism = mechanism_of(&request);
        let frame = Frame::request(self.next_question, request);
        let delivery = Delivery {
            from: OPERATOR,
            to: controller,
            mechanism,
            bytes: frame.encode(),
        };
        (QuestionId(self.next_question), delivery)
    }

    pub fn answer(&self, question: QuestionId) -> Option<&ControlReply> {
        self.answers.get(&question)
    }

    /// Takes a change on; it is sent at the next tick. One at a time.
    pub fn submit(&mut self, now: Timestamp, change: SettingsChange) {
        self.pending = Some(PendingChange {
            change,
            submitted_at: now,
            sent_at: Timestamp::ZERO,
        });
    }

    pub fn is_busy(&self) -> bool {
        self.pending.is_some()
    }

    pub fn changes(&self) -> &[ChangeAnswer] {
        &self.changes
    }

    /// Sends the pending change to the controller that leads, if it is time.
    pub fn tick(&mut self, now: Timestamp, leader: Option<NodeId>) -> Option<Delivery> {
        let pending = self.pending.as_mut()?;
        let leader = leader?;
        if now.since(pending.sent_at) < RESEND_AFTER {
            return None;
        }
        pending.sent_at = now;
        let request = ControlRequest::ApplySettings(pending.change.clone());
        let (_, delivery) = self.ask(leader, request);
        Some(delivery)
    }

    pub fn receive(&mut self, now: Timestamp, bytes: &[u8]) {
        let Some(Frame::Reply { id, reply }) = Frame::decode(bytes) else {
            return;
        };
        let NodeReply::Control(reply) = reply;
        self.settle_change(now, &reply);
        self.answers.insert(QuestionId(id), *reply);
    }

    fn settle_change(&mut self, now: Timestamp, reply: &ControlReply) {
        let Some(pending) = &self.pending else {
            return;
        };
        let is_final = match reply {
            ControlReply::Settings(record) => record.change_id == pending.change.change_id,
            ControlReply::Error(error) => error.verdict == courseshed_types::Verdict::NotRun,
            _ => false,
        };
        if !is_final {
            return;
        }
        self.changes.push(ChangeAnswer {
            change_id: pending.change.change_id.clone(),
            submitted_at: pending.submitted_at,
            answered_at: now,
            reply: reply.clone(),
        });
        self.pending = None;
    }
}
