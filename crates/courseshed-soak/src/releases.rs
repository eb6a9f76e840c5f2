//! Releases of the servers' software: which servers are replaced by which version when, decided by the
//! seed alone. Releases overlap, go forward and back, and come beside the faults of the same seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::faults::{Fault, FaultKind, Roles, plan};

/// The software version that all servers run at the start.
pub const FIRST_VERSION: u32 = 1;
/// Versions that releases bring, the first one again among them.
const VERSIONS: std::ops::RangeInclusive<u32> = FIRST_VERSION..=3;
/// Keeps the draws apart from those of the faults, which stay as they are without releases.
const SEED: u64 = 0x7265_6c65;
/// Time from the start of one release to the start of the next, in milliseconds: less than one lasts.
const GAP_MS: std::ops::Range<u64> = 400..2_500;
/// Servers that one release replaces, and the time from one to the next, in milliseconds.
const SERVERS: std::ops::RangeInclusive<u64> = 1..=4;
const STEP_MS: std::ops::Range<u64> = 100..900;

/// The faults of a run and the steps of its releases, in the order of their times.
#[must_use]
pub fn plan_with_releases(seed: u64, how_long: Duration, roles: &Roles) -> Vec<Fault> {
    let mut faults = plan(seed, how_long, roles);
    faults.extend(releases(seed, how_long));
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn releases(seed: u64, how_long: Duration) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED);
    let mut steps = Vec::new();
    let mut begins = Duration::ZERO;
    loop {
        begins += Duration::from_millis(random.random_range(GAP_MS));
        if begins >= how_long {
            return steps;
        }
        let version = random.random_range(VERSIONS);
        let step = Duration::from_millis(random.random_range(STEP_MS));
        let servers = random.random_range(SERVERS);
        for number in 0..u32::try_from(servers).unwrap_or(1) {
            steps.push(Fault {
                at: begins + step * number,
                kind: FaultKind::UpgradeServer { version },
            });
        }
    }
}
