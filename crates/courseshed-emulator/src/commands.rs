//! The subcommands and their options.

use argh::FromArgs;
use courseshed_emulator::members::{EmulatedMembers, MemberOptions};
use courseshed_emulator::tools::{EmulatedTools, ToolBehaviour, ToolOptions};
use courseshed_emulator::weights::{EmulatedWeights, WeightOptions};
use courseshed_emulator::{EmulatedEngine, EngineHandle, EngineOptions};
use courseshed_engine_model::EngineModelConfig;
use courseshed_types::dispatch::EngineMember;
use courseshed_types::{EngineId, ModelName};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Why a stand-in did not start.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    #[snafu(display("can't serve on {listen}: {source}"))]
    Serve {
        listen: SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("{option} must be above 0"))]
    NotPositive { option: &'static str },
    #[snafu(display("can't read {}: {source}", file.display()))]
    ReadFile {
        file: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{} is not a JSON list of members: {source}", file.display()))]
    ParseFile {
        file: PathBuf,
        source: serde_json::Error,
    },
}

/// Stand-ins for model engines, tools, the weight store and the members list.
#[derive(FromArgs)]
pub(crate) struct Command {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Engine(EngineCommand),
    Tools(ToolsCommand),
    Weights(WeightsCommand),
    Members(MembersCommand),
}

impl Command {
    pub(crate) fn run(self) -> Result<(), CommandError> {
        match self.kind {
            Kind::Engine(command) => command.run(),
            Kind::Tools(command) => command.run(),
            Kind::Weights(command) => command.run(),
            Kind::Members(command) => command.run(),
        }
    }
}

/// Serve one or several model engines.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineCommand {
    /// address to listen on, such as 127.0.0.1:9001
    #[argh(option)]
    listen: SocketAddr,
    /// id of the engine; with --count, the prefix of the ids
    #[argh(option, default = "String::from(\"engine\")")]
    id: String,
    /// engines to serve in this process, on consecutive ports
    #[argh(option, default = "1")]
    count: u16,
    /// model loaded at the start; may be given several times
    #[argh(option)]
    model: Vec<String>,
    /// most requests that run at once
    #[argh(option, default = "64")]
    max_batch: usize,
    /// blocks of KV memory
    #[argh(option, default = "16384")]
    kv_blocks: usize,
    /// tokens in a block
    #[argh(option, default = "16")]
    block_tokens: u32,
    /// most tokens computed in one step
    #[argh(option, default = "2048")]
    step_tokens: u32,
    /// fixed part of a step, in microseconds
    #[argh(option, default = "12000")]
    step_base_us: u64,
    /// part of a step for each decoding request, in microseconds
    #[argh(option, default = "150")]
    step_per_decode_us: u64,
    /// part of a step for each prompt token, in microseconds
    #[argh(option, default = "30")]
    step_per_prefill_token_us: u64,
    /// largest share of the memory that leases may hold
    #[argh(option, default = "0.6")]
    lease_share: f64,
    /// time to export or import a block, in microseconds
    #[argh(option, default = "100")]
    transfer_per_block_us: u64,
    /// how many times faster than these costs the engine runs
    #[argh(option, default = "1.0")]
    speed: f64,
    /// seed of all that is drawn
    #[argh(option, default = "1")]
    seed: u64,
    /// mean length of an answer without a directive, in tokens
    #[argh(option, default = "60.0")]
    mean_output_tokens: f64,
    /// requests that may wait before more are refused
    #[argh(option, default = "4096")]
    max_waiting: usize,
    /// age of the load report, in milliseconds
    #[argh(option, default = "200")]
    load_lag_ms: u64,
    /// delay of cache events, in milliseconds
    #[argh(option, default = "300")]
    event_delay_ms: u64,
    /// how long outcomes are kept, in milliseconds
    #[argh(option, default = "600000")]
    retention_ms: u64,
    /// shortest time between moves of the model, in milliseconds
    #[argh(option, default = "0")]
    tick_ms: u64,
    /// address of the weight store that models are loaded from
    #[argh(option)]
    weight_store: Option<String>,
    /// time to load a model without a weight store, in milliseconds
    #[argh(option, default = "1000")]
    load_delay_ms: u64,
}

impl EngineCommand {
    fn run(self) -> Result<(), CommandError> {
        if self.speed <= 0.0 {
            return NotPositiveSnafu { option: "--speed" }.fail();
        }
        let mut engines = Vec::new();
        for index in 0..self.count {
            engines.push(self.start(index)?);
        }
        engines.into_iter().for_each(EngineHandle::wait);
        Ok(())
    }

