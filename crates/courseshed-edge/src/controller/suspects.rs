//! The suspect requests known to a controller, and the notification of its followers.

use std::time::Duration;

use courseshed_registry::{
    SuspectChanges, SuspectReport, SuspectRequests, SuspectRevision, SuspectVerdict,
};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::Clock;

/// How often suspects that have not changed for some time are forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

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
        self.revision.send_replace(requests.revision());
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

    fn expire(&self) {
        self.requests.lock().expire(self.clock.now());
    }
}

/// Forgets old suspects until the process exits.
pub(super) async fn expire_suspects(shared: std::sync::Arc<super::handle::Shared>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        shared.suspects().expire();
    }
}
