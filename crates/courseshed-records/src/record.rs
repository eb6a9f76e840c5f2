//! What replicas write down and send each other.

use bytes::Bytes;
use courseshed_types::CachedPrompt;
use serde::{Deserialize, Serialize};

/// A kept turn. Never changed once written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Request id of the call that made it.
    pub id: String,
    /// The turn it goes on from.
    pub previous: Option<String>,
    /// The tenant whose turn it is; none where calls need no key.
    #[serde(default)]
    pub tenant: Option<String>,
    /// What the caller sent.
    pub input: Bytes,
    /// What the engine answered: the data of each event with a line feed behind.
    pub output: Bytes,
    /// The server that made it, and what that held of the prompt then: a hint for the turns that go
    /// on from this one. None in records written before it was noted.
    #[serde(default)]
    pub cached: Option<CachedPrompt>,
}

/// What a replica writes down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Tokens are set aside for a call of a program.
    Reserve {
        /// The program.
        program: String,
        /// Names the reservation among those of the program.
        reservation: u64,
        /// The most that the call may generate.
        most: u32,
        /// How long the program is kept from now on, in milliseconds.
        keep_ms: u64,
    },
    /// A call was given fewer tokens than were set aside, or none.
    Settle {
        /// The program.
        program: String,
        /// The reservation.
        reservation: u64,
        /// Tokens that were given.
        given: u32,
        /// How long the program is kept from now on, in milliseconds. 0 in records written before it
        /// was noted.
        #[serde(default)]
        keep_ms: u64,
    },
    /// A turn was answered whole.
    Keep {
        /// The turn.
        turn: Turn,
        /// How long it is kept with its chain from now on, in milliseconds.
        keep_ms: u64,
    },
    /// The replica has moved to an epoch and refuses older ones.
    Epoch(u64),
}

/// What a record says of a reservation: both kinds say how many tokens it counts at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReservationRecord<'a> {
    /// The program.
    pub program: &'a str,
    /// The reservation.
    pub reservation: u64,
    /// Tokens that were set aside, or given.
    pub tokens: u32,
    /// How long the program is kept from now on, in milliseconds.
    pub keep_ms: u64,
}

impl Record {
    /// What it says of a reservation; none if it is about something else.
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
            Self::Keep { .. } | Self::Epoch(_) => None,
        }
    }
}

/// One reservation as a replica knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserved {
    /// Its name.
    pub reservation: u64,
    /// What it counts: what was given once settled, the most before.
    pub tokens: u32,
}

/// Where an export goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportCursor {
    /// All programs up to this one were exported.
    pub program: Option<String>,
    /// All programs, and turns up to this one, were exported.
    pub turn: Option<String>,
}

/// A piece of an export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportPage {
    /// Records to be taken in.
    pub records: Vec<Record>,
    /// Where to go on; none at the end.
    pub next: Option<ExportCursor>,
}
