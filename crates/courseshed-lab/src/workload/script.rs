//! One program drawn as a whole: what it will ask and when, which no scheduler is told.

use std::time::Duration;

use courseshed_types::BranchPath;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::kind::{ProgramKind, Workload};

/// Calls of a program that would never stop by itself; every limit in use ends it earlier.
const ENDLESS_TURNS: u64 = 2_000;

/// What happens between an answer and the next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pause {
    /// Tools or people are at work for so long.
    Lasts(Duration),
    /// A tool hangs: the program never goes on.
    Hangs,
}

/// One call and what follows it.
#[derive(Debug, Clone, PartialEq)]
pub struct TurnScript {
    /// New prompt tokens.
    pub new_tokens: u64,
    /// Tokens the engine will generate.
    pub output_tokens: u64,
    /// The pause before the next call.
    pub pause: Pause,
    /// Sub-agents that start with the pause; the next call waits for them too.
    pub children: Vec<ProgramScript>,
}

/// One program.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgramScript {
    /// Place of its kind in the workload.
    pub kind: usize,
    /// The branch that pays.
    pub branch: BranchPath,
    /// Its calls, at least one.
    pub turns: Vec<TurnScript>,
    /// Whether it would never stop by itself; only its first turns are drawn.
    pub is_endless: bool,
}

impl ProgramScript {
    /// Calls of it and of all its sub-agents.
    pub fn calls(&self) -> usize {
        let children = self.turns.iter().flat_map(|turn| &turn.children);
        self.turns.len() + children.map(ProgramScript::calls).sum::<usize>()
    }
}

/// Draws programs of a workload.
#[derive(Debug, Clone, Copy)]
pub struct ScriptSource<'w> {
    workload: &'w Workload,
    seed: u64,
}

impl<'w> ScriptSource<'w> {
    /// A source for a seed.
    pub fn new(workload: &'w Workload, seed: u64) -> ScriptSource<'w> {
        ScriptSource { workload, seed }
    }

    /// The program at place `number` of a stream; the same whatever else is drawn.
    pub fn draw(
        &self,
        stream: u32,
        number: u32,
        kind: usize,
        branch: &BranchPath,
    ) -> ProgramScript {
        let mut random = stream_random(self.seed, stream, number);
        self.draw_program(kind, branch, &mut random)
    }

    fn draw_program(
        &self,
        index: usize,
        branch: &BranchPath,
        random: &mut ChaCha8Rng,
    ) -> ProgramScript {
        let kind = &self.workload.kinds[index];
        let is_endless = random.random_bool(kind.endless_chance);
        let turns = match is_endless {
            true => ENDLESS_TURNS,
            false => kind.turns.draw_count(random),
        };
        let mut script = ProgramScript {
            kind: index,
            branch: branch.clone(),
            turns: Vec::with_capacity(turns as usize),
            is_endless,
        };
        for turn in 0..turns {
            let is_last = turn + 1 == turns;
            script
                .turns
                .push(self.draw_turn(kind, branch, turn == 0, is_last, random));
        }
        script
    }

    fn draw_turn(
        &self,
        kind: &ProgramKind,
        branch: &BranchPath,
        is_first: bool,
        is_last: bool,
        random: &mut ChaCha8Rng,
    ) -> TurnScript {
        let new_tokens = match is_first {
            true => kind.first_tokens.draw_count(random),
            false => kind.new_tokens.draw_count(random),
        };
        let output_tokens = kind.output_tokens.draw_count(random);
        let mut turn = TurnScript {
            new_tokens,
            output_tokens: output_tokens.min(kind.max_output_tokens),
            pause: Pause::Lasts(Duration::ZERO),
            children: Vec::new(),
        };
        if !is_last {
            turn.pause = draw_pause(kind, random);
            turn.children = self.draw_children(kind, branch, random);
        }
        turn
    }

    fn draw_children(
        &self,
        kind: &ProgramKind,
        branch: &BranchPath,
        random: &mut ChaCha8Rng,
    ) -> Vec<ProgramScript> {
        let Some(agents) = &kind.sub_agents else {
            return Vec::new();
        };
        let Some(child) = self.workload.position(&agents.kind) else {
            return Vec::new();
        };
        if !random.random_bool(agents.chance) {
            return Vec::new();
        }
        let count = agents.count.draw_count(random);
        let pays = agents.branch.as_ref().unwrap_or(branch);
        (0..count)
            .map(|_| self.draw_program(child, pays, random))
            .collect()
    }
}

/// The random numbers at a place of a stream, independent of all others.
pub(super) fn stream_random(seed: u64, stream: u32, number: u32) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(u64::from(stream) << 32 | u64::from(number));
    random
}

fn draw_pause(kind: &ProgramKind, random: &mut impl Rng) -> Pause {
    let hangs = random.random_bool(kind.hung_tool_chance);
    let seconds = kind.pause_seconds.draw(random);
    match hangs {
        true => Pause::Hangs,
        false => Pause::Lasts(Duration::from_secs_f64(seconds)),
    }
}
