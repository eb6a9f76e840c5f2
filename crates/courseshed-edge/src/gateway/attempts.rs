//! Sends a request to servers until one responds.
//!
//! Invariants: a non-idempotent request is sent again only after a server stated that it did not
//! execute it; a request is sent to at most as many servers as its route allows, not counting those
//! that only refused it, were unreachable or are known to have ended; once a server failed while it
//! had the request, the gateway never reports it as not executed.

mod checks;
mod opened_response;
mod records;
mod resumption;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use courseshed_pool::CallEnd;
use courseshed_quota::ProgramPhase;
use courseshed_records::PartitionId;
use courseshed_routing::{AllowedRegions, CallKind, Route};
use courseshed_types::{CachedPrompt, PromptPart};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::access::Caller;
use super::assignment::Assignment;
use super::call::{ForwardingContext, GatewayRequest};
use super::call_log::CallLog;
use super::choice::ChoiceInputs;
use super::core::{GatewayCore, InFlightGuard};
use super::policy::Mechanism;
use super::quota::Permit;
use super::refusal::Refusal;
use super::request_key::request_key;
use super::schedule::ScheduledCall;
use super::selected_server::SelectedServer;
use super::send_ledger::{SendEnd, SendLedger};
use super::servers::CallReport;
use super::suspect_guard::SuspectGuard;
use super::upstream::{Upstream, UpstreamError};
use super::version_requirement::VersionRequirement;
use crate::client_memory::BufferKind;
use crate::client_tracker::RequestMemory;

/// Prompt tokens attributed to a request that has only an affinity key.
const AFFINITY_KEY_TOKENS: u32 = 2_000;
pub(super) use opened_response::OpenedResponse;
pub(super) use resumption::RESUMED;

/// Minimum remaining time for another attempt.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);

/// Whole milliseconds, saturating after 49 days.
pub(super) fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Arrival time and deadline of a request.
#[derive(Clone, Copy)]
pub(super) struct CallTimes {
    pub arrived: Instant,
    pub deadline: Instant,
}

/// The service that a request is sent to.
pub(super) struct ChosenService {
    pub name: String,
    /// Maximum number of connections to each server from all gateways together.
    pub connection_limit: u32,
    /// Version of the routing table used.
    pub version: u64,
    /// The caller, authenticated by the same table.
    pub caller: Caller,
    /// Whether the servers are engines whose calls a pool scheduler assigns.
    pub is_pool: bool,
}

/// The prompt segments whose caching matters for server selection; empty if the route has no
/// affinity.
fn affinity_segments(call: &GatewayRequest, route: &Route) -> Vec<PromptPart> {
    if !route.affinity {
        return Vec::new();
    }
    if !call.prompt.is_empty() {
        return call.prompt.clone();
    }
    let key = call.affinity_key.as_ref();
    let part = key.map(|key| PromptPart {
        id: xxh3_64(key.as_bytes()),
        tokens: AFFINITY_KEY_TOKENS,
    });
    part.into_iter().collect()
}

/// A request and its attempts at servers.
pub(super) struct Attempts {
    pub core: Rc<GatewayCore>,
    pub call: GatewayRequest,
    pub route: Arc<Route>,
    pub service: String,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Whether the service is a pool of engines.
    pub is_pool: bool,
    /// Prompt segments cached by servers for the program, according to the record stores.
    pub cached_prompts: Vec<CachedPrompt>,
    /// The body sent to the server.
    pub body: Bytes,
    /// The prompt segments whose caching matters for server selection.
    pub parts: Vec<PromptPart>,
    pub log: CallLog,
    pub caller: Caller,
    /// The regions in which the request may be served and its turn stored, by all routing tables
    /// applied so far.
    pub allowed_regions: AllowedRegions,
    /// Version of the routing table whose region restrictions were last applied.
    restrictions_version: u64,
    /// Which servers may receive the next attempt, by their software version.
    pub version_requirement: VersionRequirement,
    /// The attempt that the client goes on from, if it resumes a stream.
    resumed_attempt: Option<String>,
    /// The partition that stores the turn, if it is stored.
    pub partition: Option<PartitionId>,
    /// Whether the request is the first of a program.
    pub phase: ProgramPhase,
    /// Memory held for the request.
    pub memory: RequestMemory,
    permit: Option<Permit>,
    version: u64,
    pub connection_limit: u32,
    pub same_server_retries: usize,
    /// Limits the servers that end under the request.
    pub guard: SuspectGuard,
    /// The servers to which the request was sent.
    pub ledger: SendLedger,
    /// A selected server to which nothing was sent because the permit expired or the event loop
    /// stood still.
    pub reserved: Option<Assignment>,
    /// Time until the first of the servers that are warming up should be warm, if the last choice
    /// found no other servers.
    pub warm_in: Option<Duration>,
}

