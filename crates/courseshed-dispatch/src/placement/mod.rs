//! Which models, adapters and roles engines hold, as a pure function of demand and what they hold now.
//!
//! [`plan`] gives the next few moves; whoever executes them takes a fence from the controller for each
//! ([`PlacementMove::into_order`]), notes when they were made, and asks again with what engines then hold. Damping is
//! in three places: a model gains a copy above one utilisation and may lose one only if it stays below a clearly lower
//! one; an engine that changed is left alone for a while; moves and bytes of weights are bounded per period, since
//! the weight store limits its rate.
//!
//! Invariants: the last copy of a model in demand is never dropped; a plan never loads more bytes in a period than
//! allowed; with demand unchanged, plans become empty and stay so.

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

/// How eagerly placement follows demand.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// A model whose demand exceeds this part of its engines' service gains a copy.
    pub grow_above: f64,
    /// A model may lose a copy, or share an engine with one more, only if it stays below this.
    pub shrink_below: f64,
    /// How long an engine is left alone after a change, unless a model in demand has no copy at all.
    pub minimum_dwell: Duration,
    /// Time over which moves and bytes are bounded.
    pub period: Duration,
    /// Moves in a period.
    pub moves_per_period: usize,
    /// Bytes of weights loaded in a period.
    pub bytes_per_period: u64,
    /// Engines of a model from which on they are split into prefill and decode; none never splits them.
    pub split_roles_from: Option<usize>,
}

impl Default for PlacementSettings {
    fn default() -> PlacementSettings {
        PlacementSettings {
            grow_above: 0.8,
            shrink_below: 0.55,
            minimum_dwell: Duration::from_secs(300),
            period: Duration::from_secs(60),
            moves_per_period: 4,
            bytes_per_period: 200_000_000_000,
            split_roles_from: None,
        }
    }
}

/// What is asked of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// Units of service asked for a second, smoothed.
    pub service: f64,
    /// Part of the service that is prefill, 0 to 1.
    pub prefill_part: f64,
    /// Bytes of its weights.
    pub weight_bytes: u64,
    /// Units of service a second asked of each adapter; part of `service`.
    pub adapters: BTreeMap<String, f64>,
}

/// What part of a call an engine computes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementRole {
    /// Prompts and answers.
    #[default]
    Both,
    /// Prompts.
    Prefill,
    /// Answers.
    Decode,
}

/// An engine and what it holds.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineHolding {
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it takes orders and work.
    pub is_live: bool,
    /// Units of service it gives a second.
    pub service: f64,
    /// Models it can hold at once.
    pub model_slots: usize,
    /// Adapters it can hold at once.
    pub adapter_slots: usize,
    /// Models it holds or loads, with their adapters.
    pub models: BTreeMap<ModelName, Vec<String>>,
    /// What it computes.
    pub role: PlacementRole,
    /// When placement last changed it.
    pub changed_at: Option<Timestamp>,
}

/// A load of weights of late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PastMove {
    /// When it was ordered.
    pub at: Timestamp,
    /// Bytes of weights; zero for a drop or a change of role.
    pub bytes: u64,
}

/// Everything a plan depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementInput {
    /// The time.
    pub now: Timestamp,
    /// Demand by model.
    pub demand: BTreeMap<ModelName, ModelDemand>,
    /// Engines.
    pub engines: BTreeMap<EngineId, EngineHolding>,
    /// Moves ordered of late; those of an earlier period don't count.
    pub past: Vec<PastMove>,
}

/// One change of what an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementChange {
    /// Load a model.
    LoadModel(ModelName),
    /// Drop a model.
    DropModel(ModelName),
    /// Load an adapter of a model that it holds.
    LoadAdapter(ModelName, String),
    /// Drop an adapter.
    DropAdapter(ModelName, String),
    /// Change the role.
    SetRole(PlacementRole),
}

/// A move; moves of a plan are executed in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementMove {
    /// The engine.
    pub engine: EngineId,
    /// What changes.
    pub change: PlacementChange,
}

impl PlacementMove {
    /// The order to the engine under a fence of the controller; none for changes that dispatchers' orders don't
    /// carry and the controller sends by itself.
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

/// The next moves; empty if what engines hold fits the demand well enough.
pub fn plan(settings: &PlacementSettings, input: &PlacementInput) -> Vec<PlacementMove> {
    let mut fleet = Fleet::new(settings, input);
    models::plan(&mut fleet);
    adapters::plan(&mut fleet);
    roles::plan(&mut fleet);
    fleet.into_moves()
}
