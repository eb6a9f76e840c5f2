//! Accounts of cache that was filled and lost before any reuse.

use crate::request::OwnerKey;
use std::collections::BTreeMap;

/// Tokens of cache blocks lost before their first reuse.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waste {
    /// Lost to eviction, by tokens.
    pub evicted_tokens: u64,
    /// Given up by an order to drop them, by tokens.
    pub dropped_tokens: u64,
}

/// [`Waste`] by the owner who filled the blocks.
pub type WasteByOwner = BTreeMap<OwnerKey, Waste>;

/// Why a block left the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossCause {
    Evicted,
    Dropped,
}

/// The running account.
#[derive(Debug, Default)]
pub(crate) struct WasteLedger {
    by_owner: WasteByOwner,
}

impl WasteLedger {
    pub(crate) fn charge(&mut self, owner: OwnerKey, tokens: u32, cause: LossCause) {
        let waste = self.by_owner.entry(owner).or_default();
        match cause {
            LossCause::Evicted => waste.evicted_tokens += u64::from(tokens),
            LossCause::Dropped => waste.dropped_tokens += u64::from(tokens),
        }
    }

    pub(crate) fn by_owner(&self) -> &WasteByOwner {
        &self.by_owner
    }
}
