//! The tables of one replica: an index of what its files hold. Pure: times are passed in, and reading
//! and writing the files is the caller's.
//!
//! Invariant: memory grows with the number of programs and turns that are kept, never with the size
//! of the turns. A turn's input and output stand in the files alone, at its [`Location`].

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::record::ReservationRecord;
use crate::{ExportCursor, Record, Reserved};

/// Longest chain of turns that is followed; a guard against a damaged record.
const MAX_CHAIN: usize = 4096;
/// A repeated record that would keep something this little longer isn't worth writing: retention has
/// a margin of several times as much, and whoever imports from several replicas sees their clocks'
/// differences and the time that pages take as small extensions.
const EXPIRY_GRAIN_MS: u64 = 2_000;
/// What a reservation takes in a file beside the program's name: header of the frame, time, numbers.
const RESERVATION_FRAME_BYTES: u32 = 48;

/// Names a file of a store. Grows with each new file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentNumber(pub u64);

/// Where a record stands in the files of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Location {
    /// The file.
    pub segment: SegmentNumber,
    /// Where its frame begins, in bytes.
    pub offset: u64,
    /// Size of its frame, in bytes.
    pub length: u32,
}

/// Why a chain can't be given.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ChainError {
    /// The turn asked for is not here.
    #[snafu(display("turn {id:?} is not kept here"))]
    Missing {
        /// The turn.
        id: String,
    },
    /// A turn that it goes on from is not here.
    #[snafu(display("turn {id:?} of the chain is not kept here"))]
    Broken {
        /// The missing turn.
        id: String,
    },
}

/// Names something that is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryKey {
    /// What a program reserved or was given in one call.
    Reservation {
        /// The program.
        program: String,
        /// The reservation.
        reservation: u64,
    },
    /// A turn.
    Turn {
        /// Its id.
        id: String,
    },
}

/// Something that is kept, as it is to be written anew or sent to another replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeptEntry {
    /// Complete as it is.
    Reservation(Record),
    /// A turn: its content is to be read from the files.
    Turn {
        /// Where it stands.
        location: Location,
        /// How much longer it is kept, in milliseconds.
        keep_ms: u64,
    },
}

/// A piece of all that is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPage {
    /// What is kept, in the order of the cursor.
    pub entries: Vec<KeptEntry>,
    /// Where to go on; none at the end.
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
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KeptTurn {
    previous: Option<String>,
    location: Location,
    expires_ms: u64,
}

/// The tables of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordReplica {
    epoch: u64,
    programs: BTreeMap<String, Program>,
    turns: BTreeMap<String, KeptTurn>,
}

