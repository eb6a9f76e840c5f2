//! Splits a byte stream into server-sent events. No I/O.

use bytes::{Bytes, BytesMut};

/// A complete event, with its original bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// All bytes, including the terminating empty line.
    pub bytes: Bytes,
    /// The event ID.
    pub id: Option<u64>,
    /// The data lines, joined by line feeds; `None` if there are none.
    pub data: Option<Vec<u8>>,
}

/// Incremental parser that turns chunks of bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends a chunk of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        Some(read_event(bytes))
    }

    /// Capacity of the internal buffer, in bytes.
    #[must_use]
    pub fn held(&self) -> usize {
        self.buffer.capacity()
    }

    /// Bytes of the incomplete event at the end of the buffer.
    #[must_use]
    pub fn partial(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer ends with an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Length of the first event, including the terminating empty line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn read_event(bytes: Bytes) -> Event {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"id:") {
            id = std::str::from_utf8(value)
                .ok()
                .and_then(|text| text.trim().parse().ok());
        } else if let Some(value) = field(line, b"data:") {
            match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            }
        }
    }
    Event { bytes, id, data }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
