//! Rate-limit permits of tenants with a quota, and their exchange with the owner of the quota, the
//! leader of the controllers.
//!
//! A call takes a permit held by this gateway. If none is free, the gateway requests more at once,
//! and the call waits for a bounded time.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use courseshed_quota::{ProgramPhase, QuotaAnswer, QuotaHolder, QuotaPolicy, Shortage};
use courseshed_types::NodeId;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};

use super::core::GatewayCore;
use super::refusal::Refusal;
use crate::clock::{Clock, unix_time_ms};
use crate::metrics::TenantLabels;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerPort, PeerReply, PeerRequest};

/// Interval of reports while permits are held. Two reports move idle permits to another gateway;
/// leases are renewed many times before they expire.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a report; many times the round trip between zones (3 to 10 ms).
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum interval between reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for a permit: enough for the two exchanges that reclaim idle permits from other
/// gateways.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(600);
/// Divisor of a call's remaining time that bounds its wait for a permit.
const PERMIT_WAIT_DIVISOR: u32 = 4;
/// Responses from the owner after which a call is refused if all permits of its tenant are in use.
const ANSWERS_BEFORE_REFUSAL: u32 = 2;

/// The permits of a gateway and its side of the exchange with the owner.
pub(super) struct Quotas {
    holder: RefCell<QuotaHolder>,
    clock: Clock,
    requested: Notify,
    answers: watch::Sender<u64>,
}

impl Quotas {
    pub(super) fn new(terms: QuotaPolicy) -> Self {
        let clock = Clock::start();
        let holder = QuotaHolder::new(terms, unix_time_ms(), clock.now());
        Self {
            holder: RefCell::new(holder),
            clock,
            requested: Notify::new(),
            answers: watch::channel(0).0,
        }
    }

    /// Takes a permit of a tenant for a call that is about to be sent.
    ///
    /// # Errors
    /// [`Refusal::OverQuota`] if all permits of the tenant are in use, [`Refusal::NoQuota`] if the
    /// owner does not respond.
    pub(super) async fn acquire(
        core: &Rc<GatewayCore>,
        tenant: &str,
        phase: ProgramPhase,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let began = Instant::now();
        let acquired = Self::wait_for_permit(core, tenant, phase, deadline).await;
        core.metrics
            .permit_wait
            .observe(began.elapsed().as_secs_f64());
        if let Err(Refusal::OverQuota { .. }) = &acquired {
            let tenant = tenant.to_owned();
            let counter = core
                .metrics
                .over_quota
                .get_or_create(&TenantLabels { tenant });
            counter.inc();
        }
        acquired
    }

    async fn wait_for_permit(
        core: &Rc<GatewayCore>,
        tenant: &str,
        phase: ProgramPhase,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let quotas = &core.quotas;
        let now = Instant::now();
        let max_wait =
            (deadline.saturating_duration_since(now) / PERMIT_WAIT_DIVISOR).min(MAX_PERMIT_WAIT);
        let wait_until = now + max_wait;
        let mut answers = quotas.answers.subscribe();
        let mut answered = 0;
        let mut waiting = None;
        loop {
            match quotas.take(tenant, phase) {
                Ok(()) => return Ok(Permit::new(core.clone(), tenant)),
                Err(Shortage::ReservedForRunning) => return Err(quotas.over_quota(tenant, phase)),
                Err(Shortage::NoLocalPermit) => {}
            }
            if answered >= ANSWERS_BEFORE_REFUSAL && quotas.is_exhausted(tenant) {
                return Err(quotas.over_quota(tenant, phase));
            }
            if Instant::now() >= wait_until {
                return Err(if answered > 0 {
                    quotas.over_quota(tenant, phase)
                } else {
                    Refusal::NoQuota
                });
            }
            waiting.get_or_insert_with(|| WaitGuard::begin(core, tenant));
            quotas.requested.notify_one();
            let is_answered = timeout_at(wait_until, answers.changed()).await.is_ok();
            answered += u32::from(is_answered);
        }
    }

    fn take(&self, tenant: &str, phase: ProgramPhase) -> Result<(), Shortage> {
        let now = self.clock.now();
        self.holder.borrow_mut().acquire(now, tenant, phase)
    }

    fn is_exhausted(&self, tenant: &str) -> bool {
        self.holder.borrow().is_exhausted(tenant)
    }

