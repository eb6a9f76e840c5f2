//! A small HTTP/1.1 client and the parts that the servers share with it.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Reads a head: its first line and its headers. None at an orderly end before the first byte.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the whole body came, as its framing says.
    pub is_whole: bool,
    /// Why there is no whole answer.
    pub error: String,
}

impl Answer {
    fn failed(error: impl ToString) -> Self {
        Self {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
            is_whole: false,
            error: error.to_string(),
        }
    }

    pub fn is_success(&self) -> bool {
        self.is_whole && (200..300).contains(&self.status)
    }

    pub fn describe(&self) -> String {
        let whole = if self.is_whole { "whole" } else { "broken" };
        let seal = header(&self.headers, "Courseshed-Response-Seal").unwrap_or("-");
        let text = String::from_utf8_lossy(&self.body);
        let text: String = text.chars().take(40).collect::<String>().replace('\n', "|");
        format!(
            "status={} {whole} bytes={} seal={seal} error={:?} body={text:?}",
            self.status,
            self.body.len(),
            self.error
        )
    }
}

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: Vec<u8>,
}

impl Request<'_> {
    pub fn bytes(&self, host: &str) -> Vec<u8> {
        let mut out = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" || !self.body.is_empty() {
            out.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(&self.body);
        out
    }
}

/// Reads a whole answer.
pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let head = match read_head(reader) {
        Ok(Some(head)) => head,
        Ok(None) => return Answer::failed("closed without an answer"),
        Err(error) => return Answer::failed(error),
    };
    let (first, headers) = head;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let mut answer = Answer {
        status: status.unwrap_or(0),
        headers,
        body: Vec::new(),
        is_whole: false,
        error: String::new(),
    };
    let read = read_body(reader, &answer.headers, &mut answer.body);
    match read {
        Ok(()) => answer.is_whole = true,
        Err(error) => answer.error = error.to_string(),
    }
    answer
}

fn read_body(reader: &mut impl BufRead, headers: &Headers, body: &mut Vec<u8>) -> std::io::Result<()> {
    let is_chunked = header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(());
            }
        }
    }
    if let Some(length) = header(headers, "content-length") {
        let length: usize = length.parse().map_err(|_| ErrorKind::InvalidData)?;
        let mut left = length;
        let mut buffer = [0; 4096];
        while left > 0 {
            let most = left.min(buffer.len());
            let read = reader.read(&mut buffer[..most])?;
            if read == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&buffer[..read]);
            left -= read;
        }
        return Ok(());
    }
    reader.read_to_end(body).map(|_| ())
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, host: &str, request: &Request, limit: Duration) -> Answer {
    let connected = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let mut stream = match connected {
        Ok(stream) => stream,
        Err(error) => return Answer::failed(format!("not connected: {error}")),
    };
    let end = Instant::now() + limit;
    let _ = stream.set_nodelay(true);
    if let Err(error) = stream.write_all(&request.bytes(host)) {
        return Answer::failed(format!("not sent: {error}"));
    }
    let mut reader = BufReader::new(Limited { stream, end });
    read_answer(&mut reader)
}

/// A stream whose reads end at a time.
pub struct Limited {
    pub stream: TcpStream,
    pub end: Instant,
}

impl Read for Limited {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
