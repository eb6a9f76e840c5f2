//! Decides which new programs are admitted while engines are short of capacity. No I/O; the current
//! time and random numbers are passed in.
//!
//! Turns of programs in progress are always admitted. Of the new programs of a service, a share is
//! admitted that falls with the pressure on its servers and never reaches zero. Which programs are
//! in the share follows from their ids, so that all gateways agree and a retry does not get another
//! chance; with a new draw for each attempt, three attempts would admit far more than the share.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_quota::ProgramPhase;

/// Calls per slot above which new programs are refused. In the load test, thresholds of 0.7 to 1.1
/// were worse: where some engines have free slots, calls already queue at others.
const MIN_PRESSURE: f64 = 0.6;
/// Pressure above [`MIN_PRESSURE`] at which the admitted share has fallen to 1/e.
const PRESSURE_SCALE: f64 = 0.25;
/// Minimum admitted share.
const MIN_SHARE: f64 = 0.02;
/// How long a shortage must last before programs are refused; longer than two load reports.
const MIN_SHORTAGE: Duration = Duration::from_millis(200);
/// Age at which an observation no longer causes refusals. Load reports of other gateways are valid
/// for as long.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Gap between load reports after which a shortage must last anew, for example after a freeze.
/// Longer than the gaps while three of four reports are lost, or those would prevent refusals.
const MAX_GAP: Duration = Duration::from_secs(5);
/// Pressure added for each step of priority after the first, up to a limit.
const PRESSURE_PER_PRIORITY: f64 = 0.05;
const MAX_PRIORITY_STEPS: u32 = 4;
/// Pressure added for a program that is not expected to finish in time even if it is admitted.
const LATE_PRESSURE: f64 = 0.25;
/// Bounds of the retry delay. A program that returns after 0.3 to 1 s is served too late, and takes
/// the place of another; in the load test, fewer programs finished in time with such delays.
const MIN_RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_millis(300);

/// The load of the servers of a service that may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Calls of all known gateways.
    pub calls: u32,
    /// Calls that the servers run concurrently.
    pub slots: u32,
    /// Duration of a call, in milliseconds.
    pub call_ms: f64,
    /// Age of the load report of the other gateways.
    pub age: Duration,
}

/// A call that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Whether the call begins a program.
    pub phase: ProgramPhase,
    /// Priority of the route or tenant; lower values come first.
    pub priority: u32,
    /// Time left until the program should finish.
    pub time_left: Option<Duration>,
    /// Turns that the program's budget suffices for.
    pub budgeted_turns: Option<u32>,
}

/// The decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call is served.
    Admitted,
    /// The call is refused.
    Refused {
        /// When a retry has a chance of success.
        retry_after: Duration,
    },
}

/// The observed load of a service.
#[derive(Clone, Copy, Debug)]
struct ObservedService {
    pressure: f64,
    call_ms: f64,
    /// When the observed calls were current.
    current_at: Duration,
    /// Times of the first and the latest of the observations in a row that showed a shortage.
    shortage: Option<(Duration, Duration)>,
}

/// Admission control of a gateway.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    services: BTreeMap<String, ObservedService>,
}

impl AdmissionControl {
    /// Records the load of a service; called after each load report.
    pub fn observe(&mut self, service: &str, load: &ServiceLoad, now: Duration) {
        let pressure = f64::from(load.calls) / f64::from(load.slots.max(1));
        let is_current = load.age < MAX_AGE;
        let is_short = pressure > MIN_PRESSURE && is_current;
        let before = self.services.get(service);
        // A shortage from before a gap in the reports says nothing about how long this one lasts.
        let since = before
            .and_then(|before| before.shortage)
            .filter(|(_, until)| now.saturating_sub(*until) < MAX_GAP)
            .map_or(now, |(since, _)| since);
        let observed = ObservedService {
            pressure,
            call_ms: load.call_ms,
            current_at: now.saturating_sub(load.age),
            shortage: is_short.then_some((since, now)),
        };
        self.services.insert(service.to_owned(), observed);
    }

    /// Drops the services that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| exists(service));
    }

    /// Whether new programs of a service may be refused.
    #[must_use]
    pub fn is_limiting(&self, service: &str) -> bool {
        let observed = self.services.get(service);
        observed.is_some_and(ObservedService::is_lasting_shortage)
    }

    /// Decides on a call. `draw` is uniform in 0..1, and the same for all attempts of a program.
    #[must_use]
    pub fn decide(
        &self,
        service: &str,
        request: &AdmissionRequest,
        now: Duration,
        draw: f64,
    ) -> AdmissionDecision {
        let Some(observed) = self.services.get(service) else {
            return AdmissionDecision::Admitted;
        };
        let share = observed.admitted_share(request, now);
        if request.phase != ProgramPhase::New || draw < share {
            return AdmissionDecision::Admitted;
        }
        // Uniform in 0..1 among the refused programs.
        let spread = (draw - share) / (1.0 - share);
        AdmissionDecision::Refused {
            retry_after: MIN_RETRY + (MAX_RETRY - MIN_RETRY).mul_f64(spread.clamp(0.0, 1.0)),
        }
    }

    /// The share of new programs of the given kind that is admitted.
    #[must_use]
    pub fn admitted_share(&self, service: &str, request: &AdmissionRequest, now: Duration) -> f64 {
        let observed = self.services.get(service);
        observed.map_or(1.0, |observed| observed.admitted_share(request, now))
    }
}

impl ObservedService {
    fn admitted_share(&self, request: &AdmissionRequest, now: Duration) -> f64 {
        if !self.is_lasting_shortage() {
            return 1.0;
        }
        let steps = request.priority.min(MAX_PRIORITY_STEPS);
        let mut excess = self.pressure - MIN_PRESSURE + f64::from(steps) * PRESSURE_PER_PRIORITY;
        if self.would_be_late(request) {
            excess += LATE_PRESSURE;
        }
        let age = now.saturating_sub(self.current_at);
        let confidence = 1.0 - (age.as_secs_f64() / MAX_AGE.as_secs_f64()).min(1.0);
        (-excess * confidence / PRESSURE_SCALE)
            .exp()
            .clamp(MIN_SHARE, 1.0)
    }

    fn is_lasting_shortage(&self) -> bool {
        self.shortage
            .is_some_and(|(since, until)| until.saturating_sub(since) >= MIN_SHORTAGE)
    }

    fn would_be_late(&self, request: &AdmissionRequest) -> bool {
        let times = request.time_left.zip(request.budgeted_turns);
        times.is_some_and(|(time_left, turns)| {
            time_left.as_secs_f64() * 1000.0 < f64::from(turns) * self.call_ms
        })
    }
}
