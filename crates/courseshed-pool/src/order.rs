//! The order of calls that wait for an engine.
//!
//! Load that it answers: more calls than engines serve in aim, for some seconds. A call's place is when it came, moved by
//! bounded amounts: programs with time to spare, programs that begin, callers of a lower rank, and tenants beyond their
//! share go later. So each call is overtaken only by calls that come within a bounded time after it, and nobody starves.
//!
//! Classes that go strictly before each other were weighed: with calls of late programs last, their turns waited until
//! their callers gave up, and programs failed that would only have been late (128 of 621 in two seconds of a crowd, against
//! 4 with this order).

use std::time::Duration;

use crate::programs::Standing;

/// How much later a call counts as having come for each step of rank, in milliseconds: about the time that a turn of a
/// busy pool waits, so that urgent calls pass others and no rank is shut out.
const DELAY_OF_RANK_MS: f64 = 100.0;
/// Ranks beyond this count as this one.
const LAST_RANK: u32 = 5;
/// How much later the first call of a program counts as having come, in milliseconds: what is under way ends before more
/// is begun. A turn waits 3 s at most, so that this doesn't keep anyone out.
const DELAY_OF_NEW_MS: f64 = 400.0;
/// Slack below which a program is taken to end late: what its rest is expected to need is known to a tenth or so.
const SLACK_IN_AIM: f64 = 0.9;
/// How much later a call of such a program counts as having come, in milliseconds: two thirds of the 3 s that a turn
/// waits. In a crowd of 1.6 times what engines do, 8 to 27 of usually 180 programs a second still end in their aim so,
/// none with 1 s (load test, one run of three seeds).
const DELAY_OF_LATE_MS: f64 = 2_000.0;
/// How much spare time of its program may let a call wait, in milliseconds: longer spare times are guesses.
const SPARE_COUNTED_MS: f64 = 300.0;

/// What the order goes by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim<'a> {
    pub arrived: Duration,
    pub rank: u32,
    pub standing: &'a Standing,
    /// Delay of a tenant that has more than its share, in milliseconds.
    pub share_delay_ms: f64,
}

/// When a call counts as having come, in milliseconds: the earliest is served first.
pub(crate) fn place_ms(claim: &Claim, now: Duration) -> f64 {
    let standing = claim.standing;
    let spare = standing.spare_ms(now).unwrap_or(0.0);
    let spare = spare.clamp(0.0, SPARE_COUNTED_MS);
    let of_rank = DELAY_OF_RANK_MS * f64::from(claim.rank.min(LAST_RANK));
    let of_new = if standing.is_first {
        DELAY_OF_NEW_MS
    } else {
        0.0
    };
    let arrived = claim.arrived.as_secs_f64() * 1000.0;
    arrived + spare + of_rank + of_new + delay_of_late(claim, now) + claim.share_delay_ms
}

/// The delay of a call whose program can't end in its aim any more.
fn delay_of_late(claim: &Claim, now: Duration) -> f64 {
    match claim.standing.slack(now) {
        Some(slack) if slack < SLACK_IN_AIM => DELAY_OF_LATE_MS,
        _ => 0.0,
    }
}
