//! Stores are stopped and started in turn while conversations go on. Afterwards all machines run,
//! and turns that were answered whole are named as previous turns.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOST, SLM_DISPATCH};
use crate::http::{header, send, Answer, Request};
use crate::server::{Ran, Kind, Server};
use crate::util::{sleep_ms, Record, SIGTERM};

const CONVERSATIONS: usize = 24;
/// Turns of a program; the page's mean is 11.
const TURNS: usize = 14;
/// How long a store that was stopped is away: `gap_s` of the site's `roll_term`.
const AWAY_MS: u64 = 1300;
/// `catch_up_s` of the deployment, and a little.
const CATCH_UP_MS: u64 = 4500;
/// `contact_ms`, and a little.
const CONTACT_MS: u64 = 3500;
/// What a turn takes: eleven events with 100 ms between them, and its way.
const TURN_MS: u64 = 1150;
const TRIES: usize = 6;

struct Conversation {
    number: usize,
    began: Instant,
    /// The program's aim: 2.9 times what it takes on idle servers, as the page says.
    aim: Duration,
    /// The last turn that was answered whole, and when.
    last: Option<(String, Instant)>,
    turns: usize,
}

struct World {
    gateways: Vec<SocketAddr>,
    record: Record,
    is_over: AtomicBool,
    tries: AtomicUsize,
}

impl World {
    /// One try of a turn.
    fn try_turn(&self, number: usize, turn: &str, previous: Option<&str>, aim_at: Instant) -> (String, Answer) {
        let id = format!("{turn}-{:x}", self.tries.fetch_add(1, Ordering::Relaxed));
        let left = aim_at.saturating_duration_since(Instant::now()).as_millis();
        let mut headers = vec![
            ("Courseshed-Request-Id", id.clone()),
            ("Courseshed-Program-Id", format!("program{number}")),
            ("Courseshed-Session-Id", format!("session{number}")),
            ("Courseshed-Program-Deadline", left.to_string()),
            ("Courseshed-Token-Budget", "100000".to_owned()),
            ("Courseshed-Token-Usage", "600,60".to_owned()),
            ("Courseshed-Model", "m".to_owned()),
            ("Courseshed-Time-Remaining", "5000".to_owned()),
        ];
        if let Some(previous) = previous {
            headers.push(("Courseshed-Previous-Turn", previous.to_owned()));
        }
        let request = Request {
            method: "POST",
            path: "/chat/1",
            headers,
            body: format!("[input of {turn}]").into_bytes(),
        };
        let tried = self.tries.load(Ordering::Relaxed);
        let gateway = self.gateways[(number + tried) % self.gateways.len()];
        self.record.line(format!("client sends {id} to {gateway}, previous={previous:?}"));
        let answer = send(gateway, HOST, &request, Duration::from_millis(5500));
        self.record.line(format!("client got for {id}: {}", answer.describe()));
        (id, answer)
    }

    /// A turn as the pages say: one retry after a promise, and the turn anew at most twice.
    fn turn(&self, conversation: &mut Conversation) -> bool {
        let turn = format!("c{}t{}", conversation.number, conversation.turns);
        let previous = conversation.last.as_ref().map(|(id, _)| id.clone());
        for _ in 0..3 {
            for _ in 0..2 {
                if self.is_over.load(Ordering::Relaxed) {
                    return false;
                }
                let aim_at = conversation.began + conversation.aim;
                let (id, answer) =
                    self.try_turn(conversation.number, &turn, previous.as_deref(), aim_at);
                if answer.is_success() {
                    conversation.last = Some((id, Instant::now()));
                    conversation.turns += 1;
                    return true;
                }
                if answer.status != 503 {
                    break;
                }
                let after = header(&answer.headers, "Retry-After").and_then(|text| text.parse::<f64>().ok());
                sleep_ms((after.unwrap_or(0.1) * 1000.0).min(1600.0) as u64);
            }
            sleep_ms(200);
        }
        false
    }

    fn converse(&self, conversation: &mut Conversation) {
        let pause = pause_ms(conversation.number);
        while conversation.turns < TURNS - 1 && !self.is_over.load(Ordering::Relaxed) {
            if !self.turn(conversation) {
                return;
            }
            sleep_ms(pause);
        }
    }
}

