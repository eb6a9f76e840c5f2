//! Places adapters by demand on the engines that hold their base model.

use courseshed_types::{EngineId, ModelName};

use super::{
    EngineHolding, PlacementChange,
    fleet::{Fleet, part_of},
};

/// Plans adapter moves. Adapter weights are small, so only the number of moves is limited.
pub(super) fn plan(fleet: &mut Fleet<'_>) {
    for (model, demand) in &fleet.input.demand {
        for (adapter, wanted) in &demand.adapters {
            while *wanted > 0.0 && is_short(fleet, model, adapter, *wanted) {
                if !add_copy(fleet, model, adapter) {
                    break;
                }
            }
        }
    }
}

fn is_short(fleet: &Fleet<'_>, model: &ModelName, adapter: &str, wanted: f64) -> bool {
    let holders = fleet.holders(model);
    let with = holders.filter(|(_, holding)| holds(holding, model, adapter));
    let service: f64 = with.map(|(_, holding)| part_of(holding)).sum();
    wanted > service * fleet.settings.grow_above
}

/// Loads an adapter on another engine that holds its model, replacing an adapter without demand if
/// necessary.
fn add_copy(fleet: &mut Fleet<'_>, model: &ModelName, adapter: &str) -> bool {
    let Some((engine, unwanted)) = best_engine(fleet, model, adapter) else {
        return false;
    };
    if !fleet.allows(1 + usize::from(unwanted.is_some()), 0) {
        return false;
    }
    if let Some((model, unwanted)) = unwanted {
        let drop = PlacementChange::DropAdapter(model, unwanted);
        fleet.push(&engine, drop, 0);
    }
    let load = PlacementChange::LoadAdapter(model.clone(), adapter.to_owned());
    fleet.push(&engine, load, 0);
    true
}

type HeldAdapter = (ModelName, String);

fn best_engine(
    fleet: &Fleet<'_>,
    model: &ModelName,
    adapter: &str,
) -> Option<(EngineId, Option<HeldAdapter>)> {
    let candidates = fleet
        .holders(model)
        .filter(|(id, holding)| fleet.is_free(id) && !holds(holding, model, adapter));
    let usable = candidates.filter_map(|(id, holding)| {
        let held: usize = holding.models.values().map(Vec::len).sum();
        if held < holding.adapter_slots {
            return Some((held, id, None));
        }
        let unwanted = unwanted_on(fleet, holding)?;
        Some((held, id, Some(unwanted)))
    });
    let best = usable.min_by_key(|(held, id, unwanted)| (unwanted.is_some(), *held, *id));
    best.map(|(_, id, unwanted)| (id.clone(), unwanted))
}

/// An adapter on the engine that has no demand.
fn unwanted_on(fleet: &Fleet<'_>, holding: &EngineHolding) -> Option<HeldAdapter> {
    let is_wanted = |model: &ModelName, adapter: &String| {
        let demand = fleet.demand_of(model);
        let wanted = demand.and_then(|demand| demand.adapters.get(adapter));
        wanted.is_some_and(|wanted| *wanted > 0.0)
    };
    holding.models.iter().find_map(|(model, adapters)| {
        let unwanted = adapters.iter().find(|adapter| !is_wanted(model, adapter));
        unwanted.map(|adapter| (model.clone(), adapter.clone()))
    })
}

fn holds(holding: &EngineHolding, model: &ModelName, adapter: &str) -> bool {
    let adapters = holding.models.get(model);
    adapters.is_some_and(|adapters| adapters.iter().any(|held| held == adapter))
}
