//! How results are printed.

use std::{
    io::{self, Write},
    str::FromStr,
};

use serde::Serialize;
use snafu::ResultExt;

use super::{CommandError, EncodeSnafu, WriteSnafu};

/// For people or for scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutputFormat {
    /// Text and tables.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<OutputFormat, String> {
        match text {
            "text" | "table" => Ok(OutputFormat::Text),
            "json" => Ok(OutputFormat::Json),
            other => Err(format!("unknown format \"{other}\"; use text or json")),
        }
    }
}

/// Prints text as a whole on standard output.
pub(crate) fn print_text(text: &str) -> Result<(), CommandError> {
    let mut output = io::stdout().lock();
    output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush())
        .context(WriteSnafu)
}

/// Prints one JSON object on standard output.
pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<(), CommandError> {
    let mut text = serde_json::to_string_pretty(value).context(EncodeSnafu)?;
    text.push('\n');
    print_text(&text)
}
