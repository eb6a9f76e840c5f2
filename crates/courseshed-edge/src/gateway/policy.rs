//! The mechanisms that a gateway uses in its decisions. Each can be disabled, to measure its
//! effect; some are disabled unless asked for.

use std::collections::BTreeSet;
use std::str::FromStr;

use snafu::Snafu;

/// A mechanism that can be enabled or disabled.
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
    /// Gateways share the requests under which servers ended.
    SharedSuspects,
    /// New programs are refused while servers are short of capacity. Disabled by default.
    Admission,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 14] = [
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
        Self::SharedSuspects,
        Self::Admission,
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
            Self::SharedSuspects => "shared-suspects",
            Self::Admission => "admission",
        }
    }

    /// Whether the mechanism is enabled unless it is disabled.
    fn is_default(self) -> bool {
        self != Self::Admission
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

/// The enabled mechanisms of a gateway; by default all but [`Mechanism::Admission`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    without: BTreeSet<Mechanism>,
    with: BTreeSet<Mechanism>,
}

impl Policy {
    /// The default policy without the mechanisms given.
    #[must_use]
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self {
            without: mechanisms.into_iter().collect(),
            with: BTreeSet::new(),
        }
    }

    /// The policy with mechanisms enabled that are disabled by default.
    #[must_use]
    pub fn with(mut self, mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        self.with.extend(mechanisms);
        self
    }

    /// Whether a mechanism is enabled.
    #[must_use]
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        let is_enabled = mechanism.is_default() || self.with.contains(&mechanism);
        is_enabled && !self.without.contains(&mechanism)
    }
}
