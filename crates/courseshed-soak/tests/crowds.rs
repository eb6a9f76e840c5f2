//! Crowds of clients that misbehave, at every listener: no process ends, each stays within the memory and
//! the descriptors of its machine, and ordinary callers are answered.
//!
//! The processes are configured for a small machine. The tests check what does not depend on the
//! machine's speed, and run one at a time.

mod support;

use std::time::Duration;

use courseshed_soak::fleet::MachineLimits;
use courseshed_soak::node::Role;
use support::crowd::{Crowd, Script};
use support::stand::{Stand, alone, call_in_pieces};
use yare::parameterized;

const MIB: usize = 1024 * 1024;
/// The largest body that the routing table of the soak allows.
const MAX_BODY: usize = 4 * MIB;
const PATH: &str = "/safe/x";
/// A machine on which a gateway of a debug build fits with pages of 64 KiB, and has some 60 MB for its
/// clients.
const MEMORY: u64 = 96_000_000;
const SMALL_MACHINE: MachineLimits = MachineLimits {
    memory_bytes: Some(MEMORY),
    descriptors: None,
};
const FEW_DESCRIPTORS: MachineLimits = MachineLimits {
    memory_bytes: Some(MEMORY),
    descriptors: Some(256),
};

fn block_on(test: impl Future<Output = ()>) {
    let _alone = alone();
    actix_rt::System::new().block_on(test);
}

#[parameterized(
    chunks_of_a_byte = { 100, Script::chunks(PATH, 1, 256 * 1024) },
    chunk_without_its_last_byte = { 400, Script::cut_chunk(PATH, MAX_BODY) },
    length_without_its_last_byte = { 600, Script::length(PATH, MAX_BODY, MAX_BODY - 1) },
    chunks_beyond_the_limit = { 150, Script::chunks(PATH, 64 * 1024, 256) },
    length_beyond_the_limit = { 150, Script::length(PATH, 100 * MIB, MIB) },
    length_that_is_never_sent = { 600, Script::length(PATH, MAX_BODY, 0) },
    length_that_drips = { 40, Script::dripping(PATH, MAX_BODY, MAX_BODY - 100) },
    small_bodies_that_stop = { 1500, Script::length(PATH, 32 * 1024, 32 * 1024 - 1) },
    head_without_an_end = { 1000, Script::endless_head(100_000) },
    requests_without_waiting = { 20, Script::pipeline(20_000) },
    trailer_without_an_end = { 200, Script::endless_trailer(PATH, 2 * MIB) },
    extension_without_an_end = { 200, Script::endless_extension(PATH, 2 * MIB) },
    no_route = { 150, Script::length("/nowhere/", MAX_BODY, MAX_BODY - 1) },
    idle_connections = { 2500, Script::silent().returning() },
)]
fn gateway_survives_a_crowd_with(clients: usize, script: Script) {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        let crowd = Crowd::start(stand.callers(), clients, &script);
        crowd.settle().await;
        stand.answer_a_call().await;
        stand.check(Role::Gateway);
    });
}

/// Guards against bodies that hold the memory for as long as a byte comes now and then.
#[test]
fn large_body_is_served_beside_bodies_that_drip() {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        let script = Script::dripping(PATH, MAX_BODY, MAX_BODY - 100).returning();
        let crowd = Crowd::start(stand.callers(), 40, &script);
        crowd.settle().await;
        stand.answer_a_call_of(MIB).await;
        stand.check(Role::Gateway);
    });
}

/// Guards against connections that use up the descriptors, so that no server can be reached.
#[parameterized(
    idle_connections = { Script::silent().returning() },
    bodies_that_stop = { Script::length(PATH, 1024, 1023).returning() },
    bodies_that_drip = { Script::dripping(PATH, 64 * 1024, 1024).returning() },
    second_heads_that_drip = { Script::dripping_head().returning() },
)]
fn gateway_keeps_descriptors_for_servers_beside(script: Script) {
    block_on(async {
        let mut stand = Stand::start(FEW_DESCRIPTORS).await;
        let crowd = Crowd::start(stand.callers(), 400, &script);
        crowd.settle().await;
        stand.answer_a_call().await;
        stand.check(Role::Gateway);
    });
}

