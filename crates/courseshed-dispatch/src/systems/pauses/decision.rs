//! Decides what to do with a paused program's cached prefix, as a pure function.
//!
//! Losses are measured in units of computing the whole prefix once. All terms scale with the
//! prefix's tokens, so its size cancels out. Holding a lease costs memory, priced as the resumption
//! rate per second at which it breaks even. Losing the memory costs recomputing the prefix on
//! resumption, or importing it if it was exported before; exporting costs link bandwidth whether or
//! not the program resumes.

/// Estimates about a paused program and its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PauseEstimates {
    /// Highest probability of resumption per second of holding, over several horizons.
    pub(crate) resume_rate: f64,
    /// Probability that the program resumes at all, 0 to 1.
    pub(crate) resume_probability: f64,
    /// Resumption rate per second at which holding the memory breaks even.
    pub(crate) memory_price: f64,
    /// Probability that an unleased prefix is evicted before it is used, 0 to 1.
    pub(crate) eviction_probability: f64,
    /// Cost of moving the prefix over the engine's link once, as a fraction of computing it.
    pub(crate) transfer_cost: f64,
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
pub(crate) fn decide(estimates: &PauseEstimates) -> PauseDecision {
    let without_lease = loss_without_lease(estimates);
    let per_resumption =
        (without_lease / estimates.resume_probability.max(f64::MIN_POSITIVE)).min(1.0);
    if estimates.resume_rate * per_resumption >= estimates.memory_price {
        return PauseDecision::Hold;
    }
    if estimates.copy == CopyState::Possible
        && loss_with_export(estimates) < loss_with_drop(estimates)
    {
        return PauseDecision::Export;
    }
    PauseDecision::Drop
}

/// Expected loss after releasing the lease. Assumes that the prefix is then evicted, since other
/// programs release leases under the same conditions.
fn loss_without_lease(estimates: &PauseEstimates) -> f64 {
    match estimates.copy {
        CopyState::Impossible => estimates.resume_probability,
        CopyState::Possible => {
            let copied = estimates.transfer_cost * (1.0 + estimates.resume_probability);
            estimates.resume_probability.min(copied)
        }
        CopyState::Exists => estimates.resume_probability * estimates.transfer_cost,
    }
}

/// Expected loss if the prefix is exported now and imported on resumption.
fn loss_with_export(estimates: &PauseEstimates) -> f64 {
    estimates.transfer_cost
        + estimates.resume_probability * estimates.eviction_probability * estimates.transfer_cost
}

/// Expected loss if the prefix is left to eviction.
fn loss_with_drop(estimates: &PauseEstimates) -> f64 {
    estimates.resume_probability * estimates.eviction_probability
}

#[cfg(test)]
mod tests;
