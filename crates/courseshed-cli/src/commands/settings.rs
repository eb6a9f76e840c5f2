//! `courseshed settings`.

use std::time::{Duration, Instant};

use courseshed_settings::SettingsTree;
use courseshed_settings::tree::diff;
use courseshed_types::admin::{
    ApplySettings, EffectiveDocument, LaggingNodes, SettingsDocument, SettingsSummary,
};
use courseshed_types::{ChangeId, SettingsVersion};
use serde::Serialize;
use sha2::{Digest, Sha256};

use super::tree_file;
use crate::arguments::{
    SettingsAction, SettingsApply, SettingsCheck, SettingsDiff, SettingsGet, SettingsWait,
};
use crate::client::{AdminClient, Request};
use crate::error::{CliError, Exit};
use crate::output::{Printer, Readable, date, joined, or_dash, table};
use crate::retry::Repeat;

/// Pause between two looks at the nodes that lag.
const WAIT_PAUSE: Duration = Duration::from_millis(200);
/// Bytes of a digest that make a change id.
const CHANGE_ID_BYTES: usize = 8;

/// Carries out `courseshed settings`.
pub(crate) async fn run(
    action: SettingsAction,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<Exit, CliError> {
    match action {
        SettingsAction::Show(show) => {
            let document = document(client, show.version).await?;
            printer.print_text(&document.tree, &document)?;
        }
        SettingsAction::Get(get) => print_branch(get, client, printer).await?,
        SettingsAction::Check(check) => print_check(&check, printer)?,
        SettingsAction::Diff(diff) => print_diff(diff, client, printer).await?,
        SettingsAction::Apply(change) => apply(change, client, printer).await?,
        SettingsAction::History(history) => {
            let path = format!("/v1/admin/settings/history?limit={}", history.limit);
            let history: Vec<SettingsSummary> = client.send(Request::get(path)).await?;
            printer.print(&history)?;
        }
        SettingsAction::Wait(wait) => return wait_in_force(wait, client, printer).await,
    }
    Ok(Exit::Done)
}

async fn document(
    client: &AdminClient,
    version: Option<SettingsVersion>,
) -> Result<SettingsDocument, CliError> {
    let path = match version {
        Some(version) => format!("/v1/admin/settings?version={version}"),
        None => "/v1/admin/settings".to_owned(),
    };
    client.send(Request::get(path)).await
}

async fn print_branch(
    get: SettingsGet,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<(), CliError> {
    let path = format!("/v1/admin/settings/effective?branch={}", get.branch);
    let mut document: EffectiveDocument = client.send(Request::get(path)).await?;
    if !get.effective {
        let own = Some(&get.branch);
        document.values.retain(|value| value.from.as_ref() == own);
    }
    if let Some(setting) = &get.setting {
        document.values.retain(|value| &value.key == setting);
        if document.values.is_empty() {
            let reason = format!("branch `{}` holds no setting `{setting}`", get.branch);
            return Err(CliError::Usage { reason });
        }
    }
    printer.print(&document)
}

/// The answer of `courseshed settings check`.
#[derive(Serialize)]
struct Checked {
    branches: usize,
    models: usize,
}

impl Readable for Checked {
    fn readable(&self) -> String {
        format!("sound: {} branches, {} models", self.branches, self.models)
    }
}

fn print_check(check: &SettingsCheck, printer: &mut Printer<'_>) -> Result<(), CliError> {
    let tree = tree_file::read(&check.file)?;
    printer.print(&Checked {
        branches: tree.branches().count(),
        models: tree.models().len(),
    })
}

/// What changes from one tree to another, a line for each change.
#[derive(Serialize)]
struct Differences {
    changes: Vec<String>,
}

impl Differences {
    fn between(old: &SettingsTree, new: &SettingsTree) -> Self {
        let changes = diff(old, new);
        Self {
            changes: changes.iter().map(ToString::to_string).collect(),
        }
    }
}

impl Readable for Differences {
    fn readable(&self) -> String {
        if self.changes.is_empty() {
            return "no difference".to_owned();
        }
        self.changes.join("\n")
    }
}

async fn print_diff(
    asked: SettingsDiff,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<(), CliError> {
    let new = new_tree(asked.file.as_deref(), asked.to, client).await?;
    let old = document(client, asked.from).await?;
    let old = tree_file::parse(&old.tree, &format!("version {}", old.version))?;
    printer.print(&Differences::between(&old, &new))
}

/// The tree of a file or of an older version, whichever is given.
async fn new_tree(
    file: Option<&str>,
    version: Option<SettingsVersion>,
    client: &AdminClient,
) -> Result<SettingsTree, CliError> {
    match (file, version) {
        (Some(file), None) => tree_file::read(file),
        (None, Some(version)) => {
            let document = document(client, Some(version)).await?;
            tree_file::parse(&document.tree, &format!("version {version}"))
        }
        _ => {
            let reason = "give either a file (-f tree.toml) or a version, not both".to_owned();
            Err(CliError::Usage { reason })
        }
    }
}

/// The answer of `courseshed settings apply`.
#[derive(Serialize)]
struct Applied {
    version: SettingsVersion,
    change_id: ChangeId,
    accepted_at_ms: u64,
}

impl Readable for Applied {
    fn readable(&self) -> String {
        let accepted = date(self.accepted_at_ms);
        format!(
            "accepted version {} at {accepted} (change {})",
            self.version, self.change_id
        )
    }
}

async fn apply(
    change: SettingsApply,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<(), CliError> {
    let tree = new_tree(change.file.as_deref(), change.from_version, client).await?;
    if change.dry_run {
        let old = document(client, None).await?;
        let old = tree_file::parse(&old.tree, &format!("version {}", old.version))?;
        return printer.print(&Differences::between(&old, &tree));
    }
    let change_id = match change.change_id {
        Some(given) => ChangeId::from(given),
        None => change_id(change.expect_version, tree.text(), &change.author),
    };
    let hint = format!("; send it again with --change-id {change_id}");
    let body = ApplySettings {
        expected_version: change.expect_version,
        change_id,
        tree: tree.text().to_owned(),
        author: change.author,
    };
    let request = Request::post("/v1/admin/settings", &body, Repeat::Harmless).with_hint(hint);
    let document: SettingsDocument = client.send(request).await?;
    printer.print(&Applied {
        version: document.version,
        change_id: document.change_id,
        accepted_at_ms: document.accepted_at_ms,
    })
}

/// A name for the change that the very same command makes again after a lost answer.
fn change_id(version: SettingsVersion, tree: &str, author: &str) -> ChangeId {
    let mut hash = Sha256::new();
    hash.update(version.0.to_be_bytes());
    hash.update((author.len() as u64).to_be_bytes());
    hash.update(author);
    hash.update(tree);
    let digest = hash.finalize();
    let digits = digest
        .iter()
        .take(CHANGE_ID_BYTES)
        .map(|byte| format!("{byte:02x}"));
    ChangeId::from(format!("c{version}-{}", digits.collect::<String>()))
}

async fn wait_in_force(
    wait: SettingsWait,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<Exit, CliError> {
    let deadline = Instant::now() + wait.timeout;
    let path = format!("/v1/admin/settings/lagging?version={}", wait.version);
    loop {
        let answer = client
            .send::<LaggingNodes>(Request::get(path.clone()))
            .await;
        let time_is_up = Instant::now() + WAIT_PAUSE > deadline;
        match answer {
            Ok(lagging) if lagging.nodes.is_empty() => {
                printer.print(&lagging)?;
                return Ok(Exit::Done);
            }
            Ok(lagging) if time_is_up => {
                printer.print(&lagging)?;
                return Ok(Exit::TimedOut);
            }
            // A node that restarts, or a fleet between two leaders, is worth waiting for.
            Err(error) if time_is_up || error.exit() != Exit::Unreachable => return Err(error),
            _ => actix_rt::time::sleep(WAIT_PAUSE).await,
        }
    }
}

impl Readable for LaggingNodes {
    fn readable(&self) -> String {
        let version = self.version;
        if self.nodes.is_empty() {
            return format!("version {version} is in force on every node");
        }
        format!(
            "version {version} is not in force on nodes {}",
            joined(&self.nodes)
        )
    }
}

impl Readable for EffectiveDocument {
    fn readable(&self) -> String {
        let rows = self.values.iter().map(|value| {
            let shown = if value.value.is_empty() {
                "-"
            } else {
                &value.value
            };
            let from = value.from.as_ref();
            let from = from.map_or_else(|| "(default)".to_owned(), ToString::to_string);
            [value.key.clone(), shown.to_owned(), from]
        });
        table(["setting", "value", "from"], rows)
    }
}

impl Readable for Vec<SettingsSummary> {
    fn readable(&self) -> String {
        let rows = self.iter().map(|summary| {
            let author = Some(&summary.author).filter(|author| !author.is_empty());
            [
                summary.version.to_string(),
                date(summary.accepted_at_ms),
                or_dash(author),
                summary.change_id.to_string(),
            ]
        });
        table(["version", "accepted", "author", "change"], rows)
    }
}
