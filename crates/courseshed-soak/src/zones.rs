//! The zones and regions of the soak.

use courseshed_types::ZoneMap;

/// The zones, in the order in which members and servers are placed: regions take turns.
pub const ZONES: [&str; 4] = ["a", "c", "b", "d"];
/// The regions.
pub const REGIONS: [&str; 2] = ["north", "south"];

/// The zone of the member or server at a place.
#[must_use]
pub fn zone_at(place: usize) -> &'static str {
    ZONES[place % ZONES.len()]
}

/// The region of a zone.
#[must_use]
pub fn region_of(zone: &str) -> &'static str {
    if matches!(zone, "a" | "b") {
        REGIONS[0]
    } else {
        REGIONS[1]
    }
}

/// What the body of a call contains that only one region may serve and store.
#[must_use]
pub fn marker(region: &str) -> String {
    format!("only-{region}")
}

/// The zones with their regions, or with the other region each if they are to be wrong.
#[must_use]
pub fn zone_map(is_wrong: bool) -> ZoneMap {
    let zones = ZONES.iter().enumerate().map(|(place, zone)| {
        let place = if is_wrong { place + 1 } else { place };
        ((*zone).to_owned(), region_of(zone_at(place)).to_owned())
    });
    zones.collect()
}
