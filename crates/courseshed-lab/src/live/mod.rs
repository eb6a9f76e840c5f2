//! Callers over HTTP and the checks of what they sent and got.
//!
//! An open-loop driver ([`driver`]) starts programs of both users' shapes ([`shapes`]) against the gateways of a
//! running deployment, and writes down everything that callers sent and got ([`record`]). The checks
//! ([`checks`]) judge the promises from these records, from what the engines say they ran and from what nodes
//! answer about themselves. Nothing in here reads the state of courseshed from inside.
//!
//! Invariants:
//! - callers send a call again only where its verdict, or its idempotency key, makes that safe;
//! - the checks are pure: records in, violations out.

pub mod call;
pub mod checks;
pub mod client;
pub mod draw;
pub mod driver;
pub mod engines;
pub mod figures;
pub mod gateways;
pub mod nodes;
pub mod options;
pub mod plan;
pub mod program;
pub mod record;
pub mod report;
pub mod retry;
pub mod stream;
mod time;

pub use checks::{Evidence, Judgement, Promise, Violation};
pub use options::LoadOptions;
pub use report::LiveReport;
