//! Rate-limit permits of tenants with a quota, and their exchange with the owner of the quota, the
//! leader of the controllers.
//!
//! A call takes a permit held by this gateway. If none is free, the gateway requests more at once,
//! and the call waits for a bounded time.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use courseshed_quota::{QuotaAnswer, QuotaHolder, QuotaTerms, Shortage, Standing};
use courseshed_types::NodeId;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};

use super::core::GatewayCore;
use super::refusal::Refusal;
use crate::clock::{Clock, time_of_day_ms};
use crate::metrics::TenantLabels;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerPort, PeerReply, PeerRequest};

/// Interval of reports while permits are held. Two reports move idle permits to another gateway;
/// leases are renewed many times before they expire.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a report; many times the round trip between zones.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Minimum interval between reports.
const SHORTEST_PAUSE: Duration = Duration::from_millis(5);
/// Longest wait for a permit: enough for the two exchanges that reclaim idle permits from other
/// gateways.
const WAIT_LIMIT: Duration = Duration::from_millis(600);
/// Divisor of a call's remaining time that bounds its wait for a permit.
const WAIT_PART: u32 = 4;
/// Responses from the owner after which a call is refused if all permits of its tenant are in use.
const ANSWERS_BORNE: u32 = 2;

/// The permits of a gateway and its side of the exchange with the owner.
pub(super) struct Quotas {
    holder: RefCell<QuotaHolder>,
    clock: Clock,
    wanted: Notify,
    answers: watch::Sender<u64>,
}

impl Quotas {
    pub(super) fn new(terms: QuotaTerms) -> Self {
        let clock = Clock::start();
        let holder = QuotaHolder::new(terms, time_of_day_ms(), clock.now());
        Self {
            holder: RefCell::new(holder),
            clock,
            wanted: Notify::new(),
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
        standing: Standing,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let began = Instant::now();
        let acquired = Self::find(core, tenant, standing, deadline).await;
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

    async fn find(
        core: &Rc<GatewayCore>,
        tenant: &str,
        standing: Standing,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let quotas = &core.quotas;
        let now = Instant::now();
        let patience = (deadline.saturating_duration_since(now) / WAIT_PART).min(WAIT_LIMIT);
        let give_up = now + patience;
        let mut answers = quotas.answers.subscribe();
        let mut answered = 0;
        let mut waiting = None;
        loop {
            match quotas.take(tenant, standing) {
                Ok(()) => return Ok(Permit::new(core.clone(), tenant)),
                Err(Shortage::KeptForOthers) => return Err(quotas.over_quota(tenant)),
                Err(Shortage::Here) => {}
            }
            if answered >= ANSWERS_BORNE && quotas.is_taken_everywhere(tenant) {
                return Err(quotas.over_quota(tenant));
            }
            if Instant::now() >= give_up {
                return Err(if answered > 0 {
                    quotas.over_quota(tenant)
                } else {
                    Refusal::NoQuota
                });
            }
            waiting.get_or_insert_with(|| WaitingCall::begin(core, tenant));
            quotas.wanted.notify_one();
            let is_answered = timeout_at(give_up, answers.changed()).await.is_ok();
            answered += u32::from(is_answered);
        }
    }

    fn take(&self, tenant: &str, standing: Standing) -> Result<(), Shortage> {
        let now = self.clock.now();
        self.holder.borrow_mut().take(now, tenant, standing)
    }

    fn is_taken_everywhere(&self, tenant: &str) -> bool {
        self.holder.borrow().is_taken_everywhere(tenant)
    }

    fn over_quota(&self, tenant: &str) -> Refusal {
        let holder = self.holder.borrow();
        Refusal::OverQuota {
            retry_after: holder.retry_after(tenant, rand::random()),
        }
    }
}

/// Counts a call as waiting for a permit until dropped.
struct WaitingCall {
    core: Rc<GatewayCore>,
    tenant: String,
}

impl WaitingCall {
    fn begin(core: &Rc<GatewayCore>, tenant: &str) -> Self {
        core.quotas.holder.borrow_mut().begin_waiting(tenant);
        Self {
            core: core.clone(),
            tenant: tenant.to_owned(),
        }
    }
}

impl Drop for WaitingCall {
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
    pub(super) fn not_run(self) {
        if let Some(sent_at) = self.sent_at {
            let mut holder = self.core.quotas.holder.borrow_mut();
            holder.not_run(&self.tenant, sent_at);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.sent_at.is_none() {
            self.core.quotas.holder.borrow_mut().give_back(&self.tenant);
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
        let wanted = quotas.wanted.notified();
        if quotas.holder.borrow().is_idle() {
            wanted.await;
        } else {
            let _ = timeout(EXCHANGE_INTERVAL, wanted).await;
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
                peers.request(controller, request, ANSWER_LIMIT).await.ok()
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
                    quotas.wanted.notify_one();
                }
            }
            other => {
                quotas.holder.borrow_mut().give_up(sequence);
                leader = next_controller(&core, asked, other);
                quotas.wanted.notify_one();
            }
        }
        tokio::time::sleep(SHORTEST_PAUSE).await;
    }
}

/// The next controller to ask: the leader named in the reply, otherwise the next in the list.
fn next_controller(
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
