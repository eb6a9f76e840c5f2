//! Splits the dedicated engines of a model into prefill and decode roles by the prefill fraction of
//! its demand.

use courseshed_types::{EngineId, ModelName};

use super::{PlacementChange, PlacementRole, fleet::Fleet};

/// Deviation from the target split, in engines, above which a role changes. Greater than one half,
/// so that a target between two integers does not make roles oscillate.
const LEAST_DIFFERENCE: f64 = 0.75;

/// Plans role changes.
pub(super) fn plan(fleet: &mut Fleet<'_>) {
    let Some(least) = fleet.settings.split_roles_from else {
        return;
    };
    let models: Vec<ModelName> = fleet.input.demand.keys().cloned().collect();
    for model in models {
        let engines = dedicated(fleet, &model);
        if engines.len() >= least.max(2) {
            split(fleet, &model, &engines);
        }
    }
}

/// Live engines that hold only this model.
fn dedicated(fleet: &Fleet<'_>, model: &ModelName) -> Vec<EngineId> {
    let holders = fleet.holders(model);
    let alone = holders.filter(|(_, holding)| holding.models.len() == 1);
    alone.map(|(id, _)| id.clone()).collect()
}

fn split(fleet: &mut Fleet<'_>, model: &ModelName, engines: &[EngineId]) {
    let Some(demand) = fleet.demand_of(model) else {
        return;
    };
    let count = engines.len() as f64;
    let wanted = (count * demand.prefill_part).clamp(1.0, count - 1.0);
    for engine in engines {
        let role = match fleet.engines.get(engine).map(|holding| holding.role) {
            Some(PlacementRole::Both) => role_for_undecided(fleet, engines, wanted),
            Some(present) => corrected(fleet, engines, wanted, present),
            None => continue,
        };
        let present = fleet.engines.get(engine).map(|holding| holding.role);
        if present != Some(role) && fleet.is_settled(engine) && fleet.allows(1, 0) {
            fleet.push(engine, PlacementChange::SetRole(role), 0);
        }
    }
}

fn role_for_undecided(fleet: &Fleet<'_>, engines: &[EngineId], wanted: f64) -> PlacementRole {
    match prefill_engines(fleet, engines) + 0.5 <= wanted {
        true => PlacementRole::Prefill,
        false => PlacementRole::Decode,
    }
}

/// The role for an engine that already has one; changes only if the split deviates enough.
fn corrected(
    fleet: &Fleet<'_>,
    engines: &[EngineId],
    wanted: f64,
    present: PlacementRole,
) -> PlacementRole {
    let missing = wanted - prefill_engines(fleet, engines);
    match present {
        PlacementRole::Decode if missing > LEAST_DIFFERENCE => PlacementRole::Prefill,
        PlacementRole::Prefill if missing < -LEAST_DIFFERENCE => PlacementRole::Decode,
        _ => present,
    }
}

fn prefill_engines(fleet: &Fleet<'_>, engines: &[EngineId]) -> f64 {
    let role = |engine: &&EngineId| {
        let holding = fleet.engines.get(*engine);
        holding.is_some_and(|holding| holding.role == PlacementRole::Prefill)
    };
    engines.iter().filter(role).count() as f64
}
