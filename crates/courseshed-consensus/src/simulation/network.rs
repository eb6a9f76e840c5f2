//! The network between replicas: it loses, delays, repeats and reorders, and links can be cut.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::report::Fault;
use crate::ReplicaId;

/// A direction between two replicas.
type Link = (ReplicaId, ReplicaId);

const USUAL_DELAY_MICROS: std::ops::Range<u64> = 200..3_000;
/// One message in so many is slow.
const SLOW_ONE_IN: u32 = 50;
/// Greatest share of messages lost, on three kinds of network.
const GREATEST_LOSS_PERCENT: [u32; 3] = [0, 3, 15];
const GREATEST_REPEAT_PERCENT: u32 = 10;
const LONGEST_SLOW_DELAY_MILLIS: u64 = 1_500;

/// The links between all replicas.
#[derive(Debug)]
pub(super) struct Network {
    loss_percent: u32,
    repeat_percent: u32,
    slow_delay_millis: u64,
    cut: BTreeSet<Link>,
    /// The latest arrival on each link, by which reordering is noticed.
    latest: BTreeMap<Link, Duration>,
}

impl Network {
    pub(super) fn new(random: &mut ChaCha8Rng) -> Self {
        let greatest_loss = GREATEST_LOSS_PERCENT[random.random_range(0..3)];
        Self {
            loss_percent: random.random_range(0..=greatest_loss),
            repeat_percent: random.random_range(0..=GREATEST_REPEAT_PERCENT),
            slow_delay_millis: random.random_range(10..=LONGEST_SLOW_DELAY_MILLIS),
            cut: BTreeSet::new(),
            latest: BTreeMap::new(),
        }
    }

    /// Ends all faults.
    pub(super) fn heal(&mut self) {
        self.loss_percent = 0;
        self.repeat_percent = 0;
        self.slow_delay_millis = 10;
        self.cut.clear();
    }

    pub(super) fn reconnect(&mut self) {
        self.cut.clear();
    }

    pub(super) fn cut(&mut self, from: ReplicaId, to: ReplicaId) {
        self.cut.insert((from, to));
    }

    /// Whether messages pass between two replicas in both directions.
    pub(super) fn connects(&self, one: ReplicaId, other: ReplicaId) -> bool {
        !self.cut.contains(&(one, other)) && !self.cut.contains(&(other, one))
    }

    /// The times at which copies of a message sent now arrive; none if it is lost.
    pub(super) fn arrivals(
        &mut self,
        random: &mut ChaCha8Rng,
        now: Duration,
        link: Link,
        faults: &mut BTreeMap<Fault, u64>,
    ) -> Vec<Duration> {
        let mut count = |fault| *faults.entry(fault).or_default() += 1;
        if self.cut.contains(&link) {
            return Vec::new();
        }
        if random.random_range(0..100) < self.loss_percent {
            count(Fault::MessageLost);
            return Vec::new();
        }
        let mut arrivals = vec![now + self.delay(random)];
        if random.random_range(0..100) < self.repeat_percent {
            count(Fault::MessageRepeated);
            arrivals.push(now + self.delay(random));
        }
        let latest = self.latest.entry(link).or_default();
        if arrivals[0] < *latest {
            count(Fault::MessageReordered);
        }
        *latest = arrivals[0].max(*latest);
        arrivals
    }

    fn delay(&self, random: &mut ChaCha8Rng) -> Duration {
        if random.random_range(0..SLOW_ONE_IN) == 0 {
            return Duration::from_millis(random.random_range(0..self.slow_delay_millis));
        }
        Duration::from_micros(random.random_range(USUAL_DELAY_MICROS))
    }
}
