//! One pool: its scheduler, the requests that it holds, and the decisions that gateways may ask for again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use courseshed_pool::{
    CallDemand, CallEnd, CallNote, Decision, DecisionInputs, PoolScheduler, RunningCall, Ticket,
    Verdict,
};
use courseshed_registry::FleetState;
use courseshed_transport::ReplySender;
use courseshed_types::NodeId;

use super::list_engines;
use crate::metrics::{DecisionLabels, Metrics, PoolLabels};
use crate::protocol::{FleetProtocol, PeerReply};

/// How long a request is held that isn't decided: short enough that a gateway which waits 250 ms for
/// the answer tells a long queue from a dead scheduler, also over 10 ms between zones.
const POOL_HOLD: Duration = Duration::from_millis(150);
/// How long a decision that could not be told waits to be asked for: a gateway asks again at once, and
/// a round between zones takes 3 to 10 ms.
const CLAIM_LIMIT: Duration = Duration::from_millis(150);
/// How long a told decision is told again if it is asked for: longer than a gateway waits for an answer.
const TOLD_AGAIN: Duration = Duration::from_millis(300);

/// A request that has no answer yet.
struct Held {
    reply: ReplySender<FleetProtocol>,
    until: Duration,
}

/// A decision that may be asked for again.
struct Decided {
    verdict: Verdict,
    inputs: DecisionInputs,
    at: Duration,
    /// Whether it was handed to the transport.
    is_told: bool,
}

/// One pool.
pub(super) struct Pool {
    service: String,
    /// Names this life of the scheduler.
    incarnation: u64,
    scheduler: PoolScheduler,
    /// The state that its engines were taken from.
    shown: Option<Arc<FleetState>>,
    held: HashMap<Ticket, Held>,
    decided: HashMap<Ticket, Decided>,
    metrics: Arc<Metrics>,
}

impl Pool {
    pub(super) fn new(service: &str, incarnation: u64, metrics: Arc<Metrics>) -> Self {
        log::info!(event = "pool_scheduler_begins", service, incarnation; "a scheduler of a pool begins here");
        Self {
            service: service.to_owned(),
            incarnation,
            scheduler: PoolScheduler::new(),
            shown: None,
            held: HashMap::new(),
            decided: HashMap::new(),
            metrics,
        }
    }

    /// Whether anything is to be done as time passes.
    pub(super) fn is_busy(&self) -> bool {
        let has_calls = self.scheduler.waiting() + self.scheduler.running() > 0;
        has_calls || !self.held.is_empty() || !self.decided.is_empty()
    }

    /// Takes the engines of a state in, if it is another one; false if the service has none any more.
    pub(super) fn refresh(&mut self, now: Duration, state: &Arc<FleetState>) -> bool {
        let is_shown = self
            .shown
            .as_ref()
            .is_some_and(|shown| Arc::ptr_eq(shown, state));
        if is_shown {
            return true;
        }
        let engines = list_engines(state, &self.service);
        let is_there = engines.is_some();
        self.scheduler
            .set_engines(now, &engines.unwrap_or_default());
        // A service without engines is looked for anew each time that it is asked for.
        self.shown = is_there.then(|| state.clone());
        self.carry_out(now);
        is_there
    }

    /// A call wants an engine, perhaps again.
    pub(super) fn ask(
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
        if let Some(decided) = self.decided.get_mut(&ticket) {
            decided.is_told = true;
            let (verdict, inputs) = (decided.verdict, decided.inputs);
            reply.send(self.scheduled(verdict, inputs));
            return;
        }
        let until = now + POOL_HOLD;
        self.held.insert(ticket, Held { reply, until });
        self.scheduler.ask(now, gateway, demand);
        self.carry_out(now);
    }

    /// Calls of a gateway are over.
    pub(super) fn note(&mut self, now: Duration, gateway: NodeId, notes: &[CallNote]) {
        for note in notes {
            let ticket = Ticket {
                gateway,
                number: note.number,
            };
            self.held.remove(&ticket);
            self.decided.remove(&ticket);
        }
        self.scheduler.note(now, gateway, notes);
        self.carry_out(now);
    }

    /// A gateway names all its calls at engines.
    pub(super) fn set_running(&mut self, now: Duration, gateway: NodeId, calls: &[RunningCall]) {
        self.scheduler.set_running(now, gateway, calls);
        self.carry_out(now);
    }

    /// Does what is due.
    pub(super) fn tick(&mut self, now: Duration) {
        self.scheduler.tick(now);
        self.carry_out(now);
        self.answer_late(now);
        self.give_back_unclaimed(now);
        self.show();
    }

    /// Tells the decisions that were made since.
    fn carry_out(&mut self, now: Duration) {
        for decision in self.scheduler.take_decisions() {
            self.count(&decision);
            let Decision {
                ticket,
                verdict,
                inputs,
            } = decision;
            let held = self.held.remove(&ticket);
            let asker = held.map(|held| held.reply);
            let asker = asker.filter(|reply| !reply.is_closed());
            let is_told = asker.is_some();
            if let Some(reply) = asker {
                reply.send(self.scheduled(verdict, inputs));
            }
            let decided = Decided {
                verdict,
                inputs,
                at: now,
                is_told,
            };
            self.decided.insert(ticket, decided);
        }
    }

    fn scheduled(&self, verdict: Verdict, inputs: DecisionInputs) -> PeerReply {
        PeerReply::Scheduled {
            incarnation: self.incarnation,
            verdict,
            inputs,
        }
    }

    /// Answers the requests that were held long enough; their calls keep their places.
    fn answer_late(&mut self, now: Duration) {
        let late = self.held.extract_if(|_, held| held.until <= now);
        let late: Vec<Held> = late.map(|(_, held)| held).collect();
        for held in late {
            let answer = self.scheduled(Verdict::Waiting, DecisionInputs::default());
            held.reply.send(answer);
        }
    }

    /// Frees the engines of calls that nobody asked for any more, and forgets what was told.
    fn give_back_unclaimed(&mut self, now: Duration) {
        let old = self.decided.extract_if(|_, decided| {
            let limit = if decided.is_told {
                TOLD_AGAIN
            } else {
                CLAIM_LIMIT
            };
            now.saturating_sub(decided.at) >= limit
        });
        let unclaimed: Vec<Ticket> = old
            .filter(|(_, decided)| !decided.is_told)
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in unclaimed {
            log::info!(event = "verdict_unclaimed", service = self.service.as_str(), gateway:% = ticket.gateway, number = ticket.number; "a verdict could not be told");
            let note = CallNote {
                number: ticket.number,
                end: CallEnd::Given,
            };
            self.scheduler.note(now, ticket.gateway, &[note]);
        }
        self.carry_out(now);
    }

    /// Shows how many calls there are.
    fn show(&self) {
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

    /// Counts a decision; one that turns a call away is logged, too.
    fn count(&self, decision: &Decision) {
        let inputs = &decision.inputs;
        let labels = DecisionLabels {
            service: self.service.clone(),
            verdict: name_of(&decision.verdict),
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
        log::info!(event = "call_turned_away", service = self.service.as_str(), gateway:% = ticket.gateway, number = ticket.number, verdict = labels.verdict, retry_after_ms, waited_ms = inputs.waited_ms, waiting = inputs.waiting, slack_percent = inputs.slack_percent, calls = inputs.calls, unread_tokens = inputs.unread_tokens; "a call was turned away");
    }
}

/// The name of a verdict in logs and counters.
fn name_of(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Granted(_) => "granted",
        Verdict::Waiting => "waiting",
        Verdict::Refused { .. } => "refused",
        Verdict::NoEngine => "no_engine",
    }
}
