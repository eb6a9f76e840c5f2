//! How long a node waits for engines, callers and other nodes.
//!
//! Invariant: a node that hears from its peers is never suspected, so
//! `suspect_after` spans several heartbeats, and the settings lease outlives a
//! missed renewal.

use std::time::Duration;

use toml::de::DeValue;

use crate::reader::{Section, string};
use crate::units::{format_duration, parse_duration};

/// Longest wait that may be set.
const LONGEST: Duration = Duration::from_secs(24 * 60 * 60);
/// Heartbeats that must fit into the time after which a node is suspected.
const HEARTBEATS_BEFORE_SUSPICION: u32 = 3;

/// How long a node waits for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeTimeouts {
    /// Time between two ticks of the node's systems.
    pub tick: Duration,
    /// Time between two heartbeats to a peer.
    pub heartbeat: Duration,
    /// Silence after which a peer is suspected to have failed.
    pub suspect_after: Duration,
    /// Shortest silence of a leader after which a replica stands for election.
    pub election: Duration,
    /// Life of a settings lease; a node whose lease has run out starts nothing new.
    pub settings_lease: Duration,
    /// Wait for a caller's headers and body.
    pub request_read: Duration,
    /// Silence of a caller that does not read its stream, after which it is cut off.
    pub caller_stall: Duration,
    /// Wait for a connection to an engine.
    pub engine_connect: Duration,
    /// Wait for the first byte of an engine's answer.
    pub engine_first_byte: Duration,
    /// Silence of an engine in the middle of a stream, after which it counts as failed.
    pub engine_stall: Duration,
    /// Life of a cache lease on an engine.
    pub cache_lease: Duration,
    /// Time between two looks at the list of engines.
    pub members_poll: Duration,
    /// Longest time a planned stop waits for streams to finish.
    pub drain: Duration,
}

impl Default for NodeTimeouts {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(10),
            heartbeat: Duration::from_millis(100),
            suspect_after: Duration::from_secs(2),
            election: Duration::from_millis(500),
            settings_lease: Duration::from_secs(8),
            request_read: Duration::from_secs(10),
            caller_stall: Duration::from_secs(30),
            engine_connect: Duration::from_secs(1),
            engine_first_byte: Duration::from_secs(60),
            engine_stall: Duration::from_secs(10),
            cache_lease: Duration::from_secs(30),
            members_poll: Duration::from_secs(1),
            drain: Duration::from_secs(120),
        }
    }
}

impl NodeTimeouts {
    /// Reads the table `[timeouts]`.
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let mut wait = |key, default: Duration| {
            let example = format!("\"{}\"", format_duration(default));
            section.take(key, &example, wait).unwrap_or(default)
        };
        let timeouts = Self {
            tick: wait("tick", default.tick),
            heartbeat: wait("heartbeat", default.heartbeat),
            suspect_after: wait("suspect_after", default.suspect_after),
            election: wait("election", default.election),
            settings_lease: wait("settings_lease", default.settings_lease),
            request_read: wait("request_read", default.request_read),
            caller_stall: wait("caller_stall", default.caller_stall),
            engine_connect: wait("engine_connect", default.engine_connect),
            engine_first_byte: wait("engine_first_byte", default.engine_first_byte),
            engine_stall: wait("engine_stall", default.engine_stall),
            cache_lease: wait("cache_lease", default.cache_lease),
            members_poll: wait("members_poll", default.members_poll),
            drain: wait("drain", default.drain),
        };
        timeouts.check(&section);
        section.finish();
        timeouts
    }

    fn check(&self, section: &Section<'_, '_>) {
        let line = Some(section.line());
        let least = self.heartbeat * HEARTBEATS_BEFORE_SUSPICION;
        for (key, value) in [
            ("suspect_after", self.suspect_after),
            ("election", self.election),
        ] {
            if value < least {
                let least = format_duration(least);
                let reason = format!("must be at least 3 heartbeats ({least})");
                section.fault(line, key, reason, &format!("\"{least}\""));
            }
        }
        if self.tick > self.heartbeat {
            let heartbeat = format_duration(self.heartbeat);
            let reason = format!("must not be longer than a heartbeat ({heartbeat})");
            section.fault(line, "tick", reason, "\"10ms\"");
        }
    }
}

fn wait(value: &DeValue<'_>) -> Result<Duration, String> {
    let text = string(value)?;
    let duration = parse_duration(&text)?;
    if duration < Duration::from_millis(1) || duration > LONGEST {
        return Err(format!("`{text}` is not within 1ms to 24h"));
    }
    Ok(duration)
}
