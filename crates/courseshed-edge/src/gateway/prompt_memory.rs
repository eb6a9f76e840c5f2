//! Which servers have lately read which parts of prompts, as far as this gateway saw. Pure.
//!
//! A server keeps what it read until others need the room, and does not say so. What is noted here
//! is therefore an estimate: it is forgotten after a while, and a wrong one costs only time.
//!
//! Parts that prompts of several programs begin with are worth telling the other gateways of: each of
//! them sees few of the programs, and learns from all which servers have read such a part.

use std::collections::HashMap;
use std::time::Duration;

use courseshed_registry::{PartRead, TOLD_AGAIN_AFTER};
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};

/// How long a part is taken to stay with a server after its last use.
const KEPT_FOR: Duration = Duration::from_secs(30);
/// Most notes at once; the oldest give way.
const MOST_NOTES: usize = 40_000;
/// Most reads that wait to be told to others; what is beyond is told when it is seen again.
const MOST_TO_TELL: usize = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PartAtServer {
    part: u64,
    server: ServerKey,
}

#[derive(Clone, Copy, Debug)]
struct Note {
    tokens: u32,
    used_at: Duration,
    /// When all gateways were told of it last, by this one or another; none if they weren't.
    told_at: Option<Duration>,
}

/// A part that prompts begin with.
#[derive(Clone, Copy, Debug)]
struct Beginning {
    /// The program that had it first.
    program: u64,
    /// Whether another program had it, too.
    is_shared: bool,
    used_at: Duration,
}

/// What servers have read.
#[derive(Clone, Debug, Default)]
pub struct PromptMemory {
    notes: HashMap<PartAtServer, Note>,
    beginnings: HashMap<u64, Beginning>,
    to_tell: Vec<PartRead>,
}

impl PromptMemory {
    /// Notes that a server has read all parts just now.
    pub fn note(&mut self, server: ServerKey, parts: &[PromptPart], now: Duration) {
        for part in parts {
            self.insert(server, *part, now);
        }
    }

    /// Notes that a program's prompt has these parts. All but the last may be shared with others.
    pub fn note_program(&mut self, program: u64, parts: &[PromptPart], now: Duration) {
        let Some((_, beginning)) = parts.split_last() else {
            return;
        };
        for part in beginning {
            let known = self.beginnings.entry(part.id).or_insert(Beginning {
                program,
                is_shared: false,
                used_at: now,
            });
            known.is_shared |= known.program != program;
            known.used_at = now;
        }
    }

    /// Notes that the others are to be told what a server has read of a prompt, where that is shared
    /// and no news to them.
    pub fn tell_shared(&mut self, server: ServerKey, parts: &[PromptPart], now: Duration) {
        for part in parts {
            let is_shared = self.beginnings.get(&part.id).is_some_and(|it| it.is_shared);
            if !is_shared || self.to_tell.len() >= MOST_TO_TELL {
                return;
            }
            let key = PartAtServer {
                part: part.id,
                server,
            };
            let Some(note) = self.notes.get_mut(&key) else {
                return;
            };
            let is_news = |told| now.saturating_sub(told) >= TOLD_AGAIN_AFTER;
            if note.told_at.is_none_or(is_news) {
                note.told_at = Some(now);
                self.to_tell.push(PartRead {
                    part: part.id,
                    tokens: part.tokens,
                    server,
                });
            }
        }
    }

    /// What the others are to be told, the oldest first.
    pub fn take_reads(&mut self, most: usize) -> Vec<PartRead> {
        let count = self.to_tell.len().min(most);
        self.to_tell.drain(..count).collect()
    }

    /// Takes in what other gateways saw.
    pub fn note_told(&mut self, reads: &[PartRead], now: Duration) {
        for read in reads {
            let part = PromptPart {
                id: read.part,
                tokens: read.tokens,
            };
            self.insert(read.server, part, now);
            let key = PartAtServer {
                part: read.part,
                server: read.server,
            };
            if let Some(note) = self.notes.get_mut(&key) {
                note.told_at = Some(now);
            }
            let beginning = Beginning {
                program: 0,
                is_shared: true,
                used_at: now,
            };
            self.beginnings.insert(read.part, beginning);
        }
    }

    /// Takes in what a server held when it had answered, this gateway or another one. What was seen
    /// there since then is not lowered by it.
    pub fn note_cached(&mut self, cached: &CachedPrompt, now: Duration) {
        let server = cached.server;
        for part in &cached.parts {
            let tokens = part.tokens.max(self.kept_tokens(server, part.id, now));
            self.insert(server, PromptPart { tokens, ..*part }, now);
        }
    }

    fn insert(&mut self, server: ServerKey, part: PromptPart, now: Duration) {
        let key = PartAtServer {
            part: part.id,
            server,
        };
        let note = self.notes.entry(key).or_insert(Note {
            tokens: part.tokens,
            used_at: now,
            told_at: None,
        });
        note.tokens = part.tokens;
        note.used_at = now;
    }

    /// How many tokens of a prompt a server has still to read.
    #[must_use]
    pub fn unread_tokens(&self, server: ServerKey, parts: &[PromptPart], now: Duration) -> u32 {
        let mut unread: u32 = 0;
        let mut is_prefix_kept = true;
        for part in parts {
            let kept = if is_prefix_kept {
                self.kept_tokens(server, part.id, now).min(part.tokens)
            } else {
                0
            };
            is_prefix_kept &= kept == part.tokens;
            unread = unread.saturating_add(part.tokens - kept);
        }
        unread
    }

    fn kept_tokens(&self, server: ServerKey, part: u64, now: Duration) -> u32 {
        let note = self.notes.get(&PartAtServer { part, server });
        let note = note.filter(|note| now.saturating_sub(note.used_at) < KEPT_FOR);
        note.map_or(0, |note| note.tokens)
    }

    /// Forgets what is old, and the oldest when there is too much.
    pub fn tidy(&mut self, now: Duration) {
        self.beginnings
            .retain(|_, known| now.saturating_sub(known.used_at) < KEPT_FOR);
        let mut limit = KEPT_FOR;
        loop {
            self.notes
                .retain(|_, note| now.saturating_sub(note.used_at) < limit);
            if self.notes.len() <= MOST_NOTES {
                return;
            }
            limit /= 2;
        }
    }
}
