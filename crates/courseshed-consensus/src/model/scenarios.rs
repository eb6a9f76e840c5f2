//! The scenarios that are explored, with their bounds and their broken variants.

use super::rules::{Budget, Restart, Rules};
use super::search::explore;
use super::state::REPLICAS;
use super::{BrokenVariant, Depth, ModelReport};
use crate::peer::Defect;
use crate::{EntryPayload, Peer};

const NOTHING: Budget = Budget {
    campaigns: 0,
    restart_requests: 0,
    proposals: 0,
    heartbeats: 0,
    removals: 0,
    restarts: 0,
    duplicates: 0,
};

const PLAIN: Rules = Rules {
    network_capacity: 2,
    entries_per_message: 4,
    restart: Restart::KeepsAll,
    defect: Defect::None,
    budget: NOTHING,
};

/// A group and what may happen to it, with variants of it that must be caught.
struct Scenario {
    name: &'static str,
    rules: Rules,
    /// A replica that the exploration must meet, or its bounds are too narrow to mean anything.
    goal: fn(&Peer) -> bool,
    variants: Vec<Variant>,
}

struct Variant {
    name: &'static str,
    rules: Rules,
}

/// Explores every scenario and every broken variant of it, within small bounds.
#[must_use]
pub fn check_all() -> Vec<ModelReport> {
    check_all_within(Depth::Quick)
}

/// Explores every scenario and every broken variant of it.
#[must_use]
pub fn check_all_within(depth: Depth) -> Vec<ModelReport> {
    scenarios(depth).into_iter().map(Scenario::check).collect()
}

/// Explores the scenario of this name alone; none if there is none.
#[must_use]
pub fn check(name: &str) -> Option<ModelReport> {
    let mut scenarios = scenarios(Depth::Quick).into_iter();
    scenarios
        .find(|scenario| scenario.name == name)
        .map(Scenario::check)
}

fn scenarios(depth: Depth) -> [Scenario; 6] {
    [
        durable(depth),
        volatile(depth),
        membership(depth),
        old_terms(depth),
        restart_election(depth),
        restart_election_after_removal(depth),
    ]
}

impl Scenario {
    fn check(self) -> ModelReport {
        let found = explore(&self.rules, self.goal);
        ModelReport {
            name: self.name,
            states: found.states,
            states_at_goal: found.states_at_goal,
            bounds: bounds(&self.rules),
            violation: found.counterexample,
            broken_variants: self.variants.into_iter().map(Variant::check).collect(),
        }
    }
}

impl Variant {
    fn check(self) -> BrokenVariant {
        let found = explore(&self.rules, |_| false);
        BrokenVariant {
            name: self.name,
            states: found.states,
            counterexample: found.counterexample,
        }
    }
}

fn bounds(rules: &Rules) -> String {
    let Rules {
        network_capacity,
        budget,
        ..
    } = rules;
    let Budget {
        campaigns,
        restart_requests,
        proposals,
        heartbeats,
        removals,
        restarts,
        duplicates,
    } = budget;
    format!(
        "{REPLICAS} replicas, {campaigns} elections, {restart_requests} requests after a restart, {proposals} proposals, {heartbeats} heartbeats, \
         {removals} removals, {restarts} restarts, {duplicates} duplicates, \
         {network_capacity} messages in flight"
    )
}

/// Elections, replication and a restart, with disks.
fn durable(depth: Depth) -> Scenario {
    let budget = Budget {
        campaigns: 2,
        proposals: 1,
        restarts: 1,
        duplicates: 1,
        ..NOTHING
    };
    let rules = match depth {
        Depth::Quick => Rules { budget, ..PLAIN },
        Depth::Deep => Rules {
            budget,
            network_capacity: 3,
            ..PLAIN
        },
    };
    let with_defect = |defect| Rules { defect, ..rules };
    let variants = vec![
        Variant {
            name: "a vote is forgotten by a restart",
            rules: Rules {
                restart: Restart::ForgetsVote,
                ..rules
            },
        },
        Variant {
            name: "a leader commits without a quorum",
            rules: with_defect(Defect::CommitsAlone),
        },
        Variant {
            name: "votes are given to candidates with shorter logs",
            rules: with_defect(Defect::IgnoresLogEnds),
        },
    ];
    Scenario {
        name: "replicas with disks",
        rules,
        goal: has_committed_data,
        variants,
    }
}

