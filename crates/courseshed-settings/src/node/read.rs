//! Reading of the node settings file, key by key.

use std::net::SocketAddr;
use std::path::PathBuf;

use courseshed_types::control::NodeRole;
use courseshed_types::{EngineId, ModelName, NodeId, RegionName, ZoneName};
use toml::de::DeValue;

use super::{EngineEntry, LogLevel, NodeLimits, NodeSettings, NodeTimeouts, Overrides, Seed};
use crate::digest::KeyDigest;
use crate::names;
use crate::problem::nearest;
use crate::reader::{Section, integer_within, list, string};

const ADDRESS_EXAMPLE: &str = "\"127.0.0.1:7700\"";
const DIGEST_EXAMPLE: &str = "\"<64 hex digits of sha256 of the key>\"";
const REGION_EXAMPLE: &str = "\"tasmania\"";
const ROLES_EXAMPLE: &str = "[\"gateway\", \"shard\", \"dispatcher\", \"controller\"]";
const ZONE_EXAMPLE: &str = "\"hobart\"";

/// Reads the whole file; `None` if a key without a default is missing or faulty.
pub(super) fn read_node(mut root: Section<'_, '_>, overrides: Overrides) -> Option<NodeSettings> {
    let node_id = given_or(overrides.node_id, &mut root, "node_id", "1", node_id);
    let region = given_or(
        overrides.region,
        &mut root,
        "region",
        REGION_EXAMPLE,
        region,
    );
    let zone = given_or(overrides.zone, &mut root, "zone", ZONE_EXAMPLE, zone);
    let listen = given_or(
        overrides.listen,
        &mut root,
        "listen",
        ADDRESS_EXAMPLE,
        address,
    );
    let peer_listen = given_or(
        overrides.peer_listen,
        &mut root,
        "peer_listen",
        ADDRESS_EXAMPLE,
        address,
    );
    let roles = given_or(overrides.roles, &mut root, "roles", ROLES_EXAMPLE, roles);
    let data_dir = root.take("data_dir", "\"data/node-1\"", folder);
    let operator_keys = root.take("operator_keys", DIGEST_EXAMPLE, digests);
    let members_url = root.take("members_url", "\"http://127.0.0.1:9000/members\"", url);
    let log_level = root.take("log_level", "\"info\"", log_level);
    let limits = NodeLimits::read(root.section("limits"));
    let timeouts = NodeTimeouts::read(root.section("timeouts"));
    let seeds = root
        .sections("seeds")
        .into_iter()
        .filter_map(seed)
        .collect();
    let engines = root
        .sections("engines")
        .into_iter()
        .filter_map(engine)
        .collect();
    root.finish();
    let mut roles = roles?;
    roles.sort();
    roles.dedup();
    Some(NodeSettings {
        node_id: node_id?,
        region: region?,
        zone: zone?,
        listen: listen?,
        peer_listen: peer_listen?,
        data_dir: overrides.data_dir.or(data_dir),
        roles,
        seeds,
        operator_keys: operator_keys.unwrap_or_default(),
        engines,
        members_url,
        limits,
        timeouts,
        log_level: log_level.unwrap_or_default(),
    })
}

