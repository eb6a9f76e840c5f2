//! Controller recovery from disk faults.

mod support;

use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::DiskFault;
use courseshed_edge::controller::ControlError;
use courseshed_routing::{RoutingTable, VersionedTable};
use support::{Fleet, plain_route, wait_until};

const GRACE: Duration = Duration::from_secs(20);

fn table(version: u64) -> VersionedTable {
    VersionedTable {
        version,
        table: RoutingTable::default(),
    }
}

/// Guards against a replica that stays stopped after a disk fault while its controller keeps reporting its stale
/// state to gateways as current.
#[actix_rt::test]
async fn controller_rejoins_after_a_disk_fault() {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![plain_route()]).await;
    for fault in [DiskFault::Full, DiskFault::Torn] {
        fleet.disk_faults.set(fault);
        let refused = fleet
            .controller
            .replace_routing(table(5), Bytes::new())
            .await;
        assert_eq!(refused, Err(ControlError::OutcomeUnknown));
        assert!(!fleet.controller.is_up_to_date());
        fleet.disk_faults.set(DiskFault::None);
        wait_until(async || {
            let document = Bytes::from_static(b"five");
            let result = fleet.controller.replace_routing(table(5), document).await;
            result.is_ok()
        })
        .await;
        let current = fleet.controller.routing().await.expect("a table");
        assert_eq!(current.table.version, 5);
        assert!(fleet.controller.is_up_to_date());
    }
}
