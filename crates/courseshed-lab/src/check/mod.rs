//! The proof of the protocols: models explored exhaustively.

mod models;
mod report;

pub use report::CheckReport;
