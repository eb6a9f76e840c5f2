//! Changes of the members while others fail: none may stop the group for good.

mod support;

use std::time::Duration;

use courseshed_consensus::{ChangeError, MembershipChange, ReplicaId, VolatileLog};
use support::{Cluster, address, config, voters};

const ELECTION: Duration = Duration::from_secs(5);

fn cluster(size: u64) -> Cluster<VolatileLog> {
    let mut cluster = Cluster::empty();
    for id in 1..=size {
        cluster.start(config(address(id), voters(size)), VolatileLog);
    }
    cluster.run(ELECTION);
    cluster
}

fn others(cluster: &Cluster<VolatileLog>, leader: ReplicaId) -> Vec<ReplicaId> {
    let ids = cluster.groups.keys().copied();
    ids.filter(|id| *id != leader).collect()
}

#[test]
fn live_voter_is_not_removed_while_another_is_silent() {
    let mut cluster = cluster(3);
    let leader = cluster.leader().unwrap();
    let [silent, live] = others(&cluster, leader)[..] else {
        panic!("there are three replicas");
    };
    cluster.isolated.insert(silent);
    cluster.run(Duration::from_millis(1_500));
    let now = cluster.now;
    let group = cluster.group(leader);
    let refused = group.propose_membership(now, MembershipChange::Remove(live));
    let expected = ChangeError::InsufficientActiveVoters {
        alive: 1,
        needed: 2,
    };
    assert_eq!(refused, Err(expected));
    let removed = group.propose_membership(now, MembershipChange::Remove(silent));
    assert!(removed.is_ok(), "the silent one may go: {removed:?}");
    cluster.settle();
    cluster.propose(b"still going");
}

#[test]
fn leader_that_removed_itself_leads_again_when_only_it_has_the_log() {
    let mut cluster = cluster(4);
    let leader = cluster.leader().unwrap();
    let [lost, ..] = others(&cluster, leader)[..] else {
        panic!("there are four replicas");
    };
    // The removal is in the leader's log alone when it is cut off and loses its place.
    let now = cluster.now;
    let removal = MembershipChange::Remove(leader);
    cluster
        .group(leader)
        .propose_membership(now, removal)
        .unwrap();
    cluster.isolated.insert(leader);
    cluster.settle();
    cluster.run(Duration::from_millis(900));
    // Of the three others, which need each other to elect anyone, one is gone for good.
    cluster.groups.remove(&lost);
    cluster.run(ELECTION);
    assert_eq!(cluster.leader(), None);
    cluster.isolated.clear();
    cluster.run(ELECTION * 2);
    let new = cluster.leader().expect("the group serves again");
    let members = cluster.group(new).peer().configuration();
    assert!(members.member(leader).is_none(), "the removal is committed");
    cluster.propose(b"still going");
}

/// Whoever remembers reads by their name must not take an answer to a later one for an earlier one's.
#[test]
fn read_of_a_lost_leadership_lends_its_name_to_none() {
    let mut cluster = Cluster::empty();
    for id in 1..=3 {
        let mut config = config(address(id), voters(3));
        config.lease = false;
        cluster.start(config, VolatileLog);
    }
    cluster.run(ELECTION);
    let old = cluster.leader().unwrap();
    cluster.isolated.insert(old);
    let now = cluster.now;
    let lost = cluster.group(old).read_barrier(now).unwrap();
    cluster.run(ELECTION);
    cluster.isolated.clear();
    let new = cluster.leader().unwrap();
    let now = cluster.now;
    cluster.group(new).transfer_leadership(now, old).unwrap();
    cluster.run(ELECTION);
    assert_eq!(cluster.leader(), Some(old));
    let now = cluster.now;
    let next = cluster.group(old).read_barrier(now).unwrap();
    cluster.settle();
    assert_ne!(lost, next);
    let answered: Vec<_> = cluster.reads.iter().map(|read| read.id).collect();
    assert_eq!(answered, vec![next]);
}
