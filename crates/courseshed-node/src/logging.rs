//! Log lines: one JSON object each on standard error, with the key-value pairs of the call.

use courseshed_settings::node::LogLevel;
use log::{
    LevelFilter,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};

/// Sets the logger of the process up; a second call changes nothing.
pub fn init(level: LogLevel) {
    let dispatch = fern::Dispatch::new()
        .level(level_filter(level))
        // The HTTP libraries speak of single connections.
        .level_for("actix_server", LevelFilter::Warn)
        .level_for("actix_http", LevelFilter::Warn)
        .level_for("awc", LevelFilter::Warn)
        .format(|out, message, record| {
            let mut line = Map::new();
            line.insert("at_ms".to_owned(), json!(now_ms()));
            line.insert("level".to_owned(), json!(record.level().as_str()));
            line.insert("module".to_owned(), json!(record.target()));
            line.insert("message".to_owned(), json!(message.to_string()));
            let _ = record.key_values().visit(&mut Pairs(&mut line));
            let line = serde_json::Value::Object(line);
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr());
    if dispatch.apply().is_err() {
        log::debug!("the logger is set up already");
    }
}

struct Pairs<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(truth)) => json!(truth),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

fn now_ms() -> u64 {
    crate::clock::Clock::new().now().as_millis()
}
