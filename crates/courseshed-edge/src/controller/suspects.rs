//! The suspect requests known to a controller, and the notification of its followers.

use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::{
    SuspectChanges, SuspectReport, SuspectRequests, SuspectRevision, SuspectVerdict,
};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::sleep;

use super::handle::Shared;
use crate::clock::Clock;

/// How often the other controllers are told again what changed within the period.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
const RESEND_PERIOD: Duration = Duration::from_secs(1);

/// The suspect requests known to a controller.
pub(crate) struct SuspectBoard {
    requests: Mutex<SuspectRequests>,
    /// Identifies this life of the process.
    source: u64,
    revision: watch::Sender<u64>,
    clock: Clock,
}

impl SuspectBoard {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            requests: Mutex::default(),
            source: rand::random(),
            revision: watch::channel(0).0,
            clock,
        }
    }

    /// Notifies of changes.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Records reports of a gateway. Returns what is known of the last one, and the reports with the sends that were
    /// permitted.
    pub(super) fn record(
        &self,
        reports: &[SuspectReport],
    ) -> (Option<SuspectVerdict>, Vec<SuspectReport>) {
        let now = self.clock.now();
        let mut requests = self.requests.lock();
        let mut last = None;
        let mut permitted = Vec::new();
        for report in reports {
            let verdict = requests.record(now, report);
            permitted.push(SuspectReport {
                next: report.next.filter(|_| verdict.may_send),
                ..report.clone()
            });
            last = Some(verdict);
        }
        let revision = requests.revision();
        self.revision.send_if_modified(|known| {
            let has_changed = *known != revision;
            *known = revision;
            has_changed
        });
        (last, permitted)
    }

    /// Records reports that another controller received.
    pub(super) fn record_relayed(&self, reports: &[SuspectReport]) {
        if !reports.is_empty() {
            self.record(reports);
        }
    }

    /// Changes that a follower lacks, and the revision that it has with them.
    pub(super) fn changes_since(
        &self,
        known: SuspectRevision,
    ) -> (SuspectRevision, Option<SuspectChanges>) {
        let is_same_source = known.source == self.source;
        let known = if is_same_source { known.revision } else { 0 };
        let changes = self.requests.lock().changes_since(self.clock.now(), known);
        let revision = SuspectRevision {
            source: self.source,
            revision: changes.as_ref().map_or(known, |changes| changes.revision),
        };
        (revision, changes)
    }

    /// Reports on what has changed lately, for the other controllers.
    fn recent_reports(&self) -> Vec<SuspectReport> {
        let requests = self.requests.lock();
        requests.reports(self.clock.now(), RESEND_PERIOD)
    }

    fn expire(&self) {
        self.requests.lock().expire(self.clock.now());
    }
}

/// Forgets old suspects, and tells the other controllers of recent ones again: messages may be lost, and a controller
/// that has just started knows none.
pub(super) async fn tend_suspects(shared: Arc<Shared>) {
    loop {
        sleep(RESEND_INTERVAL).await;
        shared.suspects().expire();
        let reports = shared.suspects().recent_reports();
        if !reports.is_empty() {
            shared.relay_suspects(&reports);
        }
    }
}
