//! Every state within the bounds keeps the promises, and every broken variant is caught.

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
                panic!("{}: not caught: {}", report.name, variant.name);
            };
            println!("  caught: {}\n{found}", variant.name);
        }
    }
}

#[test]
fn settings_never_go_back_and_leases_are_kept() {
    check(settings_lease::check_all());
}

#[test]
fn escrow_never_exceeds_what_was_granted() {
    check(escrow::check_all());
}
