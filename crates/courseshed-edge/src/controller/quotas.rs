//! The leader as owner of tenants' permits.
//!
//! Invariant: a report is answered only under a valid leader lease, so an owner never answers after its
//! successor has started.

use std::time::Duration;

use courseshed_quota::{OwnerBounds, QuotaAnswer, QuotaOwner, QuotaReport};
use courseshed_registry::{Command, Outcome};
use courseshed_types::NodeId;
use tokio::sync::oneshot;

use super::worker::Worker;
use crate::metrics::PermitCounts;
use crate::protocol::PeerReply;

/// How often ceilings are checked, and lowered if the permits handed out since the last check fit under a
/// lower one. The permits of a burst take about as long to become free.
const CEILING_INTERVAL: Duration = Duration::from_secs(4);
/// Interval to the next check after a new routing table.
const NEW_TABLE_INTERVAL: Duration = Duration::from_millis(500);

/// The permits owned in one term.
pub(super) struct OwnedQuotas {
    owner: QuotaOwner,
    /// Version of the routing table for which ceilings were last checked.
    version: Option<u64>,
    next_check: Duration,
    /// Whether a gateway has been granted permits.
    has_granted: bool,
}

impl OwnedQuotas {
    fn log_first_grant(&mut self, answer: &QuotaAnswer, gateway: NodeId) {
        let QuotaAnswer::Granted { grants } = answer else {
            return;
        };
        let permits: u64 = grants.iter().map(|grant| u64::from(grant.permits)).sum();
        if permits > 0 && !self.has_granted {
            self.has_granted = true;
            log::info!(event = "quota_first_grant", gateway:% = gateway, permits, tenants = grants.len(); "the owner of tenants' permits granted some for the first time");
        }
    }
}

impl Worker {
    /// Answers a gateway's report on its permits.
    pub(super) fn on_quota(
        &mut self,
        gateway: NodeId,
        report: QuotaReport,
        reply: oneshot::Sender<PeerReply>,
    ) {
        if !self.ensure_quota_owner() {
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
        // An outdated report gets no answer; its gateway has sent a newer one.
        if let Some(answer) = answer {
            quotas.log_first_grant(&answer, gateway);
            let _ = reply.send(PeerReply::Quota(answer));
        }
        self.propose_bounds(bounds);
    }

    /// Sets the ceilings of new tenants, lowers those that are too high, and updates metrics.
    pub(super) fn update_quotas(&mut self) {
        if !self.ensure_quota_owner() {
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
        let bounds = quotas.owner.due_bounds(now, limited.iter().copied());
        for (name, permits) in limited {
            let figures = PermitCounts {
                permits: u64::from(permits),
                out: quotas.owner.outstanding(name),
                in_use: quotas.owner.in_use(name),
            };
            self.options.metrics.set_permits(name, figures);
        }
        let is_new = quotas.version != version;
        quotas.version = version;
        quotas.next_check = now
            + if is_new {
                NEW_TABLE_INTERVAL
            } else {
                CEILING_INTERVAL
            };
        self.propose_bounds(bounds);
    }

    /// Applies a committed change of the bounds.
    pub(super) fn apply_bounds(&mut self, outcome: Option<&Outcome>) {
        if let (Some(quotas), Some(Outcome::QuotaBoundsSet(bounds))) = (&mut self.quota, outcome) {
            quotas.owner.on_bounds(bounds);
        }
    }

    fn propose_bounds(&mut self, bounds: OwnerBounds) {
        if bounds.is_empty() {
            return;
        }
        log::info!(event = "quota_bounds", ceilings = bounds.ceilings.len(), holders = bounds.holders.len(), former_holders = bounds.former_holders.len(); "proposing new bounds on tenants' permits");
        self.submit(Command::SetQuotaBounds(bounds), None);
    }

    /// Whether this controller leads with a valid lease; if so, makes it the owner of permits.
    fn ensure_quota_owner(&mut self) -> bool {
        let now = self.now();
        if !self.group.is_leader() || !self.group.lease_valid(now) {
            return false;
        }
        if self.quota.is_none() {
            let epoch = self.group.term().0;
            let bounds = self.group.machine().quota_bounds();
            let owner = QuotaOwner::new(self.options.quota, epoch, now, bounds);
            log::info!(event = "quota_owner", epoch; "became the owner of tenants' permits");
            self.quota = Some(OwnedQuotas {
                owner,
                version: None,
                next_check: Duration::ZERO,
                has_granted: false,
            });
        }
        true
    }
}