impl Attempts {
    pub(super) fn new(
        core: Rc<GatewayCore>,
        call: GatewayRequest,
        route: Arc<Route>,
        service: ChosenService,
        times: CallTimes,
        memory: RequestMemory,
    ) -> Self {
        let CallTimes { arrived, deadline } = times;
        let ChosenService {
            name: service,
            connection_limit,
            version,
            caller,
            is_pool,
        } = service;
        let mut log = CallLog::new(&call, &route, &service, version, core.metrics.clone());
        log.tenant = caller.tenant_name().unwrap_or_default().to_owned();
        let key = request_key(&call, caller.tenant_name());
        log.request_key = key;
        let guard = SuspectGuard::new(&core, &call, key, &service);
        Self {
            body: call.body.clone(),
            parts: affinity_segments(&call, &route),
            allowed_regions: AllowedRegions::of(&route, caller.tenant().map(|tenant| &**tenant)),
            restrictions_version: version,
            version_requirement: VersionRequirement::Any,
            resumed_attempt: None,
            partition: None,
            caller,
            phase: ProgramPhase::Running,
            memory,
            permit: None,
            version,
            connection_limit,
            core,
            call,
            route,
            service,
            arrived,
            deadline,
            is_pool,
            cached_prompts: Vec::new(),
            log,
            same_server_retries: 0,
            guard,
            ledger: SendLedger::default(),
            reserved: None,
            warm_in: None,
        }
    }