/// A replica loses its memory, and is readmitted by two membership changes.
fn volatile(depth: Depth) -> Scenario {
    let budget = Budget {
        campaigns: 2,
        heartbeats: 1,
        restarts: 1,
        ..NOTHING
    };
    let restart = Restart::NewIncarnation;
    let rules = match depth {
        Depth::Quick => Rules {
            budget,
            restart,
            ..PLAIN
        },
        Depth::Deep => Rules {
            budget,
            restart,
            network_capacity: 3,
            ..PLAIN
        },
    };
    let variants = vec![
        Variant {
            name: "a volatile replica votes at once under its old incarnation",
            rules: Rules {
                restart: Restart::SameIncarnation,
                ..rules
            },
        },
        Variant {
            name: "votes and acknowledgements count whichever incarnation gave them",
            rules: Rules {
                defect: Defect::IgnoresIncarnations,
                ..rules
            },
        },
    ];
    Scenario {
        name: "volatile replicas",
        rules,
        goal: is_readmitted_leader,
        variants,
    }
}

/// Members are removed while elections go on.
fn membership(depth: Depth) -> Scenario {
    let budget = Budget {
        campaigns: 2,
        proposals: 1,
        removals: 2,
        ..NOTHING
    };
    let rules = match depth {
        Depth::Quick => Rules { budget, ..PLAIN },
        Depth::Deep => Rules {
            budget,
            network_capacity: 3,
            ..PLAIN
        },
    };
    let variants = vec![Variant {
        name: "a change is proposed before the one before it is committed",
        rules: Rules {
            defect: Defect::ChangesAtOnce,
            ..rules
        },
    }];
    Scenario {
        name: "membership changes",
        rules,
        goal: is_sole_member,
        variants,
    }
}

/// Leaders of several terms leave entries behind that a later leader completes.
fn old_terms(depth: Depth) -> Scenario {
    let budget = Budget {
        campaigns: 4,
        ..NOTHING
    };
    let rules = match depth {
        Depth::Quick => Rules {
            budget,
            entries_per_message: 1,
            ..PLAIN
        },
        Depth::Deep => Rules {
            budget,
            entries_per_message: 1,
            network_capacity: 3,
            ..PLAIN
        },
    };
    let variants = vec![Variant {
        name: "entries of older terms are committed by counting replicas",
        rules: Rules {
            defect: Defect::CommitsOldTerms,
            ..rules
        },
    }];
    Scenario {
        name: "entries of older terms",
        rules,
        goal: has_committed_two_terms,
        variants,
    }
}

/// Replicas that restarted ask for an election, while others lead, are candidates or restart again.
fn restart_election(depth: Depth) -> Scenario {
    let budget = Budget {
        campaigns: 2,
        restart_requests: 2,
        restarts: 1,
        ..NOTHING
    };
    let two_restarts = Rules {
        budget: Budget {
            restarts: 2,
            ..budget
        },
        ..PLAIN
    };
    let rules = match depth {
        Depth::Quick => Rules { budget, ..PLAIN },
        Depth::Deep => two_restarts,
    };
    let with_defect = |defect| Rules { defect, ..rules };
    let variants = vec![
        Variant {
            name: "the statements of a quorum are enough",
            rules: with_defect(Defect::RestartElectionByQuorum),
        },
        Variant {
            name: "a candidate states that it is leaderless",
            rules: with_defect(Defect::CandidatesLeaderless),
        },
        Variant {
            name: "a replica states that it is leaderless in another term than its own",
            rules: Rules {
                defect: Defect::LeaderlessInAnyTerm,
                ..two_restarts
            },
        },
    ];
    Scenario {
        name: "elections after a restart",
        rules,
        goal: Peer::won_restart_election,
        variants,
    }
}

/// A leader removes itself, and leads on until the others have committed it.
fn restart_election_after_removal(depth: Depth) -> Scenario {
    let budget = Budget {
        campaigns: 1,
        restart_requests: 2,
        removals: 1,
        restarts: 1,
        ..NOTHING
    };
    let rules = match depth {
        Depth::Quick => Rules { budget, ..PLAIN },
        Depth::Deep => Rules {
            budget,
            network_capacity: 3,
            ..PLAIN
        },
    };
    let variants = vec![Variant {
        name: "the configuration may be uncommitted",
        rules: Rules {
            defect: Defect::RestartElectionUncommitted,
            ..rules
        },
    }];
    Scenario {
        name: "elections after a restart and a removal",
        rules,
        goal: Peer::won_restart_election,
        variants,
    }
}

fn has_committed_data(peer: &Peer) -> bool {
    let committed = (1..=peer.commit_index().0).filter_map(|index| peer.entry(index.into()));
    committed
        .into_iter()
        .any(|entry| matches!(entry.payload, EntryPayload::Data(_)))
}

fn is_readmitted_leader(peer: &Peer) -> bool {
    peer.is_leader() && peer.address().incarnation == 2
}

fn is_sole_member(peer: &Peer) -> bool {
    peer.is_established() && peer.configuration().len() == 1
}

fn has_committed_two_terms(peer: &Peer) -> bool {
    let first = peer.entry(1.into());
    peer.commit_index().0 >= 2 && first.is_some_and(|entry| entry.term < peer.term())
}
