//! Estimates which prompt segments are in the prefix caches of servers. No I/O.
//!
//! Servers evict cached segments without notice. Entries therefore expire, and a wrong one only
//! costs latency.

use std::collections::HashMap;
use std::time::Duration;

use courseshed_types::{CachedPrompt, PromptPart, ServerKey};

/// How long a segment is assumed to stay cached after its last use.
const ENTRY_TTL: Duration = Duration::from_secs(30);
/// Maximum number of servers tracked for one segment; the turns of a program usually run on one to
/// three.
const MAX_SERVERS_PER_SEGMENT: usize = 8;
/// Maximum number of entries; the oldest are dropped first.
const MAX_ENTRIES: usize = 40_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SegmentAtServer {
    part: u64,
    server: ServerKey,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    used_at: Duration,
}

/// Estimated contents of the servers' prefix caches.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheIndex {
    entries: HashMap<SegmentAtServer, Entry>,
    /// Servers that have a segment cached, most recently used last.
    holders: HashMap<u64, Vec<ServerKey>>,
}

impl PromptCacheIndex {
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
            let tokens = part.tokens.max(self.cached_tokens(server, part.id, now));
            self.insert(server, PromptPart { tokens, ..*part }, now);
        }
    }

    fn insert(&mut self, server: ServerKey, part: PromptPart, now: Duration) {
        let key = SegmentAtServer {
            part: part.id,
            server,
        };
        let entry = Entry {
            tokens: part.tokens,
            used_at: now,
        };
        self.entries.insert(key, entry);
        let holders = self.holders.entry(part.id).or_default();
        holders.retain(|holder| *holder != server);
        holders.push(server);
        if holders.len() > MAX_SERVERS_PER_SEGMENT {
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
                holders.filter(|server| self.cached_tokens(**server, part.id, now) > 0)
            })
            .copied()
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Number of prompt tokens that a server does not have cached.
    #[must_use]
    pub fn uncached_tokens(&self, server: ServerKey, parts: &[PromptPart], now: Duration) -> u32 {
        let mut uncached: u32 = 0;
        let mut is_prefix_cached = true;
        for part in parts {
            let cached = if is_prefix_cached {
                self.cached_tokens(server, part.id, now).min(part.tokens)
            } else {
                0
            };
            is_prefix_cached &= cached == part.tokens;
            uncached = uncached.saturating_add(part.tokens - cached);
        }
        uncached
    }

    fn drop_stale_holders(&mut self) {
        let entries = &self.entries;
        self.holders.retain(|part, servers| {
            servers.retain(|server| {
                let key = SegmentAtServer {
                    part: *part,
                    server: *server,
                };
                entries.contains_key(&key)
            });
            !servers.is_empty()
        });
    }

    fn cached_tokens(&self, server: ServerKey, part: u64, now: Duration) -> u32 {
        let entry = self.entries.get(&SegmentAtServer { part, server });
        let entry = entry.filter(|entry| now.saturating_sub(entry.used_at) < ENTRY_TTL);
        entry.map_or(0, |entry| entry.tokens)
    }

    /// Drops expired entries, and the oldest if there are too many.
    pub fn remove_expired(&mut self, now: Duration) {
        let mut limit = ENTRY_TTL;
        loop {
            self.entries
                .retain(|_, entry| now.saturating_sub(entry.used_at) < limit);
            if self.entries.len() <= MAX_ENTRIES {
                self.drop_stale_holders();
                return;
            }
            limit /= 2;
        }
    }
}
