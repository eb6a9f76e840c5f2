//! The order of calls that wait for an engine.
//!
//! Load that it answers: more calls than engines can serve in aim, for some seconds. First come, first served makes
//! every program late then; here those that can still end in their aim go first, and among them those under way, so
//! that what is let in ends in time. Nobody starves: within a class a call is overtaken only by calls that come within
//! a bounded time after it, and one place in [`LATE_PLACES`] goes to calls of late programs.

use std::time::Duration;

use crate::programs::Standing;

/// A program counts as still able to end in its aim from this slack on: below it, half again as fast as usual would
/// not be enough.
const FEASIBLE_SLACK: f64 = 0.8;
/// One of so many engine places goes to a call of a late program while there is one: they earn less,
/// but their callers wait, too.
pub(crate) const LATE_PLACES: u32 = 10;
/// How much later a call counts as having come for each step of rank, in milliseconds: about the time that a turn of a
/// busy pool waits, so that urgent calls pass others of their class and no rank is shut out.
const DELAY_OF_RANK_MS: f64 = 100.0;
/// Ranks beyond this count as this one.
const LAST_RANK: u32 = 5;
/// How much spare time of its program may let a call wait, in milliseconds: longer spare times are guesses.
const SPARE_COUNTED_MS: f64 = 300.0;
/// Classes of calls, the first served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    /// The program is under way and can end in its aim; or the call is of no program.
    InAim,
    /// The program begins and can end in its aim.
    New,
    /// The program will be late, by less than its whole aim.
    Late,
    /// The program is later than that.
    Lost,
}

/// A call's place in the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rank {
    pub class: Class,
    /// When it counts as having come, in milliseconds.
    pub at_ms: f64,
}

impl Rank {
    /// Whether the call's program can't end in its aim any more.
    pub(crate) fn is_late(&self) -> bool {
        self.class >= Class::Late
    }
}

/// What the order goes by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim<'a> {
    pub arrived: Duration,
    pub rank: u32,
    pub standing: &'a Standing,
    /// Delay of a tenant that has more than its share, in milliseconds.
    pub share_delay_ms: f64,
}

/// The place of a call now.
pub(crate) fn rank(claim: &Claim, now: Duration) -> Rank {
    let standing = claim.standing;
    let spare = standing.spare_ms(now).unwrap_or(0.0);
    let spare = spare.clamp(0.0, SPARE_COUNTED_MS);
    let of_rank = DELAY_OF_RANK_MS * f64::from(claim.rank.min(LAST_RANK));
    let arrived = claim.arrived.as_secs_f64() * 1000.0;
    Rank {
        class: class(claim, now),
        at_ms: arrived + spare + of_rank + claim.share_delay_ms,
    }
}

fn class(claim: &Claim, now: Duration) -> Class {
    let standing = claim.standing;
    let Some(slack) = standing.slack(now) else {
        return Class::InAim;
    };
    if slack >= FEASIBLE_SLACK {
        if standing.is_first && claim.share_delay_ms > 0.0 {
            // A tenant beyond its share begins programs with the room that the others leave.
            return Class::Late;
        }
        return if standing.is_first {
            Class::New
        } else {
            Class::InAim
        };
    }
    let lost_at = standing.aim_at.map(|aim_at| aim_at + standing.aim);
    if lost_at.is_some_and(|lost_at| lost_at <= now) {
        return Class::Lost;
    }
    Class::Late
}
