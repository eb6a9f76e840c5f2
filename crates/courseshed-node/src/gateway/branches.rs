//! Remembers which branch a program belongs to, which never changes, so that a key is checked without a question
//! to the shard for each call.

use std::collections::BTreeMap;

use courseshed_types::{
    BranchPath, CallError, ErrorCode, ProgramId,
    shard::{ShardReply, ShardRequestBody},
};
use parking_lot::RwLock;

use crate::{
    context::SharedContext,
    gateway::{auth::Caller, error::ApiError, error::internal},
    shards::ShardPatience,
};

/// Programs remembered at most; when full, all are forgotten and asked for again.
const CAPACITY: usize = 100_000;

/// Branches of programs.
#[derive(Default)]
pub struct BranchCache(RwLock<BTreeMap<ProgramId, BranchPath>>);

impl BranchCache {
    /// Remembers a program.
    pub fn insert(&self, program: ProgramId, branch: BranchPath) {
        let mut branches = self.0.write();
        if branches.len() >= CAPACITY {
            branches.clear();
        }
        branches.insert(program, branch);
    }

    fn get(&self, program: ProgramId) -> Option<BranchPath> {
        self.0.read().get(&program).cloned()
    }
}

/// The branch of a program, if the caller's key reaches it.
///
/// # Errors
/// 404 for a program that does not exist, and for one the key does not reach: a rival is not told that it exists.
pub async fn authorize(
    context: &SharedContext,
    caller: &Caller,
    program: ProgramId,
) -> Result<BranchPath, ApiError> {
    let branch = match context.gateway.branches.get(program) {
        Some(branch) => branch,
        None => look_up(context, program).await?,
    };
    if caller.reaches(&branch) {
        return Ok(branch);
    }
    Err(unknown_program(program).into())
}

async fn look_up(context: &SharedContext, program: ProgramId) -> Result<BranchPath, CallError> {
    if !context.view.map().shards.contains_key(&program.shard) {
        return Err(unknown_program(program));
    }
    let body = ShardRequestBody::GetProgram(program);
    let asked = context
        .shard_client
        .ask(context, program.shard, body, ShardPatience::PROMPT);
    match asked.await? {
        ShardReply::Program(view) => {
            let branches = &context.gateway.branches;
            branches.insert(program, view.branch.clone());
            Ok(view.branch)
        }
        other => Err(unexpected(&other)),
    }
}

/// The error for a program that does not exist or must look as if it did not.
pub fn unknown_program(program: ProgramId) -> CallError {
    CallError::not_run(
        ErrorCode::NotFound,
        format!("there is no program {program}"),
    )
}

/// The error for a shard's answer of the wrong kind.
pub fn unexpected(reply: &ShardReply) -> CallError {
    log::error!("unexpected answer of a shard: {reply:?}");
    let message = "the shard gave an answer of another kind";
    internal(courseshed_types::Verdict::MayHaveRun, message)
}
