//! The cases. Each returns whether its rule was broken.

#[path = "standin_case_chain.rs"]
mod chain;
#[path = "standin_case_extra_bytes.rs"]
mod extra_bytes;
#[path = "standin_case_long_ids.rs"]
mod long_ids;
#[path = "standin_case_resumed_turn.rs"]
mod resumed_turn;
#[path = "standin_case_slow_reader.rs"]
mod slow_reader;

use crate::util::Record;

pub fn run(case: &str, folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    record.line(format!("case {case}, trouble={trouble}"));
    let broken = match case {
        "chain" => chain::run(&record, trouble)?,
        "extra-bytes" => extra_bytes::run(&record, trouble)?,
        "long-ids" => long_ids::run(&record, trouble)?,
        "resumed-turn" => resumed_turn::run(&record, trouble)?,
        "slow-reader" => slow_reader::run(&record, trouble)?,
        _ => return Err(format!("no case {case}")),
    };
    let verdict = if broken { "the rule was broken" } else { "the rule held" };
    record.line(verdict);
    println!("{verdict}");
    Ok(broken)
}
