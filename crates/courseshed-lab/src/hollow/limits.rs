//! What control may cost a node at the size the project is designed for; see CONTRIBUTING.md.

use serde::Serialize;

/// The limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ControlLimits {
    /// Bytes sent and received in a second.
    pub bytes_per_second: f64,
    /// Percent of a core.
    pub processor_percent: f64,
    /// Megabytes.
    pub memory_megabytes: f64,
    /// Seconds from accepted to in force everywhere.
    pub in_force_seconds: f64,
}

impl Default for ControlLimits {
    fn default() -> ControlLimits {
        ControlLimits {
            bytes_per_second: 14_000.0,
            processor_percent: 2.8,
            memory_megabytes: 64.0,
            in_force_seconds: 12.0,
        }
    }
}
