//! What a call's task tells the connection of its caller, and the sink between them.
//!
//! Invariants:
//! - the text forwarded is always the beginning of one answer: when a further attempt says something else, the
//!   caller is told so and gets nothing more;
//! - the end of an answer is told only after the shard committed it;
//! - a caller that reads too slowly is let go, and can come back; the call goes on.

use courseshed_types::{Attempt, CallError, ErrorCode, shard::SettledCall};
use tokio::sync::mpsc;

/// Bytes of the buffer counted for one event.
const BYTES_PER_EVENT: u64 = 128;
/// Least events a buffer holds.
const MIN_EVENTS: usize = 64;

/// What a call's task tells the connection of its caller.
#[derive(Debug)]
pub enum CallEvent {
    /// Text to append.
    Text {
        /// The attempt that says it.
        attempt: Attempt,
        /// Bytes of the answer up to and including this text.
        end: u64,
        /// The text.
        delta: String,
    },
    /// The shard committed how the call ended.
    Settled(Box<SettledCall>),
    /// The call's end is not known here.
    Broken(CallError),
}

/// The end of the channel that the call's task holds.
#[derive(Debug)]
pub struct CallSink {
    sender: Option<mpsc::Sender<CallEvent>>,
    wants_text: bool,
    /// Bytes the caller had before it came.
    skip: usize,
    /// Text forwarded beyond those.
    forwarded: String,
    /// Bytes of the present attempt's answer seen so far.
    cursor: usize,
}

impl CallSink {
    /// A channel for a caller that had `skip` bytes of the answer before.
    pub fn channel(
        buffer_bytes: u64,
        wants_text: bool,
        skip: u64,
    ) -> (CallSink, mpsc::Receiver<CallEvent>) {
        let events = usize::try_from(buffer_bytes / BYTES_PER_EVENT).unwrap_or(usize::MAX);
        let (sender, receiver) = mpsc::channel(events.clamp(MIN_EVENTS, 1 << 20));
        let sink = CallSink {
            sender: Some(sender),
            wants_text,
            skip: usize::try_from(skip).unwrap_or(usize::MAX),
            forwarded: String::new(),
            cursor: 0,
        };
        (sink, receiver)
    }

    /// An attempt's answer starts from its beginning.
    pub fn begin_attempt(&mut self) {
        self.cursor = 0;
    }

    /// The caller's offset was of another attempt: it starts anew.
    pub fn forget_offset(&mut self) {
        self.skip = 0;
    }

    /// More text of the present attempt.
    pub fn text(&mut self, attempt: Attempt, delta: &str) {
        let start = self.cursor;
        self.cursor += delta.len();
        if !self.wants_text || self.sender.is_none() {
            return;
        }
        let known = self.skip + self.forwarded.len();
        if self.cursor <= known {
            self.check_overlap(start, delta);
            return;
        }
        let overlap = known.saturating_sub(start);
        let Some(fresh) = delta.get(overlap..) else {
            return self.diverged();
        };
        self.check_overlap(start, &delta[..overlap]);
        self.forwarded.push_str(fresh);
        self.send(CallEvent::Text {
            attempt,
            end: self.cursor as u64,
            delta: fresh.to_owned(),
        });
    }

    /// The call is settled.
    pub fn settled(mut self, settled: SettledCall) {
        self.send_last(CallEvent::Settled(Box::new(settled)));
    }

    /// The call's end is not known here.
    pub fn broken(mut self, error: CallError) {
        self.send_last(CallEvent::Broken(error));
    }

    /// Compares text that the caller has already, as far as it is known here.
    fn check_overlap(&mut self, start: usize, text: &str) {
        let from = start.max(self.skip);
        let Some(text) = text.get(from - start..) else {
            return;
        };
        let place = from - self.skip;
        let known = self.forwarded.as_bytes().get(place..place + text.len());
        if known != Some(text.as_bytes()) {
            self.diverged();
        }
    }

    fn diverged(&mut self) {
        let message = "a further attempt gave another answer; read the call again from its start";
        self.send_last(CallEvent::Broken(CallError::may_have_run(
            ErrorCode::EngineFailed,
            message,
        )));
    }

    fn send(&mut self, event: CallEvent) {
        let Some(sender) = &self.sender else {
            return;
        };
        if sender.try_send(event).is_err() {
            // Gone, or too slow: what is buffered is still read, and then the stream ends unfinished.
            self.sender = None;
        }
    }

    /// Sends the last event, for which a caller that lags may wait a little in the channel's reserve.
    fn send_last(&mut self, event: CallEvent) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(event)) = sender.try_send(event) {
            actix_rt::spawn(async move {
                let _ = sender.send(event).await;
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn texts(receiver: &mut mpsc::Receiver<CallEvent>) -> Vec<String> {
        let mut texts = Vec::new();
        while let Ok(event) = receiver.try_recv() {
            texts.push(match event {
                CallEvent::Text { delta, .. } => delta,
                CallEvent::Broken(_) => "broken".to_owned(),
                CallEvent::Settled(_) => "settled".to_owned(),
            });
        }
        texts
    }

    #[test]
    fn a_second_attempt_that_agrees_goes_on_where_the_first_stopped() {
        let (mut sink, mut receiver) = CallSink::channel(1 << 16, true, 0);
        sink.text(Attempt(1), "one ");
        sink.text(Attempt(1), "two ");
        sink.begin_attempt();
        sink.text(Attempt(2), "one");
        sink.text(Attempt(2), " two three");
        assert_eq!(texts(&mut receiver), ["one ", "two ", "three"]);
    }

    #[test]
    fn a_second_attempt_that_differs_ends_the_stream() {
        let (mut sink, mut receiver) = CallSink::channel(1 << 16, true, 0);
        sink.text(Attempt(1), "one ");
        sink.begin_attempt();
        sink.text(Attempt(2), "two three");
        sink.text(Attempt(2), "four");
        let seen = texts(&mut receiver);
        assert_eq!(seen.first().map(String::as_str), Some("one "));
        assert_eq!(seen.get(1).map(String::as_str), Some("broken"));
        assert_eq!(seen.len(), 2);
    }

    #[test]
    fn text_the_caller_had_is_not_sent_again() {
        let (mut sink, mut receiver) = CallSink::channel(1 << 16, true, 5);
        sink.text(Attempt(1), "one ");
        sink.text(Attempt(1), "two ");
        sink.text(Attempt(1), "three");
        assert_eq!(texts(&mut receiver), ["wo ", "three"]);
    }

    #[test]
    fn a_slow_reader_is_let_go() {
        let (mut sink, mut receiver) = CallSink::channel(0, true, 0);
        for _ in 0..MIN_EVENTS * 2 {
            sink.text(Attempt(1), "x");
        }
        assert_eq!(texts(&mut receiver).len(), MIN_EVENTS);
        assert!(receiver.is_closed());
    }
}
