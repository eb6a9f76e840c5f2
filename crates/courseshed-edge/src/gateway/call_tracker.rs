//! Tracks a gateway's calls at the pool schedulers. No I/O; the current time is passed in.
//!
//! Invariants: each call number is used once; every controller that has seen a call number is sent
//! exactly one end note for it; a call counts as running from its grant to its end.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_pool::{CallEnd, CallEndReport, RunningCall};
use courseshed_types::{NodeId, ServerKey};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long an unresponsive controller is skipped: about the duration of a planned restart.
pub const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(1);
/// Bits reserved for the calls of one millisecond, so that a restarted gateway never reuses a
/// number.
const NUMBER_BITS_PER_MS: u32 = 20;

/// A call with an assigned number.
#[derive(Clone, Debug)]
struct TrackedCall {
    service: String,
    /// The engine and the time of assignment; `None` while the call is queued.
    assignment: Option<(ServerKey, Duration)>,
    /// Controllers that have seen the call number.
    reported_to: Vec<NodeId>,
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
pub struct CallTracker {
    next_number: u64,
    calls: BTreeMap<u64, TrackedCall>,
    /// Unresponsive controllers, with the end of their cooldown.
    cooldowns: BTreeMap<NodeId, Duration>,
    schedulers: BTreeMap<String, LastScheduler>,
    /// Unsent notes, by controller and service.
    notes: BTreeMap<(NodeId, String), Vec<CallEndReport>>,
}

impl CallTracker {
    /// Creates the tracker of a gateway that starts at the given wall-clock time in milliseconds.
    #[must_use]
    pub fn new(unix_time_ms: u64) -> Self {
        Self {
            next_number: unix_time_ms << NUMBER_BITS_PER_MS,
            calls: BTreeMap::new(),
            cooldowns: BTreeMap::new(),
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
        let available = controllers
            .iter()
            .copied()
            .filter(|node| !self.is_cooling_down(*node, now));
        available.max_by_key(|node| {
            let weight = xxh3_64_with_seed(service.as_bytes(), u64::from(node.0));
            (weight, node.0)
        })
    }

    /// Whether a controller is in cooldown.
    #[must_use]
    pub fn is_cooling_down(&self, controller: NodeId, now: Duration) -> bool {
        let until = self.cooldowns.get(&controller);
        until.is_some_and(|until| now < *until)
    }

    /// Starts the cooldown of an unresponsive controller.
    pub fn start_cooldown(&mut self, controller: NodeId, now: Duration) {
        self.cooldowns.retain(|_, until| now < *until);
        self.cooldowns
            .insert(controller, now + UNRESPONSIVE_COOLDOWN);
    }

    /// Registers a call that is queued at a controller. Returns its number and whether the
    /// scheduler there must first be sent the running calls of the service, because another
    /// controller scheduled it before.
    pub fn begin_queued(&mut self, service: &str, controller: NodeId) -> (u64, bool) {
        let number = self.begin(service, None, vec![controller]);
        let last = self.schedulers.get(service);
        let has_changed = last.is_none_or(|last| last.controller != controller);
        if has_changed {
            let scheduler = LastScheduler {
                controller,
                incarnation: None,
            };
            self.schedulers.insert(service.to_owned(), scheduler);
        }
        (number, has_changed)
    }

    /// Registers a call that runs at an engine chosen by this gateway. Returns its number.
    pub fn begin_running(&mut self, service: &str, engine: ServerKey, now: Duration) -> u64 {
        self.begin(service, Some((engine, now)), Vec::new())
    }

    fn begin(
        &mut self,
        service: &str,
        assignment: Option<(ServerKey, Duration)>,
        reported_to: Vec<NodeId>,
    ) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let call = TrackedCall {
            service: service.to_owned(),
            assignment,
            reported_to,
        };
        self.calls.insert(number, call);
        number
    }

    /// Records that a call was granted an engine.
    pub fn record_grant(&mut self, number: u64, engine: ServerKey, now: Duration) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.assignment = Some((engine, now));
        }
    }

    /// Records the incarnation of a scheduler that responded. Returns true if it has changed, in
    /// which case the scheduler must be sent the running calls.
    pub fn record_reply(&mut self, service: &str, controller: NodeId, incarnation: u64) -> bool {
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
        for controller in call.reported_to {
            let notes = self.notes.entry((controller, call.service.clone()));
            notes.or_default().push(CallEndReport { number, end });
        }
    }

    /// Takes the unsent notes, by controller and service.
    pub fn take_notes(&mut self) -> BTreeMap<(NodeId, String), Vec<CallEndReport>> {
        std::mem::take(&mut self.notes)
    }

    /// The running calls of a service, for a controller, which is sent their end notes from then
    /// on.
    pub fn report_running(
        &mut self,
        service: &str,
        controller: NodeId,
        now: Duration,
    ) -> Vec<RunningCall> {
        let mut running = Vec::new();
        for (number, call) in &mut self.calls {
            let Some((engine, since)) = call.assignment else {
                continue;
            };
            if call.service != service {
                continue;
            }
            if !call.reported_to.contains(&controller) {
                call.reported_to.push(controller);
            }
            let for_ms = now.saturating_sub(since).as_millis();
            running.push(RunningCall {
                number: *number,
                engine,
                running_ms: u32::try_from(for_ms).unwrap_or(u32::MAX),
            });
        }
        running
    }

    /// Services with a scheduler: the service, its controller, and whether it has running calls.
    #[must_use]
    pub fn schedulers(&self) -> Vec<(String, NodeId, bool)> {
        let is_busy = |service: &str| {
            let mut calls = self.calls.values();
            calls.any(|call| call.service == service && call.assignment.is_some())
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
