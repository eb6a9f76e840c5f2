//! Log lines: one JSON object each on standard output, bounded in number, and never waited for.
//!
//! Lines go through a bounded queue to a thread that writes them. What doesn't fit, and what exceeds
//! the rate, is left out and counted; the count is written as soon as there is room again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use log::LevelFilter;
use log::kv::{Error, Key, Value, VisitSource, VisitValue};
use parking_lot::Mutex;
use serde_json::{Map, json};

use crate::clock::time_of_day_ms;

/// Lines that may wait to be written.
const QUEUE: usize = 4096;
/// Lines a second that are let through in the long run.
const LINES_PER_SECOND: f64 = 400.0;
/// Lines that may come at once.
const BURST: f64 = 2000.0;

static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Lines that were left out since the start.
#[must_use]
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Sets the logger of the process up; `node` and `role` stand in every line.
pub fn init(node: String, role: &'static str) {
    let (sender, lines) = sync_channel(QUEUE);
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines));
    if spawned.is_err() {
        return;
    }
    let budget = Mutex::new(LineBudget::new());
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Info)
        .level_for("actix_http", LevelFilter::Off)
        .chain(fern::Output::call(move |record| {
            let is_urgent = record.level() <= log::Level::Warn;
            if !is_urgent && !budget.lock().take() {
                LEFT_OUT.fetch_add(1, Ordering::Relaxed);
                return;
            }
            send(&sender, format_line(record, &node, role));
        }));
    let _ = dispatch.apply();
}

fn send(sender: &SyncSender<String>, line: String) {
    if sender.try_send(line).is_err() {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
    }
}

fn format_line(record: &log::Record<'_>, node: &str, role: &str) -> String {
    let mut line = Map::new();
    line.insert("at_ms".to_owned(), json!(time_of_day_ms()));
    line.insert("level".to_owned(), json!(record.level().as_str()));
    line.insert("node".to_owned(), json!(node));
    line.insert("role".to_owned(), json!(role));
    line.insert("message".to_owned(), json!(record.args().to_string()));
    let _ = record.key_values().visit(&mut Pairs(&mut line));
    serde_json::Value::Object(line).to_string()
}

fn write_lines(lines: &Receiver<String>) {
    let mut told = 0;
    while let Ok(first) = lines.recv() {
        let mut text = first;
        text.push('\n');
        for line in lines.try_iter().take(QUEUE) {
            text.push_str(&line);
            text.push('\n');
        }
        let left_out = left_out();
        if left_out > told {
            let line = json!({"at_ms": time_of_day_ms(), "level": "WARN", "event": "lines_left_out", "count": left_out - told});
            text.push_str(&format!("{line}\n"));
            told = left_out;
        }
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
    }
}

struct Pairs<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut json = ToJson(serde_json::Value::Null);
        value.visit(&mut json)?;
        self.0.insert(key.as_str().to_owned(), json.0);
        Ok(())
    }
}

/// A value as JSON: numbers and truths as such, nothing as null, all else as text.
struct ToJson(serde_json::Value);

impl VisitValue<'_> for ToJson {
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

/// Lines that may still be written: refilled steadily, up to a burst.
struct LineBudget {
    lines: f64,
    refilled: Instant,
}

impl LineBudget {
    fn new() -> Self {
        Self {
            lines: BURST,
            refilled: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let passed: Duration = now - self.refilled;
        self.refilled = now;
        self.lines = (self.lines + passed.as_secs_f64() * LINES_PER_SECOND).min(BURST);
        if self.lines < 1.0 {
            return false;
        }
        self.lines -= 1.0;
        true
    }
}
