//! Processor time of the thread that drives the fleet.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Readings of which the shortest distance is taken as the cost of one.
const CALIBRATIONS: u32 = 10_000;

/// Processor time of this thread, as the operating system counts it: what other processes take is not in it.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// What one reading costs at least; a measured step is too long by this much.
pub fn reading_cost() -> Duration {
    let distances = (0..CALIBRATIONS).map(|_| {
        let before = thread_time();
        thread_time().saturating_sub(before)
    });
    distances.min().unwrap_or_default()
}
