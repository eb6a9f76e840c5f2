//! The order in which the replicas of a partition are queried. Pure.
//!
//! If the local region holds a quorum, its replicas are queried first, and those of other regions only if
//! these do not decide. This saves bandwidth between regions; replicas that miss a write are tolerated
//! like replicas that were down.

use courseshed_records::{RecordMember, RecordView};
use courseshed_types::{Distance, ZoneMap};

/// The replicas of a partition in query order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryOrder<'a> {
    /// Queried immediately.
    pub first: Vec<&'a RecordMember>,
    /// Queried if the first do not decide within a timeout, or at all.
    pub later: Vec<&'a RecordMember>,
}

impl<'a> QueryOrder<'a> {
    /// The query order for a node in `own_zone`.
    #[must_use]
    pub fn new(view: &'a RecordView, zones: &ZoneMap, own_zone: &str) -> Self {
        let is_near = |member: &&RecordMember| {
            zones.distance(own_zone, &member.zone) != Distance::OtherRegion
        };
        let (near, far): (Vec<_>, Vec<_>) = view.members.iter().partition(is_near);
        let counted = near.iter().filter(|member| member.active).count();
        if counted >= view.quorum() {
            return Self {
                first: near,
                later: far,
            };
        }
        Self {
            first: near.into_iter().chain(far).collect(),
            later: Vec::new(),
        }
    }

    /// Whether the node's own region holds a quorum.
    #[must_use]
    pub fn is_local(&self, zones: &ZoneMap, own_zone: &str) -> bool {
        let mut first = self.first.iter();
        !self.first.is_empty()
            && first.all(|member| zones.distance(own_zone, &member.zone) != Distance::OtherRegion)
    }
}

/// The order in which a joining replica in `own_zone` reads from other replicas: those of its own region first, to
/// save bandwidth between regions.
///
/// Former replicas come last regardless of distance. Most were replaced because they stopped responding, and each
/// costs a timeout per partition.
#[must_use]
pub fn order_of_sources<'a>(
    view: &'a RecordView,
    zones: &ZoneMap,
    own_zone: &str,
) -> Vec<&'a RecordMember> {
    let is_far =
        |member: &&RecordMember| zones.distance(own_zone, &member.zone) == Distance::OtherRegion;
    let mut active: Vec<&RecordMember> = view.active().collect();
    active.sort_by_key(is_far);
    let mut former: Vec<&RecordMember> = view.former.iter().collect();
    former.sort_by_key(is_far);
    active.into_iter().chain(former).collect()
}
