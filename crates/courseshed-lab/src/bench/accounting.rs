//! Processor time of chosen threads, and memory of processes, as the kernel counts them.

use std::{collections::BTreeSet, time::Duration};

use procfs::{
    ProcError,
    process::{Process, Task},
};
use snafu::{ResultExt, Snafu};

/// Why processor time or memory can't be read.
#[derive(Debug, Snafu)]
pub enum AccountingError {
    /// The kernel does not tell of a process.
    #[snafu(display("cannot read /proc of process {pid}: {source}"))]
    Read {
        /// The process.
        pid: i32,
        /// Why.
        source: ProcError,
    },
}

/// Reads the processor time of one part of the measured system.
#[derive(Debug, Clone)]
pub enum CpuMeter {
    /// Threads of this process.
    Threads(BTreeSet<i32>),
    /// Whole processes.
    Processes(Vec<i32>),
}

impl CpuMeter {
    /// The threads of this process that live now and belong to no other meter.
    ///
    /// # Errors
    /// When the kernel does not tell.
    pub fn of_own_threads(others: &[&CpuMeter]) -> Result<CpuMeter, AccountingError> {
        let mut threads: BTreeSet<i32> = own_tasks()?.iter().map(|task| task.tid).collect();
        for other in others {
            if let CpuMeter::Threads(known) = other {
                threads.retain(|thread| !known.contains(thread));
            }
        }
        Ok(CpuMeter::Threads(threads))
    }

    /// Processes that run.
    ///
    /// # Errors
    /// When one of them does not run.
    pub fn of_processes(pids: &[i32]) -> Result<CpuMeter, AccountingError> {
        let meter = CpuMeter::Processes(pids.to_vec());
        meter.processor_time()?;
        Ok(meter)
    }

    /// Processor time taken so far.
    ///
    /// # Errors
    /// When a process has ended.
    pub fn processor_time(&self) -> Result<Duration, AccountingError> {
        let mut nanoseconds = 0;
        match self {
            CpuMeter::Threads(threads) => {
                let tasks = own_tasks()?;
                let chosen = tasks.iter().filter(|task| threads.contains(&task.tid));
                nanoseconds += chosen.map(run_time).sum::<u64>();
            }
            CpuMeter::Processes(pids) => {
                for pid in pids {
                    let tasks = tasks_of(*pid, Process::new(*pid))?;
                    nanoseconds += tasks.iter().map(run_time).sum::<u64>();
                }
            }
        }
        Ok(Duration::from_nanos(nanoseconds))
    }

    /// Resident memory in bytes; none for threads, which share theirs.
    ///
    /// # Errors
    /// When a process has ended.
    pub fn resident_bytes(&self) -> Result<Option<u64>, AccountingError> {
        let CpuMeter::Processes(pids) = self else {
            return Ok(None);
        };
        let mut bytes = 0;
        for pid in pids {
            let memory = Process::new(*pid).and_then(|process| process.statm());
            let pages = memory.context(ReadSnafu { pid: *pid })?.resident;
            bytes += pages * procfs::page_size();
        }
        Ok(Some(bytes))
    }
}

fn own_tasks() -> Result<Vec<Task>, AccountingError> {
    let pid = std::process::id() as i32;
    tasks_of(pid, Process::myself())
}

fn tasks_of(pid: i32, process: Result<Process, ProcError>) -> Result<Vec<Task>, AccountingError> {
    let tasks = process
        .and_then(|process| process.tasks())
        .context(ReadSnafu { pid })?;
    // A thread may end while the list is read.
    Ok(tasks.filter_map(Result::ok).collect())
}

/// Nanoseconds that a thread ran; a thread that has just ended counts nothing.
fn run_time(task: &Task) -> u64 {
    task.schedstat().map_or(0, |stat| stat.sum_exec_runtime)
}
