//! What the log costs on this machine: flushed appends a second of one disk, commits a second of three replicas over
//! loopback with and without batching, processor time and bytes per commit.
//!
//! `log_bench [FOLDER] [SECONDS]`: the folder must lie on the disk to be measured. All figures come from one run, so
//! that their ratios hold whatever else the machine does.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use courseshed_consensus::{
    Configuration, DiskLog, Entry, EntryPayload, GroupId, GroupOutputs, LogIndex, LogStorage,
    Message, PeerConfig, ReplicaAddress, ReplicaId, ReplicatedGroup, RestoreError, StateMachine,
    Term, VolatileLog,
};

const REPLICAS: u64 = 3;
const COMMAND_BYTES: usize = 200;
const ENTRIES_PER_BATCH: usize = 64;
/// Proposals under way at once.
const WINDOW: u64 = 256;
const LONGEST_WAIT: Duration = Duration::from_millis(5);
/// Ticks a second in which the system counts processor time.
const CLOCK_TICKS: f64 = 100.0;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let folder = PathBuf::from(arguments.first().map_or(".", String::as_str));
    let seconds = arguments.get(1).and_then(|text| text.parse().ok());
    let time = Duration::from_secs(seconds.unwrap_or(3));
    let single = appends_per_second(&folder, 1, time);
    let batched = appends_per_second(&folder, ENTRIES_PER_BATCH, time);
    println!("one disk, {COMMAND_BYTES} bytes an entry:");
    println!("  one entry a flush: {single:.0} entries/s");
    println!(
        "  {ENTRIES_PER_BATCH} entries a flush: {batched:.0} entries/s, {:.1} times as many",
        batched / single
    );
    println!("three replicas over loopback, {WINDOW} proposals under way:");
    let plain = measure_disks(&folder, false, time);
    plain.print("disks, without batching");
    let batched = measure_disks(&folder, true, time);
    batched.print("disks, with batching");
    println!(
        "  batching commits {:.1} times as many",
        batched.rate() / plain.rate()
    );
    let plain = measure(|_| VolatileLog, false, time);
    plain.print("no disks, without batching");
    let batched = measure(|_| VolatileLog, true, time);
    batched.print("no disks, with batching");
    println!(
        "  batching commits {:.1} times as many",
        batched.rate() / plain.rate()
    );
}

/// Appends and flushes in a loop on one disk.
fn appends_per_second(folder: &Path, entries_per_flush: usize, time: Duration) -> f64 {
    let folder = tempfile::tempdir_in(folder).expect("the folder can be written");
    let mut disk = DiskLog::open(folder.path(), 1).expect("a new folder opens");
    disk.load().expect("a new folder loads");
    let started = Instant::now();
    let mut next = 1;
    while started.elapsed() < time {
        let entries: Vec<Entry> = (0..entries_per_flush as u64)
            .map(|place| entry(next + place))
            .collect();
        next += entries_per_flush as u64;
        disk.append(None, &entries).expect("the disk works");
    }
    (next - 1) as f64 / started.elapsed().as_secs_f64()
}

fn entry(index: u64) -> Entry {
    Entry {
        term: Term(1),
        index: LogIndex(index),
        payload: EntryPayload::Data(vec![0; COMMAND_BYTES].into()),
    }
}

/// Counts commands.
struct Counter;

impl StateMachine for Counter {
    type Output = ();

    fn apply(&mut self, _: LogIndex, _: &[u8]) {}

    fn snapshot(&self) -> Vec<u8> {
        vec![0]
    }

    fn restore(&mut self, _: &[u8]) -> Result<(), RestoreError> {
        Ok(())
    }
}

/// What a run came to.
struct Measured {
    commits: u64,
    bytes: u64,
    processor: Duration,
    time: Duration,
}

impl Measured {
    fn rate(&self) -> f64 {
        self.commits as f64 / self.time.as_secs_f64()
    }

    fn print(&self, name: &str) {
        let commits = self.commits.max(1);
        println!(
            "  {name}: {:.0} commits/s, {:.1} us of processor and {} bytes a commit over all three",
            self.rate(),
            self.processor.as_secs_f64() * 1e6 / commits as f64,
            self.bytes / commits
        );
    }
}

/// What the replicas' threads share.
#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    commits: AtomicU64,
    bytes: AtomicU64,
}

fn measure_disks(folder: &Path, batches: bool, time: Duration) -> Measured {
    let folder = tempfile::tempdir_in(folder).expect("the folder can be written");
    let open = |id: u64| DiskLog::open(folder.path().join(id.to_string()), 1).expect("it opens");
    measure(open, batches, time)
}

