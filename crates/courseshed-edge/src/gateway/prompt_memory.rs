//! Which servers have lately read which parts of prompts, as far as this gateway saw. Pure.
//!
//! A server keeps what it read until others need the room, and does not say so. What is noted here
//! is therefore an estimate: it is forgotten after a while, and a wrong one costs only time.

use std::collections::HashMap;
use std::time::Duration;

use courseshed_registry::ServerKey;

/// How long a part is taken to stay with a server after its last use.
const KEPT_FOR: Duration = Duration::from_secs(30);
/// Most notes at once; the oldest give way.
const MOST_NOTES: usize = 40_000;

/// A part of a prompt, in the order in which servers read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part; the same one may begin other prompts, too.
    pub id: u64,
    /// How many tokens it has now.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PartAtServer {
    part: u64,
    server: ServerKey,
}

#[derive(Clone, Copy, Debug)]
struct Note {
    tokens: u32,
    used_at: Duration,
}

/// What servers have read.
#[derive(Clone, Debug, Default)]
pub struct PromptMemory {
    notes: HashMap<PartAtServer, Note>,
}

impl PromptMemory {
    /// Notes that a server has read all parts, and generated tokens behind the last one.
    pub fn note(&mut self, server: ServerKey, parts: &[PromptPart], generated: u32, now: Duration) {
        let last = parts.len().saturating_sub(1);
        for (index, part) in parts.iter().enumerate() {
            let more = if index == last { generated } else { 0 };
            let key = PartAtServer {
                part: part.id,
                server,
            };
            let note = Note {
                tokens: part.tokens + more,
                used_at: now,
            };
            self.notes.insert(key, note);
        }
    }

    /// How many tokens of a prompt a server has still to read.
    #[must_use]
    pub fn unread_tokens(&self, server: ServerKey, parts: &[PromptPart], now: Duration) -> u32 {
        let total: u32 = parts.iter().map(|part| part.tokens).sum();
        let mut read = 0;
        for part in parts {
            let kept = self.kept_tokens(server, part.id, now).min(part.tokens);
            read += kept;
            if kept < part.tokens {
                break;
            }
        }
        total - read
    }

    fn kept_tokens(&self, server: ServerKey, part: u64, now: Duration) -> u32 {
        let note = self.notes.get(&PartAtServer { part, server });
        let note = note.filter(|note| now.saturating_sub(note.used_at) < KEPT_FOR);
        note.map_or(0, |note| note.tokens)
    }

    /// Forgets what is old, and the oldest when there is too much.
    pub fn tidy(&mut self, now: Duration) {
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
