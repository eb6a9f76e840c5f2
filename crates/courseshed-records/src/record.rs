//! Record types that replicas persist and exchange.

use bytes::Bytes;
use courseshed_types::CachedPrompt;
use serde::{Deserialize, Serialize};

/// A stored turn of a conversation. Immutable once written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Id of the request that produced it.
    pub id: String,
    /// Id of the turn it continues.
    pub previous: Option<String>,
    /// Tenant that owns the turn; `None` where requests need no key.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Input sent by the caller.
    pub input: Bytes,
    /// Output of the engine: the data of each event, followed by a line feed.
    pub output: Bytes,
    /// The server that produced the turn and the prompt parts it had cached, as a routing hint for
    /// the turns that continue this one. `None` in records of older versions.
    #[serde(default)]
    pub cached: Option<CachedPrompt>,
    /// The regions that the turn must not leave; empty without a restriction.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<String>,
}

impl Turn {
    /// Size of the input and output in bytes.
    #[must_use]
    pub fn content_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// An entry of a replica's journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Tokens are reserved for a call of a program.
    Reserve {
        /// The program.
        program: String,
        /// Id of the reservation, unique within the program.
        reservation: u64,
        /// Maximum number of tokens that the call may generate.
        most: u32,
        /// How long to retain the program, in milliseconds from now.
        keep_ms: u64,
    },
    /// A call finished and used at most the tokens reserved for it.
    Settle {
        /// The program.
        program: String,
        /// The reservation.
        reservation: u64,
        /// Tokens used.
        given: u32,
        /// How long to retain the program, in milliseconds from now. 0 in records of older
        /// versions.
        #[serde(default)]
        keep_ms: u64,
    },
    /// A turn was completed.
    #[serde(rename = "Keep")]
    StoreTurn {
        /// The turn.
        turn: Turn,
        /// How long to retain the turn and its ancestors, in milliseconds from now.
        keep_ms: u64,
    },
    /// The replica adopted an epoch and rejects older ones.
    Epoch(u64),
}

/// Common view of [`Record::Reserve`] and [`Record::Settle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReservationRecord<'a> {
    pub program: &'a str,
    pub reservation: u64,
    /// Tokens reserved, or used once settled.
    pub tokens: u32,
    /// How long to retain the program, in milliseconds from now.
    pub keep_ms: u64,
}

impl Record {
    /// The reservation that the record is about, if it is about one.
    pub(crate) fn reservation(&self) -> Option<ReservationRecord<'_>> {
        match self {
            Self::Reserve {
                program,
                reservation,
                most: tokens,
                keep_ms,
            }
            | Self::Settle {
                program,
                reservation,
                given: tokens,
                keep_ms,
            } => Some(ReservationRecord {
                program,
                reservation: *reservation,
                tokens: *tokens,
                keep_ms: *keep_ms,
            }),
            Self::StoreTurn { .. } | Self::Epoch(_) => None,
        }
    }
}

/// A reservation as known to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserved {
    /// Id of the reservation.
    pub reservation: u64,
    /// Tokens used if the reservation is settled, tokens reserved otherwise.
    pub tokens: u32,
}

/// Position at which an export resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportCursor {
    /// The last exported program.
    pub program: Option<String>,
    /// The last exported turn. If set, all programs have been exported.
    pub turn: Option<String>,
    /// Age in milliseconds of the oldest records to export; of a program that was updated since, all
    /// reservations are exported. `None` for all records. Ignored by older versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_age_ms: Option<u64>,
}

/// A page of an export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportPage {
    /// Records to apply.
    pub records: Vec<Record>,
    /// Cursor of the next page; `None` after the last one.
    pub next: Option<ExportCursor>,
}
