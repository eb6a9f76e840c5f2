//! Streams under way, by what was asked, so that any gateway can go on with one whose gateway is gone.
//!
//! A client that takes a stream up brings the same request again, and possibly the name of the request that began it.
//! So streams are found by a key of what is asked, under which each attempt of a client is an entry of its own: its
//! software version and, on routes that store turns, the output that was passed on. Entries are held in memory only:
//! what is lost is refused, never guessed. All times are passed in.
//!
//! Invariant: the output of an attempt is that of one run without gaps; a piece that doesn't follow is not taken.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

/// Attempts beyond which no more are recorded; without their output they take some 20 MB.
const MAX_ATTEMPTS: usize = 100_000;
/// Output beyond which attempts that keep theirs are refused before they run.
const OUTPUT_BUDGET_BYTES: usize = 8 * 1024 * 1024;
/// What an attempt that keeps its output counts for at least, so that those that were accepted have room.
const MIN_OUTPUT_CHARGE_BYTES: usize = 8 * 1024;
/// Output beyond which no more of an attempt is taken; as large as the longest event that gateways pass on.
const MAX_OUTPUT_BYTES: usize = 1024 * 1024;

/// Where the output of an event ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventMark {
    /// The ID of the event.
    pub id: u64,
    /// Bytes of output up to its end.
    pub end: u64,
}

/// Output that follows what was sent before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputPiece {
    /// Bytes of output before the piece.
    pub offset: u64,
    /// The output.
    pub data: Bytes,
    /// The events that end in it.
    pub marks: Vec<EventMark>,
}

/// What a gateway tells of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptUpdate {
    /// The request of the attempt.
    pub request: String,
    /// The attempt that it goes on from.
    pub resumes: Option<String>,
    /// The software version, once it is known.
    pub version: Option<String>,
    /// Output, if it is kept.
    pub output: Option<OutputPiece>,
}

/// What a store knows after an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptReceipt {
    /// The attempt is recorded.
    Recorded {
        /// Bytes of its output that are kept.
        kept: u64,
    },
    /// There is no room for the attempt.
    Full,
}

/// An attempt, with its output up to an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAttempt {
    /// The request of the attempt.
    pub request: String,
    /// The attempt that it went on from.
    pub resumes: Option<String>,
    /// The software version, if it is known.
    pub version: Option<String>,
    /// The output up to the event that was asked for; `None` if it isn't kept that far.
    pub beginning: Option<Bytes>,
}

#[derive(Clone, Debug, Default)]
struct HeldAttempt {
    resumes: Option<String>,
    version: Option<String>,
    keeps_output: bool,
    output: BytesMut,
    marks: Vec<EventMark>,
    expires_at: Duration,
}

impl HeldAttempt {
    fn charge(&self) -> usize {
        match self.keeps_output {
            true => self.output.len().max(MIN_OUTPUT_CHARGE_BYTES),
            false => 0,
        }
    }

    /// Takes the part of a piece that is new, if it follows what is kept.
    fn append(&mut self, piece: &OutputPiece) {
        let kept = self.output.len();
        let Some(known) = usize::try_from(piece.offset)
            .ok()
            .and_then(|offset| kept.checked_sub(offset))
        else {
            return;
        };
        let Some(new) = piece.data.get(known..) else {
            return;
        };
        if kept + new.len() > MAX_OUTPUT_BYTES {
            return;
        }
        self.output.extend_from_slice(new);
        let last = self.marks.last().map(|mark| mark.id);
        let marks = piece.marks.iter().copied();
        self.marks
            .extend(marks.filter(|mark| last.is_none_or(|last| mark.id > last)));
    }

    fn beginning(&self, through: Option<u64>) -> Option<Bytes> {
        let through = through?;
        let mark = self.marks.iter().find(|mark| mark.id == through)?;
        let end = usize::try_from(mark.end).ok()?;
        let beginning = self.output.get(..end)?;
        Some(Bytes::copy_from_slice(beginning))
    }
}

/// The streams known to a store.
#[derive(Clone, Debug, Default)]
pub struct StreamAttempts {
    streams: HashMap<String, BTreeMap<String, HeldAttempt>>,
    attempts: usize,
    /// What the attempts that keep their output count for.
    charged_bytes: usize,
}

