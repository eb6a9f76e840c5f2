//! In-memory index of the records of one replica. Performs no I/O; the caller passes times in and
//! reads and writes the files.
//!
//! Invariant: memory grows with the number of stored programs and turns, not with the size of the
//! turns. The input and output of a turn are only in the files, at its [`Location`].

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::chain::ChainRest;
use crate::gaps::{Gaps, MissingTurn};
use crate::record::ReservationRecord;
use crate::{ExportCursor, Record, Reserved};

/// Maximum number of turns followed in a chain. Guards against cycles from damaged records.
pub(crate) const MAX_CHAIN_LENGTH: usize = 4096;
/// A repeated record is not written again if it extends the expiry by at most this much. Imports
/// from several replicas see clock skew and transfer delays as small extensions, which retention
/// periods leave ample margin for.
const EXPIRY_TOLERANCE_MS: u64 = 2_000;
/// Size of a stored reservation beyond the program's name: frame header, time and numbers.
const RESERVATION_FRAME_BYTES: u32 = 48;

/// Number of a segment file. Increases with each new file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentNumber(pub u64);

/// Position of a record in the files of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Location {
    /// The segment.
    pub segment: SegmentNumber,
    /// Offset of its frame in bytes.
    pub offset: u64,
    /// Size of its frame in bytes.
    pub length: u32,
}

/// Reasons why a chain of turns cannot be returned.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ChainError {
    /// The requested turn is not stored.
    #[snafu(display("turn {id:?} is not stored"))]
    Missing {
        /// Id of the turn.
        id: String,
    },
    /// An ancestor of the requested turn is not stored.
    #[snafu(display("ancestor turn {id:?} is not stored"))]
    Broken {
        /// Id of the missing turn.
        id: String,
    },
}

/// Key of a stored entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryKey {
    /// A reservation of a program.
    Reservation {
        /// The program.
        program: String,
        /// Id of the reservation.
        reservation: u64,
    },
    /// A turn.
    Turn {
        /// Id of the turn.
        id: String,
    },
}

/// A stored entry to be compacted or exported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredEntry {
    /// A complete record.
    Reservation(Record),
    /// A turn, whose content must be read from the files.
    Turn {
        /// Position of the turn.
        location: Location,
        /// Remaining retention in milliseconds.
        keep_ms: u64,
    },
}

