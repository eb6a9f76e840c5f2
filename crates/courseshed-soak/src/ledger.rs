//! What callers and servers saw, and the promises judged from it.

use std::collections::BTreeMap;
use std::fmt;

use tokio::time::Instant;

/// Tokens of one event, as the routing table of the soak says.
pub const TOKENS_PER_EVENT: u64 = 10;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A call that may not be repeated runs once at the most.
    AtMostOnce,
    /// What is refused as not run has not run.
    NotRun,
    /// An answer that looks whole is the server's, whole.
    WholeAnswer,
    /// A turn that was answered whole can be gone on from.
    KeptTurn,
    /// A server gets the turns before, and no others.
    History,
    /// A program is given no more tokens than its budget and one turn.
    Budget,
    /// Nothing that was passed on is cut off, neither by a planned stop nor without any.
    NotCutOff,
    /// No process ends by itself.
    StaysUp,
    /// Once the faults are over, everything serves again.
    ComesBack,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.promise, self.detail)
    }
}

/// What a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run once.
    Once,
    /// May run again.
    Repeatable,
    /// A turn of a program.
    Turn,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer came, whole.
    Answered {
        /// Its status.
        status: u16,
    },
    /// An answer began, and the connection ended before it did.
    BrokenOff,
    /// The connection ended without an answer.
    NoAnswer,
    /// The caller had no connection.
    NotConnected,
    /// The caller gave up.
    GaveUp,
}

/// One call, as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallSeen {
    /// What it is.
    pub kind: CallKind,
    /// The gateway's place in the fleet.
    pub gateway: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it was over.
    pub over: Instant,
    /// How it ended.
    pub outcome: Outcome,
    /// The program and how many events the caller was given, for a turn.
    pub turn: Option<TurnSeen>,
}

/// What belongs to a turn.
#[derive(Clone, Debug)]
pub struct TurnSeen {
    /// Its program.
    pub program: String,
    /// Events that the caller was given.
    pub events: u64,
}

/// What a program may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramBudget {
    /// All turns together, in tokens.
    pub tokens: u64,
    /// The most of one turn, in tokens.
    pub most_of_turn: u64,
}

/// What was disturbed by more than a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbed {
    /// A gateway, by its place in the fleet.
    Gateway(usize),
    /// Any of the stores, so that a turn may have found no quorum to be kept on.
    Stores,
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    what: Disturbed,
    from: Instant,
    to: Instant,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    calls: BTreeMap<String, CallSeen>,
    runs: BTreeMap<String, u64>,
    dropped: BTreeMap<String, u64>,
    budgets: BTreeMap<String, ProgramBudget>,
    disturbances: Vec<Disturbance>,
    seen: Vec<Violation>,
}

/// What a soak came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Calls made.
    pub calls: usize,
    /// Answered with success.
    pub answered: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Ended otherwise.
    pub failed: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl Ledger {
    /// Notes that a server begins to run a call.
    pub fn note_run(&mut self, call: &str) {
        *self.runs.entry(call.to_owned()).or_default() += 1;
    }

    /// Notes that a server broke a call off on purpose.
    pub fn note_dropped(&mut self, call: &str) {
        *self.dropped.entry(call.to_owned()).or_default() += 1;
    }

    /// Notes what a program may spend.
    pub fn note_budget(&mut self, program: &str, budget: ProgramBudget) {
        self.budgets.insert(program.to_owned(), budget);
    }

    /// Notes how a call ended.
    pub fn note_call(&mut self, id: String, call: CallSeen) {
        self.calls.insert(id, call);
    }

    /// Notes that something was killed or paused in a time: what is cut off then has a cause.
    pub fn note_disturbed(&mut self, what: Disturbed, from: Instant, to: Instant) {
        self.disturbances.push(Disturbance { what, from, to });
    }

    /// Notes a promise that was seen broken.
    pub fn note_violation(&mut self, promise: Promise, detail: String) {
        self.seen.push(Violation { promise, detail });
    }

    /// Judges all that was seen.
    #[must_use]
    pub fn judge(&self) -> Tally {
        let mut tally = Tally {
            calls: self.calls.len(),
            violations: self.seen.clone(),
            ..Tally::default()
        };
        for (id, call) in &self.calls {
            match call.outcome {
                Outcome::Answered { status: 200 } => tally.answered += 1,
                Outcome::Answered { status } if is_not_run(status) => tally.refused += 1,
                _ => tally.failed += 1,
            }
            tally.violations.extend(self.judge_call(id, call));
        }
        tally.violations.extend(self.judge_budgets());
        tally
    }

    fn judge_call(&self, id: &str, call: &CallSeen) -> Option<Violation> {
        let runs = self.runs.get(id).copied().unwrap_or(0);
        let violation = |promise, detail| Some(Violation { promise, detail });
        if call.kind == CallKind::Once && runs > 1 {
            return violation(Promise::AtMostOnce, format!("{id} ran {runs} times"));
        }
        match call.outcome {
            Outcome::Answered { status } if is_not_run(status) && runs > 0 => violation(
                Promise::NotRun,
                format!("{id} was refused with {status} and ran {runs} times"),
            ),
            Outcome::NoAnswer | Outcome::BrokenOff if self.is_cut_off(id, call) => violation(
                Promise::NotCutOff,
                format!("{id} at gateway {}: {:?}", call.gateway, call.outcome),
            ),
            _ => None,
        }
    }

    /// Whether a call was passed on, not broken off by its server, and cut off without any cause.
    fn is_cut_off(&self, id: &str, call: &CallSeen) -> bool {
        let was_passed_on = self.runs.contains_key(id) && !self.dropped.contains_key(id);
        let is_cause = |disturbance: &Disturbance| {
            let concerns = match disturbance.what {
                Disturbed::Gateway(gateway) => gateway == call.gateway,
                Disturbed::Stores => call.kind == CallKind::Turn,
            };
            concerns && disturbance.from <= call.over && disturbance.to >= call.sent
        };
        was_passed_on && !self.disturbances.iter().any(is_cause)
    }

    fn judge_budgets(&self) -> Vec<Violation> {
        let mut given: BTreeMap<&str, u64> = BTreeMap::new();
        for turn in self.calls.values().filter_map(|call| call.turn.as_ref()) {
            *given.entry(&turn.program).or_default() += turn.events * TOKENS_PER_EVENT;
        }
        let over = given.into_iter().filter_map(|(program, tokens)| {
            let budget = self.budgets.get(program)?;
            let most = budget.tokens + budget.most_of_turn;
            (tokens > most).then(|| Violation {
                promise: Promise::Budget,
                detail: format!("{program} was given {tokens} tokens, {most} are allowed"),
            })
        });
        over.collect()
    }
}

/// Whether a status says that the call has not run and never will.
#[must_use]
pub fn is_not_run(status: u16) -> bool {
    matches!(status, 402 | 408 | 421 | 429 | 503)
}
