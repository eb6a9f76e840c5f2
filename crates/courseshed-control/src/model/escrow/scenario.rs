//! Scenarios to explore: shard activity, faults and injected defects.

/// Maximum number of each fault in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Faults {
    /// Lost messages.
    pub losses: u8,
    /// Duplicated messages.
    pub duplicates: u8,
    /// Shard leaders lost together with their pending requests.
    pub leader_changes: u8,
    /// Shards that lose all replicas and are bootstrapped again.
    pub generation_losses: u8,
    /// Ends of a budget period.
    pub periods: u8,
}

/// Maximum number of operations of each shard in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ShardWork {
    pub requests: u8,
    pub attempts: u8,
    pub returns: u8,
}

/// Token budgets of the root and of the branch used by the shards, in one settings version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Budgets {
    /// `None` is unlimited.
    pub root: Option<u64>,
    /// `None` is unlimited.
    pub branch: Option<u64>,
    /// Whether the branch has been moved to another path.
    pub is_moved: bool,
}

/// A configuration to explore.
#[derive(Debug, Clone)]
pub(super) struct Scenario {
    pub name: &'static str,
    pub shards: u32,
    pub work: ShardWork,
    /// Settings in order of acceptance; the first are in force initially.
    pub settings: Vec<Budgets>,
    pub faults: Faults,
    pub defects: Vec<Defect>,
}

/// A defect injected to verify that the search detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Defect {
    None,
    GrantIssuedTwice,
    GrantAppliedTwice,
    ReturnAppliedTwice,
    ReturnNotCommitted,
    GenerationIgnored,
    ReplyNotMatched,
    LostEscrowReleased,
    UnbudgetedGrantNotCounted,
    SettledInCurrentPeriod,
}

impl Defect {
    pub fn description(self) -> &'static str {
        match self {
            Defect::None => "no defect",
            Defect::GrantIssuedTwice => "the ledger grants a resent request twice",
            Defect::GrantAppliedTwice => "a shard applies a grant without checking its number",
            Defect::ReturnAppliedTwice => "the ledger applies a return twice",
            Defect::ReturnNotCommitted => "a shard returns tokens before committing the return",
            Defect::GenerationIgnored => {
                "a rebootstrapped shard keeps the generation of the lost one"
            }
            Defect::ReplyNotMatched => "a shard accepts a late reply to a lost generation",
            Defect::LostEscrowReleased => "the ledger releases tokens held by a lost shard",
            Defect::UnbudgetedGrantNotCounted => {
                "grants are not counted while a branch has no budget"
            }
            Defect::SettledInCurrentPeriod => {
                "an attempt is settled in the period in which it ends"
            }
        }
    }
}

impl Scenario {
    /// Describes the bounds for the report.
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
            generation_losses,
            periods,
        } = self.faults;
        format!(
            "{} shards, each up to {requests} requests, {attempts} attempts, {returns} returns; {} settings; \
             {losses} losses, {duplicates} duplicates, {leader_changes} leader changes, \
             {generation_losses} lost generations, {periods} period ends; any delay and order",
            self.shards,
            self.settings.len(),
        )
    }
}

/// All scenarios.
pub(super) fn all() -> Vec<Scenario> {
    vec![
        two_shards(),
        lossy_network(),
        lost_generation(),
        lowered_and_removed_budget(),
        moved_branch(),
        period_end(),
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
        name: "two shards sharing a budget",
        shards: 2,
        work: work(1, 1, 1),
        settings: vec![root_only(Some(3))],
        faults: Faults {
            duplicates: 1,
            ..Faults::default()
        },
        defects: vec![Defect::ReturnAppliedTwice, Defect::ReturnNotCommitted],
    }
}

fn lossy_network() -> Scenario {
    Scenario {
        name: "lost and duplicated messages, and shard leader changes",
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
            Defect::ReturnAppliedTwice,
        ],
    }
}

fn lost_generation() -> Scenario {
    Scenario {
        name: "a shard that is lost and bootstrapped again",
        shards: 1,
        work: work(2, 1, 1),
        settings: vec![root_only(Some(3))],
        faults: Faults {
            duplicates: 1,
            generation_losses: 1,
            ..Faults::default()
        },
        defects: vec![
            Defect::GenerationIgnored,
            Defect::ReplyNotMatched,
            Defect::LostEscrowReleased,
        ],
    }
}

fn lowered_and_removed_budget() -> Scenario {
    let steps = [Some(3), Some(1), None, Some(3)];
    Scenario {
        name: "a budget lowered, removed and set again",
        shards: 2,
        work: work(1, 0, 1),
        settings: steps.map(root_only).to_vec(),
        faults: Faults::default(),
        defects: vec![Defect::UnbudgetedGrantNotCounted],
    }
}

fn moved_branch() -> Scenario {
    let below_root = |is_moved| Budgets {
        root: Some(3),
        branch: Some(2),
        is_moved,
    };
    Scenario {
        name: "a branch moved while its budget is in use",
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

fn period_end() -> Scenario {
    Scenario {
        name: "attempts that span the end of a period",
        shards: 1,
        work: work(2, 2, 1),
        settings: vec![root_only(Some(2))],
        faults: Faults {
            duplicates: 1,
            periods: 1,
            ..Faults::default()
        },
        defects: vec![Defect::SettledInCurrentPeriod],
    }
}
