//! Regional partitions, for turns that are restricted to a region in which no default partition is
//! guaranteed to stay. Pure.
//!
//! Where the loss of a whole region must be tolerated, the replicas of default partitions lie in
//! several regions. Turns that must not leave their region are then stored in additional partitions
//! whose replicas all lie there. They are not available while that region is lost.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::NodeId;

use crate::plan::{MapPlan, ViewPlan, count_added, plan_view};
use crate::{PARTITION_COUNT, PartitionId, RecordView, ViewChange};

/// Number of regional partitions of a region. Enough that each of some 15 stores hosts a replica.
pub const REGIONAL_PARTITIONS: u8 = 8;

/// The first views of the regional partitions that are missing.
pub(crate) fn plan_missing(
    plan: &MapPlan<'_>,
    replicas: &mut BTreeMap<NodeId, usize>,
) -> Vec<ViewChange> {
    let known = plan.spread.zones.regions();
    let mut used: BTreeSet<PartitionId> = plan.map.regional_views().map(|(id, _)| id).collect();
    let mut changes = Vec::new();
    let restricted = plan.spread.restricted_regions;
    for region in restricted.intersection(&known) {
        if has_default_partition(plan, region) {
            continue;
        }
        for _ in count(plan, region)..usize::from(REGIONAL_PARTITIONS) {
            let mut ids = (PARTITION_COUNT..=u8::MAX).map(PartitionId);
            let Some(partition) = ids.find(|id| !used.contains(id)) else {
                return changes;
            };
            let view = RecordView::default();
            let planned = plan_view(&ViewPlan {
                view: &view,
                stores: plan.stores,
                silent: plan.silent,
                retiring: plan.retiring,
                replication_factor: plan.replication_factor,
                replicas: &*replicas,
                home: Some(plan.spread.required_home(region)),
            });
            let Some(next) = planned else {
                break;
            };
            count_added(replicas, &view, &next);
            used.insert(partition);
            changes.push(ViewChange {
                partition,
                view: next,
            });
        }
    }
    changes
}

/// Whether any default partition is guaranteed to stay in a region, or will be once it is placed.
fn has_default_partition(plan: &MapPlan<'_>, region: &str) -> bool {
    plan.map.default_views().any(|(partition, view)| {
        let home = plan.spread.home_of_view(partition, view);
        home.is_some_and(|home| {
            home.is_required && home.region == region && home.contains_members_of(view)
        })
    })
}

/// Number of regional partitions of a region.
fn count(plan: &MapPlan<'_>, region: &str) -> usize {
    let views = plan.map.regional_views();
    let inside = views.filter(|(partition, view)| {
        let home = plan.spread.home_of_view(*partition, view);
        home.is_some_and(|home| home.region == region)
    });
    inside.count()
}
