//! The quickstart in small: a whole fleet in the test's process, and every promise judged from outside.

use std::time::Duration;

use courseshed_emulator::EngineOptions;
use courseshed_engine_model::EngineModelConfig;
use courseshed_lab::live::LiveReport;
use courseshed_lab::quickstart::{self, FleetOptions, QuickstartOptions};

/// Engines several times faster than usual, so that the test ends soon.
fn fast_fleet() -> FleetOptions {
    let usual = FleetOptions::default();
    FleetOptions {
        engine: EngineOptions {
            config: EngineModelConfig {
                step_base: Duration::from_millis(2),
                ..EngineModelConfig::default()
            },
            ..usual.engine.clone()
        },
        ..usual
    }
}

fn run_programs(programs: usize) -> LiveReport {
    let options = QuickstartOptions {
        seed: 7,
        programs,
        fleet: fast_fleet(),
        ..QuickstartOptions::default()
    };
    let run = quickstart::run(&options, |_| {});
    actix_rt::System::new().block_on(run).expect("it runs")
}

/// Programs that failed for another reason than that an engine crashed under a call that must not run twice: its
/// caller is told that it may have run, and the program can't go on. Callers make all other calls anew.
fn unexplained_failures(report: &LiveReport) -> u64 {
    let programs = &report.figures.programs;
    let failures = programs.failures.iter();
    let explained = failures.filter(|(reason, _)| {
        reason.contains("engine_failed:") && reason.ends_with("(may_have_run)")
    });
    programs.failed - explained.map(|(_, count)| count).sum::<u64>()
}

#[test]
fn a_small_fleet_keeps_every_promise() {
    let report = run_programs(14);
    assert!(report.held(), "{report}");
    // Lookups beside quotes are programs of their own.
    assert!(report.figures.programs.started >= 14, "{report}");
    assert_eq!(unexplained_failures(&report), 0, "{report}");
    let tested = [
        "order",
        "history",
        "whole_answer",
        "budget",
        "engine_memory",
        "at_most_once",
        "leaving_engine",
        "settings",
    ];
    for promise in tested {
        assert!(
            report.judged[promise] > 0,
            "{promise} was not judged: {report}"
        );
    }
}

/// Found by a run of the CI script beside busy processes: all programs ended before an engine left, and
/// nobody looked at the engines any more.
#[test]
fn faults_are_judged_however_soon_the_programs_end() {
    let report = run_programs(0);
    assert!(report.held(), "{report}");
    assert!(report.judged["leaving_engine"] > 0, "{report}");
}
