//! `courseshed programs` and `courseshed explain`.

use courseshed_types::ProgramId;
use courseshed_types::admin::{ProgramExplanation, ProgramSummary};

use crate::arguments::{ProgramsAction, ProgramsList};
use crate::client::{AdminClient, Request};
use crate::error::{CliError, Exit};
use crate::output::{Printer, Readable, fields, millis, or_dash, percent, table, variant_name};

/// Carries out `courseshed programs`.
pub(crate) async fn run(
    action: ProgramsAction,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<Exit, CliError> {
    match action {
        ProgramsAction::List(list) => {
            let request = Request::get(list_path(&list));
            let programs: Vec<ProgramSummary> = client.send(request).await?;
            printer.print(&programs)?;
        }
        ProgramsAction::Show(show) => {
            let request = Request::get(program_path(show.program));
            let program: ProgramSummary = client.send(request).await?;
            printer.print(&program)?;
        }
        ProgramsAction::End(end) => {
            let request = Request::delete(program_path(end.program));
            let program: ProgramSummary = client.send(request).await?;
            printer.print(&program)?;
        }
    }
    Ok(Exit::Done)
}

/// Carries out `courseshed explain`.
pub(crate) async fn explain(
    program: ProgramId,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<Exit, CliError> {
    let path = format!("{}/explain", program_path(program));
    let explanation: ProgramExplanation = client.send(Request::get(path)).await?;
    printer.print(&explanation)?;
    Ok(Exit::Done)
}

fn program_path(program: ProgramId) -> String {
    format!("/v1/admin/programs/{program}")
}

/// A branch path holds nothing that a query would escape, nor does a program's id.
fn list_path(list: &ProgramsList) -> String {
    let mut path = format!("/v1/admin/programs?limit={}", list.limit);
    if let Some(branch) = &list.branch {
        path.push_str(&format!("&branch={branch}"));
    }
    if let Some(after) = list.after {
        path.push_str(&format!("&after={after}"));
    }
    if list.ended {
        path.push_str("&ended=true");
    }
    path
}

impl Readable for Vec<ProgramSummary> {
    fn readable(&self) -> String {
        let header = [
            "program", "branch", "kind", "phase", "calls", "history", "spent", "age", "aim",
        ];
        let rows = self.iter().map(|program| {
            [
                program.id.to_string(),
                program.branch.to_string(),
                or_dash(program.kind.as_ref()),
                variant_name(&program.phase),
                program.calls.to_string(),
                program.history_tokens.to_string(),
                program.spent_tokens.to_string(),
                millis(program.age_ms),
                or_dash(program.aim_ms.map(millis)),
            ]
        });
        table(header, rows)
    }
}

impl Readable for ProgramSummary {
    fn readable(&self) -> String {
        fields([
            ("program", self.id.to_string()),
            ("branch", self.branch.to_string()),
            ("kind", or_dash(self.kind.as_ref())),
            ("parent", or_dash(self.parent)),
            ("phase", variant_name(&self.phase)),
            ("calls settled", self.calls.to_string()),
            ("history tokens", self.history_tokens.to_string()),
            ("spent tokens", self.spent_tokens.to_string()),
            ("budget tokens", or_dash(self.budget_tokens)),
            ("age", millis(self.age_ms)),
            ("aim", or_dash(self.aim_ms.map(millis))),
        ])
    }
}

impl Readable for ProgramExplanation {
    fn readable(&self) -> String {
        let rows = fields([
            ("engine", or_dash(self.engine.as_ref())),
            ("place in queue", or_dash(self.position)),
            ("calls waiting", or_dash(self.pool_waiting)),
            ("entitled share", or_dash(self.entitled_share.map(percent))),
            ("attained share", or_dash(self.attained_share.map(percent))),
        ]);
        format!("{}\n\n{}\n{rows}", self.reason, self.program.readable())
    }
}
