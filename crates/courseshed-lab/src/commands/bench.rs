//! `courseshed-lab bench`: what a gateway and the commits behind it cost.

use argh::FromArgs;

use super::{
    CommandError, CommandOutcome,
    output::{OutputFormat, print_json, print_text},
};
use crate::bench::{self, BenchOptions, RunningFleet};

/// Measure processor time per token, call and commit, and memory, beside streams straight to the engine.
///
/// Without --url it embeds nodes and an engine in this process and tells their threads apart. With --url it measures
/// processes that run already, given by --pid and --engine-pid, and their memory too.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "bench")]
pub struct BenchArguments {
    /// numbers of streams open at once, with commas (default 10,100,500)
    #[argh(option, default = "NumberList(vec![10, 100, 500])")]
    streams: NumberList,
    /// tokens of each stream (default 100)
    #[argh(option, default = "100")]
    tokens: u32,
    /// calls of one token (default 1000)
    #[argh(option, default = "1000")]
    calls: usize,
    /// programs created and read, to tell what a commit costs (default 2000)
    #[argh(option, default = "2000")]
    commits: usize,
    /// numbers of embedded nodes that keep replicas, one fleet after the other, with commas (default 1,3)
    #[argh(option, default = "NumberList(vec![1, 3])")]
    replicas: NumberList,
    /// a gateway that runs already
    #[argh(option)]
    url: Option<String>,
    /// process id of a node that runs already; give all of them
    #[argh(option)]
    pid: Vec<i32>,
    /// an engine that runs already
    #[argh(option)]
    engine: Option<String>,
    /// process id of an engine that runs already
    #[argh(option)]
    engine_pid: Vec<i32>,
    /// a caller's key
    #[argh(option)]
    key: Option<String>,
    /// the branch that pays (default first)
    #[argh(option, default = "String::from(\"first\")")]
    branch: String,
    /// the model (default base)
    #[argh(option, default = "String::from(\"base\")")]
    model: String,
    /// text (default) or json
    #[argh(option, default = "OutputFormat::Text")]
    output: OutputFormat,
}

/// Whole numbers with commas between them.
#[derive(Debug, Clone, PartialEq, Eq)]
struct NumberList(Vec<usize>);

impl std::str::FromStr for NumberList {
    type Err = String;

    fn from_str(text: &str) -> Result<NumberList, String> {
        let numbers = text.split(',').map(|number| match number.trim().parse() {
            Ok(number) if number > 0 => Ok(number),
            _ => Err(format!("\"{number}\" is not a whole number from 1")),
        });
        numbers.collect::<Result<_, _>>().map(NumberList)
    }
}

impl BenchArguments {
    pub(super) fn run(self) -> Result<CommandOutcome, CommandError> {
        let options = self.options()?;
        let on_phase = |phase: &str| eprintln!("bench: {phase}");
        let ran = actix_rt::System::new().block_on(bench::run(&options, on_phase));
        let report = ran.map_err(|error| CommandError::Run {
            reason: error.to_string(),
        })?;
        match self.output {
            OutputFormat::Text => print_text(&report.to_string())?,
            OutputFormat::Json => print_json(&report)?,
        }
        Ok(CommandOutcome::Held)
    }

    fn options(&self) -> Result<BenchOptions, CommandError> {
        Ok(BenchOptions {
            streams: self.streams.0.clone(),
            tokens: self.tokens.max(1),
            calls: self.calls.max(1),
            commits: self.commits.max(1),
            replicas: self.replicas.0.iter().map(|nodes| *nodes as u32).collect(),
            running: self.running()?,
        })
    }

    fn running(&self) -> Result<Option<RunningFleet>, CommandError> {
        let Some(url) = &self.url else {
            return Ok(None);
        };
        let Some(engine_url) = &self.engine else {
            return Err(missing("--engine", "the engine behind --url"));
        };
        if self.pid.is_empty() {
            return Err(missing(
                "--pid",
                "the process ids of the nodes behind --url",
            ));
        }
        Ok(Some(RunningFleet {
            url: url.trim_end_matches('/').to_owned(),
            node_pids: self.pid.clone(),
            engine_url: engine_url.trim_end_matches('/').to_owned(),
            engine_pids: self.engine_pid.clone(),
            key: self.key.clone(),
            branch: self.branch.clone(),
            model: self.model.clone(),
        }))
    }
}

fn missing(option: &'static str, what: &str) -> CommandError {
    CommandError::Option {
        option,
        reason: format!("give {what}"),
    }
}
