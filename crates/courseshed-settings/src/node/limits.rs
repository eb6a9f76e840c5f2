//! Bounds on what a node takes in at once, so that no caller can exhaust it.

use crate::reader::{Section, integer_within, string};
use crate::units::parse_size;
use toml::de::DeValue;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
/// Least value of a size: below it not even an empty call fits.
const LEAST_BYTES: u64 = KIB;
/// Greatest value of a size: above it one call could fill a small machine.
const MOST_BYTES: u64 = 1 << 30;
/// Greatest value of a count.
const MOST_COUNT: u64 = 1_000_000;

/// Bounds on what a node takes in at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLimits {
    /// Largest request body, in bytes; a larger one is answered with 413.
    pub body_bytes: u64,
    /// Largest answer of an engine that is kept, in bytes.
    pub answer_bytes: u64,
    /// Bytes of one stream held for a caller that reads slowly.
    pub stream_buffer_bytes: u64,
    /// Callers' connections open at once.
    pub connections: u32,
    /// Streams open at once.
    pub streams: u32,
    /// Calls waiting in one dispatcher; further ones are shed with 503.
    pub waiting_calls: u32,
    /// Programs kept by one shard; further ones are shed with 503.
    pub programs_per_shard: u32,
}

impl Default for NodeLimits {
    fn default() -> Self {
        Self {
            body_bytes: 8 * MIB,
            answer_bytes: 4 * MIB,
            stream_buffer_bytes: 256 * KIB,
            connections: 8_192,
            streams: 4_096,
            waiting_calls: 10_000,
            programs_per_shard: 20_000,
        }
    }
}

impl NodeLimits {
    /// Reads the table `[limits]`.
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let mut size = |key, default| section.take(key, "\"8MiB\"", size).unwrap_or(default);
        let body_bytes = size("body_size", default.body_bytes);
        let answer_bytes = size("answer_size", default.answer_bytes);
        let stream_buffer_bytes = size("stream_buffer", default.stream_buffer_bytes);
        let mut count = |key, default| section.take(key, "4096", count).unwrap_or(default);
        let connections = count("connections", default.connections);
        let streams = count("streams", default.streams);
        let waiting_calls = count("waiting_calls", default.waiting_calls);
        let programs_per_shard = count("programs_per_shard", default.programs_per_shard);
        section.finish();
        Self {
            body_bytes,
            answer_bytes,
            stream_buffer_bytes,
            connections,
            streams,
            waiting_calls,
            programs_per_shard,
        }
    }
}

fn size(value: &DeValue<'_>) -> Result<u64, String> {
    let text = string(value)?;
    let bytes = parse_size(&text)?;
    if (LEAST_BYTES..=MOST_BYTES).contains(&bytes) {
        return Ok(bytes);
    }
    Err(format!("`{text}` is not within 1KiB to 1GiB"))
}

fn count(value: &DeValue<'_>) -> Result<u32, String> {
    let number = integer_within(value, 1, MOST_COUNT)?;
    u32::try_from(number).map_err(|error| error.to_string())
}
