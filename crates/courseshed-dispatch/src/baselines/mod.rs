//! What each policy kind is made of, so that baselines run through the same tables and systems.
//!
//! - first come, least load: the default of most balancers;
//! - prefix affinity: session-sticky routing;
//! - per-call fair: virtual token counters between tenants (Sheng et al., "Fairness in Serving Large Language
//!   Models", OSDI 2024), blind to programs.

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
    /// The one with the prefix if it has room, else the least loaded.
    Affinity,
    /// Prefill saved against load and zone.
    Balanced,
}

/// The parts of a policy kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Strategy {
    pub(crate) sharing: Sharing,
    pub(crate) ordering: Ordering,
    pub(crate) choice: Choice,
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
            parks: false,
            holds_prefixes: false,
            honours_priority: false,
        };
        match kind {
            PolicyKind::Courseshed => Strategy {
                sharing: Sharing::Tree,
                ordering: Ordering::Program,
                choice: Choice::Balanced,
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
                ..baseline
            },
        }
    }
}
