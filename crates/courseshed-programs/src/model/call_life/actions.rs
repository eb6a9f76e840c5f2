//! All that can happen next in the world.

use courseshed_types::{
    CallRequest, EngineId, Incarnation, ModelName, RequestId, Sequence, Tokens,
    chat::{ChatMessage, Role},
    dispatch::{DispatchEvent, DispatchEventBody, DispatcherIdentity, PoolId},
    shard::{ShardRequestBody, SubmitCall},
};

use super::world::{CallWorld, GATEWAY, Message, Run, RunEnd, SHARD, STEP};
use crate::leader::RequestToken;

impl CallWorld {
    pub(super) fn all_steps(&self) -> Vec<(String, CallWorld)> {
        let mut steps = Vec::new();
        self.add_submissions(&mut steps);
        self.add_deliveries(&mut steps);
        self.add_decisions(&mut steps);
        self.add_engine_steps(&mut steps);
        self.add_faults(&mut steps);
        steps
    }

    fn after(&self, change: impl FnOnce(&mut CallWorld)) -> CallWorld {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn add_submissions(&self, steps: &mut Vec<(String, CallWorld)>) {
        for sequence in 1..=self.calls {
            let is_first = sequence == 1 || self.seen.copies(sequence - 1) > 0;
            let copies = self.seen.copies(sequence);
            if copies < self.copies && is_first {
                let next = self.after(|world| world.submit_copy(sequence));
                let copy = copies + 1;
                steps.push((
                    format!("the caller sends call {sequence}, copy {copy}"),
                    next,
                ));
            }
        }
    }

    fn submit_copy(&mut self, sequence: u64) {
        self.seen.copy_sent(sequence);
        let RequestToken(token) = self.token(sequence);
        self.send(Message::Submit { token, sequence });
    }

    fn add_deliveries(&self, steps: &mut Vec<(String, CallWorld)>) {
        for (place, message) in self.network.iter().enumerate() {
            let next = self.after(|world| {
                let message = world.network.remove(place);
                world.deliver(message);
            });
            steps.push((format!("arrives: {}", message.describe()), next));
            if self.left.losses > 0 {
                let next = self.after(|world| {
                    world.left.losses -= 1;
                    world.network.remove(place);
                });
                steps.push((format!("is lost: {}", message.describe()), next));
            }
            if self.left.duplicates > 0 && may_be_doubled(message) {
                let next = self.after(|world| {
                    world.left.duplicates -= 1;
                    world.deliver(*message);
                });
                steps.push((
                    format!("arrives, and will again: {}", message.describe()),
                    next,
                ));
            }
        }
    }

    fn add_decisions(&self, steps: &mut Vec<(String, CallWorld)>) {
        for request in &self.assignable {
            let next = self.after(|world| {
                world.assignable.remove(request);
                world.assign(*request);
            });
            steps.push((format!("the dispatcher assigns {request}"), next));
        }
        if let Some(command) = self.pending.front() {
            let next = self.after(CallWorld::commit_next);
            let name = command.body.name();
            steps.push((format!("{name} is committed and applied"), next));
        }
        if self.left.ticks > 0 {
            let next = self.after(|world| {
                world.left.ticks -= 1;
                world.now += STEP;
                world.shard.tick(world.now);
                world.collect();
            });
            steps.push((format!("{} seconds pass", STEP.as_secs()), next));
        }
    }

    fn assign(&mut self, request: RequestId) {
        let event = DispatchEvent {
            shard: SHARD,
            pool: PoolId {
                region: "region".into(),
                model: ModelName::from("m"),
            },
            dispatcher: DispatcherIdentity {
                node: GATEWAY,
                incarnation: Incarnation(1),
            },
            body: DispatchEventBody::Assigned {
                call: request.call,
                attempt: request.attempt,
                engine: EngineId::from("e"),
                engine_address: String::new(),
                priority: 0,
            },
        };
        self.shard.on_dispatch_event(self.now, event);
        self.collect();
    }

    fn add_engine_steps(&self, steps: &mut Vec<(String, CallWorld)>) {
        let running = self
            .engine
            .runs
            .iter()
            .filter(|(_, run)| **run == Run::Running);
        for (request, _) in running {
            let next = self.after(|world| world.end_run(*request, Run::Answered));
            steps.push((format!("the engine answers {request}"), next));
            if self.left.failures > 0 {
                let next = self.after(|world| {
                    world.left.failures -= 1;
                    world.end_run(*request, Run::Failed);
                });
                steps.push((format!("the engine fails {request}"), next));
            }
        }
    }

    fn end_run(&mut self, request: RequestId, run: Run) {
        self.engine.runs.insert(request, run);
        let end = match run {
            Run::Answered => RunEnd::Answered,
            _ => RunEnd::Failed,
        };
        if run == Run::Answered {
            self.engine.answered.insert(request);
        }
        self.send(Message::Report { request, end });
    }

    fn add_faults(&self, steps: &mut Vec<(String, CallWorld)>) {
        if self.left.leader_changes > 0 {
            for kept in 0..=self.pending.len() {
                let next = self.after(|world| {
                    world.left.leader_changes -= 1;
                    world.change_leader(kept);
                });
                let proposed = self.pending.len();
                steps.push((
                    format!("the leader is lost; {kept} of {proposed} proposals survive"),
                    next,
                ));
            }
        }
        if self.left.restarts > 0 {
            let next = self.after(|world| {
                world.left.restarts -= 1;
                world.restart_engine();
            });
            steps.push(("the engine restarts and forgets".to_owned(), next));
        }
    }

    fn restart_engine(&mut self) {
        let runs = std::mem::take(&mut self.engine.runs);
        self.engine.started_at = Some(self.now);
        for (request, run) in runs {
            if run == Run::Running {
                let end = RunEnd::Lost;
                self.send(Message::Report { request, end });
            }
        }
    }

    /// The call as every copy of it is handed over.
    pub(super) fn submission(&self, sequence: u64) -> ShardRequestBody {
        let call = self.call_id(sequence);
        ShardRequestBody::SubmitCall(SubmitCall {
            program: call.program,
            sequence: Some(Sequence(call.sequence.0)),
            idempotency_key: None,
            call: CallRequest {
                model: None,
                messages: vec![ChatMessage::text(Role::User, "q")],
                max_tokens: Some(Tokens(1)),
                repeatable: self.repeatable,
                parameters: Default::default(),
            },
            full_history: false,
            gateway: GATEWAY,
        })
    }
}

/// What its sender may send again. Connections do not double what they carry: a copy of a call is a submission of
/// its own, and an attempt is sent to its engine once, without a retry by the HTTP client.
fn may_be_doubled(message: &Message) -> bool {
    !matches!(
        message,
        Message::Submit { .. } | Message::Reply { .. } | Message::Start { .. }
    )
}
