//! What branches wait for, get and waste in the pools of this node: for operators only, since branches are rivals.

use std::collections::BTreeMap;

use courseshed_dispatch::{BranchStats, DispatcherStats};
use courseshed_types::dispatch::PoolId;
use prometheus_client::{encoding::EncodeLabelSet, metrics::family::Family, registry::Registry};

use crate::metrics::WholeGauge;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BranchLabels {
    branch: String,
    model: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WasteLabels {
    branch: String,
    model: String,
    cause: &'static str,
}

/// Metrics with branch labels.
#[derive(Default)]
pub(super) struct BranchMetrics {
    waiting: Family<BranchLabels, WholeGauge>,
    served: Family<BranchLabels, WholeGauge>,
    leased: Family<BranchLabels, WholeGauge>,
    wasted: Family<WasteLabels, WholeGauge>,
}

impl BranchMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "branch_waiting_calls",
            "Calls waiting in the branch and below",
            self.waiting.clone(),
        );
        registry.register(
            "branch_served_units",
            "Service charged to the branch and below since the dispatcher started",
            self.served.clone(),
        );
        registry.register(
            "branch_leased_tokens",
            "Prefix tokens held by leases of the branch and below",
            self.leased.clone(),
        );
        registry.register(
            "branch_wasted_tokens",
            "Prefix tokens filled and not reused, by cause",
            self.wasted.clone(),
        );
    }

    /// Puts the pools' present figures in place of those before.
    pub(super) fn refresh(&self, pools: &BTreeMap<PoolId, DispatcherStats>) {
        self.waiting.clear();
        self.served.clear();
        self.leased.clear();
        self.wasted.clear();
        for (pool, stats) in pools {
            let whole = stats.branches.iter().filter(|branch| !branch.own_queue);
            whole.for_each(|branch| self.set(pool, branch));
        }
    }

    fn set(&self, pool: &PoolId, stats: &BranchStats) {
        let labels = BranchLabels {
            branch: stats.branch.to_string(),
            model: pool.model.to_string(),
        };
        self.waiting
            .get_or_create(&labels)
            .set(stats.waiting as i64);
        self.served.get_or_create(&labels).set(stats.served as i64);
        self.leased
            .get_or_create(&labels)
            .set(stats.leased_tokens as i64);
        let waste = stats.waste;
        let causes = [
            ("evicted", waste.evicted),
            ("abandoned", waste.abandoned),
            ("moved", waste.moved),
            ("engine_lost", waste.engine_lost),
        ];
        for (cause, tokens) in causes {
            let labels = WasteLabels {
                branch: labels.branch.clone(),
                model: labels.model.clone(),
                cause,
            };
            self.wasted.get_or_create(&labels).set(tokens as i64);
        }
    }
}
