//! Entry point of `courseshed`, the operators' client.

use std::io::{stderr, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let exit = actix_rt::System::new().block_on(courseshed_cli::run(
        &arguments,
        &mut stdout().lock(),
        &mut stderr().lock(),
    ));
    ExitCode::from(exit.code())
}
