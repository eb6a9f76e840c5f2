//! The network of the fleet: which messages arrive, when, and how often.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{
    report::FleetFault,
    wire::{Party, StreamId},
};

type Link = (Party, Party);

const USUAL_DELAY_MICROS: std::ops::Range<u64> = 200..2_500;
/// Slow messages stay within what the protocol allows for the way from an order to an engine.
const SLOW_DELAY_MILLIS: std::ops::Range<u64> = 5..700;
/// One message in so many is slow.
const SLOW_ONE_IN: u32 = 60;
const GREATEST_LOSS_PERCENT: [u32; 3] = [0, 2, 10];
const GREATEST_REPEAT_PERCENT: u32 = 6;

/// What may happen to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Carriage {
    /// May be lost, repeated and overtaken.
    Datagram,
    /// Arrives once if at all; lost only where a link is cut.
    Connection,
}

/// The links between all parties.
#[derive(Debug)]
pub struct Links {
    loss_percent: u32,
    repeat_percent: u32,
    cut: BTreeSet<Link>,
    streams: BTreeMap<StreamId, Duration>,
    /// Streams of which a part was lost: nothing more arrives of them.
    broken: BTreeSet<StreamId>,
}

impl Links {
    pub fn new(random: &mut ChaCha8Rng) -> Links {
        let greatest = GREATEST_LOSS_PERCENT[random.random_range(0..3)];
        Links {
            loss_percent: random.random_range(0..=greatest),
            repeat_percent: random.random_range(0..=GREATEST_REPEAT_PERCENT),
            cut: BTreeSet::new(),
            streams: BTreeMap::new(),
            broken: BTreeSet::new(),
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.loss_percent = 0;
        self.repeat_percent = 0;
        self.cut.clear();
    }

    pub fn reconnect(&mut self) {
        self.cut.clear();
    }

    pub fn cut(&mut self, from: Party, to: Party) {
        self.cut.insert((from, to));
    }

    pub fn is_cut(&self, from: Party, to: Party) -> bool {
        self.cut.contains(&(from, to))
    }

    /// When copies of a message sent now arrive; none if it is lost.
    pub fn arrivals(
        &mut self,
        random: &mut ChaCha8Rng,
        now: Duration,
        link: Link,
        carriage: Carriage,
        faults: &mut BTreeMap<FleetFault, u64>,
    ) -> Vec<Duration> {
        let mut count = |fault| *faults.entry(fault).or_default() += 1;
        if self.cut.contains(&link) {
            return Vec::new();
        }
        let is_slow = random.random_range(0..SLOW_ONE_IN) == 0;
        let first = now + delay(random, is_slow);
        if is_slow {
            count(FleetFault::MessageDelayed);
        }
        if carriage == Carriage::Connection {
            return vec![first];
        }
        if random.random_range(0..100) < self.loss_percent {
            count(FleetFault::MessageLost);
            return Vec::new();
        }
        let mut arrivals = vec![first];
        if random.random_range(0..100) < self.repeat_percent {
            count(FleetFault::MessageRepeated);
            arrivals.push(now + delay(random, true));
        }
        arrivals
    }

    /// A part of a stream was lost, and with it all that follows.
    pub fn break_stream(&mut self, stream: StreamId) {
        self.broken.insert(stream);
    }

    pub fn is_broken(&self, stream: StreamId) -> bool {
        self.broken.contains(&stream)
    }

    /// When a part of a stream arrives: never before the part sent before it.
    pub fn stream_arrival(&mut self, stream: StreamId, arrival: Duration) -> Duration {
        let last = self.streams.entry(stream).or_default();
        *last = arrival.max(*last);
        *last
    }
}

fn delay(random: &mut ChaCha8Rng, is_slow: bool) -> Duration {
    match is_slow {
        true => Duration::from_millis(random.random_range(SLOW_DELAY_MILLIS)),
        false => Duration::from_micros(random.random_range(USUAL_DELAY_MICROS)),
    }
}
