//! The leader as owner of tenants' permits.
//!
//! Invariant: a report is answered only under a valid lease of the leader, so an owner never answers
//! after the next one began.

use std::time::Duration;

use courseshed_quota::{OwnerBounds, QuotaOwner, QuotaReport};
use courseshed_registry::{Command, Outcome};
use courseshed_types::NodeId;
use tokio::sync::oneshot;

use super::worker::Worker;
use crate::metrics::PermitCounts;
use crate::protocol::PeerReply;

/// How often ceilings are looked at. They are lowered if what was out since the last time fits under
/// a lower one: as soon as the permits of a burst are free again, which takes about as long.
const CEILING_INTERVAL: Duration = Duration::from_secs(4);
/// How soon tenants get their first ceilings after a routing table named them.
const NEW_CEILING_INTERVAL: Duration = Duration::from_millis(500);

/// The permits of one term, and what is due.
pub(super) struct OwnedQuotas {
    owner: QuotaOwner,
    /// Version of the routing table whose tenants have ceilings.
    version: Option<u64>,
    next_check: Duration,
}

impl Worker {
    /// Answers a gateway's report of its permits.
    pub(super) fn on_quota(
        &mut self,
        gateway: NodeId,
        report: QuotaReport,
        reply: oneshot::Sender<PeerReply>,
    ) {
        if !self.owns_quotas() {
            let _ = reply.send(self.not_leader());
            return;
        }
        let now = self.now();
        let terms = self.options.quota;
        let Some(quotas) = &mut self.quota else {
            return;
        };
        let table = self.group.machine().routing().map(|routing| &routing.table);
        let permits_of = |name: &str| {
            let tenant = table?.table.tenant(name)?;
            tenant.quota.as_ref().map(|quota| terms.permits(quota))
        };
        let (answer, bounds) = quotas.owner.on_report(now, gateway, report, permits_of);
        // A report that came late has no answer; its gateway has made another since.
        if let Some(answer) = answer {
            let _ = reply.send(PeerReply::Quota(answer));
        }
        self.propose_bounds(bounds);
    }

    /// Gives new tenants their ceilings, and lowers those that are too high.
    pub(super) fn keep_quotas(&mut self) {
        if !self.owns_quotas() {
            return;
        }
        let now = self.now();
        let terms = self.options.quota;
        let Some(quotas) = &mut self.quota else {
            return;
        };
        let Some(routing) = self.group.machine().routing() else {
            return;
        };
        let version = Some(routing.table.version);
        if now < quotas.next_check && quotas.version == version {
            return;
        }
        let tenants = routing.table.table.tenants.iter().flatten();
        let limited = tenants.filter_map(|tenant| {
            let quota = tenant.quota.as_ref()?;
            Some((tenant.name.as_str(), terms.permits(quota)))
        });
        let limited: Vec<(&str, u32)> = limited.collect();
        let bounds = quotas.owner.bounds_due(now, limited.iter().copied());
        for (name, permits) in limited {
            let figures = PermitCounts {
                permits: u64::from(permits),
                out: quotas.owner.out(name),
                in_use: quotas.owner.in_use(name),
            };
            self.options.metrics.set_permits(name, figures);
        }
        let is_new = quotas.version != version;
        quotas.version = version;
        quotas.next_check = now
            + if is_new {
                NEW_CEILING_INTERVAL
            } else {
                CEILING_INTERVAL
            };
        self.propose_bounds(bounds);
    }

    /// Takes in that a change of the bounds was agreed on.
    pub(super) fn note_bounds(&mut self, outcome: Option<&Outcome>) {
        if let (Some(quotas), Some(Outcome::QuotasBound(bounds))) = (&mut self.quota, outcome) {
            quotas.owner.on_bounds(bounds);
        }
    }

    fn propose_bounds(&mut self, bounds: OwnerBounds) {
        if bounds.is_empty() {
            return;
        }
        log::info!(event = "quota_bounds", ceilings = bounds.ceilings.len(), holders = bounds.holders.len(), former_holders = bounds.former_holders.len(); "proposing how many permits may be out, and where");
        self.submit(Command::BoundQuotas(bounds), None);
    }

    /// Whether this controller surely leads now; it begins to own the permits if it does.
    fn owns_quotas(&mut self) -> bool {
        let now = self.now();
        if !self.group.is_leader() || !self.group.lease_valid(now) {
            return false;
        }
        if self.quota.is_none() {
            let epoch = self.group.term().0;
            let bounds = self.group.machine().quota_bounds();
            let owner = QuotaOwner::new(self.options.quota, epoch, now, bounds);
            log::info!(event = "quota_owner", epoch; "owning the permits of tenants from now on");
            self.quota = Some(OwnedQuotas {
                owner,
                version: None,
                next_check: Duration::ZERO,
            });
        }
        true
    }
}
