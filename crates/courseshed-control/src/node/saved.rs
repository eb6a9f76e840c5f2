//! Serialization of the policy and member map that a node persists across restarts.
//!
//! Persisted settings avoid a full download and provide controller addresses. They are not used for new work before
//! the first lease, so an outdated or missing file is safe.

use crate::publish::Published;

/// Encodes the state to persist; empty if encoding fails.
pub(super) fn encode(published: &Published) -> Vec<u8> {
    rmp_serde::to_vec(published).unwrap_or_default()
}

/// Decodes persisted state; `None` if the bytes can't be decoded.
pub(super) fn decode(bytes: &[u8]) -> Option<Published> {
    rmp_serde::from_slice(bytes).ok()
}
