//! A controller whose disk fails, and comes back.

mod support;

use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::DiskFault;
use courseshed_edge::controller::ControlError;
use courseshed_routing::{RoutingTable, VersionedTable};
use support::{Fleet, plain_route, until};

const GRACE: Duration = Duration::from_secs(20);

fn table(version: u64) -> VersionedTable {
    VersionedTable {
        version,
        table: RoutingTable::default(),
    }
}

/// The replica stopped for good once its disk was full, and its controller went on telling gateways that
/// nothing was new.
#[actix_rt::test]
async fn a_controller_whose_disk_was_full_takes_part_again() {
    let fleet = Fleet::start(GRACE).await;
    fleet.route(vec![plain_route()]).await;
    for fault in [DiskFault::Full, DiskFault::Torn] {
        fleet.disk_faults.set(fault);
        let refused = fleet
            .controller
            .replace_routing(table(5), Bytes::new())
            .await;
        assert_eq!(refused, Err(ControlError::OutcomeUnknown));
        assert!(!fleet.controller.is_up_to_date());
        fleet.disk_faults.set(DiskFault::None);
        until(async || {
            let document = Bytes::from_static(b"five");
            let done = fleet.controller.replace_routing(table(5), document).await;
            done.is_ok()
        })
        .await;
        let held = fleet.controller.routing().await.expect("a table");
        assert_eq!(held.table.version, 5);
        assert!(fleet.controller.is_up_to_date());
    }
}
