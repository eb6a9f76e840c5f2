//! The daemon `courseshedd`: one node of a fleet.
//!
//! Exit codes: 0 after a planned stop, 1 when the node could not start or ended by itself, 2 when the settings or
//! flags can't be used.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use courseshed_node::{Node, NodeOptions, logging};
use courseshed_settings::{NodeSettings, Overrides};
use courseshed_types::{NodeId, RegionName, ZoneName};

/// Exit code for settings or flags that can't be used.
const BAD_SETTINGS: u8 = 2;

/// One node of a courseshed fleet.
#[derive(FromArgs)]
struct Arguments {
    /// the node's settings file
    #[argh(option)]
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
    /// the node's number, in place of the file's
    #[argh(option)]
    node_id: Option<u32>,
    /// the node's zone, in place of the file's
    #[argh(option)]
    zone: Option<String>,
    /// the node's region, in place of the file's
    #[argh(option)]
    region: Option<String>,
    /// address for callers and operators, in place of the file's
    #[argh(option)]
    listen: Option<SocketAddr>,
    /// address for other nodes, in place of the file's
    #[argh(option)]
    peer_listen: Option<SocketAddr>,
    /// folder of the node's durable state, in place of the file's
    #[argh(option)]
    data_dir: Option<PathBuf>,
    /// roles, such as gateway,shard,dispatcher,controller, in place of the file's
    #[argh(option)]
    roles: Option<String>,
    /// threads that serve callers
    #[argh(option, default = "2")]
    http_workers: usize,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let check = arguments.check;
    let http_workers = arguments.http_workers;
    let settings = match load(arguments) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if check {
        return ExitCode::SUCCESS;
    }
    logging::init(settings.log_level);
    let mut options = NodeOptions::new(settings);
    options.http_workers = http_workers;
    match Node::start(options) {
        Ok(node) => node.run_until_signal(),
        Err(error) => {
            eprintln!("courseshedd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn load(arguments: Arguments) -> Result<NodeSettings, String> {
    let roles = match &arguments.roles {
        Some(text) => {
            let roles = Overrides::parse_roles(text);
            Some(roles.map_err(|reason| flag_error("--roles", &reason, "gateway,shard"))?)
        }
        None => None,
    };
    let overrides = Overrides {
        node_id: arguments.node_id.map(NodeId),
        region: arguments.region.map(RegionName::from),
        zone: arguments.zone.map(ZoneName::from),
        listen: arguments.listen,
        peer_listen: arguments.peer_listen,
        data_dir: arguments.data_dir,
        roles,
    };
    NodeSettings::load(&arguments.settings, overrides).map_err(|error| error.to_string())
}

fn flag_error(flag: &str, reason: &str, example: &str) -> String {
    format!("command line: {flag}: {reason} (example: {flag} {example})")
}
