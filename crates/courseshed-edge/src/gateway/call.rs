//! A caller's request as the gateway sees it, and the codec that knows the words of the wire.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use bytes::{Bytes, BytesMut};
use courseshed_routing::KeyDigest;
use courseshed_types::PromptPart;
use snafu::Snafu;

/// What a request says of the program it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramClaim {
    /// The program.
    pub program: String,
    /// Tokens that the program's turns together may generate; none if it isn't bounded.
    pub token_budget: Option<u64>,
    /// Time until the program should be over.
    pub time_left: Option<Duration>,
}

/// What a caller shows to be let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    Missing,
    /// Something that is no key, or more than one.
    Unusable,
    /// A key.
    Key(KeyDigest),
}

/// A caller's request, read.
#[derive(Clone, Debug)]
pub struct CallEnvelope {
    /// Names this request; never used twice.
    pub request_id: String,
    /// Method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Path alone.
    pub path: String,
    /// Host, as sent.
    pub host: String,
    /// Headers that concern more than one connection, as sent.
    pub headers: HeaderMap,
    /// The key that the caller shows.
    pub credential: Credential,
    /// The body.
    pub body: Bytes,
    /// How long the caller will wait.
    pub time_left: Option<Duration>,
    /// The last event that the caller has of this stream.
    pub last_event: Option<u64>,
    /// The program it belongs to.
    pub program: Option<ProgramClaim>,
    /// The most tokens that it may generate.
    pub most_tokens: Option<u32>,
    /// What a server that saw the same thing lately is found by.
    pub affinity_key: Option<String>,
    /// The parts of the prompt, in order; empty if it has none.
    pub prompt: Vec<PromptPart>,
    /// The kept turn that it goes on from.
    pub previous_turn: Option<String>,
}

/// What is said to a server beside the caller's own words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendTerms {
    /// How long the server may take.
    pub time_left: Option<Duration>,
    /// The only life of a server that may run it.
    pub server: String,
    /// The last event that the caller has; the stream goes on behind it.
    pub resume_after: Option<u64>,
    /// The tenant whose key the caller showed; none where calls need no key.
    pub tenant: Option<String>,
    /// Whether the caller's key is kept from the server.
    pub hides_key: bool,
}

/// What a server's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMarks {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether the server says that the request did not run.
    pub is_not_run: bool,
}

/// A request that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct UnreadableCall {
    /// What is wrong, for the caller.
    pub reason: String,
}

/// The words of callers and servers on the wire. It translates and decides nothing.
pub trait CallCodec: 'static {
    /// Reads the head of a caller's request; the body comes later.
    ///
    /// # Errors
    /// [`UnreadableCall`] when a header that must be readable isn't.
    fn read_call(&self, head: &RequestHead) -> Result<CallEnvelope, UnreadableCall>;

    /// Writes the head of the request to a server, with the empty line that ends it.
    fn write_head(
        &self,
        call: &CallEnvelope,
        body_bytes: usize,
        terms: &SendTerms,
        out: &mut BytesMut,
    );

    /// Reads the marks of a server's answer.
    fn read_answer(&self, head: &ResponseHead) -> AnswerMarks;
}
