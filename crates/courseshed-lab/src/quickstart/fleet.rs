//! The embedded fleet: emulated engines and nodes on threads of this process, joined over loopback.

use std::{
    cell::RefCell,
    fmt::Write as _,
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use courseshed_emulator::{EmulatedEngine, EngineHandle, EngineOptions};
use courseshed_engine_model::EngineModelConfig;
use courseshed_node::{Node, NodeHandle, NodeOptions, NodeSockets};
use courseshed_settings::{NodeSettings, Overrides, SettingsTree};
use courseshed_types::EngineId;
use snafu::ResultExt;
use tempfile::TempDir;

use super::{EngineSnafu, FolderSnafu, NodeSnafu, QuickstartError};

/// The settings tree of the quickstart.
pub(crate) const TREE: &str = include_str!("tree.toml");
/// The one region.
const REGION: &str = "here";
/// The zones, in turn.
const ZONES: [&str; 3] = ["here-a", "here-b", "here-c"];
/// The roles of every node.
const ROLES: &str = "[\"gateway\", \"shard\", \"dispatcher\", \"controller\"]";
/// How long nodes may take to serve.
const READY_PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks whether they do.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// The size of an embedded fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Nodes, each with every role and in the next of three zones.
    pub nodes: u32,
    /// Emulated engines.
    pub engines: u32,
    /// HTTP threads of each node.
    pub http_workers: usize,
    /// What every engine is like, apart from its name and seed.
    pub engine: EngineOptions,
    /// The first settings tree, TOML.
    pub tree: String,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            nodes: 3,
            engines: 4,
            http_workers: 1,
            engine: EngineOptions {
                config: EngineModelConfig {
                    step_base: Duration::from_millis(4),
                    step_per_decode: Duration::from_micros(50),
                    step_per_prefill_token: Duration::from_micros(10),
                    ..EngineModelConfig::default()
                },
                load_lag: Duration::from_millis(100),
                event_delay: Duration::from_millis(150),
                ..EngineOptions::default()
            },
            tree: TREE.to_owned(),
        }
    }
}

/// A fleet in this process; dropping it stops it.
pub struct EmbeddedFleet {
    nodes: Vec<EmbeddedNode>,
    engines: Vec<EngineHandle>,
    http_workers: usize,
    tree: SettingsTree,
    _folder: TempDir,
}

struct EmbeddedNode {
    settings: NodeSettings,
    handle: RefCell<Option<NodeHandle>>,
}

impl EmbeddedFleet {
    /// Starts engines and nodes, and returns when every node serves.
    ///
    /// # Errors
    /// When a part can't be started, or the nodes don't come to serve.
    pub async fn start(options: &FleetOptions) -> Result<EmbeddedFleet, QuickstartError> {
        let engines = EmbeddedFleet::start_engines(options)?;
        EmbeddedFleet::start_with(options, engines).await
    }

    /// Starts the engines alone.
    ///
    /// # Errors
    /// When one can't be started.
    pub fn start_engines(options: &FleetOptions) -> Result<Vec<EngineHandle>, QuickstartError> {
        let numbers = 1..=options.engines;
        let started = numbers.map(|number| {
            EmulatedEngine::start(EngineOptions {
                id: EngineId::from(format!("engine-{number}")),
                seed: u64::from(number),
                ..options.engine.clone()
            })
            .context(EngineSnafu)
        });
        started.collect()
    }

    /// Starts nodes before engines that run.
    ///
    /// # Errors
    /// When a node can't be started, or they don't come to serve.
    pub async fn start_with(
        options: &FleetOptions,
        engines: Vec<EngineHandle>,
    ) -> Result<EmbeddedFleet, QuickstartError> {
        let folder = tempfile::tempdir().context(FolderSnafu)?;
        let (settings, sockets) = bind_nodes(options, &engines, folder.path())?;
        let tree = SettingsTree::parse(&options.tree);
        let tree = tree.map_err(|problems| QuickstartError::Settings {
            reason: format!("{problems:?}"),
        })?;
        let mut nodes = Vec::new();
        for (settings, sockets) in settings.into_iter().zip(sockets) {
            let handle = start_node(sockets, &settings, &tree, options.http_workers)?;
            nodes.push(EmbeddedNode {
                settings,
                handle: RefCell::new(Some(handle)),
            });
        }
        let fleet = EmbeddedFleet {
            nodes,
            engines,
            http_workers: options.http_workers,
            tree,
            _folder: folder,
        };
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// The URLs of the nodes.
    pub fn node_urls(&self) -> Vec<String> {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| format!("http://{}", node.settings.listen))
            .collect()
    }

