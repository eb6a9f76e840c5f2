//! `courseshed timeline` on the log lines of a real fleet whose processes were all killed at once. Guards
//! against a milestone whose log line is missing, renamed or in another form than the reader expects.

use std::path::{Path, PathBuf};
use std::time::Duration;

use courseshed_soak::faults::{Fault, FaultKind};
use courseshed_soak::fleet::FleetSize;
use courseshed_soak::run::{SoakOptions, run};
use serde_json::Value;
use tempfile::TempDir;

const GATEWAYS: usize = 2;
const STORES: usize = 3;
const CONTROLLERS: usize = 3;

fn logs(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).expect("a folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let logs = paths.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
    logs.map(|path| path.display().to_string()).collect()
}

#[test]
fn the_lines_of_a_killed_fleet_tell_each_milestone() {
    let folder = TempDir::new().expect("a folder");
    let options = SoakOptions {
        seed: 1,
        how_long: Duration::ZERO,
        faults: Some(vec![Fault {
            at: Duration::from_secs(4),
            kind: FaultKind::KillFleet {
                away: Duration::from_secs(2),
            },
        }]),
        has_regions: false,
        limits_warm_up: false,
        has_releases: false,
        varies_framing: false,
        has_lethal_requests: false,
        has_silent_servers: false,
        long_conversations: 0,
        broken: None,
        size: FleetSize {
            gateways: GATEWAYS,
            stores: STORES,
            controllers: CONTROLLERS,
        },
        servers: 4,
        callers: 6,
        program: PathBuf::from(env!("CARGO_BIN_EXE_courseshed-soak")),
        folder: folder.path().to_owned(),
    };
    let system = actix_rt::System::new();
    let tally = system.block_on(run(options)).expect("the fleet runs");
    assert!(tally.violations.is_empty(), "{tally:?}");

    let mut arguments = vec![
        "timeline".to_owned(),
        "--output".to_owned(),
        "json".to_owned(),
    ];
    arguments.extend(logs(folder.path()));
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let told = courseshed_cli::run(&arguments, &mut out, &mut err);
    assert_eq!(system.block_on(told), courseshed_cli::Exit::Done);
    let timeline: Value = serde_json::from_slice(&out).expect("JSON");
    assert_eq!(timeline["invalid_lines"], 0, "{timeline:#}");
    let restarts = timeline["restarts"].as_array().expect("restarts");
    assert_eq!(restarts.len(), 2, "{timeline:#}");
    let restart = &restarts[1];
    assert!(
        restart["usual_answers_per_s"].as_f64() > Some(0.0),
        "{restart:#}"
    );
    let reached = |name: &str| {
        let milestones = restart["milestones"].as_array().expect("milestones");
        let mut milestones = milestones.iter();
        let found = milestones.find(|milestone| milestone["milestone"] == name);
        let found = found.unwrap_or_else(|| panic!("no milestone {name}"));
        found["reached"].as_u64().expect("a number") as usize
    };
    assert_eq!(reached("processes up"), CONTROLLERS + STORES + GATEWAYS);
    assert_eq!(reached("stores open"), STORES, "{restart:#}");
    assert_eq!(reached("controllers open"), CONTROLLERS, "{restart:#}");
    assert_eq!(
        reached("routing table at gateways"),
        GATEWAYS,
        "{restart:#}"
    );
    for name in [
        "leader elected",
        "owner of permits",
        "partitions with a quorum",
        "first call sent",
        "first answer",
    ] {
        assert!(reached(name) > 0, "{name}: {restart:#}");
    }
}
