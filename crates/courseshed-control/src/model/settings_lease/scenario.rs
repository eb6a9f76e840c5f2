//! Scenarios to explore: duration, faults and injected defects.

use std::time::Duration;

/// Maximum number of each event in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Bounds {
    /// Elapsed seconds.
    pub seconds: u8,
    /// Changes submitted by operators, all against the initial version.
    pub changes: u8,
    /// Resubmissions of the first change.
    pub resends: u8,
    /// Queries whether the newest version is in force on all nodes.
    pub waits: u8,
    /// Leaders that lose their quorum and are replaced by the other controller.
    pub leader_changes: u8,
    /// Node restarts, from the initial or the last saved state.
    pub restarts: u8,
}

/// A configuration to explore.
#[derive(Debug, Clone)]
pub(super) struct Scenario {
    pub name: &'static str,
    /// Number of nodes besides the controllers; one of them is the relay of the others.
    pub nodes: u32,
    /// Lease duration in seconds.
    pub lease: u64,
    pub bounds: Bounds,
    pub defects: Vec<Defect>,
}

/// A defect injected to verify that the search detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Defect {
    None,
    ExpiredLeaseIgnored,
    SavedSettingsUsed,
    LeaderLeaseIgnored,
    LeaseFromReply,
    RelayGrantsFullLease,
    AcceptedWithoutQuorum,
    ChangeIdIgnored,
    WaitIgnoresLeases,
}

impl Defect {
    pub fn description(self) -> &'static str {
        match self {
            Defect::None => "no defect",
            Defect::ExpiredLeaseIgnored => "a node starts work after its lease expired",
            Defect::SavedSettingsUsed => "a starting node uses its saved settings without a lease",
            Defect::LeaderLeaseIgnored => {
                "a new leader does not wait for the previous leader's lease to expire"
            }
            Defect::LeaseFromReply => "a lease starts at the reply instead of the request",
            Defect::RelayGrantsFullLease => {
                "a relay grants a full lease instead of the remainder of its own"
            }
            Defect::AcceptedWithoutQuorum => {
                "a change is accepted before it is committed by a quorum"
            }
            Defect::ChangeIdIgnored => "a resent change is treated as a new change",
            Defect::WaitIgnoresLeases => "wait ignores unexpired leases of nodes that are down",
        }
    }
}

impl Scenario {
    /// Failure timeout of nodes; longer than the run unless `wait` is explored.
    pub fn down_after(&self) -> Duration {
        if self.bounds.waits > 0 {
            Duration::from_secs(1)
        } else {
            Duration::from_secs(1_000)
        }
    }

    /// Describes the bounds for the report.
    pub fn bounds(&self) -> String {
        let Bounds {
            seconds,
            changes,
            resends,
            waits,
            leader_changes,
            restarts,
        } = self.bounds;
        format!(
            "{} nodes, 2 controllers, leases of {} s, {seconds} s, {changes} changes, {resends} resends, {waits} \
             waits, {leader_changes} leader changes, {restarts} restarts; any delay and order of at most two messages \
             per node",
            self.nodes, self.lease,
        )
    }
}

/// All scenarios.
pub(super) fn all() -> Vec<Scenario> {
    vec![
        new_leader(),
        restarted_node(),
        relayed_node(),
        racing_operators(),
        waiting_operator(),
    ]
}

fn new_leader() -> Scenario {
    Scenario {
        name: "a partitioned leader replaced by another",
        nodes: 1,
        lease: 2,
        bounds: Bounds {
            seconds: 5,
            changes: 1,
            leader_changes: 1,
            ..Bounds::default()
        },
        defects: vec![
            Defect::ExpiredLeaseIgnored,
            Defect::LeaderLeaseIgnored,
            Defect::LeaseFromReply,
        ],
    }
}

fn restarted_node() -> Scenario {
    Scenario {
        name: "a node that restarts from outdated saved state",
        nodes: 1,
        lease: 2,
        bounds: Bounds {
            seconds: 4,
            changes: 1,
            restarts: 1,
            ..Bounds::default()
        },
        defects: vec![Defect::SavedSettingsUsed],
    }
}

fn relayed_node() -> Scenario {
    Scenario {
        name: "a node behind a relay",
        nodes: 2,
        lease: 2,
        bounds: Bounds {
            seconds: 3,
            changes: 1,
            ..Bounds::default()
        },
        defects: vec![Defect::RelayGrantsFullLease],
    }
}

fn racing_operators() -> Scenario {
    Scenario {
        name: "operators who submit concurrently and resend",
        nodes: 0,
        lease: 2,
        bounds: Bounds {
            changes: 2,
            resends: 2,
            leader_changes: 1,
            seconds: 2,
            ..Bounds::default()
        },
        defects: vec![Defect::AcceptedWithoutQuorum, Defect::ChangeIdIgnored],
    }
}

fn waiting_operator() -> Scenario {
    Scenario {
        name: "an operator who waits for a partitioned node",
        nodes: 1,
        lease: 3,
        bounds: Bounds {
            seconds: 3,
            changes: 1,
            waits: 1,
            ..Bounds::default()
        },
        defects: vec![Defect::WaitIgnoresLeases],
    }
}
