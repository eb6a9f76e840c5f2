//! Encodes a value by position, as bytes within a message whose fields are otherwise named.
//!
//! Messages between replicas are most of what an idle node sends; names of fields would be most of their bytes.
//! For `#[serde(with = "compact")]`; only for types without flattened or skipped fields.

use bytes::Bytes;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{DeserializeOwned, Error as _},
    ser::Error as _,
};

/// Writes the value as bytes.
///
/// # Errors
/// When the value can't be encoded.
pub fn serialize<T: Serialize, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    let bytes = rmp_serde::to_vec(value).map_err(S::Error::custom)?;
    Bytes::from(bytes).serialize(serializer)
}

/// Reads the value from bytes.
///
/// # Errors
/// When the bytes are not such a value.
pub fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: DeserializeOwned,
    D: Deserializer<'de>,
{
    let bytes = Bytes::deserialize(deserializer)?;
    rmp_serde::from_slice(&bytes).map_err(D::Error::custom)
}
