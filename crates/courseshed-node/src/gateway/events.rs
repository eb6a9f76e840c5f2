//! The text of one call between the task that runs it and the connection of its caller.
//!
//! Both live on the same thread and share one buffer. The task appends what the engine says; the connection
//! renders what is new whenever it can write. So nothing is allocated per token, tokens that come together leave in
//! one write, and a caller that reads slowly holds up neither the engine nor other callers: what it lags behind by
//! is kept anyway until the answer is committed.
//!
//! Invariants:
//! - the text forwarded is always the beginning of one answer: when a further attempt says something else, the
//!   caller is told so and gets nothing more;
//! - the end of an answer is told only after the shard committed it;
//! - after that, a caller that stops reading holds a bounded part of the answer: it is let go, and can come back.

use std::{
    cell::RefCell,
    future::poll_fn,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use actix_rt::time::sleep;
use courseshed_types::{Attempt, CallError, ErrorCode, shard::SettledCall};

/// What a caller that reads slowly may hold of an answer that is settled.
#[derive(Debug, Clone, Copy)]
pub struct StallBounds {
    /// Bytes that it may hold for as long as its connection stands.
    pub buffer_bytes: u64,
    /// How long it may hold more without taking anything.
    pub patience: Duration,
}

/// How a call ended, for its caller.
#[derive(Debug, Clone)]
pub enum CallEnd {
    /// The shard committed how the call ended.
    Settled(Box<SettledCall>),
    /// The call's end is not known here.
    Broken(CallError),
}

/// What comes next for a connection.
#[derive(Debug)]
pub enum CallProgress {
    /// Text beyond what the caller had.
    Text,
    /// The end; told once.
    End(CallEnd),
}

#[derive(Debug)]
struct CallText {
    /// The longest answer that the attempts agree on so far, from its start.
    text: String,
    /// The attempt that speaks.
    attempt: Attempt,
    /// Bytes the caller has or was sent.
    read: usize,
    end: Option<CallEnd>,
    wants_text: bool,
    has_reader: bool,
    has_writer: bool,
    waker: Option<Waker>,
}

impl CallText {
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn finish(&mut self, end: CallEnd) {
        if self.end.is_none() {
            self.end = Some(end);
            self.wake();
        }
    }

    fn unread(&self) -> usize {
        self.text.len().saturating_sub(self.read)
    }

    fn lags(&self, bounds: StallBounds) -> bool {
        self.unread() as u64 > bounds.buffer_bytes
    }

    /// Whether what was said must be kept as it was said.
    fn is_forwarding(&self) -> bool {
        self.wants_text && self.has_reader && self.end.is_none()
    }
}

/// The end that the call's task holds.
#[derive(Debug)]
pub struct CallSink {
    shared: Rc<RefCell<CallText>>,
    bounds: StallBounds,
    /// Bytes of the present attempt's answer seen so far.
    cursor: usize,
}

/// The end that the caller's connection holds.
#[derive(Debug)]
pub struct CallReader {
    shared: Rc<RefCell<CallText>>,
}

/// A buffer for a caller that had `skip` bytes of the answer before.
pub fn call_text(bounds: StallBounds, wants_text: bool, skip: u64) -> (CallSink, CallReader) {
    let shared = Rc::new(RefCell::new(CallText {
        text: String::new(),
        attempt: Attempt(0),
        read: usize::try_from(skip).unwrap_or(usize::MAX),
        end: None,
        wants_text,
        has_reader: true,
        has_writer: true,
        waker: None,
    }));
    let sink = CallSink {
        shared: shared.clone(),
        bounds,
        cursor: 0,
    };
    (sink, CallReader { shared })
}

impl CallSink {
    /// An attempt's answer starts from its beginning.
    pub fn begin_attempt(&mut self, attempt: Attempt) {
        self.cursor = 0;
        let mut shared = self.shared.borrow_mut();
        shared.attempt = attempt;
        if !shared.is_forwarding() {
            shared.text.clear();
        }
    }

    /// The caller's offset was of another attempt: it starts anew.
    pub fn forget_offset(&mut self) {
        self.shared.borrow_mut().read = 0;
    }

    /// More text of the present attempt.
    pub fn text(&mut self, delta: &str) {
        let mut shared = self.shared.borrow_mut();
        let start = self.cursor;
        self.cursor += delta.len();
        let overlap = (shared.text.len() - start).min(delta.len());
        let again = &delta.as_bytes()[..overlap];
        let agrees = shared.text.as_bytes()[start..start + overlap] == *again;
        // Where the bytes agree, the known text ends between two characters of the delta too.
        let fresh = delta.get(overlap..).filter(|_| agrees);
        let Some(fresh) = fresh else {
            return shared.say_otherwise(start, delta);
        };
        shared.text.push_str(fresh);
        if !fresh.is_empty() && shared.is_forwarding() && shared.unread() > 0 {
            shared.wake();
        }
    }

    /// Bytes of the present attempt's answer so far.
    pub fn attempt_bytes(&self) -> usize {
        self.cursor
    }

    /// The present attempt's answer so far.
    pub fn attempt_text(&self) -> String {
        let shared = self.shared.borrow();
        shared.text[..self.cursor].to_owned()
    }

    /// Whether a caller still listens.
    pub fn has_reader(&self) -> bool {
        self.shared.borrow().has_reader
    }

    /// The call is settled.
    pub fn settled(self, settled: SettledCall) {
        self.finish(CallEnd::Settled(Box::new(settled)));
    }

    /// The call's end is not known here.
    pub fn broken(self, error: CallError) {
        self.finish(CallEnd::Broken(error));
    }

    fn finish(self, end: CallEnd) {
        let shared = self.shared.clone();
        shared.borrow_mut().finish(end);
        if shared.borrow().lags(self.bounds) {
            actix_rt::spawn(let_go_when_stalled(shared, self.bounds));
        }
    }
}

impl CallText {
    /// An attempt says something else than what was kept.
    fn say_otherwise(&mut self, start: usize, delta: &str) {
        if self.is_forwarding() {
            self.finish(CallEnd::Broken(diverged()));
        }
        // The caller gets nothing more; from here on the text is the present attempt's alone.
        self.text.truncate(start);
        self.text.push_str(delta);
        self.wants_text = false;
    }
}

async fn let_go_when_stalled(shared: Rc<RefCell<CallText>>, bounds: StallBounds) {
    loop {
        let before = shared.borrow().read;
        sleep(bounds.patience).await;
        let mut shared = shared.borrow_mut();
        if !shared.has_reader || !shared.lags(bounds) {
            return;
        }
        if shared.read == before {
            shared.text = String::new();
            shared.end = Some(CallEnd::Broken(let_go()));
            return;
        }
    }
}

impl Drop for CallSink {
    fn drop(&mut self) {
        let mut shared = self.shared.borrow_mut();
        shared.has_writer = false;
        shared.wake();
    }
}

impl CallReader {
    /// Waits until there is something for the caller.
    pub async fn progress(&self) -> CallProgress {
        poll_fn(|context| self.poll_progress(context)).await
    }

    /// Whether there is something for the caller.
    pub fn poll_progress(&self, context: &mut Context<'_>) -> Poll<CallProgress> {
        let mut shared = self.shared.borrow_mut();
        if shared.wants_text && shared.unread() > 0 {
            return Poll::Ready(CallProgress::Text);
        }
        if let Some(end) = shared.end.take() {
            return Poll::Ready(CallProgress::End(end));
        }
        if !shared.has_writer {
            return Poll::Ready(CallProgress::End(CallEnd::Broken(ended_early())));
        }
        let waker = context.waker();
        if !shared
            .waker
            .as_ref()
            .is_some_and(|known| known.will_wake(waker))
        {
            shared.waker = Some(waker.clone());
        }
        Poll::Pending
    }

    /// The attempt that speaks.
    pub fn attempt(&self) -> Attempt {
        self.shared.borrow().attempt
    }

    /// Hands `render` the text that is new: the attempt, the bytes up to its end, and the text. None if the
    /// caller's place does not lie between two characters.
    pub fn take_text<T>(&self, render: impl FnOnce(Attempt, u64, &str) -> T) -> Option<T> {
        let mut shared = self.shared.borrow_mut();
        let rendered = {
            let fresh = shared.text.get(shared.read..)?;
            render(shared.attempt, shared.text.len() as u64, fresh)
        };
        shared.read = shared.text.len();
        Some(rendered)
    }

    /// Whether an answer begins with all that was kept of the call's text.
    pub fn agrees_with(&self, answer: &str) -> bool {
        answer.starts_with(&self.shared.borrow().text)
    }
}

impl Drop for CallReader {
    fn drop(&mut self) {
        let mut shared = self.shared.borrow_mut();
        shared.has_reader = false;
        shared.waker = None;
        if !shared.has_writer {
            shared.text = String::new();
        }
    }
}

/// A further attempt said something else.
pub fn diverged() -> CallError {
    let message = "a further attempt gave another answer; read the call again from its start";
    CallError::may_have_run(ErrorCode::EngineFailed, message)
}

fn let_go() -> CallError {
    let message = "the stream was read too slowly; ask for the call again with Last-Event-ID";
    CallError::may_have_run(ErrorCode::Unavailable, message)
}

fn ended_early() -> CallError {
    let message = "the call's task ended early; ask for the call again with Last-Event-ID";
    CallError::may_have_run(ErrorCode::Internal, message)
}

#[cfg(test)]
mod tests;
