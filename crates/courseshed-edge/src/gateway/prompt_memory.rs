//! Estimates which prompt segments are in the prefix caches of servers. No I/O.
//!
//! Servers evict cached segments without notice. Entries therefore expire, and a wrong one only
//! costs latency.

use std::collections::HashMap;
use std::time::Duration;

use courseshed_types::{CachedPrompt, PromptPart, ServerKey};

/// How long a segment is assumed to stay cached after its last use.
const KEPT_FOR: Duration = Duration::from_secs(30);
/// Maximum number of servers tracked for one segment; the turns of a program usually run on one to
/// three.
const HOLDERS_OF_PART: usize = 8;
/// Maximum number of entries; the oldest are dropped first.
const MOST_NOTES: usize = 40_000;

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

/// Estimated contents of the servers' prefix caches.
#[derive(Clone, Debug, Default)]
pub struct PromptMemory {
    notes: HashMap<PartAtServer, Note>,
    /// Servers that have a segment cached, most recently used last.
    holders: HashMap<u64, Vec<ServerKey>>,
}

impl PromptMemory {
    /// Records that a server has just prefilled all segments.
    pub fn record(&mut self, server: ServerKey, parts: &[PromptPart], now: Duration) {
        for part in parts {
            self.insert(server, *part, now);
        }
    }

    /// Records the segments that a server had cached when it responded to a call of any gateway.
    /// Never lowers the token count of an existing entry.
    pub fn record_cached(&mut self, cached: &CachedPrompt, now: Duration) {
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
        let note = Note {
            tokens: part.tokens,
            used_at: now,
        };
        self.notes.insert(key, note);
        let holders = self.holders.entry(part.id).or_default();
        holders.retain(|holder| *holder != server);
        holders.push(server);
        if holders.len() > HOLDERS_OF_PART {
            holders.remove(0);
        }
    }

    /// Servers that have the call's own prompt segments cached: all but the first segment, which
    /// many calls share.
    #[must_use]
    pub fn holders(&self, parts: &[PromptPart], now: Duration) -> Vec<ServerKey> {
        let own = parts.iter().skip(1);
        let mut holders: Vec<ServerKey> = own
            .flat_map(|part| {
                let holders = self.holders.get(&part.id).into_iter().flatten();
                holders.filter(|server| self.kept_tokens(**server, part.id, now) > 0)
            })
            .copied()
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Number of prompt tokens that a server does not have cached.
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

    fn forget_holders(&mut self) {
        let notes = &self.notes;
        self.holders.retain(|part, servers| {
            servers.retain(|server| {
                let key = PartAtServer {
                    part: *part,
                    server: *server,
                };
                notes.contains_key(&key)
            });
            !servers.is_empty()
        });
    }

    fn kept_tokens(&self, server: ServerKey, part: u64, now: Duration) -> u32 {
        let note = self.notes.get(&PartAtServer { part, server });
        let note = note.filter(|note| now.saturating_sub(note.used_at) < KEPT_FOR);
        note.map_or(0, |note| note.tokens)
    }

    /// Drops expired entries, and the oldest if there are too many.
    pub fn remove_expired(&mut self, now: Duration) {
        let mut limit = KEPT_FOR;
        loop {
            self.notes
                .retain(|_, note| now.saturating_sub(note.used_at) < limit);
            if self.notes.len() <= MOST_NOTES {
                self.forget_holders();
                return;
            }
            limit /= 2;
        }
    }
}
