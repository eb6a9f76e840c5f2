//! The software versions at which streams began, so that any gateway can resume a stream at the same
//! version.
//!
//! Entries are held in memory only: a stream outlives the response that began it by seconds, and one
//! whose version is lost is refused rather than resumed. All times are passed in.
//!
//! Invariant: a stream has at most one version. If two were recorded, it counts as unknown.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

/// Number of streams beyond which no more are recorded; they take some 15 MB.
const MAX_STREAMS: usize = 100_000;

#[derive(Clone, Debug)]
struct RecordedVersion {
    /// `None` if different versions were recorded.
    version: Option<String>,
    expires_at: Duration,
}

/// The versions known to a store.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    streams: HashMap<String, RecordedVersion>,
}

impl StreamVersions {
    /// Records the version at which a stream began. Returns the version that is known afterwards:
    /// `None` if another one was recorded before, or if there is no room.
    pub fn record(
        &mut self,
        now: Duration,
        stream: String,
        version: String,
        keep: Duration,
    ) -> Option<&str> {
        let is_full = self.streams.len() >= MAX_STREAMS;
        let recorded = match self.streams.entry(stream) {
            Entry::Occupied(known) => {
                let known = known.into_mut();
                if known.expires_at <= now {
                    known.version = Some(version);
                } else if known.version.as_ref() != Some(&version) {
                    known.version = None;
                }
                known.expires_at = known.expires_at.max(now + keep);
                known
            }
            Entry::Vacant(_) if is_full => return None,
            Entry::Vacant(free) => free.insert(RecordedVersion {
                version: Some(version),
                expires_at: now + keep,
            }),
        };
        recorded.version.as_deref()
    }

    /// The version at which a stream began, if it is known.
    #[must_use]
    pub fn version_of(&self, now: Duration, stream: &str) -> Option<&str> {
        let known = self.streams.get(stream)?;
        known.version.as_deref().filter(|_| now < known.expires_at)
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Duration) {
        self.streams.retain(|_, known| now < known.expires_at);
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