    fn start(&self, index: u16) -> Result<EngineHandle, CommandError> {
        let mut listen = self.listen;
        listen.set_port(self.listen.port() + index);
        let id = match self.count {
            1 => self.id.clone(),
            _ => format!("{}-{}", self.id, index + 1),
        };
        let options = EngineOptions {
            id: EngineId::from(id),
            listen,
            seed: self.seed + u64::from(index),
            ..self.options()
        };
        let engine = EmulatedEngine::start(options).context(ServeSnafu { listen })?;
        log::info!("engine {} listens on {}", engine.id(), engine.address());
        Ok(engine)
    }

    fn options(&self) -> EngineOptions {
        let models = match self.model.is_empty() {
            true => EngineOptions::default().models,
            false => self
                .model
                .iter()
                .map(|name| ModelName::from(name.as_str()))
                .collect(),
        };
        EngineOptions {
            models,
            config: self.config(),
            mean_output_tokens: self.mean_output_tokens,
            max_waiting: self.max_waiting,
            load_lag: Duration::from_millis(self.load_lag_ms),
            event_delay: Duration::from_millis(self.event_delay_ms),
            retention: Duration::from_millis(self.retention_ms),
            tick: Duration::from_millis(self.tick_ms),
            weight_store: self.weight_store.clone(),
            load_delay: Duration::from_millis(self.load_delay_ms),
            ..EngineOptions::default()
        }
    }

    fn config(&self) -> EngineModelConfig {
        let cost = |micros: u64| Duration::from_micros(micros).div_f64(self.speed);
        EngineModelConfig {
            max_batch: self.max_batch,
            kv_blocks: self.kv_blocks,
            block_tokens: self.block_tokens,
            step_tokens: self.step_tokens,
            step_base: cost(self.step_base_us),
            step_per_decode: cost(self.step_per_decode_us),
            step_per_prefill_token: cost(self.step_per_prefill_token_us),
            lease_share: self.lease_share,
            transfer_per_block: cost(self.transfer_per_block_us),
            ..EngineModelConfig::default()
        }
    }
}

/// Serve tools.
#[derive(FromArgs)]
#[argh(subcommand, name = "tools")]
struct ToolsCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// seed of all that is drawn
    #[argh(option, default = "1")]
    seed: u64,
    /// median time of an answer, in milliseconds
    #[argh(option, default = "200.0")]
    median_ms: f64,
    /// spread of the time; 0 makes it constant
    #[argh(option, default = "0.5")]
    spread: f64,
    /// share of calls that are never answered
    #[argh(option, default = "0.0")]
    hang: f64,
    /// share of calls that fail
    #[argh(option, default = "0.0")]
    fail: f64,
}

impl ToolsCommand {
    fn run(self) -> Result<(), CommandError> {
        let listen = self.listen;
        let options = ToolOptions {
            listen,
            seed: self.seed,
            behaviour: ToolBehaviour {
                median_ms: self.median_ms,
                spread: self.spread,
                hang: self.hang,
                fail: self.fail,
            },
        };
        let tools = EmulatedTools::start(options).context(ServeSnafu { listen })?;
        log::info!("tools listen on {}", tools.address());
        tools.wait();
        Ok(())
    }
}

/// Serve model weights at a limited rate.
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
struct WeightsCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// bytes of any model
    #[argh(option, default = "8388608")]
    model_bytes: u64,
    /// bytes a second for all downloads together
    #[argh(option, default = "4194304")]
    bytes_per_second: u64,
}

impl WeightsCommand {
    fn run(self) -> Result<(), CommandError> {
        let listen = self.listen;
        let options = WeightOptions {
            listen,
            model_bytes: self.model_bytes,
            bytes_per_second: self.bytes_per_second,
        };
        let weights = EmulatedWeights::start(options).context(ServeSnafu { listen })?;
        log::info!("weights listen on {}", weights.address());
        weights.wait();
        Ok(())
    }
}

/// Serve the lagging list of members.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct MembersCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// age of the list, in milliseconds
    #[argh(option, default = "1000")]
    lag_ms: u64,
    /// file with a JSON list of the first members
    #[argh(option)]
    file: Option<PathBuf>,
}

impl MembersCommand {
    fn run(self) -> Result<(), CommandError> {
        let listen = self.listen;
        let options = MemberOptions {
            listen,
            lag: Duration::from_millis(self.lag_ms),
            members: self.read_members()?,
        };
        let members = EmulatedMembers::start(options).context(ServeSnafu { listen })?;
        log::info!("members listen on {}", members.address());
        members.wait();
        Ok(())
    }

    fn read_members(&self) -> Result<Vec<EngineMember>, CommandError> {
        let Some(file) = &self.file else {
            return Ok(Vec::new());
        };
        let text = std::fs::read_to_string(file).context(ReadFileSnafu { file })?;
        serde_json::from_str(&text).context(ParseFileSnafu { file })
    }
}