fn measure<S: LogStorage + Send + 'static>(
    storage: impl Fn(u64) -> S,
    batches: bool,
    time: Duration,
) -> Measured {
    let shared = Arc::new(Shared::default());
    let mut inboxes = Vec::new();
    let mut listeners = Vec::new();
    for _ in 1..=REPLICAS {
        inboxes.push(mpsc::channel());
        listeners.push(TcpListener::bind("127.0.0.1:0").expect("loopback works"));
    }
    let addresses: Vec<_> = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("bound"))
        .collect();
    for (listener, (sender, _)) in listeners.into_iter().zip(&inboxes) {
        let sender = sender.clone();
        thread::spawn(move || accept(&listener, &sender));
    }
    let mut threads = Vec::new();
    for (place, (_, inbox)) in inboxes.into_iter().enumerate() {
        let id = place as u64 + 1;
        let connect = |other: u64| {
            let link = TcpStream::connect(addresses[other as usize - 1]).expect("it listens");
            link.set_nodelay(true).expect("a TCP stream");
            (ReplicaId(other), link)
        };
        let others = (1..=REPLICAS).filter(|other| *other != id);
        let replica = Replica {
            group: open_group(id, storage(id), batches),
            links: others.map(connect).collect(),
            inbox,
            shared: shared.clone(),
            batches,
            started: Instant::now(),
            under_way: 0,
        };
        threads.push(thread::spawn(move || replica.run()));
    }
    while shared.commits.load(Ordering::Relaxed) == 0 {
        thread::sleep(LONGEST_WAIT);
    }
    let before = reading(&shared);
    let started = Instant::now();
    thread::sleep(time);
    let after = reading(&shared);
    let time = started.elapsed();
    shared.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("a replica ends well");
    }
    Measured {
        commits: after.0 - before.0,
        bytes: after.1 - before.1,
        processor: after.2 - before.2,
        time,
    }
}

fn reading(shared: &Shared) -> (u64, u64, Duration) {
    let commits = shared.commits.load(Ordering::Relaxed);
    (
        commits,
        shared.bytes.load(Ordering::Relaxed),
        processor_time(),
    )
}

/// Processor time of this process so far.
fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name
        .split_whitespace()
        .skip(1)
        .map(|text| text.parse().unwrap_or(0.0))
        .collect();
    // User and system time are fields 14 and 15 of the whole line, the state being field 3.
    let ticks = fields.get(10).unwrap_or(&0.0) + fields.get(11).unwrap_or(&0.0);
    Duration::from_secs_f64(ticks / CLOCK_TICKS)
}

fn open_group<S: LogStorage>(id: u64, storage: S, batches: bool) -> ReplicatedGroup<S, Counter> {
    let address = |id| ReplicaAddress::new(ReplicaId(id), 1);
    let members = Configuration::of_voters((1..=REPLICAS).map(address));
    let mut config = PeerConfig::new(GroupId(1), address(id), members);
    if !batches {
        config.max_batch_bytes = 1;
        config.max_inflight = WINDOW as usize;
    }
    ReplicatedGroup::new(config, storage, Counter, Duration::ZERO).expect("it opens")
}

fn accept(listener: &TcpListener, inbox: &Sender<Message>) {
    for link in listener.incoming().take(REPLICAS as usize - 1).flatten() {
        let inbox = inbox.clone();
        thread::spawn(move || read(link, &inbox));
    }
}

fn read(mut link: TcpStream, inbox: &Sender<Message>) {
    let mut size = [0; 4];
    while link.read_exact(&mut size).is_ok() {
        let mut bytes = vec![0; u32::from_be_bytes(size) as usize];
        let message = match link.read_exact(&mut bytes) {
            Ok(()) => rmp_serde::from_slice(&bytes).expect("a message"),
            Err(_) => return,
        };
        if inbox.send(message).is_err() {
            return;
        }
    }
}

/// One replica on its thread.
struct Replica<S: LogStorage> {
    group: ReplicatedGroup<S, Counter>,
    links: BTreeMap<ReplicaId, TcpStream>,
    inbox: Receiver<Message>,
    shared: Arc<Shared>,
    batches: bool,
    started: Instant,
    under_way: u64,
}

impl<S: LogStorage> Replica<S> {
    fn run(mut self) {
        while !self.shared.stop.load(Ordering::Relaxed) {
            self.take_messages();
            let now = self.started.elapsed();
            self.group.tick(now);
            self.propose(now);
            let outputs = self.group.take_outputs();
            self.note(&outputs);
            self.send(outputs.messages);
        }
    }

    fn take_messages(&mut self) {
        let may_propose = self.group.is_leader() && self.under_way < WINDOW;
        let wait = if may_propose {
            Duration::ZERO
        } else {
            LONGEST_WAIT
        };
        match self.inbox.recv_timeout(wait) {
            Ok(message) => self.group.handle(self.started.elapsed(), message),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        }
        while self.batches
            && let Ok(message) = self.inbox.try_recv()
        {
            self.group.handle(self.started.elapsed(), message);
        }
    }

    fn propose(&mut self, now: Duration) {
        while self.under_way < WINDOW {
            if self.group.propose(now, vec![0; COMMAND_BYTES]).is_err() {
                return;
            }
            self.under_way += 1;
            if !self.batches {
                return;
            }
        }
    }

    fn note(&mut self, outputs: &GroupOutputs<()>) {
        let applied = outputs.applied.len() as u64;
        if self.group.is_leader() {
            self.under_way = self.under_way.saturating_sub(applied);
            self.shared.commits.fetch_add(applied, Ordering::Relaxed);
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let bytes = rmp_serde::to_vec(&message).expect("a message can be encoded");
            let size = (bytes.len() as u32).to_be_bytes();
            let frame = [&size[..], &bytes].concat();
            self.shared
                .bytes
                .fetch_add(frame.len() as u64, Ordering::Relaxed);
            if let Some(link) = self.links.get_mut(&message.to) {
                // Whoever has ended already reads nothing more.
                let _ = link.write_all(&frame);
            }
        }
    }
}
