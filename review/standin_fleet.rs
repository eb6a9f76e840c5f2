//! A small deployment: the project's own program, one process for each machine.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::{send, Answer, Request};
use crate::util::{self, sleep_ms, Record};

pub const HOST: &str = "ficu95.example";

/// Figures of the deployment's page.
pub struct Site {
    pub zones: &'static [&'static str],
    pub region: &'static str,
    pub frontends: usize,
    pub cores: usize,
    pub stores: usize,
    pub catch_up_s: &'static str,
    pub memory_mb: [u64; 3],
    pub disk_mb: [u64; 3],
}

/// Rider dispatch agents, with fewer frontends.
pub const SLM_DISPATCH: Site = Site {
    zones: &["hcm-q1", "hcm-td", "hcm-q7"],
    region: "hcm",
    frontends: 3,
    cores: 5,
    stores: 3,
    catch_up_s: "4.3",
    memory_mb: [110, 256, 120],
    disk_mb: [0, 128, 340],
};

/// The same with all of its frontends.
pub const SLM_DISPATCH_WHOLE: Site = Site { frontends: 8, ..SLM_DISPATCH };

pub struct Node {
    pub name: String,
    pub ip: String,
    role: &'static str,
    zone: &'static str,
    child: Option<Child>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    site: &'static Site,
    folder: PathBuf,
    port: u16,
    prefix: String,
    record: Record,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
                util::note_ended(child.id());
            }
        }
        if std::env::var_os("KEEP_FILES").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("files: {}", self.folder.display());
        }
    }
}

