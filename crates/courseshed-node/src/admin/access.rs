//! Who may use the operators' interface, and for what.

use std::time::Duration;

use actix_web::HttpRequest;
use courseshed_types::{BranchPath, CallError, ErrorCode};

use crate::{
    context::NodeContext,
    gateway::{ApiError, authenticate, is_operator},
};

/// What a key reaches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// Everything.
    Operator,
    /// To read what concerns this branch and those below.
    Branch(BranchPath),
}

impl Access {
    /// Whether the key reads what concerns a branch.
    pub fn reads(&self, branch: &BranchPath) -> bool {
        match self {
            Access::Operator => true,
            Access::Branch(scope) => branch.is_within(scope),
        }
    }
}

/// What the key of a request reaches.
///
/// # Errors
/// 401 without a key or with an unknown one; 503 while the node has not read the keys.
pub fn access(context: &NodeContext, request: &HttpRequest) -> Result<Access, ApiError> {
    let policy = context.view.policy();
    let has_read = !policy.snapshot.branches.is_empty();
    if !has_read && context.settings.operator_keys.is_empty() {
        let message = "the node has not read its settings yet";
        let error = CallError::not_run(ErrorCode::Unavailable, message);
        return Err(error.retry_after(Duration::from_secs(1)).into());
    }
    if is_operator(context, request) {
        return Ok(Access::Operator);
    }
    // Without any key in the tree every caller is taken for one of the root; an operator is not.
    if policy.keys.is_empty() {
        let message = "an operator's key is needed";
        return Err(ApiError::not_run(ErrorCode::Unauthorized, message));
    }
    Ok(Access::Branch(authenticate(context, request)?.scope))
}

/// Lets only operators pass.
///
/// # Errors
/// 401 as [`access`]; 403 for a caller's key.
pub fn operator(context: &NodeContext, request: &HttpRequest) -> Result<(), ApiError> {
    match access(context, request)? {
        Access::Operator => Ok(()),
        Access::Branch(_) => {
            let message = "this is for operators; the key is a caller's";
            Err(ApiError::not_run(ErrorCode::Forbidden, message))
        }
    }
}
