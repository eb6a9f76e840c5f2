//! Membership changes during member failures: none may make the group permanently unavailable.

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
fn active_voter_is_not_removed_while_another_is_unreachable() {
    let mut cluster = cluster(3);
    let leader = cluster.leader().unwrap();
    let [unreachable, active] = others(&cluster, leader)[..] else {
        panic!("there are three replicas");
    };
    cluster.isolated.insert(unreachable);
    cluster.run(Duration::from_millis(1_500));
    let now = cluster.now;
    let group = cluster.group(leader);
    let rejected = group.propose_membership(now, MembershipChange::Remove(active));
    let expected = ChangeError::InsufficientActiveVoters {
        active: 1,
        required: 2,
    };
    assert_eq!(rejected, Err(expected));
    let removed = group.propose_membership(now, MembershipChange::Remove(unreachable));
    assert!(
        removed.is_ok(),
        "the unreachable voter can be removed: {removed:?}"
    );
    cluster.settle();
    cluster.propose(b"still going");
}

#[test]
fn self_removed_leader_is_reelected_when_only_its_log_is_complete() {
    let mut cluster = cluster(4);
    let leader = cluster.leader().unwrap();
    let [lost, ..] = others(&cluster, leader)[..] else {
        panic!("there are four replicas");
    };
    // Isolate the leader while its removal is only in its own log, until it steps down.
    let now = cluster.now;
    let removal = MembershipChange::Remove(leader);
    cluster
        .group(leader)
        .propose_membership(now, removal)
        .unwrap();
    cluster.isolated.insert(leader);
    cluster.settle();
    cluster.run(Duration::from_millis(900));
    // Without one of the three others, the remaining two have no quorum.
    cluster.groups.remove(&lost);
    cluster.run(ELECTION);
    assert_eq!(cluster.leader(), None);
    cluster.isolated.clear();
    cluster.run(ELECTION * 2);
    let new_leader = cluster.leader().expect("a leader is elected again");
    let members = cluster.group(new_leader).peer().configuration();
    assert!(members.member(leader).is_none(), "the removal is committed");
    cluster.propose(b"still going");
}

/// Guards against matching a read response to an abandoned read of an earlier term.
#[test]
fn read_ids_are_not_reused_after_losing_leadership() {
    let mut cluster = Cluster::empty();
    for id in 1..=3 {
        let mut config = config(address(id), voters(3));
        config.lease = false;
        cluster.start(config, VolatileLog);
    }
    cluster.run(ELECTION);
    let old_leader = cluster.leader().unwrap();
    cluster.isolated.insert(old_leader);
    let now = cluster.now;
    let lost = cluster.group(old_leader).read_barrier(now).unwrap();
    cluster.run(ELECTION);
    cluster.isolated.clear();
    let new_leader = cluster.leader().unwrap();
    let now = cluster.now;
    cluster
        .group(new_leader)
        .transfer_leadership(now, old_leader)
        .unwrap();
    cluster.run(ELECTION);
    assert_eq!(cluster.leader(), Some(old_leader));
    let now = cluster.now;
    let next = cluster.group(old_leader).read_barrier(now).unwrap();
    cluster.settle();
    assert_ne!(lost, next);
    let answered: Vec<_> = cluster.reads.iter().map(|read| read.id).collect();
    assert_eq!(answered, vec![next]);
}
