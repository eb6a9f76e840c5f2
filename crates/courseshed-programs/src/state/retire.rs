//! Ended programs are kept whole for a while, then as tombstones, then not at all.

use courseshed_types::{ProgramId, Timestamp};

use super::{ShardState, programs::program_key};
use crate::{
    command::RetireRule,
    program::{ProgramRecord, Tombstone},
    result::Effect,
};

impl ShardState {
    /// Whether the rule would change anything; what a leader asks before it proposes one.
    pub fn has_retirable(&self, now: Timestamp, rule: &RetireRule) -> bool {
        let ended = self.programs.values().filter(|record| is_over(record));
        let oldest_end = ended.filter_map(end_time).min();
        let oldest_stone = self.tombstones.values().map(|stone| stone.made_at).min();
        oldest_end.is_some_and(|at| at < rule.shrink_before)
            || oldest_stone.is_some_and(|at| at < rule.forget_before)
            || self
                .programs
                .values()
                .filter(|record| is_over(record))
                .count()
                > rule.keep_ended as usize
            || self.tombstones.len() > rule.keep_tombstones as usize
            || self.escrow.has_old_periods(now)
    }

    pub(super) fn retire(&mut self, at: Timestamp, rule: &RetireRule) -> Effect {
        for program in self.programs_to_shrink(rule) {
            self.shrink(at, program);
        }
        for program in self.tombstones_to_forget(rule) {
            self.forget(program);
        }
        self.escrow.drop_old_periods(at);
        Effect::Nothing
    }

    fn programs_to_shrink(&self, rule: &RetireRule) -> Vec<ProgramId> {
        let over = self.programs.values().filter(|record| is_over(record));
        let mut over: Vec<(Timestamp, ProgramId)> = over
            .filter_map(|record| Some((end_time(record)?, record.id)))
            .collect();
        over.sort_unstable();
        let surplus = over.len().saturating_sub(rule.keep_ended as usize);
        let shrinks = |(place, (ended, _)): &(usize, &(Timestamp, ProgramId))| {
            *place < surplus || *ended < rule.shrink_before
        };
        let chosen = over.iter().enumerate().filter(shrinks);
        chosen.map(|(_, (_, program))| *program).collect()
    }

    fn shrink(&mut self, at: Timestamp, program: ProgramId) {
        let Some(record) = self.programs.remove(&program) else {
            return;
        };
        if let Some(parent) = record.parent.and_then(|id| self.programs.get_mut(&id)) {
            parent.children.retain(|child| *child != program);
        }
        self.tombstones.insert(program, record.into_tombstone(at));
    }

    fn tombstones_to_forget(&self, rule: &RetireRule) -> Vec<ProgramId> {
        let mut stones: Vec<(Timestamp, ProgramId)> = self
            .tombstones
            .iter()
            .map(|(program, stone)| (stone.made_at, *program))
            .collect();
        stones.sort_unstable();
        let surplus = stones.len().saturating_sub(rule.keep_tombstones as usize);
        let goes = |(place, (made, _)): &(usize, &(Timestamp, ProgramId))| {
            *place < surplus || *made < rule.forget_before
        };
        let chosen = stones.iter().enumerate().filter(goes);
        chosen.map(|(_, (_, program))| *program).collect()
    }

    fn forget(&mut self, program: ProgramId) {
        let Some(stone) = self.tombstones.remove(&program) else {
            return;
        };
        let Tombstone {
            view,
            idempotency_key,
            ..
        } = stone;
        if let Some(key) = program_key(&view.branch, idempotency_key.as_deref()) {
            self.keys.remove(&key);
        }
    }
}

/// Ended, and no attempt of it or of a sub-agent can still change it.
fn is_over(record: &ProgramRecord) -> bool {
    record.ended.is_some() && !record.has_open_call()
}

fn end_time(record: &ProgramRecord) -> Option<Timestamp> {
    record.ended.map(|end| end.at)
}
