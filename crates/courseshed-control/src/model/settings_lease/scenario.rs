//! What is explored: how long, which faults, and the rules broken on purpose.

use std::time::Duration;

/// How often each thing may happen in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Bounds {
    /// Seconds that pass.
    pub seconds: u8,
    /// Changes that operators make, all against the version at the start.
    pub changes: u8,
    /// Changes sent a second time.
    pub resends: u8,
    /// Questions whether the newest version is in force everywhere.
    pub waits: u8,
    /// Leaders that lose their quorum and are followed by the other controller.
    pub leader_changes: u8,
    /// Nodes that restart, from what they saved at the start or last.
    pub restarts: u8,
}

/// One world to explore.
#[derive(Debug, Clone)]
pub(super) struct Scenario {
    pub name: &'static str,
    /// Nodes besides the controllers; one of them relays for the others.
    pub nodes: u32,
    /// How long nodes may rely on settings, seconds.
    pub lease: u64,
    pub bounds: Bounds,
    pub defects: Vec<Defect>,
}

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Defect {
    None,
    ExpiredLeaseIgnored,
    SavedSettingsServed,
    LeaderLeaseIgnored,
    LeaseFromAnswer,
    RelayLeaseInFull,
    AcceptedWithoutQuorum,
    ChangeIdForgotten,
    WaitForgetsLeases,
}

impl Defect {
    pub fn describe(self) -> &'static str {
        match self {
            Defect::None => "nothing",
            Defect::ExpiredLeaseIgnored => "a node goes on after its lease ran out",
            Defect::SavedSettingsServed => "a node that starts acts on what it saved",
            Defect::LeaderLeaseIgnored => "a new leader does not wait for the old one's lease",
            Defect::LeaseFromAnswer => "a lease counts from the answer instead of the question",
            Defect::RelayLeaseInFull => "a relay hands on a whole lease instead of what is left",
            Defect::AcceptedWithoutQuorum => "a change is accepted before a quorum has it",
            Defect::ChangeIdForgotten => "a change sent again counts as another one",
            Defect::WaitForgetsLeases => "wait leaves nodes out as soon as they are down",
        }
    }
}

impl Scenario {
    /// Silence after which a node is down: beyond the run, unless `wait` is explored.
    pub fn down_after(&self) -> Duration {
        if self.bounds.waits > 0 {
            Duration::from_secs(1)
        } else {
            Duration::from_secs(1_000)
        }
    }

    /// The bounds, for people.
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
             of a node",
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
        name: "a leader cut off and followed by another",
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
            Defect::LeaseFromAnswer,
        ],
    }
}

fn restarted_node() -> Scenario {
    Scenario {
        name: "a node that restarts from an old file",
        nodes: 1,
        lease: 2,
        bounds: Bounds {
            seconds: 4,
            changes: 1,
            restarts: 1,
            ..Bounds::default()
        },
        defects: vec![Defect::SavedSettingsServed],
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
        defects: vec![Defect::RelayLeaseInFull],
    }
}

fn racing_operators() -> Scenario {
    Scenario {
        name: "operators who race and send again",
        nodes: 0,
        lease: 2,
        bounds: Bounds {
            changes: 2,
            resends: 2,
            leader_changes: 1,
            seconds: 2,
            ..Bounds::default()
        },
        defects: vec![Defect::AcceptedWithoutQuorum, Defect::ChangeIdForgotten],
    }
}

fn waiting_operator() -> Scenario {
    Scenario {
        name: "an operator who waits for a node that is cut off",
        nodes: 1,
        lease: 3,
        bounds: Bounds {
            seconds: 3,
            changes: 1,
            waits: 1,
            ..Bounds::default()
        },
        defects: vec![Defect::WaitForgetsLeases],
    }
}
