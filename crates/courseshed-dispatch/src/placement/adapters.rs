//! Places adapters by demand on the engines that hold their base model.

use courseshed_types::{EngineId, ModelName};

use super::{
    EngineHolding, PlacementChange,
    fleet::{Fleet, service_per_model},
};

/// Plans adapter moves. Adapter weights are small, so only the number of moves is limited.
pub(super) fn plan(fleet: &mut Fleet<'_>) {
    for (model, demand) in &fleet.input.demand {
        for (adapter, service_demand) in &demand.adapters {
            while *service_demand > 0.0 && needs_copy(fleet, model, adapter, *service_demand) {
                if !add_copy(fleet, model, adapter) {
                    break;
                }
            }
        }
    }
}

fn needs_copy(fleet: &Fleet<'_>, model: &ModelName, adapter: &str, service_demand: f64) -> bool {
    let holders = fleet.holders(model);
    let with = holders.filter(|(_, holding)| holds(holding, model, adapter));
    let service: f64 = with.map(|(_, holding)| service_per_model(holding)).sum();
    service_demand > service * fleet.settings.scale_up_utilization
}

/// Loads an adapter on another engine that holds its model, replacing an adapter without demand if
/// necessary.
fn add_copy(fleet: &mut Fleet<'_>, model: &ModelName, adapter: &str) -> bool {
    let Some((engine, unused)) = best_engine(fleet, model, adapter) else {
        return false;
    };
    if !fleet.allows(1 + usize::from(unused.is_some()), 0) {
        return false;
    }
    if let Some((model, unused)) = unused {
        let drop = PlacementChange::DropAdapter(model, unused);
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
        .filter(|(id, holding)| fleet.is_changeable(id) && !holds(holding, model, adapter));
    let usable = candidates.filter_map(|(id, holding)| {
        let held: usize = holding.models.values().map(Vec::len).sum();
        if held < holding.adapter_slots {
            return Some((held, id, None));
        }
        let unused = unused_adapter_on(fleet, holding)?;
        Some((held, id, Some(unused)))
    });
    let best = usable.min_by_key(|(held, id, unused)| (unused.is_some(), *held, *id));
    best.map(|(_, id, unused)| (id.clone(), unused))
}

/// An adapter on the engine that has no demand.
fn unused_adapter_on(fleet: &Fleet<'_>, holding: &EngineHolding) -> Option<HeldAdapter> {
    let has_demand = |model: &ModelName, adapter: &String| {
        let demand = fleet.demand_of(model);
        let service_demand = demand.and_then(|demand| demand.adapters.get(adapter));
        service_demand.is_some_and(|service_demand| *service_demand > 0.0)
    };
    holding.models.iter().find_map(|(model, adapters)| {
        let unused = adapters.iter().find(|adapter| !has_demand(model, adapter));
        unused.map(|adapter| (model.clone(), adapter.clone()))
    })
}

fn holds(holding: &EngineHolding, model: &ModelName, adapter: &str) -> bool {
    let adapters = holding.models.get(model);
    adapters.is_some_and(|adapters| adapters.iter().any(|held| held == adapter))
}
