//! The access log entry of a request, with the inputs of its routing decisions.

use std::sync::Arc;
use std::time::Duration;

use courseshed_pool::DecisionInputs;
use courseshed_routing::Route;
use courseshed_types::RequestKey;
use tokio::time::Instant;

use super::body_end::{BodyEnd, BodyProgress, BodyVerdict};
use super::call::GatewayRequest;
use super::choice::ChoiceInputs;
use super::upstream::UpstreamError;
use crate::metrics::{CallLabels, Metrics};

/// How the body of a server's response ended.
pub(super) struct ResponseEnd {
    pub end: BodyEnd,
    pub progress: BodyProgress,
    pub verdict: BodyVerdict,
}

/// The access log entry of a request; written, together with the metrics, on drop.
pub(super) struct CallLog {
    pub outcome: &'static str,
    pub server: String,
    /// Software version of the server, if it reports one.
    pub server_version: Option<String>,
    /// Software version of the server that sent the first event forwarded for this request.
    pub first_event_version: Option<String>,
    /// Software version that the servers of further attempts must have, and where it was learned.
    pub required_version: Option<String>,
    pub version_source: &'static str,
    pub attempts: usize,
    pub refused_by: usize,
    /// The servers that refused the request, as `server:status`.
    refusals: Vec<String>,
    /// The servers to which the request was sent, each with how that ended.
    pub sends: String,
    /// The same in all attempts of the client.
    pub request_key: RequestKey,
    pub events: u64,
    /// Bytes of the body that were passed on to the client.
    pub bytes: u64,
    pub resumed: usize,
    pub status: u16,
    /// The end of the last response whose body ended.
    pub response_end: Option<ResponseEnd>,
    /// Time from the arrival of the request to the first chunk of the response.
    first_chunk_after: Option<Duration>,
    /// Time left to the program when the request arrived.
    program_time_left: Option<Duration>,
    /// Inputs of the most recent server selection.
    pub choice: ChoiceInputs,
    /// Who selected the last server, the pool scheduler or this gateway; empty if none was
    /// selected.
    pub chosen_by: &'static str,
    /// Inputs of the scheduler's last verdict.
    pub schedule: DecisionInputs,
    /// Version of the routing table that routed the request.
    version: u64,
    last_error: String,
    /// The authenticated tenant; empty if the fleet requires no keys.
    pub tenant: String,
    request: String,
    /// The last event that the client has of a stream that it resumes, and the request that it names
    /// as the stream's first.
    client_last_event: Option<u64>,
    resumed_request: String,
    program: String,
    route: String,
    service: String,
    started_at: Instant,
    metrics: Arc<Metrics>,
}

impl CallLog {
    pub(super) fn new(
        call: &GatewayRequest,
        route: &Route,
        service: &str,
        version: u64,
        metrics: Arc<Metrics>,
    ) -> Self {
        let program = call.program.as_ref().map(|claim| claim.program.clone());
        Self {
            outcome: "caller_left",
            server: String::new(),
            server_version: None,
            first_event_version: None,
            required_version: None,
            version_source: "",
            attempts: 0,
            refused_by: 0,
            refusals: Vec::new(),
            sends: String::new(),
            request_key: RequestKey::default(),
            events: 0,
            bytes: 0,
            resumed: 0,
            status: 0,
            response_end: None,
            first_chunk_after: None,
            program_time_left: call.program.as_ref().and_then(|claim| claim.time_left),
            choice: ChoiceInputs::default(),
            chosen_by: "",
            schedule: DecisionInputs::default(),
            version,
            last_error: String::new(),
            tenant: String::new(),
            request: call.request_id.clone(),
            client_last_event: call.last_event,
            resumed_request: call.resumed_request.clone().unwrap_or_default(),
            program: program.unwrap_or_default(),
            route: route.name.clone(),
            service: service.to_owned(),
            started_at: Instant::now(),
            metrics,
        }
    }

    /// Records the arrival of the first chunk of a response.
    pub(super) fn record_first_chunk(&mut self) {
        let now = self.started_at.elapsed();
        self.first_chunk_after.get_or_insert(now);
    }

    /// Records that a server refused the call without executing it.
    pub(super) fn record_refusal(&mut self, server: &str, status: u16) {
        self.refusals.push(format!("{server}:{status}"));
    }

    /// Records the error of an attempt at a server.
    pub(super) fn record_error(&mut self, server: &str, error: &UpstreamError) {
        self.last_error = format!("{server}: {error}");
    }
}

fn milliseconds(time: Duration) -> u64 {
    time.as_millis() as u64
}

impl Drop for CallLog {
    fn drop(&mut self) {
        let end = self.response_end.as_ref();
        let labels = CallLabels {
            service: self.service.clone(),
            outcome: self.outcome,
        };
        self.metrics.calls.get_or_create(&labels).inc();
        self.metrics
            .call_seconds
            .observe(self.started_at.elapsed().as_secs_f64());
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
            server_version = self.server_version.as_deref(),
            first_event_version = self.first_event_version.as_deref(),
            required_version = self.required_version.as_deref(),
            version_source = self.version_source,
            client_last_event = self.client_last_event,
            resumed_request = self.resumed_request.as_str(),
            attempts = self.attempts,
            refused_by = self.refused_by,
            refusals = self.refusals.join(" ").as_str(),
            sends = self.sends.as_str(),
            request_key:% = self.request_key,
            events = self.events,
            bytes = self.bytes,
            response_framing = end.map(|ended| ended.end.framing.as_str()),
            response_ending = end.map(|ended| ended.end.ending.as_str()),
            response_position = end.map(|ended| ended.progress.position().as_str()),
            response_verdict = end.map(|ended| ended.verdict.completeness.as_str()),
            response_reason = end.map(|ended| ended.verdict.reason.as_str()),
            partial_event_bytes = end.map(|ended| ended.progress.partial_event_bytes),
            resumed = self.resumed,
            version = self.version,
            calls_there = self.choice.calls,
            loads_age_ms = milliseconds(self.choice.loads_age),
            unread_tokens = self.choice.uncached_tokens,
            chosen_by = self.chosen_by,
            scheduler_waited_ms = self.schedule.waited_ms,
            scheduler_waiting = self.schedule.waiting,
            scheduler_unread_tokens = self.schedule.uncached_tokens,
            scheduler_calls_there = self.schedule.calls,
            slack_percent = self.schedule.slack_percent,
            last_error = self.last_error.as_str(),
            program_left_ms = self.program_time_left.map(milliseconds),
            first_part_ms = self.first_chunk_after.map(milliseconds),
            took_ms = milliseconds(self.started_at.elapsed());
            "request finished"
        );
    }
}
