//! Virtual links: when a frame arrives, and whether.

use std::{cmp::Reverse, collections::BTreeSet, collections::BinaryHeap, time::Duration};

use courseshed_types::{NodeId, RegionName, Timestamp, control::Member};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{options::LinkOptions, traffic::Mechanism};

/// Link times are spread by up to this part, as one over it.
const SPREAD: u64 = 5;

/// A frame under way.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Delivery {
    pub from: NodeId,
    pub to: NodeId,
    pub mechanism: Mechanism,
    pub bytes: Vec<u8>,
}

/// What happens next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Tick(NodeId),
    Deliver(Delivery),
    Second,
}

/// Events in the order of their time, and of their making among equals.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    made: u64,
}

impl EventQueue {
    pub fn push(&mut self, at: Timestamp, event: Event) {
        self.made += 1;
        self.heap.push(Reverse((at, self.made, event)));
    }

    /// The next event up to a time.
    pub fn pop_until(&mut self, end: Timestamp) -> Option<(Timestamp, Event)> {
        let Reverse((at, _, _)) = self.heap.peek()?;
        if *at > end {
            return None;
        }
        let Reverse((at, _, event)) = self.heap.pop()?;
        Some((at, event))
    }
}

/// Where a node stands.
#[derive(Debug, Clone)]
pub(super) struct Place {
    region: RegionName,
    zone: courseshed_types::ZoneName,
}

impl Place {
    pub fn of(member: &Member) -> Place {
        Place {
            region: member.region.clone(),
            zone: member.zone.clone(),
        }
    }
}

/// The links of the fleet.
#[derive(Debug)]
pub(super) struct Network {
    options: LinkOptions,
    seed: u64,
    sent: u64,
    cut: BTreeSet<RegionName>,
}

impl Network {
    pub fn new(options: LinkOptions, seed: u64) -> Network {
        Network {
            options,
            seed,
            sent: 0,
            cut: BTreeSet::new(),
        }
    }

    /// Cuts a region off from all others.
    pub fn cut(&mut self, region: RegionName) {
        self.cut.insert(region);
    }

    pub fn heal(&mut self, region: &RegionName) {
        self.cut.remove(region);
    }

    pub fn is_cut(&self, region: &RegionName) -> bool {
        self.cut.contains(region)
    }

    /// How long a frame takes; none if it is lost.
    pub fn transit(&mut self, from: &Place, to: &Place) -> Option<Duration> {
        self.sent += 1;
        let chance = xxh3_64_with_seed(&self.sent.to_le_bytes(), self.seed);
        let is_cut =
            from.region != to.region && (self.is_cut(&from.region) || self.is_cut(&to.region));
        if is_cut || chance % 1_000 < u64::from(self.options.loss_permille) {
            return None;
        }
        let time = self.link_time(from, to);
        let most = u64::try_from(time.as_micros()).unwrap_or(u64::MAX) / SPREAD;
        let spread = (chance >> 32) % most.max(1);
        Some(time + Duration::from_micros(spread))
    }

    fn link_time(&self, from: &Place, to: &Place) -> Duration {
        if from.region != to.region {
            self.options.between_regions
        } else if from.zone != to.zone {
            self.options.within_region
        } else {
            self.options.within_zone
        }
    }
}
