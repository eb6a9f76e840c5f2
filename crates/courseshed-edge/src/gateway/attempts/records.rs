//! Records what became of attempts: statistics, load reports and the access log.

use std::time::Duration;

use courseshed_types::{CachedPrompt, ServerKey};

use super::super::servers::CallReport;
use super::super::upstream::UpstreamError;
use super::{Attempts, OpenedResponse};

impl Attempts {
    /// Records a complete response with the given number of generated tokens. Returns the prompt
    /// segments that the server now has cached.
    pub(in super::super) fn record_finished(
        &self,
        opened: &mut OpenedResponse,
        generated: u32,
    ) -> CachedPrompt {
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
    pub(in super::super) fn record_outcome(&self, opened: &mut OpenedResponse) {
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
        self.record_truncated(server, error);
        self.core.report(server, CallReport::Failed);
    }

    /// Records that the response was truncated through no fault of the server.
    pub(in super::super) fn record_truncated(&mut self, server: &str, error: &UpstreamError) {
        self.may_have_run = true;
        self.log.record_error(server, error);
    }
}
