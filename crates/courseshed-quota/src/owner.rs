//! The owner of all permits: it leases them to gateways, and counts each as out until no send that it
//! allowed can be within the last window.
//!
//! An owner knows nothing of what the one before it granted. What those grants may come to at most is
//! bounded by ceilings, and who may have them by a list of holders; the controllers agree on both
//! before they are used. What of a ceiling no gateway has reported counts as out until every holder
//! has reported from a life that lasts for longer than a send counts, or, for those that stay silent,
//! until all leases of the owner before have lapsed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_types::NodeId;

use crate::{
    Ceiling, LEASE, OwnerBounds, QuotaAnswer, QuotaReport, QuotaTerms, TenantGrant, TenantUse,
};

/// Permits that a gateway gets beyond its need, to begin with.
const AHEAD: u32 = 1;
/// The part of its need that a gateway gets beyond it: a third, a new program's first second.
const AHEAD_PART: u32 = 3;
/// The part of what is free that one gateway gets ahead of need at most: an eighth, so that some is
/// left for whoever asks next.
const FREE_PART: u32 = 8;
/// Steps of a ceiling, as parts of a tenant's permits. The finer, the more of its permits a new owner
/// may grant at once; the coarser, the fewer commands.
const CEILING_STEPS: u32 = 16;
/// The step that a ceiling begins with: a quarter, half of what a tenant uses whose limit is 1.6 times
/// its mean.
const FIRST_STEP: u32 = 4;
/// Steps that a ceiling is above what is out, so that it need not be raised with each grant.
const SPARE_STEPS: u32 = 1;

/// An owner that is broken on purpose, for tests of what checks it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// As it should be.
    #[default]
    Sound,
    /// A new owner believes that nothing is out.
    ForgetsFormerGrants,
    /// Permits of a gateway that started anew are free at once.
    FreesAtRestart,
    /// A lowered grant counts as lowered before the gateway knows of it.
    LowersAtOnce,
    /// Permits of a silent gateway are free long before its lease has lapsed, and at once.
    FreesEarly,
}

#[derive(Clone, Copy, Debug, Default)]
struct Charge {
    /// The most sends of the gateway that one window may see.
    permits: u32,
    /// Permits that were occupied or waited for when it reported.
    in_use: u32,
}

#[derive(Debug)]
struct GatewayLedger {
    incarnation: u64,
    sequence: u64,
    heard_at: Duration,
    is_known: bool,
    charges: BTreeMap<String, Charge>,
}

/// Permits of a gateway that is gone, until the window of its last send is over.
#[derive(Clone, Copy, Debug)]
struct Fading {
    permits: u32,
    until: Duration,
}

#[derive(Debug, Default)]
struct TenantLedger {
    /// Sum of all gateways' charges.
    charged: u64,
    in_use: u64,
    fading: Vec<Fading>,
    /// What the owner before may have granted that no gateway has reported yet.
    unreported: u32,
    /// The most that was out since the ceiling was looked at last.
    most_out: u64,
}

/// The permits of all tenants, for one term of the controllers' leader.
#[derive(Debug)]
pub struct QuotaOwner {
    terms: QuotaTerms,
    epoch: u64,
    recovered_at: Duration,
    ceilings: BTreeMap<String, u32>,
    /// Gateways that may hold permits.
    holders: BTreeSet<NodeId>,
    /// Holders of the owner before that haven't reported yet.
    awaited: BTreeSet<NodeId>,
    /// When no send of an earlier life of those that have reported counts any more.
    lives_clear_at: Duration,
    /// Holders that fell silent, and when nothing of them counts any more.
    silent: BTreeMap<NodeId, Duration>,
    gateways: BTreeMap<NodeId, GatewayLedger>,
    tenants: BTreeMap<String, TenantLedger>,
    /// Gateways whose permits of the owner before were taken over, once each.
    adopted: BTreeSet<NodeId>,
    variant: Variant,
}

