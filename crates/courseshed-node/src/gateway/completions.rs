//! The drop-in for OpenAI clients: chat completions with full message lists, and the list of models.

use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_engine::EngineConnector;
use courseshed_types::{BranchPath, ErrorCode, Sequence, program::NewProgram};
use serde::Serialize;

use crate::{
    context::SharedContext,
    gateway::{
        auth::{Caller, authenticate},
        branches::authorize,
        call::answer_call,
        calls::{Payer, plan_call},
        documents::ChatRequestBody,
        error::ApiError,
        parse::{
            HEADER_BRANCH, HEADER_PROGRAM, call_headers, parse_json, program_id, read_body,
            text_header,
        },
        programs::create_program,
        routes::refuse_when_draining,
    },
};

/// `POST /v1/chat/completions`
pub async fn complete(
    context: web::Data<SharedContext>,
    connector: web::Data<EngineConnector>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, ApiError> {
    let context = context.get_ref();
    let caller = authenticate(context, &request)?;
    refuse_when_draining(context)?;
    let mut headers = call_headers(&request)?;
    let body: ChatRequestBody = parse_json(&read_body(context, payload).await?)?;
    if let Some(program) = text_header(&request, HEADER_PROGRAM)? {
        let program = program_id(program)?;
        let branch = authorize(context, &caller, program).await?;
        let payer = Payer { program, branch };
        let plan = plan_call(context, payer, headers, body, true)?;
        return answer_call(context, &connector, plan).await;
    }
    let branch = branch_of(&caller, &request)?;
    let program = create_program(
        context,
        NewProgram {
            branch,
            kind: None,
            aim: None,
            worth: None,
            parent: None,
            idempotency_key: headers.idempotency_key.clone(),
        },
    );
    let program = program.await?;
    headers.sequence = Some(Sequence(1));
    let payer = Payer {
        program: program.id,
        branch: program.branch,
    };
    let mut plan = plan_call(context, payer, headers, body, true)?;
    plan.ends_program = true;
    answer_call(context, &connector, plan).await
}

fn branch_of(caller: &Caller, request: &HttpRequest) -> Result<BranchPath, ApiError> {
    let Some(text) = text_header(request, HEADER_BRANCH)? else {
        return Ok(caller.scope.clone());
    };
    let branch: BranchPath = text
        .parse()
        .map_err(|error| ApiError::invalid(HEADER_BRANCH, format!("{error}")))?;
    if caller.reaches(&branch) {
        return Ok(branch);
    }
    let message = format!("the key does not reach branch {branch}");
    Err(ApiError::not_run(ErrorCode::Forbidden, message))
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelDocument>,
}

#[derive(Serialize)]
struct ModelDocument {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// `GET /v1/models`
pub async fn models(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let caller = authenticate(&context, &request)?;
    let policy = context.view.policy();
    let allowed = policy.snapshot.branch(&caller.scope);
    let allowed = allowed.map(|branch| &branch.models);
    let declared = &policy.snapshot.models;
    let models = allowed
        .filter(|models| !models.is_empty())
        .unwrap_or(declared);
    let document = |model: &courseshed_types::ModelName| ModelDocument {
        id: model.to_string(),
        object: "model",
        owned_by: "courseshed",
    };
    Ok(HttpResponse::Ok().json(ModelList {
        object: "list",
        data: models.iter().map(document).collect(),
    }))
}
