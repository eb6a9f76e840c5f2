//! Decides how much of a client's input the HTTP library gets. No I/O.
//!
//! The library decodes all input that it has, whether or not anyone waits for it: every request behind
//! the current one, and an entry for each chunk of a body. The gate finds the ends of request heads and
//! of chunked bodies by their empty lines, and otherwise leaves parsing to the library.
//!
//! Invariants: no more than one request is decoded and not answered; a body advances only when its
//! reader asks for more, by a bounded number of bytes and lines each time; input is passed on unchanged
//! and in order.

use memchr::memchr;

/// Bytes passed on in one turn: one read of the HTTP library.
pub const TURN_BYTES: usize = 8 * 1024;
/// Lines of a chunked body passed on in one turn. Each chunk has at least two.
const TURN_LINES: usize = 256;

/// How the end of a request body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By the body itself; only the HTTP library finds its end.
    Chunked,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request has begun.
    Idle,
    /// A request head is incomplete.
    Head,
    /// A request body is incomplete, and its reader may ask for more.
    Body,
    /// A whole request is being handled or answered.
    Response,
    /// The response is finished and the rest of the request body is discarded.
    Discard,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Before or within a request head.
    Head,
    /// A whole head was passed on, and its request has not been handled yet.
    HeadPassed,
    Body(BodyFraming),
    Response,
    Discard,
}

/// The input of one client connection.
#[derive(Debug)]
pub struct RequestGate {
    state: State,
    lines: LineScanner,
    /// Whether the current head or chunked body has had a line that its end must follow: any line with
    /// content of a head, one that may be the last chunk of a body.
    may_end: bool,
    head_bytes: usize,
    turn_bytes: usize,
    turn_lines: usize,
    is_body_wanted: bool,
}

impl Default for RequestGate {
    fn default() -> Self {
        Self {
            state: State::Head,
            lines: LineScanner::default(),
            may_end: false,
            head_bytes: 0,
            turn_bytes: 0,
            turn_lines: 0,
            is_body_wanted: false,
        }
    }
}

