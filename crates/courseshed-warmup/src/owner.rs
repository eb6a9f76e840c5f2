//! The owner of all permits. Leases them to gateways, and counts a permit as outstanding until no
//! send that it allowed can be within the last window.
//!
//! An owner does not know its predecessor's grants. For each server that was listed when it
//! started, all permits count as granted to unknown holders. The permits that a gateway reports are
//! charged to that gateway instead, and stay usable there; the rest is free once all leases of the
//! predecessor and the last sends under them have expired. Only a report that confirms this owner's
//! epoch is used, since it was sent after the predecessor's last grant to that gateway took effect
//! or was abandoned.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_types::NodeId;

use crate::{LEASE, OCCUPANCY, ServerGrant, ServerUse, WarmupAnswer, WarmupReport};

/// Divisor of the available permits that limits the new ones in one grant, so that some remain for
/// other gateways.
const GRANT_DIVISOR: u32 = 2;
/// Divisor of a gateway's need that yields the permits beyond it, which the gateway can use without
/// a round trip, and while there is no leader.
const AHEAD_DIVISOR: u32 = 4;
/// Divisor of a server's permits that yields the free ones below which gateways get none beyond
/// their need, and give up those that they have.
const RESERVE_DIVISOR: u32 = 2;

/// Deliberate faults, injected by tests to verify that their checks detect them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// A new owner assumes that nothing is outstanding.
    IgnoresFormerGrants,
    /// Permits of a restarted gateway are free at once.
    ReleasesAtRestart,
    /// A reduced grant counts as reduced before the gateway has acknowledged it.
    LowersBeforeAck,
    /// Permits of a silent gateway are free well before its lease expires, and without a delay for
    /// its last sends.
    ReleasesEarly,
}

#[derive(Clone, Copy, Debug, Default)]
struct Charge {
    /// Upper bound of the gateway's sends in one window.
    permits: u32,
    /// Permits in use or waited for, as of the last report.
    in_use: u32,
}

/// The newest report of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReportId {
    incarnation: u64,
    sequence: u64,
}

#[derive(Debug)]
struct GatewayLedger {
    last_report_at: Duration,
    has_reported_all: bool,
    charges: BTreeMap<String, Charge>,
}

/// Permits of a stopped gateway process, counted until its last sends leave the window.
#[derive(Clone, Copy, Debug)]
struct DrainingPermits {
    permits: u32,
    until: Duration,
}

#[derive(Debug, Default)]
struct ServerLedger {
    /// Sum of the charges of all gateways.
    charged: u64,
    in_use: u64,
    draining: Vec<DrainingPermits>,
    /// Possible grants of the previous owner that no gateway has reported yet.
    unreported: u32,
}

/// Permits of all servers during one term of the controllers' leader.
#[derive(Debug)]
pub struct WarmupOwner {
    epoch: u64,
    /// When all leases of the previous owner and the last sends under them have expired.
    recovered_at: Duration,
    gateways: BTreeMap<NodeId, GatewayLedger>,
    /// The newest reports, also of gateways whose leases have expired: an older one that arrives
    /// late must not count as the complete state.
    newest: BTreeMap<NodeId, ReportId>,
    servers: BTreeMap<String, ServerLedger>,
    /// Gateways whose earlier permits have been subtracted from the unreported ones.
    adopted: BTreeSet<NodeId>,
    fault: InjectedFault,
}

impl WarmupOwner {
    /// Creates an owner that starts now, with the permits of the servers that the previous owner
    /// may have known.
    #[must_use]
    pub fn new(epoch: u64, now: Duration, listed: impl IntoIterator<Item = (String, u32)>) -> Self {
        let ledger = |permits| ServerLedger {
            unreported: permits,
            ..ServerLedger::default()
        };
        let listed = listed.into_iter();
        Self {
            epoch,
            recovered_at: now + LEASE + OCCUPANCY,
            gateways: BTreeMap::new(),
            newest: BTreeMap::new(),
            servers: listed
                .map(|(server, permits)| (server, ledger(permits)))
                .collect(),
            adopted: BTreeSet::new(),
            fault: InjectedFault::None,
        }
    }

