//! What one program does, decided before it starts.

use std::time::Duration;

use courseshed_types::{BranchPath, ChatMessage, ModelName};

/// One program as its caller intends it.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgramPlan {
    /// The kind, as the workload names it.
    pub kind: String,
    /// The kind in the settings tree, which names aim and worth.
    pub settings_kind: Option<String>,
    /// The branch that pays.
    pub branch: BranchPath,
    /// The model of its calls; none takes the branch's default.
    pub model: Option<ModelName>,
    /// What it does, in order.
    pub steps: Vec<Step>,
    /// How it ends.
    pub ending: Ending,
}

/// One step of a program.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// A model call.
    Call(CallPlan),
    /// A tool runs for so long.
    Pause(Duration),
    /// Sub-agents run side by side; the program goes on when all are done.
    SubAgents(Vec<ProgramPlan>),
}

/// One call as its caller intends it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallPlan {
    /// The new messages, with the directive to the emulated model.
    pub messages: Vec<ChatMessage>,
    /// Tokens that the emulated model is told to answer with.
    pub output_tokens: u32,
    /// Whether the call may run again after a failure that leaves doubt.
    pub repeatable: bool,
    /// What the caller does while it waits.
    pub habit: CallerHabit,
}

/// What a caller does while it waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerHabit {
    /// Reads the stream to its end.
    Stream,
    /// Asks for the whole answer in one document.
    Document,
    /// Leaves after so many events of the stream and comes back at another gateway.
    Disconnect {
        /// Events read before it leaves.
        after_events: usize,
    },
    /// Sends the same request twice, at two gateways, without waiting in between.
    SendTwice,
    /// Sends the call after this one too early, which must be refused.
    SkipAhead,
}

/// How a program ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Its caller reads the history and ends it.
    Ended,
    /// Its caller vanishes without a word.
    Abandoned,
}
