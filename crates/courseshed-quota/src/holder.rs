//! A gateway's permits.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{LEASE, QuotaAnswer, QuotaReport, QuotaTerms, TenantGrant, TenantUse};

/// The part of a tenant's permits, in thousandths, up to which calls that begin a program get one. The
/// rest is left for programs under way: one that is refused again and again loses all that was done
/// for it. 15 in 100 are about three quarters of a second of the tenant's rate.
const NEW_PROGRAMS_UP_TO: u16 = 850;
/// The part of a tenant's permits, in thousandths, from which on they count as taken everywhere. The
/// rest is between gateways, or fades with ones that are gone.
const TAKEN_FROM: u16 = 950;
/// How long it is believed how many permits are occupied: two exchanges.
const OCCUPIED_HOLDS: Duration = Duration::from_millis(500);
/// Shortest time after which a call may come back that found no permit.
const LEAST_RETRY: Duration = Duration::from_millis(100);
/// The part of the occupancy over which those are spread that come back.
const RETRY_SPREAD: f64 = 0.25;

/// Whether a call begins a program or is of one that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It belongs to no program that was served before.
    New,
    /// Its program is under way.
    UnderWay,
}

/// Why a call gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The gateway holds none that is free; the owner may have some.
    Here,
    /// The tenant is near its limit, and what is left is for programs under way.
    KeptForOthers,
}

#[derive(Debug, Default)]
struct Holding {
    permits: u32,
    /// Taken for calls that aren't sent yet.
    in_hand: u32,
    /// When those were sent that occupy a permit, oldest first.
    sent: VecDeque<Duration>,
    waiting: u32,
    /// What was reported last.
    reported: Option<(u32, u32)>,
    occupied_permille: u16,
    /// When the owner was asked that said so.
    told_at: Duration,
    is_pending: bool,
}

impl Holding {
    fn forget_free(&mut self, now: Duration, occupancy: Duration) {
        while self
            .sent
            .front()
            .is_some_and(|sent| now.saturating_sub(*sent) >= occupancy)
        {
            self.sent.pop_front();
        }
    }

    fn used(&self) -> u32 {
        self.in_hand + u32::try_from(self.sent.len()).unwrap_or(u32::MAX)
    }

    /// Whether there is nothing to remember, and the owner knows it.
    fn is_over(&self) -> bool {
        let is_told = self.reported.is_none_or(|reported| reported == (0, 0));
        self.permits == 0 && self.used() == 0 && self.waiting == 0 && is_told
    }

    fn keeps_for_others(&self, now: Duration) -> bool {
        let is_recent = now.saturating_sub(self.told_at) < OCCUPIED_HOLDS;
        is_recent && self.occupied_permille >= NEW_PROGRAMS_UP_TO
    }
}

/// The permits of one gateway.
#[derive(Debug)]
pub struct QuotaHolder {
    terms: QuotaTerms,
    incarnation: u64,
    began: Duration,
    sequence: u64,
    epoch: Option<u64>,
    is_whole_due: bool,
    lapses_at: Duration,
    under_way: Option<UnderWay>,
    holdings: BTreeMap<String, Holding>,
}

#[derive(Clone, Copy, Debug)]
struct UnderWay {
    sequence: u64,
    asked_at: Duration,
}

impl QuotaHolder {
    /// A gateway's holder without permits, in a life of its process that begins now.
    #[must_use]
    pub fn new(terms: QuotaTerms, incarnation: u64, now: Duration) -> Self {
        Self {
            terms,
            incarnation,
            began: now,
            sequence: 0,
            epoch: None,
            is_whole_due: true,
            lapses_at: Duration::ZERO,
            under_way: None,
            holdings: BTreeMap::new(),
        }
    }

    /// Takes a permit for a call that is about to be sent.
    ///
    /// # Errors
    /// [`Shortage`] if there is none for it here.
    pub fn take(
        &mut self,
        now: Duration,
        tenant: &str,
        standing: Standing,
    ) -> Result<(), Shortage> {
        let occupancy = self.terms.occupancy();
        let is_leased = now < self.lapses_at;
        let Some(holding) = self.holdings.get_mut(tenant) else {
            return Err(Shortage::Here);
        };
        holding.forget_free(now, occupancy);
        if standing == Standing::New && holding.keeps_for_others(now) {
            return Err(Shortage::KeptForOthers);
        }
        if !is_leased || holding.used() >= holding.permits {
            return Err(Shortage::Here);
        }
        holding.in_hand += 1;
        Ok(())
    }

    /// Notes that a call which took a permit is sent now; false if it must not be, since the permits
    /// have lapsed. The permit is given back then.
    pub fn send(&mut self, now: Duration, tenant: &str) -> bool {
        let is_leased = now < self.lapses_at;
        let Some(holding) = self.holdings.get_mut(tenant) else {
            return false;
        };
        holding.in_hand = holding.in_hand.saturating_sub(1);
        // The owner may have lowered the permits since this one was taken.
        let may_send = is_leased && holding.used() < holding.permits;
        if may_send {
            holding.sent.push_back(now);
        }
        may_send
    }

