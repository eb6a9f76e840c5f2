//! Online estimates of program behavior.

mod decaying_rate;
mod histogram;
mod workload;

pub(crate) use decaying_rate::DecayingRate;
pub(crate) use histogram::LogHistogram;
pub(crate) use workload::WorkloadEstimates;
