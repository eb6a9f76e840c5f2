//! Simulated programs: sequences of turns with pauses, a growing prompt and a target time.

use std::ops::Range;

use courseshed_pool::{CallDemand, NameHash, ProgramContext};
use courseshed_types::{CachedPrompt, NodeId, PromptPart, ServerKey};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::engine::{MS_PER_TOKEN, PREFILL_TOKENS_PER_MS, SHARED_TOKENS};

/// Zone of all gateways and engines.
pub(super) const ZONE: NameHash = NameHash(1);

/// Parameters of a stream of programs.
#[derive(Clone, Debug)]
pub struct ProgramKind {
    pub factor: f64,
    pub rank: u32,
    pub tenant: u64,
    pub turns: Range<u32>,
    pub shared_parts: u64,
    /// Percentage of programs that begin with the first shared part; the others are spread evenly
    /// over the rest.
    pub hot_percent: u32,
}

pub(super) const PROMPT_GROWTH: Range<u32> = 200..600;
pub(super) const OUTPUT_TOKENS: Range<u32> = 80..220;
const PAUSE_MS: Range<u64> = 100..300;

/// About 9 turns and little slack.
pub fn tight() -> ProgramKind {
    ProgramKind {
        factor: 1.2,
        rank: 0,
        tenant: 1,
        turns: 7..12,
        shared_parts: 4,
        hot_percent: 25,
    }
}

/// About 3 turns and more slack.
pub fn loose() -> ProgramKind {
    ProgramKind {
        factor: 1.4,
        rank: 1,
        turns: 2..5,
        ..tight()
    }
}

pub(super) struct Turn {
    pub(super) prompt_growth: u32,
    pub(super) output_tokens: u32,
    pub(super) pause_ms: u64,
}

pub(super) fn mean(range: &Range<u32>) -> f64 {
    f64::from(range.start + range.end - 1) / 2.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    OnTime,
    Late,
    Failed,
}

pub struct Program {
    pub kind: ProgramKind,
    pub started_ms: u64,
    pub ended: Option<(u64, Outcome)>,
    pub(super) gateway: NodeId,
    pub(super) target_ms: u64,
    pub(super) parts: Vec<PromptPart>,
    pub(super) turns: Vec<Turn>,
    pub(super) turn: usize,
    pub(super) attempts: u32,
    pub(super) excluded: Vec<ServerKey>,
    pub(super) cached: Vec<CachedPrompt>,
}

impl Program {
    pub(super) fn new(
        now: u64,
        gateway: NodeId,
        number: usize,
        kind: ProgramKind,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let count = random.random_range(kind.turns.clone());
        let turns: Vec<Turn> = (0..count).map(|_| Turn::random(random)).collect();
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
                tokens: turns[0].prompt_growth,
            },
        ];
        Self {
            target_ms: now + (kind.factor * unloaded_ms(&turns)) as u64 + 250,
            kind,
            started_ms: now,
            ended: None,
            gateway,
            parts,
            turns,
            turn: 0,
            attempts: 0,
            excluded: Vec::new(),
            cached: Vec::new(),
        }
    }

    /// Request for the current turn; the gateway fills in the number and the times.
    pub(super) fn demand(&self, now: u64, number: usize) -> CallDemand {
        let standing = ProgramContext {
            program: NameHash(number as u64),
            time_left_ms: Some(self.target_ms.saturating_sub(now) as u32),
            budgeted_turns: Some(1.5 * self.turns.len() as f32),
        };
        CallDemand {
            number: 0,
            route: NameHash(self.kind.rank.into()),
            rank: self.kind.rank,
            tenant: Some(NameHash(self.kind.tenant)),
            tenant_weight: 1.0,
            program: Some(standing),
            zone: ZONE,
            parts: self.parts.clone(),
            most_tokens: OUTPUT_TOKENS.end,
            waited_ms: 0,
            time_left_ms: 0,
            excluded: self.excluded.clone(),
            version: None,
            held: self.cached.clone(),
        }
    }
}

impl Turn {
    fn random(random: &mut ChaCha8Rng) -> Self {
        Self {
            prompt_growth: random.random_range(PROMPT_GROWTH),
            output_tokens: random.random_range(OUTPUT_TOKENS),
            pause_ms: random.random_range(PAUSE_MS),
        }
    }
}

/// Duration of the turns on an idle engine of slowdown 1 that has the shared part cached, in
/// milliseconds.
fn unloaded_ms(turns: &[Turn]) -> f64 {
    let turn_ms = |turn: &Turn| {
        f64::from(turn.prompt_growth) / PREFILL_TOKENS_PER_MS
            + f64::from(turn.output_tokens) * MS_PER_TOKEN
    };
    let pauses = turns
        .split_last()
        .map_or(&[][..], |(_, before)| before)
        .iter();
    turns.iter().map(turn_ms).sum::<f64>() + pauses.map(|turn| turn.pause_ms as f64).sum::<f64>()
}