    fn over_quota(&self, tenant: &str, phase: ProgramPhase) -> Refusal {
        let holder = self.holder.borrow();
        Refusal::OverQuota {
            retry_after: holder.retry_after(tenant, phase, rand::random()),
        }
    }
}

/// Counts a call as waiting for a permit until dropped.
struct WaitGuard {
    core: Rc<GatewayCore>,
    tenant: String,
}

impl WaitGuard {
    fn begin(core: &Rc<GatewayCore>, tenant: &str) -> Self {
        core.quotas.holder.borrow_mut().begin_waiting(tenant);
        Self {
            core: core.clone(),
            tenant: tenant.to_owned(),
        }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut holder = self.core.quotas.holder.borrow_mut();
        holder.end_waiting(&self.tenant);
    }
}

/// A permit taken by a call. Returned on drop unless it was used.
pub(super) struct Permit {
    core: Rc<GatewayCore>,
    tenant: String,
    sent_at: Option<Duration>,
}

impl Permit {
    fn new(core: Rc<GatewayCore>, tenant: &str) -> Self {
        Self {
            core,
            tenant: tenant.to_owned(),
            sent_at: None,
        }
    }

    /// Marks the permit as used. Returns false if it has expired, in which case nothing may be
    /// sent.
    pub(super) fn send(&mut self) -> bool {
        let quotas = &self.core.quotas;
        let now = quotas.clock.now();
        let may_send = quotas.holder.borrow_mut().send(now, &self.tenant);
        // An expired permit is not returned either.
        self.sent_at = Some(now);
        may_send
    }

    /// Frees the permit after the server refused the call without executing it.
    pub(super) fn release(self) {
        if let Some(sent_at) = self.sent_at {
            let mut holder = self.core.quotas.holder.borrow_mut();
            holder.refund(&self.tenant, sent_at);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.sent_at.is_none() {
            self.core.quotas.holder.borrow_mut().release(&self.tenant);
        }
    }
}

/// Exchanges reports for permits until the process exits. Sends nothing while no permits are held
/// or requested.
pub(super) async fn exchange_permits(
    core: Rc<GatewayCore>,
    peers: Arc<Peers>,
    addresses: PeerAddresses,
) {
    let mut leader = None;
    loop {
        let quotas = &core.quotas;
        let requested = quotas.requested.notified();
        if quotas.holder.borrow().is_idle() {
            requested.await;
        } else {
            let _ = timeout(EXCHANGE_INTERVAL, requested).await;
        }
        let now = quotas.clock.now();
        let Some(report) = quotas.holder.borrow_mut().report(now) else {
            continue;
        };
        let sequence = report.sequence;
        let asked = leader.or_else(|| core.follower.controllers().first().copied());
        let answer = match asked {
            Some(controller) => {
                peers.set_address(controller, addresses.of(controller, PeerPort::Controller));
                let request = PeerRequest::Quota(report);
                peers
                    .request(controller, request, REPORT_TIMEOUT)
                    .await
                    .ok()
            }
            None => None,
        };
        match answer {
            Some(PeerReply::Quota(answer)) => {
                leader = asked;
                let is_granted = matches!(answer, QuotaAnswer::Granted { .. });
                quotas.holder.borrow_mut().on_answer(sequence, answer);
                if is_granted {
                    quotas.answers.send_modify(|answers| *answers += 1);
                } else {
                    quotas.requested.notify_one();
                }
            }
            other => {
                quotas.holder.borrow_mut().abandon_report(sequence);
                leader = next_controller(&core, asked, other);
                quotas.requested.notify_one();
            }
        }
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
    }
}

/// The next controller to ask: the leader named in the reply, otherwise the next in the list.
pub(super) fn next_controller(
    core: &GatewayCore,
    asked: Option<NodeId>,
    answer: Option<PeerReply>,
) -> Option<NodeId> {
    if let Some(PeerReply::NotLeader(Some(leader))) = answer
        && Some(leader) != asked
    {
        return Some(leader);
    }
    let controllers = core.follower.controllers();
    let place = controllers.iter().position(|node| Some(*node) == asked);
    let next = place.map_or(0, |place| place + 1);
    controllers.get(next % controllers.len().max(1)).copied()
}
