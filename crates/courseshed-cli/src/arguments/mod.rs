//! The command line.
//!
//! `--url`, `--key`, `--output` and `--timeout` may stand anywhere; they are
//! moved in front of the command, where the parser wants them. After
//! `settings wait`, `--timeout` belongs to that command.

mod fleet;
mod settings;
mod timeline;

use std::time::Duration;

use argh::FromArgs;

pub(crate) use fleet::*;
pub(crate) use settings::*;
pub(crate) use timeline::*;

use crate::error::EXIT_CODES;
use crate::output::Format;

/// Name of the program in help texts.
const PROGRAM: &str = "courseshed";
/// Where a node listens if nothing else is said.
const DEFAULT_URL: &str = "http://127.0.0.1:7700";
/// Variable that holds the URL.
const URL_VARIABLE: &str = "COURSESHED_URL";
/// Variable that holds the key.
const KEY_VARIABLE: &str = "COURSESHED_KEY";

/// The outcome of reading the command line.
pub(crate) enum Parsed {
    Run(Arguments),
    Help(String),
    Usage(String),
}

/// Steer and watch a courseshed fleet. Any node answers.
#[derive(FromArgs)]
#[argh(note = "The URL may list several nodes, separated by commas; they are tried in turn.")]
pub(crate) struct Arguments {
    /// URL of a node, or several separated by commas (default: $COURSESHED_URL, else http://127.0.0.1:7700)
    #[argh(option, default = "from_variable(URL_VARIABLE, DEFAULT_URL)")]
    pub(crate) url: String,
    /// bearer key of an operator (default: $COURSESHED_KEY)
    #[argh(option, default = "from_variable(KEY_VARIABLE, \"\")")]
    pub(crate) key: String,
    /// table (for people) or json (for scripts); default table
    #[argh(option, default = "Format::Table")]
    pub(crate) output: Format,
    /// how long to try before giving up, as in 10s; default 10s
    #[argh(option, from_str_fn(duration), default = "Duration::from_secs(10)")]
    pub(crate) timeout: Duration,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Settings(SettingsCommand),
    Programs(ProgramsCommand),
    Engines(EnginesCommand),
    Nodes(NodesCommand),
    Status(StatusCommand),
    Explain(ExplainCommand),
    Timeline(TimelineCommand),
}

impl Arguments {
    /// Reads the command line.
    pub(crate) fn parse(arguments: &[String]) -> Parsed {
        let ordered = options_first(arguments);
        let words: Vec<&str> = ordered.iter().map(String::as_str).collect();
        match Arguments::from_args(&[PROGRAM], &words) {
            Ok(arguments) => Parsed::Run(arguments),
            Err(exit) if exit.status.is_ok() => {
                Parsed::Help(format!("{}\n\n{EXIT_CODES}\n", exit.output.trim_end()))
            }
            Err(exit) => Parsed::Usage(exit.output),
        }
    }
}

/// Options of the whole program, each with a value.
const GLOBAL_OPTIONS: [&str; 4] = ["--url", "--key", "--output", "--timeout"];

/// Moves the options of the whole program in front of the command.
fn options_first(arguments: &[String]) -> Vec<String> {
    let mut first = Vec::new();
    let mut rest = Vec::new();
    let mut words = arguments.iter();
    while let Some(word) = words.next() {
        let waits = rest.iter().any(|earlier| earlier == "wait");
        let (name, value) = match word.split_once('=') {
            Some((name, value)) => (name, Some(value.to_owned())),
            None => (word.as_str(), None),
        };
        let is_global = GLOBAL_OPTIONS.contains(&name) && !(waits && name == "--timeout");
        if !is_global {
            rest.push(word.clone());
            continue;
        }
        first.push(name.to_owned());
        first.extend(value.or_else(|| words.next().cloned()));
    }
    first.extend(rest);
    first
}

fn from_variable(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_owned())
}

fn duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|error| format!("`{text}` is no duration such as 10s: {error}"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use yare::parameterized;

    #[parameterized(
        behind = { "status --output json", "--output json status" },
        with_equals = { "status --url=http://a:1", "--url http://a:1 status" },
        between = { "settings --timeout 5s show", "--timeout 5s settings show" },
        of_wait = { "settings wait --version 3 --timeout 5s", "settings wait --version 3 --timeout 5s" },
        before_wait = { "--timeout 1s settings wait --timeout 5s", "--timeout 1s settings wait --timeout 5s" },
    )]
    fn options_of_the_program_come_first(given: &str, expected: &str) {
        let words: Vec<String> = given.split(' ').map(str::to_owned).collect();
        assert_eq!(options_first(&words).join(" "), expected);
    }
}
