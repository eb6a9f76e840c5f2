//! Machines of the controllers that are replaced, and disks that are lost afterwards.

mod support;

use std::time::Duration;

use support::controllers::ControllerGroup;
use tokio::time::sleep;

/// The shortest time for which a replaced machine counts as lost after the start of its successor.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time from the loss of a machine to the start of its successor.
const SOON: Duration = Duration::from_millis(300);
/// Time for which machines are away that lose their disks.
const AWAY: Duration = Duration::from_millis(1_500);
/// Limit for reading back what was acknowledged.
const RECOVERY: Duration = Duration::from_secs(15);

async fn replace(group: &mut ControllerGroup, machine: usize) {
    group.stop(machine);
    sleep(SOON).await;
    group.start_successor(machine);
}

/// Two machines lose their disks right after an acknowledgement, as many as five are to bear.
async fn lose_two_disks_of_five(group: &mut ControllerGroup) {
    group.publish(2).await;
    let leader = group.leader().await;
    let lost = [leader, (leader + 1) % 5];
    for machine in lost {
        group.stop(machine);
    }
    sleep(AWAY).await;
    for machine in lost {
        group.start_without_disk(machine);
    }
    let version = group.confirmed_version(RECOVERY).await;
    assert_eq!(version, Some(2), "the acknowledged table is read back");
    group.publish(3).await;
}

/// Guards against a group that keeps the dead voter beside its successor, so that the next two lost disks leave it
/// without a quorum for good.
#[actix_rt::test]
async fn two_disks_are_lost_after_a_machine_was_replaced() {
    let mut group = ControllerGroup::start(5).await;
    let follower = (group.leader().await + 1) % 5;
    replace(&mut group, follower).await;
    sleep(CATCH_UP).await;
    lose_two_disks_of_five(&mut group).await;
}

/// Guards against the same where the replaced machine led, so that the new leader has to find out who is silent.
#[actix_rt::test]
async fn two_disks_are_lost_after_the_leader_was_replaced() {
    let mut group = ControllerGroup::start(5).await;
    let leader = group.leader().await;
    replace(&mut group, leader).await;
    sleep(CATCH_UP).await;
    lose_two_disks_of_five(&mut group).await;
}

/// Guards against a group of which only one of several dead voters gives way.
#[actix_rt::test]
async fn two_disks_are_lost_after_two_machines_were_replaced() {
    let mut group = ControllerGroup::start(5).await;
    let leader = group.leader().await;
    replace(&mut group, (leader + 1) % 5).await;
    replace(&mut group, (leader + 2) % 5).await;
    sleep(CATCH_UP).await;
    lose_two_disks_of_five(&mut group).await;
}

/// Guards against a successor that is lost while it joins and keeps the place that the second successor needs.
#[actix_rt::test]
async fn two_disks_are_lost_after_a_successor_was_replaced_too() {
    let mut group = ControllerGroup::start(5).await;
    let follower = (group.leader().await + 1) % 5;
    replace(&mut group, follower).await;
    replace(&mut group, follower).await;
    sleep(CATCH_UP).await;
    lose_two_disks_of_five(&mut group).await;
}