#[parameterized(
    requests_without_waiting = { 100, Script::pipeline(20_000) },
    length_without_its_last_byte = { 150, Script::length(PATH, MAX_BODY, MAX_BODY - 1) },
    head_without_an_end = { 1000, Script::endless_head(100_000) },
    idle_connections = { 2500, Script::silent().returning() },
)]
fn readiness_listener_survives_a_crowd_with(clients: usize, script: Script) {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        let crowd = Crowd::start(stand.readiness(), clients, &script);
        crowd.settle().await;
        stand.see_readiness().await;
        stand.answer_a_call().await;
        stand.check(Role::Gateway);
    });
}

#[parameterized(
    chunks_of_a_byte = { 100, Script::chunks("/routing", 1, 256 * 1024) },
    chunk_without_its_last_byte = { 150, Script::cut_chunk("/routing", MIB) },
    length_without_its_last_byte = { 150, Script::length("/routing", MIB, MIB - 1) },
    requests_without_waiting = { 100, Script::pipeline(20_000) },
    head_without_an_end = { 1000, Script::endless_head(100_000) },
    idle_connections = { 2500, Script::silent().returning() },
)]
fn controller_survives_a_crowd_with(clients: usize, script: Script) {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        let crowd = Crowd::start(stand.controllers(), clients, &script);
        crowd.settle().await;
        stand.carry_out_an_order().await;
        stand.check(Role::Controller);
    });
}

#[parameterized(
    frames_of_the_gateway = { Role::Gateway, Script::cut_frame(0x0070_7070, 6 * MIB) },
    frames_of_the_controller = { Role::Controller, Script::cut_frame(0x0070_7070, 6 * MIB) },
)]
fn listener_for_peers_survives_a_crowd_with(role: Role, script: Script) {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        let crowd = Crowd::start(stand.peers(role), 60, &script);
        crowd.settle().await;
        stand.carry_out_an_order().await;
        stand.answer_a_call().await;
        stand.check(role);
    });
}

#[test]
fn gateway_survives_two_crowds_at_once() {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        let scripts = [
            Script::chunks(PATH, 1, 128 * 1024),
            Script::length(PATH, MAX_BODY, MAX_BODY - 1),
        ];
        let crowds = scripts.map(|script| Crowd::start(stand.callers(), 75, &script));
        for crowd in &crowds {
            crowd.settle().await;
        }
        stand.answer_a_call().await;
        stand.check(Role::Gateway);
    });
}

/// Guards against memory that each crowd leaves behind.
#[test]
fn gateway_survives_one_crowd_after_another() {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        for round in 0..6 {
            let script = match round % 3 {
                0 => Script::length(PATH, MAX_BODY, MAX_BODY - 1),
                1 => Script::chunks(PATH, 1, 32 * 1024),
                _ => Script::pipeline(4_000),
            };
            let crowd = Crowd::start(stand.callers(), 60, &script);
            crowd.settle().await;
            drop(crowd);
            stand.answer_a_call().await;
            stand.check(Role::Gateway);
        }
    });
}

/// Guards against a planned stop that waits for clients which never end their bodies.
#[test]
fn gateway_ends_within_its_grace_beside_a_crowd() {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        let script = Script::dripping(PATH, 64 * 1024, 60 * 1024);
        let crowd = Crowd::start(stand.callers(), 100, &script);
        crowd.settle().await;
        stand.stop_gateway();
        stand.wait_until_gateway_ended().await;
    });
}

/// Guards against bodies that arrive all at once when a gateway that stood still goes on.
#[test]
fn gateway_that_stood_still_survives_a_crowd() {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        stand.set_paused(true);
        let script = Script::length(PATH, MAX_BODY, MAX_BODY - 1);
        let crowd = Crowd::start(stand.callers(), 300, &script);
        crowd.settle().await;
        stand.set_paused(false);
        crowd.settle().await;
        stand.answer_a_call().await;
        stand.check(Role::Gateway);
    });
}

/// An honest client at the limits is served: the largest body, in one piece, and slowly.
#[test]
fn largest_body_is_served_in_one_piece() {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        stand.answer_a_call_of(MAX_BODY).await;
        stand.check(Role::Gateway);
    });
}

/// The largest body in chunks of a byte, and one that takes most of the route's time.
#[parameterized(
    chunks_of_a_byte = { MAX_BODY, 1, Duration::ZERO },
    slowly = { 64 * 1024, 1024, Duration::from_millis(50) },
)]
fn honest_body_is_served_in_pieces(body_bytes: usize, piece_bytes: usize, pause: Duration) {
    block_on(async {
        let mut stand = Stand::start(SMALL_MACHINE).await;
        let status = call_in_pieces(stand.callers(), body_bytes, piece_bytes, pause).await;
        assert_eq!(status, Some(200));
        stand.check(Role::Gateway);
    });
}
