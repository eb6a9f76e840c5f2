//! The report for people.

use std::fmt;

use comfy_table::{Cell, CellAlignment, Table, presets::ASCII_MARKDOWN};
use courseshed_control::hollow::{LatencySummary, RoleReport};

use super::{FleetRun, HollowReport};

const MEGABYTE: f64 = 1_000_000.0;

impl fmt::Display for HollowReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limits = &self.limits;
        writeln!(
            formatter,
            "limits per node: {:.1} KB/s, {} % of a core, {} MB; in force everywhere within {} s\n",
            limits.bytes_per_second / 1_000.0,
            limits.processor_percent,
            limits.memory_megabytes,
            limits.in_force_seconds
        )?;
        writeln!(formatter, "{}\n", role_table(&self.runs))?;
        writeln!(formatter, "{}\n", spread_table(&self.runs))?;
        for run in &self.runs {
            writeln!(
                formatter,
                "{} nodes, by mechanism, averages over nodes:",
                run.nodes
            )?;
            writeln!(formatter, "{}\n", mechanism_table(&run.fleet.roles))?;
        }
        for violation in self.runs.iter().flat_map(|run| &run.fleet.violations) {
            writeln!(formatter, "broken: {violation}")?;
        }
        Ok(())
    }
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(header);
    table
}

fn number(value: f64, decimals: usize) -> Cell {
    Cell::new(format!("{value:.decimals$}")).set_alignment(CellAlignment::Right)
}

fn count(value: usize) -> Cell {
    Cell::new(value).set_alignment(CellAlignment::Right)
}

fn name(value: impl serde::Serialize) -> Cell {
    let text = serde_json::to_value(value).ok();
    let text = text.as_ref().and_then(serde_json::Value::as_str);
    Cell::new(text.unwrap_or_default())
}

fn role_table(runs: &[FleetRun]) -> Table {
    let mut table = table(&[
        "nodes",
        "role",
        "count",
        "B/s mean",
        "B/s most",
        "B/s busiest minute",
        "messages/s",
        "core % mean",
        "core % most",
    ]);
    for run in runs {
        for role in &run.fleet.roles {
            table.add_row(vec![
                count(run.nodes as usize),
                name(role.role),
                count(role.nodes),
                number(role.bytes_per_second, 0),
                number(role.most_bytes_per_second, 0),
                number(role.busiest_minute_bytes_per_second, 0),
                number(role.messages_per_second, 1),
                number(role.processor_percent, 3),
                number(role.most_processor_percent, 3),
            ]);
        }
    }
    table
}

fn spread_table(runs: &[FleetRun]) -> Table {
    let mut table = table(&[
        "nodes",
        "at the end",
        "seconds",
        "changes",
        "in force p50 s",
        "p99 s",
        "max s",
        "unfinished",
        "catch-up max s",
        "MB/node",
        "ns/reading",
        "violations",
    ]);
    for run in runs {
        let LatencySummary {
            p50_seconds,
            p99_seconds,
            max_seconds,
            ..
        } = run.fleet.in_force;
        let memory = run.memory_per_node.unwrap_or(0) as f64 / MEGABYTE;
        table.add_row(vec![
            count(run.nodes as usize),
            count(run.fleet.nodes),
            number(run.fleet.seconds, 0),
            count(run.fleet.in_force.count),
            number(p50_seconds, 2),
            number(p99_seconds, 2),
            number(max_seconds, 2),
            count(run.fleet.unfinished),
            number(run.fleet.catch_up.max_seconds, 2),
            number(memory, 2),
            count(run.reading_nanoseconds as usize),
            count(run.fleet.violations.len()),
        ]);
    }
    table
}

fn mechanism_table(roles: &[RoleReport]) -> Table {
    let mut table = table(&[
        "role",
        "mechanism",
        "B/s out",
        "B/s in",
        "messages/s",
        "core %",
    ]);
    for role in roles {
        for mechanism in &role.mechanisms {
            table.add_row(vec![
                name(role.role),
                name(mechanism.mechanism),
                number(mechanism.sent_bytes_per_second, 1),
                number(mechanism.received_bytes_per_second, 1),
                number(mechanism.messages_per_second, 2),
                number(mechanism.processor_percent, 4),
            ]);
        }
    }
    table
}
