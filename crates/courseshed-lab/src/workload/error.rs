//! What may be wrong with a workload.

use std::path::PathBuf;

use snafu::Snafu;

/// A workload that can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WorkloadError {
    /// The file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text is no workload.
    #[snafu(display("{origin}: {source}"))]
    Parse {
        /// Where the text comes from.
        origin: String,
        /// What is wrong, with its line.
        source: Box<toml::de::Error>,
    },
    /// The values make no sense together; all problems are named, one a line.
    #[snafu(display("{origin}: {}", problems.join(&format!("\n{origin}: "))))]
    Invalid {
        /// Where the text comes from.
        origin: String,
        /// Each with its kind and key.
        problems: Vec<String>,
    },
}
