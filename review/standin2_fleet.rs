//! Starts the project's own programs as separate processes on loopback addresses, with the commands of
//! `deploy/system.toml` and settings like those of a small deployment. All processes are killed on drop.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::call;
use crate::link::Link;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Controller,
    Store,
    Gateway,
}

impl Role {
    fn run_key(self) -> &'static str {
        match self {
            Role::Controller => "controller",
            Role::Store => "store",
            Role::Gateway => "gateway",
        }
    }
}

/// The deployment that a case takes its settings from.
#[derive(Clone)]
pub struct Terms {
    pub zones: Vec<&'static str>,
    pub region: &'static str,
    pub bounds: &'static str,
    pub frontend_mb: u64,
    pub storage_mb: u64,
    pub disk_mb: u64,
    /// The disks that may be lost at one time.
    pub machines: u64,
    /// Bandwidth of a gateway's own link to the nodes with disks; none for that of the loopback interface.
    pub gateway_link_mbps: Option<f64>,
}

pub struct Node {
    pub role: Role,
    pub index: usize,
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub folder: PathBuf,
    root: PathBuf,
    net: (u8, u8),
    base: u16,
    terms: Terms,
    controllers: usize,
    pub record: Record,
}

/// `record.txt`: what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = Arc::new(Mutex::new(File::create(path).expect("create record.txt")));
        Record {
            file,
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        use std::io::Write;
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} {}", text.as_ref());
    }
}

static COUNTER: AtomicU64 = AtomicU64::new(1);

/// A number that differs between calls and runs.
pub fn unique() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64;
    let mut state =
        now ^ (u64::from(std::process::id()) << 32) ^ COUNTER.fetch_add(1, Ordering::Relaxed);
    state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

pub fn id() -> String {
    format!("{:016x}", unique())
}

/// The words of `run` of a role in the deploy file.
fn run_words(root: &Path, role: Role) -> Vec<String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).expect("read the deploy file");
    let section = format!("[roles.{}]", role.run_key());
    let rest = &text[text.find(&section).expect("role in the deploy file")..];
    let line = rest
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("run of the role");
    let words = line.trim_start_matches("run = ").trim().trim_matches('"');
    words.split(' ').map(str::to_owned).collect()
}

impl Fleet {
    pub fn start(terms: Terms, counts: (usize, usize, usize), record: Record) -> Fleet {
        let root = std::env::current_dir().unwrap();
        let folder = std::env::temp_dir().join(format!("review-2-{}", id()));
        fs::create_dir_all(&folder).unwrap();
        let (net, base) = free_net();
        let mut fleet = Fleet {
            nodes: Vec::new(),
            folder,
            root,
            net,
            base,
            terms,
            controllers: counts.0,
            record,
        };
        if let Some(mbps) = fleet.terms.gateway_link_mbps {
            for gateway in 0..counts.2 {
                let link = Link::new(mbps);
                let (real, own) = (fleet.base, fleet.gateway_base(gateway));
                let nodes = (0..counts.0).map(|index| (fleet.ip(10 + index as u8), 0));
                let nodes = nodes.chain((0..counts.1).map(|index| (fleet.ip(30 + index as u8), 1)));
                for (ip, port) in nodes {
                    link.carry(
                        SocketAddr::from((ip, own + port)),
                        SocketAddr::from((ip, real + port)),
                    );
                }
            }
        }
        for (role, count) in [
            (Role::Controller, counts.0),
            (Role::Store, counts.1),
            (Role::Gateway, counts.2),
        ] {
            for index in 0..count {
                fleet.add(role, index);
            }
        }
        fleet
    }

    /// Starts an empty machine at an address that nobody had before.
    pub fn add_empty(&mut self, role: Role, index: usize) -> usize {
        self.add_with(role, index, false);
        self.nodes.len() - 1
    }

    fn add(&mut self, role: Role, index: usize) {
        self.add_with(role, index, true);
    }

