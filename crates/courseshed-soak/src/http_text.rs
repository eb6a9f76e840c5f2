//! HTTP/1.1 as text, as much of it as the soak's callers and servers need.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest head that is read, in bytes; those of the soak are a tenth of it.
const MAX_HEAD: usize = 16 * 1024;

/// The head of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The first line.
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// A header's value; its name is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    /// The path of a request.
    #[must_use]
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    fn parse(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        });
        Self {
            start,
            headers: headers.collect(),
        }
    }

    fn content_length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding") == Some("chunked")
    }
}

/// A connection on which messages are read and written.
#[derive(Debug)]
pub struct TextConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// A message that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: String,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl TextConnection {
    /// A connection over a stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Writes text.
    ///
    /// # Errors
    /// What the system says.
    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Lets the connection be reset when it is closed.
    ///
    /// # Errors
    /// What the system says.
    pub fn reset_on_close(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// The next message; none if the connection ended before its head.
    pub async fn read(&mut self) -> Option<Message> {
        let head = self.read_head().await?;
        if head.is_chunked() {
            let (body, is_whole) = self.read_chunks().await;
            return Some(Message {
                head,
                body,
                is_whole,
            });
        }
        let length = head.content_length();
        let is_whole = self.fill_to(length).await;
        let body = self.take(length);
        Some(Message {
            head,
            body,
            is_whole,
        })
    }

    /// Reads a stream of events until a number of them came, or it ended.
    pub async fn read_events(&mut self, most: usize) -> Option<Message> {
        let head = self.read_head().await?;
        if !head.is_chunked() {
            let length = head.content_length();
            let is_whole = self.fill_to(length).await;
            let body = self.take(length);
            return Some(Message {
                head,
                body,
                is_whole,
            });
        }
        let mut body = String::new();
        let mut is_whole = false;
        while event_data(&body).len() < most {
            match self.read_chunk().await {
                Some(chunk) if chunk.is_empty() => {
                    is_whole = true;
                    break;
                }
                Some(chunk) => body.push_str(&chunk),
                None => break,
            }
        }
        Some(Message {
            head,
            body,
            is_whole,
        })
    }

    /// The content of the next chunk, empty for the last one; none if it did not come whole.
    async fn read_chunk(&mut self) -> Option<String> {
        let line = self.read_line().await?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        if !self.fill_to(size + 2).await {
            return None;
        }
        let chunk = self.take(size + 2);
        Some(chunk[..size].to_owned())
    }

    async fn read_head(&mut self) -> Option<Head> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = self.take(end + 4);
                return Some(Head::parse(text.trim_end_matches("\r\n")));
            }
            if self.buffer.len() > MAX_HEAD || !self.fill().await {
                return None;
            }
        }
    }

    /// The content of all chunks, and whether the last one came.
    async fn read_chunks(&mut self) -> (String, bool) {
        let mut body = String::new();
        loop {
            match self.read_chunk().await {
                Some(chunk) if chunk.is_empty() => return (body, true),
                Some(chunk) => body.push_str(&chunk),
                None => return (body, false),
            }
        }
    }

    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                return Some(self.take(end + 2));
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    async fn fill_to(&mut self, size: usize) -> bool {
        while self.buffer.len() < size {
            if !self.fill().await {
                return false;
            }
        }
        true
    }

    async fn fill(&mut self) -> bool {
        let mut bytes = [0; 8192];
        match self.stream.read(&mut bytes).await {
            Ok(read) if read > 0 => {
                self.buffer.extend_from_slice(&bytes[..read]);
                true
            }
            _ => false,
        }
    }

    fn take(&mut self, size: usize) -> String {
        let size = size.min(self.buffer.len());
        let bytes: Vec<u8> = self.buffer.drain(..size).collect();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// One event of a stream.
#[must_use]
pub fn event_text(number: u64, data: &str) -> String {
    format!("id: {number}\ndata: {data}\n\n")
}

/// One event of a stream as a chunk.
#[must_use]
pub fn event_chunk(number: u64, data: &str) -> String {
    let event = event_text(number, data);
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// The data of all whole events of a stream's body.
#[must_use]
pub fn event_data(body: &str) -> Vec<String> {
    let mut events: Vec<&str> = body.split("\n\n").collect();
    // What stands behind the last empty line is no whole event.
    events.pop();
    let data = events.into_iter().filter_map(|event| {
        let mut lines = event.lines();
        lines.find_map(|line| line.strip_prefix("data: "))
    });
    data.map(str::to_owned).collect()
}
