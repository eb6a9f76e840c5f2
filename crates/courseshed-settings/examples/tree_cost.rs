//! What a settings tree costs as the number of tenants grows: bytes, and time to read and compile.
//!
//! Run with `cargo run --release -p courseshed-settings --example tree_cost`.

use std::time::Instant;

use courseshed_settings::SettingsTree;
use courseshed_types::SettingsVersion;

/// Branches below each tenant.
const WORKLOADS: [&str; 3] = ["quotes", "conversations", "alerts"];
/// Runs of which the fastest counts.
const RUNS: usize = 20;

fn main() {
    println!("tenants branches text_bytes policy_bytes parse_us compile_us");
    for tenants in [55, 138, 275, 550] {
        let text = text_for(tenants);
        let (tree, parse) = fastest(|| SettingsTree::parse(&text).expect("a sound tree"));
        let (policy, compile) = fastest(|| tree.compile(SettingsVersion(1)));
        let encoded = rmp_serde::to_vec_named(&policy).expect("encodable");
        let branches = policy.branches.len();
        let (bytes, policy_bytes) = (text.len(), encoded.len());
        println!("{tenants} {branches} {bytes} {policy_bytes} {parse} {compile}");
    }
}

fn text_for(tenants: usize) -> String {
    let mut text =
        "models = [\"small\", \"large\"]\n[root]\nmodels.default = \"small\"\n".to_owned();
    for tenant in 0..tenants {
        text.push_str(&format!(
            "\n[branch.\"tenant-{tenant}\"]\nshare = {}\nkeys = [\"{tenant:064x}\"]\n",
            tenant % 7 + 1
        ));
        text.push_str(
            "budget = { tokens = \"50M\", per_program = \"1M\" }\ncache.share = \"0.18%\"\n",
        );
        for workload in WORKLOADS {
            text.push_str(&format!(
                "\n[branch.\"tenant-{tenant}/{workload}\"]\nshare = 2\n"
            ));
            text.push_str("priority = 5\nlimits = { turns = 40, tool_pause = \"2m\" }\n");
            text.push_str(&format!(
                "kinds.{workload} = {{ aim = \"20s\", worth = 5 }}\n"
            ));
        }
    }
    text
}

/// The result of `work`, and its shortest time in microseconds.
fn fastest<T>(work: impl Fn() -> T) -> (T, u128) {
    let mut shortest = u128::MAX;
    let mut result = work();
    for _ in 0..RUNS {
        let start = Instant::now();
        result = work();
        shortest = shortest.min(start.elapsed().as_micros());
    }
    (result, shortest)
}
