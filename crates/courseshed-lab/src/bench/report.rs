//! What a bench came to: phases, slopes, ratios, and what they mean at the size designed for.

use std::{collections::BTreeMap, fmt};

use comfy_table::{CellAlignment, Table, presets};
use serde::{Serialize, Serializer};

use super::{
    fit::{Point, Slopes, fit},
    streams::Way,
};

/// Tokens a second of one node at the size designed for.
const NODE_TOKENS_PER_SECOND: f64 = 13_600.0;
/// Calls a second of one node at the size designed for.
const NODE_CALLS_PER_SECOND: f64 = 61.0;

/// What a phase does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PhaseKind {
    /// Streams through a gateway.
    GatewayStreams,
    /// Streams straight to the engine.
    StraightStreams,
    /// Calls of one token through a gateway.
    GatewayCalls,
    /// Calls of one token straight to the engine.
    StraightCalls,
    /// Programs created: a request with one commit.
    Create,
    /// Programs read: a request without a commit.
    Read,
}

/// What one phase cost beyond the idle load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Phase {
    /// What it did.
    pub kind: PhaseKind,
    /// Nodes that keep a replica.
    pub replicas: u32,
    /// Calls, or programs.
    pub calls: u64,
    /// Tokens streamed.
    pub tokens: u64,
    /// How long it took.
    pub seconds: f64,
    /// Processor time of all nodes, microseconds.
    pub node_us: f64,
    /// Processor time of the engine, microseconds.
    pub engine_us: f64,
    /// Processor time of the caller, microseconds.
    pub caller_us: f64,
}

/// Memory of one kind of thing.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct MemoryFigure {
    /// Of what.
    pub what: &'static str,
    /// Nodes whose memory is counted together.
    pub replicas: u32,
    /// How many there were.
    pub count: u64,
    /// Bytes of each, all nodes together.
    pub bytes_each: u64,
}

/// What follows from the phases for one number of replicas.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Processor time of all nodes, microseconds.
    pub node: Slopes,
    /// Processor time of engine and caller for a stream straight to the engine, microseconds.
    pub straight: Slopes,
    /// What the nodes add for a token, against what a stream straight to the engine costs at both its ends.
    pub token_ratio: f64,
    /// The same for a call.
    pub call_ratio: f64,
    /// Processor time of all nodes for a commit, microseconds.
    pub per_commit: f64,
    /// Cores that one node takes for its tokens at the size designed for.
    pub cores_for_tokens: f64,
    /// Cores that one node takes for its calls, replicas included.
    pub cores_for_calls: f64,
}

/// What a bench came to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BenchReport {
    /// Phases in the order they ran.
    pub phases: Vec<Phase>,
    /// Cores that a node takes without load, by replicas.
    pub idle_cores: BTreeMap<u32, f64>,
    /// Memory, where processes were measured.
    pub memory: Vec<MemoryFigure>,
    /// What follows, by replicas.
    pub summaries: BTreeMap<u32, Summary>,
}

impl PhaseKind {
    pub(super) fn streams(way: Way) -> PhaseKind {
        match way {
            Way::Gateway => PhaseKind::GatewayStreams,
            Way::Straight => PhaseKind::StraightStreams,
        }
    }

    pub(super) fn calls(way: Way) -> PhaseKind {
        match way {
            Way::Gateway => PhaseKind::GatewayCalls,
            Way::Straight => PhaseKind::StraightCalls,
        }
    }
}

impl fmt::Display for PhaseKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            PhaseKind::GatewayStreams => "streams through a gateway",
            PhaseKind::StraightStreams => "streams straight to the engine",
            PhaseKind::GatewayCalls => "1-token calls through a gateway",
            PhaseKind::StraightCalls => "1-token calls straight",
            PhaseKind::Create => "programs created (1 commit)",
            PhaseKind::Read => "programs read (no commit)",
        })
    }
}

impl Serialize for PhaseKind {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl BenchReport {
    /// The report with what follows from its phases.
    pub fn summed_up(mut self) -> BenchReport {
        let replicas: Vec<u32> = self.idle_cores.keys().copied().collect();
        for replicas in replicas {
            let summary = self.summary(replicas);
            self.summaries.insert(replicas, summary);
        }
        self
    }

