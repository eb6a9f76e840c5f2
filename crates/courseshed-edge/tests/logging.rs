//! Logging never blocks the process.

use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use courseshed_edge::logging;

/// Set in child processes that this test starts.
const CHILD_VAR: &str = "COURSESHED_TEST_CHILD";
/// More than the pipe buffer and the log queue hold.
const MANY_LINES: usize = 20_000;

fn start_child(test: &str) -> Child {
    let program = std::env::current_exe().expect("this program");
    Command::new(program)
        .args(["--exact", test, "--nocapture"])
        .env(CHILD_VAR, "1")
        .stdout(Stdio::piped())
        .spawn()
        .expect("a child")
}

fn is_child() -> bool {
    std::env::var_os(CHILD_VAR).is_some()
}

fn wait_for(child: &mut Child) -> ExitStatus {
    for _ in 0..6000 {
        if let Some(status) = child.try_wait().expect("a child") {
            return status;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    child.kill().expect("a child");
    panic!("child process did not exit within 60 s");
}

#[test]
fn unread_pipe_does_not_block_logging() {
    if is_child() {
        logging::init("node-1".to_owned(), "test");
        for number in 0..MANY_LINES {
            log::warn!(event = "line", number; "{}", "x".repeat(200));
        }
        assert!(logging::dropped_lines() > 0);
        std::process::exit(0);
    }
    let mut child = start_child("unread_pipe_does_not_block_logging");
    assert!(wait_for(&mut child).success());
}