    /// The URLs of the engines.
    pub fn engine_urls(&self) -> Vec<String> {
        let addresses = self.engines.iter().map(EngineHandle::address);
        addresses
            .map(|address| format!("http://{address}"))
            .collect()
    }

    /// The engines.
    pub fn engines(&self) -> &[EngineHandle] {
        &self.engines
    }

    /// How many nodes there are.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Stops a node in a planned way: it finishes what it holds first.
    pub async fn stop_node(&self, node: usize) {
        let handle = self.nodes[node].handle.borrow_mut().take();
        if let Some(handle) = handle {
            handle.drain().await;
            handle.stop();
        }
    }

    /// Ends a node as a crash would.
    pub fn kill_node(&self, node: usize) {
        let handle = self.nodes[node].handle.borrow_mut().take();
        if let Some(handle) = handle {
            handle.stop();
        }
    }

    /// Starts a node again, at its addresses and on what its folder holds.
    ///
    /// # Errors
    /// When its addresses or its folder can't be had.
    pub fn restart_node(&self, node: usize) -> Result<(), QuickstartError> {
        let node = &self.nodes[node];
        let sockets = NodeSockets::bind(&node.settings).context(NodeSnafu)?;
        let handle = start_node(sockets, &node.settings, &self.tree, self.http_workers)?;
        *node.handle.borrow_mut() = Some(handle);
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), QuickstartError> {
        let started = Instant::now();
        let http = awc::Client::default();
        for url in self.node_urls() {
            loop {
                let answer = http.get(format!("{url}/readyz")).send().await;
                if answer.is_ok_and(|answer| answer.status().is_success()) {
                    break;
                }
                let waited = started.elapsed();
                if waited > READY_PATIENCE {
                    return Err(QuickstartError::NotReady { waited });
                }
                sleep(READY_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Settings and listening sockets of all nodes, so that each knows the addresses of the others.
fn bind_nodes(
    options: &FleetOptions,
    engines: &[EngineHandle],
    folder: &Path,
) -> Result<(Vec<NodeSettings>, Vec<NodeSockets>), QuickstartError> {
    let mut all_settings = Vec::new();
    let mut all_sockets = Vec::new();
    for number in 1..=options.nodes {
        let text = settings_text(number, options.nodes, engines, folder);
        let settings = NodeSettings::parse(&text, "quickstart", Overrides::default());
        let mut settings = settings.map_err(|error| QuickstartError::Settings {
            reason: error.to_string(),
        })?;
        let sockets = NodeSockets::bind(&settings).context(NodeSnafu)?;
        settings.listen = sockets.http_address();
        settings.peer_listen = sockets.peer_address();
        all_settings.push(settings);
        all_sockets.push(sockets);
    }
    let peers: Vec<SocketAddr> = all_sockets.iter().map(NodeSockets::peer_address).collect();
    for settings in &mut all_settings {
        for (seed, peer) in settings.seeds.iter_mut().zip(&peers) {
            seed.peer = *peer;
        }
    }
    Ok((all_settings, all_sockets))
}

fn start_node(
    sockets: NodeSockets,
    settings: &NodeSettings,
    tree: &SettingsTree,
    http_workers: usize,
) -> Result<NodeHandle, QuickstartError> {
    let mut options = NodeOptions::new(settings.clone());
    options.http_workers = http_workers;
    options.initial_tree = Some(tree.clone());
    Node::start_on(sockets, options).context(NodeSnafu)
}

fn settings_text(number: u32, nodes: u32, engines: &[EngineHandle], folder: &Path) -> String {
    let zone = zone_of(number as usize - 1);
    let data_dir = folder.join(format!("node-{number}"));
    let mut text = format!(
        "node_id = {number}\nregion = \"{REGION}\"\nzone = \"{zone}\"\n\
         listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\ndata_dir = {data_dir:?}\n\
         roles = {ROLES}\n"
    );
    for seed in 1..=nodes {
        // The ports are put in once they are known.
        let zone = zone_of(seed as usize - 1);
        let _ = write!(
            text,
            "[[seeds]]\nnode_id = {seed}\npeer = \"127.0.0.1:{seed}\"\nroles = {ROLES}\n\
             region = \"{REGION}\"\nzone = \"{zone}\"\n"
        );
    }
    for (index, engine) in engines.iter().enumerate() {
        let (id, address) = (engine.id(), engine.address());
        let zone = zone_of(index);
        let _ = write!(
            text,
            "[[engines]]\nid = \"{id}\"\naddress = \"{address}\"\nmodels = [\"base\"]\n\
             region = \"{REGION}\"\nzone = \"{zone}\"\n"
        );
    }
    text
}

fn zone_of(place: usize) -> &'static str {
    ZONES[place % ZONES.len()]
}
