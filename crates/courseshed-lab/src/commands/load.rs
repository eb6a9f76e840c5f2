//! `courseshed-lab load`: programs against a running deployment, and its promises checked from outside.

use std::{path::Path, time::Duration};

use argh::FromArgs;
use courseshed_types::BranchPath;

use super::{
    CommandError, CommandOutcome,
    output::{OutputFormat, print_json, print_text},
    progress::ProgramBar,
};
use crate::live::{
    LiveReport, LoadOptions,
    checks::{BranchBudget, CheckLimits},
    draw::DrawOptions,
    driver::drive,
    gateways::CallerKey,
    retry::Patience,
};
use crate::workload::{BundledWorkload, Workload};

/// Drive a running deployment with programs, in an open loop, and check every promise.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "load")]
pub struct LoadArguments {
    /// a gateway, such as http://127.0.0.1:7700; may be given several times
    #[argh(option)]
    url: Vec<String>,
    /// an emulated engine, such as http://127.0.0.1:7801, to learn what truly ran; may be given several times, and
    /// as a range of ports: http://127.0.0.1:7801-7812
    #[argh(option)]
    engine: Vec<String>,
    /// a caller's key, or BRANCH=KEY for programs on that branch and below; may be given several times
    #[argh(option)]
    key: Vec<String>,
    /// an operator's key, to watch the settings that nodes have in force
    #[argh(option)]
    operator_key: Option<String>,
    /// the programs: guild, hokkaido or a workload file; may be given several times (default guild)
    #[argh(option)]
    workload: Vec<String>,
    /// most calls of a program (default 40)
    #[argh(option, default = "40")]
    most_calls: usize,
    /// factor on the pauses of the workload (default 1)
    #[argh(option, default = "1.0")]
    pause_scale: f64,
    /// longest pause, after scaling (default 20s)
    #[argh(
        option,
        default = "Duration::from_secs(20)",
        from_str_fn(read_duration)
    )]
    longest_pause: Duration,
    /// programs started a second (default 5)
    #[argh(option, default = "5.0")]
    rate: f64,
    /// how long programs are started, such as 60s or 5m (default 60s)
    #[argh(
        option,
        default = "Duration::from_secs(60)",
        from_str_fn(read_duration)
    )]
    duration: Duration,
    /// seed of all that is drawn (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// tokens that a branch with all below it may spend over the run, BRANCH=TOKENS; may be given several times
    #[argh(option)]
    budget: Vec<String>,
    /// the tool pause that the settings allow, to judge programs whose callers vanish, such as 8s
    #[argh(option, from_str_fn(read_duration))]
    tool_pause: Option<Duration>,
    /// count every response that breaks off as cut by a planned stop: use it when nothing is killed
    #[argh(switch)]
    planned_stops_only: bool,
    /// send load to addresses that are not of this machine
    #[argh(switch)]
    allow_remote: bool,
    /// text (default) or json
    #[argh(option, default = "OutputFormat::Text")]
    output: OutputFormat,
}

impl LoadArguments {
    pub(super) fn run(self) -> Result<CommandOutcome, CommandError> {
        let options = self.options()?;
        let bar = ProgramBar::new("waiting for the first program");
        let driven = drive(&options, bar.reporter());
        let evidence = actix_rt::System::new().block_on(driven);
        bar.finish();
        let report = LiveReport::of(self.seed, &evidence);
        match self.output {
            OutputFormat::Text => print_text(&report.to_string())?,
            OutputFormat::Json => print_json(&report)?,
        }
        Ok(CommandOutcome::of(report.held()))
    }

    fn options(&self) -> Result<LoadOptions, CommandError> {
        if self.url.is_empty() {
            return Err(option("--url", "give at least one gateway"));
        }
        if !(self.rate > 0.0 && self.rate.is_finite()) {
            return Err(option("--rate", "give a number above 0"));
        }
        Ok(LoadOptions {
            urls: self.read_urls("--url", &self.url)?,
            keys: self.read_keys()?,
            operator_key: self.operator_key.clone(),
            engines: self.read_urls("--engine", &self.engine)?,
            draw: DrawOptions {
                workloads: self.workloads()?,
                seed: self.seed,
                rate: self.rate,
                duration: self.duration,
                programs: None,
                most_calls: self.most_calls,
                pause_scale: self.pause_scale,
                longest_pause: self.longest_pause,
                names_models: true,
            },
            patience: Patience::default(),
            limits: CheckLimits {
                abandoned_grace: self.tool_pause,
                branch_budgets: self.read_budgets()?,
                all_stops_planned: self.planned_stops_only,
                ..CheckLimits::default()
            },
        })
    }

