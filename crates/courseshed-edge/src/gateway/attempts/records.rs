//! Records what became of attempts: statistics, load reports and the access log.

use std::time::Duration;

use courseshed_types::{CachedPrompt, ServerKey};

use super::super::body_end::{BodyEnd, BodyProgress, Ending, judge};
use super::super::call_log::ResponseEnd;
use super::super::send_ledger::SendEnd;
use super::super::servers::CallReport;
use super::super::upstream::UpstreamError;
use super::{Attempts, OpenedResponse};
use crate::metrics::ResponseEndLabels;

impl Attempts {
    /// Decides whether the body of a response that ended is complete, and records how it ended.
    ///
    /// # Errors
    /// [`UpstreamError`] if the body is not complete.
    pub(in super::super) fn judge_end(
        &mut self,
        server: &str,
        end: BodyEnd,
        progress: BodyProgress,
    ) -> Result<(), UpstreamError> {
        let verdict = judge(end.framing, end.ending, &progress);
        let completeness = verdict.completeness.as_str();
        let labels = ResponseEndLabels {
            service: self.service.clone(),
            framing: end.framing.as_str(),
            ending: end.ending.as_str(),
            verdict: completeness,
        };
        let ends = &self.core.metrics.response_ends;
        ends.get_or_create(&labels).inc();
        if end.ending != Ending::Framing || !verdict.is_complete() {
            let request = self.call.request_id.as_str();
            log::info!(event = "response_ended", request, server, framing = end.framing.as_str(), ending = end.ending.as_str(), position = progress.position().as_str(), verdict = completeness, reason = verdict.reason.as_str(), events = progress.events, bytes = progress.bytes, partial_event_bytes = progress.partial_event_bytes, detail = end.detail.as_str(); "a response body did not end as its framing says, or within an event");
        }
        let judged = if verdict.is_complete() {
            Ok(())
        } else {
            Err(error_of(&end, &progress))
        };
        self.log.response_end = Some(ResponseEnd {
            end,
            progress,
            verdict,
        });
        judged
    }

    /// Records a complete response with the given number of generated tokens. Returns the prompt
    /// segments that the server now has cached.
    pub(in super::super) fn record_finished(
        &mut self,
        opened: &mut OpenedResponse,
        generated: u32,
    ) -> CachedPrompt {
        self.end_send(SendEnd::Answered);
        self.guard.record_answered();
        let took = opened.sent_at.elapsed();
        let cached = self.record_processed(opened, generated, took);
        opened.end_call(opened.end_of_answer(generated, took));
        cached
    }

    /// Records that a server has processed the call, without ending it at the pool scheduler.
    /// Returns the prompt segments that the server now has cached.
    pub(in super::super) fn record_processed(
        &self,
        opened: &OpenedResponse,
        generated: u32,
        took: Duration,
    ) -> CachedPrompt {
        let now = self.core.clock.now();
        let key = ServerKey::of(&opened.server);
        let cached = CachedPrompt::after_answer(key, &self.parts, generated);
        let mut servers = self.core.servers.borrow_mut();
        servers.record_finished(&opened.server, &cached, took, now);
        cached
    }

    /// Reports the outcome of a complete response to the other gateways and, if not yet done, the
    /// end of the call to the pool scheduler.
    pub(in super::super) fn record_outcome(&mut self, opened: &mut OpenedResponse) {
        self.end_send(SendEnd::Answered);
        self.guard.record_answered();
        let report = CallReport::of_answer(opened.head.status);
        self.core.report(&opened.server, report);
        opened.end_call(opened.end_of_unstreamed());
    }

    /// Records the duration of a non-streaming response, or of a wait that timed out.
    pub(in super::super) fn record_response_time(&self, took: Duration) {
        let mut times = self.core.response_times.borrow_mut();
        times.record(&self.route.name, took);
    }

    /// Records the arrival of the first chunk of a response.
    pub(in super::super) fn record_first_chunk(&mut self, opened: &mut OpenedResponse) {
        self.log.record_first_chunk();
        let now = self.core.clock.now();
        let took = opened.sent_at.elapsed();
        opened.first_chunk_after.get_or_insert(took);
        let unread = opened.uncached_tokens;
        let mut servers = self.core.servers.borrow_mut();
        servers.record_first_chunk(&opened.server, &self.parts, unread, took, now);
    }

    /// Records that a server failed after it received the request.
    pub(in super::super) fn record_failure(&mut self, server: &str, error: &UpstreamError) {
        self.guard.record_failure();
        self.record_truncated(server, error);
        self.core.report(server, CallReport::Failed);
    }

    /// Records that the response was truncated through no fault of the server.
    pub(in super::super) fn record_truncated(&mut self, server: &str, error: &UpstreamError) {
        self.end_send(SendEnd::of_error(error));
        self.log.record_error(server, error);
    }
}

/// The error of an incomplete body.
fn error_of(end: &BodyEnd, progress: &BodyProgress) -> UpstreamError {
    if end.ending == Ending::Silent {
        return UpstreamError::TimedOut;
    }
    let [framing, ending] = [end.framing.as_str(), end.ending.as_str()];
    let position = progress.position().as_str();
    let mut reason = format!("response truncated: {ending} at {position}, framing {framing}");
    if !end.detail.is_empty() {
        reason.push_str(": ");
        reason.push_str(&end.detail);
    }
    UpstreamError::Broken { reason }
}
