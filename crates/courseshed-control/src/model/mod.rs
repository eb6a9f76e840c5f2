//! Model checking of the control plane: explores every reachable state of small configurations of the production
//! code.
//!
//! There are two specifications:
//! - [`settings_lease`]: settings versions are accepted once, nodes never revert to older versions, and no work starts
//!   under an expired lease. Uses [`crate::ControlLeader`], [`crate::ControlState`] and [`crate::NodeControlView`].
//! - [`escrow`]: the tokens that shards can spend never exceed the tokens granted by the ledger. Uses the ledger of
//!   [`crate::ControlState`] and the escrow accounts of `courseshed_programs`.
//!
//! Each specification is also checked with injected defects, which the search must detect. Consensus has its own
//! specification and is assumed to be correct here: proposals are committed in order, or lost with their leader.

pub mod escrow;
pub mod settings_lease;

use courseshed_types::model_report::ModelReport;

/// Checks every specification, without and with injected defects.
pub fn check_all() -> Vec<ModelReport> {
    let mut reports = settings_lease::check_all();
    reports.extend(escrow::check_all());
    reports
}

#[cfg(test)]
mod tests;
