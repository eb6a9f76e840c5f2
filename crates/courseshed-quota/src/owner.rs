//! The owner of all permits. Leases them to gateways, and counts a permit as outstanding until no
//! send that it allowed can be within the last window.
//!
//! An owner does not know its predecessor's grants. They are bounded by ceilings per tenant and by
//! a list of holders, both committed by the controllers before they are used. The part of a ceiling
//! that no gateway has reported counts as outstanding until every holder has reported with an
//! uptime longer than a send occupies its permit or, if holders stay silent, until all leases of
//! the predecessor have expired.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_types::NodeId;

use crate::holder::EXHAUSTED_PERMILLE;
use crate::{
    Ceiling, LEASE, OwnerBounds, QuotaAnswer, QuotaPolicy, QuotaReport, TenantGrant, TenantUse,
};

/// Permits granted beyond a gateway's need, in addition to the fraction of its need.
const MIN_AHEAD: u32 = 1;
/// Divisor of the need that yields the permits granted ahead of it.
const AHEAD_DIVISOR: u32 = 3;
/// Divisor of the free permits that limits a gateway's grant ahead of need, so that some remain for
/// other gateways.
const FREE_DIVISOR: u32 = 8;
/// Divisor of a tenant's permits that limits its idle permits at all gateways. A new owner can't
/// tell idle permits from permits that were just used, and grants neither until they have expired.
const IDLE_DIVISOR: u32 = 8;
/// Permits of processes that are gone count as in use only beyond this fraction (as a divisor) of the
/// tenant's permits. Without it, new programs lost more calls than it saved programs under way.
const GONE_DIVISOR: u32 = 10;
/// Number of steps of a ceiling. More steps leave a new owner more permits to grant at once; fewer
/// steps need fewer commands.
const CEILING_STEPS: u32 = 64;
/// Initial step of a ceiling: a quarter of the tenant's permits.
const INITIAL_STEP: u32 = CEILING_STEPS / 4;
/// Steps between the outstanding permits and the ceiling, so that it is not raised with each grant.
const HEADROOM_STEPS: u32 = 2;

/// Deliberate faults, injected by tests to verify that their checks detect them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// A new owner assumes that nothing is outstanding.
    IgnoresFormerGrants,
    /// Permits of a restarted gateway are free at once.
    ReleasesAtRestart,
    /// A reduced grant counts as reduced before the gateway has acknowledged it.
    LowersBeforeAck,
    /// Permits of a silent gateway are free well before its lease expires, and without a delay for
    /// its last sends.
    ReleasesEarly,
}

#[derive(Clone, Copy, Debug, Default)]
struct Charge {
    /// Upper bound of the gateway's sends in one window.
    permits: u32,
    /// Permits in use or waited for, as of the last report.
    in_use: u32,
}

#[derive(Debug)]
struct GatewayLedger {
    incarnation: u64,
    sequence: u64,
    last_report_at: Duration,
    has_reported_all: bool,
    charges: BTreeMap<String, Charge>,
}

/// Permits of a stopped gateway process, counted until its last sends leave the window.
#[derive(Clone, Copy, Debug)]
struct DrainingPermits {
    permits: u32,
    until: Duration,
}

/// Changes of a ceiling that are proposed and not committed yet.
#[derive(Clone, Copy, Debug, Default)]
struct PendingCeiling {
    count: u32,
    highest: u32,
}

#[derive(Debug, Default)]
struct TenantLedger {
    /// Sum of the charges of all gateways.
    charged: u64,
    in_use: u64,
    draining: Vec<DrainingPermits>,
    /// Possible grants of the previous owner that no gateway has reported yet.
    unreported: u32,
    /// Peak of the outstanding permits since the ceiling was last reviewed.
    peak_outstanding: u64,
}

/// Permits of all tenants during one term of the controllers' leader.
#[derive(Debug)]
pub struct QuotaOwner {
    terms: QuotaPolicy,
    epoch: u64,
    recovered_at: Duration,
    ceilings: BTreeMap<String, u32>,
    pending_ceilings: BTreeMap<String, PendingCeiling>,
    /// Gateways that may hold permits.
    holders: BTreeSet<NodeId>,
    /// Holders of the previous owner that have not reported yet.
    unreported_holders: BTreeSet<NodeId>,
    /// When the sends of earlier incarnations of the reporting gateways have left the window.
    restarts_clear_at: Duration,
    /// Holders that stopped reporting, and when their sends have left the window.
    silent_holders: BTreeMap<NodeId, Duration>,
    gateways: BTreeMap<NodeId, GatewayLedger>,
    tenants: BTreeMap<String, TenantLedger>,
    /// Gateways whose earlier permits have been subtracted from the unreported ones.
    adopted: BTreeSet<NodeId>,
    fault: InjectedFault,
}

