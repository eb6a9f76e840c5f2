//! Structured logging: one JSON object per line on standard output, without blocking the caller.
//!
//! Lines go through a bounded queue to a writer thread. Lines that exceed the queue or the rate limit
//! are dropped and counted; the writer reports the count with the next batch. A process flushes the
//! queue before it exits, since the writer ends with the process.

use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use log::LevelFilter;
use log::kv::{Error, Key, Value, VisitSource, VisitValue};
use parking_lot::Mutex;
use serde_json::{Map, json};

use crate::clock::unix_time_ms;

/// Capacity of the queue of lines to write.
const QUEUE_CAPACITY: usize = 4096;
/// Sustained rate limit for lines below `WARN`.
const LINES_PER_SECOND: f64 = 400.0;
/// Burst size of the rate limit.
const BURST_LINES: f64 = 2000.0;
/// Maximum time that an exiting process waits for its log. Shorter than the margin that a stopping
/// gateway leaves before the end of its grace period.
const EXIT_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the attempts to add to a full queue.
const FULL_QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(2);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static QUEUE: OnceLock<SyncSender<Entry>> = OnceLock::new();

/// An entry of the queue to the writer thread.
enum Entry {
    Line(String),
    /// Acknowledged once all entries before it are written.
    Flush(SyncSender<()>),
}

/// Number of lines dropped since the process started.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Installs the global logger; every line contains `node` and `role`.
pub fn init(node: String, role: &'static str) {
    let (sender, lines) = sync_channel(QUEUE_CAPACITY);
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines));
    if spawned.is_err() {
        return;
    }
    let _ = QUEUE.set(sender.clone());
    let limiter = Mutex::new(TokenBucket::new());
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Info)
        .level_for("actix_http", LevelFilter::Off)
        .chain(fern::Output::call(move |record| {
            let is_urgent = record.level() <= log::Level::Warn;
            if !is_urgent && !limiter.lock().try_take() {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                return;
            }
            send(&sender, format_line(record, &node, role));
        }));
    let _ = dispatch.apply();
}

/// Logs how a process ended as its last line, and waits until the log is written.
pub fn log_exit(result: &Result<(), String>) {
    match result {
        Ok(()) => log::info!(event = "stop"; "exiting"),
        Err(error) => log::error!(event = "failed"; "{error}"),
    }
    if !flush(EXIT_FLUSH_TIMEOUT) {
        eprintln!(
            "the log could not be written within {EXIT_FLUSH_TIMEOUT:?}; its last lines are lost"
        );
    }
}

/// Waits until all lines logged so far are written. Returns whether they were within the timeout.
#[must_use]
pub fn flush(timeout: Duration) -> bool {
    let Some(queue) = QUEUE.get() else {
        return true;
    };
    let deadline = Instant::now() + timeout;
    let (written, acknowledged) = sync_channel(1);
    let mut entry = Entry::Flush(written);
    while let Err(refused) = queue.try_send(entry) {
        let TrySendError::Full(returned) = refused else {
            return false;
        };
        if Instant::now() >= deadline {
            return false;
        }
        entry = returned;
        thread::sleep(FULL_QUEUE_POLL_INTERVAL);
    }
    let left = deadline.saturating_duration_since(Instant::now());
    acknowledged.recv_timeout(left).is_ok()
}

fn send(sender: &SyncSender<Entry>, line: String) {
    if sender.try_send(Entry::Line(line)).is_err() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

fn format_line(record: &log::Record<'_>, node: &str, role: &str) -> String {
    let mut line = Map::new();
    line.insert("at_ms".to_owned(), json!(unix_time_ms()));
    line.insert("level".to_owned(), json!(record.level().as_str()));
    line.insert("node".to_owned(), json!(node));
    line.insert("role".to_owned(), json!(role));
    line.insert("message".to_owned(), json!(record.args().to_string()));
    let _ = record.key_values().visit(&mut KeyValueVisitor(&mut line));
    serde_json::Value::Object(line).to_string()
}

fn write_lines(entries: &Receiver<Entry>) {
    let mut reported = 0;
    while let Ok(first) = entries.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        let batch = std::iter::once(first).chain(entries.try_iter().take(QUEUE_CAPACITY));
        for entry in batch {
            match entry {
                Entry::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Entry::Flush(written) => flushes.push(written),
            }
        }
        let dropped_lines = dropped_lines();
        if dropped_lines > reported {
            let line = json!({"at_ms": unix_time_ms(), "level": "WARN", "event": "lines_left_out", "count": dropped_lines - reported});
            text.insert_str(0, &format!("{line}\n"));
            reported = dropped_lines;
        }
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
        for written in flushes {
            let _ = written.send(());
        }
    }
}

struct KeyValueVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for KeyValueVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut json = JsonVisitor(serde_json::Value::Null);
        value.visit(&mut json)?;
        self.0.insert(key.as_str().to_owned(), json.0);
        Ok(())
    }
}

/// Converts a value to JSON: integers, booleans and null natively, anything else as a string.
struct JsonVisitor(serde_json::Value);

impl VisitValue<'_> for JsonVisitor {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        self.0 = json!(value.to_string());
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), Error> {
        self.0 = serde_json::Value::Null;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.0 = json!(value);
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.0 = json!(value);
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.0 = json!(value);
        Ok(())
    }
}

/// A token bucket; one token per line.
struct TokenBucket {
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    fn new() -> Self {
        Self {
            tokens: BURST_LINES,
            refilled: Instant::now(),
        }
    }

    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let elapsed: Duration = now - self.refilled;
        self.refilled = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * LINES_PER_SECOND).min(BURST_LINES);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
