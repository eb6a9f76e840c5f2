//! A gateway's permits.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{LEASE, QuotaAnswer, QuotaPolicy, QuotaReport, TenantGrant, TenantUse};

/// Calls of new programs get a permit while less than this part of the tenant's permits is in use,
/// in thousandths. The rest is reserved for programs under way, which lose their work if they are
/// refused.
const NEW_PROGRAM_LIMIT_PERMILLE: u16 = 850;
/// Part of a tenant's permits in use, in thousandths, from which they count as exhausted. The rest
/// is in transit between gateways or still charged to gateways that are gone.
pub(crate) const EXHAUSTED_PERMILLE: u16 = 950;
/// How long a reported occupancy is used: two report intervals.
const OCCUPANCY_MAX_AGE: Duration = Duration::from_millis(500);
/// Lower bound of the retry time of a refused call.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Jitter of retry times of new programs, relative to the occupancy time of a permit.
const RETRY_JITTER: f64 = 0.25;

/// Whether a call starts a program or continues one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramPhase {
    /// The call does not belong to a program that was served before.
    New,
    /// The call's program is under way.
    Running,
}

/// Why a call gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The gateway has no free permit; the owner may grant some.
    NoLocalPermit,
    /// The tenant is near its limit, and the remaining permits are reserved for programs under way.
    ReservedForRunning,
}

#[derive(Debug, Default)]
struct TenantPermits {
    permits: u32,
    /// Permits acquired for calls that are not sent yet.
    acquired: u32,
    /// Send times of the calls that occupy a permit, oldest first.
    sent: VecDeque<Duration>,
    waiting: u32,
    /// Permits and use in the last report.
    reported: Option<(u32, u32)>,
    occupied_permille: u16,
    /// Send time of the report whose answer contained the occupancy.
    occupancy_at: Duration,
    is_pending: bool,
}

impl TenantPermits {
    fn expire_sends(&mut self, now: Duration, occupancy: Duration) {
        while self
            .sent
            .front()
            .is_some_and(|sent| now.saturating_sub(*sent) >= occupancy)
        {
            self.sent.pop_front();
        }
    }

    fn used(&self) -> u32 {
        self.acquired + u32::try_from(self.sent.len()).unwrap_or(u32::MAX)
    }

    /// Whether there is no state left, and the owner knows that.
    fn is_removable(&self) -> bool {
        let is_reported = self.reported.is_none_or(|reported| reported == (0, 0));
        self.permits == 0 && self.used() == 0 && self.waiting == 0 && is_reported
    }

    fn is_reserved_for_running(&self, now: Duration) -> bool {
        let is_recent = now.saturating_sub(self.occupancy_at) < OCCUPANCY_MAX_AGE;
        is_recent && self.occupied_permille >= NEW_PROGRAM_LIMIT_PERMILLE
    }
}

/// Permits of one gateway.
#[derive(Debug)]
pub struct QuotaHolder {
    terms: QuotaPolicy,
    incarnation: u64,
    started_at: Duration,
    sequence: u64,
    epoch: Option<u64>,
    is_complete_report_due: bool,
    lease_expires_at: Duration,
    in_flight: Option<ReportInFlight>,
    tenants: BTreeMap<String, TenantPermits>,
}

#[derive(Clone, Copy, Debug)]
struct ReportInFlight {
    sequence: u64,
    sent_at: Duration,
}

impl QuotaHolder {
    /// Creates a holder without permits for a process that starts now.
    #[must_use]
    pub fn new(terms: QuotaPolicy, incarnation: u64, now: Duration) -> Self {
        Self {
            terms,
            incarnation,
            started_at: now,
            sequence: 0,
            epoch: None,
            is_complete_report_due: true,
            lease_expires_at: Duration::ZERO,
            in_flight: None,
            tenants: BTreeMap::new(),
        }
    }

    /// Acquires a permit for a call that is about to be sent.
    ///
    /// # Errors
    ///
    /// [`Shortage`] if no permit is available here.
    pub fn acquire(
        &mut self,
        now: Duration,
        tenant: &str,
        phase: ProgramPhase,
    ) -> Result<(), Shortage> {
        let occupancy = self.terms.occupancy();
        let is_leased = now < self.lease_expires_at;
        let Some(entry) = self.tenants.get_mut(tenant) else {
            return Err(Shortage::NoLocalPermit);
        };
        entry.expire_sends(now, occupancy);
        if phase == ProgramPhase::New && entry.is_reserved_for_running(now) {
            return Err(Shortage::ReservedForRunning);
        }
        if !is_leased || entry.used() >= entry.permits {
            return Err(Shortage::NoLocalPermit);
        }
        entry.acquired += 1;
        Ok(())
    }

    /// Converts an acquired permit into a send. Returns false if the call must not be sent, because
    /// the lease has expired or the grant was lowered; the permit is released in that case.
    pub fn send(&mut self, now: Duration, tenant: &str) -> bool {
        let is_leased = now < self.lease_expires_at;
        let Some(entry) = self.tenants.get_mut(tenant) else {
            return false;
        };
        entry.acquired = entry.acquired.saturating_sub(1);
        // The owner may have lowered the grant since the permit was acquired.
        let may_send = is_leased && entry.used() < entry.permits;
        if may_send {
            entry.sent.push_back(now);
        }
        may_send
    }

