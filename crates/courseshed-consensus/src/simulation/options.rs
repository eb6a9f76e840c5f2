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
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            duration: DEFAULT_DURATION,
            variant: Variant::Faithful,
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
}

impl Variant {
    /// All variants that must be caught.
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
        }
    }

    pub(super) fn defect(self) -> Defect {
        match self {
            Self::CommitsAlone => Defect::CommitsAlone,
            Self::IgnoresLogEnds => Defect::IgnoresLogEnds,
            Self::IgnoresIncarnations => Defect::IgnoresIncarnations,
            Self::RestartElectionByQuorum => Defect::RestartElectionByQuorum,
            _ => Defect::None,
        }
    }
}