impl QuotaOwner {
    /// An owner that begins now, under the bounds that the one before was bound by.
    #[must_use]
    pub fn new(terms: QuotaTerms, epoch: u64, now: Duration, bounds: OwnerBounds) -> Self {
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
            awaited: bounds.holders.iter().copied().collect(),
            holders: bounds.holders.into_iter().collect(),
            lives_clear_at: now,
            silent: BTreeMap::new(),
            gateways: BTreeMap::new(),
            adopted: BTreeSet::new(),
            variant: Variant::Sound,
        }
    }

    /// The same, broken on purpose.
    #[must_use]
    pub fn broken(mut self, variant: Variant) -> Self {
        self.variant = variant;
        if variant == Variant::ForgetsFormerGrants {
            self.recovered_at = Duration::ZERO;
        }
        self
    }

    /// Notes that the controllers agreed on a change of the bounds.
    pub fn on_bounds(&mut self, bounds: &OwnerBounds) {
        for ceiling in &bounds.ceilings {
            self.ceilings
                .insert(ceiling.tenant.clone(), ceiling.permits);
        }
        self.holders.extend(&bounds.holders);
        for node in &bounds.former_holders {
            self.holders.remove(node);
        }
    }

    /// How the bounds should change, with each tenant's permits. Called now and then: a ceiling is
    /// lowered, for the sake of the next owner, if what was out since the last time would fit under a
    /// lower one. What is lowered binds this owner at once.
    #[must_use]
    pub fn bounds_due<'a>(
        &mut self,
        now: Duration,
        tenants: impl IntoIterator<Item = (&'a str, u32)>,
    ) -> OwnerBounds {
        self.forget_old(now);
        let mut due = OwnerBounds::default();
        for (name, permits) in tenants {
            let ceiling = self.ceilings.get(name).copied().unwrap_or(0);
            let ledger = self.tenants.entry(name.to_owned()).or_default();
            let out = ledger.out();
            let most_out = std::mem::replace(&mut ledger.most_out, out).max(out);
            let wanted = step_above(permits, most_out);
            let is_lower = wanted < ceiling && now >= self.recovered_at;
            if is_lower {
                self.ceilings.insert(name.to_owned(), wanted);
            }
            if is_lower || ceiling < step(permits, FIRST_STEP) {
                due.ceilings.push(Ceiling {
                    tenant: name.to_owned(),
                    permits: wanted,
                });
            }
        }
        if now >= self.recovered_at {
            let gateways = &self.gateways;
            let silent = &self.silent;
            let is_gone = |node: &&NodeId| {
                let counts = silent.get(*node).is_some_and(|until| now < *until);
                !counts && !gateways.contains_key(*node)
            };
            due.former_holders = self.holders.iter().filter(is_gone).copied().collect();
            for node in &due.former_holders {
                self.holders.remove(node);
                self.silent.remove(node);
            }
        }
        due
    }

    /// Answers a gateway's report. `permits_of` tells how many permits a tenant has; none if it isn't
    /// limited or isn't known. Returns how the bounds should change, too.
    pub fn on_report(
        &mut self,
        now: Duration,
        gateway: NodeId,
        report: QuotaReport,
        permits_of: impl Fn(&str) -> Option<u32>,
    ) -> (Option<QuotaAnswer>, OwnerBounds) {
        self.forget_old(now);
        if !self.is_in_order(now, gateway, &report) {
            return (None, OwnerBounds::default());
        }
        let Some(ledger) = self.gateways.get_mut(&gateway) else {
            return (None, OwnerBounds::default());
        };
        ledger.heard_at = now;
        let is_new_owner = report.epoch != Some(self.epoch) || !ledger.is_known;
        if is_new_owner && !report.is_whole {
            let answer = QuotaAnswer::ReportAll { epoch: self.epoch };
            return (Some(answer), OwnerBounds::default());
        }
        ledger.is_known = true;
        let is_first = self.adopted.insert(gateway);
        if report.is_whole {
            self.drop_unlisted(gateway, &report);
        }
        if is_first {
            self.note_life(now, gateway, report.life_ms);
        }
        let mut grants = Vec::new();
        let mut bounds = OwnerBounds::default();
        if !self.holders.contains(&gateway) {
            bounds.holders.push(gateway);
        }
        for entry in &report.uses {
            let permits = permits_of(&entry.tenant).unwrap_or(0);
            let (grant, wanted) = self.decide(gateway, entry, permits, is_first);
            bounds.ceilings.extend(wanted);
            grants.push(grant);
        }
        if report.epoch != Some(self.epoch) {
            // The gateway learns whose permits these are with its next report.
            let answer = QuotaAnswer::ReportAll { epoch: self.epoch };
            return (Some(answer), bounds);
        }
        (Some(QuotaAnswer::Granted { grants }), bounds)
    }

    /// Permits of a tenant that count as out.
    #[must_use]
    pub fn out(&self, tenant: &str) -> u64 {
        self.tenants.get(tenant).map_or(0, TenantLedger::out)
    }

    /// Permits of a tenant that are occupied or waited for, as gateways reported last.
    #[must_use]
    pub fn in_use(&self, tenant: &str) -> u64 {
        self.tenants.get(tenant).map_or(0, |ledger| ledger.in_use)
    }

    /// Whether a report is the newest of its gateway. A new life of a gateway takes the place of the
    /// one before, whose sends may still be within the window.
    fn is_in_order(&mut self, now: Duration, gateway: NodeId, report: &QuotaReport) -> bool {
        let known = self
            .gateways
            .get(&gateway)
            .map(|ledger| (ledger.incarnation, ledger.sequence));
        match known {
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
            Some(_) => self.let_fade(now, gateway),
            None => {}
        }
        let ledger = GatewayLedger {
            incarnation: report.incarnation,
            sequence: report.sequence,
            heard_at: now,
            is_known: false,
            charges: BTreeMap::new(),
        };
        self.gateways.insert(gateway, ledger);
        true
    }

    /// Takes in how long a gateway has lived that reports to this owner for the first time. Once all
    /// holders have, nothing is out that isn't known, but what their earlier lives sent.
    fn note_life(&mut self, now: Duration, gateway: NodeId, life_ms: u64) {
        let life = Duration::from_millis(life_ms);
        let clear_in = self.terms.occupancy().saturating_sub(life);
        self.lives_clear_at = self.lives_clear_at.max(now + clear_in);
        self.awaited.remove(&gateway);
        if self.awaited.is_empty() {
            self.recovered_at = self.recovered_at.min(self.lives_clear_at);
        }
    }

    fn decide(
        &mut self,
        gateway: NodeId,
        entry: &TenantUse,
        permits: u32,
        is_first: bool,
    ) -> (TenantGrant, Option<Ceiling>) {
        let is_holder = self.holders.contains(&gateway);
        let tenant = self.tenants.entry(entry.tenant.clone()).or_default();
        let ledger = self.gateways.get_mut(&gateway);
        let charge = ledger.map(|ledger| ledger.charges.entry(entry.tenant.clone()).or_default());
        let Some(charge) = charge else {
            return (refused(&entry.tenant), None);
        };
        let held = entry.held.max(entry.used);
        if is_first {
            // Granted by the owner before, or by nobody: no longer unreported.
            tenant.unreported = tenant.unreported.saturating_sub(held);
        }
        let ceiling = self.ceilings.get(&entry.tenant).copied().unwrap_or(0);
        let others = tenant.out() - u64::from(charge.permits);
        let room_under =
            |bound: u32| u32::try_from(u64::from(bound).saturating_sub(others)).unwrap_or(u32::MAX);
        let room = room_under(permits.min(ceiling));
        let need = entry.used.saturating_add(entry.waiting);
        let ahead = AHEAD + need / AHEAD_PART;
        let could_be = grant_within(room_under(permits), need, ahead);
        let granted = if is_holder {
            grant_within(room, need, ahead).min(could_be)
        } else {
            0
        };
        let charged = match self.variant {
            Variant::LowersAtOnce => granted,
            _ => granted.max(held),
        };
        tenant.charged = tenant.charged + u64::from(charged) - u64::from(charge.permits);
        tenant.in_use = tenant.in_use + u64::from(need) - u64::from(charge.in_use);
        tenant.most_out = tenant.most_out.max(tenant.out());
        *charge = Charge {
            permits: charged,
            in_use: need,
        };
        let wanted = step_above(permits, others + u64::from(could_be));
        let raised = (granted < could_be && wanted > ceiling).then(|| Ceiling {
            tenant: entry.tenant.clone(),
            permits: wanted,
        });
        let grant = TenantGrant {
            tenant: entry.tenant.clone(),
            permits: granted,
            occupied_permille: tenant.occupied_permille(permits),
            is_pending: raised.is_some() || !is_holder,
        };
        (grant, raised)
    }

    /// A whole report tells that the gateway has nothing of tenants that it doesn't list.
    fn drop_unlisted(&mut self, gateway: NodeId, report: &QuotaReport) {
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

    /// Lets the permits of a gateway's former life count until no send of it is within the window.
    fn let_fade(&mut self, now: Duration, gateway: NodeId) {
        let Some(ledger) = self.gateways.remove(&gateway) else {
            return;
        };
        let until = match self.variant {
            Variant::FreesAtRestart | Variant::FreesEarly => now,
            _ => now + self.terms.occupancy(),
        };
        for (name, charge) in ledger.charges {
            if let Some(tenant) = self.tenants.get_mut(&name) {
                tenant.release(charge);
                tenant.fading.push(Fading {
                    permits: charge.permits,
                    until,
                });
            }
        }
    }

    fn forget_old(&mut self, now: Duration) {
        let lapse = match self.variant {
            Variant::FreesEarly => LEASE / 10,
            _ => LEASE,
        };
        let silent: Vec<NodeId> = self
            .gateways
            .iter()
            .filter(|(_, ledger)| now.saturating_sub(ledger.heard_at) >= lapse)
            .map(|(gateway, _)| *gateway)
            .collect();
        for gateway in silent {
            self.let_fade(now, gateway);
            self.silent.insert(gateway, now + self.terms.occupancy());
        }
        let is_recovered = now >= self.recovered_at;
        for tenant in self.tenants.values_mut() {
            tenant.fading.retain(|fading| now < fading.until);
            if is_recovered {
                tenant.unreported = 0;
            }
        }
    }
}

