//! Arguments of the commands that speak of programs, engines and nodes.

use argh::FromArgs;
use courseshed_types::engine::EngineRole;
use courseshed_types::{BranchPath, EngineId, ModelName, NodeId, ProgramId};

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
    Role(EnginesRole),
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

/// Order an engine to compute prompts, answers or both.
#[derive(FromArgs)]
#[argh(subcommand, name = "role")]
pub(crate) struct EnginesRole {
    /// the engine
    #[argh(positional, from_str_fn(engine))]
    pub(crate) engine: EngineId,
    /// both, prefill or decode
    #[argh(positional, from_str_fn(role))]
    pub(crate) role: EngineRole,
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

fn engine(text: &str) -> Result<EngineId, String> {
    path_segment(text).map(EngineId::from)
}

fn role(text: &str) -> Result<EngineRole, String> {
    match text {
        "both" => Ok(EngineRole::Both),
        "prefill" => Ok(EngineRole::Prefill),
        "decode" => Ok(EngineRole::Decode),
        _ => Err(format!("`{text}` is neither both, prefill nor decode")),
    }
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
