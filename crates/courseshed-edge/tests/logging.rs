//! Log lines are never waited for.

use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use courseshed_edge::logging;

/// Set in the processes that this test starts of itself.
const CHILD: &str = "COURSESHED_TEST_CHILD";
/// More than a pipe and the queue of lines hold.
const MANY_LINES: usize = 20_000;

fn start_child(test: &str) -> Child {
    let program = std::env::current_exe().expect("this program");
    Command::new(program)
        .args(["--exact", test, "--nocapture"])
        .env(CHILD, "1")
        .stdout(Stdio::piped())
        .spawn()
        .expect("a child")
}

fn is_child() -> bool {
    std::env::var_os(CHILD).is_some()
}

fn wait_for(child: &mut Child) -> ExitStatus {
    for _ in 0..6000 {
        if let Some(status) = child.try_wait().expect("a child") {
            return status;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    child.kill().expect("a child");
    panic!("the child never ended");
}

#[test]
fn a_pipe_that_nobody_reads_stops_nobody() {
    if is_child() {
        logging::init("node-1".to_owned(), "test");
        for number in 0..MANY_LINES {
            log::warn!(event = "line", number; "{}", "x".repeat(200));
        }
        assert!(logging::dropped_lines() > 0);
        std::process::exit(0);
    }
    let mut child = start_child("a_pipe_that_nobody_reads_stops_nobody");
    assert!(wait_for(&mut child).success());
}