impl TenantLedger {
    fn out(&self) -> u64 {
        let fading: u64 = self
            .fading
            .iter()
            .map(|fading| u64::from(fading.permits))
            .sum();
        self.charged + fading + u64::from(self.unreported)
    }

    fn release(&mut self, charge: Charge) {
        self.charged -= u64::from(charge.permits);
        self.in_use -= u64::from(charge.in_use);
    }

    fn occupied_permille(&self, permits: u32) -> u16 {
        let permille = self.in_use * 1000 / u64::from(permits.max(1));
        u16::try_from(permille).unwrap_or(u16::MAX)
    }
}

/// What a gateway gets of the room there is: its need first, then some ahead of it.
fn grant_within(room: u32, need: u32, ahead: u32) -> u32 {
    let beyond = room.saturating_sub(need);
    need.min(room) + ahead.min(beyond / FREE_PART)
}

fn step(permits: u32, number: u32) -> u32 {
    let part = u64::from(permits) * u64::from(number);
    u32::try_from(part.div_ceil(u64::from(CEILING_STEPS))).unwrap_or(u32::MAX)
}

/// The lowest step of a ceiling that has so many permits under it, and some to spare.
fn step_above(permits: u32, out: u64) -> u32 {
    let mut steps = FIRST_STEP..=CEILING_STEPS;
    let fits = steps.find(|number| u64::from(step(permits, *number)) >= out);
    let number = fits.map_or(CEILING_STEPS, |number| number + SPARE_STEPS);
    step(permits, number.min(CEILING_STEPS))
}

fn refused(tenant: &str) -> TenantGrant {
    TenantGrant {
        tenant: tenant.to_owned(),
        permits: 0,
        occupied_permille: 0,
        is_pending: false,
    }
}
