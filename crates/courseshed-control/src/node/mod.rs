//! Control-plane client of every node: settings, member map, settings lease and zone relay.
//!
//! A node uses one upstream at a time: the relay of its zone, or a controller if it is the relay itself, if no relay
//! responds, or while it has no valid lease. It sends one request at a time: a report with the heartbeats of itself
//! and of nodes that use it as relay, or a pull if a reply shows a newer version or epoch.
//!
//! Invariants: version and epoch never decrease; after a start, no work is started before the first lease, that is,
//! before the node has at least the version that was committed when it sent the request; a relayed lease never
//! exceeds the remainder of the relay's own lease.

mod lease;
mod relay;
mod saved;
mod upstream;

use std::{sync::Arc, time::Duration};

use courseshed_types::{
    BranchPath, CallError, ErrorCode, Incarnation, NodeId, PolicySnapshot, Timestamp,
    control::{
        ControlPosition, ControlReply, ControlRequest, ControlUpdate, Member, MemberMap,
        NodeHeartbeat, NodeState, ZoneReport,
    },
    policy::CutOffPolicy,
};

use crate::publish::Published;
pub use lease::{LeaseState, SettingsLease};
use relay::RelayTable;
use upstream::Upstream;
pub use upstream::{ControlTarget, ControllerSeed};

/// Timing parameters of a node's control traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewOptions {
    /// Interval between reports to the upstream.
    pub report_every: Duration,
    /// Report interval before the first lease, and delay before a retry.
    pub report_every_at_start: Duration,
    /// Time to wait for a reply.
    pub request_timeout: Duration,
    /// Number of consecutive failures after which the node switches upstream.
    pub max_consecutive_failures: u32,
    /// Time after which a failed relay is used again.
    pub relay_retry_interval: Duration,
    /// Minimum lease duration; an upstream that grants less counts as failed.
    pub least_lease: Duration,
}

impl Default for ViewOptions {
    fn default() -> ViewOptions {
        ViewOptions {
            report_every: Duration::from_secs(1),
            report_every_at_start: Duration::from_millis(200),
            request_timeout: Duration::from_secs(1),
            max_consecutive_failures: 2,
            relay_retry_interval: Duration::from_secs(30),
            least_lease: Duration::from_secs(4),
        }
    }
}

/// An action for the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum ViewOutput {
    /// Send a request; pass the reply to [`NodeControlView::on_reply`] or the failure to
    /// [`NodeControlView::on_failure`] with the same number.
    Send {
        /// Identifies the request.
        number: u64,
        /// The destination.
        target: ControlTarget,
        /// The request.
        request: ControlRequest,
    },
    /// A newer policy was received and must be put in force; the next report confirms it to the controller.
    PolicyChanged(Arc<PolicySnapshot>),
    /// A newer member map was received.
    MapChanged(Arc<MemberMap>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InFlightKind {
    Report,
    Pull,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    number: u64,
    kind: InFlightKind,
    sent_at: Timestamp,
}

/// Counters for operators and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewCounters {
    /// Reports sent.
    pub reports: u64,
    /// Pulls sent.
    pub pulls: u64,
    /// Requests without a reply or with an unusable one.
    pub failures: u64,
    /// Switches to another upstream.
    pub switches: u64,
    /// Heartbeats, reports and pulls answered as a relay.
    pub relayed: u64,
}

/// Control-plane state of a node.
#[derive(Debug, Clone)]
pub struct NodeControlView {
    options: ViewOptions,
    member: Member,
    published: Published,
    lease: SettingsLease,
    upstream: Upstream,
    relay: RelayTable,
    in_flight: Option<InFlight>,
    next_number: u64,
    next_report_at: Timestamp,
    pull_needed: bool,
    counters: ViewCounters,
}

impl NodeControlView {
    /// Creates the view of a starting node. `seeds` are the controllers from the node's settings file. `saved` is the
    /// state persisted by an earlier run, if any; it avoids a full download and is not used before the first lease.
    pub fn new(
        member: Member,
        seeds: Vec<ControllerSeed>,
        options: ViewOptions,
        saved: Option<&[u8]>,
    ) -> NodeControlView {
        let published = saved.and_then(saved::decode).unwrap_or_default();
        NodeControlView {
            upstream: Upstream::new(member.node, seeds, &options),
            options,
            member,
            published,
            lease: SettingsLease::default(),
            relay: RelayTable::default(),
            in_flight: None,
            next_number: 0,
            next_report_at: Timestamp::ZERO,
            pull_needed: false,
            counters: ViewCounters::default(),
        }
    }

    /// Encodes the state to persist for the next start; callers should persist it after every policy change.
    pub fn to_save(&self) -> Vec<u8> {
        saved::encode(&self.published)
    }

    /// The newest policy known.
    pub fn policy(&self) -> &Arc<PolicySnapshot> {
        self.published.policy()
    }

    /// The newest member map known.
    pub fn map(&self) -> &Arc<MemberMap> {
        self.published.map()
    }

