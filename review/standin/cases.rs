//! The cases. Each returns whether its rule was broken.

mod chain;
mod extra_bytes;
mod long_ids;
mod resumed_turn;
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
