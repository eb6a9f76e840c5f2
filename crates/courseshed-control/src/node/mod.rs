//! What every node runs: the newest settings and member map, the settings lease, and the relay of its zone.
//!
//! A node talks to one upstream at a time: the relay of its zone, or a controller if it is the relay itself, if no
//! relay answers, or until it has its first lease. It sends one request at a time: a report of itself and of the
//! nodes that talk to it, and a pull when the answer shows a newer version or epoch.
//!
//! Invariants: version and epoch never go down; a start serves nothing before its first lease, that is before it has
//! read at least the version that was committed when it asked; a lease handed on is never longer than what is left
//! of the giver's own.

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

/// Times of a node's control traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewOptions {
    /// Time between two reports to the upstream.
    pub report_every: Duration,
    /// The same until the first lease.
    pub report_every_at_start: Duration,
    /// Time to wait for an answer.
    pub request_timeout: Duration,
    /// Failures in a row before the next upstream is tried.
    pub failures_to_switch: u32,
    /// Time after which a node that was passed over is tried again.
    pub prefer_again_after: Duration,
    /// An upstream that leaves less of a lease than this counts as failed.
    pub least_lease: Duration,
}

impl Default for ViewOptions {
    fn default() -> ViewOptions {
        ViewOptions {
            report_every: Duration::from_secs(1),
            report_every_at_start: Duration::from_millis(200),
            request_timeout: Duration::from_secs(1),
            failures_to_switch: 2,
            prefer_again_after: Duration::from_secs(30),
            least_lease: Duration::from_secs(4),
        }
    }
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum ViewOutput {
    /// Send a request; hand the answer to [`NodeControlView::on_reply`] or its failure to
    /// [`NodeControlView::on_failure`] under the same number.
    Send {
        /// Names the request.
        number: u64,
        /// Where to.
        target: ControlTarget,
        /// The request.
        request: ControlRequest,
    },
    /// The policy is newer: put it in force. The next report tells the controller that it is.
    PolicyChanged(Arc<PolicySnapshot>),
    /// The member map is newer.
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

/// Numbers for operators and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewCounters {
    /// Reports sent.
    pub reports: u64,
    /// Pulls sent.
    pub pulls: u64,
    /// Requests that were not answered, or not usefully.
    pub failures: u64,
    /// Times another upstream was taken.
    pub switches: u64,
    /// Reports and pulls answered for other nodes.
    pub relayed: u64,
}

/// A node's view of control.
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
    pull_wanted: bool,
    counters: ViewCounters,
}