impl RequestGate {
    /// What the connection is doing.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self.state {
            State::Head if self.head_bytes == 0 => Phase::Idle,
            State::Head | State::HeadPassed => Phase::Head,
            State::Body(_) => Phase::Body,
            State::Response => Phase::Response,
            State::Discard => Phase::Discard,
        }
    }

    /// Bytes of the current request head that were passed on.
    #[must_use]
    pub fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Whether the library may get input before anything else happens on the connection.
    #[must_use]
    pub fn is_open(&self) -> bool {
        match self.state {
            State::Head | State::Discard => !self.is_turn_over(),
            State::Body(_) => self.is_body_wanted && !self.is_turn_over(),
            State::HeadPassed | State::Response => false,
        }
    }

    /// Whether the gate opens by itself with the next turn.
    #[must_use]
    pub fn opens_next_turn(&self) -> bool {
        match self.state {
            State::Head | State::HeadPassed | State::Discard => true,
            State::Body(_) | State::Response => false,
        }
    }

    /// Bytes that may still be passed on in this turn.
    #[must_use]
    pub fn turn_left(&self) -> usize {
        TURN_BYTES - self.turn_bytes
    }

    fn is_turn_over(&self) -> bool {
        self.turn_bytes >= TURN_BYTES || self.turn_lines >= TURN_LINES
    }

    /// Takes as many of the first bytes of `input` as the library may get now; returns their number.
    pub fn take(&mut self, input: &[u8]) -> usize {
        if !self.is_open() {
            return 0;
        }
        let input = &input[..input.len().min(self.turn_left())];
        let taken = match self.state {
            State::Head => self.take_head(input),
            State::Body(BodyFraming::Length(left)) => self.take_length(input, left),
            State::Body(BodyFraming::Chunked) => self.take_chunked(input),
            State::Discard => input.len(),
            State::HeadPassed | State::Response => 0,
        };
        self.turn_bytes += taken;
        taken
    }

    fn take_head(&mut self, input: &[u8]) -> usize {
        let mut taken = 0;
        while taken < input.len() {
            let (bytes, line) = self.lines.advance(&input[taken..]);
            taken += bytes;
            match line {
                Some(Line { first: None }) if self.may_end => {
                    self.state = State::HeadPassed;
                    break;
                }
                Some(line) => self.may_end |= line.first.is_some(),
                None => {}
            }
        }
        self.head_bytes += taken;
        taken
    }

    fn take_length(&mut self, input: &[u8], left: u64) -> usize {
        let taken = usize::try_from(left).map_or(input.len(), |left| left.min(input.len()));
        let left = left - taken as u64;
        self.state = State::Body(BodyFraming::Length(left));
        if left == 0 {
            self.state = State::Response;
        }
        taken
    }

    /// Stops behind each line that may be the end of the body, and leaves it to the library to say
    /// whether it is.
    fn take_chunked(&mut self, input: &[u8]) -> usize {
        let mut taken = 0;
        while taken < input.len() && self.turn_lines < TURN_LINES {
            let (bytes, line) = self.lines.advance(&input[taken..]);
            taken += bytes;
            self.turn_lines += usize::from(line.is_some());
            match line {
                Some(Line { first: None }) if self.may_end => {
                    self.turn_lines = TURN_LINES;
                }
                Some(line) => self.may_end |= line.first == Some(b'0'),
                None => {}
            }
        }
        taken
    }

    /// Begins the next turn, since the library has had its share of this one. A head that was passed on
    /// in an earlier turn and began no request was not a whole one.
    pub fn end_turn(&mut self) {
        if self.turn_bytes > 0 {
            self.is_body_wanted = false;
        } else if self.state == State::HeadPassed {
            self.state = State::Head;
            self.may_end = false;
        }
        self.begin_turn();
    }

    /// Begins the next turn, since there is no more input.
    pub fn begin_turn(&mut self) {
        self.turn_bytes = 0;
        self.turn_lines = 0;
    }

    /// The library handles a request; `framing` is that of its body, if it has one.
    pub fn begin_request(&mut self, framing: Option<BodyFraming>) {
        self.state = match framing {
            None | Some(BodyFraming::Length(0)) => State::Response,
            Some(framing) => State::Body(framing),
        };
        self.is_body_wanted = false;
        self.lines = LineScanner::default();
        self.may_end = false;
        self.head_bytes = 0;
    }

    /// The reader of the body waits for more of it. Returns whether it did not before.
    pub fn want_body(&mut self) -> bool {
        !std::mem::replace(&mut self.is_body_wanted, true)
    }

    /// The library has found the end of the body, or an error in it.
    pub fn end_body(&mut self) {
        if matches!(self.state, State::Body(_)) {
            self.state = State::Response;
        }
    }

    /// The response to the request is finished.
    pub fn end_response(&mut self) {
        match self.state {
            State::Response => {
                self.state = State::Head;
                self.lines = LineScanner::default();
                self.may_end = false;
                self.head_bytes = 0;
            }
            State::Body(_) => self.state = State::Discard,
            State::Head | State::HeadPassed | State::Discard => {}
        }
    }
}

/// A whole line.
struct Line {
    /// Its first byte that is not a carriage return; `None` if it is empty.
    first: Option<u8>,
}

/// Finds lines in input that arrives in pieces.
#[derive(Debug, Default)]
struct LineScanner {
    first: Option<u8>,
}

impl LineScanner {
    /// Advances to the end of the line or of the input. Returns the bytes passed and the line, if it is
    /// whole.
    fn advance(&mut self, input: &[u8]) -> (usize, Option<Line>) {
        let end = memchr(b'\n', input);
        let line = &input[..end.unwrap_or(input.len())];
        if self.first.is_none() {
            self.first = line.iter().copied().find(|byte| *byte != b'\r');
        }
        match end {
            Some(end) => {
                let first = self.first.take();
                (end + 1, Some(Line { first }))
            }
            None => (input.len(), None),
        }
    }
}
