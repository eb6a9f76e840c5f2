//! What is explored: how many calls, how many faults, and the rules broken on purpose.

/// How often each thing may happen in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Faults {
    /// Messages lost, of any kind.
    pub losses: u8,
    /// Messages delivered twice.
    pub duplicates: u8,
    /// Leaders lost.
    pub leader_changes: u8,
    /// Restarts of the engine.
    pub restarts: u8,
    /// Attempts that fail at the engine.
    pub failures: u8,
    /// Questions to an engine that can't be reached.
    pub cuts: u8,
    /// Steps of time.
    pub ticks: u8,
}

/// One world to explore.
#[derive(Debug, Clone)]
pub(super) struct Scenario {
    pub name: &'static str,
    /// Calls the caller makes.
    pub calls: u64,
    /// Copies of each call that gateways hand over.
    pub copies: u8,
    /// Whether the calls are repeatable.
    pub repeatable: bool,
    pub faults: Faults,
    pub defects: Vec<Defect>,
}

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Defect {
    None,
    StartBeforeCommit,
    RefusalNotCommitted,
    DoubtDenied,
    ResendTrusted,
    RepeatsAnything,
    StaleAnswerTaken,
    OrdersNeverRunOut,
    OrderNotKept,
}

impl Defect {
    pub fn describe(self) -> &'static str {
        match self {
            Defect::None => "nothing",
            Defect::StartBeforeCommit => {
                "the order to start is given before the dispatch is committed"
            }
            Defect::RefusalNotCommitted => "a refusal is told before its tombstone is committed",
            Defect::DoubtDenied => "a leader that steps down says that pending calls did not run",
            Defect::ResendTrusted => {
                "a gateway believes an uncommitted refusal of one copy of a call it sent twice"
            }
            Defect::RepeatsAnything => "a call that is not repeatable is run again after doubt",
            Defect::StaleAnswerTaken => "the answer of an old attempt settles the call",
            Defect::OrdersNeverRunOut => "a gateway follows an order to start however old it is",
            Defect::OrderNotKept => "each call of a program is accepted on its own",
        }
    }
}

impl Scenario {
    /// The bounds, for people.
    pub fn bounds(&self) -> String {
        let Faults {
            losses,
            duplicates,
            leader_changes,
            restarts,
            failures,
            cuts,
            ticks,
        } = self.faults;
        format!(
            "{} calls, {} copies each, {losses} losses, {duplicates} duplicates, {leader_changes} leader \
             changes, {restarts} engine restarts, {failures} engine failures, {cuts} cuts, {ticks} steps of time",
            self.calls, self.copies,
        )
    }
}

/// All scenarios.
pub(super) fn all() -> Vec<Scenario> {
    vec![
        non_repeatable(),
        failing_engine(),
        restarted_engine(),
        repeatable(),
        ordered(),
    ]
}

fn non_repeatable() -> Scenario {
    Scenario {
        name: "one call that is not repeatable",
        calls: 1,
        copies: 2,
        repeatable: false,
        faults: Faults {
            losses: 1,
            leader_changes: 1,
            ticks: 3,
            ..Faults::default()
        },
        defects: vec![
            Defect::StartBeforeCommit,
            Defect::RefusalNotCommitted,
            Defect::DoubtDenied,
        ],
    }
}

fn failing_engine() -> Scenario {
    Scenario {
        name: "an engine that fails",
        calls: 1,
        copies: 1,
        repeatable: false,
        faults: Faults {
            losses: 1,
            leader_changes: 2,
            failures: 1,
            cuts: 1,
            ticks: 3,
            ..Faults::default()
        },
        defects: vec![Defect::RepeatsAnything],
    }
}

fn restarted_engine() -> Scenario {
    Scenario {
        name: "an engine that restarts and forgets",
        calls: 1,
        copies: 1,
        repeatable: false,
        faults: Faults {
            leader_changes: 2,
            restarts: 1,
            ticks: 3,
            ..Faults::default()
        },
        defects: vec![Defect::OrdersNeverRunOut],
    }
}

fn repeatable() -> Scenario {
    Scenario {
        name: "one repeatable call",
        calls: 1,
        copies: 1,
        repeatable: true,
        faults: Faults {
            leader_changes: 2,
            duplicates: 1,
            cuts: 1,
            ticks: 1,
            ..Faults::default()
        },
        defects: vec![Defect::StaleAnswerTaken],
    }
}

fn ordered() -> Scenario {
    Scenario {
        name: "two calls in order",
        calls: 2,
        copies: 2,
        repeatable: false,
        faults: Faults {
            losses: 1,
            leader_changes: 1,
            ..Faults::default()
        },
        defects: vec![Defect::OrderNotKept, Defect::ResendTrusted],
    }
}
