//! What a node keeps over a restart: its newest policy and map.
//!
//! Kept settings spare the node a download of everything and tell it where controllers were; they are not served
//! before the first lease, so a file that is old, or missing, does no harm.

use crate::publish::Published;

/// The bytes to keep; empty if they can't be written.
pub(super) fn write(published: &Published) -> Vec<u8> {
    rmp_serde::to_vec(published).unwrap_or_default()
}

/// What was kept; none if the bytes are not readable.
pub(super) fn read(bytes: &[u8]) -> Option<Published> {
    rmp_serde::from_slice(bytes).ok()
}
