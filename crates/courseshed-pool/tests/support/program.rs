//! Fake programs: chains of turns with pauses between, a growing prompt and an aim.

use std::ops::Range;

use courseshed_pool::{CallDemand, NameKey, ProgramStanding};
use courseshed_types::{CachedPrompt, NodeId, PromptPart, ServerKey};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::engine::{MS_PER_TOKEN, READ_TOKENS_PER_MS, SHARED_TOKENS};

/// Where all gateways and engines stand.
pub(super) const ZONE: NameKey = NameKey(1);

/// What programs of a stream are like.
#[derive(Clone, Debug)]
pub struct Kind {
    pub factor: f64,
    pub rank: u32,
    pub tenant: u64,
    pub turns: Range<u32>,
    pub shared_parts: u64,
    /// How many of a hundred begin with the first shared part; the others share the rest evenly.
    pub hot_percent: u32,
}

pub(super) const GROWN: Range<u32> = 200..600;
pub(super) const OUTPUT: Range<u32> = 80..220;
const PAUSE_MS: Range<u64> = 100..300;

/// About 9 turns and little time to spare.
pub fn tight() -> Kind {
    Kind {
        factor: 1.2,
        rank: 0,
        tenant: 1,
        turns: 7..12,
        shared_parts: 4,
        hot_percent: 25,
    }
}

/// About 3 turns and some time to spare.
pub fn loose() -> Kind {
    Kind {
        factor: 1.4,
        rank: 1,
        turns: 2..5,
        ..tight()
    }
}

pub(super) struct Turn {
    pub(super) grown: u32,
    pub(super) output: u32,
    pub(super) pause_ms: u64,
}

pub(super) fn middle(range: &Range<u32>) -> f64 {
    f64::from(range.start + range.end - 1) / 2.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    InAim,
    Late,
    Failed,
}

pub struct Program {
    pub kind: Kind,
    pub started_ms: u64,
    pub ended: Option<(u64, Outcome)>,
    pub(super) gateway: NodeId,
    pub(super) aim_ms: u64,
    pub(super) parts: Vec<PromptPart>,
    pub(super) turns: Vec<Turn>,
    pub(super) turn: usize,
    pub(super) tries: u32,
    pub(super) excluded: Vec<ServerKey>,
    pub(super) held: Vec<CachedPrompt>,
}

impl Program {
    pub(super) fn new(
        now: u64,
        gateway: NodeId,
        number: usize,
        kind: Kind,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let count = random.random_range(kind.turns.clone());
        let turns: Vec<Turn> = (0..count).map(|_| Turn::any(random)).collect();
        let is_hot = kind.shared_parts == 1 || random.random_range(0..100) < kind.hot_percent;
        let shared = if is_hot {
            0
        } else {
            random.random_range(1..kind.shared_parts)
        };
        let parts = vec![
            PromptPart {
                id: shared,
                tokens: SHARED_TOKENS,
            },
            PromptPart {
                id: 1_000_000 + number as u64,
                tokens: turns[0].grown,
            },
        ];
        Self {
            aim_ms: now + (kind.factor * idle_ms(&turns)) as u64 + 250,
            kind,
            started_ms: now,
            ended: None,
            gateway,
            parts,
            turns,
            turn: 0,
            tries: 0,
            excluded: Vec::new(),
            held: Vec::new(),
        }
    }

    /// What its turn asks for now; the call's own number and times are left to its gateway.
    pub(super) fn demand(&self, now: u64, number: usize) -> CallDemand {
        let standing = ProgramStanding {
            program: NameKey(number as u64),
            left_ms: Some(self.aim_ms.saturating_sub(now) as u32),
            turns_budgeted: Some(1.5 * self.turns.len() as f32),
        };
        CallDemand {
            number: 0,
            route: NameKey(self.kind.rank.into()),
            rank: self.kind.rank,
            tenant: Some(NameKey(self.kind.tenant)),
            tenant_weight: 1.0,
            program: Some(standing),
            zone: ZONE,
            parts: self.parts.clone(),
            most_tokens: OUTPUT.end,
            waited_ms: 0,
            time_left_ms: 0,
            excluded: self.excluded.clone(),
            held: self.held.clone(),
        }
    }
}

impl Turn {
    fn any(random: &mut ChaCha8Rng) -> Self {
        Self {
            grown: random.random_range(GROWN),
            output: random.random_range(OUTPUT),
            pause_ms: random.random_range(PAUSE_MS),
        }
    }
}

/// Time that the turns take on an idle engine of slowness 1 that holds the shared part, in milliseconds.
fn idle_ms(turns: &[Turn]) -> f64 {
    let turn_ms = |turn: &Turn| {
        f64::from(turn.grown) / READ_TOKENS_PER_MS + f64::from(turn.output) * MS_PER_TOKEN
    };
    let pauses = turns
        .split_last()
        .map_or(&[][..], |(_, before)| before)
        .iter();
    turns.iter().map(turn_ms).sum::<f64>() + pauses.map(|turn| turn.pause_ms as f64).sum::<f64>()
}
