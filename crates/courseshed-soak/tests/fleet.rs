//! What a fleet's processes are started with, and what is told of one that ended by itself.

use std::os::unix::fs::symlink;
use std::path::Path;
use std::time::Duration;

use courseshed_soak::fleet::{
    EndedByItself, Fleet, FleetSize, KnownRegions, MachineLimits, NodeKnowledge,
};
use courseshed_soak::node::Role;
use tempfile::TempDir;

const KNOWLEDGE: NodeKnowledge = NodeKnowledge {
    regions: KnownRegions::None,
    shares_suspects: true,
    machine: MachineLimits {
        memory_bytes: None,
        descriptors: None,
    },
};
const PROGRAM: &str = env!("CARGO_BIN_EXE_courseshed-soak");
/// Ends at once with exit status 1, without a word.
const FAILING_PROGRAM: &str = "/bin/false";
/// Refuses the arguments of a node on its standard error.
const REFUSING_PROGRAM: &str = "/bin/ls";
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
const WITH_CONTROLLER: FleetSize = FleetSize {
    controllers: 1,
    ..ONE_GATEWAY
};

fn start(program: &str, folder: &Path, size: FleetSize) -> Fleet {
    let fleet = Fleet::start(Path::new(program), folder, size, KNOWLEDGE);
    fleet.expect("a fleet")
}

/// Starts processes again as they end, until one has ended by itself or the time is over.
fn tend_for(fleet: &mut Fleet, how_long: Duration) -> Option<EndedByItself> {
    let interval = Duration::from_millis(10);
    for _ in 0..how_long.as_millis() / interval.as_millis() {
        if let Some(ended) = fleet.tend().expect("processes start").pop() {
            return Some(ended);
        }
        std::thread::sleep(interval);
    }
    None
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

/// Guards against a killed process that starts again as another program, since a build replaced the file.
#[test]
fn killed_process_starts_again_with_the_program_of_its_fleet() {
    let folder = TempDir::new().expect("a folder");
    let program = folder.path().join("courseshed");
    symlink(PROGRAM, &program).expect("a link");
    let files = folder.path().join("fleet");
    std::fs::create_dir(&files).expect("a folder");
    let mut fleet = start(program.to_str().expect("a path"), &files, WITH_CONTROLLER);
    let gateway = fleet.members(Role::Gateway)[0];
    std::fs::remove_file(&program).expect("a link");
    symlink(FAILING_PROGRAM, &program).expect("a link");

    assert!(fleet.kill(gateway, Duration::ZERO));
    let ended = tend_for(&mut fleet, Duration::from_secs(2));
    assert!(ended.is_none(), "{ended:?}");
    assert!(fleet.is_whole());
}

/// Guards against a process that ends before it logs and leaves no reason in the report.
#[test]
fn process_that_ends_before_it_logs_is_reported_with_its_last_lines() {
    let folder = TempDir::new().expect("a folder");
    let mut fleet = start(REFUSING_PROGRAM, folder.path(), ONE_GATEWAY);
    let ended = tend_for(&mut fleet, Duration::from_secs(30)).expect("it ends by itself");
    assert!(ended.reason.contains("--role"), "{ended:?}");
}

#[test]
fn fleet_without_an_address_for_each_process_is_refused() {
    let folder = TempDir::new().expect("a folder");
    let size = FleetSize {
        gateways: 300,
        ..NONE
    };
    let started = Fleet::start(Path::new(FAILING_PROGRAM), folder.path(), size, KNOWLEDGE);
    let error = started.err().expect("too many processes").to_string();
    assert!(
        error.contains("find an address for each process"),
        "{error}"
    );
}
