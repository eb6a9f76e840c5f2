//! Model checking of control: every reachable state of small worlds, driving the real code.
//!
//! Two specifications:
//! - [`settings_lease`]: versions are accepted once, nodes never go back, and a lease that ran out starts nothing,
//!   with the real [`crate::ControlLeader`], [`crate::ControlState`] and [`crate::NodeControlView`];
//! - [`escrow`]: what shards may spend never exceeds what the ledger granted, with the real ledger of
//!   [`crate::ControlState`] and the real escrow accounts of `courseshed_programs`.
//!
//! Each is run with rules broken on purpose too, which the search must find. Consensus is taken for granted here (it
//! has its own specification): a proposal is committed in order, or lost with its leader.

pub mod escrow;
pub mod settings_lease;

use courseshed_types::model_report::ModelReport;

/// Checks every specification and every broken variant of it.
pub fn check_all() -> Vec<ModelReport> {
    let mut reports = settings_lease::check_all();
    reports.extend(escrow::check_all());
    reports
}

#[cfg(test)]
mod tests;