impl QuotaOwner {
    /// Creates an owner that starts now, with the bounds committed by its predecessors.
    #[must_use]
    pub fn new(terms: QuotaPolicy, epoch: u64, now: Duration, bounds: OwnerBounds) -> Self {
        let ceilings: BTreeMap<String, u32> = bounds
            .ceilings
            .into_iter()
            .map(|ceiling| (ceiling.tenant, ceiling.permits))
            .collect();
        let ledger = |(tenant, permits): (&String, &u32)| {
            let ledger = TenantLedger {
                unreported: *permits,
                ..TenantLedger::default()
            };
            (tenant.clone(), ledger)
        };
        Self {
            terms,
            epoch,
            recovered_at: now + LEASE + terms.occupancy(),
            tenants: ceilings.iter().map(ledger).collect(),
            ceilings,
            pending_ceilings: BTreeMap::new(),
            unreported_holders: bounds.holders.iter().copied().collect(),
            holders: bounds.holders.into_iter().collect(),
            restarts_clear_at: now,
            silent_holders: BTreeMap::new(),
            gateways: BTreeMap::new(),
            adopted: BTreeSet::new(),
            fault: InjectedFault::None,
        }
    }

    /// Returns the owner with an injected fault.
    #[must_use]
    pub fn with_fault(mut self, fault: InjectedFault) -> Self {
        self.fault = fault;
        if fault == InjectedFault::IgnoresFormerGrants {
            self.recovered_at = Duration::ZERO;
        }
        self
    }

    /// Applies a change of the bounds that the controllers committed.
    pub fn on_bounds(&mut self, bounds: &OwnerBounds) {
        for ceiling in &bounds.ceilings {
            self.ceilings
                .insert(ceiling.tenant.clone(), ceiling.permits);
            if let Some(pending) = self.pending_ceilings.get_mut(&ceiling.tenant) {
                pending.count = pending.count.saturating_sub(1);
                if pending.count == 0 {
                    self.pending_ceilings.remove(&ceiling.tenant);
                }
            }
        }
        self.holders.extend(&bounds.holders);
        for node in &bounds.former_holders {
            self.holders.remove(node);
        }
    }

    /// Returns due changes of the bounds, given each tenant's permits. Call it periodically: a
    /// ceiling is lowered, in favour of the next owner, if the peak of outstanding permits since
    /// the last call fits under a lower one, and no other change of it is pending. Lowered ceilings
    /// take effect immediately.
    #[must_use]
    pub fn due_bounds<'a>(
        &mut self,
        now: Duration,
        tenants: impl IntoIterator<Item = (&'a str, u32)>,
    ) -> OwnerBounds {
        self.expire_leases(now);
        let mut due = OwnerBounds::default();
        for (name, permits) in tenants {
            let ceiling = self.ceilings.get(name).copied().unwrap_or(0);
            let ledger = self.tenants.entry(name.to_owned()).or_default();
            let outstanding = ledger.outstanding();
            let peak_outstanding =
                std::mem::replace(&mut ledger.peak_outstanding, outstanding).max(outstanding);
            let wanted = step_above(permits, peak_outstanding);
            // A change committed in between would raise the ceiling in effect above the lower one,
            // which the successor of this owner would rely on.
            let is_pending = self.pending_ceilings.contains_key(name);
            let is_lower = wanted < ceiling && now >= self.recovered_at && !is_pending;
            if is_lower {
                self.ceilings.insert(name.to_owned(), wanted);
            }
            if is_lower || ceiling < step(permits, INITIAL_STEP) {
                due.ceilings.push(self.propose_ceiling(name, wanted));
            }
        }
        if now >= self.recovered_at {
            let gateways = &self.gateways;
            let silent_holders = &self.silent_holders;
            let is_gone = |node: &&NodeId| {
                let counts = silent_holders.get(*node).is_some_and(|until| now < *until);
                !counts && !gateways.contains_key(*node)
            };
            due.former_holders = self.holders.iter().filter(is_gone).copied().collect();
            for node in &due.former_holders {
                self.holders.remove(node);
                self.silent_holders.remove(node);
            }
        }
        due
    }

