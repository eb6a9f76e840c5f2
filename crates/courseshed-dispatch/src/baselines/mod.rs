//! What each policy kind is made of, so that baselines run through the same tables and systems.
//!
//! - First come, least load: one queue in order of arrival, each call to the engine with the fewest calls against its
//!   limit, as the "least outstanding requests" of common balancers.
//! - Prefix affinity: one queue in order of arrival, and cache-aware routing as SGLang's router does it (Zheng et al.,
//!   "SGLang: Efficient Execution of Structured Language Model Programs", NeurIPS 2024, and its router's defaults):
//!   the engine that caches at least half of the prompt, but the least loaded one when loads are out of balance.
//! - Per-call fair: the Virtual Token Counter (Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024):
//!   one queue a client, side by side; the client with the lowest counter goes first; a counter is charged for the
//!   whole prompt when a call starts and for its output as that becomes known; one that was idle is lifted to the
//!   others. Weighted by shares as in the paper's extension; a client is a leaf of the tree; blind to programs and
//!   caches. Engines are chosen by prefix affinity, which the paper leaves open.
//!
//! All kinds share the limits of engines, ejection, shedding, and the units of service. Tokens are weighed by the
//! configuration (1 and 4; the paper's examples use 1 and 2), so that services compare between kinds.

use crate::config::PolicyKind;

/// How branches share a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// One queue for all.
    Single,
    /// One queue a branch, side by side, weighed by the product of shares.
    Flat,
    /// The tree of branches.
    Tree,
}

/// How calls of one branch are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ordering {
    /// By acceptance.
    FirstCome,
    /// By the program's attained service, aim, worth, and age.
    Program,
}

/// How an engine is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The least loaded.
    LeastLoad,
    /// The one with the prefix if it has room and loads are in balance, else the least loaded.
    Affinity,
    /// Prefill saved against load and zone.
    Balanced,
}

/// What a call's branch is charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Charging {
    /// Prompt tokens not found in a cache, and the output expected, corrected to the output counted.
    Service,
    /// All prompt tokens when the call starts, and the output once it is counted.
    VirtualTokens,
}

/// The parts of a policy kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Strategy {
    pub(crate) sharing: Sharing,
    pub(crate) ordering: Ordering,
    pub(crate) choice: Choice,
    pub(crate) charging: Charging,
    /// Whether a call may wait a moment for the engine that holds its prefix.
    pub(crate) parks: bool,
    /// Whether prefixes of paused programs are held by leases.
    pub(crate) holds_prefixes: bool,
    /// Whether priorities overtake.
    pub(crate) honours_priority: bool,
}

impl Strategy {
    pub(crate) fn of(kind: PolicyKind) -> Strategy {
        let baseline = Strategy {
            sharing: Sharing::Single,
            ordering: Ordering::FirstCome,
            choice: Choice::LeastLoad,
            charging: Charging::Service,
            parks: false,
            holds_prefixes: false,
            honours_priority: false,
        };
        match kind {
            PolicyKind::Courseshed => Strategy {
                sharing: Sharing::Tree,
                ordering: Ordering::Program,
                choice: Choice::Balanced,
                charging: Charging::Service,
                parks: true,
                holds_prefixes: true,
                honours_priority: true,
            },
            PolicyKind::FirstComeLeastLoad => baseline,
            PolicyKind::PrefixAffinity => Strategy {
                choice: Choice::Affinity,
                ..baseline
            },
            PolicyKind::PerCallFair => Strategy {
                sharing: Sharing::Flat,
                choice: Choice::Affinity,
                charging: Charging::VirtualTokens,
                ..baseline
            },
        }
    }
}
