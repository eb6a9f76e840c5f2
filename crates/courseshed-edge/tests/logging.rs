//! Logging never blocks the process.

use std::io::Read;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use courseshed_edge::logging;

/// Set in child processes that this test starts.
const CHILD_VAR: &str = "COURSESHED_TEST_CHILD";
/// More than the pipe buffer and the log queue hold.
const MANY_LINES: usize = 20_000;
/// More than the pipe buffer holds, and fewer than the log queue does.
const LINES_OVER_A_PIPE: usize = 1_000;

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

/// Guards against an exit that loses the last lines, which say why, when the log's thread is slow.
#[test]
fn flush_waits_until_a_slow_reader_has_the_last_line() {
    const LAST_LINE: &str = "the last line";
    const TIMEOUT: Duration = Duration::from_secs(60);
    if is_child() {
        logging::init("node-1".to_owned(), "test");
        for number in 0..LINES_OVER_A_PIPE {
            log::warn!(event = "line", number; "{}", "x".repeat(200));
        }
        log::error!(event = "failed"; "{LAST_LINE}");
        let is_written = logging::flush(TIMEOUT);
        std::process::exit(i32::from(!is_written));
    }
    let mut child = start_child("flush_waits_until_a_slow_reader_has_the_last_line");
    std::thread::sleep(Duration::from_millis(500));
    let mut text = String::new();
    let mut output = child.stdout.take().expect("a pipe");
    output.read_to_string(&mut text).expect("a log");
    let line = text.lines().next_back().unwrap_or_default();
    assert!(line.contains(LAST_LINE), "{line}");
    assert!(wait_for(&mut child).success());
}

/// Guards against an exit that hangs on a log that nobody reads.
#[test]
fn exit_waits_for_a_log_that_is_not_read_only_for_a_limited_time() {
    if is_child() {
        logging::init("node-1".to_owned(), "test");
        for number in 0..MANY_LINES {
            log::warn!(event = "line", number; "{}", "x".repeat(200));
        }
        logging::log_exit(&Err("the cause".to_owned()));
        std::process::exit(0);
    }
    let mut child = start_child("exit_waits_for_a_log_that_is_not_read_only_for_a_limited_time");
    assert!(wait_for(&mut child).success());
}