/// The value of a flag if given, else the required key of the file.
fn given_or<T>(
    given: Option<T>,
    section: &mut Section<'_, '_>,
    key: &'static str,
    example: &str,
    convert: fn(&DeValue<'_>) -> Result<T, String>,
) -> Option<T> {
    if given.is_none() {
        return section.require(key, example, convert);
    }
    section.take(key, example, convert);
    given
}

fn seed(mut section: Section<'_, '_>) -> Option<Seed> {
    let node_id = section.require("node_id", "1", node_id);
    let peer = section.require("peer", ADDRESS_EXAMPLE, address);
    let roles = section.require("roles", ROLES_EXAMPLE, roles);
    let region = section.require("region", REGION_EXAMPLE, region);
    let zone = section.require("zone", ZONE_EXAMPLE, zone);
    section.finish();
    Some(Seed {
        node_id: node_id?,
        peer: peer?,
        roles: roles?,
        region: region?,
        zone: zone?,
    })
}

fn engine(mut section: Section<'_, '_>) -> Option<EngineEntry> {
    let id = section.require("id", "\"engine-1\"", engine_id);
    let address = section.require("address", ADDRESS_EXAMPLE, address);
    let models = section
        .take("models", "[\"quote-8b\"]", models)
        .unwrap_or_default();
    let region = section.require("region", REGION_EXAMPLE, region);
    let zone = section.require("zone", ZONE_EXAMPLE, zone);
    section.finish();
    Some(EngineEntry {
        id: id?,
        address: address?,
        models,
        region: region?,
        zone: zone?,
    })
}

/// The roles by the names they have in settings and flags.
const ROLES: [(&str, NodeRole); 4] = [
    ("gateway", NodeRole::Gateway),
    ("shard", NodeRole::Shard),
    ("dispatcher", NodeRole::Dispatcher),
    ("controller", NodeRole::Controller),
];

/// The role of that name.
pub(super) fn role_named(name: &str) -> Result<NodeRole, String> {
    if let Some((_, role)) = ROLES.iter().find(|(known, _)| *known == name) {
        return Ok(*role);
    }
    let names = ROLES.map(|(known, _)| known);
    match nearest(name, names) {
        Some(meant) => Err(format!("`{name}` is not a role; did you mean `{meant}`?")),
        None => Err(format!(
            "`{name}` is not a role; there are {}",
            names.join(", ")
        )),
    }
}

fn node_id(value: &DeValue<'_>) -> Result<NodeId, String> {
    let number = integer_within(value, 1, u64::from(u32::MAX))?;
    u32::try_from(number)
        .map(NodeId)
        .map_err(|error| error.to_string())
}

fn region(value: &DeValue<'_>) -> Result<RegionName, String> {
    names::place(value).map(RegionName::from)
}

fn zone(value: &DeValue<'_>) -> Result<ZoneName, String> {
    names::place(value).map(ZoneName::from)
}

fn engine_id(value: &DeValue<'_>) -> Result<EngineId, String> {
    names::place(value).map(EngineId::from)
}

fn models(value: &DeValue<'_>) -> Result<Vec<ModelName>, String> {
    list(value, names::model)
}

fn address(value: &DeValue<'_>) -> Result<SocketAddr, String> {
    let text = string(value)?;
    text.parse()
        .map_err(|_| format!("`{text}` is not an IP address and port"))
}

fn roles(value: &DeValue<'_>) -> Result<Vec<NodeRole>, String> {
    let roles = list(value, |item| role_named(&string(item)?))?;
    if roles.is_empty() {
        return Err("a node needs at least one role".to_owned());
    }
    Ok(roles)
}

fn folder(value: &DeValue<'_>) -> Result<PathBuf, String> {
    let text = string(value)?;
    if text.is_empty() {
        return Err("must not be empty; leave the key out for a node without a disk".to_owned());
    }
    Ok(PathBuf::from(text))
}

fn digests(value: &DeValue<'_>) -> Result<Vec<KeyDigest>, String> {
    list(value, |item| {
        string(item)?
            .parse::<KeyDigest>()
            .map_err(|error| error.to_string())
    })
}

fn url(value: &DeValue<'_>) -> Result<String, String> {
    let text = string(value)?;
    if text.starts_with("http://") && text.len() > "http://".len() {
        return Ok(text);
    }
    Err(format!("`{text}` is not an http:// URL"))
}

fn log_level(value: &DeValue<'_>) -> Result<LogLevel, String> {
    let text = string(value)?;
    match text.as_str() {
        "error" => Ok(LogLevel::Error),
        "warn" => Ok(LogLevel::Warn),
        "info" => Ok(LogLevel::Info),
        "debug" => Ok(LogLevel::Debug),
        "trace" => Ok(LogLevel::Trace),
        _ => Err(format!(
            "`{text}` is not one of error, warn, info, debug, trace"
        )),
    }
}
