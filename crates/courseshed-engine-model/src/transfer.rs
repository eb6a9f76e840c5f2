//! Export and import of prefixes over one link, which does not hold up the engine's steps.

use crate::hash::BlockHash;
use crate::request::OwnerKey;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Which way blocks move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferKind {
    /// Out of the engine's memory; the blocks also stay until evicted.
    Export,
    /// Into the engine's memory.
    Import,
}

/// A transfer under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferTicket {
    /// Its number, unique in the engine.
    pub transfer: u64,
    /// Blocks that will move.
    pub blocks: usize,
    /// When it ends.
    pub ready_at: Duration,
}

pub(crate) struct Transfer {
    pub(crate) number: u64,
    pub(crate) kind: TransferKind,
    pub(crate) chain: Arc<[BlockHash]>,
    pub(crate) blocks: usize,
    pub(crate) owner: OwnerKey,
}

#[derive(Default)]
pub(crate) struct TransferTable {
    under_way: BTreeMap<(u64, u64), Transfer>,
    link_free_at: u64,
    next_number: u64,
}

impl TransferTable {
    /// Queues a transfer on the link.
    pub(crate) fn start(
        &mut self,
        now: u64,
        per_block: u64,
        kind: TransferKind,
        chain: Arc<[BlockHash]>,
        blocks: usize,
        owner: OwnerKey,
    ) -> TransferTicket {
        let number = self.next_number;
        self.next_number += 1;
        let ready_at = self.link_free_at.max(now) + per_block * blocks as u64;
        self.link_free_at = ready_at;
        let transfer = Transfer {
            number,
            kind,
            chain,
            blocks,
            owner,
        };
        self.under_way.insert((ready_at, number), transfer);
        TransferTicket {
            transfer: number,
            blocks,
            ready_at: Duration::from_nanos(ready_at),
        }
    }

    /// Takes the next transfer that has ended by `now`, and when it did.
    pub(crate) fn finish_next(&mut self, now: u64) -> Option<(u64, Transfer)> {
        let entry = self.under_way.first_entry()?;
        let (ready_at, _) = *entry.key();
        (ready_at <= now).then(|| (ready_at, entry.remove()))
    }

    pub(crate) fn next_end(&self) -> Option<u64> {
        self.under_way
            .first_key_value()
            .map(|((ready_at, _), _)| *ready_at)
    }
}
