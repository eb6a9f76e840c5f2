//! Derives the key that ties the attempts of a client at one request together.
//!
//! Clients give each attempt an ID of its own, and change the time that is left and the last event that they have.
//! The key covers what stays: what is asked, and for whom.

use courseshed_types::RequestKey;
use xxhash_rust::xxh3::Xxh3;

use super::call::GatewayRequest;

/// The key of a request; tenants and programs that send the same text have different keys.
#[must_use]
pub fn request_key(call: &GatewayRequest, tenant: Option<&str>) -> RequestKey {
    let program = call
        .program
        .as_ref()
        .map(|program| program.program.as_str());
    let mut hash = Xxh3::new();
    for field in [
        tenant,
        Some(&call.method),
        Some(&call.host),
        Some(&call.target),
        program,
        call.affinity_key.as_deref(),
        call.previous_turn.as_deref(),
    ] {
        add_field(&mut hash, field.map(str::as_bytes));
    }
    for part in &call.prompt {
        hash.update(&part.id.to_le_bytes());
    }
    add_field(&mut hash, Some(&call.body));
    RequestKey(hash.digest())
}

/// Adds a field with its length, so that different fields never give the same bytes.
fn add_field(hash: &mut Xxh3, field: Option<&[u8]>) {
    let length = field.map_or(u64::MAX, |bytes| bytes.len() as u64);
    hash.update(&length.to_le_bytes());
    hash.update(field.unwrap_or_default());
}
