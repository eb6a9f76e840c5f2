//! Tracks a gateway's calls at the pool schedulers. No I/O; the current time is passed in.
//!
//! Invariants: each call number is used once; every controller that has seen a call number is sent
//! exactly one end note for it; a call counts as running from its grant to its end.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_pool::{CallEnd, CallNote, RunningCall};
use courseshed_types::{NodeId, ServerKey};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long an unresponsive controller is skipped: about the duration of a planned restart.
pub const SILENT_REST: Duration = Duration::from_secs(1);
/// Bits reserved for the calls of one millisecond, so that a restarted gateway never reuses a
/// number.
const NUMBERS_OF_A_MILLISECOND: u32 = 20;

/// A call with an assigned number.
#[derive(Clone, Debug)]
struct BookedCall {
    service: String,
    /// The engine and the time of assignment; `None` while the call is queued.
    at_engine: Option<(ServerKey, Duration)>,
    /// Controllers that have seen the call number.
    known_to: Vec<NodeId>,
}

/// The scheduler that last received calls of a service.
#[derive(Clone, Copy, Debug)]
struct LastScheduler {
    controller: NodeId,
    /// Incarnation of the scheduler; `None` until its first response.
    incarnation: Option<u64>,
}

/// The calls of a gateway that schedulers know of or have yet to be told of.
#[derive(Clone, Debug)]
pub struct CallBook {
    next_number: u64,
    calls: BTreeMap<u64, BookedCall>,
    /// Unresponsive controllers, with the end of their cooldown.
    resting: BTreeMap<NodeId, Duration>,
    schedulers: BTreeMap<String, LastScheduler>,
    /// Unsent notes, by controller and service.
    notes: BTreeMap<(NodeId, String), Vec<CallNote>>,
}

impl CallBook {
    /// Creates the tracker of a gateway that starts at the given wall-clock time in milliseconds.
    #[must_use]
    pub fn new(time_of_day_ms: u64) -> Self {
        Self {
            next_number: time_of_day_ms << NUMBERS_OF_A_MILLISECOND,
            calls: BTreeMap::new(),
            resting: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            notes: BTreeMap::new(),
        }
    }

    /// Selects the controller that schedules a service by rendezvous hashing, so that gateways with
    /// the same list of controllers agree. `None` if every controller is in cooldown.
    #[must_use]
    pub fn scheduler_of(
        &self,
        service: &str,
        controllers: &[NodeId],
        now: Duration,
    ) -> Option<NodeId> {
        let awake = controllers
            .iter()
            .copied()
            .filter(|node| !self.rests(*node, now));
        awake.max_by_key(|node| {
            let weight = xxh3_64_with_seed(service.as_bytes(), u64::from(node.0));
            (weight, node.0)
        })
    }

    /// Whether a controller is in cooldown.
    #[must_use]
    pub fn rests(&self, controller: NodeId, now: Duration) -> bool {
        let until = self.resting.get(&controller);
        until.is_some_and(|until| now < *until)
    }

    /// Starts the cooldown of an unresponsive controller.
    pub fn rest(&mut self, controller: NodeId, now: Duration) {
        self.resting.retain(|_, until| now < *until);
        self.resting.insert(controller, now + SILENT_REST);
    }

    /// Registers a call that is queued at a controller. Returns its number and whether the
    /// scheduler there must first be sent the running calls of the service, because another
    /// controller scheduled it before.
    pub fn begin_waiting(&mut self, service: &str, controller: NodeId) -> (u64, bool) {
        let number = self.begin(service, None, vec![controller]);
        let last = self.schedulers.get(service);
        let is_other = last.is_none_or(|last| last.controller != controller);
        if is_other {
            let scheduler = LastScheduler {
                controller,
                incarnation: None,
            };
            self.schedulers.insert(service.to_owned(), scheduler);
        }
        (number, is_other)
    }

    /// Registers a call that runs at an engine chosen by this gateway. Returns its number.
    pub fn begin_running(&mut self, service: &str, engine: ServerKey, now: Duration) -> u64 {
        self.begin(service, Some((engine, now)), Vec::new())
    }

    fn begin(
        &mut self,
        service: &str,
        at_engine: Option<(ServerKey, Duration)>,
        known_to: Vec<NodeId>,
    ) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let call = BookedCall {
            service: service.to_owned(),
            at_engine,
            known_to,
        };
        self.calls.insert(number, call);
        number
    }

    /// Records that a call was granted an engine.
    pub fn note_granted(&mut self, number: u64, engine: ServerKey, now: Duration) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.at_engine = Some((engine, now));
        }
    }

    /// Records the incarnation of a scheduler that responded. Returns true if it has changed, in
    /// which case the scheduler must be sent the running calls.
    pub fn note_answer(&mut self, service: &str, controller: NodeId, incarnation: u64) -> bool {
        let Some(last) = self.schedulers.get_mut(service) else {
            return false;
        };
        if last.controller != controller {
            return false;
        }
        let before = last.incarnation.replace(incarnation);
        before.is_some_and(|before| before != incarnation)
    }

    /// Ends a call and queues a note for every controller that knows of it.
    pub fn end(&mut self, number: u64, end: CallEnd) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        for controller in call.known_to {
            let notes = self.notes.entry((controller, call.service.clone()));
            notes.or_default().push(CallNote { number, end });
        }
    }

    /// Takes the unsent notes, by controller and service.
    pub fn take_notes(&mut self) -> BTreeMap<(NodeId, String), Vec<CallNote>> {
        std::mem::take(&mut self.notes)
    }

    /// The running calls of a service, for a controller, which is sent their end notes from then
    /// on.
    pub fn tell_running(
        &mut self,
        service: &str,
        controller: NodeId,
        now: Duration,
    ) -> Vec<RunningCall> {
        let mut running = Vec::new();
        for (number, call) in &mut self.calls {
            let Some((engine, since)) = call.at_engine else {
                continue;
            };
            if call.service != service {
                continue;
            }
            if !call.known_to.contains(&controller) {
                call.known_to.push(controller);
            }
            let for_ms = now.saturating_sub(since).as_millis();
            running.push(RunningCall {
                number: *number,
                engine,
                for_ms: u32::try_from(for_ms).unwrap_or(u32::MAX),
            });
        }
        running
    }

    /// Services with a scheduler: the service, its controller, and whether it has running calls.
    #[must_use]
    pub fn schedulers(&self) -> Vec<(String, NodeId, bool)> {
        let is_busy = |service: &str| {
            let mut calls = self.calls.values();
            calls.any(|call| call.service == service && call.at_engine.is_some())
        };
        let schedulers = self.schedulers.iter();
        schedulers
            .map(|(service, last)| (service.clone(), last.controller, is_busy(service)))
            .collect()
    }

    /// Number of calls that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no calls are in progress.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
