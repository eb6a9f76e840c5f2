//! Which faults come when: decided by the seed alone. They come in series and overlap.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::node::Role;
use crate::zones::ZONES;

/// Quiet time at the beginning, in milliseconds.
const FIRST_MS: u64 = 1_000;
/// Time from one fault to the next, in milliseconds: shorter than most of them last.
const GAP_MS: std::ops::Range<u64> = 150..1_300;
/// How long a process is gone, or paused, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 50..1_500;
const PAUSE_MS: std::ops::Range<u64> = 100..2_500;
/// How long a zone is evacuated, in milliseconds: longer than gateways may take to learn of it.
const EVACUATION_MS: std::ops::Range<u64> = 4_000..9_000;
/// The part of the gateways that freezes at once.
const FROZEN_GATEWAYS: usize = 3;

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// A process is asked to stop, and started again.
    Stop {
        /// Which, by its place in the fleet.
        member: usize,
        /// How long it is away.
        away: Duration,
    },
    /// All processes of a role are asked to stop, one after the other.
    StopInTurn {
        /// Which.
        role: Role,
        /// Time from one to the next.
        gap: Duration,
    },
    /// A process is killed, and started again.
    Kill {
        /// Which.
        member: usize,
        /// How long it is away.
        away: Duration,
    },
    /// All processes of a role are killed at once.
    KillAll {
        /// Which.
        role: Role,
        /// How long they are away.
        away: Duration,
    },
    /// A process stands still.
    Pause {
        /// Which.
        member: usize,
        /// How long.
        how_long: Duration,
    },
    /// Several gateways stand still at once.
    Freeze {
        /// Which.
        members: Vec<usize>,
        /// How long.
        how_long: Duration,
    },
    /// All processes are killed at once.
    KillFleet {
        /// How long they are away.
        away: Duration,
    },
    /// A zone's servers are closed to calls, and opened again.
    Evacuate {
        /// Which zone.
        zone: String,
        /// How long.
        how_long: Duration,
    },
    /// A process is told that its settings may have changed.
    Reload {
        /// Which.
        member: usize,
    },
    /// A store loses its disk.
    Wipe {
        /// Which.
        member: usize,
    },
    /// A new version of the routing table.
    ChangeRouting,
    /// A server is replaced by a new one.
    ReplaceServer,
    /// A server is replaced by one that runs a software version.
    UpgradeServer {
        /// Which version.
        version: u32,
    },
}

/// A fault at its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Counted from the start of traffic.
    pub at: Duration,
    /// What happens.
    pub kind: FaultKind,
}

/// The roles of the fleet's members, by their places.
pub type Roles = [Role];

/// The faults of a run, in the order of their times.
#[must_use]
pub fn plan(seed: u64, how_long: Duration, roles: &Roles) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(FIRST_MS);
    // One lost disk is borne at a time; when the next one may be lost, no caller can know.
    let mut may_wipe = true;
    while at < how_long {
        let kind = draw(&mut random, roles, may_wipe);
        may_wipe &= !matches!(kind, FaultKind::Wipe { .. });
        faults.push(Fault { at, kind });
        at += milliseconds(&mut random, GAP_MS);
    }
    faults
}

fn draw(random: &mut ChaCha8Rng, roles: &Roles, may_wipe: bool) -> FaultKind {
    let member = random.random_range(0..roles.len().max(1));
    let away = milliseconds(random, AWAY_MS);
    let role = roles[member];
    match random.random_range(0..100) {
        0..22 => FaultKind::Stop { member, away },
        22..28 => FaultKind::StopInTurn {
            role,
            gap: milliseconds(random, AWAY_MS),
        },
        28..43 => FaultKind::Kill { member, away },
        43..47 => FaultKind::KillAll { role, away },
        47..49 => FaultKind::KillFleet { away },
        49..59 => FaultKind::Pause {
            member,
            how_long: milliseconds(random, PAUSE_MS),
        },
        59..67 => freeze(random, roles),
        67..71 => FaultKind::Reload { member },
        71..76 if may_wipe => wipe(random, roles),
        76..84 => FaultKind::ReplaceServer,
        84..94 => evacuate(random),
        _ => FaultKind::ChangeRouting,
    }
}

/// Freezes a third of the gateways.
fn freeze(random: &mut ChaCha8Rng, roles: &Roles) -> FaultKind {
    let gateways = members_of(roles, Role::Gateway);
    let count = gateways.len().div_ceil(FROZEN_GATEWAYS);
    let mut members: Vec<usize> = gateways.sample(random, count).copied().collect();
    members.sort_unstable();
    FaultKind::Freeze {
        members,
        how_long: milliseconds(random, PAUSE_MS),
    }
}

fn evacuate(random: &mut ChaCha8Rng) -> FaultKind {
    let zone = ZONES[random.random_range(0..ZONES.len())];
    FaultKind::Evacuate {
        zone: zone.to_owned(),
        how_long: milliseconds(random, EVACUATION_MS),
    }
}

fn members_of(roles: &Roles, role: Role) -> Vec<usize> {
    let places = roles.iter().enumerate();
    places
        .filter(|(_, its_role)| **its_role == role)
        .map(|(place, _)| place)
        .collect()
}

fn wipe(random: &mut ChaCha8Rng, roles: &Roles) -> FaultKind {
    let stores = members_of(roles, Role::Store);
    match stores.choose(random) {
        Some(member) => FaultKind::Wipe { member: *member },
        None => FaultKind::ChangeRouting,
    }
}

fn milliseconds(random: &mut impl Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}
