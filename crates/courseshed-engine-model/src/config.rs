//! The sizes and costs of one modelled engine.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use std::time::Duration;

/// Sizes and costs of one engine.
///
/// A step computes one token of every decoding request and a share of the waiting prompts. It
/// lasts `step_base + decodes * step_per_decode + prefill tokens * step_per_prefill_token`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineModelConfig {
    /// Most requests that run at once.
    pub max_batch: usize,
    /// Blocks of KV memory.
    pub kv_blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Most tokens computed in one step, decodes and prompt chunks together.
    pub step_tokens: u32,
    /// The part of a step's duration that does not depend on the batch.
    pub step_base: Duration,
    /// What each decoding request adds to a step.
    pub step_per_decode: Duration,
    /// What each prompt token adds to a step.
    pub step_per_prefill_token: Duration,
    /// The largest share of `kv_blocks` that leases may hold, from 0 to below 1.
    pub lease_share: f64,
    /// Time to export or import one block; transfers share one link, one after another.
    pub transfer_per_block: Duration,
    /// Whether blocks stored and evicted are recorded for
    /// [`crate::EngineModel::take_cache_changes`].
    pub record_cache_changes: bool,
}

impl Default for EngineModelConfig {
    fn default() -> Self {
        EngineModelConfig {
            max_batch: 64,
            kv_blocks: 16_384,
            block_tokens: 16,
            step_tokens: 2_048,
            step_base: Duration::from_millis(12),
            step_per_decode: Duration::from_micros(150),
            step_per_prefill_token: Duration::from_micros(30),
            lease_share: 0.6,
            transfer_per_block: Duration::from_micros(100),
            record_cache_changes: false,
        }
    }
}

/// A configuration that no engine could run with.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field} {reason}"))]
pub struct ConfigError {
    field: &'static str,
    reason: &'static str,
}

impl EngineModelConfig {
    /// Checks that an engine of these sizes can make progress.
    pub fn check(&self) -> Result<(), ConfigError> {
        positive(self.max_batch as u64, "max_batch")?;
        positive(self.kv_blocks as u64, "kv_blocks")?;
        positive(u64::from(self.block_tokens), "block_tokens")?;
        positive(self.step_base.as_nanos() as u64, "step_base")?;
        ensure!(
            u64::from(self.step_tokens) > self.max_batch as u64,
            ConfigSnafu {
                field: "step_tokens",
                reason: "must exceed max_batch, or a full batch leaves no room for prompts",
            }
        );
        ensure!(
            (0.0..1.0).contains(&self.lease_share),
            ConfigSnafu {
                field: "lease_share",
                reason: "must be at least 0 and below 1, or leases could block all requests",
            }
        );
        Ok(())
    }

    /// The most blocks that leases may hold together.
    pub fn lease_limit(&self) -> usize {
        (self.kv_blocks as f64 * self.lease_share) as usize
    }

    /// Blocks that hold `tokens` tokens, the last one perhaps partly.
    pub(crate) fn blocks_for(&self, tokens: u64) -> usize {
        tokens.div_ceil(u64::from(self.block_tokens)) as usize
    }
}

fn positive(value: u64, field: &'static str) -> Result<(), ConfigError> {
    ensure!(
        value > 0,
        ConfigSnafu {
            field,
            reason: "must be above 0",
        }
    );
    Ok(())
}
