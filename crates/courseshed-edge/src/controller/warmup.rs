//! The leader as owner of the permits of servers that are warming up.
//!
//! Invariant: a report is answered only under a valid leader lease, so an owner never answers after
//! its successor has started.

use std::collections::BTreeSet;

use courseshed_registry::FleetState;
use courseshed_types::NodeId;
use courseshed_warmup::{WarmupOwner, WarmupPolicy, WarmupReport};
use tokio::sync::oneshot;

use super::worker::Worker;
use crate::protocol::PeerReply;

/// The permits owned in one term.
pub(super) struct OwnedWarmup {
    owner: WarmupOwner,
    /// Servers whose requests are limited, as last logged.
    limited: BTreeSet<String>,
}

impl Worker {
    /// Answers a gateway's report on its permits of servers that are warming up.
    pub(super) fn on_warmup(
        &mut self,
        gateway: NodeId,
        report: &WarmupReport,
        reply: oneshot::Sender<PeerReply>,
    ) {
        if !self.ensure_warmup_owner() {
            let _ = reply.send(self.not_leader());
            return;
        }
        let now = self.now();
        let Some(warmup) = &mut self.warmup else {
            return;
        };
        let state = self.group.machine();
        let policy = self.options.warmup;
        let permits_of = |server: &str| permits_of(state, policy, server);
        // An outdated report gets no answer; its gateway has sent a newer one.
        if let Some(answer) = warmup.owner.on_report(now, gateway, report, permits_of) {
            let _ = reply.send(PeerReply::Warmup(answer));
        }
    }

    /// Logs which servers are limited, and updates metrics.
    pub(super) fn update_warmup(&mut self) {
        if !self.ensure_warmup_owner() {
            return;
        }
        let now = self.now();
        let Some(warmup) = &mut self.warmup else {
            return;
        };
        warmup.owner.expire(now);
        let outstanding = warmup.owner.outstanding();
        self.options.metrics.set_warmup_outstanding(outstanding);
        let limited = limited_servers(self.group.machine());
        for server in limited.difference(&warmup.limited) {
            log::info!(event = "warmup_limit_started", server = server.as_str(); "the requests to a server are limited until it has warmed up");
        }
        for server in warmup.limited.difference(&limited) {
            log::info!(event = "warmup_limit_ended", server = server.as_str(); "the requests to a server are not limited any more");
        }
        warmup.limited = limited;
    }

    /// Whether this controller leads with a valid lease; if so, makes it the owner of permits.
    pub(super) fn ensure_warmup_owner(&mut self) -> bool {
        let now = self.now();
        if !self.group.is_leader() || !self.group.lease_valid(now) {
            return false;
        }
        if self.warmup.is_none() {
            let epoch = self.group.term().0;
            let state = self.group.machine();
            let policy = self.options.warmup;
            let listed = state.servers().filter_map(|server| {
                let permits = permits_of(state, policy, server.name())?;
                Some((server.name().to_owned(), permits))
            });
            let owner = WarmupOwner::new(epoch, now, listed);
            log::info!(event = "warmup_owner", epoch, unreported = owner.outstanding(); "became the owner of the permits of servers that are warming up");
            let limited = BTreeSet::new();
            self.warmup = Some(OwnedWarmup { owner, limited });
        }
        true
    }
}

/// Permits of a listed server whose service limits servers that are warming up.
fn permits_of(state: &FleetState, policy: WarmupPolicy, server: &str) -> Option<u32> {
    let service = &state.server_named(server)?.service;
    let table = &state.routing()?.table.table;
    let rate = table.service(service)?.warm_up_rate_per_s?;
    Some(policy.permits(rate))
}

/// Ids of the servers that are warming up in services that limit them.
fn limited_servers(state: &FleetState) -> BTreeSet<String> {
    let services = state.routing().into_iter();
    let services = services.flat_map(|routing| &routing.table.table.services);
    let limiting: BTreeSet<&str> = services
        .filter(|service| service.limits_warm_up())
        .map(|service| &*service.name)
        .collect();
    if limiting.is_empty() {
        return BTreeSet::new();
    }
    let servers = state.servers();
    servers
        .filter(|server| server.warmup_remaining_ms > 0 && limiting.contains(&*server.service))
        .map(|server| server.id.clone())
        .collect()
}
