//! Counts what each node sends, receives and computes, by mechanism.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

/// Processor time used so far by the thread that drives the fleet. Passed in, since the core has no clock.
pub trait CpuClock {
    /// The time used so far.
    fn used(&self) -> Duration;
}

impl<F: Fn() -> Duration> CpuClock for F {
    fn used(&self) -> Duration {
        self()
    }
}

/// What a message or a step is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Heartbeats, zone reports and their answers, which renew settings leases.
    Heartbeats,
    /// Pulls of settings and member map.
    Spread,
    /// Requests and returns of escrow.
    Grants,
    /// Operators' changes and questions, engines' list, voters of shards.
    Changes,
    /// The controllers' replicated log.
    Log,
    /// Ticks.
    Timers,
}

/// The part a node played in control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRoleName {
    /// Neither relay nor controller.
    Plain,
    /// The relay of its zone.
    Relay,
    /// A controller that follows.
    Follower,
    /// The controller that leads.
    Leader,
}

/// Totals of one node and mechanism.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Totals {
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub sent_messages: u64,
    pub received_messages: u64,
    pub processor: Duration,
}

impl Totals {
    pub fn add(&mut self, other: &Totals) {
        self.sent_bytes += other.sent_bytes;
        self.received_bytes += other.received_bytes;
        self.sent_messages += other.sent_messages;
        self.received_messages += other.received_messages;
        self.processor += other.processor;
    }

    pub fn bytes(&self) -> u64 {
        self.sent_bytes + self.received_bytes
    }
}

/// Everything counted at one node since counting began.
#[derive(Debug, Clone, Default)]
pub(super) struct NodeTraffic {
    by_mechanism: BTreeMap<Mechanism, Totals>,
    minute_bytes: u64,
    most_minute_bytes: u64,
}

impl NodeTraffic {
    pub fn sent(&mut self, mechanism: Mechanism, bytes: u64) {
        let totals = self.by_mechanism.entry(mechanism).or_default();
        totals.sent_bytes += bytes;
        totals.sent_messages += 1;
        self.minute_bytes += bytes;
    }

    pub fn received(&mut self, mechanism: Mechanism, bytes: u64) {
        let totals = self.by_mechanism.entry(mechanism).or_default();
        totals.received_bytes += bytes;
        totals.received_messages += 1;
        self.minute_bytes += bytes;
    }

    pub fn computed(&mut self, mechanism: Mechanism, processor: Duration) {
        self.by_mechanism.entry(mechanism).or_default().processor += processor;
    }

    /// A minute is over.
    pub fn close_minute(&mut self) {
        self.most_minute_bytes = self.most_minute_bytes.max(self.minute_bytes);
        self.minute_bytes = 0;
    }

    pub fn most_minute_bytes(&self) -> u64 {
        self.most_minute_bytes
    }

    pub fn mechanisms(&self) -> impl Iterator<Item = (Mechanism, &Totals)> {
        self.by_mechanism
            .iter()
            .map(|(mechanism, totals)| (*mechanism, totals))
    }

    pub fn total(&self) -> Totals {
        let mut sum = Totals::default();
        for totals in self.by_mechanism.values() {
            sum.add(totals);
        }
        sum
    }
}