    /// Sends the request until a server responds.
    pub(super) async fn open(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<OpenedResponse, Refusal> {
        self.check_admission()?;
        loop {
            self.settle_failure().await;
            if self.guard.is_exhausted() {
                return Err(self.give_up());
            }
            if self.time_left() < MIN_ATTEMPT_TIME {
                return Err(self.deadline_refusal());
            }
            let freezes = self.recover_from_freeze().await?;
            if let Err(refusal) = self.apply_restrictions() {
                return Err(self.final_refusal(refusal));
            }
            if let Err(refusal) = self.take_permit().await {
                return Err(self.final_refusal(refusal));
            }
            let Some(assigned) = self.assign().await? else {
                return Err(self.no_server_refusal());
            };
            let Assignment {
                chosen,
                call,
                in_flight,
                mut warmup,
            } = assigned;
            let inputs = self.choice_inputs(&chosen.id);
            let uncached_tokens = inputs.uncached_tokens;
            self.log.choice = inputs;
            if !self.guard.permits(&chosen).await {
                end_call(call, CallEnd::Refused);
                return Err(self.give_up());
            }
            // A reserved server is already counted as in flight.
            let in_flight =
                in_flight.unwrap_or_else(|| InFlightGuard::begin(&self.core, &chosen.id));
            let upstream = match self.connect(&chosen).await {
                Ok(upstream) => upstream,
                Err(error) => {
                    end_call(call, end_of_error(&error));
                    self.on_error(&chosen, &error)?;
                    continue;
                }
            };
            // No await point between these checks and the send.
            if let Err(refusal) = self.check_access().and_then(|()| self.apply_restrictions()) {
                upstream.release();
                return Err(self.final_refusal(refusal));
            }
            let has_frozen = self.core.observe_event_loop() != freezes;
            let may_send = self.may_serve(&chosen)
                && (has_frozen || self.may_send_to(&chosen, warmup.as_mut()));
            if !may_send {
                upstream.release();
                end_call(call, CallEnd::Refused);
                continue;
            }
            let lacks_permit =
                !has_frozen && self.permit.as_mut().is_some_and(|permit| !permit.send());
            if has_frozen || lacks_permit {
                upstream.release();
                if lacks_permit {
                    self.permit = None;
                }
                if let Some(warmup) = warmup {
                    warmup.refund();
                    end_call(call, CallEnd::Refused);
                    continue;
                }
                self.reserved = Some(Assignment {
                    chosen,
                    call,
                    in_flight: Some(in_flight),
                    warmup: None,
                });
                continue;
            }
            match self.send(upstream, &chosen, resume_after).await {
                Ok((head, upstream, sent_at)) => {
                    if !self.is_refused(&head, &chosen) {
                        self.permit = None;
                        self.log.server = chosen.id.clone();
                        self.log.server_version = chosen.software_version.clone();
                        return Ok(OpenedResponse {
                            head,
                            upstream,
                            server: chosen.id,
                            server_version: chosen.software_version,
                            sent_at,
                            uncached_tokens,
                            first_chunk_after: None,
                            first_tokens: 0,
                            call,
                            _in_flight: in_flight,
                        });
                    }
                    end_call(call, CallEnd::Refused);
                    self.log.record_refusal(&chosen.id, head.status.as_u16());
                    self.end_send(SendEnd::Refused(head.status.as_u16()));
                    self.guard.record_refusal();
                    self.log.refused_by += 1;
                    upstream.release();
                    // Only requests for another incarnation don't count at a server.
                    if head.status == StatusCode::MISDIRECTED_REQUEST
                        && let Some(warmup) = warmup
                    {
                        warmup.refund();
                    }
                    if let Some(permit) = self.permit.take() {
                        permit.release();
                    }
                }
                Err(error) => {
                    // The request may have been executed, so its permit stays in use and a retry
                    // needs another.
                    self.permit = None;
                    end_call(call, end_of_error(&error));
                    self.on_error(&chosen, &error)?;
                }
            }
        }
    }

    /// The regions in which the turn may be stored; any if it isn't stored.
    pub(super) fn storage_regions(&self) -> &AllowedRegions {
        if self.route.stores_turns {
            &self.allowed_regions
        } else {
            &AllowedRegions::ANY
        }
    }

    fn choice_inputs(&self, server: &str) -> ChoiceInputs {
        let now = self.core.clock.now();
        let servers = self.core.servers.borrow();
        servers.choice_inputs(server, &self.parts, now)
    }

    /// Whether the request may be sent again after a server received it.
    pub(super) fn may_retry(&self) -> bool {
        self.route.is_idempotent() && self.time_left() >= MIN_ATTEMPT_TIME
    }

    /// Frees the body once no attempt can need it: a response has begun and the request must not be
    /// sent again. The input of a turn that is to be stored is kept.
    pub(super) fn release_body(&mut self) {
        if self.route.is_idempotent() {
            return;
        }
        self.body = Bytes::new();
        if !self.route.stores_turns {
            self.call.body = Bytes::new();
        }
        self.memory.set(BufferKind::Request, self.call.body.len());
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    async fn connect(&self, chosen: &SelectedServer) -> Result<Upstream, UpstreamError> {
        let pool = self.core.pool.clone();
        let connected = pool.connect(&chosen.id, chosen.address, self.body.len());
        let upstream = connected.await?;
        if let Some(took) = upstream.connect_time() {
            let mut servers = self.core.servers.borrow_mut();
            servers.record_connection(&chosen.id, &self.core.zone, took);
        }
        Ok(upstream)
    }

    async fn send(
        &mut self,
        mut upstream: Upstream,
        chosen: &SelectedServer,
        resume_after: Option<u64>,
    ) -> Result<(ResponseHead, Upstream, Instant), UpstreamError> {
        let head = self.write_head(chosen, resume_after);
        let request = head.chain(self.body.clone());
        self.log.attempts += 1;
        self.ledger.begin(&chosen.id);
        self.guard.begin(chosen);
        let sent_at = Instant::now();
        let core = &self.core;
        core.log_first_call(&self.call.request_id, &chosen.id, self.version);
        let request_id = &self.call.request_id;
        let is_ours = |head: &ResponseHead| {
            let received = core.codec.read_answer(head).request_id;
            received.is_none_or(|id| id == *request_id)
        };
        let is_head_request = self.call.method == "HEAD";
        let usual_timeout = self.response_timeout();
        let retry_timeout =
            usual_timeout.filter(|usual_timeout| sent_at + *usual_timeout < self.deadline);
        let limit = retry_timeout.map_or(self.deadline, |retry_timeout| sent_at + retry_timeout);
        let received = upstream
            .exchange(request, is_head_request, limit, is_ours)
            .await;
        if let (Err(UpstreamError::TimedOut), Some(retry_timeout)) = (&received, retry_timeout) {
            self.record_response_time(retry_timeout);
            return Err(UpstreamError::Silent);
        }
        let head = received?;
        if let Some(remaining) = core.codec.read_answer(&head).warmup_remaining {
            let mut servers = core.servers.borrow_mut();
            servers.record_warmup(&chosen.id, remaining, core.clock.now());
        }
        Ok((head, upstream, sent_at))
    }

    /// How long to wait for a response before another server is tried; `None` if the call can't be
    /// retried.
    fn response_timeout(&self) -> Option<Duration> {
        let has_attempts_left = self.may_try_another_server();
        let is_limited = self.core.policy.uses(Mechanism::SilenceLimit);
        if self.route.kind != CallKind::Repeatable || !has_attempts_left || !is_limited {
            return None;
        }
        let times = self.core.response_times.borrow();
        times.response_timeout(&self.route.name)
    }

    fn write_head(&self, chosen: &SelectedServer, resume_after: Option<u64>) -> BytesMut {
        let terms = ForwardingContext {
            time_left: Some(self.time_left()),
            server: chosen.name.clone(),
            resume_after,
            tenant: self.caller.tenant_name().map(str::to_owned),
            strips_key: self.caller.strips_key,
        };
        let mut request = BytesMut::with_capacity(1024);
        self.core
            .codec
            .write_head(&self.call, self.body.len(), &terms, &mut request);
        request
    }

    /// Whether the server refused the call without executing it, so that another one may be tried.
    fn is_refused(&self, head: &ResponseHead, chosen: &SelectedServer) -> bool {
        let is_not_run = self.core.codec.read_answer(head).is_not_run
            || head.status == StatusCode::MISDIRECTED_REQUEST;
        if !is_not_run || head.status == StatusCode::BAD_REQUEST {
            return false;
        }
        let report = if head.status == StatusCode::MISDIRECTED_REQUEST {
            CallReport::Failed
        } else {
            CallReport::Rejected
        };
        self.core.report(&chosen.id, report);
        true
    }

    /// Whether the route allows another server.
    pub(super) fn may_try_another_server(&self) -> bool {
        self.ledger.counted_receivers() < self.route.max_attempts as usize
    }

    /// Finds out what became of the server that failed last.
    async fn settle_failure(&mut self) {
        let fate = self.guard.settle().await;
        if fate.is_some_and(|fate| !fate.counts_as_receiver()) {
            self.ledger.record_server_ended();
            self.log.sends = self.ledger.to_string();
        }
    }

    /// Records how the last send ended.
    pub(super) fn end_send(&mut self, end: SendEnd) {
        self.ledger.end(end);
        self.log.sends = self.ledger.to_string();
    }

    fn on_error(&mut self, chosen: &SelectedServer, error: &UpstreamError) -> Result<(), Refusal> {
        match error {
            UpstreamError::NotSent { source } => {
                let now = self.core.clock.now();
                let mut servers = self.core.servers.borrow_mut();
                servers.record_unconnected(&chosen.id, source.kind(), now);
                drop(servers);
                self.ledger.record_unreachable(&chosen.id);
                self.log.sends = self.ledger.to_string();
                self.log.record_error(&chosen.id, error);
                self.core.report(&chosen.id, CallReport::Failed);
                self.log.refused_by += 1;
                Ok(())
            }
            UpstreamError::Broken { .. } | UpstreamError::Silent => {
                self.record_failure(&chosen.id, error);
                if self.may_retry() {
                    return Ok(());
                }
                Err(Refusal::Broken)
            }
            UpstreamError::TimedOut => {
                self.end_send(SendEnd::TimedOut);
                self.log.record_error(&chosen.id, error);
                Err(Refusal::TimedOut)
            }
        }
    }
}

/// Reports the end of a call to the pool scheduler, if it is registered there.
fn end_call(call: Option<ScheduledCall>, end: CallEnd) {
    if let Some(call) = call {
        call.end(end);
    }
}

/// How an error ends a call at the pool scheduler.
fn end_of_error(error: &UpstreamError) -> CallEnd {
    match error {
        UpstreamError::NotSent { .. } | UpstreamError::Broken { .. } | UpstreamError::Silent => {
            CallEnd::Disconnected
        }
        UpstreamError::TimedOut => CallEnd::Abandoned,
    }
}
