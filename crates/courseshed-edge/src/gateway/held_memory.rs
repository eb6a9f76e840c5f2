//! The account of what a gateway holds for callers and servers that read slowly, and the decision
//! what gives way when it is too much. Pure.
//!
//! Invariants: new request bodies are refused while streams under way still have room; a caller is
//! cut off only if it takes nothing: for the stall limit, for a shorter time where memory for new
//! bodies is short, at once where the total is exceeded. Where memory is the reason the one goes first whose
//! bytes, times how long they wait, are most, and no more go than must.

use std::collections::BTreeMap;
use std::time::Duration;

/// Memory of a gateway that holds nothing for anyone, in bytes: program, tables, connections to
/// peers and what the allocator keeps.
const BASE_BYTES: u64 = 24_000_000;
/// Least memory that is given to callers, in bytes, however small the machine: a few large bodies.
const LEAST_BYTES: u64 = 16 * 1024 * 1024;
/// Memory of a connection with a stream on it that its caller reads, in bytes, beside what is read from
/// the server: buffers of the library, and the tasks. Measured; see `docs/design/slow-readers.md`.
const CONNECTION_BYTES: usize = 36 * 1024;
/// How long a caller may take nothing of what is ready for it. Callers give up by themselves after
/// two seconds or more; this is several times that, so that a living caller's pause is shorter.
const READ_STALL: Duration = Duration::from_secs(10);

/// The part of the memory for new bodies beyond which it is short: the rest is room for those that come
/// in before connections are looked at again.
const PRESSED_PART: usize = 7;
const PRESSED_OF: usize = 8;
/// The same while memory for new bodies is short: longer than callers wait that give up by
/// themselves, and about as long as a refused caller that comes back a few times is kept waiting.
const PRESSED_STALL: Duration = Duration::from_secs(3);

/// How much may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldTerms {
    /// Bytes held for all callers together; beyond that callers are cut off.
    pub total_bytes: usize,
    /// Bytes that each connection holds whatever is on it.
    pub connection_bytes: usize,
    /// Bytes held in all beyond which no new request body is taken; less than the total, so that
    /// answers under way still have room.
    pub admission_bytes: usize,
    /// How long a caller may take nothing of what is ready for it before it is cut off.
    pub read_stall: Duration,
    /// The same while memory for new bodies is short.
    pub pressed_stall: Duration,
}

impl HeldTerms {
    /// Terms for a process that may use so many bytes. An eighth of what is left over the base is for
    /// what comes between two looks at the connections and for the allocator's waste; another eighth
    /// is kept from new bodies.
    #[must_use]
    pub fn of_machine(memory_bytes: u64) -> Self {
        let total = (memory_bytes.saturating_sub(BASE_BYTES) / 8 * 7).max(LEAST_BYTES);
        let total_bytes = usize::try_from(total).unwrap_or(usize::MAX);
        Self {
            total_bytes,
            connection_bytes: CONNECTION_BYTES,
            admission_bytes: total_bytes / 8 * 7,
            read_stall: READ_STALL,
            pressed_stall: PRESSED_STALL,
        }
    }
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldKind {
    /// The body of a request, until no server can need it any more.
    Request,
    /// An answer, or the part of it that was read from the server and not passed on.
    Answer,
    /// What was passed on and the caller's connection doesn't take.
    Unread,
}

const KINDS: usize = 3;

/// Names a caller's connection in the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldId(u64);

/// Why a caller is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutReason {
    /// More is held for all than may be.
    Memory,
    /// It took nothing for too long.
    Stall,
}

impl CutReason {
    /// The name used in logs and counters.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Stall => "stall",
        }
    }
}

/// A caller that is to be cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff {
    /// Whose connection.
    pub id: HeldId,
    /// Why.
    pub reason: CutReason,
    /// Bytes held for it.
    pub held_bytes: usize,
    /// How long it has taken nothing.
    pub unread_for: Duration,
}

#[derive(Debug, Default)]
struct Held {
    bytes: [usize; KINDS],
    unread_since: Option<Duration>,
    is_cut: bool,
}

impl Held {
    fn total(&self) -> usize {
        self.bytes.iter().sum()
    }

    fn unread_for(&self, now: Duration) -> Option<Duration> {
        let since = self.unread_since.filter(|_| !self.is_cut)?;
        Some(now.saturating_sub(since))
    }
}

