//! Splits the dedicated engines of a model into prefill and decode roles by the prefill fraction of
//! its demand.

use courseshed_types::{EngineId, ModelName};

use super::{PlacementChange, PlacementRole, fleet::Fleet};

/// Deviation from the target split, in engines, above which a role changes. Greater than one half,
/// so that a target between two integers does not make roles oscillate.
const ROLE_HYSTERESIS: f64 = 0.75;

/// Plans role changes.
pub(super) fn plan(fleet: &mut Fleet<'_>) {
    let Some(min_engines) = fleet.settings.min_engines_for_roles else {
        return;
    };
    let models: Vec<ModelName> = fleet.input.demand.keys().cloned().collect();
    for model in models {
        let engines = dedicated(fleet, &model);
        if engines.len() >= min_engines.max(2) {
            assign_roles(fleet, &model, &engines);
        }
    }
}

/// Live engines that hold only this model.
fn dedicated(fleet: &Fleet<'_>, model: &ModelName) -> Vec<EngineId> {
    let holders = fleet.holders(model);
    let alone = holders.filter(|(_, holding)| holding.models.len() == 1);
    alone.map(|(id, _)| id.clone()).collect()
}

fn assign_roles(fleet: &mut Fleet<'_>, model: &ModelName, engines: &[EngineId]) {
    let Some(demand) = fleet.demand_of(model) else {
        return;
    };
    let count = engines.len() as f64;
    let target = (count * demand.prefill_fraction).clamp(1.0, count - 1.0);
    for engine in engines {
        let role = match fleet.engines.get(engine).map(|holding| holding.role) {
            Some(PlacementRole::Both) => initial_role(fleet, engines, target),
            Some(current) => adjusted_role(fleet, engines, target, current),
            None => continue,
        };
        let current = fleet.engines.get(engine).map(|holding| holding.role);
        if current != Some(role) && fleet.is_past_dwell(engine) && fleet.allows(1, 0) {
            fleet.push(engine, PlacementChange::SetRole(role), 0);
        }
    }
}

fn initial_role(fleet: &Fleet<'_>, engines: &[EngineId], target: f64) -> PlacementRole {
    match prefill_engines(fleet, engines) + 0.5 <= target {
        true => PlacementRole::Prefill,
        false => PlacementRole::Decode,
    }
}

/// The role for an engine that already has one; changes only if the split deviates enough.
fn adjusted_role(
    fleet: &Fleet<'_>,
    engines: &[EngineId],
    target: f64,
    current: PlacementRole,
) -> PlacementRole {
    let missing = target - prefill_engines(fleet, engines);
    match current {
        PlacementRole::Decode if missing > ROLE_HYSTERESIS => PlacementRole::Prefill,
        PlacementRole::Prefill if missing < -ROLE_HYSTERESIS => PlacementRole::Decode,
        _ => current,
    }
}

fn prefill_engines(fleet: &Fleet<'_>, engines: &[EngineId]) -> f64 {
    let role = |engine: &&EngineId| {
        let holding = fleet.engines.get(*engine);
        holding.is_some_and(|holding| holding.role == PlacementRole::Prefill)
    };
    engines.iter().filter(role).count() as f64
}
