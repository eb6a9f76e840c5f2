//! Accounts for cached tokens that were filled and never reused, by what became of them.

use courseshed_engine_model::OwnerKey;

use super::{
    event::{EngineIndex, ProgramIndex},
    run::Simulation,
};

impl Simulation<'_> {
    /// A program is over: what engines evicted of it so far was lost while it lived.
    pub(super) fn snapshot_waste(&mut self, index: ProgramIndex) {
        let owner = OwnerKey(index as u64);
        let program = &self.programs[index];
        let last = program.engines_used.last().copied();
        let last_id = program.last_engine.as_ref();
        let last = last_id
            .and_then(|id| self.scenario.engine_position(id))
            .or(last);
        for engine in program.engines_used.clone() {
            self.engines[engine].forget_chain(index);
            let lost = self.engines[engine].model.waste_by_owner().get(&owner);
            let tokens = lost.map_or(0, |lost| lost.evicted_tokens + lost.dropped_tokens);
            if tokens == 0 {
                continue;
            }
            self.engines[engine].accounted.insert(owner, tokens);
            let program = &self.programs[index];
            match last == Some(engine) {
                true => self.measures.waste(program).evicted += tokens,
                false => self.measures.waste(program).moved += tokens,
            }
        }
    }

    /// Accounts for all that an engine lost or still holds unused, when it dies or the run ends.
    pub(super) fn settle_waste(&mut self, engine: EngineIndex, dies: bool) {
        let host = &self.engines[engine];
        let lost: Vec<(OwnerKey, u64)> = host
            .model
            .waste_by_owner()
            .iter()
            .map(|(owner, waste)| (*owner, waste.evicted_tokens + waste.dropped_tokens))
            .map(|(owner, tokens)| {
                let accounted = host.accounted.get(&owner).copied().unwrap_or(0);
                (owner, tokens - accounted)
            })
            .collect();
        let unused = host.model.unreused_tokens_by_owner();
        for (owner, tokens) in lost {
            let program = &self.programs[owner.0 as usize];
            let has_ended = program.ending.is_some();
            let waste = self.measures.waste(program);
            match has_ended {
                true => waste.abandoned += tokens,
                false => waste.evicted += tokens,
            }
        }
        for (owner, tokens) in unused {
            let program = &self.programs[owner.0 as usize];
            let has_ended = program.ending.is_some();
            let waste = self.measures.waste(program);
            match (has_ended, dies) {
                (true, _) => waste.abandoned += tokens,
                (false, true) => waste.engine_lost += tokens,
                (false, false) => {}
            }
        }
    }
}
