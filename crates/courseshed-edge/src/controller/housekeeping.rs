//! Periodic work of the leader: removing silent servers and reassigning record replicas.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{CaughtUp, MapPlan, PlacementPolicy, plan_map};
use courseshed_registry::{Command, FleetState, Liveness, LivenessSettings, Retirement};
use courseshed_types::ZoneMap;

/// Interval of the periodic work.
pub(super) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(150);
/// Time without heartbeats after which a node may be replaced.
pub(super) const NODE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the number of stores must be stable before partitions get their first replicas, so that
/// stores which start together all receive a share. They register within 0.3 s of the election.
const PLACEMENT_DELAY: Duration = Duration::from_millis(500);

/// Simultaneous failures to tolerate, and the topology.
#[derive(Clone, Debug, Default)]
pub struct LossTerms {
    /// Number of disks.
    pub disks: usize,
    /// Number of whole zones.
    pub zones: usize,
    /// Number of whole regions.
    pub regions: usize,
    /// The region of each zone.
    pub zone_map: Arc<ZoneMap>,
}

/// The number of registered stores, and since when it has been unchanged.
#[derive(Clone, Copy, Debug)]
struct StoreCount {
    count: usize,
    since: Duration,
}

/// The leader's volatile state. A new leader starts without any.
pub(super) struct Housekeeper {
    pub liveness: Liveness,
    terms: LossTerms,
    caught_up: Vec<CaughtUp>,
    stores: StoreCount,
}

impl Housekeeper {
    pub(super) fn new(server_silence: Duration, terms: LossTerms, now: Duration) -> Self {
        let settings = LivenessSettings {
            server_silence,
            node_silence: NODE_TIMEOUT,
        };
        Self {
            liveness: Liveness::new(settings, now),
            terms,
            caught_up: Vec::new(),
            stores: StoreCount {
                count: 0,
                since: now,
            },
        }
    }

    pub(super) fn add_caught_up(&mut self, caught_up: Vec<CaughtUp>) {
        self.caught_up.extend(caught_up);
    }

    /// Returns the commands that are due.
    pub(super) fn due(&mut self, now: Duration, state: &FleetState) -> Vec<Command> {
        let mut commands = Vec::new();
        self.liveness.observe(now, state);
        let servers = self.liveness.silent_servers(now);
        if !servers.is_empty() {
            log::info!(event = "servers_expired", servers:? = servers; "removing servers without heartbeats");
            commands.push(Command::Expire { servers });
        }
        let caught_up = std::mem::take(&mut self.caught_up);
        let silent = self.liveness.silent_stores(now, state);
        let retiring = state.retiring();
        let allow_initial_placement = self.is_store_count_stable(now, state.stores().len());
        let restricted_regions = state.routing().map_or_else(Default::default, |routing| {
            routing.table.table.restricted_regions()
        });
        let plan = MapPlan {
            map: state.records(),
            stores: state.stores(),
            silent: &silent,
            retiring: &retiring,
            replication_factor: replicas_wanted(self.terms.disks),
            allow_initial_placement,
            spread: PlacementPolicy {
                zones: &self.terms.zone_map,
                tolerated_zone_failures: self.terms.zones,
                tolerated_region_failures: self.terms.regions,
                restricted_regions: &restricted_regions,
            },
        };
        let changes = plan_map(&plan, &caught_up);
        if !changes.is_empty() {
            let partitions: Vec<u8> = changes.iter().map(|change| change.partition.0).collect();
            log::info!(event = "record_views_planned", partitions:? = partitions, stores = state.stores().len(), silent = silent.len(), caught_up = caught_up.len(); "proposing new replicas for record partitions");
            commands.push(Command::ChangeRecordViews(changes));
        }
        commands.extend(self.completed_retirement(state));
        commands
    }

    /// Whether the number of stores has been stable for [`PLACEMENT_DELAY`].
    fn is_store_count_stable(&mut self, now: Duration, stores: usize) -> bool {
        if self.stores.count != stores {
            self.stores = StoreCount {
                count: stores,
                since: now,
            };
        }
        now.saturating_sub(self.stores.since) >= PLACEMENT_DELAY
    }

    /// Completes the retirement of a node that is no longer needed by any partition.
    fn completed_retirement(&self, state: &FleetState) -> Option<Command> {
        let records = state.records();
        let is_needed = |node| records.views().any(|(_, view)| view.needs(node));
        let done = state
            .retirements()
            .filter(|(_, retirement)| *retirement == Retirement::Running)
            .map(|(node, _)| node)
            .find(|node| !is_needed(*node))?;
        Some(Command::CompleteRetirement { node: done })
    }
}

/// Number of replicas of each record, so that a majority survives the loss of `disk_failures` disks.
#[must_use]
pub fn replicas_wanted(disk_failures: usize) -> usize {
    (2 * disk_failures + 1).max(3)
}
