//! The tables of one replica. Pure: times are passed in, and writing to disk is the caller's.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;
use courseshed_types::CachedPrompt;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest chain of turns that is followed; a guard against a damaged record.
const MAX_CHAIN: usize = 4096;

/// A kept turn. Never changed once written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Request id of the call that made it.
    pub id: String,
    /// The turn it goes on from.
    pub previous: Option<String>,
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

/// One reservation as a replica knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserved {
    /// Its name.
    pub reservation: u64,
    /// What it counts: what was given once settled, the most before.
    pub tokens: u32,
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

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Program {
    reservations: BTreeMap<u64, u32>,
    expires_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KeptTurn {
    turn: Turn,
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

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a record in. Doing so twice, or in another order, comes to the same.
    ///
    /// `at_ms` is the time of day at which the record came, in milliseconds.
    pub fn apply(&mut self, at_ms: u64, record: Record) {
        match record {
            Record::Reserve {
                program,
                reservation,
                most,
                keep_ms,
            } => {
                let program = self.programs.entry(program).or_default();
                program.expires_ms = program.expires_ms.max(at_ms + keep_ms);
                program.lower(reservation, most);
            }
            Record::Settle {
                program,
                reservation,
                given,
            } => {
                let program = self.programs.entry(program).or_default();
                program.lower(reservation, given);
            }
            Record::Keep { turn, keep_ms } => self.keep(turn, at_ms + keep_ms),
            Record::Epoch(epoch) => self.epoch = self.epoch.max(epoch),
        }
    }

    /// What is reserved for a program and what it was given.
    #[must_use]
    pub fn reserved(&self, program: &str) -> Vec<Reserved> {
        let Some(program) = self.programs.get(program) else {
            return Vec::new();
        };
        let entries = program.reservations.iter();
        entries
            .map(|(reservation, tokens)| Reserved {
                reservation: *reservation,
                tokens: *tokens,
            })
            .collect()
    }

    /// A turn and all that it goes on from, the oldest first.
    ///
    /// # Errors
    /// [`ChainError`] when one of them is not here.
    pub fn chain(&self, id: &str) -> Result<Vec<Turn>, ChainError> {
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
            next = kept.turn.previous.clone();
            chain.push(kept.turn.clone());
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
    pub fn export(&self, now_ms: u64, cursor: &ExportCursor, limit_bytes: usize) -> ExportPage {
        let mut records = Vec::new();
        let mut size = 0;
        let mut at = cursor.clone();
        if cursor.turn.is_none() {
            let after = cursor
                .program
                .clone()
                .map_or(Bound::Unbounded, Bound::Excluded);
            for (id, program) in self.programs.range::<String, _>((after, Bound::Unbounded)) {
                if size >= limit_bytes {
                    return ExportPage {
                        records,
                        next: Some(at),
                    };
                }
                size += program.export(id, now_ms, &mut records);
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
                return ExportPage {
                    records,
                    next: Some(at),
                };
            }
            size += kept.turn.input.len() + kept.turn.output.len() + id.len();
            records.push(Record::Keep {
                turn: kept.turn.clone(),
                keep_ms: kept.expires_ms.saturating_sub(now_ms),
            });
            at.turn = Some(id.clone());
        }
        ExportPage {
            records,
            next: None,
        }
    }

    fn keep(&mut self, turn: Turn, expires_ms: u64) {
        let mut previous = turn.previous.clone();
        let id = turn.id.clone();
        let kept = self.turns.entry(id).or_insert(KeptTurn {
            turn,
            expires_ms: 0,
        });
        kept.expires_ms = kept.expires_ms.max(expires_ms);
        while let Some(id) = previous {
            let Some(kept) = self.turns.get_mut(&id) else {
                return;
            };
            if kept.expires_ms >= expires_ms {
                return;
            }
            kept.expires_ms = expires_ms;
            previous = kept.turn.previous.clone();
        }
    }
}

impl Program {
    /// A reservation is only ever lowered, so the order of records doesn't matter.
    fn lower(&mut self, reservation: u64, tokens: u32) {
        let counted = self.reservations.entry(reservation).or_insert(tokens);
        *counted = (*counted).min(tokens);
    }

    fn export(&self, id: &str, now_ms: u64, records: &mut Vec<Record>) -> usize {
        for (reservation, tokens) in &self.reservations {
            records.push(Record::Reserve {
                program: id.to_owned(),
                reservation: *reservation,
                most: *tokens,
                keep_ms: self.expires_ms.saturating_sub(now_ms),
            });
        }
        self.reservations.len() * (id.len() + 16)
    }
}