impl StreamAttempts {
    /// Records an attempt at a stream, or what has come of it since.
    pub fn record(
        &mut self,
        now: Duration,
        stream: String,
        update: AttemptUpdate,
        keep: Duration,
    ) -> AttemptReceipt {
        let known = self.streams.get(&stream);
        let is_known = known.is_some_and(|attempts| attempts.contains_key(&update.request));
        if !is_known && !self.has_room(&update) {
            return AttemptReceipt::Full;
        }
        let attempts = self.streams.entry(stream).or_default();
        let held = attempts.entry(update.request).or_default();
        let charged = held.charge();
        held.resumes = held.resumes.take().or(update.resumes);
        held.version = held.version.take().or(update.version);
        held.expires_at = held.expires_at.max(now + keep);
        if let Some(piece) = &update.output {
            held.keeps_output = true;
            held.append(piece);
        }
        let kept = held.output.len() as u64;
        self.charged_bytes = self.charged_bytes + held.charge() - charged;
        self.attempts += usize::from(!is_known);
        AttemptReceipt::Recorded { kept }
    }

    fn has_room(&self, update: &AttemptUpdate) -> bool {
        let size = update
            .output
            .as_ref()
            .map_or(0, |piece| piece.data.len().max(MIN_OUTPUT_CHARGE_BYTES));
        self.attempts < MAX_ATTEMPTS && self.charged_bytes + size <= OUTPUT_BUDGET_BYTES
    }

    /// The attempts at a stream, with their output up to an event.
    #[must_use]
    pub fn attempts_at(
        &self,
        now: Duration,
        stream: &str,
        through: Option<u64>,
    ) -> Vec<StreamAttempt> {
        let attempts = self.streams.get(stream).into_iter().flatten();
        attempts
            .filter(|(_, held)| now < held.expires_at)
            .map(|(request, held)| StreamAttempt {
                request: request.clone(),
                resumes: held.resumes.clone(),
                version: held.version.clone(),
                beginning: held.beginning(through),
            })
            .collect()
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Duration) {
        self.streams.retain(|_, attempts| {
            attempts.retain(|_, held| now < held.expires_at);
            !attempts.is_empty()
        });
        let held = || self.streams.values().flat_map(BTreeMap::values);
        self.attempts = held().count();
        self.charged_bytes = held().map(HeldAttempt::charge).sum();
    }

    /// Bytes that the outputs of attempts count for.
    #[must_use]
    pub fn charged_bytes(&self) -> usize {
        self.charged_bytes
    }

    /// Number of attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts
    }

    /// Whether there are no attempts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts == 0
    }
}

/// The attempt that a client goes on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumedAttempt {
    /// It is known.
    Found {
        /// Its request.
        request: String,
        /// Its software version, if it is known.
        version: Option<String>,
        /// Its output up to the client's last event, if it is kept.
        beginning: Option<Bytes>,
    },
    /// No attempt fits.
    Unknown,
    /// Several attempts fit that aren't alike.
    Ambiguous,
}

/// Finds the attempt that a client goes on from among those that a quorum of replicas knows. Without a name it is the
/// one that no other has gone on from; several are taken only if they are alike in version and output. Where outputs
/// are kept, a client has only events that were kept before, so that an attempt without its last event isn't meant.
#[must_use]
pub fn resumed_attempt(
    replies: impl IntoIterator<Item = StreamAttempt>,
    named: Option<&str>,
) -> ResumedAttempt {
    let attempts = merge(replies);
    let is_continued = |request: &str| {
        let mut others = attempts.values();
        others.any(|other| other.resumes.as_deref() == Some(request))
    };
    let fitting = attempts.values().filter(|attempt| match named {
        Some(named) => attempt.request == named,
        None => !is_continued(&attempt.request),
    });
    let fitting: Vec<&StreamAttempt> = fitting.collect();
    let keeps_output = fitting.iter().any(|attempt| attempt.beginning.is_some());
    let mut fitting = fitting
        .into_iter()
        .filter(|attempt| attempt.beginning.is_some() == keeps_output);
    let Some(first) = fitting.next() else {
        return ResumedAttempt::Unknown;
    };
    let is_alike = |other: &StreamAttempt| {
        other.version == first.version && other.beginning == first.beginning
    };
    if !fitting.all(is_alike) {
        return ResumedAttempt::Ambiguous;
    }
    ResumedAttempt::Found {
        request: first.request.clone(),
        version: first.version.clone(),
        beginning: first.beginning.clone(),
    }
}

/// One entry for each attempt, with what any replica knows of it.
fn merge(replies: impl IntoIterator<Item = StreamAttempt>) -> BTreeMap<String, StreamAttempt> {
    let mut merged: BTreeMap<String, StreamAttempt> = BTreeMap::new();
    for reply in replies {
        match merged.get_mut(&reply.request) {
            Some(known) => {
                known.resumes = known.resumes.take().or(reply.resumes);
                known.version = known.version.take().or(reply.version);
                known.beginning = known.beginning.take().or(reply.beginning);
            }
            None => {
                merged.insert(reply.request.clone(), reply);
            }
        }
    }
    merged
}
