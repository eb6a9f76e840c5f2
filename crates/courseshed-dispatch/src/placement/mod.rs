//! Placement of models, adapters and roles on engines, as a pure function of demand and current
//! holdings.
//!
//! [`plan`] returns the next moves. The caller obtains a fencing token from the controller for each
//! move ([`PlacementMove::into_order`]), records when it was ordered, and plans again with the
//! resulting holdings. Three mechanisms prevent oscillation: separate utilization thresholds for
//! adding and removing copies, a minimum dwell time per engine, and limits on moves and bytes per
//! period, which also respect the rate limit of the weight store.
//!
//! Invariants: the last copy of a model in demand is never dropped; a plan never exceeds the
//! period's byte limit; with constant demand, plans become empty and stay empty.

mod adapters;
mod fleet;
mod models;
mod roles;

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    EngineId, ModelName, Timestamp, ZoneName,
    dispatch::{EngineOrder, EngineOrderBody},
};

use fleet::Fleet;

/// Placement thresholds and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Utilization above which a model gains a copy.
    pub scale_up_utilization: f64,
    /// Utilization below which a model must stay for it to lose a copy or to share an engine with
    /// another model.
    pub scale_down_utilization: f64,
    /// Minimum time between changes of an engine, unless a model in demand has no copy.
    pub minimum_dwell: Duration,
    /// Period over which moves and bytes are limited.
    pub period: Duration,
    /// Maximum number of moves per period.
    pub moves_per_period: usize,
    /// Maximum bytes of weights loaded per period.
    pub bytes_per_period: u64,
    /// Minimum number of engines of a model for splitting them into prefill and decode roles;
    /// `None` disables the split.
    pub min_engines_for_roles: Option<usize>,
}

impl Default for PlacementSettings {
    fn default() -> PlacementSettings {
        PlacementSettings {
            scale_up_utilization: 0.8,
            scale_down_utilization: 0.55,
            minimum_dwell: Duration::from_secs(300),
            period: Duration::from_secs(60),
            moves_per_period: 4,
            bytes_per_period: 200_000_000_000,
            min_engines_for_roles: None,
        }
    }
}

/// Demand for a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// Requested service in units per second, smoothed.
    pub service: f64,
    /// Fraction of the service that is prefill, 0 to 1.
    pub prefill_fraction: f64,
    /// Size of the model's weights in bytes.
    pub weight_bytes: u64,
    /// Requested service per adapter in units per second, included in `service`.
    pub adapters: BTreeMap<String, f64>,
}

/// The inference phases an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// An engine and its current holdings.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineHolding {
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Whether the engine accepts orders and calls.
    pub is_live: bool,
    /// Service capacity in units per second.
    pub service: f64,
    /// Number of models it can hold.
    pub model_slots: usize,
    /// Number of adapters it can hold.
    pub adapter_slots: usize,
    /// Models loaded or loading, with their adapters.
    pub models: BTreeMap<ModelName, Vec<String>>,
    /// Current role.
    pub role: PlacementRole,
    /// When placement last changed the engine.
    pub changed_at: Option<Timestamp>,
}

/// A recent move, counted against the period's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecentMove {
    /// When it was ordered.
    pub at: Timestamp,
    /// Bytes of weights loaded; zero for drops and role changes.
    pub bytes: u64,
}

/// Input of a placement plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementInput {
    /// Current time.
    pub now: Timestamp,
    /// Demand by model.
    pub demand: BTreeMap<ModelName, ModelDemand>,
    /// Engines by id.
    pub engines: BTreeMap<EngineId, EngineHolding>,
    /// Recent moves; those from earlier periods are ignored.
    pub recent_moves: Vec<RecentMove>,
}

/// A change to an engine's holdings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementChange {
    /// Load a model.
    LoadModel(ModelName),
    /// Drop a model.
    DropModel(ModelName),
    /// Load an adapter of a model that the engine holds.
    LoadAdapter(ModelName, String),
    /// Drop an adapter.
    DropAdapter(ModelName, String),
    /// Change the role.
    SetRole(PlacementRole),
}

/// A planned move. The moves of a plan must be executed in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementMove {
    /// The engine to change.
    pub engine: EngineId,
    /// The change.
    pub change: PlacementChange,
}

impl PlacementMove {
    /// Converts the move into an engine order with a fencing token; `None` for changes that the
    /// controller sends itself.
    pub fn into_order(self, fence: u64) -> Option<EngineOrder> {
        let body = match self.change {
            PlacementChange::LoadModel(model) => EngineOrderBody::LoadModel { model, fence },
            PlacementChange::DropModel(model) => EngineOrderBody::DropModel { model, fence },
            _ => return None,
        };
        let engine = self.engine;
        Some(EngineOrder { engine, body })
    }
}

/// Plans the next moves; empty if current holdings match the demand.
pub fn plan(settings: &PlacementSettings, input: &PlacementInput) -> Vec<PlacementMove> {
    let mut fleet = Fleet::new(settings, input);
    models::plan(&mut fleet);
    adapters::plan(&mut fleet);
    roles::plan(&mut fleet);
    fleet.into_moves()
}