impl RecordReplica {
    /// The newest epoch that the replica has moved to.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Programs and turns that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.programs.len() + self.turns.len()
    }

    /// Turns that are kept.
    #[must_use]
    pub fn turns(&self) -> usize {
        self.turns.len()
    }

    /// Reservations that are kept, of all programs.
    #[must_use]
    pub fn reservations(&self) -> usize {
        let programs = self.programs.values();
        programs.map(|program| program.reservations.len()).sum()
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a record in that stands at a place of the files. Doing so twice, or in another order,
    /// comes to the same.
    ///
    /// `at_ms` is the time of day at which the record came, in milliseconds.
    pub fn apply(&mut self, at_ms: u64, record: &Record, location: Location) {
        if let Some(said) = record.reservation() {
            let program = self.programs.entry(said.program.to_owned()).or_default();
            program.count(&said, at_ms, location.segment);
        }
        match record {
            Record::Keep { turn, keep_ms } => {
                self.keep(&turn.id, turn.previous.clone(), location, at_ms + keep_ms);
            }
            Record::Epoch(epoch) => self.epoch = self.epoch.max(*epoch),
            Record::Reserve { .. } | Record::Settle { .. } => {}
        }
    }

    /// Whether all that a record says is known, so that it need not be written.
    #[must_use]
    pub fn knows(&self, at_ms: u64, record: &Record) -> bool {
        if let Some(said) = record.reservation() {
            let program = self.programs.get(said.program);
            return program.is_some_and(|program| program.knows(&said, at_ms));
        }
        match record {
            Record::Keep { turn, keep_ms } => {
                let kept = self.turns.get(&turn.id);
                kept.is_some_and(|kept| reaches(kept.expires_ms, at_ms + keep_ms))
            }
            Record::Epoch(epoch) => self.epoch >= *epoch,
            Record::Reserve { .. } | Record::Settle { .. } => false,
        }
    }

    /// How much longer a program is kept, in milliseconds; 0 if it isn't.
    #[must_use]
    pub fn program_keep_ms(&self, program: &str, now_ms: u64) -> u64 {
        let program = self.programs.get(program);
        program.map_or(0, |program| program.expires_ms.saturating_sub(now_ms))
    }

    /// What is reserved for a program and what it was given.
    #[must_use]
    pub fn reserved(&self, program: &str) -> Vec<Reserved> {
        let Some(program) = self.programs.get(program) else {
            return Vec::new();
        };
        let entries = program.reservations.iter();
        entries
            .map(|(reservation, counted)| Reserved {
                reservation: *reservation,
                tokens: counted.tokens,
            })
            .collect()
    }

    /// Where a turn and all that it goes on from stand, the oldest first.
    ///
    /// # Errors
    /// [`ChainError`] when one of them is not here.
    pub fn chain(&self, id: &str) -> Result<Vec<Location>, ChainError> {
        let mut chain = Vec::new();
        let mut next = Some(id.to_owned());
        while let Some(id) = next {
            let Some(kept) = self.turns.get(&id).filter(|_| chain.len() < MAX_CHAIN) else {
                return Err(if chain.is_empty() {
                    ChainError::Missing { id }
                } else {
                    ChainError::Broken { id }
                });
            };
            next = kept.previous.clone();
            chain.push(kept.location);
        }
        chain.reverse();
        Ok(chain)
    }

    /// Drops what need not be kept at a time of day.
    pub fn expire(&mut self, now_ms: u64) {
        self.programs
            .retain(|_, program| program.expires_ms > now_ms);
        self.turns.retain(|_, kept| kept.expires_ms > now_ms);
    }

    /// A piece of all that is kept, of about `limit_bytes`, for a replica that joins.
    #[must_use]
    pub fn export(&self, now_ms: u64, cursor: &ExportCursor, limit_bytes: usize) -> EntryPage {
        let mut entries = Vec::new();
        let mut size = 0;
        let mut at = cursor.clone();
        if cursor.turn.is_none() {
            let after = cursor
                .program
                .clone()
                .map_or(Bound::Unbounded, Bound::Excluded);
            for (id, program) in self.programs.range::<String, _>((after, Bound::Unbounded)) {
                if size >= limit_bytes {
                    return EntryPage {
                        entries,
                        next: Some(at),
                    };
                }
                let reservations = program.reservations.iter();
                entries.extend(reservations.map(|(reservation, counted)| {
                    KeptEntry::Reservation(program.record(id, *reservation, counted, now_ms))
                }));
                size += program.reservations.len() * reservation_bytes(id) as usize;
                at.program = Some(id.clone());
            }
        }
        let after = cursor
            .turn
            .clone()
            .map_or(Bound::Unbounded, Bound::Excluded);
        for (id, kept) in self.turns.range::<String, _>((after, Bound::Unbounded)) {
            if size >= limit_bytes {
                at.turn.get_or_insert_default();
                return EntryPage {
                    entries,
                    next: Some(at),
                };
            }
            size += kept.location.length as usize;
            entries.push(kept.entry(now_ms));
            at.turn = Some(id.clone());
        }
        EntryPage {
            entries,
            next: None,
        }
    }

    /// Tells of each record that is needed how many bytes it takes in which file.
    pub fn count_live(&self, mut count: impl FnMut(SegmentNumber, u64)) {
        for (id, program) in &self.programs {
            let bytes = u64::from(reservation_bytes(id));
            for counted in program.reservations.values() {
                count(counted.segment, bytes);
            }
        }
        for kept in self.turns.values() {
            count(kept.location.segment, u64::from(kept.location.length));
        }
    }

    /// All of which the record that counts stands in one file.
    #[must_use]
    pub fn keys_in(&self, segment: SegmentNumber) -> Vec<EntryKey> {
        let programs = self.programs.iter();
        let reservations = programs.flat_map(|(id, program)| {
            let reservations = program.reservations.iter();
            reservations
                .filter(|(_, counted)| counted.segment == segment)
                .map(|(reservation, _)| EntryKey::Reservation {
                    program: id.clone(),
                    reservation: *reservation,
                })
        });
        let turns = self.turns.iter();
        let turns = turns
            .filter(|(_, kept)| kept.location.segment == segment)
            .map(|(id, _)| EntryKey::Turn { id: id.clone() });
        reservations.chain(turns).collect()
    }

    /// Something that is kept, if the record that counts still stands in one file.
    #[must_use]
    pub fn entry_in(
        &self,
        segment: SegmentNumber,
        key: &EntryKey,
        now_ms: u64,
    ) -> Option<KeptEntry> {
        match key {
            EntryKey::Reservation {
                program: id,
                reservation,
            } => {
                let program = self.programs.get(id)?;
                let counted = program.reservations.get(reservation)?;
                let record = || program.record(id, *reservation, counted, now_ms);
                (counted.segment == segment).then(|| KeptEntry::Reservation(record()))
            }
            EntryKey::Turn { id } => {
                let kept = self.turns.get(id)?;
                (kept.location.segment == segment).then(|| kept.entry(now_ms))
            }
        }
    }

    /// Notes that the record that counts was written anew at another place.
    pub fn relocate(&mut self, key: &EntryKey, location: Location) {
        match key {
            EntryKey::Reservation {
                program,
                reservation,
            } => {
                let program = self.programs.get_mut(program);
                let counted = program.and_then(|program| program.reservations.get_mut(reservation));
                if let Some(counted) = counted {
                    counted.segment = location.segment;
                }
            }
            EntryKey::Turn { id } => {
                if let Some(kept) = self.turns.get_mut(id) {
                    kept.location = location;
                }
            }
        }
    }

    /// A repeated turn counts where it is kept longer: that record must not be lost.
    fn keep(&mut self, id: &str, previous: Option<String>, location: Location, expires_ms: u64) {
        let mut ancestor = previous.clone();
        let kept = self.turns.entry(id.to_owned()).or_insert(KeptTurn {
            previous,
            location,
            expires_ms,
        });
        if expires_ms > kept.expires_ms {
            kept.expires_ms = expires_ms;
            kept.location = location;
        }
        while let Some(id) = ancestor {
            let Some(kept) = self.turns.get_mut(&id) else {
                return;
            };
            if kept.expires_ms >= expires_ms {
                return;
            }
            kept.expires_ms = expires_ms;
            ancestor = kept.previous.clone();
        }
    }
}

