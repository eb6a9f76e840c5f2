//! Permits of servers that are warming up, and their exchange with the owner of the permits, the
//! leader of the controllers.
//!
//! A call to such a server takes a permit held by this gateway. If none is free, the gateway
//! requests more at once, and the call waits for a short time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use courseshed_warmup::{OCCUPANCY, WarmupAnswer, WarmupHolder};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::core::GatewayCore;
use super::quota::next_controller;
use crate::clock::{Clock, unix_time_ms};
use crate::metrics::ServiceLabels;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerPort, PeerReply, PeerRequest};

/// Interval of reports while permits are held. Leases are renewed many times before they expire.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a report; many times the round trip between zones.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum interval between reports, in which calls of the gateway are collected.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(3);
/// Interval between reports while no controller answers as the leader, doubled with each report
/// that gets no answer at all. A controller of an older build closes the connection, which is used
/// for other requests as well.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(320);
/// How long a server gets no further requests for permits after it had none free.
const DENIED_PERIOD: Duration = Duration::from_millis(100);
/// Longest wait of a call for permits if no other server is available: enough for a few exchanges,
/// including one with a controller that is not the leader.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// Longest wait if another server is available, or if the last exchange failed.
const MAX_SHORT_WAIT: Duration = Duration::from_millis(30);
/// Divisor of a call's remaining time that bounds its wait.
const WAIT_DIVISOR: u32 = 8;
/// Lower bound of the retry time of a refused call.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry time while there is no leader: about half the time to elect another one.
const NO_LEADER_RETRY: Duration = Duration::from_millis(400);
/// Divisor of the occupancy of a permit that yields the jitter of retry times.
const JITTER_DIVISOR: u32 = 4;

/// Whether a call can get a permit of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAccess {
    /// A permit is free at this gateway.
    Free,
    /// The owner may have free permits.
    Requestable,
    /// The owner had no free permits a moment ago, or the call can't wait for one.
    Denied,
}

/// The permits of a gateway and its side of the exchange with the owner.
pub(super) struct WarmupPermits {
    holder: RefCell<WarmupHolder>,
    clock: Clock,
    requested: Notify,
    /// Sequence number of the last report that was answered with grants.
    answered: watch::Sender<u64>,
    /// Servers without free permits, and until when they are not asked for.
    denied: RefCell<BTreeMap<String, Duration>>,
    /// Whether the last exchange failed.
    is_unanswered: Cell<bool>,
}

impl WarmupPermits {
    pub(super) fn new() -> Self {
        Self {
            holder: RefCell::new(WarmupHolder::new(unix_time_ms())),
            clock: Clock::start(),
            requested: Notify::new(),
            answered: watch::channel(0).0,
            denied: RefCell::default(),
            is_unanswered: Cell::new(false),
        }
    }

    /// Whether a call can get a permit of the server with this name.
    pub(super) fn access(&self, server: &str) -> PermitAccess {
        let now = self.clock.now();
        if self.holder.borrow().has_free(now, server) {
            return PermitAccess::Free;
        }
        let denied = self.denied.borrow();
        if denied.get(server).is_some_and(|until| now < *until) {
            PermitAccess::Denied
        } else {
            PermitAccess::Requestable
        }
    }

    /// Until when a call may wait for permits.
    pub(super) fn wait_limit(&self, deadline: Instant, has_warm_server: bool) -> Instant {
        let now = Instant::now();
        let longest = if has_warm_server || self.is_unanswered.get() {
            MAX_SHORT_WAIT
        } else {
            MAX_WAIT
        };
        let left = deadline.saturating_duration_since(now);
        now + longest.min(left / WAIT_DIVISOR)
    }

    /// When a refused call should be retried, given the time until the first server has warmed up.
    /// `spread` (0 to 1) is random.
    pub(super) fn retry_after(&self, warm_in: Option<Duration>, spread: f64) -> Duration {
        let jitter = (OCCUPANCY / JITTER_DIVISOR).mul_f64(spread);
        let base = if self.is_unanswered.get() {
            NO_LEADER_RETRY
        } else {
            MIN_RETRY_AFTER
        };
        let base = base.min(warm_in.unwrap_or(base)).max(MIN_RETRY_AFTER);
        base + jitter
    }

    /// Takes a permit of a server for a call that is about to be sent; none if no permit becomes
    /// free until `wait_until`.
    pub(super) async fn acquire(
        core: &Rc<GatewayCore>,
        server: &str,
        service: &str,
        wait_until: Instant,
    ) -> Option<WarmupPermit> {
        let began = Instant::now();
        let permits = &core.warmup;
        let mut answered = permits.answered.subscribe();
        let mut waiting = None;
        let mut first_report = 0;
        let acquired = loop {
            let now = permits.clock.now();
            if permits.holder.borrow_mut().acquire(now, server) {
                break Some(WarmupPermit::new(core.clone(), server, service));
            }
            if waiting.is_some() && *answered.borrow() >= first_report {
                let is_exhausted = {
                    let holder = permits.holder.borrow();
                    first_report = holder.next_sequence();
                    holder.is_exhausted(server)
                };
                // The owner had more permits than it granted at once.
                if !is_exhausted && Instant::now() < wait_until {
                    permits.requested.notify_one();
                    let _ = timeout_at(wait_until, answered.changed()).await;
                    continue;
                }
                let mut denied = permits.denied.borrow_mut();
                denied.retain(|_, until| now < *until);
                denied.insert(server.to_owned(), now + DENIED_PERIOD);
                break None;
            }
            if Instant::now() >= wait_until {
                break None;
            }
            if waiting.is_none() {
                first_report = permits.holder.borrow_mut().begin_waiting(server);
                waiting = Some(WaitGuard {
                    core: core.clone(),
                    server: server.to_owned(),
                });
            }
            permits.requested.notify_one();
            let _ = timeout_at(wait_until, answered.changed()).await;
        };
        let waited = began.elapsed().as_secs_f64();
        core.metrics.warmup_wait.observe(waited);
        acquired
    }

