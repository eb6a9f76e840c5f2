//! What a gateway knows of its calls at the schedulers of pools. Pure: times are passed in.
//!
//! Invariants: a number is used once; each number that a controller knows of is ended there once; a call is among
//! the running ones from when it was granted until it is over.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_pool::{CallEnd, CallNote, RunningCall};
use courseshed_types::{NodeId, ServerKey};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a controller is passed over that gave no answer: a planned restart takes about as long, and
/// it is short against the time that calls have.
pub const SILENT_REST: Duration = Duration::from_secs(1);
/// Room for the numbers of one millisecond, in bits: a later life begins behind all numbers of an earlier one.
const NUMBERS_OF_A_MILLISECOND: u32 = 20;

/// A call with a number.
#[derive(Clone, Debug)]
struct BookedCall {
    service: String,
    /// Where it runs, and since when; none while it waits.
    at_engine: Option<(ServerKey, Duration)>,
    /// The controllers that know its number.
    known_to: Vec<NodeId>,
}

/// The scheduler that the calls of a service went to last.
#[derive(Clone, Copy, Debug)]
struct LastScheduler {
    controller: NodeId,
    /// Its life; none before it answered.
    incarnation: Option<u64>,
}

/// The calls of a gateway that schedulers know of or must learn of.
#[derive(Clone, Debug)]
pub struct CallBook {
    next_number: u64,
    calls: BTreeMap<u64, BookedCall>,
    /// Controllers that gave no answer, and until when they are passed over.
    resting: BTreeMap<NodeId, Duration>,
    schedulers: BTreeMap<String, LastScheduler>,
    /// Notes that weren't sent yet, by controller and service.
    notes: BTreeMap<(NodeId, String), Vec<CallNote>>,
}

impl CallBook {
    /// A book of a gateway that starts at a time of day, in milliseconds.
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

    /// The controller that has the scheduler of a service: the same one for all gateways that hear the same
    /// controllers. None if all of them rest.
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

    /// Whether a controller is passed over.
    #[must_use]
    pub fn rests(&self, controller: NodeId, now: Duration) -> bool {
        let until = self.resting.get(&controller);
        until.is_some_and(|until| now < *until)
    }

    /// Notes that a controller gave no answer.
    pub fn rest(&mut self, controller: NodeId, now: Duration) {
        self.resting.retain(|_, until| now < *until);
        self.resting.insert(controller, now + SILENT_REST);
    }

    /// Begins a call that waits at a controller. Returns its number, and whether the scheduler there must
    /// first be told of the calls at engines, since the calls of the service went elsewhere before.
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

    /// Begins a call that runs at an engine which no scheduler chose. Returns its number.
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

    /// Notes that a call was granted an engine.
    pub fn note_granted(&mut self, number: u64, engine: ServerKey, now: Duration) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.at_engine = Some((engine, now));
        }
    }

    /// Notes which life of a scheduler answered; true if it is another than the one before, which must be told
    /// of the calls at engines.
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

    /// Ends a call: whoever knows of it is to be told.
    pub fn end(&mut self, number: u64, end: CallEnd) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        for controller in call.known_to {
            let notes = self.notes.entry((controller, call.service.clone()));
            notes.or_default().push(CallNote { number, end });
        }
    }

    /// The notes that weren't sent yet, by controller and service.
    pub fn take_notes(&mut self) -> BTreeMap<(NodeId, String), Vec<CallNote>> {
        std::mem::take(&mut self.notes)
    }

    /// The calls of a service that are at engines, to be told to a controller, which knows of them from then on.
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

    /// The services whose calls went to a scheduler, each with the controller, and whether it has calls at engines.
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

    /// How many calls aren't over.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether all calls are over.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