    fn add_with(&mut self, role: Role, index: usize, bootstrap: bool) {
        let first = match role {
            Role::Controller => 10,
            Role::Store => 30,
            Role::Gateway => 50,
        };
        let ip = self.ip(first + index as u8);
        let name = format!("{}-{}", role.run_key(), index + 1);
        let settings = self.folder.join(format!("{name}.json"));
        let node = Node {
            role,
            index,
            name,
            ip,
            settings,
            child: None,
        };
        self.write_settings(&node, bootstrap);
        self.nodes.push(node);
        let last = self.nodes.len() - 1;
        self.launch(last);
    }

    /// First port of a gateway's internal range. Behind a link of its own a gateway has ports of its own, on which
    /// the link takes its connections to the other nodes.
    fn gateway_base(&self, index: usize) -> u16 {
        match self.terms.gateway_link_mbps {
            Some(_) => self.base + 100 + 20 * index as u16,
            None => self.base,
        }
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, last)
    }

    pub fn server_address(&self, index: usize) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(80 + index as u8), self.base + 30))
    }

    fn control_port(&self) -> u16 {
        self.base + 20
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self
            .nodes
            .iter()
            .filter(|node| node.role == Role::Controller);
        nodes
            .map(|node| SocketAddr::from((node.ip, self.control_port())))
            .collect()
    }

    pub fn frontend(&self, index: usize) -> SocketAddr {
        let node = self
            .nodes
            .iter()
            .find(|node| node.role == Role::Gateway && node.index == index);
        SocketAddr::from((node.unwrap().ip, self.base + 21))
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        let mut address = self.frontend(index);
        address.set_port(self.base + 22);
        address
    }

    fn write_settings(&self, node: &Node, bootstrap: bool) {
        let seeds: Vec<String> = (0..self.controllers.min(3))
            .map(|index| format!("\"{}:{}\"", self.ip(10 + index as u8), self.control_port()))
            .collect();
        let zones: Vec<String> = self
            .terms
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\": \"{}\"", self.terms.region))
            .collect();
        let zone = self.terms.zones[node.index % self.terms.zones.len()];
        let (class, serves, listen, memory, disk) = match node.role {
            Role::Controller => (
                "core",
                "control_plane",
                format!("\"control_plane\": \"{}:{}\"", node.ip, self.control_port()),
                256,
                128,
            ),
            Role::Store => (
                "storage",
                "storage",
                String::new(),
                self.terms.storage_mb,
                self.terms.disk_mb,
            ),
            Role::Gateway => (
                "frontend",
                "frontend",
                format!(
                    "\"frontend\": \"{}:{}\", \"ready\": \"{}:{}\"",
                    node.ip,
                    self.base + 21,
                    node.ip,
                    self.base + 22
                ),
                self.terms.frontend_mb,
                0,
            ),
        };
        let data = match node.role {
            Role::Gateway => "null".to_owned(),
            _ => format!("\"{}\"", self.data_directory(node).display()),
        };
        if node.role != Role::Gateway {
            fs::create_dir_all(self.data_directory(node)).unwrap();
        }
        let first_port = match node.role {
            Role::Gateway => self.gateway_base(node.index),
            _ => self.base,
        };
        let text = format!(
            r#"{{"node": "{}", "role": "{}", "machine_class": "{class}", "serves": ["{serves}"], "ip_address": "{}", "zone": "{zone}", "region": "{}", "zones": {{{}}}, "listen_addresses": {{{listen}}}, "internal_port_range": [{}, {}], "seed_nodes": [{}], "bootstrap": {bootstrap}, "fault_counted": {}, "limits": {{"processor_share": 0.25, "cores": 1, "memory_mb": {memory}, "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": {disk}}}, "data_directory": {data}, "discovery": "registration", "entry": "virtual_ip", "heartbeat_interval_ms": 1200, "contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine"], "fault_tolerance": {{"machines": {}, "zones": 0, "regions": 0}}, "bounds": {{{}}}, "configuration_mode": "highest"}}"#,
            node.name,
            node.role.run_key(),
            node.ip,
            self.terms.region,
            zones.join(", "),
            first_port,
            first_port + 15,
            seeds.join(", "),
            node.role != Role::Gateway,
            self.terms.machines,
            self.terms.bounds,
        );
        fs::write(&node.settings, text).unwrap();
    }

    pub fn data_directory(&self, node: &Node) -> PathBuf {
        self.folder.join(format!("{}-data", node.name))
    }

    fn launch(&mut self, at: usize) {
        let node = &self.nodes[at];
        let words = run_words(&self.root, node.role);
        let log = |suffix: &str| {
            let path = self.folder.join(format!("{}.{suffix}", node.name));
            File::options()
                .create(true)
                .append(true)
                .open(path)
                .unwrap()
        };
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", std::env::var_os("HOME").unwrap_or_default())
            .env("COURSESHED_SETTINGS", &node.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log("out"))
            .stderr(log("err"))
            .spawn()
            .expect("start a process of the deploy file");
        self.record.line(format!(
            "platform: started {} as process {}",
            node.name,
            child.id()
        ));
        self.nodes[at].child = Some(child);
    }

    pub fn find(&self, role: Role, index: usize) -> usize {
        self.nodes
            .iter()
            .position(|node| node.role == role && node.index == index)
            .unwrap()
    }

    /// Sends a signal to a process that this fleet started.
    pub fn signal(&self, at: usize, signal: &str) {
        let node = &self.nodes[at];
        if let Some(child) = &node.child {
            self.record
                .line(format!("platform: {signal} to {}", node.name));
            let sent = Command::new("/bin/kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status();
            assert!(
                sent.is_ok_and(|status| status.success()),
                "kill -{signal} failed"
            );
        }
    }

    pub fn has_ended(&mut self, at: usize) -> bool {
        let child = self.nodes[at].child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// Kills a process at once.
    pub fn kill(&mut self, at: usize) {
        self.record
            .line(format!("platform: KILL to {}", self.nodes[at].name));
        if let Some(mut child) = self.nodes[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a process again with its settings; `bootstrap` is false from then on.
    pub fn restart(&mut self, at: usize) {
        if let Some(mut child) = self.nodes[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.write_settings(&self.nodes[at], false);
        self.launch(at);
    }

    pub fn wipe(&mut self, at: usize) {
        let folder = self.data_directory(&self.nodes[at]);
        self.record.line(format!(
            "platform: the disk of {} is lost",
            self.nodes[at].name
        ));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
    }

    /// Sends an operator's order to the controllers until one answers clearly. Returns status and body.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let until = Instant::now() + limit;
        let addresses = self.control_addresses();
        let mut turn = unique() as usize;
        while Instant::now() < until {
            turn += 1;
            let address = addresses[turn % addresses.len()];
            if let Ok(answer) = call(
                address,
                method,
                path,
                &[("Content-Type", "application/json")],
                body,
                Duration::from_secs(1),
            ) {
                if answer.status < 500 && answer.status != 408 && answer.status != 429 {
                    return Some((answer.status, answer.body));
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, document: &str, limit: Duration) -> bool {
        let answer = self.order("POST", "/configuration/replace", document.as_bytes(), limit);
        self.record.line(format!(
            "operator: configuration of {} bytes: {:?}",
            document.len(),
            answer.as_ref().map(|(status, _)| status)
        ));
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, index: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let answer = call(
                self.ready(index),
                "GET",
                "/readiness",
                &[],
                b"",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}

/// A loopback network and ports on it that nobody uses.
fn free_net() -> ((u8, u8), u16) {
    for _ in 0..100 {
        let draw = unique();
        let net = (1 + (draw % 254) as u8, 1 + ((draw >> 8) % 254) as u8);
        let base = 15_000 + ((draw >> 16) % 37) as u16 * 400;
        let is_free =
            |port: u16| TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, 10), port)).is_ok();
        if (base..base + 200).all(is_free) {
            return (net, base);
        }
    }
    panic!("no free ports");
}
