//! The line that is written about a request once it is over, with what decided its way.

use std::sync::Arc;
use std::time::Duration;

use courseshed_pool::DecisionInputs;
use courseshed_routing::Route;
use tokio::time::Instant;

use super::call::CallEnvelope;
use super::choice::ChoiceInputs;
use super::upstream::UpstreamError;
use crate::metrics::{CallLabels, Metrics};

/// The line that is written about a request once it is over.
pub(super) struct CallLog {
    pub outcome: &'static str,
    pub server: String,
    pub attempts: usize,
    pub refused_by: usize,
    /// Which servers refused it, each with its status: as many as may before the caller is told.
    refusals: Vec<String>,
    pub events: u64,
    pub resumed: usize,
    pub status: u16,
    /// How long the first part of the answer took since the request came, if it came.
    first_part: Option<Duration>,
    /// What was left of the program's time when the request came.
    program_left: Option<Duration>,
    /// What decided the choice of the last server.
    pub choice: ChoiceInputs,
    /// Who chose the last server: the scheduler of its pool, or this gateway; empty if none was chosen.
    pub chosen_by: &'static str,
    /// What decided the last verdict of the scheduler.
    pub schedule: DecisionInputs,
    /// Version of the routing table that the request was routed by.
    version: u64,
    last_error: String,
    /// The tenant that it is made for; empty where calls need no key.
    pub tenant: String,
    request: String,
    program: String,
    route: String,
    service: String,
    began: Instant,
    metrics: Arc<Metrics>,
}

impl CallLog {
    pub(super) fn new(
        call: &CallEnvelope,
        route: &Route,
        service: &str,
        version: u64,
        metrics: Arc<Metrics>,
    ) -> Self {
        let program = call.program.as_ref().map(|claim| claim.program.clone());
        Self {
            outcome: "caller_left",
            server: String::new(),
            attempts: 0,
            refused_by: 0,
            refusals: Vec::new(),
            events: 0,
            resumed: 0,
            status: 0,
            first_part: None,
            program_left: call.program.as_ref().and_then(|claim| claim.time_left),
            choice: ChoiceInputs::default(),
            chosen_by: "",
            schedule: DecisionInputs::default(),
            version,
            last_error: String::new(),
            tenant: String::new(),
            request: call.request_id.clone(),
            program: program.unwrap_or_default(),
            route: route.name.clone(),
            service: service.to_owned(),
            began: Instant::now(),
            metrics,
        }
    }

    /// Notes that the first part of an answer came.
    pub(super) fn note_first_part(&mut self) {
        let now = self.began.elapsed();
        self.first_part.get_or_insert(now);
    }

    /// Notes that a server refused the call without running it.
    pub(super) fn note_refusal(&mut self, server: &str, status: u16) {
        self.refusals.push(format!("{server}:{status}"));
    }

    /// Notes what became of a try at a server.
    pub(super) fn note_error(&mut self, server: &str, error: &UpstreamError) {
        self.last_error = format!("{server}: {error}");
    }
}

fn milliseconds(time: Duration) -> u64 {
    time.as_millis() as u64
}

impl Drop for CallLog {
    fn drop(&mut self) {
        let labels = CallLabels {
            service: self.service.clone(),
            outcome: self.outcome,
        };
        self.metrics.calls.get_or_create(&labels).inc();
        self.metrics
            .call_seconds
            .observe(self.began.elapsed().as_secs_f64());
        self.metrics.attempts.inc_by(self.attempts as u64);
        self.metrics.resumed.inc_by(self.resumed as u64);
        log::info!(
            event = "call_over",
            request = self.request.as_str(),
            program = self.program.as_str(),
            tenant = self.tenant.as_str(),
            route = self.route.as_str(),
            service = self.service.as_str(),
            outcome = self.outcome,
            status = self.status,
            server = self.server.as_str(),
            attempts = self.attempts,
            refused_by = self.refused_by,
            refusals = self.refusals.join(" ").as_str(),
            events = self.events,
            resumed = self.resumed,
            version = self.version,
            calls_there = self.choice.calls,
            loads_age_ms = milliseconds(self.choice.loads_age),
            unread_tokens = self.choice.unread_tokens,
            chosen_by = self.chosen_by,
            scheduler_waited_ms = self.schedule.waited_ms,
            scheduler_waiting = self.schedule.waiting,
            scheduler_unread_tokens = self.schedule.unread_tokens,
            scheduler_calls_there = self.schedule.calls,
            slack_percent = self.schedule.slack_percent,
            last_error = self.last_error.as_str(),
            program_left_ms = self.program_left.map(milliseconds),
            first_part_ms = self.first_part.map(milliseconds),
            took_ms = milliseconds(self.began.elapsed());
            "a call is over"
        );
    }
}
