//! `scripts/fleet.sh` with processes that do nothing: what it starts, signals and leaves alone.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

struct Fleet {
    folder: TempDir,
}

impl Fleet {
    fn new(file: &str) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        std::fs::write(folder.path().join("fleet"), file).expect("written");
        Self { folder }
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts/fleet.sh");
        let mut command = Command::new(script);
        command
            .arg(self.folder.path().join("fleet"))
            .args(arguments);
        command
            .env("COURSESHED_RUN", self.run_folder())
            .env("COURSESHED_BIN", self.folder.path());
        command.env("COURSESHED_STOP", "20");
        command.output().expect("the script runs")
    }

    fn status(&self, name: &str) -> String {
        let output = self.run(&["status", name]);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.split_whitespace()
            .nth(1)
            .unwrap_or_default()
            .to_owned()
    }

    fn run_folder(&self) -> PathBuf {
        self.folder.path().join("run")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.run(&["kill"]);
    }
}

fn succeeded(output: &Output) -> bool {
    output.status.success()
}

#[test]
fn a_process_goes_through_all_its_states() {
    let fleet = Fleet::new("# two sleepers\nfirst sleep 300\nsecond sleep 300\n");
    assert!(succeeded(&fleet.run(&["start"])));
    assert!(succeeded(&fleet.run(&["status"])));
    assert!(succeeded(&fleet.run(&["pause", "first"])));
    assert_eq!(fleet.status("first"), "paused");
    assert_eq!(fleet.status("second"), "running");
    assert!(succeeded(&fleet.run(&["resume", "first"])));
    assert_eq!(fleet.status("first"), "running");
    assert!(succeeded(&fleet.run(&["kill", "second"])));
    assert_eq!(fleet.status("second"), "stopped");
    assert!(succeeded(&fleet.run(&["pause", "first"])));
    assert!(
        succeeded(&fleet.run(&["stop"])),
        "a paused process is stopped too"
    );
    assert_eq!(fleet.status("first"), "stopped");
}

#[test]
fn a_second_start_starts_only_what_does_not_run() {
    let fleet = Fleet::new("first sleep 300\nsecond sleep 300\n");
    fleet.run(&["start", "first"]);
    let pid = std::fs::read_to_string(fleet.run_folder().join("first.pid")).expect("pid");
    assert!(succeeded(&fleet.run(&["start"])));
    let again = std::fs::read_to_string(fleet.run_folder().join("first.pid")).expect("pid");
    assert_eq!(pid, again);
    assert_eq!(fleet.status("second"), "running");
}

#[test]
fn a_process_that_ends_at_once_is_named_with_its_last_line() {
    let fleet = Fleet::new("broken sh @/broken.sh\n");
    std::fs::write(
        fleet.folder.path().join("broken.sh"),
        "echo no such zone; exit 2",
    )
    .expect("written");
    let output = fleet.run(&["start"]);
    assert!(!succeeded(&output));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("broken ended at once: no such zone"),
        "{text}"
    );
}

#[test]
fn a_pid_that_now_belongs_to_another_process_is_left_alone() {
    let fleet = Fleet::new("first sleep 300\n");
    let mut stranger = Command::new("sleep").arg("300").spawn().expect("started");
    std::fs::create_dir_all(fleet.run_folder()).expect("folder");
    let pid_file = fleet.run_folder().join("first.pid");
    std::fs::write(pid_file, format!("{} 1\n", stranger.id())).expect("written");
    assert_eq!(fleet.status("first"), "stopped");
    fleet.run(&["kill", "first"]);
    let still_runs = stranger.try_wait().expect("asked").is_none();
    stranger.kill().expect("ended");
    stranger.wait().expect("reaped");
    assert!(still_runs);
}

#[test]
fn unknown_names_and_commands_are_refused() {
    let fleet = Fleet::new("first sleep 300\n");
    assert_eq!(fleet.run(&["start", "third"]).status.code(), Some(2));
    assert_eq!(fleet.run(&["restart"]).status.code(), Some(2));
    assert_eq!(fleet.run(&[]).status.code(), Some(2));
}
