//! The specification of escrow.

use courseshed_types::model_report::ModelReport;

pub(super) fn check_all() -> Vec<ModelReport> {
    Vec::new()
}
