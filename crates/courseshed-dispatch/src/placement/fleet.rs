//! Working state of a placement plan: engines after the planned moves, and the remaining budget.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::{EngineId, ModelName, ZoneName};

use super::{
    EngineHolding, ModelDemand, PlacementChange, PlacementInput, PlacementMove, PlacementSettings,
};

/// A placement plan under construction.
pub(super) struct Fleet<'a> {
    pub(super) settings: &'a PlacementSettings,
    pub(super) input: &'a PlacementInput,
    /// Engines as they will be after the planned moves.
    pub(super) engines: BTreeMap<EngineId, EngineHolding>,
    /// Engines already changed by this plan.
    changed: BTreeSet<EngineId>,
    moves: Vec<PlacementMove>,
    moves_left: usize,
    bytes_left: u64,
}

impl<'a> Fleet<'a> {
    pub(super) fn new(settings: &'a PlacementSettings, input: &'a PlacementInput) -> Fleet<'a> {
        let is_in_period = |at| input.now.since(at) < settings.period;
        let recent = || {
            input
                .recent_moves
                .iter()
                .filter(|made| is_in_period(made.at))
        };
        let bytes: u64 = recent().map(|made| made.bytes).sum();
        Fleet {
            settings,
            input,
            engines: input.engines.clone(),
            changed: BTreeSet::new(),
            moves: Vec::new(),
            moves_left: settings.moves_per_period.saturating_sub(recent().count()),
            bytes_left: settings.bytes_per_period.saturating_sub(bytes),
        }
    }

    pub(super) fn into_moves(self) -> Vec<PlacementMove> {
        self.moves
    }

    pub(super) fn demand_of(&self, model: &ModelName) -> Option<&'a ModelDemand> {
        let demand = self.input.demand.get(model);
        demand.filter(|demand| demand.service > 0.0)
    }

    /// Whether the remaining budget allows this many moves and bytes.
    pub(super) fn allows(&self, moves: usize, bytes: u64) -> bool {
        moves <= self.moves_left && bytes <= self.bytes_left
    }

    /// Whether an engine is live, unchanged by this plan, and past its minimum dwell time.
    pub(super) fn is_past_dwell(&self, engine: &EngineId) -> bool {
        let Some(holding) = self.engines.get(engine) else {
            return false;
        };
        let dwell = self.settings.minimum_dwell;
        let past_dwell = holding
            .changed_at
            .is_none_or(|at| self.input.now.since(at) >= dwell);
        holding.is_live && past_dwell && !self.changed.contains(engine)
    }

    /// Whether an engine is live and unchanged by this plan.
    pub(super) fn is_changeable(&self, engine: &EngineId) -> bool {
        let is_live = self
            .engines
            .get(engine)
            .is_some_and(|holding| holding.is_live);
        is_live && !self.changed.contains(engine)
    }

    /// Adds a move to the plan and applies it.
    pub(super) fn push(&mut self, engine: &EngineId, change: PlacementChange, bytes: u64) {
        let Some(holding) = self.engines.get_mut(engine) else {
            return;
        };
        apply(holding, &change);
        self.changed.insert(engine.clone());
        self.moves_left = self.moves_left.saturating_sub(1);
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
        let engine = engine.clone();
        self.moves.push(PlacementMove { engine, change });
    }

    /// Live engines that hold a model.
    pub(super) fn holders(
        &self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&EngineId, &EngineHolding)> {
        let live = self.engines.iter().filter(|(_, holding)| holding.is_live);
        live.filter(move |(_, holding)| holding.models.contains_key(model))
    }

    /// Service capacity available to a model, in units per second. Models on the same engine share
    /// it evenly.
    pub(super) fn service_for(&self, model: &ModelName) -> f64 {
        let parts = self
            .holders(model)
            .map(|(_, holding)| service_per_model(holding));
        parts.sum()
    }

    /// Utilization of a model if its capacity changed by `change`; infinite without capacity.
    pub(super) fn utilization_with(&self, model: &ModelName, change: f64) -> f64 {
        let Some(demand) = self.demand_of(model) else {
            return 0.0;
        };
        let service = self.service_for(model) + change;
        match service > MIN_SERVICE {
            true => demand.service / service,
            false => f64::INFINITY,
        }
    }

    /// Copies of a model in a zone.
    pub(super) fn copies_in(&self, model: &ModelName, zone: &ZoneName) -> usize {
        let holders = self.holders(model);
        holders.filter(|(_, holding)| holding.zone == *zone).count()
    }
}

/// Capacity below this counts as zero.
const MIN_SERVICE: f64 = 1.0e-9;

/// Service capacity per model on an engine, in units per second.
pub(super) fn service_per_model(holding: &EngineHolding) -> f64 {
    holding.service / holding.models.len().max(1) as f64
}

fn apply(holding: &mut EngineHolding, change: &PlacementChange) {
    match change {
        PlacementChange::LoadModel(model) => {
            holding.models.insert(model.clone(), Vec::new());
        }
        PlacementChange::DropModel(model) => {
            holding.models.remove(model);
        }
        PlacementChange::LoadAdapter(model, adapter) => {
            if let Some(adapters) = holding.models.get_mut(model) {
                adapters.push(adapter.clone());
            }
        }
        PlacementChange::DropAdapter(model, adapter) => {
            if let Some(adapters) = holding.models.get_mut(model) {
                adapters.retain(|held| held != adapter);
            }
        }
        PlacementChange::SetRole(role) => holding.role = *role,
    }
}
