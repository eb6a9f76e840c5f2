//! Arguments of `courseshed settings`.

use std::time::Duration;

use argh::FromArgs;
use courseshed_types::{BranchPath, SettingsVersion};

use super::{duration, from_variable};

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
