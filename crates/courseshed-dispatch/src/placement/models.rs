//! Places model copies by demand: the most utilized model gains a copy, in a free slot or in place
//! of a model with spare capacity.

use courseshed_types::{EngineId, ModelName};

use super::{
    EngineHolding, PlacementChange,
    fleet::{Fleet, service_per_model},
};

/// A candidate location for a model copy.
#[derive(Debug, Clone)]
struct CopyCandidate {
    engine: EngineId,
    /// The model to evict, if no slot is free.
    victim: Option<ModelName>,
    /// Highest resulting utilization among the engine's current models, including the evicted one.
    max_utilization: f64,
    /// Existing copies of the model in the engine's zone.
    zone_copies: usize,
}

/// Plans model moves.
pub(super) fn plan(fleet: &mut Fleet<'_>) {
    for model in most_utilized_first(fleet) {
        while needs_copy(fleet, &model) {
            if !add_copy(fleet, &model) {
                break;
            }
        }
    }
}

fn needs_copy(fleet: &Fleet<'_>, model: &ModelName) -> bool {
    fleet.utilization_with(model, 0.0) > fleet.settings.scale_up_utilization
}

/// Models that need another copy, by descending utilization.
fn most_utilized_first(fleet: &Fleet<'_>) -> Vec<ModelName> {
    let models = fleet.input.demand.keys();
    let utilizations = models.map(|model| (fleet.utilization_with(model, 0.0), model.clone()));
    let mut overloaded: Vec<(f64, ModelName)> = utilizations
        .filter(|(utilization, _)| *utilization > fleet.settings.scale_up_utilization)
        .collect();
    overloaded.sort_by(|(left, left_model), (right, right_model)| {
        right.total_cmp(left).then(left_model.cmp(right_model))
    });
    overloaded.into_iter().map(|(_, model)| model).collect()
}

/// Adds a copy of a model; returns false if no move is possible.
fn add_copy(fleet: &mut Fleet<'_>, model: &ModelName) -> bool {
    let Some(chosen) = best_candidate(fleet, model) else {
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

fn best_candidate(fleet: &Fleet<'_>, model: &ModelName) -> Option<CopyCandidate> {
    let has_none = fleet.holders(model).next().is_none();
    let is_changeable = |engine: &EngineId| match has_none {
        true => fleet.is_changeable(engine),
        false => fleet.is_past_dwell(engine),
    };
    let engines = fleet.engines.iter();
    let engines_without_copy =
        engines.filter(|(id, holding)| is_changeable(id) && !holding.models.contains_key(model));
    let candidates =
        engines_without_copy.flat_map(|(id, holding)| candidates_on(fleet, model, id, holding));
    candidates.min_by(|left, right| {
        let by_victim = left.victim.is_some().cmp(&right.victim.is_some());
        by_victim
            .then(left.zone_copies.cmp(&right.zone_copies))
            .then(left.max_utilization.total_cmp(&right.max_utilization))
            .then(left.engine.cmp(&right.engine))
    })
}

fn candidates_on(
    fleet: &Fleet<'_>,
    model: &ModelName,
    engine: &EngineId,
    holding: &EngineHolding,
) -> Vec<CopyCandidate> {
    let has_slot = holding.models.len() < holding.model_slots;
    let victims: Vec<Option<ModelName>> = match has_slot {
        true => vec![None],
        false => holding.models.keys().cloned().map(Some).collect(),
    };
    let candidate = |victim: Option<ModelName>| {
        let max_utilization = max_utilization_after(fleet, holding, victim.as_ref());
        let zone_copies = fleet.copies_in(model, &holding.zone);
        (max_utilization <= fleet.settings.scale_down_utilization).then(|| CopyCandidate {
            engine: engine.clone(),
            victim,
            max_utilization,
            zone_copies,
        })
    };
    victims.into_iter().filter_map(candidate).collect()
}

/// Highest utilization of the engine's current models after adding one model or replacing `victim`.
fn max_utilization_after(
    fleet: &Fleet<'_>,
    holding: &EngineHolding,
    victim: Option<&ModelName>,
) -> f64 {
    let before = service_per_model(holding);
    let count = holding.models.len() + usize::from(victim.is_none());
    let after = holding.service / count.max(1) as f64;
    let utilization = |model: &ModelName| {
        let change = match victim == Some(model) {
            true => -before,
            false => after - before,
        };
        fleet.utilization_with(model, change)
    };
    holding.models.keys().map(utilization).fold(0.0, f64::max)
}