    /// Handles a gateway's report and returns the answer and a change of the bounds. `permits_of`
    /// returns a tenant's permits; none if the tenant is unknown or not limited.
    pub fn on_report(
        &mut self,
        now: Duration,
        gateway: NodeId,
        report: QuotaReport,
        permits_of: impl Fn(&str) -> Option<u32>,
    ) -> (Option<QuotaAnswer>, OwnerBounds) {
        self.expire_leases(now);
        if !self.is_in_order(now, gateway, &report) {
            return (None, OwnerBounds::default());
        }
        let Some(ledger) = self.gateways.get_mut(&gateway) else {
            return (None, OwnerBounds::default());
        };
        ledger.last_report_at = now;
        let has_reported_all = ledger.has_reported_all;
        let mut bounds = OwnerBounds::default();
        if !self.holders.contains(&gateway) {
            bounds.holders.push(gateway);
        }
        // A report without this owner's epoch may have been delayed since before its term, and says
        // nothing about the permits that the gateway holds now. The gateway learns the epoch first.
        let is_confirmed = report.epoch == Some(self.epoch);
        if !is_confirmed || (!has_reported_all && !report.is_complete) {
            let answer = QuotaAnswer::CompleteReportRequired { epoch: self.epoch };
            return (Some(answer), bounds);
        }
        if let Some(ledger) = self.gateways.get_mut(&gateway) {
            ledger.has_reported_all = true;
        }
        let is_first = self.adopted.insert(gateway);
        if report.is_complete {
            self.release_unlisted(gateway, &report);
        }
        if is_first {
            self.record_uptime(now, gateway, report.uptime_ms);
            // This may have been the last holder, so that nothing is unreported any more.
            self.expire_leases(now);
        }
        let mut grants = Vec::new();
        for entry in &report.uses {
            let permits = permits_of(&entry.tenant).unwrap_or(0);
            let (grant, wanted) = self.grant_tenant(gateway, entry, permits, is_first);
            if let Some(ceiling) = wanted {
                bounds
                    .ceilings
                    .push(self.propose_ceiling(&entry.tenant, ceiling));
            }
            grants.push(grant);
        }
        (Some(QuotaAnswer::Granted { grants }), bounds)
    }

    /// Records a proposed ceiling. Of several that are pending, none is lower than the one before it:
    /// permits may be granted under the higher one before the lower one is committed, and a successor
    /// would rely on the lower one.
    fn propose_ceiling(&mut self, tenant: &str, permits: u32) -> Ceiling {
        let pending = self.pending_ceilings.entry(tenant.to_owned()).or_default();
        pending.count += 1;
        pending.highest = pending.highest.max(permits);
        Ceiling {
            tenant: tenant.to_owned(),
            permits: pending.highest,
        }
    }

    /// Outstanding permits of a tenant.
    #[must_use]
    pub fn outstanding(&self, tenant: &str) -> u64 {
        self.tenants
            .get(tenant)
            .map_or(0, TenantLedger::outstanding)
    }

    /// Permits of a tenant in use or waited for, as of the last reports.
    #[must_use]
    pub fn in_use(&self, tenant: &str) -> u64 {
        self.tenants.get(tenant).map_or(0, |ledger| ledger.in_use)
    }

    /// Whether a report is newer than all earlier ones of its gateway. A new incarnation of a
    /// gateway replaces the previous one, whose sends may still be within the window.
    fn is_in_order(&mut self, now: Duration, gateway: NodeId, report: &QuotaReport) -> bool {
        let previous = self
            .gateways
            .get(&gateway)
            .map(|ledger| (ledger.incarnation, ledger.sequence));
        match previous {
            Some((incarnation, sequence)) if incarnation == report.incarnation => {
                if report.sequence <= sequence {
                    return false;
                }
                if let Some(ledger) = self.gateways.get_mut(&gateway) {
                    ledger.sequence = report.sequence;
                }
                return true;
            }
            Some((incarnation, _)) if incarnation > report.incarnation => return false,
            Some(_) => self.drain_gateway(now, gateway),
            None => {}
        }
        let ledger = GatewayLedger {
            incarnation: report.incarnation,
            sequence: report.sequence,
            last_report_at: now,
            has_reported_all: false,
            charges: BTreeMap::new(),
        };
        self.gateways.insert(gateway, ledger);
        true
    }

