//! What an emulated model answers: a text that follows from the prompt alone.
//!
//! The answer begins with a marker that holds the digest of the whole prompt, and every later
//! token follows from that digest and its index. A caller who knows the prompt it meant can so
//! check every byte of an answer, and a mixed-up or shortened history shows.
//!
//! One token is [`BYTES_PER_TOKEN`] bytes, as in the estimates of `courseshed-types`.

use courseshed_engine_model::{BlockHash, chain_block_hashes};
use courseshed_types::tokens::{BYTES_PER_TOKEN, TOKENS_PER_MESSAGE};
use courseshed_types::{ChatMessage, ChatRole};
use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes that stand for a message's role and separators.
const HEADER_BYTES: usize = TOKENS_PER_MESSAGE as usize * BYTES_PER_TOKEN;
/// What a directive in a user message begins with.
const DIRECTIVE_START: &str = "{\"emulator\":";
/// Letters of the answers' words.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyzaeioun";

/// A prompt as the emulated model sees it.
pub struct Prompt {
    bytes: Vec<u8>,
    digest: u64,
}

impl Prompt {
    /// Renders messages, ending with the header of the answer to come.
    pub fn new(messages: &[ChatMessage]) -> Self {
        let mut bytes = Vec::new();
        for message in messages {
            push_header(&mut bytes, message.role);
            bytes.extend_from_slice(message.canonical_text().as_bytes());
            let padded = bytes.len().next_multiple_of(BYTES_PER_TOKEN);
            bytes.resize(padded, 0);
        }
        push_header(&mut bytes, ChatRole::Assistant);
        let digest = xxh3_64(&bytes);
        Prompt { bytes, digest }
    }

    /// The digest of the whole prompt.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Tokens in memory for it, the answer's header included.
    pub fn context_tokens(&self) -> u32 {
        (self.bytes.len() / BYTES_PER_TOKEN) as u32
    }

    /// Tokens as the estimates of `courseshed-types` count them, and as usage reports them.
    pub fn counted_tokens(&self) -> u32 {
        self.context_tokens() - TOKENS_PER_MESSAGE as u32
    }

    /// The first `tokens` tokens of the answer.
    pub fn answer(&self, tokens: u32) -> String {
        let length = tokens as usize * BYTES_PER_TOKEN;
        let mut text = format!("[[{:016x}]]", self.digest);
        let mut index = 0;
        while text.len() < length {
            push_word(&mut text, self.digest, index);
            index += 1;
        }
        text.truncate(length);
        text
    }

    /// The chained hashes of the full blocks of the prompt followed by `answer`.
    pub fn block_hashes(&self, answer: &str, block_tokens: u32) -> Vec<BlockHash> {
        let mut content = Vec::with_capacity(self.bytes.len() + answer.len());
        content.extend_from_slice(&self.bytes);
        content.extend_from_slice(answer.as_bytes());
        chain_block_hashes(&content, block_tokens as usize * BYTES_PER_TOKEN)
    }
}

/// The whole answer that an emulated engine gives to `messages` with so many tokens.
pub fn expected_answer(messages: &[ChatMessage], output_tokens: u32) -> String {
    Prompt::new(messages).answer(output_tokens)
}

/// The text of one token of an answer.
pub(crate) fn token_text(answer: &str, index: u32) -> &str {
    let start = index as usize * BYTES_PER_TOKEN;
    &answer[start..start + BYTES_PER_TOKEN]
}

fn push_header(bytes: &mut Vec<u8>, role: ChatRole) {
    let name = match role {
        ChatRole::System => "system",
        ChatRole::Developer => "developer",
        ChatRole::User => "user",
        ChatRole::Assistant => "assistant",
        ChatRole::Tool => "tool",
    };
    let end = bytes.len() + HEADER_BYTES;
    bytes.extend_from_slice(name.as_bytes());
    bytes.resize(end, b'|');
}

/// Appends one token: three letters and a space.
fn push_word(text: &mut String, digest: u64, index: u64) {
    let mut hash = xxh3_64_with_seed(&index.to_le_bytes(), digest);
    for _ in 0..BYTES_PER_TOKEN - 1 {
        let letter = LETTERS[hash as usize % LETTERS.len()];
        text.push(char::from(letter));
        hash >>= 8;
    }
    text.push(' ');
}

/// What a caller may ask of the emulation in the text of the last user message, such as
/// `{"emulator":{"output_tokens":120}}`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Directive {
    /// Tokens to generate, if within the request's limit.
    pub output_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct DirectiveBody {
    emulator: Directive,
}

/// The directive in the last user message, if there is one.
pub fn find_directive(messages: &[ChatMessage]) -> Option<Directive> {
    let of_user = |message: &&ChatMessage| message.role == ChatRole::User;
    let message = messages.iter().rev().find(of_user)?;
    let text = message.canonical_text();
    let start = text.find(DIRECTIVE_START)?;
    let mut bodies = serde_json::Deserializer::from_str(&text[start..]).into_iter();
    let body: DirectiveBody = bodies.next()?.ok()?;
    Some(body.emulator)
}

/// Tokens to generate without a directive: exponentially distributed, at least one.
///
/// It follows from the prompt and the engine's seed, so that a repeated call answers alike.
pub fn drawn_output_tokens(digest: u64, seed: u64, mean: f64) -> u32 {
    let hash = xxh3_64_with_seed(&digest.to_le_bytes(), seed);
    let unit = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    let tokens = -mean * (1.0 - unit).ln();
    tokens.ceil().max(1.0) as u32
}

#[cfg(test)]
mod tests {
    use super::*;
    use courseshed_types::tokens::estimate_messages;

    fn conversation() -> Vec<ChatMessage> {
        vec![
            ChatMessage::text(ChatRole::System, "Quote leases."),
            ChatMessage::text(
                ChatRole::User,
                "A van, 36 months {\"emulator\":{\"output_tokens\":40}} please",
            ),
        ]
    }

    #[test]
    fn tokens_are_counted_as_they_are_estimated() {
        let prompt = Prompt::new(&conversation());
        let estimate = estimate_messages(&conversation()).0;
        assert_eq!(u64::from(prompt.counted_tokens()), estimate);
    }

    #[test]
    fn the_next_turn_begins_with_this_ones_blocks() {
        let mut messages = conversation();
        let prompt = Prompt::new(&messages);
        let answer = prompt.answer(40);
        let first = prompt.block_hashes(&answer, 16);
        messages.push(ChatMessage::text(ChatRole::Assistant, answer));
        messages.push(ChatMessage::text(ChatRole::User, "And 48 months?"));
        let second = Prompt::new(&messages).block_hashes("", 16);
        assert_eq!(second[..first.len()], first);
    }

    #[test]
    fn answers_depend_on_every_word_and_extend_each_other() {
        let other = vec![ChatMessage::text(ChatRole::User, "A car")];
        assert_ne!(
            expected_answer(&conversation(), 40),
            expected_answer(&other, 40)
        );
        let long = expected_answer(&other, 40);
        assert_eq!(long.len(), 160);
        assert!(long.starts_with(&expected_answer(&other, 3)));
    }

    #[test]
    fn directives_are_found_in_the_last_user_message() {
        let directive = find_directive(&conversation()).expect("there is one");
        assert_eq!(directive.output_tokens, Some(40));
        assert_eq!(find_directive(&conversation()[..1]), None);
    }
}
