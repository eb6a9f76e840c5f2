//! A node that was stopped has given its ports back.

mod support;

use support::fleet::{Fleet, FleetPlan};

/// Stops and starts in a row; enough of them to meet a listener that outlives its node now and then.
const RESTARTS: usize = 1000;

/// A node that was started again right after it had been stopped failed now and then, since its port was still
/// taken: the thread that accepts peers was asked to end, and nobody waited until it had.
#[test]
fn a_stopped_node_has_given_its_ports_back() {
    let mut fleet = Fleet::start(FleetPlan {
        controllers: 1,
        ..FleetPlan::default()
    });
    for _ in 0..RESTARTS {
        fleet.kill(1);
        fleet.restart(1);
    }
}
