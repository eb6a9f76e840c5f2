//! A gateway's permits.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{LEASE, OCCUPANCY, ServerGrant, ServerUse, WarmupAnswer, WarmupReport};

#[derive(Debug, Default)]
struct ServerPermits {
    permits: u32,
    /// Permits acquired for calls that are not sent yet.
    acquired: u32,
    /// Send times of the calls that occupy a permit, oldest first.
    sent: VecDeque<Duration>,
    waiting: u32,
    /// Permits and use in the last report.
    reported: Option<(u32, u32)>,
    /// Permits that the owner had left at the last answer.
    free: u32,
}

impl ServerPermits {
    fn expire_sends(&mut self, now: Duration) {
        while self
            .sent
            .front()
            .is_some_and(|sent| now.saturating_sub(*sent) >= OCCUPANCY)
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
}

#[derive(Clone, Copy, Debug)]
struct ReportInFlight {
    sequence: u64,
    sent_at: Duration,
}

/// Permits of one gateway.
#[derive(Debug)]
pub struct WarmupHolder {
    incarnation: u64,
    sequence: u64,
    epoch: Option<u64>,
    is_complete_report_due: bool,
    lease_expires_at: Duration,
    in_flight: Option<ReportInFlight>,
    servers: BTreeMap<String, ServerPermits>,
}

impl WarmupHolder {
    /// Creates a holder without permits for a process that starts now.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            epoch: None,
            is_complete_report_due: true,
            lease_expires_at: Duration::ZERO,
            in_flight: None,
            servers: BTreeMap::new(),
        }
    }

    /// Whether a permit of a server is free here.
    #[must_use]
    pub fn has_free(&self, now: Duration, server: &str) -> bool {
        let Some(entry) = self.servers.get(server) else {
            return false;
        };
        let expired = entry
            .sent
            .iter()
            .take_while(|sent| now.saturating_sub(**sent) >= OCCUPANCY);
        let expired = u32::try_from(expired.count()).unwrap_or(u32::MAX);
        now < self.lease_expires_at && entry.used() - expired < entry.permits
    }

    /// Acquires a permit for a call that is about to be sent. Returns false if none is free here.
    pub fn acquire(&mut self, now: Duration, server: &str) -> bool {
        let is_leased = now < self.lease_expires_at;
        let Some(entry) = self.servers.get_mut(server) else {
            return false;
        };
        entry.expire_sends(now);
        let is_free = is_leased && entry.used() < entry.permits;
        entry.acquired += u32::from(is_free);
        is_free
    }

    /// Converts an acquired permit into a send. Returns false if the call must not be sent, because
    /// the lease has expired or the grant was lowered; the permit is released in that case.
    pub fn send(&mut self, now: Duration, server: &str) -> bool {
        let is_leased = now < self.lease_expires_at;
        let Some(entry) = self.servers.get_mut(server) else {
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
    pub fn release(&mut self, server: &str) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.acquired = entry.acquired.saturating_sub(1);
        }
    }

    /// Releases the permit of a call that its server did not accept.
    pub fn refund(&mut self, server: &str, sent_at: Duration) {
        if let Some(entry) = self.servers.get_mut(server)
            && let Some(index) = entry.sent.iter().position(|sent| *sent == sent_at)
        {
            entry.sent.remove(index);
        }
    }

    /// Gives up the free permits of servers that are not warming up any more.
    pub fn retain(&mut self, is_warming: impl Fn(&str) -> bool) {
        for (server, entry) in &mut self.servers {
            if !is_warming(server) {
                entry.permits = entry.permits.min(entry.used());
            }
        }
    }

    /// Records that a call starts waiting for a permit. Returns the sequence number of the first
    /// report that contains the wait.
    pub fn begin_waiting(&mut self, server: &str) -> u64 {
        self.servers.entry(server.to_owned()).or_default().waiting += 1;
        self.next_sequence()
    }

    /// Records that a call stops waiting.
    pub fn end_waiting(&mut self, server: &str) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Whether there is nothing to report.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.servers.is_empty()
    }

    /// Permits held for all servers.
    #[must_use]
    pub fn held(&self) -> u64 {
        let held = self.servers.values().map(|entry| u64::from(entry.permits));
        held.sum()
    }

    /// Whether the owner had no permits of a server left at the last answer. If it had, it grants
    /// more to the next report.
    #[must_use]
    pub fn is_exhausted(&self, server: &str) -> bool {
        self.servers.get(server).is_none_or(|entry| entry.free == 0)
    }

    /// Sequence number of the next report.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.sequence + 1
    }

    /// Returns the next report; none while one is in flight.
    pub fn report(&mut self, now: Duration) -> Option<WarmupReport> {
        if self.in_flight.is_some() {
            return None;
        }
        let is_leased = now < self.lease_expires_at;
        let is_complete = self.is_complete_report_due || !is_leased;
        self.servers.retain(|_, entry| {
            entry.expire_sends(now);
            if !is_leased {
                entry.permits = 0;
            }
            !entry.is_removable()
        });
        let mut uses = Vec::new();
        for (server, entry) in &mut self.servers {
            let state = (entry.permits, entry.used());
            if !is_complete && entry.waiting == 0 && entry.reported == Some(state) {
                continue;
            }
            entry.reported = Some(state);
            uses.push(ServerUse {
                server: server.clone(),
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
        Some(WarmupReport {
            incarnation: self.incarnation,
            sequence: self.sequence,
            epoch: self.epoch,
            is_complete,
            uses,
        })
    }

    /// Handles the answer to a report; ignored if the report was abandoned.
    pub fn on_answer(&mut self, sequence: u64, answer: WarmupAnswer) {
        let Some(in_flight) = self.in_flight.filter(|report| report.sequence == sequence) else {
            return;
        };
        self.in_flight = None;
        match answer {
            WarmupAnswer::CompleteReportRequired { epoch } => {
                self.epoch = Some(epoch);
                self.is_complete_report_due = true;
            }
            WarmupAnswer::Granted { grants } => {
                self.is_complete_report_due = false;
                self.lease_expires_at = in_flight.sent_at + LEASE;
                for grant in grants {
                    self.apply_grant(grant);
                }
            }
        }
    }

    fn apply_grant(&mut self, grant: ServerGrant) {
        let entry = self.servers.entry(grant.server).or_default();
        entry.permits = grant.permits;
        entry.free = grant.free;
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
