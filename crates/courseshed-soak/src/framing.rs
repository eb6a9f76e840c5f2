//! Responses of every framing, whole or broken off after any byte, by a close or a reset.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Of a hundred responses, those that are broken off.
const BROKEN_OFF_OF_100: u32 = 12;
/// Of ten responses that are broken off, those that end right after their head.
const AFTER_HEAD_OF_10: u32 = 3;

/// How a response delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length.
    Length,
    /// By chunks.
    Chunked,
    /// By neither.
    UntilClose,
    /// By a length, over HTTP/1.0.
    OldLength,
    /// By neither, over HTTP/1.0.
    OldUntilClose,
}

/// All of them.
pub const FRAMINGS: [Framing; 5] = [
    Framing::Length,
    Framing::Chunked,
    Framing::UntilClose,
    Framing::OldLength,
    Framing::OldUntilClose,
];

impl Framing {
    fn version(self) -> &'static str {
        match self {
            Self::Length | Self::Chunked | Self::UntilClose => "1.1",
            Self::OldLength | Self::OldUntilClose => "1.0",
        }
    }

    /// Whether the body ends with the connection.
    #[must_use]
    pub fn ends_with_connection(self) -> bool {
        matches!(self, Self::UntilClose | Self::OldUntilClose)
    }

    fn header(self, length: usize) -> String {
        match self {
            Self::Length | Self::OldLength => format!("content-length: {length}\r\n"),
            Self::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
            Self::UntilClose | Self::OldUntilClose => String::new(),
        }
    }
}

/// Where and how a response is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Break {
    /// Bytes that are sent before it.
    pub after: usize,
    /// Whether the connection is reset, not closed in order.
    pub resets: bool,
}

/// A response as a server sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FramedResponse {
    /// How it delimits its body.
    pub framing: Framing,
    /// The head, each part of the body, and the end.
    pub pieces: Vec<String>,
    /// Where it is broken off; none if it is whole.
    pub breaks: Option<Break>,
}

impl FramedResponse {
    /// A whole response of a framing.
    #[must_use]
    pub fn whole(id: &str, media_type: &str, parts: &[String], framing: Framing) -> Self {
        let length = parts.iter().map(String::len).sum();
        let version = framing.version();
        let header = framing.header(length);
        let head = format!(
            "HTTP/{version} 200 OK\r\nx-call: {id}\r\ncontent-type: {media_type}\r\n{header}\r\n"
        );
        let mut pieces = vec![head];
        for part in parts {
            pieces.push(match framing {
                Framing::Chunked => format!("{:x}\r\n{part}\r\n", part.len()),
                _ => part.clone(),
            });
        }
        if framing == Framing::Chunked {
            pieces.push("0\r\n\r\n".to_owned());
        }
        Self {
            framing,
            pieces,
            breaks: None,
        }
    }

    /// A response of a framing, whole or broken off, as the random numbers say.
    pub fn draw(random: &mut ChaCha8Rng, id: &str, media_type: &str, parts: &[String]) -> Self {
        let framing = FRAMINGS[random.random_range(0..FRAMINGS.len())];
        // A server that has nothing to send says so.
        let framing = if parts.is_empty() {
            Framing::Length
        } else {
            framing
        };
        let mut response = Self::whole(id, media_type, parts, framing);
        if random.random_range(0..100) < BROKEN_OFF_OF_100 {
            response.breaks = Some(response.draw_break(random));
        }
        response
    }

    fn draw_break(&self, random: &mut ChaCha8Rng) -> Break {
        let head = self.pieces[0].len();
        let length: usize = self.pieces.iter().map(String::len).sum();
        let after = if random.random_range(0..10) < AFTER_HEAD_OF_10 {
            head
        } else {
            random.random_range(0..length)
        };
        let resets = random.random_range(0..2) == 0 || self.looks_whole_after(after);
        Break { after, resets }
    }

    /// Whether an orderly close after this number of bytes can't be told from the end of a whole body.
    #[must_use]
    pub fn looks_whole_after(&self, after: usize) -> bool {
        let head = self.pieces[0].len();
        if !self.framing.ends_with_connection() || after <= head {
            return false;
        }
        let is_stream = self.pieces[0].contains("text/event-stream");
        let mut boundary = head;
        let mut boundaries = self.pieces[1..].iter().map(|piece| {
            boundary += piece.len();
            boundary
        });
        !is_stream || boundaries.any(|boundary| boundary == after)
    }
}