/// What is held, for whom. Times are those of the process's steady clock.
#[derive(Debug)]
pub struct HeldMemory {
    terms: HeldTerms,
    callers: BTreeMap<HeldId, Held>,
    next: u64,
    total: usize,
}

impl HeldMemory {
    /// An account in which nothing is held.
    #[must_use]
    pub fn new(terms: HeldTerms) -> Self {
        Self {
            terms,
            callers: BTreeMap::new(),
            next: 0,
            total: 0,
        }
    }

    /// Begins the account of one caller's connection.
    pub fn begin(&mut self) -> HeldId {
        let id = HeldId(self.next);
        self.next += 1;
        self.callers.insert(id, Held::default());
        self.total += self.terms.connection_bytes;
        id
    }

    /// Ends it; nothing is held for it any more.
    pub fn end(&mut self, id: HeldId) {
        if let Some(held) = self.callers.remove(&id) {
            self.total -= held.total() + self.terms.connection_bytes;
        }
    }

    /// Bytes held for all.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    /// Whether so many more bytes of request bodies may be taken.
    #[must_use]
    pub fn admits(&self, bytes: usize) -> bool {
        self.total.saturating_add(bytes) <= self.terms.admission_bytes
    }

    /// Whether answers may be read ahead of their callers.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.total < self.terms.total_bytes
    }

    /// Notes how many bytes of a kind are held for a caller now.
    pub fn set(&mut self, id: HeldId, kind: HeldKind, bytes: usize) {
        if let Some(held) = self.callers.get_mut(&id) {
            let before = std::mem::replace(&mut held.bytes[kind as usize], bytes);
            self.total = self.total - before + bytes;
        }
    }

    /// Notes what waits to be taken by a caller, and since when it has taken nothing.
    pub fn note_unread(&mut self, id: HeldId, bytes: usize, since: Option<Duration>) {
        self.set(id, HeldKind::Unread, bytes);
        if let Some(held) = self.callers.get_mut(&id) {
            held.unread_since = since;
        }
    }

    /// The callers to cut off now; each is named once. Their bytes count until they have ended.
    pub fn cut_offs(&mut self, now: Duration) -> Vec<CutOff> {
        let mut cut = self.stalled(now);
        let fixed = self.terms.connection_bytes;
        let leaving = |callers: &BTreeMap<HeldId, Held>| -> usize {
            let cut = callers.values().filter(|held| held.is_cut);
            cut.map(|held| held.total() + fixed).sum()
        };
        let mut left = self.total - leaving(&self.callers);
        while let Some(least) = self.stall_borne(left) {
            let Some(worst) = self.worst(now, least) else {
                break;
            };
            left = left.saturating_sub(worst.held_bytes);
            self.mark(&worst);
            cut.push(worst);
        }
        cut
    }

    fn stalled(&mut self, now: Duration) -> Vec<CutOff> {
        let limit = self.terms.read_stall;
        let waiting = self.waiting(now, CutReason::Stall);
        let stalled: Vec<_> = waiting.filter(|cut| cut.unread_for >= limit).collect();
        for cut in &stalled {
            self.mark(cut);
        }
        stalled
    }

    /// How long a caller must have taken nothing to be cut off while so much is held; none if no
    /// memory is wanted.
    fn stall_borne(&self, held: usize) -> Option<Duration> {
        if held > self.terms.total_bytes {
            return Some(Duration::ZERO);
        }
        let pressed = self.terms.admission_bytes / PRESSED_OF * PRESSED_PART;
        (held > pressed).then_some(self.terms.pressed_stall)
    }

    fn worst(&self, now: Duration, least: Duration) -> Option<CutOff> {
        let waiting = self.waiting(now, CutReason::Memory);
        let holding = waiting.filter(|cut| cut.held_bytes > 0 && cut.unread_for >= least);
        holding.max_by_key(|cut| cut.unread_for.as_millis() * cut.held_bytes as u128)
    }

    fn waiting(&self, now: Duration, reason: CutReason) -> impl Iterator<Item = CutOff> {
        let fixed = self.terms.connection_bytes;
        self.callers.iter().filter_map(move |(id, held)| {
            Some(CutOff {
                id: *id,
                reason,
                held_bytes: held.total() + fixed,
                unread_for: held.unread_for(now)?,
            })
        })
    }

    fn mark(&mut self, cut: &CutOff) {
        if let Some(held) = self.callers.get_mut(&cut.id) {
            held.is_cut = true;
        }
    }
}