    /// Records the uptime of a gateway that reports to this owner for the first time. Once all
    /// holders have reported, only sends of their earlier incarnations can be unknown.
    fn record_uptime(&mut self, now: Duration, gateway: NodeId, uptime_ms: u64) {
        let uptime = Duration::from_millis(uptime_ms);
        let clear_in = self.terms.occupancy().saturating_sub(uptime);
        self.restarts_clear_at = self.restarts_clear_at.max(now + clear_in);
        self.unreported_holders.remove(&gateway);
        if self.unreported_holders.is_empty() {
            self.recovered_at = self.recovered_at.min(self.restarts_clear_at);
        }
    }

    fn grant_tenant(
        &mut self,
        gateway: NodeId,
        entry: &TenantUse,
        permits: u32,
        is_first: bool,
    ) -> (TenantGrant, Option<u32>) {
        let is_holder = self.holders.contains(&gateway);
        let knows_holders = self.unreported_holders.is_empty();
        let tenant = self.tenants.entry(entry.tenant.clone()).or_default();
        let ledger = self.gateways.get_mut(&gateway);
        let charge = ledger.map(|ledger| ledger.charges.entry(entry.tenant.clone()).or_default());
        let Some(charge) = charge else {
            return (zero_grant(&entry.tenant), None);
        };
        let held = entry.held.max(entry.used);
        if is_first {
            // These permits are now charged to the gateway, whoever granted them.
            tenant.unreported = tenant.unreported.saturating_sub(held);
        }
        let ceiling = self.ceilings.get(&entry.tenant).copied().unwrap_or(0);
        let other_outstanding = tenant.outstanding() - u64::from(charge.permits);
        let room_below = |bound: u32| {
            u32::try_from(u64::from(bound).saturating_sub(other_outstanding)).unwrap_or(u32::MAX)
        };
        let room = room_below(permits.min(ceiling));
        let need = entry.used.saturating_add(entry.waiting);
        let other_charged = tenant.charged - u64::from(charge.permits);
        let other_in_use = tenant.in_use - u64::from(charge.in_use);
        let other_idle = u32::try_from(other_charged.saturating_sub(other_in_use));
        let idle_room = (permits / IDLE_DIVISOR).saturating_sub(other_idle.unwrap_or(u32::MAX));
        // A gateway without need returns its permits, or quiet gateways would hold all idle ones.
        let ahead = if need == 0 {
            0
        } else {
            (MIN_AHEAD + need / AHEAD_DIVISOR).min(idle_room)
        };
        let uncapped_grant = grant_within(room_below(permits), need, ahead);
        let granted = if is_holder {
            grant_within(room, need, ahead).min(uncapped_grant)
        } else {
            0
        };
        let charged = match self.fault {
            InjectedFault::LowersBeforeAck => granted,
            _ => granted.max(held),
        };
        tenant.charged = tenant.charged + u64::from(charged) - u64::from(charge.permits);
        tenant.in_use = tenant.in_use + u64::from(need) - u64::from(charge.in_use);
        tenant.peak_outstanding = tenant.peak_outstanding.max(tenant.outstanding());
        *charge = Charge {
            permits: charged,
            in_use: need,
        };
        let wanted = step_above(permits, other_outstanding + u64::from(uncapped_grant));
        let raised_ceiling = (granted < uncapped_grant && wanted > ceiling).then_some(wanted);
        let grant = TenantGrant {
            tenant: entry.tenant.clone(),
            permits: granted,
            occupied_permille: tenant.occupied_permille(permits, knows_holders),
            is_pending: raised_ceiling.is_some() || !is_holder,
        };
        (grant, raised_ceiling)
    }

    /// Releases tenants that a complete report does not list.
    fn release_unlisted(&mut self, gateway: NodeId, report: &QuotaReport) {
        let Some(ledger) = self.gateways.get_mut(&gateway) else {
            return;
        };
        let listed = |name: &str| report.uses.iter().any(|entry| entry.tenant == name);
        let tenants = &mut self.tenants;
        ledger.charges.retain(|name, charge| {
            let is_kept = listed(name);
            if !is_kept && let Some(tenant) = tenants.get_mut(name) {
                tenant.release(*charge);
            }
            is_kept
        });
    }

