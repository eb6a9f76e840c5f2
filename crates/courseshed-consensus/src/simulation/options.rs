//! What a simulation runs: how long, and with which rule broken on purpose.

use std::time::Duration;

use crate::peer::Defect;

const DEFAULT_DURATION: Duration = Duration::from_secs(30);

/// Settings of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SimulationOptions {
    /// Virtual time during which faults come.
    pub duration: Duration,
    /// The protocol as it is, or broken on purpose.
    pub variant: Variant,
    /// Which faults come.
    pub scenario: Scenario,
}

/// Which faults come in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Faults of all kinds, of the network and of disks as well.
    Faults,
    /// Machines that are replaced or lost for a time, up to as many at one time as the group has to bear.
    Replacements,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            duration: DEFAULT_DURATION,
            variant: Variant::Faithful,
            scenario: Scenario::Faults,
        }
    }
}

/// The protocol as it is, or with one rule broken, which the simulation must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing is broken.
    Faithful,
    /// A disk says that writes are durable which a crash loses.
    AcknowledgesBeforeFlush,
    /// A replica that lost its memory comes back under its old incarnation.
    ReturnsUnderOldIncarnation,
    /// A leader answers reads from its state machine without a lease or a quorum.
    ReadsWithoutLease,
    /// Clocks run apart by far more than the lease allows for.
    ClocksBeyondBounds,
    /// A leader commits what it alone has.
    CommitsAlone,
    /// Votes are given to candidates that lack entries.
    IgnoresLogEnds,
    /// Votes and acknowledgements count whichever incarnation gave them.
    IgnoresIncarnations,
    /// An election after a restart needs the statements of a quorum instead of all voters.
    RestartElectionByQuorum,
    /// A machine that joins becomes a voter beside those that are silent.
    AddsBesideSilentVoters,
    /// A silent voter is removed although nobody takes its place.
    RemovesWithoutSuccessor,
}

impl Variant {
    /// The variants that must be caught by [`Scenario::Faults`].
    pub const BROKEN: [Self; 8] = [
        Self::AcknowledgesBeforeFlush,
        Self::ReturnsUnderOldIncarnation,
        Self::ReadsWithoutLease,
        Self::ClocksBeyondBounds,
        Self::CommitsAlone,
        Self::IgnoresLogEnds,
        Self::IgnoresIncarnations,
        Self::RestartElectionByQuorum,
    ];

    /// A name for people.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Faithful => "the protocol as it is",
            Self::AcknowledgesBeforeFlush => "a disk acknowledges before it has flushed",
            Self::ReturnsUnderOldIncarnation => {
                "a volatile replica returns as if it had forgotten nothing"
            }
            Self::ReadsWithoutLease => "a leader answers reads without a lease",
            Self::ClocksBeyondBounds => "clocks run apart by more than the lease allows",
            Self::CommitsAlone => "a leader commits without a quorum",
            Self::IgnoresLogEnds => "votes are given to candidates with shorter logs",
            Self::IgnoresIncarnations => "votes count whichever incarnation gave them",
            Self::RestartElectionByQuorum => "a quorum is enough for an election after a restart",
            Self::AddsBesideSilentVoters => "a machine that joins votes beside silent voters",
            Self::RemovesWithoutSuccessor => "a silent voter is removed without a successor",
        }
    }

    pub(super) fn defect(self) -> Defect {
        match self {
            Self::CommitsAlone => Defect::CommitsAlone,
            Self::IgnoresLogEnds => Defect::IgnoresLogEnds,
            Self::IgnoresIncarnations => Defect::IgnoresIncarnations,
            Self::RestartElectionByQuorum => Defect::RestartElectionByQuorum,
            Self::AddsBesideSilentVoters => Defect::AddsBesideSilentVoters,
            Self::RemovesWithoutSuccessor => Defect::RemovesWithoutSuccessor,
            _ => Defect::None,
        }
    }
}
