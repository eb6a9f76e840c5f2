//! `courseshed timeline` on files of log lines: what is printed of a stop and start of a fleet, and
//! that lines which are damaged, out of order or of clocks that differ don't end it.

use std::path::PathBuf;

use courseshed_cli::{Exit, run};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Start of the processes after the stop, in Unix ms.
const ZERO: u64 = 1_700_000_060_000;

struct Files {
    folder: TempDir,
    paths: Vec<PathBuf>,
}

impl Files {
    fn new() -> Self {
        Self {
            folder: TempDir::new().expect("a folder"),
            paths: Vec::new(),
        }
    }

    fn write(mut self, name: &str, text: impl AsRef<[u8]>) -> Self {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).expect("written");
        self.paths.push(path);
        self
    }

    async fn text(&self, options: &[&str]) -> String {
        let mut arguments = vec!["timeline".to_owned()];
        arguments.extend(options.iter().map(|&option| option.to_owned()));
        let paths = self.paths.iter();
        arguments.extend(paths.map(|path| path.display().to_string()));
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = run(&arguments, &mut out, &mut err).await;
        let err = String::from_utf8(err).expect("text");
        assert_eq!(exit, Exit::Done, "{err}");
        String::from_utf8(out).expect("text")
    }

    async fn json(&self, options: &[&str]) -> Value {
        let mut options = options.to_vec();
        options.extend(["--output", "json"]);
        serde_json::from_str(&self.text(&options).await).expect("JSON")
    }
}

fn line(node: &str, at_ms: u64, event: &str, more: Value) -> String {
    let role = node.split('-').next().expect("a role");
    let mut line =
        json!({"at_ms": at_ms, "level": "INFO", "node": node, "role": role, "event": event});
    let fields = line.as_object_mut().expect("an object");
    fields.extend(more.as_object().cloned().unwrap_or_default());
    format!("{line}\n")
}

fn plain(node: &str, at_ms: u64, event: &str) -> String {
    line(node, at_ms, event, json!({}))
}

fn call(node: &str, at_ms: u64, outcome: &str, status: u16) -> String {
    let fields = json!({"outcome": outcome, "status": status, "took_ms": 20});
    line(node, at_ms, "call_over", fields)
}

fn role(node: &str, at_ms: u64, role: &str, term: u64, leader: u64) -> String {
    let fields = json!({"role": role, "term": term, "leader": leader});
    line(node, at_ms, "role_changed", fields)
}

