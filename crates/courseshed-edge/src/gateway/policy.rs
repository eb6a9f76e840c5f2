//! The mechanisms that a gateway decides by. Each can be switched off, to measure what it is worth.

use std::collections::BTreeSet;
use std::str::FromStr;

use snafu::Snafu;

/// One mechanism of a gateway's decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// What servers have read of a prompt counts when one is chosen.
    PromptMemory,
    /// A kept turn tells which server made it.
    KeptTurnHints,
    /// Stores tell which servers hold a program's prompts.
    ProgramHints,
    /// Gateways tell each other of their calls at servers.
    SharedLoads,
    /// Servers whose times are longer than usual cost more.
    ServerPace,
    /// Servers that failed or were full rest.
    Rests,
    /// Repeatable calls whose answer is lost go to another server.
    SilenceLimit,
    /// All gateways prefer the same server for the same prompt.
    SharedPreference,
    /// Servers of other zones cost more.
    OwnZone,
    /// How fast servers read is learned.
    LearnedReading,
    /// One scheduler chooses the engines of a pool for the calls of all gateways.
    PoolScheduler,
    /// Gateways tell each other of the calls that servers failed, and avoid those that fail far more.
    SharedOutcomes,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Self; 12] = [
        Self::PromptMemory,
        Self::KeptTurnHints,
        Self::ProgramHints,
        Self::SharedLoads,
        Self::ServerPace,
        Self::Rests,
        Self::SilenceLimit,
        Self::SharedPreference,
        Self::OwnZone,
        Self::LearnedReading,
        Self::PoolScheduler,
        Self::SharedOutcomes,
    ];

    /// Its name in settings.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::PromptMemory => "prompt-memory",
            Self::KeptTurnHints => "kept-turn-hints",
            Self::ProgramHints => "program-hints",
            Self::SharedLoads => "shared-loads",
            Self::ServerPace => "server-pace",
            Self::Rests => "rests",
            Self::SilenceLimit => "silence-limit",
            Self::SharedPreference => "shared-preference",
            Self::OwnZone => "own-zone",
            Self::LearnedReading => "learned-reading",
            Self::PoolScheduler => "pool-scheduler",
            Self::SharedOutcomes => "shared-outcomes",
        }
    }
}

/// A name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{name:?} is no mechanism; there are {}", Mechanism::ALL.map(Mechanism::as_str).join(", ")))]
pub struct UnknownMechanism {
    name: String,
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        let found = all.find(|mechanism| mechanism.as_str() == name);
        found.ok_or_else(|| UnknownMechanism {
            name: name.to_owned(),
        })
    }
}

/// Which mechanisms a gateway uses: all but those that were switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    without: BTreeSet<Mechanism>,
}

impl Policy {
    /// All mechanisms but these.
    #[must_use]
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self {
            without: mechanisms.into_iter().collect(),
        }
    }

    /// Whether a mechanism is used.
    #[must_use]
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }
}
