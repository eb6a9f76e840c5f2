//! A pool: its scheduler, pending requests, and recent decisions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use courseshed_pool::{
    CallDemand, CallEnd, CallEndReport, Decision, DecisionInputs, PoolScheduler, RunningCall,
    Ticket, Verdict,
};
use courseshed_registry::FleetState;
use courseshed_transport::ReplySender;
use courseshed_types::NodeId;

use super::list_engines;
use crate::metrics::{DecisionLabels, Metrics, PoolLabels};
use crate::protocol::{FleetProtocol, PeerReply};

/// How long an undecided request is pending. Below the gateways' response timeout of 250 ms, so that they can
/// distinguish a long queue from a failed scheduler.
const REQUEST_HOLD: Duration = Duration::from_millis(150);
/// How long an undelivered decision may be claimed. Gateways repeat their requests immediately, so this is well
/// above the round-trip time between zones (3 to 10 ms).
const CLAIM_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a delivered decision is returned to repeated requests. Above the gateways' response timeout.
const DELIVERED_RETENTION: Duration = Duration::from_millis(300);

/// A request without a reply so far.
struct PendingRequest {
    reply: ReplySender<FleetProtocol>,
    until: Duration,
}

/// A recent decision.
struct RecentDecision {
    verdict: Verdict,
    inputs: DecisionInputs,
    at: Duration,
    /// Whether it was passed to the transport.
    is_delivered: bool,
}

pub(super) struct Pool {
    service: String,
    /// Identifies this instance of the scheduler.
    incarnation: u64,
    scheduler: PoolScheduler,
    /// The state from which the engines were last updated.
    last_state: Option<Arc<FleetState>>,
    pending: HashMap<Ticket, PendingRequest>,
    recent: HashMap<Ticket, RecentDecision>,
    metrics: Arc<Metrics>,
}

impl Pool {
    pub(super) fn new(service: &str, incarnation: u64, metrics: Arc<Metrics>) -> Self {
        log::info!(event = "pool_scheduler_begins", service, incarnation; "started a pool scheduler on this controller");
        Self {
            service: service.to_owned(),
            incarnation,
            scheduler: PoolScheduler::new(),
            last_state: None,
            pending: HashMap::new(),
            recent: HashMap::new(),
            metrics,
        }
    }

    /// Whether the pool needs ticks.
    pub(super) fn is_busy(&self) -> bool {
        let has_calls = self.scheduler.waiting() + self.scheduler.running() > 0;
        has_calls || !self.pending.is_empty() || !self.recent.is_empty()
    }

    /// Updates the engines if the state changed; returns whether the service has engines.
    pub(super) fn refresh(&mut self, now: Duration, state: &Arc<FleetState>) -> bool {
        let is_unchanged = self
            .last_state
            .as_ref()
            .is_some_and(|last_state| Arc::ptr_eq(last_state, state));
        if is_unchanged {
            return true;
        }
        let engines = list_engines(state, &self.service);
        let has_engines = engines.is_some();
        self.scheduler
            .set_engines(now, &engines.unwrap_or_default());
        // Look up a service without engines again each time.
        self.last_state = has_engines.then(|| state.clone());
        self.deliver_decisions(now);
        has_engines
    }

    /// Requests an engine for a call; may be repeated.
    pub(super) fn request(
        &mut self,
        now: Duration,
        gateway: NodeId,
        demand: CallDemand,
        reply: ReplySender<FleetProtocol>,
    ) {
        let ticket = Ticket {
            gateway,
            number: demand.number,
        };
        if let Some(recent) = self.recent.get_mut(&ticket) {
            recent.is_delivered = true;
            let (verdict, inputs) = (recent.verdict, recent.inputs);
            reply.send(self.scheduled(verdict, inputs));
            return;
        }
        let until = now + REQUEST_HOLD;
        self.pending.insert(ticket, PendingRequest { reply, until });
        self.scheduler.request(now, gateway, demand);
        self.deliver_decisions(now);
    }

    /// Records that calls of a gateway ended.
    pub(super) fn record_ended(&mut self, now: Duration, gateway: NodeId, notes: &[CallEndReport]) {
        for note in notes {
            let ticket = Ticket {
                gateway,
                number: note.number,
            };
            self.pending.remove(&ticket);
            self.recent.remove(&ticket);
        }
        self.scheduler.report_ends(now, gateway, notes);
        self.deliver_decisions(now);
    }