/// People and tools pause (`think_ms` of the site, 600 at most); each conversation has its own pace.
fn pause_ms(number: usize) -> u64 {
    300 + 25 * (number as u64 % 12)
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let ran = Ran::default();
    let mut fleet = Fleet::start(&SLM_DISPATCH, record)?;
    let controllers = fleet.controllers();
    let kind = Kind::Stream { events: 11, gap_ms: 100, has_long_ids: false };
    for number in 0..6 {
        let (zone, ip) = (fleet.zone(number), fleet.server_ip(number));
        let server = Server::start(format!("i-{number}"), "agent", zone, &ip, kind, record, &ran)?;
        server.announce(controllers.clone());
    }
    fleet.configure(
        r#"{"version":1,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":5000,"target_latency_ms":200,"priority":0,"service":"agent","max_attempts":2,"retention_enabled":true,"retention_s":60.0,"session_affinity":true,"resumable":false,"target_gap_ms":400}],"services":[{"name":"agent","health_check_path":"/health","connection_limit":370,"protocol":"h1","transport_security":false,"engine":{"slots":64,"kv_cache_tokens":211374,"kv_token_bytes":18432.0,"link_mbps":370000.0,"backups":true,"stride":3,"most":12,"pin_duration_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    )?;
    fleet.wait_ready()?;
    sleep_ms(CONTACT_MS);
    let world = Arc::new(World {
        gateways: fleet.gateways(),
        record: record.clone(),
        is_over: AtomicBool::new(false),
        tries: AtomicUsize::new(0),
    });
    let conversations: Vec<Arc<Mutex<Conversation>>> = (0..CONVERSATIONS)
        .map(|number| {
            Arc::new(Mutex::new(Conversation {
                number,
                began: Instant::now(),
                aim: Duration::from_millis((TURN_MS + pause_ms(number)) * TURNS as u64 * 29 / 10),
                last: None,
                turns: 0,
            }))
        })
        .collect();
    let threads: Vec<_> = conversations
        .iter()
        .map(|conversation| {
            let (world, conversation) = (world.clone(), conversation.clone());
            thread::spawn(move || world.converse(&mut conversation.lock().unwrap()))
        })
        .collect();
    sleep_ms(2000);
    let mut last_start = Instant::now();
    for (position, store) in fleet.of_role("store").into_iter().enumerate() {
        if position > 0 {
            sleep_ms(CATCH_UP_MS);
        }
        if trouble {
            fleet.signal(store, SIGTERM);
            fleet.wait_end(store, Duration::from_secs(8));
        }
        sleep_ms(AWAY_MS);
        if trouble {
            fleet.start_node(store, false)?;
        }
        last_start = Instant::now();
    }
    record.line("all stores have been stopped and started; the conversations pause");
    world.is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| "a client failed")?;
    }
    let calm_at = last_start + Duration::from_millis(CONTACT_MS);
    thread::sleep(calm_at.saturating_duration_since(Instant::now()));
    record.line("from here on nothing is disrupted");
    judge(&world, &conversations, &ran, record)
}

/// Goes on with each conversation in tries that are spread over all gateways, beside first turns of
/// new programs.
fn judge(
    world: &Arc<World>,
    conversations: &[Arc<Mutex<Conversation>>],
    ran: &Ran,
    record: &Record,
) -> Result<bool, String> {
    let first_turns: Vec<_> = (0..20)
        .map(|number| {
            let world = world.clone();
            thread::spawn(move || {
                sleep_ms(250 * number as u64);
                let aim_at = Instant::now() + Duration::from_secs(40);
                world.try_turn(1000 + number, &format!("n{number}"), None, aim_at).0
            })
        })
        .collect();
    let trials: Vec<_> = conversations
        .iter()
        .map(|conversation| {
            let (world, conversation, ran) = (world.clone(), conversation.clone(), ran.clone());
            thread::spawn(move || {
                let conversation = conversation.lock().unwrap();
                let (previous, answered) = conversation.last.clone()?;
                let turn = format!("c{}t{}", conversation.number, conversation.turns);
                let mut failed = 0;
                for _ in 0..TRIES {
                    let aim_at = conversation.began + conversation.aim;
                    let (id, _) =
                        world.try_turn(conversation.number, &turn, Some(&previous), aim_at);
                    if ran.lock().unwrap().contains_key(&id) {
                        break;
                    }
                    let is_in_time = answered.elapsed() < Duration::from_secs(60)
                        && Instant::now() < aim_at;
                    failed += usize::from(is_in_time);
                    sleep_ms(300);
                }
                Some((conversation.number, previous, conversation.turns, failed))
            })
        })
        .collect();
    let mut lost = 0;
    let mut judged = 0;
    for trial in trials {
        let Some((number, previous, turns, failed)) = trial.join().map_err(|_| "a client failed")? else {
            continue;
        };
        judged += 1;
        if failed >= 5 {
            lost += 1;
            record.line(format!(
                "LOST: conversation {number} of {turns} turns: {failed} tries that name {previous} reached no server"
            ));
        }
    }
    let mut reached = 0;
    for first_turn in first_turns {
        let id = first_turn.join().map_err(|_| "a client failed")?;
        reached += usize::from(ran.lock().unwrap().contains_key(&id));
    }
    record.line(format!(
        "{lost} of {judged} conversations lost; {reached} of 20 first turns reached a server"
    ));
    println!("{lost} of {judged} conversations lost; {reached} of 20 first turns reached a server");
    if judged < CONVERSATIONS / 2 {
        return Err("too few conversations were under way".to_owned());
    }
    Ok(lost > 0 && reached >= 18)
}
