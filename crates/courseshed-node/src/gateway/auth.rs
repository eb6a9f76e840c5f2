//! Bearer keys: a key belongs to the branch whose settings hold its digest, and reaches that branch and below.

use actix_web::{HttpRequest, http::header};
use courseshed_types::{BranchPath, ErrorCode};
use sha2::{Digest, Sha256};

use crate::{context::NodeContext, gateway::error::ApiError};

/// What a caller's key reaches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The branch the key belongs to.
    pub scope: BranchPath,
}

impl Caller {
    /// Whether the key reaches a branch.
    pub fn reaches(&self, branch: &BranchPath) -> bool {
        branch.is_within(&self.scope)
    }
}

/// The caller of a request. While the tree holds no key at all, everyone reaches everything.
///
/// # Errors
/// 401 without a key, or with one that no branch holds.
pub fn authenticate(context: &NodeContext, request: &HttpRequest) -> Result<Caller, ApiError> {
    let policy = context.view.policy();
    if policy.keys.is_empty() {
        let scope = BranchPath::root();
        return Ok(Caller { scope });
    }
    let key = bearer_key(request).ok_or_else(|| unauthorized("a bearer key is needed"))?;
    match policy.keys.get(&sha256_hex(key)) {
        Some(branch) => Ok(Caller {
            scope: branch.clone(),
        }),
        None => Err(unauthorized("the key is unknown")),
    }
}

/// Whether a request may use the operators' interface. While no operator has a key, everyone may.
pub fn is_operator(context: &NodeContext, request: &HttpRequest) -> bool {
    let policy = context.view.policy();
    let from_tree = &policy.snapshot.operator_key_digests;
    let from_file = &context.settings.operator_keys;
    if from_tree.is_empty() && from_file.is_empty() {
        return true;
    }
    let Some(digest) = bearer_key(request).map(sha256_hex) else {
        return false;
    };
    from_tree.contains(&digest) || from_file.iter().any(|known| known.to_string() == digest)
}

/// Whether a request may see what is told by branch. Where callers have keys, only operators with a key may, even
/// while no operator has one.
pub fn sees_branches(context: &NodeContext, request: &HttpRequest) -> bool {
    let policy = context.view.policy();
    let has_operator_keys = !policy.snapshot.operator_key_digests.is_empty()
        || !context.settings.operator_keys.is_empty();
    let is_guarded = has_operator_keys || policy.keys.is_empty();
    is_guarded && is_operator(context, request)
}

/// The SHA-256 digest of a key in lower-case hexadecimal.
pub fn sha256_hex(key: &str) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn bearer_key(request: &HttpRequest) -> Option<&str> {
    let value = request.headers().get(header::AUTHORIZATION)?;
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

fn unauthorized(message: &str) -> ApiError {
    ApiError::not_run(ErrorCode::Unauthorized, message)
}