    /// Releases a permit acquired for a call that is not sent.
    pub fn release(&mut self, tenant: &str) {
        if let Some(entry) = self.tenants.get_mut(tenant) {
            entry.acquired = entry.acquired.saturating_sub(1);
        }
    }

    /// Releases the permit of a call that its server did not run.
    pub fn refund(&mut self, tenant: &str, sent_at: Duration) {
        if let Some(entry) = self.tenants.get_mut(tenant)
            && let Some(index) = entry.sent.iter().position(|sent| *sent == sent_at)
        {
            entry.sent.remove(index);
        }
    }

    /// Records that a call starts waiting for a permit.
    pub fn begin_waiting(&mut self, tenant: &str) {
        self.tenants.entry(tenant.to_owned()).or_default().waiting += 1;
    }

    /// Records that a call stops waiting.
    pub fn end_waiting(&mut self, tenant: &str) {
        if let Some(entry) = self.tenants.get_mut(tenant) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Whether a tenant's permits are in use at all gateways, so that further reports bring no
    /// more: false while other gateways have unused permits, or while a higher ceiling is being
    /// committed.
    #[must_use]
    pub fn is_exhausted(&self, tenant: &str) -> bool {
        let entry = self.tenants.get(tenant);
        entry
            .is_some_and(|entry| !entry.is_pending && entry.occupied_permille >= EXHAUSTED_PERMILLE)
    }

    /// Whether there is nothing to report.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Whether the gateway's lease is valid.
    fn is_leased(&self, now: Duration) -> bool {
        now < self.lease_expires_at
    }

    /// Retry time for a call that got no permit, with jitter from `spread` (0 to 1).
    ///
    /// Permits become free evenly over their occupancy time. The fraction of it that passes until
    /// the use drops to what calls of this phase may use equals the excess over that limit. Calls of
    /// programs under way return earlier on average than those of new programs, and over half of the
    /// time.
    #[must_use]
    pub fn retry_after(&self, tenant: &str, phase: ProgramPhase, spread: f64) -> Duration {
        let occupancy = self.terms.occupancy();
        let occupied = self
            .tenants
            .get(tenant)
            .map_or(0, |entry| entry.occupied_permille);
        let (limit, jitter) = match phase {
            ProgramPhase::New => (NEW_PROGRAM_LIMIT_PERMILLE, RETRY_JITTER),
            ProgramPhase::Running => (EXHAUSTED_PERMILLE, RETRY_JITTER / 2.0),
        };
        let excess = f64::from(occupied.saturating_sub(limit)) / 1000.0;
        MIN_RETRY_AFTER + occupancy.mul_f64(excess + jitter * spread)
    }

    /// Returns the next report; none while one is in flight.
    pub fn report(&mut self, now: Duration) -> Option<QuotaReport> {
        if self.in_flight.is_some() {
            return None;
        }
        let is_leased = self.is_leased(now);
        let is_complete = self.is_complete_report_due || !is_leased;
        let occupancy = self.terms.occupancy();
        self.tenants.retain(|_, entry| {
            entry.expire_sends(now, occupancy);
            if !is_leased {
                entry.permits = 0;
            }
            !entry.is_removable()
        });
        let mut uses = Vec::new();
        for (tenant, entry) in &mut self.tenants {
            let state = (entry.permits, entry.used());
            if !is_complete && entry.waiting == 0 && entry.reported == Some(state) {
                continue;
            }
            entry.reported = Some(state);
            uses.push(TenantUse {
                tenant: tenant.clone(),
                held: entry.permits,
                used: entry.used(),
                waiting: entry.waiting,
            });
        }
        self.sequence += 1;
        self.in_flight = Some(ReportInFlight {
            sequence: self.sequence,
            sent_at: now,
        });
        Some(QuotaReport {
            incarnation: self.incarnation,
            uptime_ms: now.saturating_sub(self.started_at).as_millis() as u64,
            sequence: self.sequence,
            epoch: self.epoch,
            is_complete,
            uses,
        })
    }

    /// Handles the answer to a report; ignored if the report was abandoned.
    pub fn on_answer(&mut self, sequence: u64, answer: QuotaAnswer) {
        let Some(in_flight) = self.in_flight.filter(|report| report.sequence == sequence) else {
            return;
        };
        self.in_flight = None;
        match answer {
            QuotaAnswer::CompleteReportRequired { epoch } => {
                self.epoch = Some(epoch);
                self.is_complete_report_due = true;
            }
            QuotaAnswer::Granted { grants } => {
                self.is_complete_report_due = false;
                self.lease_expires_at = in_flight.sent_at + LEASE;
                for grant in grants {
                    self.apply_grant(grant, in_flight.sent_at);
                }
            }
        }
    }

    fn apply_grant(&mut self, grant: TenantGrant, sent_at: Duration) {
        let entry = self.tenants.entry(grant.tenant).or_default();
        entry.permits = grant.permits;
        entry.occupied_permille = grant.occupied_permille;
        entry.is_pending = grant.is_pending;
        entry.occupancy_at = sent_at;
    }

    /// Abandons a report whose answer timed out. The next report is complete, as the owner may have
    /// granted permits that this gateway does not know of.
    pub fn abandon_report(&mut self, sequence: u64) {
        if self
            .in_flight
            .is_some_and(|report| report.sequence == sequence)
        {
            self.in_flight = None;
            self.is_complete_report_due = true;
        }
    }
}
