//! What callers sent and got: the evidence that promises are judged by.

use std::time::Duration;

use courseshed_types::{BranchPath, ChatMessage, ChatRole, ProgramId, Timestamp, Verdict};

/// One program as its caller saw it.
#[derive(Debug, Clone)]
pub struct ProgramRecord {
    /// The kind.
    pub kind: String,
    /// The branch.
    pub branch: BranchPath,
    /// Aim for the latency of the whole program, as a gateway said; none where the settings name none.
    pub aim: Option<Duration>,
    /// Worth when done within the aim, as a gateway said.
    pub worth: f64,
    /// The program whose sub-agent this is.
    pub parent: Option<ProgramId>,
    /// The id, once a gateway gave one.
    pub id: Option<ProgramId>,
    /// When its first call was sent.
    pub first_call_at: Option<Timestamp>,
    /// When its last answer was whole.
    pub last_answer_at: Option<Timestamp>,
    /// Its calls, in the order it issued them.
    pub calls: Vec<CallRecord>,
    /// The history as the caller read it before the end.
    pub history: Option<Vec<ChatMessage>>,
    /// Tokens that the program may spend, as a gateway said.
    pub budget_tokens: Option<u64>,
    /// How it ended.
    pub end: ProgramEnd,
    /// When its end was acknowledged, or its caller vanished.
    pub ended_at: Option<Timestamp>,
}

/// How a program ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProgramEnd {
    /// It is under way.
    Open,
    /// All its calls were answered and its end was acknowledged.
    Completed,
    /// Its caller vanished on purpose.
    Abandoned,
    /// A call was refused or failed for good.
    Failed(String),
}

/// One call as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The new messages.
    pub messages: Vec<ChatMessage>,
    /// Tokens that the emulated model was told to answer with.
    pub output_tokens: u32,
    /// Whether it may run again after a failure that leaves doubt.
    pub repeatable: bool,
    /// Everything that was sent for it, in order.
    pub tries: Vec<TryRecord>,
    /// The whole answer, as the caller put it together.
    pub answer: Option<String>,
    /// Whether the caller gave up without a final word.
    pub left_open: bool,
}

/// One request for a call.
#[derive(Debug, Clone)]
pub struct TryRecord {
    /// The place in the program that it asked for.
    pub sequence: u64,
    /// The gateway asked.
    pub gateway: usize,
    /// What it was for.
    pub purpose: TryPurpose,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// When the first word came.
    pub first_word_at: Option<Timestamp>,
    /// When it was over.
    pub ended_at: Timestamp,
    /// What came of it.
    pub result: TryResult,
}

/// What a request was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryPurpose {
    /// To make the call, for the first time or again.
    Make,
    /// To come back to its stream.
    Resume,
    /// To send a later call too early; it must be refused.
    Probe,
}

/// What came of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TryResult {
    /// The answer came to its end; the text of this response alone, and where in the answer it began.
    Answered {
        /// Bytes of the answer that the caller said it had.
        from: usize,
        /// The text.
        text: String,
    },
    /// An error with a verdict.
    Refused(Refusal),
    /// The response began and broke off.
    Cut {
        /// Text received.
        text: String,
    },
    /// No response came, though the request may have been sent.
    NoWord,
    /// No connection could be made: nothing was sent.
    NotSent,
    /// The caller left on purpose.
    Left {
        /// Text received.
        text: String,
    },
}

/// An error as a caller got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status; 200 for an error inside a stream.
    pub status: u16,
    /// The code.
    pub code: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// One sentence.
    pub message: String,
    /// When to come back, if the server said so.
    pub retry_after: Option<Duration>,
}

impl ProgramRecord {
    /// The latency of the whole program.
    pub fn latency(&self) -> Option<Duration> {
        Some(self.last_answer_at?.since(self.first_call_at?))
    }

    /// Whether it was completed within its aim.
    pub fn is_within_aim(&self) -> bool {
        let is_done = matches!(self.end, ProgramEnd::Completed | ProgramEnd::Abandoned);
        let in_time = |latency| self.aim.is_none_or(|aim| latency <= aim);
        is_done && self.latency().is_some_and(in_time)
    }

    /// The prompt that a call's engine should have seen: the answered calls before it and its own messages.
    pub fn prompt_of(&self, call: usize) -> Vec<ChatMessage> {
        let mut prompt = self.transcript(call);
        prompt.extend(self.calls[call].messages.iter().cloned());
        prompt
    }

    /// The messages of the answered calls among the first `count`.
    pub fn transcript(&self, count: usize) -> Vec<ChatMessage> {
        let mut messages = Vec::new();
        for call in &self.calls[..count] {
            if let Some(answer) = &call.answer {
                messages.extend(call.messages.iter().cloned());
                messages.push(ChatMessage::text(ChatRole::Assistant, answer.clone()));
            }
        }
        messages
    }
}

impl CallRecord {
    /// The places in the program that were asked for, each once, in order.
    pub fn sequences(&self) -> Vec<u64> {
        let made = self.tries.iter();
        let made = made.filter(|one| one.purpose != TryPurpose::Probe);
        let mut sequences: Vec<u64> = made.map(|one| one.sequence).collect();
        sequences.dedup();
        sequences
    }
}
