//! The command line.
//!
//! `--url`, `--key`, `--output` and `--timeout` may stand anywhere; they are
//! moved in front of the command, where the parser wants them. After
//! `settings wait`, `--timeout` belongs to that command.

use std::time::Duration;

use argh::FromArgs;
use courseshed_types::{BranchPath, EngineId, ModelName, NodeId, ProgramId, SettingsVersion};

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
}

/// Show and change the settings tree.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub(crate) struct SettingsCommand {
    #[argh(subcommand)]
    pub(crate) action: SettingsAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum SettingsAction {
    Show(SettingsShow),
    Get(SettingsGet),
    Check(SettingsCheck),
    Diff(SettingsDiff),
    Apply(SettingsApply),
    History(SettingsHistory),
    Wait(SettingsWait),
}

/// Print the text of the tree in force, or of an older version.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct SettingsShow {
    /// the version to print (default: the one in force)
    #[argh(option)]
    pub(crate) version: Option<SettingsVersion>,
}

/// Print the settings of a branch.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct SettingsGet {
    /// the branch, as in guild/quotes; / is the root
    #[argh(positional)]
    pub(crate) branch: BranchPath,
    /// also what the branch inherits, each value with where it came from
    #[argh(switch)]
    pub(crate) effective: bool,
    /// only this setting, as in limits.turns
    #[argh(option)]
    pub(crate) setting: Option<String>,
}

/// Check a tree without sending it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct SettingsCheck {
    /// the file that holds the tree
    #[argh(option, short = 'f')]
    pub(crate) file: String,
}

/// Print what a file, or another version, would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct SettingsDiff {
    /// the file that holds the new tree
    #[argh(option, short = 'f')]
    pub(crate) file: Option<String>,
    /// the old version (default: the one in force)
    #[argh(option)]
    pub(crate) from: Option<SettingsVersion>,
    /// the new version, in place of a file
    #[argh(option)]
    pub(crate) to: Option<SettingsVersion>,
}

/// Replace the tree. It is checked first, and sent again with the same change id if an answer is lost.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct SettingsApply {
    /// the file that holds the new tree
    #[argh(option, short = 'f')]
    pub(crate) file: Option<String>,
    /// an older version to go back to, in place of a file
    #[argh(option)]
    pub(crate) from_version: Option<SettingsVersion>,
    /// the version in force that this change was made against
    #[argh(option)]
    pub(crate) expect_version: SettingsVersion,
    /// name of the change (default: made from the tree, the version and the author)
    #[argh(option)]
    pub(crate) change_id: Option<String>,
    /// who makes the change (default: $USER)
    #[argh(option, default = "from_variable(\"USER\", \"\")")]
    pub(crate) author: String,
    /// print what would change, and change nothing
    #[argh(switch)]
    pub(crate) dry_run: bool,
}

/// List the latest changes, newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct SettingsHistory {
    /// at most so many (default 20)
    #[argh(option, default = "20")]
    pub(crate) limit: u32,
}

/// Wait until every node has a version in force; names the nodes that lag if time runs out.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub(crate) struct SettingsWait {
    /// the version
    #[argh(option)]
    pub(crate) version: SettingsVersion,
    /// how long to wait, as in 30s; default 30s
    #[argh(option, from_str_fn(duration), default = "Duration::from_secs(30)")]
    pub(crate) timeout: Duration,
}

/// Show and end programs.
#[derive(FromArgs)]
#[argh(subcommand, name = "programs")]
pub(crate) struct ProgramsCommand {
    #[argh(subcommand)]
    pub(crate) action: ProgramsAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ProgramsAction {
    List(ProgramsList),
    Show(ProgramsShow),
    End(ProgramsEnd),
}

/// List programs.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ProgramsList {
    /// only those of this branch and below it
    #[argh(option)]
    pub(crate) branch: Option<BranchPath>,
    /// also those that have ended
    #[argh(switch)]
    pub(crate) ended: bool,
    /// only those after this program, for the next page
    #[argh(option)]
    pub(crate) after: Option<ProgramId>,
    /// at most so many (default 100)
    #[argh(option, default = "100")]
    pub(crate) limit: u32,
}

/// Show a program.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ProgramsShow {
    /// the program, as in p1f-3a7
    #[argh(positional)]
    pub(crate) program: ProgramId,
}

/// End a program; its memory and unspent budget are given back.
#[derive(FromArgs)]
#[argh(subcommand, name = "end")]
pub(crate) struct ProgramsEnd {
    /// the program, as in p1f-3a7
    #[argh(positional)]
    pub(crate) program: ProgramId,
}

/// Show and steer engines.
#[derive(FromArgs)]
#[argh(subcommand, name = "engines")]
pub(crate) struct EnginesCommand {
    #[argh(subcommand)]
    pub(crate) action: EnginesAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum EnginesAction {
    List(EnginesList),
    Drain(EnginesDrain),
    Order(EnginesOrder),
}

/// List engines.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct EnginesList {}

/// Give an engine no new work; what runs on it finishes.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct EnginesDrain {
    /// the engine
    #[argh(positional, from_str_fn(engine))]
    pub(crate) engine: EngineId,
    /// give it work again
    #[argh(switch)]
    pub(crate) undo: bool,
}

/// Order an engine to load or drop a model.
#[derive(FromArgs)]
#[argh(subcommand, name = "order")]
pub(crate) struct EnginesOrder {
    /// the engine
    #[argh(positional, from_str_fn(engine))]
    pub(crate) engine: EngineId,
    /// load or drop
    #[argh(positional)]
    pub(crate) order: OrderVerb,
    /// the model
    #[argh(positional, from_str_fn(model))]
    pub(crate) model: ModelName,
}

/// What an engine is ordered to do with a model.
#[derive(Clone, Copy)]
pub(crate) enum OrderVerb {
    Load,
    Drop,
}

impl std::str::FromStr for OrderVerb {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "load" => Ok(OrderVerb::Load),
            "drop" => Ok(OrderVerb::Drop),
            _ => Err(format!("`{text}` is neither load nor drop")),
        }
    }
}

/// Show and steer nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "nodes")]
pub(crate) struct NodesCommand {
    #[argh(subcommand)]
    pub(crate) action: NodesAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum NodesAction {
    List(NodesList),
    Drain(NodesDrain),
}

/// List nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct NodesList {}

/// Let a node hand its work over; it takes nothing new.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct NodesDrain {
    /// the number of the node
    #[argh(positional)]
    pub(crate) node: NodeId,
    /// give it work again
    #[argh(switch)]
    pub(crate) undo: bool,
}

/// Show the fleet in short.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {}

/// Say why a program runs or waits: shares, budget, engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainCommand {
    /// the program, as in p1f-3a7
    #[argh(positional)]
    pub(crate) program: ProgramId,
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

fn engine(text: &str) -> Result<EngineId, String> {
    path_segment(text).map(EngineId::from)
}

fn model(text: &str) -> Result<ModelName, String> {
    if text.is_empty() {
        return Err("a model has a name".to_owned());
    }
    Ok(ModelName::from(text))
}

/// A name that can stand in the path of a URL as it is.
fn path_segment(text: &str) -> Result<&str, String> {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.:".contains(character);
    if text.is_empty() || !text.chars().all(allowed) {
        return Err(format!(
            "`{text}` is no name of an engine, such as engine-1"
        ));
    }
    Ok(text)
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
