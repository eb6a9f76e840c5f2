//! Checks that all invariants hold within the bounds and that every injected defect is detected.

use courseshed_types::model_report::ModelReport;

use super::*;

fn check(reports: Vec<ModelReport>) {
    assert!(!reports.is_empty());
    for report in reports {
        println!(
            "{}: {} states; {}",
            report.name, report.states, report.bounds
        );
        if let Some(violation) = &report.violation {
            panic!("{}: {violation}", report.name);
        }
        for variant in &report.broken_variants {
            let Some(found) = &variant.caught else {
                panic!(
                    "{}: injected defect not detected: {}",
                    report.name, variant.name
                );
            };
            println!("  detected: {}\n{found}", variant.name);
        }
    }
}

#[test]
fn settings_lease_invariants_hold() {
    check(settings_lease::check_all());
}

#[test]
fn escrow_invariants_hold() {
    check(escrow::check_all());
}
