//! Stand-ins and checks for the scripts in `review/`. Standard library only.
//!
//! `standin CASE FOLDER` starts a small deployment of the project's own program on loopback
//! addresses, plays clients, servers and the operator, and writes `record.txt` in FOLDER.
//! Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.

#[path = "standin_cases.rs"]
mod cases;
#[path = "standin_fleet.rs"]
mod fleet;
#[path = "standin_http.rs"]
mod http;
#[path = "standin_server.rs"]
mod server;
#[path = "standin_util.rs"]
mod util;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    util::start_watchdog(115);
    let outcome = std::panic::catch_unwind(|| cases::run(case, folder, trouble));
    util::kill_all();
    let status = match outcome {
        Ok(Ok(false)) => 0,
        Ok(Ok(true)) => 1,
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(status);
}
