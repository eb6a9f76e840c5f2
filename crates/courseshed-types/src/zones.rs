//! Zones and the regions that they lie in.
//!
//! A way between zones of one region takes a few milliseconds at most and has room for everything. A
//! way between regions takes tens of milliseconds, and all traffic between two regions shares one link.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// How far two zones are apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// It is the same zone.
    SameZone,
    /// They lie in one region.
    SameRegion,
    /// They lie in different regions.
    OtherRegion,
}

/// The zones that are known, each with its region.
///
/// A zone that isn't known is taken to lie in the region of whoever asks: nothing tells that it doesn't.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneMap {
    regions: BTreeMap<String, String>,
}

impl ZoneMap {
    /// The region of a zone, if the zone is known.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }

    /// Whether a zone is known.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.regions.contains_key(zone)
    }

    /// Whether no zone is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.regions.is_empty()
    }

    /// How far two zones are apart.
    #[must_use]
    pub fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        match (self.region_of(from), self.region_of(to)) {
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// The zones of a region.
    pub fn zones_of<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a str> {
        let zones = self.regions.iter();
        let inside = zones.filter(move |(_, known)| *known == region);
        inside.map(|(zone, _)| zone.as_str())
    }

    /// All regions, in a fixed order.
    #[must_use]
    pub fn regions(&self) -> BTreeSet<&str> {
        self.regions.values().map(String::as_str).collect()
    }
}

impl FromIterator<(String, String)> for ZoneMap {
    /// From zones with their regions.
    fn from_iter<I: IntoIterator<Item = (String, String)>>(zones: I) -> Self {
        Self {
            regions: zones.into_iter().collect(),
        }
    }
}
