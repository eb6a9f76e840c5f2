//! Arguments of `courseshed timeline`.

use std::time::Duration;

use argh::FromArgs;

use super::duration;

/// Show from log files when the milestones of recovery were reached after many processes restarted.
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(crate) struct TimelineCommand {
    /// longest time from one start to the next of the same restart, as in 500ms; default 1s
    #[argh(option, from_str_fn(duration), default = "Duration::from_secs(1)")]
    pub(crate) gap: Duration,
    /// smallest number of nodes whose starts are a restart (default: half of the nodes in the files)
    #[argh(option)]
    pub(crate) nodes: Option<usize>,
    /// log files of any number of nodes, one JSON object per line
    #[argh(positional, arg_name = "file")]
    pub(crate) files: Vec<String>,
}
