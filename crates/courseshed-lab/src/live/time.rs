//! The clock of the callers, which the emulated engines of the same machine share.

use std::time::{SystemTime, UNIX_EPOCH};

use courseshed_types::Timestamp;

/// The time of the machine's clock, microseconds since the Unix epoch.
pub(crate) fn now() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(since.unwrap_or_default().as_micros() as u64)
}
