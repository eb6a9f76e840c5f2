//! `/v1/admin/settings`: show, change, history, and which nodes lag.

use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_settings::SettingsTree;
use courseshed_types::{
    BranchPath, ErrorCode, SettingsVersion,
    admin::{ApplySettings, LaggingNodes, SettingsDocument, SettingsSummary},
    control::{ControlReply, ControlRequest, SettingsChange, SettingsRecord},
};
use serde::Deserialize;

use crate::{
    admin::{
        access::{access, operator},
        request::{Body, ask_control, body, query, unexpected},
    },
    context::SharedContext,
    gateway::ApiError,
};

/// Changes listed unless told otherwise.
const HISTORY_DEFAULT: u32 = 20;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VersionQuery {
    version: Option<SettingsVersion>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LaggingQuery {
    version: SettingsVersion,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BranchQuery {
    branch: BranchPath,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HistoryQuery {
    limit: Option<u32>,
}

/// `GET /v1/admin/settings`
pub async fn show(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let asked: VersionQuery = query(&request)?;
    let record = record(&context, asked.version).await?;
    Ok(HttpResponse::Ok().json(document(record)))
}

/// `POST /v1/admin/settings`
pub async fn apply(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    payload: Body,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let asked: ApplySettings = body(payload)?;
    if asked.change_id.as_str().is_empty() {
        return Err(ApiError::invalid("change_id", "a change needs a name"));
    }
    let change = SettingsChange {
        expected_version: asked.expected_version,
        change_id: asked.change_id,
        author: asked.author,
        tree: asked.tree,
    };
    match ask_control(&context, ControlRequest::ApplySettings(change)).await? {
        ControlReply::Settings(record) => Ok(HttpResponse::Ok().json(document(record))),
        other => Err(unexpected(&other)),
    }
}

/// `GET /v1/admin/settings/effective`
pub async fn effective(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let access = access(&context, &request)?;
    let asked: BranchQuery = query(&request)?;
    if !access.reads(&asked.branch) {
        return Err(no_branch(&asked.branch));
    }
    let record = record(&context, None).await?;
    let tree = SettingsTree::parse(&record.tree).map_err(|problems| {
        let problem = problems.first().map(ToString::to_string);
        let message = format!(
            "the tree in force can't be read: {}",
            problem.unwrap_or_default()
        );
        ApiError::not_run(ErrorCode::Internal, message)
    })?;
    let effective = tree.effective_document(&asked.branch, record.version);
    let effective = effective.ok_or_else(|| no_branch(&asked.branch))?;
    Ok(HttpResponse::Ok().json(effective))
}

/// `GET /v1/admin/settings/history`
pub async fn history(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let asked: HistoryQuery = query(&request)?;
    let limit = asked.limit.unwrap_or(HISTORY_DEFAULT);
    match ask_control(&context, ControlRequest::SettingsHistory { limit }).await? {
        ControlReply::SettingsHistory(records) => {
            let summaries: Vec<SettingsSummary> = records.into_iter().map(summary).collect();
            Ok(HttpResponse::Ok().json(summaries))
        }
        other => Err(unexpected(&other)),
    }
}

/// `GET /v1/admin/settings/lagging`
pub async fn lagging(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let LaggingQuery { version } = query(&request)?;
    match ask_control(&context, ControlRequest::Lagging(version)).await? {
        ControlReply::Lagging(nodes) => {
            Ok(HttpResponse::Ok().json(LaggingNodes { version, nodes }))
        }
        other => Err(unexpected(&other)),
    }
}

async fn record(
    context: &SharedContext,
    version: Option<SettingsVersion>,
) -> Result<SettingsRecord, ApiError> {
    match ask_control(context, ControlRequest::GetSettings(version)).await? {
        ControlReply::Settings(record) => Ok(record),
        other => Err(unexpected(&other)),
    }
}

fn no_branch(branch: &BranchPath) -> ApiError {
    ApiError::not_run(ErrorCode::NotFound, format!("there is no branch {branch}"))
}

fn document(record: SettingsRecord) -> SettingsDocument {
    SettingsDocument {
        version: record.version,
        change_id: record.change_id,
        author: record.author,
        accepted_at_ms: record.accepted_at.as_millis(),
        tree: record.tree.to_string(),
    }
}

fn summary(record: SettingsRecord) -> SettingsSummary {
    SettingsSummary {
        version: record.version,
        change_id: record.change_id,
        author: record.author,
        accepted_at_ms: record.accepted_at.as_millis(),
    }
}
