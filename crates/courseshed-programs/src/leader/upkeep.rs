//! What time brings about: deadlines, held assignments, silent streams, idle programs, old records.

use courseshed_types::{CallId, ProgramId, Timestamp, program::EndReason};

use super::{ShardLeader, live::Stage, proposals::Purpose};
use crate::{
    command::{CommandBody, EndProgram, RetireRule},
    state::ShardState,
    verdicts,
};
use courseshed_types::dispatch::DispatchRequestBody;

impl ShardLeader {
    /// Time passed. Call it some ten times a second.
    pub fn tick(&mut self, now: Timestamp, state: &ShardState) {
        if self.term().is_none() {
            return;
        }
        self.move_waiting_calls(now, state);
        self.ask_engines(now, state);
        self.tend_escrow(now, state);
        if now >= self.next_sweep {
            self.next_sweep = now + self.config.sweep_interval;
            self.end_idle_programs(now, state);
            self.retire_old_records(now, state);
        }
    }

    fn move_waiting_calls(&mut self, now: Timestamp, state: &ShardState) {
        let calls: Vec<CallId> = self.live.keys().copied().collect();
        for call in calls {
            let Some(open) = state.open_call(call).filter(|open| open.dispatch.is_none()) else {
                continue;
            };
            if open.give_up_at <= now {
                self.refuse_overdue_call(now, state, call);
                continue;
            }
            let stage = self.live.get(&call).map(|live| live.stage.clone());
            match stage {
                Some(Stage::BackingOff) if open.not_before <= now => {
                    self.enqueue(now, state, call);
                }
                Some(Stage::Held(held))
                    if now.since(held.received_at) >= self.config.runner_wait =>
                {
                    self.park(state, call);
                }
                _ => {}
            }
        }
    }

    fn refuse_overdue_call(&mut self, now: Timestamp, state: &ShardState, call: CallId) {
        let is_dispatching = |stage: &Stage| *stage == Stage::Dispatching;
        let live = self.live.get(&call);
        if !live.is_some_and(|live| is_dispatching(&live.stage)) {
            self.refuse(now, state, call, verdicts::waited_too_long());
        }
    }

    /// No gateway came to run the call: give the engine back until one does.
    fn park(&mut self, state: &ShardState, call: CallId) {
        if let Some(live) = self.live_mut(call) {
            live.stage = Stage::Parked;
        }
        if let Some(open) = state.open_call(call) {
            let model = open.model.clone();
            self.tell_dispatcher(model, DispatchRequestBody::Withdraw(call));
        }
    }

    /// Ends programs whose tool pause passed the limit of their branch.
    fn end_idle_programs(&mut self, now: Timestamp, state: &ShardState) {
        let Some(policy) = self.policy.clone() else {
            return;
        };
        let idle = state.idle_programs(|record| {
            let limits = &policy.branch(&record.branch)?.limits;
            Some(now.saturating_sub(limits.tool_pause))
        });
        let idle: Vec<(ProgramId, Timestamp)> =
            idle.map(|record| (record.id, record.active_at)).collect();
        for (program, active_at) in idle {
            let end = EndProgram {
                program,
                reason: EndReason::PauseLimit,
                idle_since: Some(active_at),
            };
            self.propose(now, Purpose::Upkeep, CommandBody::EndProgram(end));
        }
    }

    fn retire_old_records(&mut self, now: Timestamp, state: &ShardState) {
        let rule = RetireRule {
            shrink_before: now.saturating_sub(self.config.keep_ended),
            keep_ended: self.config.max_ended,
            forget_before: now.saturating_sub(self.config.keep_tombstones),
            keep_tombstones: self.config.max_tombstones,
        };
        if state.has_retirable(now, &rule) {
            self.propose(now, Purpose::Upkeep, CommandBody::Retire(rule));
        }
    }
}
