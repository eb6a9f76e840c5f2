//! What a fleet's processes are started with.

use std::path::Path;

use courseshed_soak::fleet::{Fleet, FleetSize, KnownRegions};
use tempfile::TempDir;

/// Ends at once with exit status 1, without a word.
const FAILING_PROGRAM: &str = "/bin/false";
/// Fleets that one process may start before it must use addresses again.
const MANY_FLEETS: usize = 260;

const NONE: FleetSize = FleetSize {
    gateways: 0,
    stores: 0,
    controllers: 0,
};
const ONE_GATEWAY: FleetSize = FleetSize {
    gateways: 1,
    ..NONE
};
fn start(program: &str, folder: &Path, size: FleetSize) -> Fleet {
    let fleet = Fleet::start(Path::new(program), folder, size, KnownRegions::None);
    fleet.expect("a fleet")
}

/// Guards against two fleets that share addresses: the processes of one can't listen, and calls reach the
/// other's.
#[test]
fn fleets_beside_each_other_have_different_addresses() {
    let folders = [(); 2].map(|()| TempDir::new().expect("a folder"));
    let first = start(FAILING_PROGRAM, folders[0].path(), ONE_GATEWAY);
    for _ in 0..MANY_FLEETS {
        let folder = TempDir::new().expect("a folder");
        let fleet = start(FAILING_PROGRAM, folder.path(), ONE_GATEWAY);
        assert_ne!(first.callers_address(0), fleet.callers_address(0));
    }
    let second = start(FAILING_PROGRAM, folders[1].path(), ONE_GATEWAY);
    assert_ne!(first.callers_address(0), second.callers_address(0));
}

#[test]
fn fleet_without_an_address_for_each_process_is_refused() {
    let folder = TempDir::new().expect("a folder");
    let size = FleetSize {
        gateways: 300,
        ..NONE
    };
    let started = Fleet::start(
        Path::new(FAILING_PROGRAM),
        folder.path(),
        size,
        KnownRegions::None,
    );
    let error = started.err().expect("too many processes").to_string();
    assert!(
        error.contains("find an address for each process"),
        "{error}"
    );
}