    /// Gives a permit back that was taken for a call which is not sent.
    pub fn give_back(&mut self, tenant: &str) {
        if let Some(holding) = self.holdings.get_mut(tenant) {
            holding.in_hand = holding.in_hand.saturating_sub(1);
        }
    }

    /// Frees the permit of a call that a server did not run.
    pub fn not_run(&mut self, tenant: &str, sent_at: Duration) {
        if let Some(holding) = self.holdings.get_mut(tenant)
            && let Some(place) = holding.sent.iter().position(|sent| *sent == sent_at)
        {
            holding.sent.remove(place);
        }
    }

    /// Notes that a call begins to wait for a permit.
    pub fn begin_waiting(&mut self, tenant: &str) {
        self.holdings.entry(tenant.to_owned()).or_default().waiting += 1;
    }

    /// Notes that a call waits no longer.
    pub fn end_waiting(&mut self, tenant: &str) {
        if let Some(holding) = self.holdings.get_mut(tenant) {
            holding.waiting = holding.waiting.saturating_sub(1);
        }
    }

    /// Whether a tenant's permits are occupied at all gateways together, so that asking again brings
    /// none: not so if some are idle elsewhere, or if the controllers are about to allow more.
    #[must_use]
    pub fn is_taken_everywhere(&self, tenant: &str) -> bool {
        let holding = self.holdings.get(tenant);
        holding
            .is_some_and(|holding| !holding.is_pending && holding.occupied_permille >= TAKEN_FROM)
    }

    /// Whether there is nothing to report.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.holdings.is_empty()
    }

    /// Whether the gateway holds permits whose lease runs.
    fn is_leased(&self, now: Duration) -> bool {
        now < self.lapses_at
    }

    /// When a call of a tenant that found no permit may come back, spread by a number between 0 and 1.
    ///
    /// Permits become free evenly over the occupancy: until those beyond what new programs may use
    /// are free, the part of it passes that they are of all.
    #[must_use]
    pub fn retry_after(&self, tenant: &str, spread: f64) -> Duration {
        let occupancy = self.terms.occupancy();
        let occupied = self
            .holdings
            .get(tenant)
            .map_or(0, |holding| holding.occupied_permille);
        let beyond = f64::from(occupied.saturating_sub(NEW_PROGRAMS_UP_TO)) / 1000.0;
        LEAST_RETRY + occupancy.mul_f64(beyond + RETRY_SPREAD * spread)
    }

    /// The next report; none while one is under way.
    pub fn report(&mut self, now: Duration) -> Option<QuotaReport> {
        if self.under_way.is_some() {
            return None;
        }
        let is_leased = self.is_leased(now);
        let is_whole = self.is_whole_due || !is_leased;
        let occupancy = self.terms.occupancy();
        self.holdings.retain(|_, holding| {
            holding.forget_free(now, occupancy);
            if !is_leased {
                holding.permits = 0;
            }
            !holding.is_over()
        });
        let mut uses = Vec::new();
        for (tenant, holding) in &mut self.holdings {
            let state = (holding.permits, holding.used());
            if !is_whole && holding.waiting == 0 && holding.reported == Some(state) {
                continue;
            }
            holding.reported = Some(state);
            uses.push(TenantUse {
                tenant: tenant.clone(),
                held: holding.permits,
                used: holding.used(),
                waiting: holding.waiting,
            });
        }
        self.sequence += 1;
        self.under_way = Some(UnderWay {
            sequence: self.sequence,
            asked_at: now,
        });
        Some(QuotaReport {
            incarnation: self.incarnation,
            life_ms: now.saturating_sub(self.began).as_millis() as u64,
            sequence: self.sequence,
            epoch: self.epoch,
            is_whole,
            uses,
        })
    }

    /// Takes in the answer to a report; one that was given up is passed over.
    pub fn on_answer(&mut self, sequence: u64, answer: QuotaAnswer) {
        let Some(under_way) = self.under_way.filter(|asked| asked.sequence == sequence) else {
            return;
        };
        self.under_way = None;
        match answer {
            QuotaAnswer::ReportAll { epoch } => {
                self.epoch = Some(epoch);
                self.is_whole_due = true;
            }
            QuotaAnswer::Granted { grants } => {
                self.is_whole_due = false;
                self.lapses_at = under_way.asked_at + LEASE;
                for grant in grants {
                    self.take_in(grant, under_way.asked_at);
                }
            }
        }
    }

    fn take_in(&mut self, grant: TenantGrant, asked_at: Duration) {
        let holding = self.holdings.entry(grant.tenant).or_default();
        holding.permits = grant.permits;
        holding.occupied_permille = grant.occupied_permille;
        holding.is_pending = grant.is_pending;
        holding.told_at = asked_at;
    }

    /// Gives a report up whose answer didn't come in time. Everything is reported next, since the
    /// owner may have granted what is not known here.
    pub fn give_up(&mut self, sequence: u64) {
        if self
            .under_way
            .is_some_and(|asked| asked.sequence == sequence)
        {
            self.under_way = None;
            self.is_whole_due = true;
        }
    }
}
