//! Sending one request to servers until one answers.
//!
//! Invariants: a request that may run once is sent again only after a server said that it did not
//! run; a request is sent to no more servers than its route allows, where a server that refused it
//! or has ended since doesn't count; once a server that had it broke off, it is never said that it
//! did not run.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use courseshed_pool::CallEnd;
use courseshed_quota::Standing;
use courseshed_routing::{CallKind, HomeRegions, Route};
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::access::Caller;
use super::assigned::Assigned;
use super::call::{CallEnvelope, SendTerms};
use super::call_log::CallLog;
use super::choice::ChoiceInputs;
use super::chosen::Chosen;
use super::core::{GatewayCore, InFlight};
use super::held::Holding;
use super::held_memory::HeldKind;
use super::policy::Mechanism;
use super::quota::{Permit, Quotas};
use super::refusal::Refusal;
use super::schedule::ScheduledCall;
use super::servers::Report;
use super::upstream::{Upstream, UpstreamError};

/// What a thing known by its key alone counts for, in tokens of a prompt.
const TOKENS_OF_KEY: u32 = 2_000;
/// Less time than this is not worth another try.
pub(super) const LEAST_TIME: Duration = Duration::from_millis(15);

/// An answer that has begun.
pub(super) struct Opened {
    pub head: ResponseHead,
    pub upstream: Upstream,
    pub server: String,
    pub sent_at: Instant,
    /// Tokens of the prompt that the server had to read, as far as was known.
    pub unread_tokens: u32,
    /// From the send to the first part of the answer, once that came.
    pub first_part: Option<Duration>,
    /// Tokens that the first part brought.
    pub first_tokens: u32,
    /// The call's number at the scheduler of its pool.
    pub call: Option<ScheduledCall>,
    /// Counts the request at the server until it is dropped.
    pub _in_flight: InFlight,
}

impl Opened {
    /// Tells the scheduler of the pool what became of the call.
    pub(super) fn end_call(&mut self, end: CallEnd) {
        if let Some(call) = self.call.take() {
            call.end(end);
        }
    }

    /// What an answer says of the engine that isn't a stream of its own: a failure of the server's or nothing.
    pub(super) fn end_without_stream(&self) -> CallEnd {
        if self.head.status.is_server_error() {
            CallEnd::Failed
        } else {
            CallEnd::Given
        }
    }

    /// What a whole answer says of the engine.
    fn end_of_answer(&self, generated: u32, took: Duration) -> CallEnd {
        if !self.head.status.is_success() {
            return self.end_without_stream();
        }
        CallEnd::Whole {
            generated,
            first_tokens: self.first_tokens,
            first_part_ms: milliseconds(self.first_part.unwrap_or(took)),
            took_ms: milliseconds(took),
        }
    }
}

/// A time in whole milliseconds, for messages; the longest is 49 days.
pub(super) fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// When a request came, and when its time is over.
#[derive(Clone, Copy)]
pub(super) struct CallTimes {
    pub arrived: Instant,
    pub deadline: Instant,
}

/// The service that a request goes to.
pub(super) struct ChosenService {
    pub name: String,
    /// Connections that each of its servers accepts from all gateways together.
    pub connection_limit: u32,
    /// Version of the routing table that says so.
    pub version: u64,
    /// Who the request is made for, by the same table.
    pub caller: Caller,
    /// Whether its servers are engines, whose calls one scheduler orders.
    pub is_pool: bool,
}

/// What a server that saw the same thing lately need not read again; nothing if that's all the same.
fn parts_of(call: &CallEnvelope, route: &Route) -> Vec<PromptPart> {
    if !route.affinity {
        return Vec::new();
    }
    if !call.prompt.is_empty() {
        return call.prompt.clone();
    }
    let key = call.affinity_key.as_ref();
    let part = key.map(|key| PromptPart {
        id: xxh3_64(key.as_bytes()),
        tokens: TOKENS_OF_KEY,
    });
    part.into_iter().collect()
}

