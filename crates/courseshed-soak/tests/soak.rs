//! A short soak of real processes. Long ones are run by hand, see `docs/operations/failure-drills.md`.

use std::path::PathBuf;
use std::time::Duration;

use courseshed_soak::fleet::FleetSize;
use courseshed_soak::run::{SoakOptions, run, warnings};
use tempfile::TempDir;
use yare::parameterized;

/// Enough for a dozen faults that overlap, with a planned stop from its begin to its end.
const HOW_LONG: Duration = Duration::from_secs(8);

#[parameterized(
    first = { 1 },
    second = { 2 },
)]
fn promises_hold_under_faults(seed: u64) {
    let folder = TempDir::new().expect("a folder");
    let options = SoakOptions {
        seed,
        how_long: HOW_LONG,
        size: FleetSize {
            gateways: 2,
            stores: 3,
            controllers: 3,
        },
        servers: 2,
        callers: 6,
        program: PathBuf::from(env!("CARGO_BIN_EXE_courseshed-soak")),
        folder: folder.path().to_owned(),
    };
    let tally = actix_rt::System::new().block_on(run(options));
    let tally = tally.expect("the fleet runs");
    let lines = warnings(folder.path()).expect("logs are read");
    assert!(tally.violations.is_empty(), "{tally:?}\n{lines:#?}");
    assert!(tally.answered > 0, "{tally:?}");
}
