//! Loading of the node settings file, and the error when it cannot be used.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use super::check::check;
use super::read::read_node;
use super::{NodeSettings, Overrides};
use crate::problem::Problem;
use crate::reader::{Report, Section, parse_document};

/// Why a node settings file cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read at all.
    #[snafu(display(
        "{}: --settings: cannot be read: {source} (example: --settings node.toml)",
        path.display()
    ))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The fault of the file system.
        source: io::Error,
    },
    /// The file is read but holds faults; each prints as one line.
    #[snafu(display("{}", Lines(problems)))]
    Faulty {
        /// All faults, in the order of their lines; never empty.
        problems: Vec<Problem>,
    },
}

struct Lines<'p>(&'p [Problem]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{problem}")?;
        }
        Ok(())
    }
}

impl NodeSettings {
    /// Reads and checks the file at `path`, with `overrides` standing above its keys.
    ///
    /// # Errors
    /// [`SettingsError`], whose text is one line for each fault: file, key, reason, example.
    pub fn load(path: &Path, overrides: Overrides) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text, &path.display().to_string(), overrides)
    }

    /// Reads and checks the text of a file that is named `file` in errors.
    ///
    /// # Errors
    /// [`SettingsError::Faulty`] with all faults at once.
    pub fn parse(text: &str, file: &str, overrides: Overrides) -> Result<Self, SettingsError> {
        let report = Report::new(text);
        let settings = parse_document(text, file, &report)
            .and_then(|table| read_node(Section::new(&report, file, "", table), overrides));
        let problems = report.into_problems();
        match settings {
            Some(settings) if problems.is_empty() => {
                let problems = check(&settings, file);
                if problems.is_empty() {
                    return Ok(settings);
                }
                FaultySnafu { problems }.fail()
            }
            _ => FaultySnafu { problems }.fail(),
        }
    }
}