    /// Returns the owner with an injected fault.
    #[must_use]
    pub fn with_fault(mut self, fault: InjectedFault) -> Self {
        self.fault = fault;
        if fault == InjectedFault::IgnoresFormerGrants {
            self.recovered_at = Duration::ZERO;
        }
        self
    }

    /// Handles a gateway's report and returns the answer; none if the report is outdated.
    /// `permits_of` returns a server's permits; none if the server is unknown or not limited.
    pub fn on_report(
        &mut self,
        now: Duration,
        gateway: NodeId,
        report: &WarmupReport,
        permits_of: impl Fn(&str) -> Option<u32>,
    ) -> Option<WarmupAnswer> {
        self.expire(now);
        let required = WarmupAnswer::CompleteReportRequired { epoch: self.epoch };
        if report.epoch != Some(self.epoch) {
            return Some(required);
        }
        if !self.is_in_order(now, gateway, report) {
            return None;
        }
        let ledger = self.gateways.get_mut(&gateway)?;
        ledger.last_report_at = now;
        if !ledger.has_reported_all && !report.is_complete {
            return Some(required);
        }
        ledger.has_reported_all = true;
        let is_first = self.adopted.insert(gateway);
        if report.is_complete {
            self.release_unlisted(gateway, report);
        }
        let mut grants = Vec::new();
        for entry in &report.uses {
            let permits = permits_of(&entry.server).unwrap_or(0);
            grants.extend(self.grant(gateway, entry, permits, is_first));
        }
        for entry in self.unlisted_excess(gateway, report, &permits_of) {
            let permits = permits_of(&entry.server).unwrap_or(0);
            grants.extend(self.grant(gateway, &entry, permits, false));
        }
        Some(WarmupAnswer::Granted { grants })
    }

    /// Outstanding permits of all servers.
    #[must_use]
    pub fn outstanding(&self) -> u64 {
        self.servers.values().map(ServerLedger::outstanding).sum()
    }

    /// Whether a report is newer than all earlier ones of its gateway. A new incarnation of a
    /// gateway replaces the previous one, whose sends may still be within the window.
    fn is_in_order(&mut self, now: Duration, gateway: NodeId, report: &WarmupReport) -> bool {
        let id = ReportId {
            incarnation: report.incarnation,
            sequence: report.sequence,
        };
        let previous = self.newest.insert(gateway, id);
        if let Some(previous) = previous {
            if id <= previous {
                self.newest.insert(gateway, previous);
                return false;
            }
            if id.incarnation != previous.incarnation {
                self.drain_gateway(now, gateway);
            }
        }
        let ledger = GatewayLedger {
            last_report_at: now,
            has_reported_all: false,
            charges: BTreeMap::new(),
        };
        self.gateways.entry(gateway).or_insert(ledger);
        true
    }

    fn grant(
        &mut self,
        gateway: NodeId,
        entry: &ServerUse,
        permits: u32,
        is_first: bool,
    ) -> Option<ServerGrant> {
        let charges = &mut self.gateways.get_mut(&gateway)?.charges;
        let charge = charges.entry(entry.server.clone()).or_default();
        let server = self.servers.entry(entry.server.clone()).or_default();
        let held = entry.held.max(entry.used);
        if is_first {
            // These permits are now charged to the gateway, also if an earlier owner granted them.
            server.unreported = server.unreported.saturating_sub(held);
        }
        let other_outstanding = server.outstanding() - u64::from(charge.permits);
        let room = u64::from(permits).saturating_sub(other_outstanding);
        let room = u32::try_from(room).unwrap_or(u32::MAX);
        let granted = grant_within(room, permits, entry);
        let charged = match self.fault {
            InjectedFault::LowersBeforeAck => granted,
            _ => granted.max(held),
        };
        let in_use = entry.used.saturating_add(entry.waiting);
        server.charged = server.charged + u64::from(charged) - u64::from(charge.permits);
        server.in_use = server.in_use + u64::from(in_use) - u64::from(charge.in_use);
        *charge = Charge {
            permits: charged,
            in_use,
        };
        let is_unused = charged == 0 && in_use == 0;
        let free = u64::from(permits).saturating_sub(server.outstanding());
        if is_unused {
            charges.remove(&entry.server);
        }
        Some(ServerGrant {
            server: entry.server.clone(),
            permits: granted,
            free: u32::try_from(free).unwrap_or(u32::MAX),
        })
    }

