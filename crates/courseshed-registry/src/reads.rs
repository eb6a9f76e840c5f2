//! Which servers have read which shared parts of prompts, told among gateways. Pure: times are
//! passed in.
//!
//! Many programs begin with the same part, which a server reads once and keeps while it is used. One
//! gateway of hundreds sees few of those programs, so gateways tell the controller that they follow
//! what servers have read, and are told what the others saw. It is soft knowledge: a wrong one costs
//! time.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::ServerKey;
use serde::{Deserialize, Serialize};

/// How long a read counts after it was told last; gateways remember prompts for as long.
const KEPT_FOR: Duration = Duration::from_secs(30);
/// A read that was told this lately is no news: a third of the time for which it counts.
pub const TOLD_AGAIN_AFTER: Duration = Duration::from_secs(10);
/// Most reads in one message: some 20 bytes each, so 4 KB.
pub const MOST_READS_A_MESSAGE: usize = 200;
/// Most reads that are remembered; the oldest give way. 3,000 servers with seven shared parts each.
const MOST_READS: usize = 20_000;

/// A server has read a shared part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRead {
    /// Names the part.
    pub part: u64,
    /// Its tokens.
    pub tokens: u32,
    /// The server.
    pub server: ServerKey,
}

/// Reads that an asker had not been told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadNews {
    /// The reads.
    pub reads: Vec<PartRead>,
    /// How far the asker has been told with them.
    pub told: u64,
}

type ReadKey = (u64, ServerKey);

#[derive(Clone, Copy, Debug)]
struct Told {
    sequence: u64,
    at: Duration,
    tokens: u32,
}

/// The reads that a controller was told of, in the order in which they were news.
#[derive(Clone, Debug, Default)]
pub struct ReadBoard {
    sequence: u64,
    reads: BTreeMap<ReadKey, Told>,
    by_sequence: BTreeMap<u64, ReadKey>,
    for_controllers: Vec<PartRead>,
}

impl ReadBoard {
    /// Takes in what a gateway saw; other controllers are told of it.
    pub fn note_gateway(&mut self, now: Duration, reads: Vec<PartRead>) {
        for read in reads {
            if self.note(now, read) && self.for_controllers.len() < MOST_READS {
                self.for_controllers.push(read);
            }
        }
    }

    /// Takes in what another controller was told.
    pub fn note_controller(&mut self, now: Duration, reads: Vec<PartRead>) {
        for read in reads {
            self.note(now, read);
        }
    }

    /// What the other controllers have still to be told.
    pub fn take_for_controllers(&mut self) -> Vec<PartRead> {
        let count = self.for_controllers.len().min(MOST_READS_A_MESSAGE);
        self.for_controllers.drain(..count).collect()
    }

    /// What an asker lacks that has been told so far; nothing is left out, and more may follow.
    #[must_use]
    pub fn news_since(&self, told: u64) -> ReadNews {
        // A controller that started anew counts from the beginning.
        let told = if told > self.sequence { 0 } else { told };
        let newer = self.by_sequence.range(told + 1..);
        let mut news = ReadNews {
            reads: Vec::new(),
            told,
        };
        for (sequence, key) in newer.take(MOST_READS_A_MESSAGE) {
            let tokens = self.reads.get(key).map_or(0, |read| read.tokens);
            let (part, server) = *key;
            news.reads.push(PartRead {
                part,
                tokens,
                server,
            });
            news.told = *sequence;
        }
        news
    }

    /// Forgets reads that count no more.
    pub fn forget_old(&mut self, now: Duration) {
        while let Some((sequence, key)) = self.by_sequence.first_key_value() {
            let told = self.reads.get(key);
            let is_old = told.is_none_or(|told| now.saturating_sub(told.at) >= KEPT_FOR);
            if !is_old && self.reads.len() <= MOST_READS {
                return;
            }
            let (sequence, key) = (*sequence, *key);
            self.by_sequence.remove(&sequence);
            self.reads.remove(&key);
        }
    }

    /// Whether it was news.
    fn note(&mut self, now: Duration, read: PartRead) -> bool {
        let key = (read.part, read.server);
        let known = self.reads.get(&key).copied();
        let is_news = known.is_none_or(|known| now.saturating_sub(known.at) >= TOLD_AGAIN_AFTER);
        if !is_news {
            return false;
        }
        if let Some(known) = known {
            self.by_sequence.remove(&known.sequence);
        }
        self.sequence += 1;
        self.by_sequence.insert(self.sequence, key);
        self.reads.insert(
            key,
            Told {
                sequence: self.sequence,
                at: now,
                tokens: read.tokens,
            },
        );
        true
    }
}