    fn summary(&self, replicas: u32) -> Summary {
        let of = |kinds: [PhaseKind; 2], cost: &dyn Fn(&Phase) -> f64| {
            let points = self
                .of_replicas(replicas)
                .filter(|phase| kinds.contains(&phase.kind));
            let points: Vec<Point> = points
                .map(|phase| Point {
                    tokens: phase.tokens as f64,
                    calls: phase.calls as f64,
                    cost: cost(phase),
                })
                .collect();
            fit(&points).unwrap_or_default()
        };
        let node = of(
            [PhaseKind::GatewayStreams, PhaseKind::GatewayCalls],
            &|phase| phase.node_us,
        );
        let straight = of(
            [PhaseKind::StraightStreams, PhaseKind::StraightCalls],
            &|phase| phase.engine_us + phase.caller_us,
        );
        Summary {
            node,
            straight,
            token_ratio: node.per_token / straight.per_token,
            call_ratio: node.per_call / straight.per_call,
            per_commit: self.per_commit(replicas),
            cores_for_tokens: node.per_token * NODE_TOKENS_PER_SECOND / 1e6,
            cores_for_calls: node.per_call * NODE_CALLS_PER_SECOND / 1e6,
        }
    }

    /// What a request with a commit costs more than one without.
    fn per_commit(&self, replicas: u32) -> f64 {
        let each = |kind: PhaseKind| {
            let mut phases = self.of_replicas(replicas);
            let phase = phases.find(|phase| phase.kind == kind);
            phase.map_or(0.0, |phase| phase.node_us / phase.calls.max(1) as f64)
        };
        each(PhaseKind::Create) - each(PhaseKind::Read)
    }

    fn of_replicas(&self, replicas: u32) -> impl Iterator<Item = &Phase> {
        let phases = self.phases.iter();
        phases.filter(move |phase| phase.replicas == replicas)
    }
}

impl fmt::Display for BenchReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", phase_table(self))?;
        for (replicas, idle) in &self.idle_cores {
            let percent = idle * 100.0;
            writeln!(
                formatter,
                "{replicas} replicas, idle: {percent:.2}% of a core a node"
            )?;
        }
        for (replicas, summary) in &self.summaries {
            write_summary(formatter, *replicas, summary)?;
        }
        for memory in &self.memory {
            writeln!(
                formatter,
                "memory: {} bytes for each {} ({} of them, {} nodes together)",
                memory.bytes_each, memory.what, memory.count, memory.replicas
            )?;
        }
        Ok(())
    }
}

fn write_summary(
    formatter: &mut fmt::Formatter<'_>,
    replicas: u32,
    summary: &Summary,
) -> fmt::Result {
    let Summary {
        node,
        straight,
        token_ratio,
        call_ratio,
        per_commit,
        cores_for_tokens,
        cores_for_calls,
    } = summary;
    writeln!(
        formatter,
        "{replicas} replicas: nodes take {:.2} µs a token and {:.0} µs a call; straight to the engine, \
         engine and caller take {:.2} and {:.0}: ratios {token_ratio:.2} and {call_ratio:.2}",
        node.per_token, node.per_call, straight.per_token, straight.per_call
    )?;
    writeln!(
        formatter,
        "{replicas} replicas: a commit takes {per_commit:.0} µs on all nodes together"
    )?;
    writeln!(
        formatter,
        "{replicas} replicas: at {NODE_TOKENS_PER_SECOND} tokens/s and {NODE_CALLS_PER_SECOND} calls/s a node: \
         {cores_for_tokens:.3} + {cores_for_calls:.3} cores"
    )
}

fn phase_table(report: &BenchReport) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_FULL_CONDENSED);
    table.set_header(vec![
        "phase",
        "replicas",
        "calls",
        "tokens",
        "seconds",
        "node µs/token",
        "node µs/call",
        "engine µs/call",
        "caller µs/call",
    ]);
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    for phase in &report.phases {
        let a_call = |cost: f64| format!("{:.0}", cost / phase.calls.max(1) as f64);
        let per_token = match phase.tokens {
            0 => "-".to_owned(),
            tokens => format!("{:.2}", phase.node_us / tokens as f64),
        };
        table.add_row(vec![
            phase.kind.to_string(),
            phase.replicas.to_string(),
            phase.calls.to_string(),
            phase.tokens.to_string(),
            format!("{:.2}", phase.seconds),
            per_token,
            a_call(phase.node_us),
            a_call(phase.engine_us),
            a_call(phase.caller_us),
        ]);
    }
    table
}
