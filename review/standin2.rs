//! Stand-ins for the clients, servers and platform of the review's cases: `cases-2 NAME FOLDER`.
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

#[path = "standin2_drain.rs"]
mod drain;
#[path = "standin2_fleet.rs"]
mod fleet;
#[path = "standin2_http.rs"]
mod http;
#[path = "standin2_link.rs"]
mod link;
#[path = "standin2_narrow.rs"]
mod narrow;
#[path = "standin2_replaced.rs"]
mod replaced;
#[path = "standin2_resumed.rs"]
mod resumed;

use std::path::Path;

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases-2 NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = fleet::Record::new(&Path::new(folder).join("record.txt"));
    let verdict = match name.as_str() {
        "drain" => drain::run(record.clone(), trouble),
        "narrow" => narrow::run(record.clone(), trouble),
        "replaced" => replaced::run(record.clone(), trouble),
        "resumed" => resumed::run(record.clone(), trouble),
        _ => Verdict::NotRun(format!("no case {name}")),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