/// Lines of a controller, a store and two gateways before and after a stop of all. Before it,
/// 20 calls are answered each second; afterwards as many from 1,000 ms on.
fn fleet() -> [(&'static str, String); 4] {
    let controller = [
        plain("controller-1", ZERO - 60_000, "start"),
        plain("controller-1", ZERO + 10, "start"),
        plain("controller-1", ZERO + 40, "replica_opened"),
        role("controller-1", ZERO + 410, "Leader", 7, 1),
        line(
            "controller-1",
            ZERO + 420,
            "quota_owner",
            json!({"epoch": 7}),
        ),
        line(
            "controller-1",
            ZERO + 470,
            "quota_first_grant",
            json!({"epoch": 7}),
        ),
    ];
    let store = [
        plain("store-1", ZERO - 60_000, "start"),
        plain("store-1", ZERO + 20, "start"),
        plain("store-1", ZERO + 60, "store_opened"),
        // Stores have the table too, which says nothing of gateways.
        plain("store-1", ZERO + 80, "routing_in_force"),
    ];
    let mut first = plain("gateway-1", ZERO - 60_000, "start");
    for number in 0..100 {
        first.push_str(&call(
            "gateway-1",
            ZERO - 10_000 + number * 50,
            "answered",
            200,
        ));
    }
    first.push_str(&plain("gateway-1", ZERO, "start"));
    first.push_str(&plain("gateway-1", ZERO + 290, "routing_in_force"));
    first.push_str(&call("gateway-1", ZERO + 300, "no_quota", 503));
    first.push_str(&call("gateway-1", ZERO + 1_200, "over_quota", 429));
    first.push_str(&call("gateway-1", ZERO + 1_300, "over_quota", 429));
    let mut second = plain("gateway-2", ZERO - 60_000, "start");
    second.push_str(&plain("gateway-2", ZERO + 5, "start"));
    second.push_str(&plain("gateway-2", ZERO + 50, "routing_in_force"));
    second.push_str(&line(
        "gateway-2",
        ZERO + 430,
        "quorum_answered",
        json!({"partition": 3}),
    ));
    second.push_str(&plain("gateway-2", ZERO + 440, "first_call_sent"));
    second.push_str(&call("gateway-2", ZERO + 450, "answered", 200));
    for number in 0..60 {
        second.push_str(&call(
            "gateway-2",
            ZERO + 1_000 + number * 50,
            "answered",
            200,
        ));
    }
    [
        ("controller", controller.concat()),
        ("store", store.concat()),
        ("gateway-1", first),
        ("gateway-2", second),
    ]
}

fn files_of(lines: [(&str, String); 4]) -> Files {
    let mut files = Files::new();
    for (name, text) in lines {
        files = files.write(name, text);
    }
    files
}

/// The times of a milestone of the last restart: how many reached it, first, median and last.
fn milestone(timeline: &Value, name: &str) -> [Option<u64>; 4] {
    let restart = timeline["restarts"].as_array().and_then(|all| all.last());
    let milestones = restart.and_then(|restart| restart["milestones"].as_array());
    let mut milestones = milestones.expect("milestones").iter();
    let found = milestones.find(|milestone| milestone["milestone"] == name);
    let found = found.unwrap_or_else(|| panic!("no milestone {name}"));
    ["reached", "first_ms", "median_ms", "last_ms"].map(|field| found[field].as_u64())
}

fn at(ms: u64) -> [Option<u64>; 4] {
    [Some(1), Some(ms), Some(ms), Some(ms)]
}

#[actix_web::test]
async fn the_milestones_of_a_stop_and_start_are_told() {
    let timeline = files_of(fleet()).json(&[]).await;
    assert_eq!(timeline["restarts"].as_array().map(Vec::len), Some(2));
    let of = |name| milestone(&timeline, name);
    assert_eq!(of("processes up"), [Some(4), Some(0), Some(10), Some(20)]);
    assert_eq!(of("stores open"), at(60));
    assert_eq!(of("controllers open"), at(40));
    assert_eq!(of("leader elected"), at(410));
    let tables = [Some(2), Some(50), Some(290), Some(290)];
    assert_eq!(of("routing table at gateways"), tables);
    assert_eq!(of("owner of permits"), at(420));
    assert_eq!(of("first grant of permits"), at(470));
    assert_eq!(of("partitions with a quorum"), at(430));
    assert_eq!(of("first call sent"), at(440));
    assert_eq!(of("first answer"), at(450));
    assert_eq!(of("usual number of answers"), at(900));
    let refusals = json!([
        {"second": 0, "reason": "no_quota", "count": 1},
        {"second": 1, "reason": "over_quota", "count": 2},
    ]);
    assert_eq!(timeline["restarts"][1]["refusals"], refusals);
}

#[actix_web::test]
async fn people_are_given_a_table() {
    let text = files_of(fleet()).text(&[]).await;
    let rows: Vec<Vec<&str>> = text
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert!(
        rows.contains(&vec!["leader", "elected", "1", "0.410", "0.410", "0.410"]),
        "{text}"
    );
    let tables = "routing table at gateways 2/2 0.050 0.290 0.290";
    assert!(rows.contains(&tables.split(' ').collect()), "{text}");
    assert!(rows.contains(&vec!["1", "over_quota", "2"]), "{text}");
}

/// Guards against a reader that stops at the first bad line, or takes a fragment for a line.
#[actix_web::test]
async fn damaged_lines_are_counted_and_named_and_the_rest_is_read() {
    let mut lines = fleet();
    lines[1]
        .1
        .push_str("thread 'main' panicked at src/main.rs:1:1\n\n[5,\"a\",\"store\",\"start\"]\n");
    lines[1]
        .1
        .push_str("{\"at_ms\": -5, \"node\": \"store-1\", \"event\": \"start\"}\n");
    lines[1]
        .1
        .push_str("{\"at_ms\": 5, \"event\": \"start\"}\n");
    lines[1]
        .1
        .push_str("{\"at_ms\": 5, \"node\": \"store-1\", \"message\": \"no event\"}\n");
    lines[1].1.push_str(
        "{\"at_ms\": 5, \"level\": \"WARN\", \"event\": \"lines_left_out\", \"count\": 4}\n",
    );
    lines[2]
        .1
        .push_str("{\"at_ms\":1700000060300,\"node\":\"gateway-1\",\"event\":\"call_o");
    let files = files_of(lines).write("binary", [b'{', 0xff, 0xfe, b'\n']);
    let timeline = files.json(&[]).await;
    assert_eq!(timeline["invalid_lines"], 6, "{timeline:#}");
    assert_eq!(timeline["dropped_lines"], 4);
    assert_eq!(milestone(&timeline, "stores open"), at(60));
    assert_eq!(milestone(&timeline, "usual number of answers"), at(900));
    let text = files.text(&[]).await;
    assert!(text.contains("store:5: not a JSON object"), "{text}");
    assert!(text.contains("store:9: missing field `node`"), "{text}");
}

/// Guards against figures that depend on the order of lines or files.
#[actix_web::test]
async fn the_order_of_lines_and_files_does_not_matter() {
    let expected = files_of(fleet()).json(&[]).await;
    let mut lines = fleet();
    for (_, text) in &mut lines {
        let reversed: Vec<&str> = text.lines().rev().collect();
        *text = reversed.join("\n");
    }
    lines.reverse();
    let timeline = files_of(lines).json(&[]).await;
    assert_eq!(timeline["restarts"], expected["restarts"]);
    assert_eq!(
        timeline["steps_back_ms"]
            .as_object()
            .map(|nodes| nodes.len()),
        Some(4)
    );
}

/// Guards against milestones of a process that died right after it had reached them.
#[actix_web::test]
async fn only_the_last_start_of_a_node_counts() {
    let mut lines = fleet();
    lines[1].1.push_str(&plain("store-1", ZERO + 700, "start"));
    lines[1]
        .1
        .push_str(&plain("store-1", ZERO + 790, "store_opened"));
    lines[3]
        .1
        .push_str(&plain("gateway-2", ZERO + 600, "start"));
    let timeline = files_of(lines).json(&[]).await;
    assert_eq!(timeline["restarts"].as_array().map(Vec::len), Some(2));
    assert_eq!(
        milestone(&timeline, "processes up"),
        [Some(4), Some(0), Some(600), Some(700)]
    );
    assert_eq!(milestone(&timeline, "stores open"), at(790));
    assert_eq!(milestone(&timeline, "routing table at gateways"), at(290));
}

/// Guards against a single restarted process that is taken for a restart of the fleet.
#[actix_web::test]
async fn few_starts_are_no_restart_unless_asked_for() {
    let mut lines = fleet();
    lines[1]
        .1
        .push_str(&plain("store-1", ZERO + 9_000, "start"));
    let files = files_of(lines);
    let count = |timeline: Value| timeline["restarts"].as_array().map(Vec::len);
    assert_eq!(count(files.json(&[]).await), Some(2));
    assert_eq!(count(files.json(&["--nodes", "1"]).await), Some(3));
    assert_eq!(count(files.json(&["--nodes", "5"]).await), Some(0));
    let text = files.text(&["--nodes", "5"]).await;
    assert_eq!(text, "no restart: of 4 nodes at most 4 started together\n");
}

/// Guards against times of different clocks that are compared without a word.
#[actix_web::test]
async fn clocks_that_differ_are_told() {
    let mut lines = fleet();
    lines[0]
        .1
        .push_str(&role("controller-2", ZERO + 100, "Follower", 7, 1));
    let early = lines[3]
        .1
        .replace(&(ZERO + 50).to_string(), &(ZERO - 500).to_string());
    lines[3].1 = early.replace(&(ZERO + 5).to_string(), &(ZERO - 600).to_string());
    let text = files_of(lines).text(&["--nodes", "3"]).await;
    let follower = "controller-2 follows controller-1 310 ms before its election";
    assert!(text.contains(follower), "{text}");
}

#[actix_web::test]
async fn a_gateway_ahead_of_all_controllers_has_another_clock() {
    let mut lines = fleet();
    let open = (ZERO + 40).to_string();
    lines[0].1 = lines[0].1.replace(&open, &(ZERO + 340).to_string());
    let text = files_of(lines).text(&[]).await;
    let gateway = "gateway-2 has a routing table 290 ms before any controller is open";
    assert!(text.contains(gateway), "{text}");
}

#[actix_web::test]
async fn a_missing_file_is_named_and_no_url_is_needed() {
    for (arguments, text) in [
        (vec!["timeline"], "give the log files"),
        (
            vec!["timeline", "/nowhere/a.log"],
            "/nowhere/a.log: cannot be read",
        ),
        (
            vec!["timeline", "/nowhere/a.log", "--url", "x"],
            "/nowhere/a.log: cannot be read",
        ),
    ] {
        let arguments: Vec<String> = arguments.into_iter().map(str::to_owned).collect();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = run(&arguments, &mut out, &mut err).await;
        let err = String::from_utf8(err).expect("text");
        assert_eq!(exit, Exit::Usage);
        assert!(err.contains(text), "{err}");
    }
}