    fn update_metrics(&self, core: &GatewayCore) {
        let held = self.holder.borrow().held();
        let held = i64::try_from(held).unwrap_or(i64::MAX);
        core.metrics.warmup_held.set(held);
    }
}

/// Counts a call as waiting for a permit until dropped.
struct WaitGuard {
    core: Rc<GatewayCore>,
    server: String,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut holder = self.core.warmup.holder.borrow_mut();
        holder.end_waiting(&self.server);
    }
}

/// A permit taken by a call. Returned on drop unless it was used.
pub(super) struct WarmupPermit {
    core: Rc<GatewayCore>,
    server: String,
    service: String,
    sent_at: Option<Duration>,
}

impl WarmupPermit {
    fn new(core: Rc<GatewayCore>, server: &str, service: &str) -> Self {
        Self {
            core,
            server: server.to_owned(),
            service: service.to_owned(),
            sent_at: None,
        }
    }

    /// Marks the permit as used. Returns false if it has expired, in which case nothing may be
    /// sent.
    pub(super) fn send(&mut self) -> bool {
        let permits = &self.core.warmup;
        let now = permits.clock.now();
        let may_send = permits.holder.borrow_mut().send(now, &self.server);
        // An expired permit is not returned either.
        self.sent_at = Some(now);
        if may_send {
            let service = self.service.clone();
            let sends = &self.core.metrics.warmup_sends;
            sends.get_or_create(&ServiceLabels { service }).inc();
        }
        may_send
    }

    /// Frees the permit of a request that was not sent after all, or that doesn't count at the
    /// server.
    pub(super) fn refund(self) {
        if let Some(sent_at) = self.sent_at {
            let mut holder = self.core.warmup.holder.borrow_mut();
            holder.refund(&self.server, sent_at);
        }
    }
}

impl Drop for WarmupPermit {
    fn drop(&mut self) {
        if self.sent_at.is_none() {
            self.core.warmup.holder.borrow_mut().release(&self.server);
        }
    }
}

/// Exchanges reports for permits until the process exits. Sends nothing while no permits are held
/// or requested.
pub(super) async fn exchange_warmup_permits(
    core: Rc<GatewayCore>,
    peers: Arc<Peers>,
    addresses: PeerAddresses,
) {
    let mut leader = None;
    let mut retry_interval = RETRY_INTERVAL;
    loop {
        let permits = &core.warmup;
        let requested = permits.requested.notified();
        if permits.holder.borrow().is_idle() {
            requested.await;
        } else {
            let _ = timeout(EXCHANGE_INTERVAL, requested).await;
        }
        let warming = core.servers.borrow().warming_names(core.clock.now());
        let now = permits.clock.now();
        let report = {
            let mut holder = permits.holder.borrow_mut();
            holder.retain(|server| warming.contains(server));
            holder.report(now)
        };
        let Some(report) = report else {
            continue;
        };
        let sequence = report.sequence;
        let asked = leader.or_else(|| core.follower.controllers().first().copied());
        let answer = match asked {
            Some(controller) => {
                peers.set_address(controller, addresses.of(controller, PeerPort::Controller));
                let request = PeerRequest::Warmup(report);
                let answer = peers.request(controller, request, REPORT_TIMEOUT).await;
                answer.ok()
            }
            None => None,
        };
        match answer {
            Some(PeerReply::Warmup(answer)) => {
                leader = asked;
                retry_interval = RETRY_INTERVAL;
                permits.is_unanswered.set(false);
                let is_granted = matches!(answer, WarmupAnswer::Granted { .. });
                permits.holder.borrow_mut().on_answer(sequence, answer);
                permits.update_metrics(&core);
                if is_granted {
                    permits.answered.send_replace(sequence);
                    sleep(MIN_REPORT_INTERVAL).await;
                } else {
                    permits.requested.notify_one();
                }
            }
            other => {
                permits.holder.borrow_mut().abandon_report(sequence);
                let has_answer = other.is_some();
                let next = next_controller(&core, asked, other);
                permits
                    .is_unanswered
                    .set(next.is_none() || leader.is_some());
                permits.update_metrics(&core);
                if !permits.holder.borrow().is_idle() {
                    permits.requested.notify_one();
                }
                leader = next;
                sleep(retry_interval).await;
                retry_interval = if has_answer {
                    RETRY_INTERVAL
                } else {
                    (retry_interval * 2).min(MAX_RETRY_INTERVAL)
                };
            }
        }
    }
}
