//! Decides what to do with a paused program's cached prefix, as a pure function.
//!
//! Losses are measured in units of computing the whole prefix once. All terms scale with the
//! prefix's tokens, so its size cancels out. Holding a lease costs memory, priced as the resumption
//! rate per second at which it breaks even. Losing the memory costs recomputing the prefix on
//! resumption, or importing it if it was exported before; exporting costs link bandwidth whether or
//! not the program resumes.

/// Estimates about a paused program and its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PauseOutlook {
    /// Highest probability of resumption per second of holding, over several horizons.
    pub(crate) returns_per_second: f64,
    /// Probability that the program resumes at all, 0 to 1.
    pub(crate) returns: f64,
    /// Resumption rate per second at which holding the memory breaks even.
    pub(crate) memory_price: f64,
    /// Probability that an unleased prefix is evicted before it is used, 0 to 1.
    pub(crate) eviction: f64,
    /// Cost of moving the prefix over the engine's link once, as a fraction of computing it.
    pub(crate) transfer: f64,
    pub(crate) copy: CopyState,
}

/// Whether a copy of the prefix is stored outside its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CopyState {
    /// There is none and none can be made.
    Impossible,
    /// There is none, but one can be made.
    Possible,
    Exists,
}

/// What to do with a paused program's prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PauseDecision {
    /// Keep the lease.
    Hold,
    /// Export the prefix, then release the lease.
    Export,
    /// Release the lease; the engine may evict the prefix.
    Drop,
}

/// Chooses the action with the least expected loss.
pub(crate) fn decide(outlook: &PauseOutlook) -> PauseDecision {
    let without_memory = loss_without_memory(outlook);
    let per_return = (without_memory / outlook.returns.max(f64::MIN_POSITIVE)).min(1.0);
    if outlook.returns_per_second * per_return >= outlook.memory_price {
        return PauseDecision::Hold;
    }
    if outlook.copy == CopyState::Possible && loss_with_export(outlook) < loss_by_drop(outlook) {
        return PauseDecision::Export;
    }
    PauseDecision::Drop
}

/// Expected loss after releasing the lease. Assumes that the prefix is then evicted, since other
/// programs release leases under the same conditions.
fn loss_without_memory(outlook: &PauseOutlook) -> f64 {
    match outlook.copy {
        CopyState::Impossible => outlook.returns,
        CopyState::Possible => {
            let copied = outlook.transfer * (1.0 + outlook.returns);
            outlook.returns.min(copied)
        }
        CopyState::Exists => outlook.returns * outlook.transfer,
    }
}

/// Expected loss if the prefix is exported now and imported on resumption.
fn loss_with_export(outlook: &PauseOutlook) -> f64 {
    outlook.transfer + outlook.returns * outlook.eviction * outlook.transfer
}

/// Expected loss if the prefix is left to eviction.
fn loss_by_drop(outlook: &PauseOutlook) -> f64 {
    outlook.returns * outlook.eviction
}

#[cfg(test)]
mod tests;