impl NodeControlView {
    /// A node that starts. `seeds` are the controllers as the node's settings file names them, `saved` the bytes
    /// that an earlier start kept, if any; they spare a download and are never served before the first lease.
    pub fn new(
        member: Member,
        seeds: Vec<ControllerSeed>,
        options: ViewOptions,
        saved: Option<&[u8]>,
    ) -> NodeControlView {
        let published = saved.and_then(saved::read).unwrap_or_default();
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
            pull_wanted: false,
            counters: ViewCounters::default(),
        }
    }

    /// The bytes to keep for the next start; worth keeping after every change of the policy.
    pub fn to_save(&self) -> Vec<u8> {
        saved::write(&self.published)
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

    /// Numbers for operators and metrics.
    pub fn counters(&self) -> ViewCounters {
        self.counters
    }

    /// The state of the settings lease.
    pub fn lease(&self, now: Timestamp) -> LeaseState {
        self.lease.state(now)
    }

    /// When the settings lease ends, or ended; none before the first.
    pub fn lease_until(&self) -> Option<Timestamp> {
        self.lease.until()
    }

    /// Whether the settings may be relied on.
    pub fn lease_valid(&self, now: Timestamp) -> bool {
        self.lease(now) == LeaseState::Valid
    }

    /// Whether new work of a branch may start here, as far as settings go.
    pub fn may_start(&self, branch: &BranchPath, now: Timestamp) -> Result<(), CallError> {
        let cut_off = self
            .policy()
            .branch(branch)
            .map(|policy| policy.when_cut_off);
        match (self.lease(now), cut_off) {
            (LeaseState::Valid, _) | (LeaseState::Expired, Some(CutOffPolicy::Continue)) => Ok(()),
            (LeaseState::Expired, _) => Err(lease_error("the settings lease has run out")),
            (LeaseState::Never, _) => Err(lease_error("the node has not read its settings yet")),
        }
    }

    /// The controller to ask for grants and changes.
    pub fn controller(&self) -> Option<ControlTarget> {
        self.upstream.controller(self.map())
    }

    /// A controller named the one that leads, or could not; also for the node's own controller when it comes to lead.
    pub fn set_leader(&mut self, leader: Option<NodeId>) {
        self.upstream.set_leader(leader, self.published.map());
    }

    /// The node leaves, or not; its reports say so from now on.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.member.state = if leaving {
            NodeState::Leaving
        } else {
            NodeState::Live
        };
    }

    /// To be called several times a second.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ViewOutput> {
        if let Some(waiting) = self.in_flight {
            if now.since(waiting.sent_at) < self.options.request_timeout {
                return Vec::new();
            }
            self.fail(now);
        }
        if self.pull_wanted {
            return self.send_pull(now).into_iter().collect();
        }
        if now < self.next_report_at {
            return Vec::new();
        }
        self.send_report(now).into_iter().collect()
    }

    /// An answer to a request that was sent; answers that come too late change nothing but the policy and map.
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
                self.next_report_at = now + self.start_interval();
                Vec::new()
            }
            _ => {
                self.fail(now);
                Vec::new()
            }
        }
    }

    /// A request that was sent could not be delivered.
    pub fn on_failure(&mut self, now: Timestamp, number: u64) {
        if self.in_flight.is_some_and(|sent| sent.number == number) {
            self.fail(now);
        }
    }

    /// Another node asks this one as its relay; none if the request is for the controller that leads. Controllers
    /// are no relays: their drivers pass requests to the leader's logic instead.
    pub fn on_request(&mut self, now: Timestamp, request: &ControlRequest) -> Option<ControlReply> {
        let reply = match request {
            ControlRequest::Heartbeat(heartbeat) => {
                self.relay.hear(now, heartbeat.clone());
                self.heard(now, heartbeat.member.node, heartbeat.member.incarnation)
            }
            ControlRequest::ZoneReport(report) => {
                self.relay.hear_report(now, report, self.published.map());
                let incarnation = report.sender_incarnation().unwrap_or_default();
                self.heard(now, report.from, incarnation)
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

    /// What came with an update; parts that are not newer change nothing.
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

    /// All that decides what the view does next but the numbers of requests, for telling states of a model apart.
    pub(crate) fn decisive_state(&self) -> impl std::fmt::Debug {
        let in_flight = self.in_flight.map(|sent| (sent.kind, sent.sent_at));
        (
            (self.published.position(), self.lease, &self.upstream),
            (
                &self.relay,
                in_flight,
                self.next_report_at,
                self.pull_wanted,
            ),
        )
    }

    /// Whether the answer to this request is waited for, for telling states of a model apart.
    pub(crate) fn awaits(&self, number: u64) -> bool {
        self.in_flight.is_some_and(|sent| sent.number == number)
    }

    fn on_pulled(&mut self, now: Timestamp, update: &ControlUpdate) -> Vec<ViewOutput> {
        let mut outputs = self.on_update(update);
        if outputs.is_empty() {
            self.fail(now);
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
        self.pull_wanted = own.settings < newest.settings || own.map < newest.map;
        if own.settings >= newest.settings {
            self.lease.extend(sent_at, lease);
        }
        let enough = lease >= self.options.least_lease || self.awaits_registration(newest);
        if enough {
            self.upstream.on_success();
        } else {
            self.note_failure(now);
        }
    }

    /// A start that the member map does not know gets no lease yet; that is no fault of the upstream.
    fn awaits_registration(&self, newest: ControlPosition) -> bool {
        let known = self.map().members.get(&self.member.node);
        newest.map > self.position().map
            || known.is_none_or(|known| known.incarnation != self.member.incarnation)
    }

    /// Only a start that the map knows gets a lease. The map and the policy at hand are of one moment, so the policy
    /// is at least as new as what was committed when that start registered, and as any earlier start had in force.
    fn heard(&self, now: Timestamp, node: NodeId, incarnation: Incarnation) -> ControlReply {
        let member = self.map().members.get(&node);
        let known = member.is_some_and(|member| member.incarnation == incarnation);
        ControlReply::Heard {
            position: self.position(),
            settings_lease: if known {
                self.lease.left(now)
            } else {
                Duration::ZERO
            },
        }
    }

    fn send_report(&mut self, now: Timestamp) -> Option<ViewOutput> {
        self.next_report_at = now + self.interval(now);
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
        self.pull_wanted = false;
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
        let leased = self.lease.state(now) == LeaseState::Valid;
        let map = self.published.map();
        let target = self.upstream.target(now, &self.member, map, leased)?;
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

    fn interval(&self, now: Timestamp) -> Duration {
        match self.lease(now) {
            LeaseState::Never => self.start_interval(),
            LeaseState::Valid | LeaseState::Expired => self.options.report_every,
        }
    }

    fn start_interval(&self) -> Duration {
        self.options.report_every_at_start
    }

    fn fail(&mut self, now: Timestamp) {
        self.in_flight = None;
        self.next_report_at = now + self.start_interval();
        self.note_failure(now);
    }

    fn note_failure(&mut self, now: Timestamp) {
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
