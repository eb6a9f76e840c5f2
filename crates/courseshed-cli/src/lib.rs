//! The operators' command-line client, `courseshed`.
//!
//! It speaks the operators' HTTP interface ([`courseshed_types::admin`]), reads
//! log files of the daemons, and keeps no state. Invariant: the exit code says what is known of the request;
//! a change whose answer was lost is never reported as refused.

mod arguments;
mod client;
mod commands;
mod error;
mod output;
mod retry;
mod timeline;

use std::io::Write;

use arguments::{Arguments, Parsed};
use output::Printer;

pub use error::Exit;

/// Runs the client with `arguments` (without the program's name).
pub async fn run(arguments: &[String], out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let arguments = match Arguments::parse(arguments) {
        Parsed::Run(arguments) => arguments,
        Parsed::Help(text) => {
            return written(write!(out, "{text}"), Exit::Done);
        }
        Parsed::Usage(text) => {
            return written(writeln!(err, "{}", text.trim_end()), Exit::Usage);
        }
    };
    let mut printer = Printer::new(arguments.output, out);
    let outcome = commands::run(arguments, &mut printer).await;
    match outcome {
        Ok(exit) => exit,
        Err(error) => written(writeln!(err, "courseshed: {error}"), error.exit()),
    }
}

/// `exit`, unless the text could not be written.
fn written(result: std::io::Result<()>, exit: Exit) -> Exit {
    match result {
        Ok(()) => exit,
        Err(_) => Exit::Failed,
    }
}
