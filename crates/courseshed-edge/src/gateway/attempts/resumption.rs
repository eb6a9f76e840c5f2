//! Keeps streams at the software version at which they began, whoever resumes them.

use std::time::Duration;

use super::super::program::program_key;
use super::super::refusal::Refusal;
use super::super::version_requirement::{StreamOrigin, VersionRequirement};
use super::{Attempts, OpenedResponse};
use crate::metrics::{ResumptionLabels, WriteLabels};
use crate::records::StreamVersionLookup;

/// Added to the time that a client waits, for requests that are under way then.
const KEEP_MARGIN: Duration = Duration::from_secs(1);
/// How long the version of a stream is kept at most.
const MAX_KEEP: Duration = Duration::from_secs(600);

/// How long a service must have run a single version before a stream is taken for one of it; more than
/// twice the time that streams last.
const SOLE_VERSION_PERIOD: Duration = Duration::from_secs(10);

/// Who resumes a stream, as a metric label.
const BY_CLIENT: &str = "client";
const BY_GATEWAY: &str = "gateway";
/// Outcome of a stream that went on, as a metric label.
pub(in super::super) const RESUMED: &str = "resumed";
/// Where the version of a stream was learned, in the log.
const FROM_STORES: &str = "stores";
const FROM_LIST: &str = "server_list";
const FROM_RESPONSE: &str = "response";

impl Attempts {
    /// Looks up the version at which the stream began, if the client resumes one.
    ///
    /// # Errors
    /// [`Refusal::UnknownStreamVersion`] if no store knows the version, or if the client doesn't name the
    /// request that began the stream and several versions may have; [`Refusal::NoRecords`] if too few stores answered.
    pub(in super::super) async fn find_stream_version(
        &self,
    ) -> Result<VersionRequirement, Refusal> {
        if self.call.last_event.is_none() {
            return Ok(VersionRequirement::Any);
        }
        let Some(first) = &self.call.resumed_request else {
            return self.sole_version().ok_or(Refusal::UnknownStreamVersion);
        };
        let began = self.core.clock.now();
        let stream = self.stream_key(first);
        let found = self
            .core
            .records
            .stream_version(&stream, self.deadline)
            .await;
        let took = self.core.clock.now().saturating_sub(began);
        let lookup_time = &self.core.metrics.stream_version_lookup;
        lookup_time.observe(took.as_secs_f64());
        match found {
            StreamVersionLookup::Known(version) => Ok(VersionRequirement::version(version)),
            StreamVersionLookup::Unknown => Err(Refusal::UnknownStreamVersion),
            StreamVersionLookup::Unavailable => Err(Refusal::NoRecords),
        }
    }

    /// The version of a stream whose client doesn't name the request that began it: the only one that
    /// can have begun it, judged by a list that is up to date.
    fn sole_version(&self) -> Option<VersionRequirement> {
        if !self.core.follower.has_controller_contact() {
            return None;
        }
        let route_timeout = Duration::from_millis(self.route.timeout_ms);
        let period = SOLE_VERSION_PERIOD.max(2 * route_timeout);
        let servers = self.core.servers.borrow();
        let version = servers.sole_version(&self.service, self.core.clock.now(), period)?;
        Some(VersionRequirement::version(version.to_owned()))
    }

    /// Sets the version at which a stream that the client resumes has to continue.
    pub(in super::super) fn require_version(&mut self, requirement: VersionRequirement) {
        if !requirement.is_restricted() {
            return;
        }
        self.log.required_version = requirement.required_version().map(str::to_owned);
        self.log.version_source = match self.call.resumed_request {
            Some(_) => FROM_STORES,
            None => FROM_LIST,
        };
        self.version_requirement = requirement;
    }

    /// Binds the stream to the version of the server that sent the first event which is forwarded to
    /// the client, and records it at the stores without waiting.
    pub(in super::super) fn bind_stream(&mut self, opened: &OpenedResponse) {
        self.log
            .first_event_version
            .clone_from(&opened.server_version);
        if !self.version_requirement.is_restricted() {
            self.log.required_version.clone_from(&opened.server_version);
            self.log.version_source = FROM_RESPONSE;
            self.version_requirement = VersionRequirement::SameAs(StreamOrigin {
                version: opened.server_version.clone(),
                server: Some(opened.server.clone()),
            });
        }
        if let Some(version) = &opened.server_version
            && self.route.resumable
        {
            self.record_stream_version(version.clone());
        }
    }

    fn record_stream_version(&self, version: String) {
        let core = self.core.clone();
        let request = self.call.request_id.clone();
        let stream = self.stream_key(&request);
        let route_timeout = Duration::from_millis(self.route.timeout_ms);
        let client_waits = self.call.time_left.unwrap_or(route_timeout);
        let keep = (client_waits + KEEP_MARGIN).min(MAX_KEEP);
        actix_rt::spawn(async move {
            let recorded = core
                .records
                .record_stream_version(stream, version.clone(), keep);
            let is_recorded = recorded.await;
            let outcome = if is_recorded { "recorded" } else { "lost" };
            let writes = &core.metrics.stream_version_writes;
            writes.get_or_create(&WriteLabels { outcome }).inc();
            if !is_recorded {
                log::warn!(event = "stream_version_lost", request = request.as_str(), version = version.as_str(); "no store recorded the software version of a stream, which clients can't resume elsewhere");
            }
        });
    }

    /// The key of a stream at the stores; qualified by the tenant, since tenants may use the same IDs.
    fn stream_key(&self, first_request: &str) -> String {
        program_key(self.caller.tenant_name(), first_request)
    }

    /// Counts a stream that the client resumed.
    pub(in super::super) fn record_client_resumption(&self, outcome: &'static str) {
        if self.call.last_event.is_some() {
            self.record_resumption(BY_CLIENT, outcome);
        }
    }

    /// Records at which server this gateway resumed the stream.
    pub(in super::super) fn record_resumed(&self, opened: &OpenedResponse) {
        self.record_resumption(BY_GATEWAY, RESUMED);
        let request = self.call.request_id.as_str();
        let server = opened.server.as_str();
        log::info!(event = "stream_resumed", request, server, server_version = opened.server_version.as_deref(), required_version = self.log.required_version.as_deref(), version_source = self.log.version_source; "resumed a stream at another server");
    }

    /// Whether no listed server, in whatever state, may continue the stream.
    pub(super) fn is_version_gone(&self) -> bool {
        let requirement = &self.version_requirement;
        let servers = self.core.servers.borrow();
        requirement.is_restricted() && !servers.lists_version(&self.service, requirement)
    }

    /// Records that this gateway did not resume the stream.
    pub(in super::super) fn record_not_resumed(&self) {
        let outcome = if self.is_version_gone() {
            Refusal::StreamVersionGone.as_str()
        } else {
            Refusal::NoServer.as_str()
        };
        self.record_resumption(BY_GATEWAY, outcome);
        let request = self.call.request_id.as_str();
        log::info!(event = "stream_not_resumed", request, outcome, required_version = self.log.required_version.as_deref(), version_source = self.log.version_source; "a broken stream was not resumed");
    }

    fn record_resumption(&self, by: &'static str, outcome: &'static str) {
        let labels = ResumptionLabels {
            service: self.service.clone(),
            by,
            outcome,
        };
        self.core.metrics.resumptions.get_or_create(&labels).inc();
    }
}
