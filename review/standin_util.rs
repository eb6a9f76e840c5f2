//! Time, the record, random numbers, signals and the list of started processes.

use std::fs::File;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
#[allow(dead_code)]
pub const SIGSTOP: i32 = 19;
#[allow(dead_code)]
pub const SIGCONT: i32 = 18;

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static BEGIN: OnceLock<Instant> = OnceLock::new();

pub fn millis() -> u128 {
    BEGIN.get_or_init(Instant::now).elapsed().as_millis()
}

pub fn sleep_ms(time: u64) {
    thread::sleep(Duration::from_millis(time));
}

pub fn note_started(pid: u32) {
    STARTED.lock().unwrap().push(pid);
}

pub fn note_ended(pid: u32) {
    STARTED.lock().unwrap().retain(|known| *known != pid);
}

pub fn signal(pid: u32, number: i32) {
    // SAFETY: a plain system call without memory arguments.
    unsafe {
        kill(pid as i32, number);
    }
}

/// Ends this process, a child, when the one that started it ends.
pub fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: a plain system call without memory arguments.
    unsafe {
        prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
    }
    Ok(())
}

pub fn kill_all() {
    let pids = match STARTED.lock() {
        Ok(pids) => pids.clone(),
        Err(poisoned) => poisoned.into_inner().clone(),
    };
    for pid in pids {
        signal(pid, SIGKILL);
    }
}

pub fn start_watchdog(seconds: u64) {
    millis();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        eprintln!("the case took more than {seconds} s");
        kill_all();
        std::process::exit(2);
    });
}

pub fn random() -> u64 {
    let mut bytes = [0; 8];
    File::open("/dev/urandom")
        .and_then(|mut file| file.read_exact(&mut bytes))
        .expect("/dev/urandom can be read");
    u64::from_le_bytes(bytes)
}

/// What was sent, answered and run, one line each, with milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(folder: &str) -> Result<Self, String> {
        let path = format!("{folder}/record.txt");
        let file = File::create(&path).map_err(|error| format!("{path}: {error}"))?;
        Ok(Self(Arc::new(Mutex::new(file))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", millis(), text.as_ref());
    }
}
