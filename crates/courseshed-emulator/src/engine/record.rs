//! What the engine keeps of one request.

use courseshed_engine::protocol::RequestState;
use courseshed_types::call::{FinishReason, Usage};
use courseshed_types::{BranchPath, ModelName, ProgramId, Tokens};
use parking_lot::Mutex;
use std::task::Waker;
use std::time::Duration;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Queued,
    Running,
    Finished,
    Cancelled,
    NeverStarted,
    /// The engine crashed: connections are cut and nothing is known of the request any more.
    Lost,
}

impl Phase {
    pub(crate) fn is_over(self) -> bool {
        !matches!(self, Phase::Queued | Phase::Running)
    }

    pub(crate) fn state(self) -> RequestState {
        match self {
            Phase::Queued => RequestState::Queued,
            Phase::Running => RequestState::Running,
            Phase::Finished => RequestState::Finished,
            Phase::Cancelled => RequestState::Cancelled,
            Phase::NeverStarted => RequestState::NeverStarted,
            Phase::Lost => RequestState::Unknown,
        }
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) phase: Phase,
    /// Tokens generated.
    pub(crate) produced: u32,
    /// Prompt tokens found in the cache.
    pub(crate) cached: u32,
    /// When it was over.
    pub(crate) ended_at: Option<Duration>,
    /// Grows when all connections are to be cut.
    pub(crate) cuts: u32,
}

struct Watched {
    progress: Progress,
    wakers: Vec<Waker>,
}

/// One request.
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) key: u64,
    pub(crate) model: ModelName,
    pub(crate) branch: BranchPath,
    pub(crate) program: Option<ProgramId>,
    /// The whole answer, known from the start.
    pub(crate) answer: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) finish_reason: FinishReason,
    watched: Mutex<Watched>,
}

impl RequestRecord {
    /// A request that waits, with what is fixed about it.
    pub(crate) fn new(fixed: FixedPart, phase: Phase, now: Duration) -> Self {
        let progress = Progress {
            phase,
            produced: 0,
            cached: 0,
            ended_at: phase.is_over().then_some(now),
            cuts: 0,
        };
        RequestRecord {
            id: fixed.id,
            key: fixed.key,
            model: fixed.model,
            branch: fixed.branch,
            program: fixed.program,
            answer: fixed.answer,
            prompt_tokens: fixed.prompt_tokens,
            output_tokens: fixed.output_tokens,
            finish_reason: fixed.finish_reason,
            watched: Mutex::new(Watched {
                progress,
                wakers: Vec::new(),
            }),
        }
    }

    pub(crate) fn progress(&self) -> Progress {
        self.watched.lock().progress
    }

    /// The progress; `waker` is woken at its next change.
    pub(crate) fn watch(&self, waker: &Waker) -> Progress {
        let mut watched = self.watched.lock();
        if !watched.wakers.iter().any(|known| known.will_wake(waker)) {
            watched.wakers.push(waker.clone());
        }
        watched.progress
    }

    /// Changes the progress and wakes those who watch.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Progress)) {
        let mut watched = self.watched.lock();
        change(&mut watched.progress);
        for waker in watched.wakers.drain(..) {
            waker.wake();
        }
    }

    pub(crate) fn usage(&self, progress: &Progress) -> Usage {
        Usage {
            prompt_tokens: Tokens(u64::from(self.prompt_tokens)),
            cached_tokens: Tokens(u64::from(progress.cached.min(self.prompt_tokens))),
            completion_tokens: Tokens(u64::from(progress.produced)),
        }
    }
}

/// What is fixed about a request when it comes.
pub(crate) struct FixedPart {
    pub(crate) id: String,
    pub(crate) key: u64,
    pub(crate) model: ModelName,
    pub(crate) branch: BranchPath,
    pub(crate) program: Option<ProgramId>,
    pub(crate) answer: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) finish_reason: FinishReason,
}

impl FixedPart {
    /// Stands for a request that never came or was refused.
    pub(crate) fn tombstone(id: &str) -> Self {
        FixedPart {
            id: id.to_owned(),
            key: u64::MAX,
            model: ModelName::from(""),
            branch: BranchPath::root(),
            program: None,
            answer: String::new(),
            prompt_tokens: 0,
            output_tokens: 0,
            finish_reason: FinishReason::Stop,
        }
    }
}