/// One request on its way.
pub(super) struct Attempts {
    pub core: Rc<GatewayCore>,
    pub call: CallEnvelope,
    pub route: Arc<Route>,
    pub service: String,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Whether the service is a pool of engines.
    pub is_pool: bool,
    /// What servers hold of the prompts of its program, as far as the records know.
    pub held: Vec<CachedPrompt>,
    /// What the server gets as the body.
    pub body: Bytes,
    /// The prompt, if it matters what a server saw before.
    pub parts: Vec<PromptPart>,
    pub log: CallLog,
    /// Who the request is made for.
    pub caller: Caller,
    /// Where it may be served, and what it says kept.
    pub homes: HomeRegions,
    /// Whether the request begins a program.
    pub standing: Standing,
    /// What is held for it.
    pub holding: Holding,
    permit: Option<Permit>,
    version: u64,
    pub connection_limit: u32,
    pub sent_to: Vec<String>,
    pub passed_over: Vec<String>,
    pub repeats: usize,
    /// A server that was granted, and not sent to since the permit had lapsed.
    pub kept: Option<Assigned>,
    /// Whether a server that had the request broke off, whatever became of that server since.
    may_have_run: bool,
}

impl Attempts {
    pub(super) fn new(
        core: Rc<GatewayCore>,
        call: CallEnvelope,
        route: Arc<Route>,
        service: ChosenService,
        times: CallTimes,
        holding: Holding,
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
        Self {
            body: call.body.clone(),
            parts: parts_of(&call, &route),
            homes: HomeRegions::of(&route, caller.tenant().map(|tenant| &**tenant)),
            caller,
            standing: Standing::UnderWay,
            holding,
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
            held: Vec::new(),
            log,
            sent_to: Vec::new(),
            passed_over: Vec::new(),
            repeats: 0,
            kept: None,
            may_have_run: false,
        }
    }

    /// Sends the request until a server answers it.
    pub(super) async fn open(&mut self, resume_after: Option<u64>) -> Result<Opened, Refusal> {
        loop {
            if self.time_left() < LEAST_TIME {
                return Err(self.out_of_time());
            }
            if let Err(refusal) = self.take_permit().await {
                return Err(self.not_sent_again(refusal));
            }
            let Some(assigned) = self.assign().await? else {
                return Err(self.out_of_servers());
            };
            let Assigned {
                chosen,
                call,
                in_flight,
            } = assigned;
            let inputs = self.choice_inputs(&chosen.id);
            let unread_tokens = inputs.unread_tokens;
            self.log.choice = inputs;
            // One that was kept is counted already, and a probe noted.
            let in_flight = in_flight.unwrap_or_else(|| InFlight::begin(&self.core, &chosen.id));
            let upstream = match self.connect(&chosen).await {
                Ok(upstream) => upstream,
                Err(error) => {
                    end_call(call, end_of_error(&error));
                    self.on_error(&chosen, &error)?;
                    continue;
                }
            };
            // Nothing is awaited between this check and the send.
            if let Err(refusal) = self.check_access() {
                upstream.finish();
                return Err(self.not_sent_again(refusal));
            }
            if self.permit.as_mut().is_some_and(|permit| !permit.send()) {
                upstream.finish();
                self.permit = None;
                self.kept = Some(Assigned {
                    chosen,
                    call,
                    in_flight: Some(in_flight),
                });
                continue;
            }
            match self.send(upstream, &chosen, resume_after).await {
                Ok((head, upstream, sent_at)) => {
                    if !self.is_refused(&head, &chosen) {
                        self.permit = None;
                        self.log.server = chosen.id.clone();
                        return Ok(Opened {
                            head,
                            upstream,
                            server: chosen.id,
                            sent_at,
                            unread_tokens,
                            first_part: None,
                            first_tokens: 0,
                            call,
                            _in_flight: in_flight,
                        });
                    }
                    end_call(call, CallEnd::Refused);
                    self.log.note_refusal(&chosen.id, head.status.as_u16());
                    self.pass_over(&chosen.id);
                    upstream.finish();
                    if let Some(permit) = self.permit.take() {
                        permit.not_run();
                    }
                }
                Err(error) => {
                    // It may have run: the permit stays occupied, and another send needs another.
                    self.permit = None;
                    end_call(call, end_of_error(&error));
                    self.on_error(&chosen, &error)?;
                }
            }
        }
    }

    /// Where its turn may be kept: anywhere if it isn't kept at all.
    pub(super) fn kept_within(&self) -> &HomeRegions {
        if self.route.keeps_turns {
            &self.homes
        } else {
            &HomeRegions::ANY
        }
    }

    fn choice_inputs(&self, server: &str) -> ChoiceInputs {
        let now = self.core.clock.now();
        let servers = self.core.servers.borrow();
        servers.choice_inputs(server, &self.parts, now)
    }

    /// Whether the request may be sent again after a server had it.
    pub(super) fn may_repeat(&self) -> bool {
        self.route.is_idempotent() && self.time_left() >= LEAST_TIME
    }

