//! Answers as tables for people, or as JSON for scripts.

use std::fmt::Display;
use std::io::Write;
use std::str::FromStr;

use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;
use snafu::ResultExt;

use crate::error::{CliError, OutputSnafu};

/// How answers are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Tables for people.
    Table,
    /// One JSON value, with the field names of the operators' interface.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            _ => Err(format!("`{text}` is neither table nor json")),
        }
    }
}

/// An answer that people can read.
pub(crate) trait Readable {
    /// The answer as text, without a line break at its end.
    fn readable(&self) -> String;
}

/// Prints answers in the format asked for.
pub(crate) struct Printer<'w> {
    format: Format,
    out: &'w mut dyn Write,
}

impl<'w> Printer<'w> {
    /// A printer onto `out`.
    pub(crate) fn new(format: Format, out: &'w mut dyn Write) -> Self {
        Self { format, out }
    }

    /// Prints an answer.
    pub(crate) fn print(&mut self, answer: &(impl Serialize + Readable)) -> Result<(), CliError> {
        let text = match self.format {
            Format::Table => answer.readable(),
            Format::Json => serde_json::to_string_pretty(answer).unwrap_or_default(),
        };
        self.line(&text)
    }

    /// Prints a text as it is in tables, or within `answer` in JSON.
    pub(crate) fn print_text(
        &mut self,
        text: &str,
        answer: &impl Serialize,
    ) -> Result<(), CliError> {
        match self.format {
            Format::Table => self.out.write_all(text.as_bytes()).context(OutputSnafu),
            Format::Json => {
                let text = serde_json::to_string_pretty(answer).unwrap_or_default();
                self.line(&text)
            }
        }
    }

    fn line(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.out, "{text}").context(OutputSnafu)
    }
}

/// A table with one row for each entry.
pub(crate) fn table<const N: usize>(
    header: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(header.map(str::to_uppercase));
    for row in rows {
        table.add_row(row);
    }
    trimmed(&table)
}

/// A table with one row for each field of a single thing.
pub(crate) fn fields<const N: usize>(rows: [(&str, String); N]) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    for (name, value) in rows {
        table.add_row([name.to_owned(), value]);
    }
    trimmed(&table)
}

/// A value, or a dash if there is none.
pub(crate) fn or_dash<T: Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// The names of things, separated by commas.
pub(crate) fn joined<T: Display>(values: &[T]) -> String {
    if values.is_empty() {
        return "-".to_owned();
    }
    values
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(",")
}

/// The name that a variant has in JSON.
pub(crate) fn variant_name(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        Ok(serde_json::Value::Object(fields)) => {
            let parts = fields.iter().map(|(name, inner)| match inner {
                serde_json::Value::String(inner) => format!("{name} ({inner})"),
                _ => name.clone(),
            });
            parts.collect::<Vec<_>>().join(",")
        }
        _ => "-".to_owned(),
    }
}

/// Milliseconds as a duration for people.
pub(crate) fn millis(millis: u64) -> String {
    humantime::format_duration(std::time::Duration::from_millis(millis)).to_string()
}

/// Milliseconds since the Unix epoch as a date in UTC.
pub(crate) fn date(millis: u64) -> String {
    let since_epoch = std::time::Duration::from_millis(millis);
    let date = std::time::UNIX_EPOCH.checked_add(since_epoch);
    or_dash(date.map(humantime::format_rfc3339_millis))
}

/// A part of a whole (0 to 1) as a percentage.
pub(crate) fn percent(part: f64) -> String {
    format!("{:.1}%", part * 100.0)
}

fn trimmed(table: &Table) -> String {
    let lines = table.lines().map(|line| line.trim().to_owned());
    lines.collect::<Vec<_>>().join("\n")
}
