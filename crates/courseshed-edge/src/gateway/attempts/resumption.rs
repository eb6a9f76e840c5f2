//! Keeps streams at the software version at which they began, whoever resumes them.

use std::time::Duration;

use bytes::Bytes;
use courseshed_records::{AttemptUpdate, EventMark, OutputPiece, ResumedAttempt};

use super::super::program::{program_key, refusal_for};
use super::super::refusal::Refusal;
use super::super::version_requirement::{StreamOrigin, VersionRequirement};
use super::{Attempts, OpenedResponse};
use crate::metrics::{ResumptionLabels, WriteLabels};
use crate::records::{AttemptLookup, OutputKeeper, StreamVersionLookup};

/// Added to the time that a client waits, for requests that are under way then.
const KEEP_MARGIN: Duration = Duration::from_secs(1);
/// How long the version of a stream is kept at most.
const MAX_KEEP: Duration = Duration::from_secs(600);

/// Who resumes a stream, as a metric label.
const BY_CLIENT: &str = "client";
const BY_GATEWAY: &str = "gateway";
/// Outcome of a stream that went on, as a metric label.
pub(in super::super) const RESUMED: &str = "resumed";
/// Where the version of a stream was learned, in the log.
const FROM_STORES: &str = "stores";
const FROM_RESPONSE: &str = "response";

/// What a client goes on from when it resumes a stream.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Resumption {
    /// Which servers may continue the stream.
    pub requirement: VersionRequirement,
    /// The attempt that the client had its last event from, if it was looked up.
    pub attempt: Option<String>,
    /// The output up to the client's last event, on routes that keep it.
    pub beginning: Option<Bytes>,
}

impl Attempts {
    /// Whether the output is kept at the stores while it is passed on, so that a turn which the client resumes at
    /// another gateway can be stored whole. The stores of an output may be in any region.
    pub(in super::super) fn keeps_output(&self) -> bool {
        self.route.stores_turns && self.route.resumable && !self.allowed_regions.is_restricted()
    }

    /// Looks up where the stream began, if the client resumes one.
    ///
    /// # Errors
    /// [`Refusal::UnknownStreamVersion`] if no store knows the stream, or if several fit that aren't alike;
    /// [`Refusal::UnknownStreamBeginning`] if a turn couldn't be stored whole; [`Refusal::NoRecords`] if too few
    /// stores answered.
    pub(in super::super) async fn find_resumption(&self) -> Result<Resumption, Refusal> {
        let Some(last_event) = self.call.last_event else {
            return Ok(Resumption::default());
        };
        let began = self.core.clock.now();
        let found = match &self.call.resumed_request {
            Some(first) if !self.route.stores_turns => self.find_version_of(first).await,
            named => self.find_attempt(named.as_deref(), last_event).await,
        };
        let took = self.core.clock.now().saturating_sub(began);
        let lookup_time = &self.core.metrics.stream_version_lookup;
        lookup_time.observe(took.as_secs_f64());
        found
    }

    async fn find_version_of(&self, first: &str) -> Result<Resumption, Refusal> {
        let stream = self.stream_key(first);
        let found = self
            .core
            .records
            .stream_version(&stream, self.deadline)
            .await;
        match found {
            StreamVersionLookup::Known(version) => Ok(Resumption {
                requirement: VersionRequirement::version(version),
                ..Resumption::default()
            }),
            StreamVersionLookup::Unknown => Err(Refusal::UnknownStreamVersion),
            StreamVersionLookup::Unavailable => Err(Refusal::NoRecords),
        }
    }

    async fn find_attempt(
        &self,
        named: Option<&str>,
        last_event: u64,
    ) -> Result<Resumption, Refusal> {
        let stream = self.asked_key();
        let records = &self.core.records;
        let found = records
            .resumed_attempt(&stream, named, last_event, self.deadline)
            .await;
        let request = self.call.request_id.as_str();
        log::info!(event = "attempt_looked_up", request, stream = stream.as_str(), named, last_event, found = outcome_of(&found); "looked up the stream that a client resumes");
        let AttemptLookup::Known(found) = found else {
            return Err(Refusal::NoRecords);
        };
        let ResumedAttempt::Found {
            request,
            version: Some(version),
            beginning,
        } = found
        else {
            return Err(Refusal::UnknownStreamVersion);
        };
        if self.route.stores_turns && beginning.is_none() {
            return Err(Refusal::UnknownStreamBeginning);
        }
        Ok(Resumption {
            requirement: VersionRequirement::version(version),
            attempt: Some(request),
            beginning,
        })
    }

