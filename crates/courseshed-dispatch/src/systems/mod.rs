//! Systems that operate on the tables.

pub(crate) mod announcement;
pub(crate) mod assignment;
pub(crate) mod cache_view;
pub(crate) mod engine_health;
pub(crate) mod engine_selection;
pub(crate) mod expiry;
pub(crate) mod fairness;
pub(crate) mod liveness;
pub(crate) mod ordering;
pub(crate) mod parking;
pub(crate) mod pauses;
pub(crate) mod queueing;
pub(crate) mod reclaim;
pub(crate) mod requests;
pub(crate) mod shedding;
pub(crate) mod transfers;
