//! Which servers hold the prompts of programs: hints for whichever gateway gets the next call.
//!
//! They are kept in memory alone, of the newest programs, and lost with the process: without one a
//! call is read anew by some server, which costs time and nothing else.

use std::collections::{HashMap, VecDeque};

use courseshed_types::CachedPrompt;

/// Lines of turns of one program that are remembered: the program's own and its helpers' (2 to 4).
const LINES: usize = 4;
/// How long a hint is of use: servers forget prompts for others after some seconds under load.
const KEPT_FOR_MS: u64 = 30_000;
/// Programs beyond which the oldest give way: some 300 bytes each, so 6 MB.
const MOST_PROGRAMS: usize = 20_000;

#[derive(Clone, Debug, Default)]
struct ProgramHints {
    lines: VecDeque<CachedPrompt>,
    noted_ms: u64,
}

/// The hints of one store.
#[derive(Clone, Debug, Default)]
pub struct PromptHints {
    programs: HashMap<String, ProgramHints>,
}

impl PromptHints {
    /// Notes what a server holds after it answered a call of a program.
    pub fn note(&mut self, now_ms: u64, program: &str, cached: CachedPrompt) {
        let Some(line) = cached.parts.last().map(|part| part.id) else {
            return;
        };
        let hints = self.programs.entry(program.to_owned()).or_default();
        hints.noted_ms = now_ms;
        hints
            .lines
            .retain(|known| known.parts.last().is_none_or(|part| part.id != line));
        hints.lines.push_back(cached);
        if hints.lines.len() > LINES {
            hints.lines.pop_front();
        }
    }

    /// What servers hold of a program's prompts, the newest last.
    #[must_use]
    pub fn of(&self, program: &str) -> Vec<CachedPrompt> {
        let hints = self.programs.get(program);
        hints.map_or_else(Vec::new, |hints| hints.lines.iter().cloned().collect())
    }

    /// How many programs are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Forgets what is old, and the oldest when there is too much.
    pub fn expire(&mut self, now_ms: u64) {
        let mut kept_for = KEPT_FOR_MS;
        loop {
            self.programs
                .retain(|_, hints| now_ms.saturating_sub(hints.noted_ms) < kept_for);
            if self.programs.len() <= MOST_PROGRAMS {
                return;
            }
            kept_for /= 2;
        }
    }
}
