//! What is explored: how much each shard does, which faults happen, and the rules broken on purpose.

/// How often each thing may happen in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Faults {
    /// Messages lost.
    pub losses: u8,
    /// Messages delivered twice.
    pub duplicates: u8,
    /// Shard leaders lost, with what they had asked for.
    pub leader_changes: u8,
    /// Shards that lose all replicas and are founded again.
    pub refoundings: u8,
    /// Ends of a budget's period.
    pub periods: u8,
}

/// What one shard may do in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ShardWork {
    pub requests: u8,
    pub attempts: u8,
    pub returns: u8,
}

/// The settings of the branches at one version: tokens of the budget of the root and of the branch the shards work for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Budgets {
    /// None is unlimited.
    pub root: Option<u64>,
    /// None is unlimited.
    pub branch: Option<u64>,
    /// Whether the branch has been moved to another place of the tree.
    pub is_moved: bool,
}

/// One world to explore.
#[derive(Debug, Clone)]
pub(super) struct Scenario {
    pub name: &'static str,
    pub shards: u32,
    pub work: ShardWork,
    /// Settings in the order in which operators accept them; the first are in force at the start.
    pub settings: Vec<Budgets>,
    pub faults: Faults,
    pub defects: Vec<Defect>,
}

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Defect {
    None,
    GrantIssuedTwice,
    GrantAppliedTwice,
    ReturnTakenTwice,
    ReturnNotCommitted,
    GenerationIgnored,
    AnswerNotMatched,
    LostEscrowReleased,
    LiftedBudgetNotCounted,
    SettledInPresentPeriod,
}

impl Defect {
    pub fn describe(self) -> &'static str {
        match self {
            Defect::None => "nothing",
            Defect::GrantIssuedTwice => "the ledger grants a resent request again",
            Defect::GrantAppliedTwice => "a shard adds a grant whatever its number",
            Defect::ReturnTakenTwice => "the ledger takes a return again that it took before",
            Defect::ReturnNotCommitted => "a shard returns tokens before it has committed to do so",
            Defect::GenerationIgnored => "a shard founded again numbers on as the lost one did",
            Defect::AnswerNotMatched => "a shard takes a late answer to the lost one for its own",
            Defect::LostEscrowReleased => "the ledger takes back what a lost shard held",
            Defect::LiftedBudgetNotCounted => "grants are not counted while a budget is lifted",
            Defect::SettledInPresentPeriod => {
                "an attempt is settled in the period in which it ends"
            }
        }
    }
}

impl Scenario {
    /// The bounds, for people.
    pub fn bounds(&self) -> String {
        let ShardWork {
            requests,
            attempts,
            returns,
        } = self.work;
        let Faults {
            losses,
            duplicates,
            leader_changes,
            refoundings,
            periods,
        } = self.faults;
        format!(
            "{} shards, each up to {requests} requests, {attempts} attempts, {returns} returns; {} settings; \
             {losses} losses, {duplicates} duplicates, {leader_changes} leader changes, {refoundings} refoundings, \
             {periods} ends of a period; any delay and order",
            self.shards,
            self.settings.len(),
        )
    }
}

/// All scenarios.
pub(super) fn all() -> Vec<Scenario> {
    vec![
        two_shards(),
        lossy_link(),
        founded_again(),
        lowered_and_lifted(),
        moved_branch(),
        next_period(),
    ]
}

fn root_only(tokens: Option<u64>) -> Budgets {
    Budgets {
        root: tokens,
        branch: None,
        is_moved: false,
    }
}

fn work(requests: u8, attempts: u8, returns: u8) -> ShardWork {
    ShardWork {
        requests,
        attempts,
        returns,
    }
}

fn two_shards() -> Scenario {
    Scenario {
        name: "two shards of one budget",
        shards: 2,
        work: work(1, 1, 1),
        settings: vec![root_only(Some(3))],
        faults: Faults {
            duplicates: 1,
            ..Faults::default()
        },
        defects: vec![Defect::ReturnTakenTwice, Defect::ReturnNotCommitted],
    }
}

fn lossy_link() -> Scenario {
    Scenario {
        name: "lost and doubled messages, and leaders of a shard that change",
        shards: 1,
        work: work(2, 1, 2),
        settings: vec![root_only(Some(3))],
        faults: Faults {
            losses: 1,
            duplicates: 1,
            leader_changes: 1,
            ..Faults::default()
        },
        defects: vec![
            Defect::GrantIssuedTwice,
            Defect::GrantAppliedTwice,
            Defect::ReturnTakenTwice,
        ],
    }
}

fn founded_again() -> Scenario {
    Scenario {
        name: "a shard that is lost and founded again",
        shards: 1,
        work: work(2, 1, 1),
        settings: vec![root_only(Some(3))],
        faults: Faults {
            duplicates: 1,
            refoundings: 1,
            ..Faults::default()
        },
        defects: vec![
            Defect::GenerationIgnored,
            Defect::AnswerNotMatched,
            Defect::LostEscrowReleased,
        ],
    }
}

fn lowered_and_lifted() -> Scenario {
    let steps = [Some(3), Some(1), None, Some(3)];
    Scenario {
        name: "a budget lowered, lifted and set again",
        shards: 2,
        work: work(1, 0, 1),
        settings: steps.map(root_only).to_vec(),
        faults: Faults::default(),
        defects: vec![Defect::LiftedBudgetNotCounted],
    }
}

fn moved_branch() -> Scenario {
    let below_root = |is_moved| Budgets {
        root: Some(3),
        branch: Some(2),
        is_moved,
    };
    Scenario {
        name: "a branch that is moved while its budget is in use",
        shards: 1,
        work: work(3, 2, 1),
        settings: vec![below_root(false), below_root(true)],
        faults: Faults {
            duplicates: 1,
            ..Faults::default()
        },
        defects: vec![Defect::GrantAppliedTwice],
    }
}

fn next_period() -> Scenario {
    Scenario {
        name: "attempts over the end of a period",
        shards: 1,
        work: work(2, 2, 1),
        settings: vec![root_only(Some(2))],
        faults: Faults {
            duplicates: 1,
            periods: 1,
            ..Faults::default()
        },
        defects: vec![Defect::SettledInPresentPeriod],
    }
}
