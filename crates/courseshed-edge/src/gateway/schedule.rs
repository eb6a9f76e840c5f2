//! Requests engines from pool schedulers and reports the ends of calls to them.
//!
//! The scheduler of a service runs on a controller that all gateways select by the same hash. If a
//! controller does not respond, the next one is asked; after two failures the gateway chooses an
//! engine itself.
//!
//! Invariant: each call number sent to a controller is ended by exactly one note.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use courseshed_pool::{CallDemand, CallEnd, DecisionInputs, Verdict};
use courseshed_types::{NodeId, ServerKey};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout_at};

use super::call_tracker::CallTracker;
use crate::clock::{Clock, unix_time_ms};
use crate::follower::FleetFollower;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::protocol::{PeerMessage, PeerReply, PeerRequest};

/// Timeout of a request to a controller, which holds the request for up to 150 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of unresponsive controllers before the gateway chooses an engine itself.
const MAX_CONTROLLER_FAILURES: usize = 2;
/// Interval at which running calls are sent to their scheduler again, to recover from lost notes.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// The result of requesting an engine.
pub(super) enum EngineReply {
    /// The granted engine and the registration of the call.
    Granted(ScheduledCall, ServerKey, DecisionInputs),
    /// The call can't be served within its deadline; retry after the given time.
    Refused(Duration, DecisionInputs),
    /// No engine may serve the call.
    NoEngine(DecisionInputs),
    /// No scheduler responded.
    Unknown,
    /// The deadline passed.
    TooLate,
}

/// The reply of a controller.
enum ControllerReply {
    Verdict(Verdict, DecisionInputs),
    UnknownPool,
    Failed,
    /// Another controller has become the scheduler.
    Moved,
    TooLate,
}

/// The gateway's client of the pool schedulers.
pub(super) struct SchedulerClient {
    peers: Arc<Peers>,
    follower: Arc<FleetFollower>,
    metrics: Arc<Metrics>,
    clock: Clock,
    tracker: RefCell<CallTracker>,
    /// Wakes the task that sends notes.
    notes_pending: Notify,
    /// Notifies calls waiting at a controller that it became unresponsive.
    controller_silenced: watch::Sender<()>,
}

