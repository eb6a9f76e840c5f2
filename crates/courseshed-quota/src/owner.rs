//! The owner of all permits: it leases them to gateways, and counts each as out until no send that it
//! allowed can be within the last window.
//!
//! An owner knows nothing of what the one before it granted. What those grants may come to at most is
//! bounded by ceilings that the controllers agree on before they are used; until all leases of the
//! owner before have lapsed, what of a ceiling no gateway has reported counts as out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::{LEASE, QuotaAnswer, QuotaReport, QuotaTerms, TenantGrant, TenantUse};

/// Permits that a gateway gets beyond its need, to begin with.
const AHEAD: u32 = 1;
/// The part of its need that a gateway gets beyond it: a third, a new program's first second.
const AHEAD_PART: u32 = 3;
/// The part of what is free that one gateway gets ahead of need at most: an eighth, so that some is
/// left for whoever asks next.
const FREE_PART: u32 = 8;
/// Steps of a ceiling, as parts of a tenant's permits. Few steps mean few commands; half of the
/// permits is about what a tenant uses whose limit is 1.6 times its mean.
const CEILING_STEPS: u32 = 4;
/// The step that a ceiling begins with.
const FIRST_STEP: u32 = 2;

/// The most permits of a tenant that may be out; agreed on by the controllers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ceiling {
    /// The tenant.
    pub tenant: String,
    /// Permits.
    pub permits: u32,
}

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
    gateways: BTreeMap<NodeId, GatewayLedger>,
    tenants: BTreeMap<String, TenantLedger>,
    /// Gateways whose permits of the owner before were taken over, once each.
    adopted: BTreeSet<NodeId>,
    variant: Variant,
}

impl QuotaOwner {
    /// An owner that begins now, under the ceilings that the one before was bound by.
    #[must_use]
    pub fn new(
        terms: QuotaTerms,
        epoch: u64,
        now: Duration,
        ceilings: impl IntoIterator<Item = Ceiling>,
    ) -> Self {
        let ceilings: BTreeMap<String, u32> = ceilings
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

    /// Notes that the controllers agreed on a ceiling.
    pub fn on_ceiling(&mut self, ceiling: &Ceiling) {
        self.ceilings
            .insert(ceiling.tenant.clone(), ceiling.permits);
    }

    /// The ceilings that tenants should have and don't, each tenant with its permits. Called now and
    /// then: a ceiling is lowered, for the sake of the next owner, if what was out since the last time
    /// would fit under a lower one. A lowered one binds this owner at once.
    #[must_use]
    pub fn ceilings_due<'a>(
        &mut self,
        now: Duration,
        tenants: impl IntoIterator<Item = (&'a str, u32)>,
    ) -> Vec<Ceiling> {
        let mut due = Vec::new();
        for (name, permits) in tenants {
            let ceiling = self.ceilings.get(name).copied().unwrap_or(0);
            let ledger = self.tenants.entry(name.to_owned()).or_default();
            let out = ledger.out();
            let most_out = std::mem::replace(&mut ledger.most_out, out).max(out);
            let mut steps = (FIRST_STEP..=CEILING_STEPS).map(|number| step(permits, number));
            let wanted = steps.find(|step| u64::from(*step) >= most_out);
            let wanted = wanted.unwrap_or(permits);
            let is_lower = wanted < ceiling && now >= self.recovered_at;
            if is_lower {
                self.ceilings.insert(name.to_owned(), wanted);
            }
            if is_lower || ceiling < step(permits, FIRST_STEP) {
                due.push(Ceiling {
                    tenant: name.to_owned(),
                    permits: wanted,
                });
            }
        }
        due
    }

    /// Answers a gateway's report. `permits_of` tells how many permits a tenant has; none if it isn't
    /// limited or isn't known. Returns the ceilings that should be raised, too.
    pub fn on_report(
        &mut self,
        now: Duration,
        gateway: NodeId,
        report: QuotaReport,
        permits_of: impl Fn(&str) -> Option<u32>,
    ) -> (Option<QuotaAnswer>, Vec<Ceiling>) {
        self.forget_old(now);
        if !self.is_in_order(now, gateway, &report) {
            return (None, Vec::new());
        }
        let Some(ledger) = self.gateways.get_mut(&gateway) else {
            return (None, Vec::new());
        };
        ledger.heard_at = now;
        let is_new_owner = report.epoch != Some(self.epoch) || !ledger.is_known;
        if is_new_owner && !report.is_whole {
            let answer = QuotaAnswer::ReportAll { epoch: self.epoch };
            return (Some(answer), Vec::new());
        }
        ledger.is_known = true;
        let is_first = self.adopted.insert(gateway);
        if report.is_whole {
            self.drop_unlisted(gateway, &report);
        }
        let mut grants = Vec::new();
        let mut ceilings = Vec::new();
        for entry in &report.uses {
            let permits = permits_of(&entry.tenant).unwrap_or(0);
            let grant = self.decide(gateway, entry, permits, is_first);
            if grant.is_pending {
                ceilings.extend(self.raised(&entry.tenant, permits));
            }
            grants.push(grant);
        }
        if report.epoch != Some(self.epoch) {
            // The gateway learns whose permits these are with its next report.
            let answer = QuotaAnswer::ReportAll { epoch: self.epoch };
            return (Some(answer), ceilings);
        }
        (Some(QuotaAnswer::Granted { grants }), ceilings)
    }

    /// Permits of a tenant that count as out.
    #[must_use]
    pub fn out(&self, tenant: &str) -> u64 {
        self.tenants.get(tenant).map_or(0, TenantLedger::out)
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

    fn decide(
        &mut self,
        gateway: NodeId,
        entry: &TenantUse,
        permits: u32,
        is_first: bool,
    ) -> TenantGrant {
        let tenant = self.tenants.entry(entry.tenant.clone()).or_default();
        let ledger = self.gateways.get_mut(&gateway);
        let charge = ledger.map(|ledger| ledger.charges.entry(entry.tenant.clone()).or_default());
        let Some(charge) = charge else {
            return refused(&entry.tenant);
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
        let granted = grant_within(room, need, ahead);
        let could_be = grant_within(room_under(permits), need, ahead);
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
        TenantGrant {
            tenant: entry.tenant.clone(),
            permits: granted,
            occupied_permille: tenant.occupied_permille(permits),
            is_pending: granted < could_be,
        }
    }

    /// The next step of a tenant's ceiling; none at the last.
    fn raised(&self, tenant: &str, permits: u32) -> Option<Ceiling> {
        let ceiling = self.ceilings.get(tenant).copied().unwrap_or(0);
        let mut steps = (FIRST_STEP..=CEILING_STEPS).map(|number| step(permits, number));
        let next = steps.find(|step| *step > ceiling)?;
        Some(Ceiling {
            tenant: tenant.to_owned(),
            permits: next,
        })
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

fn refused(tenant: &str) -> TenantGrant {
    TenantGrant {
        tenant: tenant.to_owned(),
        permits: 0,
        occupied_permille: 0,
        is_pending: false,
    }
}