    /// Lets the body go if no server can need it any more: an answer has begun, and the request may
    /// not be sent again. A turn's own input stays if it is to be kept.
    pub(super) fn release_body(&mut self) {
        if self.route.is_idempotent() {
            return;
        }
        self.body = Bytes::new();
        if !self.route.keeps_turns {
            self.call.body = Bytes::new();
        }
        self.holding.set(HeldKind::Request, self.call.body.len());
    }

    /// Notes that a server's answer is whole, with so many tokens generated. Returns what the server
    /// holds of the prompt now.
    pub(super) fn note_finished(&self, opened: &mut Opened, generated: u32) -> CachedPrompt {
        let took = opened.sent_at.elapsed();
        let cached = self.note_read_prompt(opened, generated, took);
        opened.end_call(opened.end_of_answer(generated, took));
        cached
    }

    /// Notes that a server has read the prompt and answered, as far as its own time goes. Returns what
    /// it holds of the prompt now.
    pub(super) fn note_read_prompt(
        &self,
        opened: &Opened,
        generated: u32,
        took: Duration,
    ) -> CachedPrompt {
        let now = self.core.clock.now();
        let key = ServerKey::of(&opened.server);
        let cached = CachedPrompt::after_answer(key, &self.parts, generated);
        let mut servers = self.core.servers.borrow_mut();
        servers.note_finished(&opened.server, &cached, took, now);
        cached
    }

    /// Tells of the end of an answer that is whole: the other gateways whether the server answered or
    /// erred, and the scheduler of the pool, if nobody has.
    pub(super) fn note_answered(&self, opened: &mut Opened) {
        let report = Report::of_answer(opened.head.status);
        self.core.report(&opened.server, report);
        opened.end_call(opened.end_without_stream());
    }

    /// Notes how long the whole answer of a plain call took, or how long it was waited for in vain.
    pub(super) fn note_answer_time(&self, took: Duration) {
        let mut times = self.core.answer_times.borrow_mut();
        times.note(&self.route.name, took);
    }

    /// Notes that the first part of a server's answer came.
    pub(super) fn note_read(&mut self, opened: &mut Opened) {
        self.log.note_first_part();
        let now = self.core.clock.now();
        let took = opened.sent_at.elapsed();
        opened.first_part.get_or_insert(took);
        let unread = opened.unread_tokens;
        let mut servers = self.core.servers.borrow_mut();
        servers.note_read(&opened.server, &self.parts, unread, took, now);
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(super) fn out_of_time(&self) -> Refusal {
        if self.may_have_run {
            Refusal::TimedOut
        } else {
            Refusal::TooLate
        }
    }

    fn out_of_servers(&self) -> Refusal {
        if self.may_have_run {
            Refusal::Broken
        } else {
            Refusal::NoServer
        }
    }

    /// Notes that a server which had the request broke off.
    pub(super) fn note_broken(&mut self, server: &str, error: &UpstreamError) {
        self.note_lost(server, error);
        self.core.report(server, Report::Failed);
    }

    /// Notes that the rest of an answer doesn't come, for which the server isn't to blame.
    pub(super) fn note_lost(&mut self, server: &str, error: &UpstreamError) {
        self.may_have_run = true;
        self.log.note_error(server, error);
    }

    /// Takes a permit for the next send, if the tenant's requests are limited.
    async fn take_permit(&mut self) -> Result<(), Refusal> {
        let Some(tenant) = self.caller.tenant() else {
            return Ok(());
        };
        if self.permit.is_some() || tenant.quota.is_none() {
            return Ok(());
        }
        let permit = Quotas::acquire(&self.core, &tenant.name, self.standing, self.deadline);
        self.permit = Some(permit.await?);
        Ok(())
    }

    async fn connect(&self, chosen: &Chosen) -> Result<Upstream, UpstreamError> {
        let pool = self.core.pool.clone();
        let connected = pool.connect(&chosen.id, chosen.address, self.body.len());
        let upstream = connected.await?;
        if let Some(took) = upstream.connected_in() {
            let mut servers = self.core.servers.borrow_mut();
            servers.note_connected(&chosen.id, &self.core.zone, took);
        }
        Ok(upstream)
    }

    /// Whether the caller may still be served.
    fn check_access(&self) -> Result<(), Refusal> {
        let view = self.core.follower.view();
        let routing = view.routing.as_ref().ok_or(Refusal::NotStarted)?;
        let proof_age = self.core.follower.proof_age();
        if self.caller.identity.is_some() {
            self.core.metrics.note_proof_age(proof_age);
        }
        self.core
            .access
            .check_again(&self.caller, self.version, routing, proof_age)
    }

    /// What the caller is told if the request may not be sent any more.
    pub(super) fn not_sent_again(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            Refusal::Broken
        } else {
            refusal
        }
    }

