//! Names of zones, regions, engines, models and kinds of programs.
//!
//! They end up in file names, metric labels and command lines, so that they
//! hold neither spaces nor quotes.

use courseshed_types::ModelName;
use toml::de::DeValue;

use crate::reader::string;

/// Longest name in bytes.
const MOST_BYTES: usize = 64;

/// Checks a name of letters, digits, `-`, `_` and `.`.
pub(crate) fn checked(text: &str) -> Result<(), String> {
    checked_with(text, "")
}

/// Reads the name of a zone, region or engine.
pub(crate) fn place(value: &DeValue<'_>) -> Result<String, String> {
    let text = string(value)?;
    checked(&text)?;
    Ok(text)
}

/// Reads the name of a model, which may hold `/` and `:` besides.
pub(crate) fn model(value: &DeValue<'_>) -> Result<ModelName, String> {
    let text = string(value)?;
    checked_with(&text, "/:")?;
    Ok(ModelName::from(text))
}

fn checked_with(text: &str, besides: &str) -> Result<(), String> {
    if text.is_empty() || text.len() > MOST_BYTES {
        return Err(format!("a name takes 1 to {MOST_BYTES} bytes"));
    }
    let allowed = |character: char| {
        character.is_ascii_alphanumeric()
            || "-_.".contains(character)
            || besides.contains(character)
    };
    match text.chars().find(|character| !allowed(*character)) {
        Some(character) => Err(format!(
            "`{text}` holds `{character}`, which a name may not"
        )),
        None => Ok(()),
    }
}
