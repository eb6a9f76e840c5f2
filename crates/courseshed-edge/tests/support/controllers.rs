//! Test harness: a group of controllers whose machines are replaced or lose their disks.

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use courseshed_edge::controller::{self, ControllerHandle, ControllerSettings};
use courseshed_edge::metrics::Metrics;
use courseshed_edge::protocol::{PeerAddresses, node_at};
use courseshed_routing::{RoutingTable, VersionedTable};
use courseshed_types::NodeId;
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use super::regions::Process;
use super::{controller_settings, free_port, new_subnet, wait_until};

const FIRST_HOST: u8 = 11;
/// How many of the machines are named to the others.
const SEEDS: usize = 3;

struct Machine {
    host: u8,
    /// Counts its disks.
    disk: u32,
    running: Option<Running>,
}

struct Running {
    _process: Process,
    /// Set once the controller has started; one without a disk waits for the answer of another.
    handle: Arc<OnceLock<ControllerHandle>>,
    metrics: Arc<Metrics>,
}

/// The controllers of a fleet, each on an address of its own.
pub struct ControllerGroup {
    machines: Vec<Machine>,
    hosts_used: u8,
    addresses: PeerAddresses,
    subnet: Ipv4Addr,
    folder: TempDir,
}

impl ControllerGroup {
    /// Starts a new group, and waits until all of its machines vote and version 1 of the routing table is accepted.
    pub async fn start(size: u8) -> Self {
        let subnet = new_subnet();
        let mut group = Self {
            machines: Vec::new(),
            hosts_used: size,
            addresses: PeerAddresses {
                first_port: free_port(host(subnet, FIRST_HOST)),
            },
            subnet,
            folder: TempDir::new().expect("a folder"),
        };
        group.machines = (0..size)
            .map(|host| Machine {
                host,
                disk: 0,
                running: None,
            })
            .collect();
        for machine in 0..group.machines.len() {
            group.spawn(machine, true);
        }
        group.publish(1).await;
        wait_until(async || group.voters() == usize::from(size)).await;
        group
    }

    /// Ends a machine without warning to the others.
    pub fn stop(&mut self, machine: usize) {
        self.machines[machine].running = None;
    }

    /// Starts an empty machine at a new address in place of one that was stopped.
    pub fn start_successor(&mut self, machine: usize) {
        self.machines[machine].host = self.hosts_used;
        self.hosts_used += 1;
        self.machines[machine].disk = 0;
        self.spawn(machine, false);
    }

    /// Starts a machine that was stopped, with an empty disk.
    pub fn start_without_disk(&mut self, machine: usize) {
        self.machines[machine].disk += 1;
        self.spawn(machine, false);
    }

    /// Publishes a version of the routing table at any machine that accepts it.
    pub async fn publish(&self, version: u64) {
        wait_until(async || {
            for controller in self.running() {
                let table = VersionedTable {
                    version,
                    table: RoutingTable::default(),
                };
                let document = Bytes::from_static(b"table");
                if controller.replace_routing(table, document).await.is_ok() {
                    return true;
                }
            }
            false
        })
        .await;
    }

    /// The version of the routing table that a quorum confirms; none if there is no quorum in time.
    pub async fn confirmed_version(&self, limit: Duration) -> Option<u64> {
        let confirmed = async {
            loop {
                for controller in self.running() {
                    if let Ok(routing) = controller.routing().await {
                        return routing.table.version;
                    }
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(limit, confirmed).await.ok()
    }

    /// The number of voters, as the leader sees it.
    fn voters(&self) -> usize {
        let running = self
            .machines
            .iter()
            .filter_map(|machine| machine.running.as_ref());
        let voters = running.map(|running| running.metrics.group_health.voters.get());
        usize::try_from(voters.max().unwrap_or(0)).expect("a count")
    }

    /// The machine that leads.
    pub async fn leader(&self) -> usize {
        let mut leader = None;
        wait_until(async || {
            let controllers = self.machines.iter().enumerate();
            leader = controllers
                .filter_map(|(machine, state)| {
                    Some((machine, state.running.as_ref()?.handle.get()?))
                })
                .find(|(_, controller)| controller.is_leader())
                .map(|(machine, _)| machine);
            leader.is_some()
        })
        .await;
        leader.expect("a leader")
    }

    fn running(&self) -> impl Iterator<Item = &ControllerHandle> {
        let machines = self.machines.iter();
        machines.filter_map(|machine| machine.running.as_ref()?.handle.get())
    }

    fn spawn(&mut self, machine: usize, is_first_start: bool) {
        let state = &self.machines[machine];
        let node = self.node(state.host);
        let folder: PathBuf = self
            .folder
            .path()
            .join(format!("machine-{}-disk-{}", state.host, state.disk));
        let seeds: Vec<NodeId> = self
            .machines
            .iter()
            .take(SEEDS)
            .map(|seed| self.node(seed.host))
            .collect();
        let addresses = self.addresses;
        let handle = Arc::new(OnceLock::new());
        let started = handle.clone();
        let metrics = Arc::new(Metrics::new());
        let own_metrics = metrics.clone();
        let process = Process::start(move || async move {
            let settings = ControllerSettings {
                is_first_start,
                metrics: own_metrics,
                ..controller_settings(node, &folder, addresses, seeds)
            };
            let controller = controller::start(settings).await.expect("a controller");
            let _ = started.set(controller);
            std::future::pending().await
        });
        self.machines[machine].running = Some(Running {
            _process: process,
            handle,
            metrics,
        });
    }

    fn node(&self, host_number: u8) -> NodeId {
        node_at(host(self.subnet, FIRST_HOST + host_number))
    }
}

fn host(subnet: Ipv4Addr, host: u8) -> Ipv4Addr {
    let [a, b, c, _] = subnet.octets();
    Ipv4Addr::new(a, b, c, host)
}