    /// Stops counting a process of a gateway, but keeps its permits outstanding until its sends
    /// have left the window.
    fn drain_gateway(&mut self, now: Duration, gateway: NodeId) {
        let Some(ledger) = self.gateways.remove(&gateway) else {
            return;
        };
        let until = match self.fault {
            InjectedFault::ReleasesAtRestart | InjectedFault::ReleasesEarly => now,
            _ => now + self.terms.occupancy(),
        };
        for (name, charge) in ledger.charges {
            if let Some(tenant) = self.tenants.get_mut(&name) {
                tenant.release(charge);
                tenant.draining.push(DrainingPermits {
                    permits: charge.permits,
                    until,
                });
            }
        }
    }

    fn expire_leases(&mut self, now: Duration) {
        let lease = match self.fault {
            InjectedFault::ReleasesEarly => LEASE / 10,
            _ => LEASE,
        };
        let silent_holders: Vec<NodeId> = self
            .gateways
            .iter()
            .filter(|(_, ledger)| now.saturating_sub(ledger.last_report_at) >= lease)
            .map(|(gateway, _)| *gateway)
            .collect();
        for gateway in silent_holders {
            self.drain_gateway(now, gateway);
            self.silent_holders
                .insert(gateway, now + self.terms.occupancy());
        }
        let is_recovered = now >= self.recovered_at;
        for tenant in self.tenants.values_mut() {
            tenant.draining.retain(|draining| now < draining.until);
            if is_recovered {
                tenant.unreported = 0;
            }
        }
    }
}

impl TenantLedger {
    fn outstanding(&self) -> u64 {
        let draining: u64 = self
            .draining
            .iter()
            .map(|draining| u64::from(draining.permits))
            .sum();
        self.charged + draining + u64::from(self.unreported)
    }

    fn release(&mut self, charge: Charge) {
        self.charged -= u64::from(charge.permits);
        self.in_use -= u64::from(charge.in_use);
    }

    /// Permits in use, in thousandths of the tenant's permits. Once all holders have reported, grants
    /// of an earlier owner that nobody reported belonged to processes that are gone; those beyond
    /// [`GONE_DIVISOR`] count too, so that programs under way have precedence for what is left. They
    /// never make the permits count as exhausted, since they become free within the occupancy time.
    fn occupied_permille(&self, permits: u32, knows_holders: bool) -> u16 {
        let permille = |count: u64| {
            let permille = count * 1000 / u64::from(permits.max(1));
            u16::try_from(permille).unwrap_or(u16::MAX)
        };
        let unreported = if knows_holders { self.unreported } else { 0 };
        let gone = u64::from(unreported).saturating_sub(u64::from(permits / GONE_DIVISOR));
        let with_gone = permille(self.in_use + gone).min(EXHAUSTED_PERMILLE - 1);
        permille(self.in_use).max(with_gone)
    }
}

/// Grant for a gateway: its need, then an amount ahead of need, within the available room.
fn grant_within(room: u32, need: u32, ahead: u32) -> u32 {
    let beyond = room.saturating_sub(need);
    need.min(room) + ahead.min(beyond / FREE_DIVISOR)
}

fn step(permits: u32, number: u32) -> u32 {
    let part = u64::from(permits) * u64::from(number);
    u32::try_from(part.div_ceil(u64::from(CEILING_STEPS))).unwrap_or(u32::MAX)
}

/// Lowest ceiling step that fits the outstanding permits, plus headroom.
fn step_above(permits: u32, outstanding: u64) -> u32 {
    let mut steps = INITIAL_STEP..=CEILING_STEPS;
    let fits = steps.find(|number| u64::from(step(permits, *number)) >= outstanding);
    let number = fits.map_or(CEILING_STEPS, |number| number + HEADROOM_STEPS);
    step(permits, number.min(CEILING_STEPS))
}

fn zero_grant(tenant: &str) -> TenantGrant {
    TenantGrant {
        tenant: tenant.to_owned(),
        permits: 0,
        occupied_permille: 0,
        is_pending: false,
    }
}
