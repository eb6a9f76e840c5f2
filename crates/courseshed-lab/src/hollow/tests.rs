//! A small fleet through a hard quarter of an hour.

use std::time::Duration;

use courseshed_control::hollow::{HollowOptions, NodeRoleName};

use super::*;

fn plan() -> HollowPlan {
    HollowPlan {
        options: HollowOptions {
            tenants: 20,
            ..HollowOptions::default()
        },
        time: Duration::from_secs(900),
        day: DayPlan {
            burst: 5,
            failures: 13.0,
            restarts: 280.0,
            compress: 5.0,
            cut: Duration::from_secs(180),
            zone_lost: true,
            ..DayPlan::default()
        },
    }
}

#[test]
fn a_fleet_keeps_its_promises_and_says_what_control_costs() {
    let report = HollowReport::sweep(&plan(), &[24, 40]);
    assert!(report.held(), "{report}");
    for run in &report.runs {
        assert!(run.changes >= 100, "{report}");
        assert_eq!(run.fleet.unfinished, 0, "{report}");
        assert_eq!(run.fleet.catch_up.count, 1, "{report}");
        assert!(
            run.fleet.in_force.max_seconds <= report.limits.in_force_seconds,
            "{report}"
        );
        let plain = run
            .fleet
            .roles
            .iter()
            .find(|role| role.role == NodeRoleName::Plain);
        let plain = plain.expect("most nodes are plain");
        assert!(plain.bytes_per_second > 0.0 && plain.processor_percent > 0.0);
    }
    let text = report.to_string();
    assert!(text.contains("heartbeats") && text.contains("leader"));
    let json = serde_json::to_value(&report).expect("encodes");
    assert_eq!(json["runs"][0]["nodes"], 24);
}
