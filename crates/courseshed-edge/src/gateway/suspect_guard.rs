//! Keeps a request from ending more than a few servers, over all attempts of its client at whatever gateways.
//!
//! A request under which no server ended costs no message. Once one did, each further send is first reported to a
//! controller together with its server, so that other gateways know of it before that server can have ended.
//!
//! Invariants: a suspect is sent only if the servers that ended under it and those that may still run it are few
//! enough; each server that ended under an attempt is reported, also if the client is gone by then.

use std::rc::Rc;
use std::time::Duration;

use courseshed_registry::{EndedServer, SuspectReport, SuspectState, may_send_suspect};
use courseshed_types::{RequestKey, ServerKey};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep};

use super::attempts::milliseconds;
use super::call::GatewayRequest;
use super::core::GatewayCore;
use super::selected_server::SelectedServer;
use super::server_fate::ServerFate;
use crate::metrics::ServiceLabels;

/// When a server that failed and seems to go on running is looked at again: by then one that started again has
/// registered.
const RECHECK_DELAY: Duration = Duration::from_secs(1);

/// A server that has the request.
struct Receiver {
    server: SelectedServer,
    known_before: u32,
}

/// What is to be reported of an attempt.
#[derive(Clone)]
struct AttemptReport {
    core: Rc<GatewayCore>,
    request_id: String,
    service: String,
    report: SuspectReport,
}

/// Limits the servers that end under one request.
pub(super) struct SuspectGuard {
    /// What the next report says.
    attempt: AttemptReport,
    /// The server that has the request now.
    receiver: Option<Receiver>,
    /// The last server to fail while it had the request, until it is known whether it ended.
    failed: Option<Receiver>,
    /// Whether the other gateways count a server as running this attempt.
    is_announced: bool,
}

impl SuspectGuard {
    pub(super) fn new(
        core: &Rc<GatewayCore>,
        call: &GatewayRequest,
        request: RequestKey,
        service: &str,
    ) -> Self {
        // Without these, requests of different clients can't be told apart.
        let is_shared =
            call.program.is_none() && call.affinity_key.is_none() && call.prompt.is_empty();
        let report = SuspectReport {
            request,
            is_shared,
            attempt: rand::random(),
            ended: Vec::new(),
            next: None,
            is_answered: false,
        };
        Self {
            attempt: AttemptReport {
                core: core.clone(),
                request_id: call.request_id.clone(),
                service: service.to_owned(),
                report,
            },
            receiver: None,
            failed: None,
            is_announced: false,
        }
    }

    /// What is known of the request, if it is a suspect.
    fn state(&self) -> Option<SuspectState> {
        let AttemptReport { core, report, .. } = &self.attempt;
        core.suspects.state(report.request)
    }

    /// Whether no server may get the request any more.
    pub(super) fn is_exhausted(&self) -> bool {
        let attempt = self.attempt.report.attempt;
        let state = self.state();
        state.is_some_and(|state| state.is_exhausted(attempt))
    }

    /// Servers that a suspect should not be sent to, since they run others: one of them may end the server.
    pub(super) fn servers_to_avoid(&self) -> Vec<ServerKey> {
        if self.state().is_none() {
            return Vec::new();
        }
        let AttemptReport { core, report, .. } = &self.attempt;
        let servers = core.suspects.servers_of_others(report.request);
        servers.into_iter().collect()
    }

    /// Whether the request may be sent to a server. Asks a controller if it is a suspect.
    pub(super) async fn permits(&mut self, server: &SelectedServer) -> bool {
        if self.state().is_none() {
            return true;
        }
        self.attempt.report.next = Some(ServerKey::of(&server.id));
        let AttemptReport { core, report, .. } = self.attempt.clone();
        let (own, confirmed) = core.suspects.report(report).await;
        let may_send = may_send_suspect(&own, confirmed.as_ref());
        self.is_announced = may_send;
        let request = self.attempt.request_id.as_str();
        let request_key = self.attempt.report.request;
        let known = confirmed.as_ref().unwrap_or(&own);
        log::info!(event = "suspect_send", request, request_key:% = request_key, server = server.id.as_str(), ended = known.state.ended.len(), running = known.state.running.len(), is_confirmed = confirmed.is_some(), may_send; "decided whether a request under which servers ended is sent again");
        may_send
    }

    /// Records that the request is being sent to a server.
    pub(super) fn begin(&mut self, server: &SelectedServer) {
        let state = self.state().unwrap_or_default();
        self.receiver = Some(Receiver {
            server: server.clone(),
            known_before: u32::try_from(state.ended.len()).unwrap_or(u32::MAX),
        });
    }

