//! Engines of one model are split into prefill and decode by the parts of its service, where there are enough.

use courseshed_types::{EngineId, ModelName};

use super::{PlacementChange, PlacementRole, fleet::Fleet};

/// Engines by which the split must be off before one changes its role; above one half, so that a share that lies
/// between two numbers of engines does not make them change back and forth.
const LEAST_DIFFERENCE: f64 = 0.75;

/// Adds changes of roles.
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

/// The role of an engine that has one: changed only if the split is clearly off.
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