impl Fleet {
    /// Starts all machines for the first time.
    pub fn start(site: &'static Site, record: &Record) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{:016x}", util::random()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut fleet = Self {
            nodes: Vec::new(),
            site,
            folder,
            port: 0,
            prefix: String::new(),
            record: record.clone(),
        };
        let classes = [
            ("gateway", "frontend", site.frontends, 10),
            ("controller", "core", site.cores, 30),
            ("store", "storage", site.stores, 50),
        ];
        for attempt in 0.. {
            if attempt == 50 {
                return Err("no free ports".to_owned());
            }
            let number = util::random();
            fleet.port = 12_000 + (number % 16_000) as u16;
            fleet.prefix = format!("127.{}.{}", 10 + number / 16_000 % 200, number / 3_200_000 % 250);
            if fleet.are_ports_free() {
                break;
            }
        }
        for (role, class, count, first) in classes {
            for index in 0..count {
                let zone = site.zones[index % site.zones.len()];
                fleet.nodes.push(Node {
                    name: format!("{class}-{zone}-{}", 1 + index / site.zones.len()),
                    ip: format!("{}.{}", fleet.prefix, first + index),
                    role,
                    zone,
                    child: None,
                });
            }
        }
        for index in 0..fleet.nodes.len() {
            fleet.start_node(index, true)?;
        }
        Ok(fleet)
    }

    fn are_ports_free(&self) -> bool {
        let last_octets: Vec<i32> = (10..18).chain(30..35).chain(50..54).collect();
        let is_free = |octet: &i32, port| TcpListener::bind((format!("{}.{octet}", self.prefix), port)).is_ok();
        (self.port..self.port + 20).all(|port| last_octets.iter().all(|octet| is_free(octet, port)))
    }

    pub fn server_ip(&self, number: usize) -> String {
        format!("{}.{}", self.prefix, 100 + number)
    }

    pub fn zone(&self, number: usize) -> &'static str {
        self.site.zones[number % self.site.zones.len()]
    }

    /// Positions of the machines of a role.
    pub fn of_role(&self, role: &str) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter(|(_, node)| node.role == role).map(|(index, _)| index).collect()
    }

    fn addresses(&self, role: &str, offset: u16) -> Vec<SocketAddr> {
        let nodes = self.of_role(role).into_iter();
        nodes
            .map(|index| format!("{}:{}", self.nodes[index].ip, self.port + offset).parse().unwrap())
            .collect()
    }

    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.addresses("gateway", 0)
    }

    pub fn controllers(&self) -> Vec<SocketAddr> {
        self.addresses("controller", 2)
    }

    fn settings(&self, index: usize, is_first: bool) -> String {
        let node = &self.nodes[index];
        let (port, ip) = (self.port, &node.ip);
        let (class, position) = match node.role {
            "gateway" => ("frontend", 0),
            "controller" => ("core", 1),
            _ => ("storage", 2),
        };
        let (serves, listen) = match node.role {
            "gateway" => (
                "\"frontend\"",
                format!(r#""frontend":"{ip}:{port}","ready":"{ip}:{}""#, port + 1),
            ),
            "controller" => ("\"control_plane\"", format!(r#""control_plane":"{ip}:{}""#, port + 2)),
            _ => ("\"storage\"", String::new()),
        };
        let seeds: Vec<String> = self.controllers().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let zones: Vec<String> = self.site.zones.iter().map(|zone| format!("\"{zone}\":\"{}\"", self.site.region)).collect();
        let data = match node.role {
            "gateway" => "null".to_owned(),
            _ => format!("\"{}\"", self.data_folder(index).display()),
        };
        format!(
            r#"{{"node":"{}","role":"{}","machine_class":"{class}","serves":[{serves}],"ip_address":"{ip}","zone":"{}","region":"{}","zones":{{{}}},"listen_addresses":{{{listen}}},"internal_port_range":[{},{}],"seed_nodes":[{}],"bootstrap":{is_first},"fault_counted":{},"limits":{{"processor_share":0.5,"cores":1,"memory_mb":{},"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":{}}},"data_directory":{data},"discovery":"registration","entry":"virtual_ip","heartbeat_interval_ms":1200,"contracts":["base","drain","config","cost","recover","agent","stream","engine"],"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"acknowledge_ms":4000,"catch_up_s":{},"drain_ms":2000,"grace_period_s":8,"loss_slack_ms":200,"configuration_ms":2000,"rollback_slack_ms":250,"outer_bound_ms":5000,"recovery_s":12,"pass_ms":120,"retry_after_s":0,"deadline_s":10,"settle_ms":1000}},"configuration_mode":"highest"}}"#,
            node.name,
            node.role,
            node.zone,
            self.site.region,
            zones.join(","),
            port + 4,
            port + 19,
            seeds.join(","),
            node.role != "gateway",
            self.site.memory_mb[position],
            self.site.disk_mb[position],
            self.site.catch_up_s,
        )
    }

    fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("data-{}", self.nodes[index].name))
    }

    pub fn start_node(&mut self, index: usize, is_first: bool) -> Result<(), String> {
        let name = self.nodes[index].name.clone();
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, self.settings(index, is_first)).map_err(|error| error.to_string())?;
        if self.nodes[index].role != "gateway" {
            fs::create_dir_all(self.data_folder(index)).map_err(|error| error.to_string())?;
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let (program, arguments) = deploy_command(self.nodes[index].role)?;
        let mut command = Command::new(&program);
        // SAFETY: a system call alone, between fork and exec.
        unsafe {
            command.pre_exec(util::end_with_parent);
        }
        let started = command
            .args(arguments)
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| matches!(name.as_str(), "PATH" | "HOME" | "LANG")))
            .env("COURSESHED_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = started.map_err(|error| format!("{program}: {error}"))?;
        util::note_started(child.id());
        self.record.line(format!("platform starts {name}"));
        self.nodes[index].child = Some(child);
        Ok(())
    }

    pub fn pid(&self, index: usize) -> Option<u32> {
        self.nodes[index].child.as_ref().map(Child::id)
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&self, index: usize, number: i32) {
        self.record.line(format!("platform sends signal {number} to {}", self.nodes[index].name));
        if let Some(pid) = self.pid(index) {
            util::signal(pid, number);
        }
    }

    /// Waits for the process to end; kills it after `limit`.
    pub fn wait_end(&mut self, index: usize, limit: Duration) {
        let name = self.nodes[index].name.clone();
        let Some(mut child) = self.nodes[index].child.take() else {
            return;
        };
        let end = std::time::Instant::now() + limit;
        while matches!(child.try_wait(), Ok(None)) {
            if std::time::Instant::now() > end {
                self.record.line(format!("platform kills {name}"));
                let _ = child.kill();
            }
            sleep_ms(5);
        }
        util::note_ended(child.id());
        self.record.line(format!("{name} has ended"));
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn configure(&self, body: &str) -> Result<(), String> {
        let controllers = self.controllers();
        for attempt in 0..120 {
            let request = Request {
                method: "POST",
                path: "/configuration/replace",
                headers: vec![("Content-Type", "application/json".to_owned())],
                body: body.as_bytes().to_vec(),
            };
            let address = controllers[attempt % controllers.len()];
            let answer = send(address, "controller", &request, Duration::from_secs(1));
            if answer.is_success() {
                self.record.line("operator: the configuration is acknowledged");
                return Ok(());
            }
            if (400..500).contains(&answer.status) && answer.status != 408 && answer.status != 429 {
                return Err(format!("configuration refused: {}", answer.describe()));
            }
            sleep_ms(150);
        }
        Err("the configuration was not acknowledged".to_owned())
    }

    /// Whether a gateway calls itself ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.addresses("gateway", 1)[index];
        let request = Request { method: "GET", path: "/readiness", headers: Vec::new(), body: Vec::new() };
        let answer: Answer = send(address, "ready", &request, Duration::from_secs(1));
        answer.status == 200
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        for _ in 0..100 {
            if (0..self.site.frontends).all(|index| self.is_ready(index)) {
                return Ok(());
            }
            sleep_ms(100);
        }
        Err("the gateways are not ready".to_owned())
    }
}

/// The program and arguments of a role's line `run` in the deploy file.
fn deploy_command(role: &str) -> Result<(String, Vec<String>), String> {
    let path = Path::new("deploy/system.toml");
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let section = format!("[roles.{role}]");
    let lines = text.lines().skip_while(|line| line.trim() != section).skip(1);
    let run = lines
        .take_while(|line| !line.starts_with('['))
        .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
        .ok_or_else(|| format!("the deploy file has no role {role}"))?;
    let mut words = run.split(' ').map(str::to_owned);
    let program = words.next().unwrap_or_default();
    Ok((program, words.collect()))
}
