//! How many losses the group of controllers can still bear, as its leader sees it.

use std::sync::atomic::AtomicI64;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges of the leader; zero at the other controllers.
#[derive(Clone, Debug, Default)]
pub struct GroupHealthGauges {
    /// Voters.
    pub voters: Gauge<i64, AtomicI64>,
    /// Voters that have not answered for longer than it takes to replace them.
    pub silent_voters: Gauge<i64, AtomicI64>,
    /// Members without a vote, which have joined or lost their disk.
    pub waiting: Gauge<i64, AtomicI64>,
    /// Voters that may be lost in addition to the silent ones.
    pub tolerable_losses: Gauge<i64, AtomicI64>,
}

impl GroupHealthGauges {
    pub(super) fn register(&self, registry: &mut Registry) {
        let gauges = [
            (
                "controller_voters",
                "Voters of the controllers' log",
                &self.voters,
            ),
            (
                "controller_silent_voters",
                "Voters of the controllers' log that don't answer its leader",
                &self.silent_voters,
            ),
            (
                "controller_members_waiting",
                "Members of the controllers' log without a vote",
                &self.waiting,
            ),
            (
                "controller_tolerable_losses",
                "Voters of the controllers' log that may be lost in addition to the silent ones",
                &self.tolerable_losses,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}
