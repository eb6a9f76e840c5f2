//! The messages of a program's answered calls.
//!
//! One segment per answered call: its new messages, then the answer. Segments are kept encoded, since a decoded
//! message takes several times the memory of its text; answers to settled calls are read back from here, so
//! that each text is kept once.

use bytes::Bytes;
use courseshed_types::{
    ModelName, Tokens, Usage,
    chat::ChatMessage,
    tokens::{TOKENS_PER_MESSAGE, estimate_messages},
};
use serde::{Deserialize, Serialize};

/// Tokens a chat template may add to a prompt beyond its messages, for the worst case.
const TEMPLATE_TOKENS: u64 = 16;

/// How large a prompt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptSize {
    /// The likely size, for scheduling.
    pub estimated: Tokens,
    /// More than any byte-level tokenizer makes of it, for budgets.
    pub worst_case: Tokens,
}

/// What an engine counted for the whole history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CountedHistory {
    model: ModelName,
    tokens: Tokens,
}

/// The history of one program.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    segments: Vec<Bytes>,
    estimated: Tokens,
    worst_case: Tokens,
    counted: Option<CountedHistory>,
}

impl History {
    /// Number of segments, one for each answered call.
    pub fn segments(&self) -> usize {
        self.segments.len()
    }

    /// Encoded size in bytes.
    pub fn bytes(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    /// Tokens of the history: as the engine counted them, else estimated.
    pub fn tokens(&self) -> Tokens {
        match &self.counted {
            Some(counted) => counted.tokens,
            None => self.estimated,
        }
    }

    /// All messages, in order.
    pub fn messages(&self) -> Vec<ChatMessage> {
        self.messages_of_first(self.segments.len())
    }

    /// The messages of the first `count` segments, in order.
    pub fn messages_of_first(&self, count: usize) -> Vec<ChatMessage> {
        let segments = self.segments.iter().take(count);
        segments
            .flat_map(|segment| decode_messages(segment))
            .collect()
    }

    /// The answer that ends a segment.
    pub fn answer(&self, segment: usize) -> Option<ChatMessage> {
        decode_messages(self.segments.get(segment)?).pop()
    }

    /// The size of a prompt of this history and `new` messages for a model.
    pub fn prompt_size(&self, model: &ModelName, new: &[ChatMessage]) -> PromptSize {
        let estimated_new = estimate_messages(new);
        let worst_new = worst_case_tokens(new);
        let (estimated, worst_case) = match &self.counted {
            Some(counted) if counted.model == *model => (counted.tokens, counted.tokens),
            _ => (self.estimated, self.worst_case),
        };
        PromptSize {
            estimated: estimated.saturating_add(estimated_new),
            worst_case: worst_case
                .saturating_add(worst_new)
                .saturating_add(Tokens(TEMPLATE_TOKENS)),
        }
    }

    /// Appends the messages of an answered call and its answer.
    pub fn append(&mut self, model: &ModelName, messages: Vec<ChatMessage>, usage: Usage) {
        self.estimated = self.estimated.saturating_add(estimate_messages(&messages));
        self.worst_case = self.worst_case.saturating_add(worst_case_tokens(&messages));
        if usage.prompt_tokens > Tokens::ZERO {
            self.counted = Some(CountedHistory {
                model: model.clone(),
                tokens: usage.total(),
            });
        }
        self.segments.push(encode_messages(&messages));
    }

    /// Drops all messages and keeps the counts.
    pub fn clear(&mut self) {
        self.segments = Vec::new();
    }
}

/// Messages as one block of bytes.
pub(crate) fn encode_messages(messages: &[ChatMessage]) -> Bytes {
    // Encoding plain data into memory can't fail: every key of a message is a string.
    let bytes = rmp_serde::to_vec(messages).unwrap_or_default();
    Bytes::from(bytes.into_boxed_slice())
}

/// Messages from a block of bytes that [`encode_messages`] wrote.
pub(crate) fn decode_messages(bytes: &[u8]) -> Vec<ChatMessage> {
    rmp_serde::from_slice(bytes).unwrap_or_default()
}

/// More tokens than any byte-level tokenizer makes of the messages: one per byte, and the template's.
fn worst_case_tokens(messages: &[ChatMessage]) -> Tokens {
    let one = |message: &ChatMessage| {
        let bytes = message.canonical_text().len() as u64;
        Tokens(bytes.saturating_add(2 * TOKENS_PER_MESSAGE))
    };
    messages.iter().map(one).sum()
}

#[cfg(test)]
mod tests {
    use courseshed_types::ChatRole;
    use serde_json::json;

    use super::*;

    #[test]
    fn messages_survive_encoding_with_all_fields() {
        let mut message = ChatMessage::text(ChatRole::Assistant, "x");
        message.content = json!(null);
        message.other.insert(
            "tool_calls".to_owned(),
            json!([{"id": "a", "n": 1.5, "deep": {"k": [true, null, -3]}}]),
        );
        let list = vec![ChatMessage::text(ChatRole::User, "雪 ❄"), message];
        assert_eq!(decode_messages(&encode_messages(&list)), list);
    }

    #[test]
    fn the_worst_case_covers_the_estimate_and_the_count() {
        let model = ModelName::from("m");
        let mut history = History::default();
        let question = vec![ChatMessage::text(ChatRole::User, "how long is this text?")];
        let first = history.prompt_size(&model, &question);
        assert!(first.worst_case >= first.estimated);
        let usage = Usage {
            prompt_tokens: Tokens(9),
            cached_tokens: Tokens(0),
            completion_tokens: Tokens(3),
        };
        history.append(&model, question.clone(), usage);
        assert_eq!(history.tokens(), Tokens(12));
        let second = history.prompt_size(&model, &question);
        assert!(second.worst_case >= Tokens(12));
        assert!(second.worst_case < Tokens(12 + 22 + 16 + 10));
    }
}