    /// The settings version and map epoch.
    pub fn position(&self) -> ControlPosition {
        self.published.position()
    }

    /// Counters for operators and metrics.
    pub fn counters(&self) -> ViewCounters {
        self.counters
    }

    /// State of the settings lease.
    pub fn lease(&self, now: Timestamp) -> LeaseState {
        self.lease.state(now)
    }

    /// End of the current or last settings lease; `None` before the first.
    pub fn lease_until(&self) -> Option<Timestamp> {
        self.lease.until()
    }

    /// Whether the settings lease is valid.
    pub fn lease_valid(&self, now: Timestamp) -> bool {
        self.lease(now) == LeaseState::Valid
    }

    /// Checks whether the settings lease permits this node to start new work of a branch.
    pub fn may_start(&self, branch: &BranchPath, now: Timestamp) -> Result<(), CallError> {
        let cut_off = self
            .policy()
            .branch(branch)
            .map(|policy| policy.when_cut_off);
        match (self.lease(now), cut_off) {
            (LeaseState::Valid, _) | (LeaseState::Expired, Some(CutOffPolicy::Continue)) => Ok(()),
            (LeaseState::Expired, _) => {
                Err(lease_error("the settings lease of this node has expired"))
            }
            (LeaseState::Never, _) => Err(lease_error(
                "this node has not obtained a settings lease since it started",
            )),
        }
    }

    /// The controller to contact for grants and changes.
    pub fn controller(&self) -> Option<ControlTarget> {
        self.upstream.controller(self.map())
    }

    /// Sets the leader reported by a controller, if it knows one; also called when this node's own controller becomes
    /// leader.
    pub fn set_leader(&mut self, leader: Option<NodeId>) {
        self.upstream.set_leader(leader, self.published.map());
    }

