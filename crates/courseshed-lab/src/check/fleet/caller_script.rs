//! What a caller will do, drawn before it starts.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// One call that a caller will make.
#[derive(Debug, Clone)]
pub struct ScriptedCall {
    pub text: String,
    pub repeatable: bool,
    pub max_tokens: u64,
    /// The tool pause before it.
    pub pause: Duration,
    /// Whether the caller leaves in the middle and comes back at another gateway.
    pub leaves: bool,
    /// Whether the caller sends it to two gateways at once.
    pub sends_twice: bool,
}

/// What one caller will do.
#[derive(Debug, Clone)]
pub struct Script {
    pub branch: &'static str,
    pub calls: Vec<ScriptedCall>,
    /// After so many calls it goes away for good, without ending its program.
    pub abandons_after: Option<usize>,
    /// After so many calls an operator ends the program, and the caller is not told.
    pub ended_after: Option<usize>,
    /// Everything must be answered: it starts when all faults are over.
    pub is_probe: bool,
}

pub const BUDGETED_BRANCH: &str = "guild/quotes";
pub const OPEN_BRANCH: &str = "open";

impl Script {
    pub fn draw(random: &mut ChaCha8Rng) -> Script {
        let count = random.random_range(1..6);
        let calls: Vec<ScriptedCall> = (0..count).map(|_| draw_call(random)).collect();
        let branch = match random.random_range(0..2) {
            0 => BUDGETED_BRANCH,
            _ => OPEN_BRANCH,
        };
        let one_in = |random: &mut ChaCha8Rng, odds: u32| random.random_range(0..odds) == 0;
        let abandons_after = one_in(random, 10).then(|| random.random_range(0..=count));
        let ended_after = one_in(random, 15).then(|| random.random_range(0..=count));
        Script {
            branch,
            calls,
            abandons_after,
            ended_after,
            is_probe: false,
        }
    }

    /// A program that nothing should stand in the way of.
    pub fn probe(random: &mut ChaCha8Rng) -> Script {
        let plain = |random: &mut ChaCha8Rng| ScriptedCall {
            leaves: false,
            sends_twice: false,
            ..draw_call(random)
        };
        Script {
            branch: OPEN_BRANCH,
            calls: vec![plain(random), plain(random)],
            abandons_after: None,
            ended_after: None,
            is_probe: true,
        }
    }
}

fn draw_call(random: &mut ChaCha8Rng) -> ScriptedCall {
    let words = random.random_range(1..60);
    let number: u32 = random.random();
    ScriptedCall {
        text: format!("{number:08x} {}", "word ".repeat(words)),
        repeatable: random.random_range(0..10) < 7,
        max_tokens: random.random_range(8..64),
        pause: Duration::from_millis(random.random_range(0..2_500)),
        leaves: random.random_range(0..8) == 0,
        sends_twice: random.random_range(0..10) == 0,
    }
}
