//! Whether an engine may be tried, from what became of calls there.
//!
//! An engine that fails quickly looks idle and draws calls; each of them is lost to its caller for a try. So an engine
//! rests after failures in a row, is then tried with one call, and counts as dearer while part of its calls fail.

use std::time::Duration;

/// First and longest rest. A failed turn is sent anew within 0.1 to 0.4 s: the first rest lets that go elsewhere.
const FIRST_REST: Duration = Duration::from_millis(400);
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Rest after an engine said that it is full: about the time in which a call of a busy engine ends.
const FULL_REST: Duration = Duration::from_millis(40);
/// Failures in a row after which an engine rests. One may be the call's own; two in a row of a service that fails one
/// call in a hundred come by chance once in ten thousand.
const FAILURES_IN_A_ROW: u32 = 2;
/// Time in which what became of calls counts half: long enough for the dozen calls that tell a part that fails.
const HALF_LIFE: Duration = Duration::from_millis(1500);
/// Good answers that every engine is taken to have had, so that one failure alone says little.
const ASSUMED_GOOD: f64 = 8.0;

/// What became of calls at an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    in_a_row: u32,
    rests: u32,
    rests_until: Duration,
    is_probing: bool,
    good: f64,
    failed: f64,
    counted_at: Duration,
}

impl Health {
    /// Whether the engine may be given a call, with so many running there.
    pub(crate) fn may_be_tried(&self, now: Duration, running: usize) -> bool {
        self.rests_until <= now && (!self.is_probing || running == 0)
    }

    /// The part of calls that failed lately, 0 to 1.
    pub(crate) fn failing_part(&self, now: Duration) -> f64 {
        let fade = self.fade(now);
        let (good, failed) = (self.good * fade, self.failed * fade);
        failed / (good + failed + ASSUMED_GOOD)
    }

    pub(crate) fn note_good(&mut self, now: Duration) {
        self.fade_to(now);
        self.good += 1.0;
        self.in_a_row = 0;
        self.is_probing = false;
        // Trust comes back step by step: a part that fails must not undo what rests have learned.
        if self.failing_part(now) < 0.1 {
            self.rests = 0;
        }
    }

    pub(crate) fn note_full(&mut self, now: Duration) {
        self.rests_until = self.rests_until.max(now + FULL_REST);
    }

    pub(crate) fn note_failed(&mut self, now: Duration) {
        self.fade_to(now);
        self.failed += 1.0;
        self.in_a_row += 1;
        if self.in_a_row >= FAILURES_IN_A_ROW || self.is_probing {
            self.rest(now);
        }
    }

    /// Takes in that the engine could not be reached or broke off: its calls are as good as lost.
    pub(crate) fn note_broken(&mut self, now: Duration) {
        self.fade_to(now);
        self.failed += 1.0;
        self.in_a_row += 1;
        self.rest(now);
    }

    fn rest(&mut self, now: Duration) {
        if self.rests_until > now {
            // Calls sent before the rest tell nothing new.
            return;
        }
        let rest = FIRST_REST * 2u32.saturating_pow(self.rests.min(8));
        self.rests += 1;
        self.rests_until = now + rest.min(LONGEST_REST);
        self.is_probing = true;
    }

    fn fade(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.counted_at).as_secs_f64();
        0.5f64.powf(passed / HALF_LIFE.as_secs_f64())
    }

    fn fade_to(&mut self, now: Duration) {
        let fade = self.fade(now);
        self.good *= fade;
        self.failed *= fade;
        self.counted_at = now;
    }
}
