//! Programs are spread over partitions, each with replicas and a view of its own.
//!
//! A partition is a whole group by itself: what holds for one view and its epochs holds for each
//! partition. So a store carries only the partitions that it is a replica of, and more stores share
//! the work of more programs.

use std::collections::BTreeMap;

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Location, Record, RecordMember, RecordReplica, RecordView};

/// How many partitions there are. Fixed, since a program must stay in its own. Five replicas each on
/// 36 stores make three or four for a store, so that the busiest has 1.2 times the mean; a view
/// takes some 300 bytes.
pub const PARTITION_COUNT: u8 = 24;

/// A partition that nothing is known of has no replicas.
static NO_VIEW: RecordView = RecordView {
    epoch: 0,
    members: Vec::new(),
    former: Vec::new(),
};

/// Names a partition.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PartitionId(pub u8);

impl PartitionId {
    /// All partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT).map(Self)
    }

    /// The partition of a program.
    #[must_use]
    pub fn of_program(program: &str) -> Self {
        let partition = xxh3_64(program.as_bytes()) % u64::from(PARTITION_COUNT);
        Self(u8::try_from(partition).expect("less than the count, which is a u8"))
    }
}

/// The next view of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewChange {
    /// The partition.
    pub partition: PartitionId,
    /// Its view.
    pub view: RecordView,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VersionedView {
    /// Revision of the map at which the view changed last.
    revision: u64,
    view: RecordView,
}

/// The views of all partitions. Each change makes a higher revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionMap {
    revision: u64,
    views: BTreeMap<PartitionId, VersionedView>,
}

impl PartitionMap {
    /// Grows with each change of a view.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The view of a partition; one without members before the first.
    #[must_use]
    pub fn view(&self, partition: PartitionId) -> &RecordView {
        let known = self.views.get(&partition);
        known.map_or(&NO_VIEW, |known| &known.view)
    }

    /// The partition of a program, unless its replicas are far and those of another one are near: then the
    /// near one that the program prefers. Few programs prefer another one when a view changes.
    #[must_use]
    pub fn home_of(&self, program: &str, is_near: impl Fn(&RecordView) -> bool) -> PartitionId {
        let usual = PartitionId::of_program(program);
        self.preferred(program, is_near).unwrap_or(usual)
    }

    /// Of the partitions whose view will do, the program's own or the one that it prefers; none if none will.
    #[must_use]
    pub fn preferred(
        &self,
        program: &str,
        will_do: impl Fn(&RecordView) -> bool,
    ) -> Option<PartitionId> {
        let usual = PartitionId::of_program(program);
        if will_do(self.view(usual)) {
            return Some(usual);
        }
        let others = self.views().filter(|(_, view)| will_do(view));
        let preference =
            |partition: &PartitionId| xxh3_64_with_seed(program.as_bytes(), u64::from(partition.0));
        others
            .map(|(partition, _)| partition)
            .max_by_key(preference)
    }

    /// All partitions with their views.
    pub fn views(&self) -> impl Iterator<Item = (PartitionId, &RecordView)> {
        PartitionId::all().map(|partition| (partition, self.view(partition)))
    }

    /// Whether every partition has replicas and all of them count.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.views().all(|(_, view)| view.is_whole())
    }

    /// Whether a machine is a replica of any partition.
    #[must_use]
    pub fn has_member(&self, node: NodeId) -> bool {
        self.views().any(|(_, view)| view.member(node).is_some())
    }

    /// Whether this very life of a machine's disk is a replica of any partition.
    #[must_use]
    pub fn has_disk(&self, node: NodeId, incarnation: u64) -> bool {
        let is_it = |member: &RecordMember| member.incarnation == incarnation;
        self.views()
            .any(|(_, view)| view.member(node).is_some_and(is_it))
    }

    /// How many partitions each machine is a replica of.
    #[must_use]
    pub fn replicas_by_node(&self) -> BTreeMap<NodeId, usize> {
        let mut replicas = BTreeMap::new();
        for (_, view) in self.views() {
            for member in &view.members {
                *replicas.entry(member.node).or_default() += 1;
            }
        }
        replicas
    }

    /// Puts a planned view in force, if it is the next one of its partition; false if it isn't.
    pub fn advance(&mut self, change: ViewChange) -> bool {
        if change.view.epoch != self.view(change.partition).epoch + 1 {
            return false;
        }
        self.revision += 1;
        self.insert(change);
        true
    }

    /// The views that changed after a revision.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Vec<ViewChange> {
        let newer = self
            .views
            .iter()
            .filter(|(_, known)| known.revision > revision);
        newer
            .map(|(partition, known)| ViewChange {
                partition: *partition,
                view: known.view.clone(),
            })
            .collect()
    }

    /// Takes in a view that another node tells of, unless a newer one is known; false if it is.
    pub fn learn(&mut self, change: ViewChange) -> bool {
        if change.view.epoch <= self.view(change.partition).epoch {
            return false;
        }
        self.insert(change);
        true
    }

    fn insert(&mut self, change: ViewChange) {
        let versioned = VersionedView {
            revision: self.revision,
            view: change.view,
        };
        self.views.insert(change.partition, versioned);
    }
}

/// A record of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// The partition.
    pub partition: PartitionId,
    /// The record.
    pub record: Record,
}

/// The tables of all partitions that a store has records of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionTables {
    replicas: BTreeMap<PartitionId, RecordReplica>,
}

impl PartitionTables {
    /// The tables of a partition; none if nothing of it is here.
    #[must_use]
    pub fn replica(&self, partition: PartitionId) -> Option<&RecordReplica> {
        self.replicas.get(&partition)
    }

    /// The tables of a partition, to be changed.
    pub fn replica_mut(&mut self, partition: PartitionId) -> &mut RecordReplica {
        self.replicas.entry(partition).or_default()
    }

    /// The newest epoch of a partition that this store has moved to.
    #[must_use]
    pub fn epoch(&self, partition: PartitionId) -> u64 {
        self.replica(partition).map_or(0, RecordReplica::epoch)
    }

    /// Programs and turns that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.values().map(RecordReplica::len).sum()
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a record in that stands at a place of the files, see [`RecordReplica::apply`].
    pub fn apply(&mut self, at_ms: u64, entry: &PartitionRecord, location: Location) {
        let replica = self.replica_mut(entry.partition);
        replica.apply(at_ms, &entry.record, location);
    }

    /// Drops what need not be kept at a time of day.
    pub fn expire(&mut self, now_ms: u64) {
        for replica in self.replicas.values_mut() {
            replica.expire(now_ms);
        }
    }

    /// All tables with their partitions.
    pub fn replicas(&self) -> impl Iterator<Item = (PartitionId, &RecordReplica)> {
        self.replicas
            .iter()
            .map(|(partition, replica)| (*partition, replica))
    }
}