    /// Replaces the set of calls that a gateway is running on engines.
    pub(super) fn set_running(&mut self, now: Duration, gateway: NodeId, calls: &[RunningCall]) {
        self.scheduler.report_running(now, gateway, calls);
        self.deliver_decisions(now);
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.scheduler.tick(now);
        self.deliver_decisions(now);
        self.answer_expired(now);
        self.release_unclaimed(now);
        self.update_gauges();
    }

    /// Delivers new decisions of the scheduler.
    fn deliver_decisions(&mut self, now: Duration) {
        for decision in self.scheduler.take_decisions() {
            self.record_decision(&decision);
            let Decision {
                ticket,
                verdict,
                inputs,
            } = decision;
            let pending = self.pending.remove(&ticket);
            let waiter = pending.map(|pending| pending.reply);
            let waiter = waiter.filter(|reply| !reply.is_closed());
            let is_delivered = waiter.is_some();
            if let Some(reply) = waiter {
                reply.send(self.scheduled(verdict, inputs));
            }
            let recent = RecentDecision {
                verdict,
                inputs,
                at: now,
                is_delivered,
            };
            self.recent.insert(ticket, recent);
        }
    }

    fn scheduled(&self, verdict: Verdict, inputs: DecisionInputs) -> PeerReply {
        PeerReply::Scheduled {
            incarnation: self.incarnation,
            verdict,
            inputs,
        }
    }

    /// Replies `Waiting` to requests pending for [`REQUEST_HOLD`]; their calls keep their place in the queue.
    fn answer_expired(&mut self, now: Duration) {
        let late = self.pending.extract_if(|_, pending| pending.until <= now);
        let late: Vec<PendingRequest> = late.map(|(_, pending)| pending).collect();
        for pending in late {
            let answer = self.scheduled(Verdict::Waiting, DecisionInputs::default());
            pending.reply.send(answer);
        }
    }

    /// Releases engines granted by unclaimed decisions and drops expired ones.
    fn release_unclaimed(&mut self, now: Duration) {
        let old = self.recent.extract_if(|_, recent| {
            let limit = if recent.is_delivered {
                DELIVERED_RETENTION
            } else {
                CLAIM_TIMEOUT
            };
            now.saturating_sub(recent.at) >= limit
        });
        let unclaimed: Vec<Ticket> = old
            .filter(|(_, recent)| !recent.is_delivered)
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in unclaimed {
            log::info!(event = "verdict_unclaimed", service = self.service.as_str(), gateway:% = ticket.gateway, number = ticket.number; "a verdict was not claimed by its gateway");
            let note = CallEndReport {
                number: ticket.number,
                end: CallEnd::Abandoned,
            };
            self.scheduler.report_ends(now, ticket.gateway, &[note]);
        }
        self.deliver_decisions(now);
    }

    fn update_gauges(&self) {
        let labels = PoolLabels {
            service: self.service.clone(),
        };
        let figures = [
            (&self.metrics.pool_calls_waiting, self.scheduler.waiting()),
            (&self.metrics.pool_calls_running, self.scheduler.running()),
        ];
        for (family, figure) in figures {
            let figure = i64::try_from(figure).unwrap_or(i64::MAX);
            family.get_or_create(&labels).set(figure);
        }
    }

    /// Updates metrics for a decision, and logs it if it rejects the call.
    fn record_decision(&self, decision: &Decision) {
        let inputs = &decision.inputs;
        let labels = DecisionLabels {
            service: self.service.clone(),
            verdict: verdict_name(&decision.verdict),
        };
        self.metrics.pool_decisions.get_or_create(&labels).inc();
        let waited = Duration::from_millis(u64::from(inputs.waited_ms));
        self.metrics.pool_wait.observe(waited.as_secs_f64());
        let retry_after_ms = match decision.verdict {
            Verdict::Refused { retry_after_ms } => Some(retry_after_ms),
            Verdict::NoEngine => None,
            Verdict::Granted(_) | Verdict::Waiting => return,
        };
        let ticket = decision.ticket;
        log::info!(event = "call_turned_away", service = self.service.as_str(), gateway:% = ticket.gateway, number = ticket.number, verdict = labels.verdict, retry_after_ms, waited_ms = inputs.waited_ms, waiting = inputs.waiting, slack_percent = inputs.slack_percent, calls = inputs.calls, unread_tokens = inputs.uncached_tokens; "the pool scheduler rejected a call");
    }
}

/// The name of a verdict in logs and metrics.
fn verdict_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Granted(_) => "granted",
        Verdict::Waiting => "waiting",
        Verdict::Refused { .. } => "refused",
        Verdict::NoEngine => "no_engine",
    }
}