impl SchedulerClient {
    pub(super) fn new(
        peers: Arc<Peers>,
        follower: Arc<FleetFollower>,
        metrics: Arc<Metrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            peers,
            follower,
            metrics,
            clock: Clock::start(),
            tracker: RefCell::new(CallTracker::new(unix_time_ms())),
            notes_pending: Notify::new(),
            controller_silenced: watch::channel(()).0,
        })
    }

    /// Requests an engine until there is a verdict. `demand` returns the current demand for a call
    /// number.
    pub(super) async fn request_engine(
        self: &Rc<Self>,
        service: &str,
        deadline: Instant,
        demand: impl Fn(u64) -> CallDemand,
    ) -> EngineReply {
        let began = Instant::now();
        let mut failures = 0;
        while failures < MAX_CONTROLLER_FAILURES {
            let Some(controller) = self.scheduler_of(service) else {
                return EngineReply::Unknown;
            };
            let call = self.begin_queued(service, controller);
            let answer = self
                .poll_controller(&call, service, controller, deadline, &demand)
                .await;
            match answer {
                ControllerReply::Verdict(verdict, inputs) => {
                    self.metrics
                        .verdict_wait
                        .observe(began.elapsed().as_secs_f64());
                    return self.conclude(call, verdict, inputs);
                }
                ControllerReply::UnknownPool => return EngineReply::Unknown,
                ControllerReply::Failed => failures += 1,
                ControllerReply::Moved => {}
                ControllerReply::TooLate => return EngineReply::TooLate,
            }
        }
        EngineReply::Unknown
    }

    fn conclude(
        &self,
        call: ScheduledCall,
        verdict: Verdict,
        inputs: DecisionInputs,
    ) -> EngineReply {
        match verdict {
            Verdict::Granted(engine) => EngineReply::Granted(call, engine, inputs),
            Verdict::Refused { retry_after_ms } => {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                EngineReply::Refused(retry_after, inputs)
            }
            Verdict::NoEngine => EngineReply::NoEngine(inputs),
            Verdict::Waiting => EngineReply::Unknown,
        }
    }

    /// Registers a call at an engine that this gateway chose itself.
    pub(super) fn begin_local(self: &Rc<Self>, service: &str, engine: ServerKey) -> ScheduledCall {
        let now = self.clock.now();
        let number = self
            .tracker
            .borrow_mut()
            .begin_running(service, engine, now);
        ScheduledCall {
            client: self.clone(),
            number,
            has_ended: false,
        }
    }

    fn begin_queued(self: &Rc<Self>, service: &str, controller: NodeId) -> ScheduledCall {
        let (number, has_changed) = self.tracker.borrow_mut().begin_queued(service, controller);
        if has_changed {
            log::info!(event = "pool_scheduler_chosen", service, controller:% = controller; "selected a new controller as the scheduler of a pool");
            self.send_running_calls(service, controller);
        }
        ScheduledCall {
            client: self.clone(),
            number,
            has_ended: false,
        }
    }

    fn scheduler_of(&self, service: &str) -> Option<NodeId> {
        let controllers = self.follower.controllers();
        let now = self.clock.now();
        self.tracker
            .borrow()
            .scheduler_of(service, &controllers, now)
    }

    /// Polls one controller until it decides.
    async fn poll_controller(
        &self,
        call: &ScheduledCall,
        service: &str,
        controller: NodeId,
        deadline: Instant,
        demand: &impl Fn(u64) -> CallDemand,
    ) -> ControllerReply {
        loop {
            self.send_notes();
            let request = PeerRequest::Schedule {
                service: service.to_owned(),
                demand: demand(call.number),
            };
            let asked = self.request(controller, request);
            let reply = match timeout_at(deadline, asked).await {
                Ok(Some(reply)) => reply,
                Ok(None) => return ControllerReply::Failed,
                Err(_) => return ControllerReply::TooLate,
            };
            match reply {
                PeerReply::Scheduled {
                    incarnation,
                    verdict,
                    inputs,
                } => {
                    self.record_reply(call, service, controller, incarnation, verdict);
                    if verdict != Verdict::Waiting {
                        return ControllerReply::Verdict(verdict, inputs);
                    }
                }
                PeerReply::UnknownPool => return ControllerReply::UnknownPool,
                _ => {
                    self.mark_unresponsive(controller, "unexpected reply");
                    return ControllerReply::Failed;
                }
            }
            if self.scheduler_of(service) != Some(controller) {
                return ControllerReply::Moved;
            }
        }
    }

    /// Sends a request to a controller; `None` if it fails, or if the controller stops responding
    /// to other calls.
    async fn request(&self, controller: NodeId, request: PeerRequest) -> Option<PeerReply> {
        let mut controller_silenced = self.controller_silenced.subscribe();
        let became_unresponsive = async {
            while controller_silenced.changed().await.is_ok() {
                if self
                    .tracker
                    .borrow()
                    .is_cooling_down(controller, self.clock.now())
                {
                    return;
                }
            }
        };
        let reply = tokio::select! {
            reply = self.peers.request(controller, request, REQUEST_TIMEOUT) => reply,
            () = became_unresponsive => return None,
        };
        match reply {
            Ok(reply) => Some(reply),
            Err(error) => {
                self.mark_unresponsive(controller, &error.to_string());
                None
            }
        }
    }

    fn mark_unresponsive(&self, controller: NodeId, reason: &str) {
        let now = self.clock.now();
        let is_new = !self.tracker.borrow().is_cooling_down(controller, now);
        self.tracker.borrow_mut().start_cooldown(controller, now);
        if is_new {
            log::warn!(event = "pool_scheduler_silent", controller:% = controller, reason; "controller did not return a scheduling verdict; skipping it temporarily");
            self.controller_silenced.send_replace(());
        }
    }

    /// Records the incarnation of the scheduler that replied. A granted call counts as running
    /// first, so that a restarted scheduler receives it with the other running calls.
    fn record_reply(
        &self,
        call: &ScheduledCall,
        service: &str,
        controller: NodeId,
        incarnation: u64,
        verdict: Verdict,
    ) {
        let has_changed = {
            let mut tracker = self.tracker.borrow_mut();
            if let Verdict::Granted(engine) = verdict {
                tracker.record_grant(call.number, engine, self.clock.now());
            }
            tracker.record_reply(service, controller, incarnation)
        };
        if has_changed {
            log::info!(event = "pool_scheduler_restarted", service, controller:% = controller, incarnation; "pool scheduler restarted; sending it the running calls");
            self.send_running_calls(service, controller);
        }
    }

    /// Sends the running calls of a service to its scheduler.
    fn send_running_calls(&self, service: &str, controller: NodeId) {
        self.send_notes();
        let now = self.clock.now();
        let mut tracker = self.tracker.borrow_mut();
        let message = PeerMessage::PoolCalls {
            service: service.to_owned(),
            calls: tracker.report_running(service, controller, now),
        };
        drop(tracker);
        self.send(controller, message);
    }

    /// Sends pending notes.
    fn send_notes(&self) {
        let notes = self.tracker.borrow_mut().take_notes();
        for ((controller, service), notes) in notes {
            self.send(controller, PeerMessage::PoolNotes { service, notes });
        }
    }

    /// Sends a message to a controller. A lost message is compensated by the next list of running
    /// calls.
    fn send(&self, controller: NodeId, message: PeerMessage) {
        if let Err(error) = self.peers.send(controller, message) {
            log::info!(event = "pool_note_lost", controller:% = controller; "failed to send a message to a pool scheduler: {error}");
        }
    }

    fn end(&self, number: u64, end: CallEnd) {
        self.tracker.borrow_mut().end(number, end);
        self.notes_pending.notify_one();
    }
}

/// Sends notes as calls end, until the process exits.
pub(super) async fn send_notes(client: Rc<SchedulerClient>) {
    loop {
        client.notes_pending.notified().await;
        client.send_notes();
    }
}

/// Periodically sends running calls to their schedulers, and once more after the last call of a
/// service ended.
pub(super) async fn resend_running_calls(client: Rc<SchedulerClient>) {
    let mut busy_before = BTreeSet::new();
    loop {
        sleep(RESEND_INTERVAL).await;
        let schedulers = client.tracker.borrow().schedulers();
        let mut busy = BTreeSet::new();
        for (service, controller, is_busy) in schedulers {
            if is_busy || busy_before.contains(&service) {
                client.send_running_calls(&service, controller);
            }
            if is_busy {
                busy.insert(service);
            }
        }
        busy_before = busy;
    }
}

/// The registration of a call at schedulers. Its end is reported exactly once.
pub(super) struct ScheduledCall {
    client: Rc<SchedulerClient>,
    number: u64,
    has_ended: bool,
}

impl ScheduledCall {
    /// Reports the end of the call.
    pub(super) fn end(mut self, end: CallEnd) {
        self.has_ended = true;
        self.client.end(self.number, end);
    }
}

impl Drop for ScheduledCall {
    fn drop(&mut self) {
        if !self.has_ended {
            self.client.end(self.number, CallEnd::Abandoned);
        }
    }
}
