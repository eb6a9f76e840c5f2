//! What a paused program's prefix is worth, as a pure function.
//!
//! Losses are counted in units of computing the whole prefix once; both sides of every comparison grow with the
//! prefix's tokens alike, so its size does not matter. Holding costs memory, at a price that is stated as the returns
//! per second that pay for it. Losing the memory costs a return the whole prefix, or only the import of a copy that
//! was moved out before; moving it out costs the link whether or not the program returns.

/// What was learned of a paused program and its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PauseOutlook {
    /// Best chance of a return per second of holding, over several horizons.
    pub(crate) returns_per_second: f64,
    /// Chance that the program returns at all, 0 to 1.
    pub(crate) returns: f64,
    /// Returns per second that pay for the memory.
    pub(crate) memory_price: f64,
    /// Chance that a prefix without lease is evicted before it is used, 0 to 1.
    pub(crate) eviction: f64,
    /// Cost of moving the prefix over the engine's link once, as a part of computing it.
    pub(crate) transfer: f64,
    /// Whether there is a copy outside the engine's memory.
    pub(crate) copy: CopyState,
}

/// Whether a prefix is kept outside its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CopyState {
    /// It can't be.
    Impossible,
    /// Not yet.
    Possible,
    /// It is.
    Exists,
}

/// What is done with a paused program's prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PauseDecision {
    /// Keep its lease.
    Hold,
    /// Copy it out, then give its lease up.
    Export,
    /// Give its lease up; it stays until the engine needs the memory.
    Drop,
}

/// Decides with the least expected loss.
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

/// Expected loss if the lease is given up and nothing else is done. What holding saves is counted as if the prefix
/// were evicted then, since others give theirs up for the same reasons.
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

/// Expected loss if the prefix is copied out now and imported at a return.
fn loss_with_export(outlook: &PauseOutlook) -> f64 {
    outlook.transfer + outlook.returns * outlook.eviction * outlook.transfer
}

/// Expected loss if the prefix is left to be evicted.
fn loss_by_drop(outlook: &PauseOutlook) -> f64 {
    outlook.returns * outlook.eviction
}

#[cfg(test)]
mod tests;
