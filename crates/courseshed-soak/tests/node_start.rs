//! What a process that can't start says: its last log line has the address and the cause.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};

use courseshed_edge::protocol::PeerPort;
use courseshed_soak::loopback::{Subnet, free_ports};
use courseshed_soak::node::{CALLERS_PORT, READINESS_PORT};
use serde_json::Value;
use tempfile::TempDir;
use yare::parameterized;

const PROGRAM: &str = env!("CARGO_BIN_EXE_courseshed-soak");
const EXIT_FAILED: i32 = 1;
const PEERS_PORT: u16 = PeerPort::Gateway as u16;
/// Descriptors that suffice for the runtime, or nearly, but not for the sockets of a gateway.
const FEW_DESCRIPTORS: std::ops::RangeInclusive<u32> = 5..=11;
const AMPLE_DESCRIPTORS: u32 = 1_024;

/// One gateway on an address of its own.
struct Node {
    folder: TempDir,
    _subnet: Subnet,
    ip: Ipv4Addr,
    first_port: u16,
}

impl Node {
    fn new() -> Self {
        let subnet = Subnet::reserve().expect("a subnet");
        let ip = subnet.host(0).expect("a host");
        Self {
            folder: TempDir::new().expect("a folder"),
            _subnet: subnet,
            ip,
            first_port: free_ports(&[ip]).expect("free ports"),
        }
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, self.first_port + port))
    }

    fn log(&self) -> PathBuf {
        self.folder.path().join("gateway.log")
    }

    /// Runs a gateway that is expected to fail, with a limit on its descriptors.
    fn run(&self, descriptors: u32) -> ExitStatus {
        let log = File::create(self.log()).expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg("ulimit -n \"$0\" && exec \"$@\"")
            .arg(descriptors.to_string())
            .args([PROGRAM, "node", "--role", "gateway", "--zone", "a"])
            .args(["--ip", &self.ip.to_string()])
            .args(["--seeds", &self.ip.to_string()])
            .args(["--first-port", &self.first_port.to_string()])
            .arg("--folder")
            .arg(self.folder.path())
            .stdout(log)
            .stderr(errors);
        command.status().expect("a process")
    }
}

fn last_line(log: &Path) -> Value {
    let text = std::fs::read_to_string(log).expect("a log");
    let line = text.lines().next_back().unwrap_or_default();
    serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {text}"))
}

#[parameterized(
    peers = { PEERS_PORT },
    callers = { CALLERS_PORT },
    readiness = { READINESS_PORT },
)]
fn gateway_whose_port_is_taken_names_the_address_and_the_cause_in_its_last_line(port: u16) {
    let node = Node::new();
    let _taken = TcpListener::bind(node.address(port)).expect("the port is free");
    let status = node.run(AMPLE_DESCRIPTORS);
    assert_eq!(status.code(), Some(EXIT_FAILED), "{status}");
    let line = last_line(&node.log());
    assert_eq!(line["level"], "ERROR", "{line}");
    assert_eq!(line["event"], "failed", "{line}");
    let message = line["message"].as_str().expect("a message");
    let address = node.address(port).to_string();
    assert!(message.contains(&address), "{message}");
    assert!(message.contains("Address already in use"), "{message}");
}

/// A process without descriptors for its runtime panics; with a few more it lacks them for a socket.
#[test]
fn gateway_without_descriptors_names_the_address_and_the_cause_in_its_last_line() {
    let node = Node::new();
    let mut failed_to_listen = 0;
    for descriptors in FEW_DESCRIPTORS {
        let status = node.run(descriptors);
        assert!(!status.success(), "{descriptors} descriptors: {status}");
        if status.code() != Some(EXIT_FAILED) {
            continue;
        }
        failed_to_listen += 1;
        let line = last_line(&node.log());
        assert_eq!(line["event"], "failed", "{line}");
        let message = line["message"].as_str().expect("a message");
        assert!(message.contains(&format!("on {}:", node.ip)), "{message}");
        assert!(message.contains("Too many open files"), "{message}");
    }
    assert!(failed_to_listen > 0);
}