impl Program {
    /// A reservation is only ever lowered, so the order of records doesn't matter. Of several records
    /// the newest that keeps the program long enough counts as the one to be carried on, unless it says
    /// more tokens than are known. Where only such a one keeps the program long enough, it counts all
    /// the same: tokens that come back are refused to the program, a program forgotten early is not.
    fn count(&mut self, said: &ReservationRecord<'_>, at_ms: u64, segment: SegmentNumber) {
        let expires_ms = at_ms + said.keep_ms;
        let is_lasting = reaches(expires_ms, self.expires_ms);
        let is_extending = !reaches(self.expires_ms, expires_ms);
        self.expires_ms = self.expires_ms.max(expires_ms);
        let tokens = said.tokens;
        let counted = self
            .reservations
            .entry(said.reservation)
            .or_insert(Reservation { tokens, segment });
        if is_extending || is_lasting && tokens <= counted.tokens {
            counted.segment = segment;
        }
        counted.tokens = counted.tokens.min(tokens);
    }

    fn knows(&self, said: &ReservationRecord<'_>, at_ms: u64) -> bool {
        let counted = self.reservations.get(&said.reservation);
        counted.is_some_and(|counted| counted.tokens <= said.tokens)
            && reaches(self.expires_ms, at_ms + said.keep_ms)
    }

    fn record(&self, id: &str, reservation: u64, counted: &Reservation, now_ms: u64) -> Record {
        Record::Reserve {
            program: id.to_owned(),
            reservation,
            most: counted.tokens,
            keep_ms: self.expires_ms.saturating_sub(now_ms),
        }
    }
}

impl KeptTurn {
    fn entry(&self, now_ms: u64) -> KeptEntry {
        KeptEntry::Turn {
            location: self.location,
            keep_ms: self.expires_ms.saturating_sub(now_ms),
        }
    }
}

fn reservation_bytes(program: &str) -> u32 {
    u32::try_from(program.len()).unwrap_or(u32::MAX / 2) + RESERVATION_FRAME_BYTES
}

/// Whether one time of expiry is as good as another.
fn reaches(expires_ms: u64, wanted_ms: u64) -> bool {
    expires_ms + EXPIRY_GRAIN_MS >= wanted_ms
}
