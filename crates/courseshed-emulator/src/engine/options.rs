//! The options of an emulated engine.

use courseshed_engine_model::EngineModelConfig;
use courseshed_types::{EngineId, ModelName};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The options of an emulated engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Its id.
    pub id: EngineId,
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Models loaded at the start.
    pub models: Vec<ModelName>,
    /// Sizes and costs.
    pub config: EngineModelConfig,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Mean length of an answer without a directive, in tokens.
    pub mean_output_tokens: f64,
    /// Most generated tokens when a request names no limit.
    pub default_max_tokens: u32,
    /// Requests that may wait before more are refused.
    pub max_waiting: usize,
    /// How old the load report is.
    pub load_lag: Duration,
    /// How late cache events appear.
    pub event_delay: Duration,
    /// How long the outcome of a request is kept.
    pub retention: Duration,
    /// Shortest time between two moves of the model; longer saves processor time and lumps
    /// tokens together.
    pub tick: Duration,
    /// The weight store's address; without one, models load after `load_delay`.
    pub weight_store: Option<String>,
    /// How long a load takes without a weight store.
    pub load_delay: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            id: EngineId::from("engine"),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: vec![ModelName::from("base")],
            config: EngineModelConfig::default(),
            seed: 1,
            mean_output_tokens: 60.0,
            default_max_tokens: 512,
            max_waiting: 4_096,
            load_lag: Duration::from_millis(200),
            event_delay: Duration::from_millis(300),
            retention: Duration::from_secs(600),
            tick: Duration::ZERO,
            weight_store: None,
            load_delay: Duration::from_secs(1),
        }
    }
}