    fn workloads(&self) -> Result<Vec<Workload>, CommandError> {
        if self.workload.is_empty() {
            return Ok(vec![BundledWorkload::Guild.workload()]);
        }
        let workloads = self.workload.iter().map(|name| match name.as_str() {
            "guild" => Ok(BundledWorkload::Guild.workload()),
            "hokkaido" => Ok(BundledWorkload::Hokkaido.workload()),
            file => Workload::load(Path::new(file))
                .map_err(|error| option("--workload", error.to_string())),
        });
        workloads.collect()
    }

    fn read_urls(&self, name: &'static str, urls: &[String]) -> Result<Vec<String>, CommandError> {
        let mut read = Vec::new();
        for url in urls {
            for url in read_url(url).map_err(|reason| option(name, reason))? {
                if !self.allow_remote && !is_loopback(&url) {
                    let reason = format!(
                        "{url} is not an address of this machine; add --allow-remote to load it"
                    );
                    return Err(option(name, reason));
                }
                read.push(url);
            }
        }
        Ok(read)
    }

    fn read_keys(&self) -> Result<Vec<CallerKey>, CommandError> {
        let keys = self.key.iter().map(|text| match text.split_once('=') {
            Some((branch, key)) => Ok(CallerKey {
                branch: read_branch("--key", branch)?,
                key: key.to_owned(),
            }),
            None => Ok(CallerKey {
                branch: BranchPath::root(),
                key: text.clone(),
            }),
        });
        keys.collect()
    }

    fn read_budgets(&self) -> Result<Vec<BranchBudget>, CommandError> {
        let budgets = self.budget.iter().map(|text| {
            let wrong = || option("--budget", format!("\"{text}\" is not BRANCH=TOKENS"));
            let (branch, tokens) = text.split_once('=').ok_or_else(wrong)?;
            Ok(BranchBudget {
                branch: read_branch("--budget", branch)?,
                tokens: tokens.parse().map_err(|_| wrong())?,
            })
        });
        budgets.collect()
    }
}

fn option(option: &'static str, reason: impl Into<String>) -> CommandError {
    CommandError::Option {
        option,
        reason: reason.into(),
    }
}

fn read_branch(name: &'static str, text: &str) -> Result<BranchPath, CommandError> {
    text.parse()
        .map_err(|error| option(name, format!("{error}")))
}

fn read_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| format!("{error}; write it as 60s or 5m"))
}

/// Reads a URL, or one whose port is a range.
fn read_url(text: &str) -> Result<Vec<String>, String> {
    let wrong = || format!("\"{text}\" is not a URL such as http://127.0.0.1:7700");
    let text = text.trim_end_matches('/');
    let (host, ports) = text.rsplit_once(':').ok_or_else(wrong)?;
    if !host.starts_with("http://") {
        return Err(wrong());
    }
    let (first, last) = ports.split_once('-').unwrap_or((ports, ports));
    let first: u16 = first.parse().map_err(|_| wrong())?;
    let last: u16 = last.parse().map_err(|_| wrong())?;
    if first > last {
        return Err(wrong());
    }
    Ok((first..=last)
        .map(|port| format!("{host}:{port}"))
        .collect())
}

fn is_loopback(url: &str) -> bool {
    let Ok(url) = url.parse::<awc::http::Uri>() else {
        return false;
    };
    let Some(host) = url.host() else {
        return false;
    };
    let host = host.trim_start_matches('[').trim_end_matches(']');
    let address = host.parse::<std::net::IpAddr>();
    host == "localhost" || address.is_ok_and(|address| address.is_loopback())
}
