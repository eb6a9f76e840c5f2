//! Programs with calls in the pool and the location of their cached prefixes.

use std::collections::BTreeMap;

use courseshed_types::{
    Attempt, BranchPath, EngineId, ProgramId, RequestId, Sequence, ShardId, Timestamp, Tokens,
};

/// A program's cached prefix on one engine, as tracked by the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CachedPrefix {
    pub(crate) engine: EngineId,
    pub(crate) tokens: Tokens,
    /// Tokens that no call has reused yet.
    pub(crate) unused: Tokens,
    /// Lease expiry, if the prefix is leased.
    pub(crate) leased_until: Option<Timestamp>,
    /// Tokens counted in the engine's leased memory.
    pub(crate) leased_tokens: Tokens,
}

#[derive(Debug, Clone)]
pub(crate) struct ProgramEntry {
    pub(crate) branch: BranchPath,
    pub(crate) shard: ShardId,
    /// Completed calls.
    pub(crate) turns: u32,
    /// The last attempt that ended; later messages about it or earlier attempts are dropped.
    pub(crate) last_ended: Option<(Sequence, Attempt)>,
    /// Since when the program has had no call in the pool.
    pub(crate) paused_since: Option<Timestamp>,
    /// Prefix tokens stored outside engines.
    pub(crate) exported: Tokens,
    /// Exported tokens that no call has reused yet.
    pub(crate) exported_unused: Tokens,
    pub(crate) prefix: Option<CachedPrefix>,
}

impl ProgramEntry {
    pub(crate) fn new(branch: BranchPath, shard: ShardId) -> ProgramEntry {
        ProgramEntry {
            branch,
            shard,
            turns: 0,
            last_ended: None,
            paused_since: None,
            exported: Tokens::ZERO,
            exported_unused: Tokens::ZERO,
            prefix: None,
        }
    }

    /// Whether this attempt or a later one has ended.
    pub(crate) fn has_ended(&self, request: &RequestId) -> bool {
        let attempt = (request.call.sequence, request.attempt);
        self.last_ended.is_some_and(|last| attempt <= last)
    }

    /// Records the end of an attempt.
    pub(crate) fn record_ended(&mut self, request: &RequestId) {
        let attempt = (request.call.sequence, request.attempt);
        self.last_ended = self.last_ended.max(Some(attempt));
    }

    /// Tokens of the program's prefix believed cached on an engine.
    pub(crate) fn cached_on(&self, engine: &EngineId) -> Tokens {
        match &self.prefix {
            Some(prefix) if prefix.engine == *engine => prefix.tokens,
            _ => Tokens::ZERO,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct ProgramTable {
    programs: BTreeMap<ProgramId, ProgramEntry>,
}

impl ProgramTable {
    pub(crate) fn get(&self, program: &ProgramId) -> Option<&ProgramEntry> {
        self.programs.get(program)
    }

    pub(crate) fn get_mut(&mut self, program: &ProgramId) -> Option<&mut ProgramEntry> {
        self.programs.get_mut(program)
    }

    pub(crate) fn get_or_insert(
        &mut self,
        program: ProgramId,
        branch: &BranchPath,
        shard: ShardId,
    ) -> &mut ProgramEntry {
        self.programs
            .entry(program)
            .or_insert_with(|| ProgramEntry::new(branch.clone(), shard))
    }

    pub(crate) fn remove(&mut self, program: &ProgramId) -> Option<ProgramEntry> {
        self.programs.remove(program)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ProgramId, &ProgramEntry)> {
        self.programs.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.programs.len()
    }
}
