//! What the leader does unasked: drops silent servers, and moves the records' replicas along.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{CaughtUp, MapPlan, Spread, plan_map};
use courseshed_registry::{Command, FleetState, Liveness, LivenessSettings, Retirement};
use courseshed_types::ZoneMap;

/// How often the leader looks.
pub(super) const INTERVAL: Duration = Duration::from_millis(150);
/// Silence after which another machine may take a machine's place.
pub(super) const NODE_SILENCE: Duration = Duration::from_secs(3);
/// How long no further store may have announced itself before partitions get their first replicas.
/// Stores that start together announce themselves within 0.3 s of the election, and each of them
/// is to get its part.
const FOUNDING_CALM: Duration = Duration::from_millis(500);

/// What may be lost at one time, and where machines stand.
#[derive(Clone, Debug, Default)]
pub struct LossTerms {
    /// Disks.
    pub disks: usize,
    /// Whole zones.
    pub zones: usize,
    /// Whole regions.
    pub regions: usize,
    /// The regions of zones.
    pub zone_map: Arc<ZoneMap>,
}

/// How many stores have announced themselves, and since when it is so many.
#[derive(Clone, Copy, Debug)]
struct KnownStores {
    count: usize,
    since: Duration,
}

/// The leader's soft state. A new leader starts with none.
pub(super) struct Housekeeper {
    pub liveness: Liveness,
    terms: LossTerms,
    caught_up: Vec<CaughtUp>,
    stores: KnownStores,
}

impl Housekeeper {
    pub(super) fn new(server_silence: Duration, terms: LossTerms, now: Duration) -> Self {
        let settings = LivenessSettings {
            server_silence,
            node_silence: NODE_SILENCE,
        };
        Self {
            liveness: Liveness::new(settings, now),
            terms,
            caught_up: Vec::new(),
            stores: KnownStores {
                count: 0,
                since: now,
            },
        }
    }

    pub(super) fn note_caught_up(&mut self, caught_up: Vec<CaughtUp>) {
        self.caught_up.extend(caught_up);
    }

    /// The commands that are due.
    pub(super) fn due(&mut self, now: Duration, state: &FleetState) -> Vec<Command> {
        let mut commands = Vec::new();
        self.liveness.observe(now, state);
        let servers = self.liveness.silent_servers(now);
        if !servers.is_empty() {
            log::info!(event = "servers_expired", servers:? = servers; "servers were silent for too long");
            commands.push(Command::Expire { servers });
        }
        let caught_up = std::mem::take(&mut self.caught_up);
        let silent = self.liveness.silent_stores(now, state);
        let retiring = state.retiring();
        let may_found = self.has_calmed(now, state.stores().len());
        let plan = MapPlan {
            map: state.records(),
            stores: state.stores(),
            silent: &silent,
            retiring: &retiring,
            wanted: replicas_wanted(self.terms.disks),
            may_found,
            spread: Spread {
                zones: &self.terms.zone_map,
                zones_borne: self.terms.zones,
                regions_borne: self.terms.regions,
                must_stay_home: state
                    .routing()
                    .is_some_and(|routing| routing.table.table.has_home_regions()),
            },
        };
        let changes = plan_map(&plan, &caught_up);
        if !changes.is_empty() {
            let partitions: Vec<u8> = changes.iter().map(|change| change.partition.0).collect();
            log::info!(event = "record_views_planned", partitions:? = partitions, stores = state.stores().len(), silent = silent.len(), caught_up = caught_up.len(); "the replicas of partitions of the records are to change");
            commands.push(Command::ChangeRecordViews(changes));
        }
        commands.extend(self.completed(state));
        commands
    }

    /// Whether no further store was heard of for a while.
    fn has_calmed(&mut self, now: Duration, stores: usize) -> bool {
        if self.stores.count != stores {
            self.stores = KnownStores {
                count: stores,
                since: now,
            };
        }
        now.saturating_sub(self.stores.since) >= FOUNDING_CALM
    }

    /// Machines to be emptied that hold nothing that counts any more.
    fn completed(&self, state: &FleetState) -> Option<Command> {
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

/// Replicas of each record: a majority is left when so many disks are lost.
#[must_use]
pub fn replicas_wanted(disks_borne: usize) -> usize {
    (2 * disks_borne + 1).max(3)
}
