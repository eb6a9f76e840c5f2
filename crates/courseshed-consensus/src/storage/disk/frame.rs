//! Checksummed frames: the unit in which files are written, flushed and checked.
//!
//! Layout: magic, payload length, CRC-32 of length and payload (4 bytes each, little endian), then
//! the payload. Invariant: a frame is durable before the next is written, so an unreadable frame
//! with a readable one after it can't come from an unfinished write: it is damage.

use serde::Serialize;
use serde::de::DeserializeOwned;

const MAGIC: [u8; 4] = *b"CsFr";
/// Size of what stands before a frame's payload, in bytes.
pub const HEADER_BYTES: usize = 12;

/// Why bytes at some place are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadFrame {
    /// They end before the frame does.
    Short,
    /// They don't start with the magic.
    Magic,
    /// The checksum differs.
    Checksum,
}

impl BadFrame {
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::Short => "a record is cut short",
            Self::Magic => "a record does not start here",
            Self::Checksum => "a record's checksum differs",
        }
    }
}

/// Encodes a value as one frame.
///
/// # Panics
/// When the value can't be encoded, or is 4 GiB or more.
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

/// The whole size of a frame, in bytes, as its header tells; for files that are read piece by piece.
///
/// # Errors
/// [`BadFrame::Magic`] when no frame starts with this header.
pub fn size_told_by(header: &[u8; HEADER_BYTES]) -> Result<u64, BadFrame> {
    if header[..4] != MAGIC {
        return Err(BadFrame::Magic);
    }
    let length = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    Ok(HEADER_BYTES as u64 + u64::from(length))
}

/// The payload of the frame at the start of `bytes`, and the frame's whole size.
///
/// # Errors
/// [`BadFrame`] when no whole frame starts there.
pub fn split(bytes: &[u8]) -> Result<(&[u8], usize), BadFrame> {
    let (header, rest) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(BadFrame::Short)?;
    if header[..4] != MAGIC {
        return Err(BadFrame::Magic);
    }
    let length: [u8; 4] = [header[4], header[5], header[6], header[7]];
    let expected = u32::from_le_bytes([header[8], header[9], header[10], header[11]]);
    let size = u32::from_le_bytes(length) as usize;
    let payload = rest.get(..size).ok_or(BadFrame::Short)?;
    if checksum(&length, payload) != expected {
        return Err(BadFrame::Checksum);
    }
    Ok((payload, HEADER_BYTES + size))
}

/// Decodes a payload.
///
/// # Errors
/// What the decoder says of it.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(payload).map_err(|error| error.to_string())
}

/// Whether a whole frame starts anywhere in `bytes`.
pub(super) fn any_in(bytes: &[u8]) -> bool {
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
