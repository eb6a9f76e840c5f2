//! Which servers are warming up, by their heartbeats and by what their responses state.

use std::collections::BTreeSet;
use std::time::Duration;

use courseshed_registry::Server;

use super::ServerTable;

impl ServerTable {
    pub(super) fn update_cold_until(
        &mut self,
        before: Option<&Server>,
        server: &Server,
        now: Duration,
    ) {
        if server.warmup_remaining_ms == 0 {
            self.cold_until.remove(&server.id);
        } else if before
            .is_none_or(|before| before.warmup_remaining_ms != server.warmup_remaining_ms)
        {
            let until = now + Duration::from_millis(u64::from(server.warmup_remaining_ms));
            self.cold_until.insert(server.id.clone(), until);
        }
    }

    /// Records the remaining warm-up time that a response of a server states, which is newer than
    /// the last heartbeat. Only zero ends the warm-up earlier than the heartbeat said. A statement is
    /// replaced by the next heartbeat that reports another state.
    pub fn record_warmup(&mut self, id: &str, remaining: Duration, now: Duration) {
        let Some(server) = self.directory.get(id) else {
            return;
        };
        if !self.limits_warm_up(&server.service) {
            return;
        }
        let reported = self.cold_until.get(id).copied().unwrap_or_default();
        let until = if remaining.is_zero() {
            now
        } else {
            reported.max(now + remaining)
        };
        self.stated_until.insert(id.to_owned(), until);
    }

    /// Whether the server last reported a cold start in a service that limits cold servers. The
    /// limit applies to the calls of all gateways together, so such a server gets calls only with
    /// permits (see [`super::warmup`]).
    pub(in super::super) fn is_cold(&self, server: &Server) -> bool {
        server.warmup_remaining_ms > 0 && self.limits_warm_up(&server.service)
    }

    /// Whether a server is warm, or its reported cold start should be over.
    pub(in super::super) fn is_expected_warm(&self, server: &Server, now: Duration) -> bool {
        if let Some(stated) = self.stated_until.get(&server.id) {
            return now >= *stated || !self.limits_warm_up(&server.service);
        }
        let until = self.cold_until.get(&server.id);
        !self.is_cold(server) || until.is_none_or(|until| now >= *until)
    }

    /// Whether a service limits servers that are warming up.
    pub(in super::super) fn limits_warm_up(&self, service: &str) -> bool {
        self.serving.cold_limited.contains(service)
    }

    /// Whether calls to a server need a permit, since it is warming up in a service that limits
    /// such servers.
    #[must_use]
    pub fn needs_permit(&self, id: &str, now: Duration) -> bool {
        let server = self.directory.get(id);
        server.is_some_and(|server| !self.is_expected_warm(server, now))
    }

    /// Names of the servers whose calls need a permit.
    pub(in super::super) fn warming_names(&self, now: Duration) -> BTreeSet<String> {
        let warming: BTreeSet<&String> = self
            .cold_until
            .keys()
            .chain(self.stated_until.keys())
            .collect();
        warming
            .into_iter()
            .filter_map(|id| self.directory.get(id))
            .filter(|server| !self.is_expected_warm(server, now))
            .map(|server| server.name().to_owned())
            .collect()
    }

    /// Time until a server that is warming up should be warm.
    pub(in super::super) fn warm_in(&self, id: &str, now: Duration) -> Option<Duration> {
        let stated = self.stated_until.get(id);
        let until = stated.or_else(|| self.cold_until.get(id))?;
        Some(until.saturating_sub(now))
    }
}