    /// Records that the server that has the request failed.
    pub(super) fn record_failure(&mut self) {
        if let Some(receiver) = self.receiver.take() {
            self.failed = Some(receiver);
        }
    }

    /// Records that the server that has the request refused it.
    pub(super) fn record_refusal(&mut self) {
        self.receiver = None;
    }

    /// Finds out what became of the server that failed last, if that isn't known yet.
    pub(super) async fn settle(&mut self) -> Option<ServerFate> {
        let failed = self.failed.take()?;
        let fate = self.attempt.judge(&failed).await;
        let core = &self.attempt.core;
        if fate.counts_as_ended() {
            // What this gateway knows counts at once; controllers learn it with the next report.
            core.suspects.record(&self.attempt.report);
        } else {
            core.suspects.queue(self.attempt.later_check(failed));
        }
        Some(fate)
    }

    /// Records that the request was answered, which clears it.
    pub(super) fn record_answered(&mut self) {
        self.receiver = None;
        self.failed = None;
        if self.state().is_some() {
            self.attempt.report.is_answered = true;
            self.is_announced = false;
            self.queue_report(None);
        }
    }

    /// Leaves the report to a task, since this may be the end of the request.
    fn queue_report(&self, failed: Option<Receiver>) {
        let attempt = self.attempt.clone();
        let delay = Duration::ZERO;
        let report = PendingReport {
            attempt,
            failed,
            delay,
        };
        self.attempt.core.suspects.queue(report);
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        let is_open = self.is_announced || !self.attempt.report.ended.is_empty();
        let failed = self.failed.take();
        if !self.attempt.report.is_answered && (is_open || failed.is_some()) {
            self.attempt.report.next = None;
            self.queue_report(failed);
        }
    }
}

/// A report that no request waits for.
pub(super) struct PendingReport {
    attempt: AttemptReport,
    /// A server that failed, if it is not known yet whether it ended.
    failed: Option<Receiver>,
    /// How long to wait before that is found out.
    delay: Duration,
}

/// Sends the reports that no request waits for, until the gateway exits.
pub(super) async fn send_pending_reports(mut pending: UnboundedReceiver<PendingReport>) {
    while let Some(report) = pending.recv().await {
        actix_rt::spawn(report.send());
    }
}

impl PendingReport {
    async fn send(mut self) {
        sleep(self.delay).await;
        if let Some(failed) = self.failed.take() {
            let may_have_ended = self.attempt.judge(&failed).await.counts_as_ended();
            if !may_have_ended && !self.delay.is_zero() {
                return;
            }
            if !may_have_ended {
                let core = &self.attempt.core;
                core.suspects.queue(self.attempt.later_check(failed));
            }
        }
        let AttemptReport { core, report, .. } = self.attempt;
        if report.is_answered
            || !report.ended.is_empty()
            || core.suspects.state(report.request).is_some()
        {
            // There is no next send that the verdict could be about.
            core.suspects.report(report).await;
        }
    }
}

impl AttemptReport {
    /// A check of a server that failed and seems to go on running, by a report of its own: the attempt may be at
    /// another server then.
    fn later_check(&self, failed: Receiver) -> PendingReport {
        let mut attempt = self.clone();
        attempt.report = SuspectReport {
            attempt: rand::random(),
            ended: Vec::new(),
            next: None,
            ..attempt.report
        };
        PendingReport {
            attempt,
            failed: Some(failed),
            delay: RECHECK_DELAY,
        }
    }

    /// Finds out what became of a server that failed, and adds it to the report if it may have ended.
    async fn judge(&mut self, failed: &Receiver) -> ServerFate {
        let server = &failed.server;
        let id = server.id.as_str();
        let core = &self.core;
        let limit = core.servers.borrow().connect_timeout(&server.zone);
        let began = Instant::now();
        let probe = core.pool.probe(id, server.address, limit).await;
        let probe_ms = milliseconds(began.elapsed());
        let is_confirmed = core.follower.has_controller_contact();
        let listing = core
            .servers
            .borrow()
            .listing(&self.service, server, is_confirmed);
        let fate = ServerFate::of(listing, probe);
        let request = self.request_id.as_str();
        let request_key = self.report.request;
        let limit_ms = milliseconds(limit);
        log::info!(event = "server_failed", request, request_key:% = request_key, server = id, service = self.service.as_str(), listing:% = listing, probe:% = probe, probe_ms, limit_ms, fate:% = fate, known_before = failed.known_before; "a server failed while it had a request");
        if fate.counts_as_ended() {
            let service = self.service.clone();
            let ended = &core.metrics.servers_ended;
            ended.get_or_create(&ServiceLabels { service }).inc();
            self.report.ended.push(EndedServer {
                server: ServerKey::of(id),
                known_before: failed.known_before,
            });
        }
        fate
    }
}
