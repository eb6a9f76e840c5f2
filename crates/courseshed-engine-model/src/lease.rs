//! Cache leases: a program's hold on a prefix, for a limited time.

use crate::cache::BlockCache;
use crate::hash::BlockHash;
use crate::request::ProgramKey;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// What a lease holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Leading blocks of the asked chain that are held.
    pub held_blocks: usize,
    /// Blocks asked for.
    pub asked_blocks: usize,
}

/// One lease, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseView {
    /// The holder.
    pub program: ProgramKey,
    /// Blocks held.
    pub held_blocks: usize,
    /// When it runs out unless renewed.
    pub expires_at: Duration,
}

struct Lease {
    chain: Arc<[BlockHash]>,
    held: usize,
    expires_at: u64,
}

#[derive(Default)]
pub(crate) struct LeaseTable {
    leases: BTreeMap<ProgramKey, Lease>,
    by_expiry: BTreeSet<(u64, ProgramKey)>,
}

impl LeaseTable {
    /// Grants a lease, or replaces the program's older one.
    pub(crate) fn put(
        &mut self,
        cache: &mut BlockCache,
        program: ProgramKey,
        chain: Arc<[BlockHash]>,
        expires_at: u64,
    ) -> LeaseGrant {
        self.remove(cache, program);
        let held = cache.lease(&chain);
        let grant = LeaseGrant {
            held_blocks: held,
            asked_blocks: chain.len(),
        };
        if held == 0 {
            return grant;
        }
        let lease = Lease {
            chain,
            held,
            expires_at,
        };
        self.leases.insert(program, lease);
        self.by_expiry.insert((expires_at, program));
        grant
    }

    /// Moves the expiry of a lease; `None` if the program holds none.
    pub(crate) fn renew(&mut self, program: ProgramKey, expires_at: u64) -> Option<LeaseGrant> {
        let lease = self.leases.get_mut(&program)?;
        self.by_expiry.remove(&(lease.expires_at, program));
        lease.expires_at = expires_at;
        self.by_expiry.insert((expires_at, program));
        Some(LeaseGrant {
            held_blocks: lease.held,
            asked_blocks: lease.chain.len(),
        })
    }

    pub(crate) fn remove(&mut self, cache: &mut BlockCache, program: ProgramKey) -> bool {
        let Some(lease) = self.leases.remove(&program) else {
            return false;
        };
        self.by_expiry.remove(&(lease.expires_at, program));
        cache.unlease(&lease.chain[..lease.held]);
        true
    }

    /// Removes the next lease that has run out by `now`.
    pub(crate) fn expire_next(
        &mut self,
        cache: &mut BlockCache,
        now: u64,
    ) -> Option<(u64, ProgramKey)> {
        let &(expires_at, program) = self.by_expiry.first()?;
        if expires_at > now {
            return None;
        }
        self.remove(cache, program);
        Some((expires_at, program))
    }

    /// Removes the lease that would run out first, whether or not it has.
    pub(crate) fn break_first(&mut self, cache: &mut BlockCache) -> Option<ProgramKey> {
        let &(_, program) = self.by_expiry.first()?;
        self.remove(cache, program);
        Some(program)
    }

    pub(crate) fn next_expiry(&self) -> Option<u64> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    pub(crate) fn len(&self) -> usize {
        self.leases.len()
    }

    pub(crate) fn list(&self) -> Vec<LeaseView> {
        self.leases
            .iter()
            .map(|(program, lease)| LeaseView {
                program: *program,
                held_blocks: lease.held,
                expires_at: Duration::from_nanos(lease.expires_at),
            })
            .collect()
    }
}