    /// Sets where a stream that the client resumes has to continue.
    pub(in super::super) fn require_version(&mut self, resumption: &Resumption) {
        let requirement = &resumption.requirement;
        if !requirement.is_restricted() {
            return;
        }
        self.log.required_version = requirement.required_version().map(str::to_owned);
        self.log.version_source = FROM_STORES;
        self.version_requirement = requirement.clone();
        self.resumed_attempt.clone_from(&resumption.attempt);
    }

    /// Registers the attempt at the stores before it runs, with the output that the client has; `None` if the route
    /// doesn't keep outputs.
    ///
    /// # Errors
    /// [`Refusal::NoRecords`] or [`Refusal::StoresFull`] if the stores can't keep the output.
    pub(in super::super) async fn open_keeper(
        &self,
        beginning: Option<&Bytes>,
    ) -> Result<Option<OutputKeeper>, Refusal> {
        if !self.keeps_output() {
            return Ok(None);
        }
        let data = beginning.cloned().unwrap_or_default();
        let mark = self.call.last_event.map(|id| EventMark {
            id,
            end: data.len() as u64,
        });
        let version = self.version_requirement.required_version();
        let update = AttemptUpdate {
            output: Some(OutputPiece {
                offset: 0,
                data,
                marks: mark.into_iter().collect(),
            }),
            ..self.attempt_update(version.map(str::to_owned))
        };
        let records = self.core.records.clone();
        let opened = OutputKeeper::open(records, self.asked_key(), update, self.keep_time());
        opened.await.map(Some).map_err(refusal_for)
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
        let keep = self.keep_time();
        let asked = self.asked_key();
        let update = self.attempt_update(Some(version.clone()));
        let is_kept = self.keeps_output();
        actix_rt::spawn(async move {
            let records = &core.records;
            let by_name = records.record_stream_version(stream, version.clone(), keep);
            let by_content = async {
                // With its output, it is recorded before this.
                is_kept || records.record_attempt(asked, update, keep).await
            };
            let (is_recorded, is_found_by_content) = futures_util::join!(by_name, by_content);
            let outcome = match (is_recorded, is_found_by_content) {
                (true, true) => "recorded",
                (true, false) => "recorded_by_name",
                (false, _) => "lost",
            };
            let writes = &core.metrics.stream_version_writes;
            writes.get_or_create(&WriteLabels { outcome }).inc();
            if outcome != "recorded" {
                log::warn!(event = "stream_version_lost", request = request.as_str(), version = version.as_str(), outcome; "too few stores recorded where a stream began, so that clients may not be able to resume it elsewhere");
            }
        });
    }

    fn attempt_update(&self, version: Option<String>) -> AttemptUpdate {
        AttemptUpdate {
            request: self.call.request_id.clone(),
            resumes: self.resumed_attempt.clone(),
            version,
            output: None,
        }
    }

    /// How long a client may come back for the stream.
    fn keep_time(&self) -> Duration {
        let route_timeout = Duration::from_millis(self.route.timeout_ms);
        let client_waits = self.call.time_left.unwrap_or(route_timeout);
        (client_waits + KEEP_MARGIN).min(MAX_KEEP)
    }

    /// The key at the stores of all attempts that ask for the same.
    fn asked_key(&self) -> String {
        format!("asked/{:016x}", self.log.request_key.0)
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

fn outcome_of(found: &AttemptLookup) -> &'static str {
    match found {
        AttemptLookup::Known(ResumedAttempt::Found { .. }) => "found",
        AttemptLookup::Known(ResumedAttempt::Unknown) => "unknown",
        AttemptLookup::Known(ResumedAttempt::Ambiguous) => "ambiguous",
        AttemptLookup::Unavailable => "unavailable",
    }
}