    /// The unreported uses of a gateway at servers whose limit is exceeded, since it was lowered. An
    /// idle holder reports nothing that changed, and would keep its permits.
    fn unlisted_excess(
        &self,
        gateway: NodeId,
        report: &WarmupReport,
        permits_of: impl Fn(&str) -> Option<u32>,
    ) -> Vec<ServerUse> {
        let charges = self.gateways.get(&gateway).map(|ledger| &ledger.charges);
        let is_exceeded = |name: &str| {
            let outstanding = self.servers.get(name).map_or(0, ServerLedger::outstanding);
            outstanding > u64::from(permits_of(name).unwrap_or(0))
        };
        let is_listed = |name: &str| report.uses.iter().any(|entry| entry.server == name);
        let charges = charges.into_iter().flatten();
        charges
            .filter(|(name, _)| is_exceeded(name) && !is_listed(name))
            .map(|(name, charge)| ServerUse {
                server: name.clone(),
                held: charge.permits,
                used: charge.in_use.min(charge.permits),
                waiting: 0,
            })
            .collect()
    }

    /// Releases servers that a complete report does not list.
    fn release_unlisted(&mut self, gateway: NodeId, report: &WarmupReport) {
        let Some(ledger) = self.gateways.get_mut(&gateway) else {
            return;
        };
        let listed: BTreeSet<&str> = report.uses.iter().map(|entry| &*entry.server).collect();
        let servers = &mut self.servers;
        ledger.charges.retain(|name, charge| {
            let is_kept = listed.contains(name.as_str());
            if !is_kept && let Some(server) = servers.get_mut(name) {
                server.release(*charge);
            }
            is_kept
        });
    }

    /// Stops counting a process of a gateway, but keeps its permits outstanding until its sends
    /// have left the window.
    fn drain_gateway(&mut self, now: Duration, gateway: NodeId) {
        let Some(ledger) = self.gateways.remove(&gateway) else {
            return;
        };
        let until = match self.fault {
            InjectedFault::ReleasesAtRestart | InjectedFault::ReleasesEarly => now,
            _ => now + OCCUPANCY,
        };
        for (name, charge) in ledger.charges {
            if let Some(server) = self.servers.get_mut(&name) {
                server.release(charge);
                server.draining.push(DrainingPermits {
                    permits: charge.permits,
                    until,
                });
            }
        }
    }

    /// Drains gateways whose leases have expired, and drops what is outstanding no more.
    pub fn expire(&mut self, now: Duration) {
        let lease = match self.fault {
            InjectedFault::ReleasesEarly => LEASE / 10,
            _ => LEASE,
        };
        let silent: Vec<NodeId> = self
            .gateways
            .iter()
            .filter(|(_, ledger)| now.saturating_sub(ledger.last_report_at) >= lease)
            .map(|(gateway, _)| *gateway)
            .collect();
        for gateway in silent {
            self.drain_gateway(now, gateway);
        }
        let is_recovered = now >= self.recovered_at;
        self.servers.retain(|_, server| {
            server.draining.retain(|draining| now < draining.until);
            if is_recovered {
                server.unreported = 0;
            }
            server.outstanding() > 0 || server.in_use > 0
        });
    }
}

impl ServerLedger {
    fn outstanding(&self) -> u64 {
        let draining = self.draining.iter();
        let draining: u64 = draining.map(|draining| u64::from(draining.permits)).sum();
        self.charged + draining + u64::from(self.unreported)
    }

    fn release(&mut self, charge: Charge) {
        self.charged -= u64::from(charge.permits);
        self.in_use -= u64::from(charge.in_use);
    }
}

/// Grant for a gateway: what it uses, some of what it waits for, and a little ahead of need while
/// many permits are free.
fn grant_within(room: u32, permits: u32, entry: &ServerUse) -> u32 {
    let kept = entry.used.min(room);
    let free = room - kept;
    let added = entry.waiting.min((free / GRANT_DIVISOR).max(1)).min(free);
    let need = kept + added;
    let wants_more = entry.waiting > 0 || entry.held > entry.used;
    let unreserved = (free - added).saturating_sub(permits / RESERVE_DIVISOR);
    let ahead = (1 + need / AHEAD_DIVISOR).min(unreserved);
    need + if wants_more { ahead } else { 0 }
}