/// A page of stored entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPage {
    /// Entries in cursor order.
    pub entries: Vec<StoredEntry>,
    /// Cursor of the next page; `None` after the last one.
    pub next: Option<ExportCursor>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reservation {
    tokens: u32,
    segment: SegmentNumber,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Program {
    reservations: BTreeMap<u64, Reservation>,
    expires_ms: u64,
    /// When its newest record was received.
    received_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredTurn {
    previous: Option<String>,
    location: Location,
    expires_ms: u64,
    /// When its newest record was received.
    received_ms: u64,
}

/// In-memory index of the records of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordReplica {
    epoch: u64,
    programs: BTreeMap<String, Program>,
    turns: BTreeMap<String, StoredTurn>,
    gaps: Gaps,
}

impl RecordReplica {
    /// The newest epoch that the replica has adopted.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of stored programs and turns.
    #[must_use]
    pub fn len(&self) -> usize {
        self.programs.len() + self.turns.len()
    }

    /// Number of stored turns.
    #[must_use]
    pub fn turns(&self) -> usize {
        self.turns.len()
    }

    /// Number of stored reservations of all programs.
    #[must_use]
    pub fn reservations(&self) -> usize {
        let programs = self.programs.values();
        programs.map(|program| program.reservations.len()).sum()
    }

    /// Whether nothing is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Indexes a record stored at a location. Idempotent and commutative.
    ///
    /// `at_ms` is the wall-clock time at which the record was received.
    pub fn apply(&mut self, at_ms: u64, record: &Record, location: Location) {
        if let Some(update) = record.reservation() {
            let program = self.programs.entry(update.program.to_owned()).or_default();
            program.apply(&update, at_ms, location.segment);
        }
        match record {
            Record::StoreTurn { turn, keep_ms } => {
                let stored = StoredTurn {
                    previous: turn.previous.clone(),
                    location,
                    expires_ms: at_ms + keep_ms,
                    received_ms: at_ms,
                };
                self.store_turn(&turn.id, stored);
            }
            Record::Epoch(epoch) => self.epoch = self.epoch.max(*epoch),
            Record::Reserve { .. } | Record::Settle { .. } => {}
        }
    }

    /// Whether applying a record would change nothing, so that it need not be written.
    #[must_use]
    pub fn is_redundant(&self, at_ms: u64, record: &Record) -> bool {
        if let Some(update) = record.reservation() {
            let program = self.programs.get(update.program);
            return program.is_some_and(|program| program.covers(&update, at_ms));
        }
        match record {
            Record::StoreTurn { turn, keep_ms } => {
                let stored = self.turns.get(&turn.id);
                stored.is_some_and(|stored| lasts_until(stored.expires_ms, at_ms + keep_ms))
            }
            Record::Epoch(epoch) => self.epoch >= *epoch,
            Record::Reserve { .. } | Record::Settle { .. } => false,
        }
    }

    /// Remaining retention of a program in milliseconds; 0 if it is not stored.
    #[must_use]
    pub fn program_retention_ms(&self, program: &str, now_ms: u64) -> u64 {
        let program = self.programs.get(program);
        program.map_or(0, |program| program.expires_ms.saturating_sub(now_ms))
    }

    /// The reservations of a program.
    #[must_use]
    pub fn reserved(&self, program: &str) -> Vec<Reserved> {
        let Some(program) = self.programs.get(program) else {
            return Vec::new();
        };
        let entries = program.reservations.iter();
        entries
            .map(|(reservation, stored)| Reserved {
                reservation: *reservation,
                tokens: stored.tokens,
            })
            .collect()
    }

    /// Locations of a turn and all of its ancestors, the oldest first.
    ///
    /// # Errors
    /// [`ChainError`] if one of them is not stored.
    pub fn chain(&self, id: &str) -> Result<Vec<Location>, ChainError> {
        let (mut chain, rest) = self.chain_part(id, MAX_CHAIN_LENGTH);
        match rest {
            ChainRest::End => {
                chain.reverse();
                Ok(chain)
            }
            ChainRest::Missing(id) | ChainRest::Omitted(id) if chain.is_empty() => {
                Err(ChainError::Missing { id })
            }
            ChainRest::Missing(id) | ChainRest::Omitted(id) => Err(ChainError::Broken { id }),
        }
    }

    /// Locations of a turn and its ancestors, the newest first, up to the first one that is not stored,
    /// at most `max_turns`.
    #[must_use]
    pub fn chain_part(&self, id: &str, max_turns: usize) -> (Vec<Location>, ChainRest) {
        let max_turns = max_turns.min(MAX_CHAIN_LENGTH);
        let mut part = Vec::new();
        let mut next = Some(id.to_owned());
        while let Some(id) = next {
            let Some(stored) = self.turns.get(&id) else {
                return (part, ChainRest::Missing(id));
            };
            if part.len() >= max_turns {
                return (part, ChainRest::Omitted(id));
            }
            next = stored.previous.clone();
            part.push(stored.location);
        }
        (part, ChainRest::End)
    }

    /// Number of missing turns whose descendants are stored.
    #[must_use]
    pub fn gaps(&self) -> usize {
        self.gaps.len()
    }

    /// Starts an attempt to fetch missing turns whose descendants are stored, and returns those that are due.
    pub fn start_repairs(&mut self, now_ms: u64, limit: usize) -> Vec<MissingTurn> {
        self.gaps.start_repairs(now_ms, limit)
    }

    /// Forgets the gaps, which the simulation injects as a defect.
    pub(crate) fn forget_gaps(&mut self) {
        self.gaps = Gaps::default();
    }

    /// Removes expired programs and turns.
    pub fn expire(&mut self, now_ms: u64) {
        self.programs
            .retain(|_, program| program.expires_ms > now_ms);
        self.turns.retain(|_, stored| stored.expires_ms > now_ms);
        self.gaps.expire(now_ms);
    }

    /// A page of about `limit_bytes` of the stored entries, for another replica that lacks some of them.
    #[must_use]
    pub fn export(&self, now_ms: u64, cursor: &ExportCursor, limit_bytes: usize) -> EntryPage {
        let mut entries = Vec::new();
        let mut size = 0;
        let mut position = cursor.clone();
        let since_ms = now_ms.saturating_sub(cursor.max_age_ms.unwrap_or(now_ms));
        if cursor.turn.is_none() {
            let after = cursor
                .program
                .clone()
                .map_or(Bound::Unbounded, Bound::Excluded);
            let programs = self.programs.range::<String, _>((after, Bound::Unbounded));
            for (id, program) in programs.filter(|(_, program)| program.received_ms >= since_ms) {
                if size >= limit_bytes {
                    return EntryPage {
                        entries,
                        next: Some(position),
                    };
                }
                let reservations = program.reservations.iter();
                entries.extend(reservations.map(|(reservation, stored)| {
                    StoredEntry::Reservation(program.record(id, *reservation, stored, now_ms))
                }));
                size += program.reservations.len() * reservation_bytes(id) as usize;
                position.program = Some(id.clone());
            }
        }
        let after = cursor
            .turn
            .clone()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let turns = self.turns.range::<String, _>((after, Bound::Unbounded));
        for (id, stored) in turns.filter(|(_, stored)| stored.received_ms >= since_ms) {
            if size >= limit_bytes {
                position.turn.get_or_insert_default();
                return EntryPage {
                    entries,
                    next: Some(position),
                };
            }
            size += stored.location.length as usize;
            entries.push(stored.entry(now_ms));
            position.turn = Some(id.clone());
        }
        EntryPage {
            entries,
            next: None,
        }
    }

    /// Reports the segment and size in bytes of each live record to `count`.
    pub fn for_each_live_record(&self, mut count: impl FnMut(SegmentNumber, u64)) {
        for (id, program) in &self.programs {
            let bytes = u64::from(reservation_bytes(id));
            for stored in program.reservations.values() {
                count(stored.segment, bytes);
            }
        }
        for stored in self.turns.values() {
            count(stored.location.segment, u64::from(stored.location.length));
        }
    }

    /// Keys of the entries whose live record is in a segment.
    #[must_use]
    pub fn keys_in_segment(&self, segment: SegmentNumber) -> Vec<EntryKey> {
        let programs = self.programs.iter();
        let reservations = programs.flat_map(|(id, program)| {
            let reservations = program.reservations.iter();
            reservations
                .filter(|(_, stored)| stored.segment == segment)
                .map(|(reservation, _)| EntryKey::Reservation {
                    program: id.clone(),
                    reservation: *reservation,
                })
        });
        let turns = self.turns.iter();
        let turns = turns
            .filter(|(_, stored)| stored.location.segment == segment)
            .map(|(id, _)| EntryKey::Turn { id: id.clone() });
        reservations.chain(turns).collect()
    }

    /// The entry of a key, if its live record is still in the segment.
    #[must_use]
    pub fn entry_in_segment(
        &self,
        segment: SegmentNumber,
        key: &EntryKey,
        now_ms: u64,
    ) -> Option<StoredEntry> {
        match key {
            EntryKey::Reservation {
                program: id,
                reservation,
            } => {
                let program = self.programs.get(id)?;
                let stored = program.reservations.get(reservation)?;
                let record = || program.record(id, *reservation, stored, now_ms);
                (stored.segment == segment).then(|| StoredEntry::Reservation(record()))
            }
            EntryKey::Turn { id } => {
                let stored = self.turns.get(id)?;
                (stored.location.segment == segment).then(|| stored.entry(now_ms))
            }
        }
    }

    /// Updates the location of an entry's live record after it was copied.
    pub fn relocate(&mut self, key: &EntryKey, location: Location) {
        match key {
            EntryKey::Reservation {
                program,
                reservation,
            } => {
                let program = self.programs.get_mut(program);
                let stored = program.and_then(|program| program.reservations.get_mut(reservation));
                if let Some(stored) = stored {
                    stored.segment = location.segment;
                }
            }
            EntryKey::Turn { id } => {
                if let Some(stored) = self.turns.get_mut(id) {
                    stored.location = location;
                }
            }
        }
    }

    /// Records a turn and extends the retention of its ancestors. Of repeated turns the record with
    /// the latest expiry is the live one, since it must not be lost.
    fn store_turn(&mut self, id: &str, new: StoredTurn) {
        let (expires_ms, location) = (new.expires_ms, new.location);
        let at_ms = new.received_ms;
        let mut ancestor = new.previous.clone();
        let stored = self.turns.entry(id.to_owned()).or_insert(new);
        if expires_ms > stored.expires_ms {
            stored.expires_ms = expires_ms;
            stored.location = location;
        }
        stored.received_ms = stored.received_ms.max(at_ms);
        // Descendants that were stored before the turn need it as long as they last.
        let closed = self.gaps.close(id);
        if let Some(closed) = closed {
            stored.expires_ms = stored.expires_ms.max(closed.expires_ms);
        }
        let expires_ms = stored.expires_ms;
        while let Some(id) = ancestor {
            let Some(stored) = self.turns.get_mut(&id) else {
                match closed {
                    Some(closed) => self.gaps.reopen(&id, at_ms, expires_ms, closed),
                    None => self.gaps.open(&id, at_ms, expires_ms),
                }
                return;
            };
            if stored.expires_ms >= expires_ms {
                return;
            }
            stored.expires_ms = expires_ms;
            ancestor = stored.previous.clone();
        }
    }
}

impl Program {
    /// Lowers the reservation to the tokens of the record, so the order of records does not matter.
    ///
    /// The live record is the newest one that retains the program long enough and states no more
    /// tokens than known. A record that alone retains the program long enough becomes live even if
    /// it states more tokens: overcounting after a restart denies tokens to the program, whereas
    /// forgetting the program early could exceed its budget.
    fn apply(&mut self, update: &ReservationRecord<'_>, at_ms: u64, segment: SegmentNumber) {
        let expires_ms = at_ms + update.keep_ms;
        let lasts_long_enough = lasts_until(expires_ms, self.expires_ms);
        let extends_expiry = !lasts_until(self.expires_ms, expires_ms);
        self.expires_ms = self.expires_ms.max(expires_ms);
        self.received_ms = self.received_ms.max(at_ms);
        let tokens = update.tokens;
        let stored = self
            .reservations
            .entry(update.reservation)
            .or_insert(Reservation { tokens, segment });
        if extends_expiry || lasts_long_enough && tokens <= stored.tokens {
            stored.segment = segment;
        }
        stored.tokens = stored.tokens.min(tokens);
    }

    fn covers(&self, update: &ReservationRecord<'_>, at_ms: u64) -> bool {
        let stored = self.reservations.get(&update.reservation);
        stored.is_some_and(|stored| stored.tokens <= update.tokens)
            && lasts_until(self.expires_ms, at_ms + update.keep_ms)
    }

    fn record(&self, id: &str, reservation: u64, stored: &Reservation, now_ms: u64) -> Record {
        Record::Reserve {
            program: id.to_owned(),
            reservation,
            most: stored.tokens,
            keep_ms: self.expires_ms.saturating_sub(now_ms),
        }
    }
}

impl StoredTurn {
    fn entry(&self, now_ms: u64) -> StoredEntry {
        StoredEntry::Turn {
            location: self.location,
            keep_ms: self.expires_ms.saturating_sub(now_ms),
        }
    }
}

fn reservation_bytes(program: &str) -> u32 {
    u32::try_from(program.len()).unwrap_or(u32::MAX / 2) + RESERVATION_FRAME_BYTES
}

/// Whether an expiry is at least the wanted one, within [`EXPIRY_TOLERANCE_MS`].
fn lasts_until(expires_ms: u64, wanted_ms: u64) -> bool {
    expires_ms + EXPIRY_TOLERANCE_MS >= wanted_ms
}
