//! Flags of the daemon that stand above the file.

use std::net::SocketAddr;
use std::path::PathBuf;

use courseshed_types::{NodeId, RegionName, ZoneName};

use courseshed_types::control::NodeRole;

/// Values given on the command line; each stands above its key in the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// `--node-id`
    pub node_id: Option<NodeId>,
    /// `--region`
    pub region: Option<RegionName>,
    /// `--zone`
    pub zone: Option<ZoneName>,
    /// `--listen`
    pub listen: Option<SocketAddr>,
    /// `--peer-listen`
    pub peer_listen: Option<SocketAddr>,
    /// `--data-dir`
    pub data_dir: Option<PathBuf>,
    /// `--roles`
    pub roles: Option<Vec<NodeRole>>,
}

impl Overrides {
    /// Reads the value of `--roles`, such as `gateway,shard`.
    ///
    /// # Errors
    /// The first name that is not a role, with the names that are.
    pub fn parse_roles(text: &str) -> Result<Vec<NodeRole>, String> {
        let roles = text
            .split(',')
            .map(|name| super::read::role_named(name.trim()));
        roles.collect()
    }
}