    async fn send(
        &mut self,
        mut upstream: Upstream,
        chosen: &Chosen,
        resume_after: Option<u64>,
    ) -> Result<(ResponseHead, Upstream, Instant), UpstreamError> {
        let head = self.write_head(chosen, resume_after);
        let request = head.chain(self.body.clone());
        self.log.attempts += 1;
        if !self.sent_to.contains(&chosen.id) {
            self.sent_to.push(chosen.id.clone());
        }
        let sent_at = Instant::now();
        let core = &self.core;
        let request_id = &self.call.request_id;
        let is_ours = |head: &ResponseHead| {
            let answered = core.codec.read_answer(head).request_id;
            answered.is_none_or(|id| id == *request_id)
        };
        let silence = self.silence_borne();
        let patience = silence.filter(|silence| sent_at + *silence < self.deadline);
        let limit = patience.map_or(self.deadline, |patience| sent_at + patience);
        let answered = upstream.exchange(request, limit, is_ours).await;
        if let (Err(UpstreamError::TimedOut), Some(patience)) = (&answered, patience) {
            self.note_answer_time(patience);
            return Err(UpstreamError::Silent);
        }
        let head = answered?;
        Ok((head, upstream, sent_at))
    }

    /// How long the server may be silent before another one gets the request; none if none may.
    fn silence_borne(&self) -> Option<Duration> {
        let may_go_on = self.sent_to.len() < self.route.max_attempts as usize;
        let is_limited = self.core.policy.uses(Mechanism::SilenceLimit);
        if self.route.kind != CallKind::Repeatable || !may_go_on || !is_limited {
            return None;
        }
        let times = self.core.answer_times.borrow();
        times.silence_borne(&self.route.name)
    }

    fn write_head(&self, chosen: &Chosen, resume_after: Option<u64>) -> BytesMut {
        let terms = SendTerms {
            time_left: Some(self.time_left()),
            server: chosen.name.clone(),
            resume_after,
            tenant: self.caller.tenant_name().map(str::to_owned),
            hides_key: self.caller.hides_key,
        };
        let mut request = BytesMut::with_capacity(1024);
        self.core
            .codec
            .write_head(&self.call, self.body.len(), &terms, &mut request);
        request
    }

    /// Whether the server says that the request did not run, so that another may have it.
    fn is_refused(&self, head: &ResponseHead, chosen: &Chosen) -> bool {
        let is_not_run = self.core.codec.read_answer(head).is_not_run
            || head.status == StatusCode::MISDIRECTED_REQUEST;
        if !is_not_run || head.status == StatusCode::BAD_REQUEST {
            return false;
        }
        let report = if head.status == StatusCode::MISDIRECTED_REQUEST {
            Report::Failed
        } else {
            Report::Full
        };
        self.core.report(&chosen.id, report);
        true
    }

    fn pass_over(&mut self, server: &str) {
        self.sent_to.retain(|sent| sent != server);
        self.passed_over.push(server.to_owned());
        self.log.refused_by += 1;
    }

    fn on_error(&mut self, chosen: &Chosen, error: &UpstreamError) -> Result<(), Refusal> {
        match error {
            UpstreamError::NotSent { .. } => {
                self.log.note_error(&chosen.id, error);
                self.core.report(&chosen.id, Report::Failed);
                // Whoever can't be reached has ended or was cut off, and doesn't count any more.
                self.pass_over(&chosen.id);
                Ok(())
            }
            UpstreamError::Broken { .. } | UpstreamError::Silent => {
                self.note_broken(&chosen.id, error);
                if self.may_repeat() {
                    return Ok(());
                }
                Err(Refusal::Broken)
            }
            UpstreamError::TimedOut => {
                self.log.note_error(&chosen.id, error);
                Err(Refusal::TimedOut)
            }
        }
    }
}

/// Tells the scheduler of the pool what became of a call that has a number there.
fn end_call(call: Option<ScheduledCall>, end: CallEnd) {
    if let Some(call) = call {
        call.end(end);
    }
}

/// What an error says of the engine.
fn end_of_error(error: &UpstreamError) -> CallEnd {
    match error {
        UpstreamError::NotSent { .. } | UpstreamError::Broken { .. } | UpstreamError::Silent => {
            CallEnd::Broken
        }
        UpstreamError::TimedOut => CallEnd::Given,
    }
}
