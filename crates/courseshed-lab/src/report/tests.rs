//! The page is whole, stands alone and names what it shows; broken lines are named.

use std::{fs, path::Path};

use tempfile::TempDir;

use super::{read_lines, render};
use crate::{
    experiment::{Experiment, run_all, write_lines},
    simulation::RunResult,
};

fn results() -> Vec<RunResult> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let mut experiment = Experiment::load(&folder.join("hokkaido.toml")).expect("an experiment");
    experiment.file.loads = vec![1.0];
    experiment.file.seeds.truncate(1);
    experiment.file.duration = std::time::Duration::from_secs(60);
    experiment.file.warm_up = std::time::Duration::from_secs(10);
    run_all(&experiment, 5.0, 2, || {}).expect("results")
}

#[test]
fn the_page_stands_alone() {
    let page = render("Rivals & <friends>", &results()).expect("a page");
    assert!(page.starts_with("<!doctype html>") && page.ends_with("</html>\n"));
    assert!(page.contains("Rivals &amp; &lt;friends&gt;"));
    for expected in [
        "Program latency at 100 % load",
        "Wasted cache by cause",
        "per-call-fair",
    ] {
        assert!(page.contains(expected), "{expected}");
    }
    assert!(page.matches("<svg").count() >= 8);
    let outside = page.replace("http://www.w3.org/2000/svg", "");
    assert!(!outside.contains("http") && !outside.contains("<script"));
}

#[test]
fn a_broken_line_is_named() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("results.jsonl");
    write_lines(&path, &results()[..1]).expect("written");
    let whole = fs::read_to_string(&path).expect("read");
    fs::write(&path, format!("{whole}{{\"policy\": 3}}\n")).expect("written");
    let error = read_lines(&path).expect_err("a mistake").to_string();
    assert!(error.contains("results.jsonl line 2: "), "{error}");
}
