//! The mechanisms that a gateway uses in its decisions. Each can be disabled, to measure its
//! effect.

use std::collections::BTreeSet;
use std::str::FromStr;

use snafu::Snafu;

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Server selection considers which prompt segments servers have cached.
    PromptCache,
    /// Stored turns record which server generated them.
    KeptTurnHints,
    /// Record stores report which servers have a program's prompts cached.
    ProgramHints,
    /// Gateways share their in-flight call counts.
    SharedLoads,
    /// Servers that are slower than usual cost more.
    ServerLatency,
    /// Servers that failed or were at capacity are backed off.
    ServerBackoff,
    /// Repeatable calls without a timely response are retried at another server.
    SilenceLimit,
    /// All gateways prefer the same server for the same prompt.
    SharedPreference,
    /// Servers of other zones cost more.
    OwnZone,
    /// The prefill rate of servers is estimated from samples.
    LearnedReading,
    /// One scheduler per pool assigns engines to the calls of all gateways.
    PoolScheduler,
    /// Gateways share call outcomes and avoid servers that fail far more calls than others.
    SharedOutcomes,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 12] = [
        Self::PromptCache,
        Self::KeptTurnHints,
        Self::ProgramHints,
        Self::SharedLoads,
        Self::ServerLatency,
        Self::ServerBackoff,
        Self::SilenceLimit,
        Self::SharedPreference,
        Self::OwnZone,
        Self::LearnedReading,
        Self::PoolScheduler,
        Self::SharedOutcomes,
    ];

    /// The name used in settings.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::PromptCache => "prompt-memory",
            Self::KeptTurnHints => "kept-turn-hints",
            Self::ProgramHints => "program-hints",
            Self::SharedLoads => "shared-loads",
            Self::ServerLatency => "server-pace",
            Self::ServerBackoff => "rests",
            Self::SilenceLimit => "silence-limit",
            Self::SharedPreference => "shared-preference",
            Self::OwnZone => "own-zone",
            Self::LearnedReading => "learned-reading",
            Self::PoolScheduler => "pool-scheduler",
            Self::SharedOutcomes => "shared-outcomes",
        }
    }
}

/// A name that matches no mechanism.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("unknown mechanism {name:?}; expected one of {}", Mechanism::ALL.map(Mechanism::as_str).join(", ")))]
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

/// The enabled mechanisms of a gateway; all by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    without: BTreeSet<Mechanism>,
}

impl Policy {
    /// A policy with all mechanisms except those given.
    #[must_use]
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self {
            without: mechanisms.into_iter().collect(),
        }
    }

    /// Whether a mechanism is enabled.
    #[must_use]
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }
}
