//! The daemon as a process of its own, told to stop by signals.

mod support;

use std::{
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
};

use actix_web::http::StatusCode;
use support::*;

/// A daemon that is killed when its test ends.
struct Daemon(Child);

impl Daemon {
    fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    async fn exit_code(&mut self) -> Option<i32> {
        let mut code = None;
        wait_until(async || {
            let status = self.0.try_wait().expect("a child");
            code = status.map(|status| status.code());
            code.is_some()
        })
        .await;
        code.flatten()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Starts a lone node without a settings tree; it is alive but never ready.
fn start_daemon(folder: &Path) -> (Daemon, Caller) {
    let listen = free_address();
    let text = format!(
        "node_id = 1\nregion = \"south\"\nzone = \"south-a\"\nlisten = \"{listen}\"\npeer_listen = \"{}\"\n\
         roles = [\"gateway\", \"shard\", \"dispatcher\", \"controller\"]\ndata_dir = {:?}\n",
        free_address(),
        folder.join("data"),
    );
    let settings = folder.join("node.toml");
    std::fs::write(&settings, text).expect("written");
    let child = Command::new(env!("CARGO_BIN_EXE_courseshedd"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    (Daemon(child), Caller::new(listen))
}

async fn wait_alive(caller: &Caller) {
    wait_until(async || {
        let answer = caller.client.get(caller.url("/healthz")).send().await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    })
    .await;
}

#[actix_web::test]
async fn a_planned_stop_ends_with_code_zero() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut daemon, caller) = start_daemon(folder.path());
    wait_alive(&caller).await;
    daemon.signal("-TERM");
    assert_eq!(daemon.exit_code().await, Some(0));
}
