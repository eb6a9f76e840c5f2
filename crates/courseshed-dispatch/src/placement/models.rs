//! Places model copies by demand: the most utilized model gains a copy, in a free slot or in place
//! of a model with spare capacity.

use courseshed_types::{EngineId, ModelName};

use super::{
    EngineHolding, PlacementChange,
    fleet::{Fleet, part_of},
};

/// A candidate location for a model copy.
#[derive(Debug, Clone)]
struct CopyOption {
    engine: EngineId,
    /// The model to evict, if no slot is free.
    victim: Option<ModelName>,
    /// Highest resulting utilization among the engine's current models, including the evicted one.
    pressure: f64,
    /// Existing copies of the model in the engine's zone.
    zone_copies: usize,
}

/// Plans model moves.
pub(super) fn plan(fleet: &mut Fleet<'_>) {
    for model in shortest_first(fleet) {
        while is_short(fleet, &model) {
            if !add_copy(fleet, &model) {
                break;
            }
        }
    }
}

fn is_short(fleet: &Fleet<'_>, model: &ModelName) -> bool {
    fleet.utilisation_with(model, 0.0) > fleet.settings.grow_above
}

/// Models that need another copy, by descending utilization.
fn shortest_first(fleet: &Fleet<'_>) -> Vec<ModelName> {
    let models = fleet.input.demand.keys();
    let utilised = models.map(|model| (fleet.utilisation_with(model, 0.0), model.clone()));
    let mut short: Vec<(f64, ModelName)> = utilised
        .filter(|(utilisation, _)| *utilisation > fleet.settings.grow_above)
        .collect();
    short.sort_by(|(left, left_model), (right, right_model)| {
        right.total_cmp(left).then(left_model.cmp(right_model))
    });
    short.into_iter().map(|(_, model)| model).collect()
}

/// Adds a copy of a model; returns false if no move is possible.
fn add_copy(fleet: &mut Fleet<'_>, model: &ModelName) -> bool {
    let Some(chosen) = best_option(fleet, model) else {
        return false;
    };
    let bytes = fleet
        .demand_of(model)
        .map_or(0, |demand| demand.weight_bytes);
    let moves = 1 + usize::from(chosen.victim.is_some());
    if !fleet.allows(moves, bytes) {
        return false;
    }
    if let Some(victim) = chosen.victim {
        fleet.push(&chosen.engine, PlacementChange::DropModel(victim), 0);
    }
    let load = PlacementChange::LoadModel(model.clone());
    fleet.push(&chosen.engine, load, bytes);
    true
}

fn best_option(fleet: &Fleet<'_>, model: &ModelName) -> Option<CopyOption> {
    let has_none = fleet.holders(model).next().is_none();
    let may_change = |engine: &EngineId| match has_none {
        true => fleet.is_free(engine),
        false => fleet.is_settled(engine),
    };
    let engines = fleet.engines.iter();
    let candidates =
        engines.filter(|(id, holding)| may_change(id) && !holding.models.contains_key(model));
    let options = candidates.flat_map(|(id, holding)| options_on(fleet, model, id, holding));
    options.min_by(|left, right| {
        let by_victim = left.victim.is_some().cmp(&right.victim.is_some());
        by_victim
            .then(left.zone_copies.cmp(&right.zone_copies))
            .then(left.pressure.total_cmp(&right.pressure))
            .then(left.engine.cmp(&right.engine))
    })
}

fn options_on(
    fleet: &Fleet<'_>,
    model: &ModelName,
    engine: &EngineId,
    holding: &EngineHolding,
) -> Vec<CopyOption> {
    let has_slot = holding.models.len() < holding.model_slots;
    let victims: Vec<Option<ModelName>> = match has_slot {
        true => vec![None],
        false => holding.models.keys().cloned().map(Some).collect(),
    };
    let option = |victim: Option<ModelName>| {
        let pressure = pressure_after(fleet, holding, victim.as_ref());
        let zone_copies = fleet.copies_in(model, &holding.zone);
        (pressure <= fleet.settings.shrink_below).then(|| CopyOption {
            engine: engine.clone(),
            victim,
            pressure,
            zone_copies,
        })
    };
    victims.into_iter().filter_map(option).collect()
}

/// Highest utilization of the engine's current models after adding one model or replacing `victim`.
fn pressure_after(fleet: &Fleet<'_>, holding: &EngineHolding, victim: Option<&ModelName>) -> f64 {
    let before = part_of(holding);
    let count = holding.models.len() + usize::from(victim.is_none());
    let after = holding.service / count.max(1) as f64;
    let utilisation = |model: &ModelName| {
        let change = match victim == Some(model) {
            true => -before,
            false => after - before,
        };
        fleet.utilisation_with(model, change)
    };
    holding.models.keys().map(utilisation).fold(0.0, f64::max)
}
