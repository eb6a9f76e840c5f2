//! Checksummed frames: the unit in which files are written, flushed and verified.
//!
//! Layout: magic, payload length, CRC-32 of length and payload (4 bytes each, little endian), then
//! the payload. Invariant: a frame is durable before the next is written, so an invalid frame
//! followed by a valid one is corruption, not an incomplete write.

use serde::Serialize;
use serde::de::DeserializeOwned;

const MAGIC: [u8; 4] = *b"CsFr";
/// Size of a frame's header in bytes.
pub const HEADER_BYTES: usize = 12;

/// Why bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The data ends before the frame does.
    Truncated,
    /// The data doesn't start with the magic number.
    InvalidMagic,
    /// The checksum doesn't match.
    ChecksumMismatch,
}

impl FrameError {
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::Truncated => "truncated record",
            Self::InvalidMagic => "no record header",
            Self::ChecksumMismatch => "record checksum mismatch",
        }
    }
}

/// Encodes a value as one frame.
///
/// # Panics
/// If the value can't be encoded, or its encoding is 4 GiB or larger.
#[must_use]
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let payload = rmp_serde::to_vec(value).expect("log records can always be encoded");
    let length = u32::try_from(payload.len()).expect("a frame is smaller than 4 GiB");
    let length = length.to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&checksum(&length, &payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    frame
}

/// The total size of a frame in bytes according to its header, for reading a file incrementally.
///
/// # Errors
/// [`FrameError::InvalidMagic`] if this is not a frame header.
pub fn size_told_by(header: &[u8; HEADER_BYTES]) -> Result<u64, FrameError> {
    if header[..4] != MAGIC {
        return Err(FrameError::InvalidMagic);
    }
    let length = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    Ok(HEADER_BYTES as u64 + u64::from(length))
}

/// The payload of the frame at the start of `bytes`, and the frame's total size.
///
/// # Errors
/// [`FrameError`] if `bytes` doesn't start with a complete, valid frame.
pub fn split(bytes: &[u8]) -> Result<(&[u8], usize), FrameError> {
    let (header, rest) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(FrameError::Truncated)?;
    if header[..4] != MAGIC {
        return Err(FrameError::InvalidMagic);
    }
    let length: [u8; 4] = [header[4], header[5], header[6], header[7]];
    let expected = u32::from_le_bytes([header[8], header[9], header[10], header[11]]);
    let size = u32::from_le_bytes(length) as usize;
    let payload = rest.get(..size).ok_or(FrameError::Truncated)?;
    if checksum(&length, payload) != expected {
        return Err(FrameError::ChecksumMismatch);
    }
    Ok((payload, HEADER_BYTES + size))
}

/// Decodes a payload.
///
/// # Errors
/// The decoder's error message.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(payload).map_err(|error| error.to_string())
}

/// Whether `bytes` contains a complete, valid frame at any offset.
pub(super) fn contains_frame(bytes: &[u8]) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate();
    let mut candidates = starts
        .filter(|(_, window)| *window == MAGIC)
        .map(|(start, _)| start);
    candidates.any(|start| split(&bytes[start..]).is_ok())
}

fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}
