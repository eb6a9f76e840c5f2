//! Components of each policy kind. Baselines run through the same tables and systems as the default
//! policy.
//!
//! - First come, least load: one FIFO queue; each call goes to the engine with the lowest load
//!   relative to its limit, as in common "least outstanding requests" balancers.
//! - Prefix affinity: one FIFO queue with cache-aware routing as in SGLang's router (Zheng et al.,
//!   "SGLang: Efficient Execution of Structured Language Model Programs", NeurIPS 2024, with the
//!   router's defaults): the engine that caches at least half of the prompt, or the least loaded
//!   engine when loads are imbalanced.
//! - Per-call fair: the Virtual Token Counter (Sheng et al., "Fairness in Serving Large Language
//!   Models", OSDI 2024): one queue per client, lowest counter first. A counter is charged for the
//!   whole prompt when a call starts and for its output once reported; the counter of a client that
//!   was idle is lifted to those of the others. Clients are leaves of the branch tree, weighted by
//!   shares as in the paper's extension, regardless of programs and caches. Engines are chosen by
//!   prefix affinity, since the paper leaves routing open.
//!
//! All policies share engine limits, ejection, shedding and service units. Token weights come from
//! the configuration (1 and 4 by default; the paper's examples use 1 and 2), so that service is
//! comparable between policies.

use crate::config::PolicyKind;

/// How branches share a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// One queue for all calls.
    Single,
    /// One queue per leaf branch, weighted by the product of shares along its path.
    Flat,
    /// The hierarchy of branches.
    Tree,
}

/// How calls of one branch are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOrdering {
    /// By acceptance time.
    FirstCome,
    /// By the program's attained service, target completion time, value weight and age.
    Program,
}

/// How an engine is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineSelection {
    /// The least loaded engine.
    LeastLoad,
    /// The engine that caches the prefix if it has capacity and loads are balanced, else the least
    /// loaded.
    Affinity,
    /// The engine with the lowest cost in uncached prefill, load and zone distance.
    LowestCost,
}

/// What a call's branch is charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Charging {
    /// Uncached prompt tokens and expected output, corrected to the reported usage.
    Service,
    /// All prompt tokens when the call starts, and the output once it is reported.
    VirtualTokens,
}

/// The components of a policy kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Strategy {
    pub(crate) sharing: Sharing,
    pub(crate) ordering: CallOrdering,
    pub(crate) engine_selection: EngineSelection,
    pub(crate) charging: Charging,
    /// Whether a call may be parked for the engine that caches its prefix.
    pub(crate) parks_calls: bool,
    /// Whether prefixes of paused programs are leased.
    pub(crate) leases_prefixes: bool,
    /// Whether calls with a higher priority go first.
    pub(crate) honors_priority: bool,
}

impl Strategy {
    pub(crate) fn for_kind(kind: PolicyKind) -> Strategy {
        let baseline = Strategy {
            sharing: Sharing::Single,
            ordering: CallOrdering::FirstCome,
            engine_selection: EngineSelection::LeastLoad,
            charging: Charging::Service,
            parks_calls: false,
            leases_prefixes: false,
            honors_priority: false,
        };
        match kind {
            PolicyKind::Courseshed => Strategy {
                sharing: Sharing::Tree,
                ordering: CallOrdering::Program,
                engine_selection: EngineSelection::LowestCost,
                charging: Charging::Service,
                parks_calls: true,
                leases_prefixes: true,
                honors_priority: true,
            },
            PolicyKind::FirstComeLeastLoad => baseline,
            PolicyKind::PrefixAffinity => Strategy {
                engine_selection: EngineSelection::Affinity,
                ..baseline
            },
            PolicyKind::PerCallFair => Strategy {
                sharing: Sharing::Flat,
                engine_selection: EngineSelection::Affinity,
                charging: Charging::VirtualTokens,
                ..baseline
            },
        }
    }
}
