//! The link of one machine: connections through it share its bandwidth, each way.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of one transmission; connections take turns.
const CHUNK: usize = 8 * 1024;

/// One direction: when the next transmission may begin.
#[derive(Clone)]
struct Lane {
    bytes_per_s: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl Lane {
    fn transmit(&self, bytes: usize) {
        let end = {
            let mut free_at = self.free_at.lock().unwrap();
            let begin = (*free_at).max(Instant::now());
            *free_at = begin + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at
        };
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
}

#[derive(Clone)]
pub struct Link {
    up: Lane,
    down: Lane,
}

impl Link {
    pub fn new(mbps: f64) -> Link {
        let lane = || Lane {
            bytes_per_s: mbps * 1e6 / 8.0,
            free_at: Arc::new(Mutex::new(Instant::now())),
        };
        Link {
            up: lane(),
            down: lane(),
        }
    }

    /// Carries connections to `listen` over the link to `target`.
    pub fn carry(&self, listen: SocketAddr, target: SocketAddr) {
        let listener = TcpListener::bind(listen).expect("bind a link");
        let link = self.clone();
        thread::spawn(move || {
            for near in listener.incoming() {
                let Ok(near) = near else { continue };
                let link = link.clone();
                thread::spawn(move || {
                    let Ok(far) = TcpStream::connect(target) else {
                        return;
                    };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone())
                    else {
                        return;
                    };
                    thread::spawn(move || pump(near_reader, far, &link.up));
                    pump(far_reader, near, &link.down);
                });
            }
        });
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, lane: &Lane) {
    let mut chunk = [0; CHUNK];
    while let Ok(read) = from.read(&mut chunk) {
        if read == 0 {
            break;
        }
        lane.transmit(read);
        if to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