    /// Sets whether subsequent reports describe the node as leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.member.state = if leaving {
            NodeState::Leaving
        } else {
            NodeState::Live
        };
    }

    /// Must be called several times a second.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ViewOutput> {
        if let Some(waiting) = self.in_flight {
            if now.since(waiting.sent_at) < self.options.request_timeout {
                return Vec::new();
            }
            self.fail_request(now);
        }
        if self.pull_needed {
            return self.send_pull(now).into_iter().collect();
        }
        if now < self.next_report_at {
            return Vec::new();
        }
        self.send_report(now).into_iter().collect()
    }

    /// Handles a reply; a reply to a request that is no longer pending only updates the policy and map.
    pub fn on_reply(
        &mut self,
        now: Timestamp,
        number: u64,
        reply: ControlReply,
    ) -> Vec<ViewOutput> {
        let Some(request) = self.in_flight.filter(|sent| sent.number == number) else {
            return match reply {
                ControlReply::Update(update) => self.on_update(&update),
                _ => Vec::new(),
            };
        };
        self.in_flight = None;
        match (request.kind, reply) {
            (
                InFlightKind::Report,
                ControlReply::Heard {
                    position,
                    settings_lease,
                },
            ) => {
                self.on_heard(now, request.sent_at, position, settings_lease);
                self.tick(now)
            }
            (InFlightKind::Pull, ControlReply::Update(update)) => self.on_pulled(now, &update),
            (_, ControlReply::NotLeader { leader }) => {
                self.set_leader(leader);
                self.next_report_at = now + self.startup_interval();
                Vec::new()
            }
            _ => {
                self.fail_request(now);
                Vec::new()
            }
        }
    }

    /// Handles a request that could not be delivered.
    pub fn on_failure(&mut self, now: Timestamp, number: u64) {
        if self.in_flight.is_some_and(|sent| sent.number == number) {
            self.fail_request(now);
        }
    }

    /// Answers a request as a relay; `None` if only the leading controller can answer it. Controllers do not relay:
    /// their drivers pass requests to the leader logic.
    pub fn on_request(&mut self, now: Timestamp, request: &ControlRequest) -> Option<ControlReply> {
        let reply = match request {
            ControlRequest::Heartbeat(heartbeat) => {
                self.relay.record_heartbeat(now, heartbeat.clone());
                self.heartbeat_reply(now, heartbeat.member.node, heartbeat.member.incarnation)
            }
            ControlRequest::ZoneReport(report) => {
                self.relay.record_report(now, report, self.published.map());
                let incarnation = report.sender_incarnation().unwrap_or_default();
                self.heartbeat_reply(now, report.from, incarnation)
            }
            ControlRequest::Pull(position) => {
                let update = self.published.update_since(*position, Duration::ZERO);
                ControlReply::Update(Box::new(update))
            }
            _ => return None,
        };
        self.counters.relayed += 1;
        Some(reply)
    }

    /// Applies an update; parts that are not newer are ignored.
    pub fn on_update(&mut self, update: &ControlUpdate) -> Vec<ViewOutput> {
        let accepted = self.published.accept(update);
        let mut outputs = Vec::new();
        if accepted.policy {
            outputs.push(ViewOutput::PolicyChanged(Arc::clone(self.policy())));
        }
        if accepted.map {
            outputs.push(ViewOutput::MapChanged(Arc::clone(self.map())));
        }
        outputs
    }

    /// All state that affects the view's behaviour except request numbers; part of the fingerprint of model-checker
    /// states.
    pub(crate) fn behavioural_state(&self) -> impl std::fmt::Debug {
        let in_flight = self.in_flight.map(|sent| (sent.kind, sent.sent_at));
        (
            (self.published.position(), self.lease, &self.upstream),
            (
                &self.relay,
                in_flight,
                self.next_report_at,
                self.pull_needed,
            ),
        )
    }

    /// Whether a request is pending; part of the fingerprint of model-checker states.
    pub(crate) fn is_pending(&self, number: u64) -> bool {
        self.in_flight.is_some_and(|sent| sent.number == number)
    }

    fn on_pulled(&mut self, now: Timestamp, update: &ControlUpdate) -> Vec<ViewOutput> {
        let mut outputs = self.on_update(update);
        if outputs.is_empty() {
            self.fail_request(now);
            return outputs;
        }
        self.upstream.on_success();
        outputs.extend(self.tick(now));
        outputs
    }

    fn on_heard(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        newest: ControlPosition,
        lease: Duration,
    ) {
        let own = self.position();
        self.pull_needed = own.settings < newest.settings || own.map < newest.map;
        if own.settings >= newest.settings {
            self.lease.extend(sent_at, lease);
        }
        let is_sufficient = lease >= self.options.least_lease || self.awaits_registration(newest);
        if is_sufficient {
            self.upstream.on_success();
        } else {
            self.record_failure(now);
        }
    }

    /// Whether the node's incarnation is not yet in the member map. It gets no lease until then, which is not a failure
    /// of the upstream.
    fn awaits_registration(&self, newest: ControlPosition) -> bool {
        let known = self.map().members.get(&self.member.node);
        newest.map > self.position().map
            || known.is_none_or(|known| known.incarnation != self.member.incarnation)
    }

    /// Grants a lease only to incarnations in the member map. Map and policy reflect the same log position, so the
    /// policy is at least as new as the one committed when the incarnation registered and the ones used by earlier
    /// incarnations.
    fn heartbeat_reply(
        &self,
        now: Timestamp,
        node: NodeId,
        incarnation: Incarnation,
    ) -> ControlReply {
        let member = self.map().members.get(&node);
        let known = member.is_some_and(|member| member.incarnation == incarnation);
        ControlReply::Heard {
            position: self.position(),
            settings_lease: if known {
                self.lease.remaining(now)
            } else {
                Duration::ZERO
            },
        }
    }

    fn send_report(&mut self, now: Timestamp) -> Option<ViewOutput> {
        self.next_report_at = now + self.current_report_interval(now);
        let own = NodeHeartbeat {
            member: self.member.clone(),
            position: self.position(),
        };
        let report: ZoneReport = self.relay.report(now, own, self.published.map());
        self.counters.reports += 1;
        self.send(
            now,
            InFlightKind::Report,
            ControlRequest::ZoneReport(report),
        )
    }

    fn send_pull(&mut self, now: Timestamp) -> Option<ViewOutput> {
        self.pull_needed = false;
        self.next_report_at = now;
        self.counters.pulls += 1;
        let position = self.position();
        self.send(now, InFlightKind::Pull, ControlRequest::Pull(position))
    }

    fn send(
        &mut self,
        now: Timestamp,
        kind: InFlightKind,
        request: ControlRequest,
    ) -> Option<ViewOutput> {
        let has_lease = self.lease.state(now) == LeaseState::Valid;
        let map = self.published.map();
        let target = self.upstream.target(now, &self.member, map, has_lease)?;
        self.next_number += 1;
        self.in_flight = Some(InFlight {
            number: self.next_number,
            kind,
            sent_at: now,
        });
        Some(ViewOutput::Send {
            number: self.next_number,
            target,
            request,
        })
    }

    fn current_report_interval(&self, now: Timestamp) -> Duration {
        match self.lease(now) {
            LeaseState::Never => self.startup_interval(),
            LeaseState::Valid | LeaseState::Expired => self.options.report_every,
        }
    }

    fn startup_interval(&self) -> Duration {
        self.options.report_every_at_start
    }

    fn fail_request(&mut self, now: Timestamp) {
        self.in_flight = None;
        self.next_report_at = now + self.startup_interval();
        self.record_failure(now);
    }

    fn record_failure(&mut self, now: Timestamp) {
        self.counters.failures += 1;
        if self.upstream.on_failure(now) {
            self.counters.switches += 1;
        }
    }
}

fn lease_error(message: &str) -> CallError {
    CallError::not_run(ErrorCode::SettingsLeaseExpired, message).retry_after(Duration::from_secs(1))
}

#[cfg(test)]
mod tests;
