//! Which replicas of a partition are asked at once, and which only when those don't decide. Pure.
//!
//! Any quorum decides, so replicas in another region need not hear of what the near ones agree on: the
//! link between regions carries what only it can bring. What they were not told they lack like replicas
//! that were down, which quorums allow for.

use courseshed_records::{RecordMember, RecordView};
use courseshed_types::{Distance, ZoneMap};

/// The replicas of a partition in the order in which they are asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskOrder<'a> {
    /// Asked at once.
    pub first: Vec<&'a RecordMember>,
    /// Asked when the first have not decided after a while, or can't.
    pub later: Vec<&'a RecordMember>,
}

impl<'a> AskOrder<'a> {
    /// The order for a node in a zone: if the replicas of its region make a quorum, they come first.
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

    /// Whether a quorum is in the node's own region.
    #[must_use]
    pub fn is_local(&self, zones: &ZoneMap, own_zone: &str) -> bool {
        let mut first = self.first.iter();
        !self.first.is_empty()
            && first.all(|member| zones.distance(own_zone, &member.zone) != Distance::OtherRegion)
    }
}

/// Whom a joining replica in a zone reads from, in this order: what is read from another region takes the room of
/// all that crosses over, so those of the own region come first.
///
/// Replicas that have lost their place come last wherever they are: most lost it since they are silent, and each
/// is waited for in vain for two seconds, for each partition. They stood in the zone of whoever took the place,
/// so by distance alone they came first: after a loss of disks stores joined too late for programs to go on.
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
