//! A machine of the core is replaced; later two others lose their disks.
//!
//! The replaced machine is gone for good, and an empty one is started 2 s later at another address. More than
//! `catch_up_s` after that, two machines are killed right after a configuration was acknowledged, and come back 3 s
//! later with empty disks. Two disks may be lost at one time. With TROUBLE=0 nothing happens to any machine; with
//! TROUBLE=wipes no machine is replaced and the rest is the same.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Record, Role, Terms};
use crate::http::call;

const BOUNDS: &str = r#""seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "acknowledge_ms": 5000, "catch_up_s": 6, "drain_ms": 2500, "grace_period_s": 8, "loss_slack_ms": 200, "configuration_ms": 2500, "rollback_slack_ms": 250, "outer_bound_ms": 6000, "recovery_s": 15, "pass_ms": 200, "retry_after_s": 0, "deadline_s": 10, "settle_ms": 1000"#;
const CORE: usize = 5;
/// The machine that is replaced; the seeds are the machines 0 to 2.
const REPLACED: usize = 4;
/// `x` of `replace_core` in the site file.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(2);
/// Between the start of the successor and the loss of the disks: `catch_up_s` and more.
const QUIET: Duration = Duration::from_secs(12);
const AWAY: Duration = Duration::from_secs(3);
/// How long the operator asks afterwards; `recovery_s` is 15 s.
const ASKS: Duration = Duration::from_secs(50);

fn terms() -> Terms {
    Terms {
        zones: vec!["hcm-q1", "hcm-td", "hcm-q7"],
        region: "hcm",
        bounds: BOUNDS,
        frontend_mb: 88,
        storage_mb: 130,
        disk_mb: 370,
        machines: 2,
        gateway_link_mbps: None,
    }
}

fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-ping","host":"rider.example","path_prefix":"/ping/","kind":"safe","timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"track-app","max_attempts":2,"retention_enabled":false,"retention_s":60.0,"session_affinity":false,"resumable":false,"target_gap_ms":0}}],"services":[{{"name":"track-app","health_check_path":"/health","connection_limit":400,"protocol":"h1","transport_security":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Sends a configuration to each machine in turn until one acknowledges it; returns that machine.
fn send(nodes: &[SocketAddr], version: u64, limit: Duration) -> Option<usize> {
    let until = Instant::now() + limit;
    let body = configuration(version);
    for turn in 0.. {
        if Instant::now() >= until {
            return None;
        }
        let at = turn % nodes.len();
        let headers = [("Content-Type", "application/json")];
        let answer = call(
            nodes[at],
            "POST",
            "/configuration/replace",
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        if answer.is_ok_and(|answer| answer.status == 200) {
            return Some(at);
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

/// The version that a machine reads back; the last status otherwise.
fn read_back(node: SocketAddr) -> Result<u64, String> {
    match call(
        node,
        "GET",
        "/configuration/get",
        &[],
        b"",
        Duration::from_secs(2),
    ) {
        Ok(answer) if answer.status == 200 => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let version = text
                .split("\"version\":")
                .nth(1)
                .and_then(|rest| rest.split(',').next()?.parse().ok());
            version.ok_or_else(|| "200 without a version".to_owned())
        }
        Ok(answer) => Err(answer.status.to_string()),
        Err(error) => Err(error.to_string()),
    }
}

pub fn run(record: Record, trouble: bool) -> Verdict {
    let replaces = trouble && std::env::var("TROUBLE").map_or(true, |value| value != "wipes");
    let mut fleet = Fleet::start(terms(), (CORE, 5, 1), record.clone());
    let all = fleet.control_addresses();
    if send(&all, 1, Duration::from_secs(20)).is_none() {
        return Verdict::NotRun("the first configuration was not acknowledged".into());
    }
    record.line("operator: version 1 acknowledged");
    // All machines have joined the group.
    thread::sleep(Duration::from_secs(6));
    let mut core: Vec<usize> = (0..CORE)
        .map(|index| fleet.find(Role::Controller, index))
        .collect();
    if replaces {
        fleet.kill(core[REPLACED]);
        thread::sleep(SUCCESSOR_AFTER);
        core[REPLACED] = fleet.add_empty(Role::Controller, CORE);
    }
    thread::sleep(QUIET);
    let address = |fleet: &Fleet, at: usize| {
        fleet.control_addresses()[fleet.nodes[..at]
            .iter()
            .filter(|node| node.role == Role::Controller)
            .count()]
    };
    let nodes: Vec<SocketAddr> = core.iter().map(|at| address(&fleet, *at)).collect();
    // The machines that acknowledge are among the first four, which have been there from the start.
    let Some(acknowledged_by) = send(&nodes[..4], 2, Duration::from_secs(10)) else {
        return Verdict::NotRun("version 2 was not acknowledged".into());
    };
    record.line(format!(
        "operator: version 2 acknowledged by machine {acknowledged_by}"
    ));
    if trouble {
        let lost = [core[acknowledged_by], core[(acknowledged_by + 1) % 4]];
        for at in lost {
            fleet.kill(at);
        }
        for at in lost {
            fleet.wipe(at);
        }
        thread::sleep(AWAY);
        for at in lost {
            fleet.restart(at);
        }
    }
    let began = Instant::now();
    let mut last = String::new();
    let mut version = None;
    let mut turn = 0;
    while began.elapsed() < ASKS {
        let at = turn % nodes.len();
        let result = read_back(nodes[at]);
        let text = format!("machine {at}: {result:?}");
        if text != last {
            record.line(format!("operator: reads the configuration, {text}"));
            last = text;
        }
        if let Ok(read) = result {
            version = Some(read);
            break;
        }
        turn += 1;
        thread::sleep(Duration::from_millis(200));
    }
    let read_ms = began.elapsed().as_millis();
    let next = send(&nodes, 3, Duration::from_secs(5)).is_some();
    record.line(format!("operator: version 3 acknowledged: {next}"));
    for at in &core {
        if fleet.has_ended(*at) {
            record.line(format!("platform: {} has ended", fleet.nodes[*at].name));
        }
    }
    drop(fleet);
    match version {
        Some(version) if version >= 2 => Verdict::Held(format!(
            "version {version} was read back after {read_ms} ms; the next one was acknowledged: {next}"
        )),
        Some(version) => Verdict::Broken(format!(
            "version {version} was read back, and version 2 had been acknowledged"
        )),
        None => Verdict::Broken(format!(
            "with all five machines of the core up again, none gave the acknowledged configuration back in {read_ms} ms, in {turn} tries; the next one was acknowledged: {next}"
        )),
    }
}
