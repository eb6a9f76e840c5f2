//! Watches emulated engines over their own HTTP interface: what ran, what is leased, who is leaving.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use courseshed_emulator::engine::RanReport;
use courseshed_engine::protocol::LeaseList;
use courseshed_types::{ProgramId, Timestamp, dispatch::EngineLoad};
use serde::de::DeserializeOwned;

use super::{
    gateways::{MAX_DOCUMENT_BYTES, http_client},
    record::ProgramRecord,
    time::now,
};

/// Time between two looks at an engine.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// How long an engine may take to answer a look.
const LOOK_PATIENCE: Duration = Duration::from_secs(3);
/// How often the account of what ran is asked for at the end.
const FINAL_TRIES: u32 = 20;

/// What one engine showed.
#[derive(Debug, Clone, Default)]
pub struct EngineEvidence {
    /// Its URL.
    pub url: String,
    /// What it says it ran; none if it could not be asked at the end.
    pub ran: Option<RanReport>,
    /// When it was leaving.
    pub leaving: Vec<LeavingSpan>,
}

/// A time over which an engine was seen to be leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingSpan {
    /// When it was seen first.
    pub from: Timestamp,
    /// When it was seen last.
    pub until: Timestamp,
}

/// The last time an engine listed a program's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSighting {
    /// The engine, by its place in the list.
    pub engine: usize,
    /// The program.
    pub program: ProgramId,
    /// When it was listed last.
    pub last_seen: Timestamp,
}

#[derive(Default)]
struct Seen {
    leaving: BTreeMap<usize, Vec<LeavingSpan>>,
    leases: BTreeMap<(usize, ProgramId), Timestamp>,
    /// The leases each engine listed last, and when.
    listed: BTreeMap<usize, (Timestamp, Vec<ProgramId>)>,
}

/// Looks at engines while callers run.
pub struct EngineObserver {
    urls: Vec<String>,
    http: awc::Client,
    seen: Rc<RefCell<Seen>>,
    looks: Vec<JoinHandle<()>>,
}

impl EngineObserver {
    /// Starts looking.
    pub fn start(urls: &[String]) -> EngineObserver {
        let http = http_client();
        let seen = Rc::<RefCell<Seen>>::default();
        let looks = urls.iter().enumerate().map(|(engine, url)| {
            let look = look_on(engine, url.clone(), http.clone(), seen.clone());
            actix_rt::spawn(look)
        });
        EngineObserver {
            urls: urls.to_vec(),
            http: http.clone(),
            looks: looks.collect(),
            seen: seen.clone(),
        }
    }

    /// Waits until no ended program holds memory, or the grace of the last one has passed.
    pub async fn settle(&self, programs: &[ProgramRecord], grace: Duration) {
        let ended: Vec<(ProgramId, Timestamp)> = programs.iter().filter_map(ended).collect();
        let Some(last_end) = ended.iter().map(|(_, at)| *at).max() else {
            return;
        };
        // One more look after the grace, so that a lease held too long is seen.
        let deadline = last_end + grace + LOOK_INTERVAL * 4;
        while !self.urls.is_empty() && now() < deadline {
            sleep(LOOK_INTERVAL).await;
            let seen = self.seen.borrow();
            let is_released = |engine: &usize| {
                seen.listed.get(engine).is_some_and(|(at, programs)| {
                    let held = |(program, _): &(ProgramId, Timestamp)| programs.contains(program);
                    *at > last_end && !ended.iter().any(held)
                })
            };
            if (0..self.urls.len()).all(|engine| is_released(&engine)) {
                return;
            }
        }
    }

    /// Ends the looking and asks every engine what ran.
    pub async fn finish(self) -> (Vec<EngineEvidence>, Vec<LeaseSighting>) {
        self.looks.iter().for_each(JoinHandle::abort);
        let mut engines = Vec::new();
        for (engine, url) in self.urls.iter().enumerate() {
            let ran = ask_what_ran(&self.http, url).await;
            let leaving = self.seen.borrow().leaving.get(&engine).cloned();
            engines.push(EngineEvidence {
                url: url.clone(),
                ran,
                leaving: leaving.unwrap_or_default(),
            });
        }
        let seen = self.seen.borrow();
        let sightings = seen.leases.iter();
        let leases = sightings.map(|((engine, program), at)| LeaseSighting {
            engine: *engine,
            program: *program,
            last_seen: *at,
        });
        (engines, leases.collect())
    }
}

/// A program that ended for its caller, and when; vanished callers end nothing.
fn ended(record: &ProgramRecord) -> Option<(ProgramId, Timestamp)> {
    let is_abandoned = record.end == super::record::ProgramEnd::Abandoned;
    if is_abandoned {
        return None;
    }
    Some((record.id?, record.ended_at?))
}

async fn ask_what_ran(http: &awc::Client, url: &str) -> Option<RanReport> {
    for _ in 0..FINAL_TRIES {
        if let Some(report) = fetch(http, &format!("{url}/admin/ran")).await {
            return Some(report);
        }
        sleep(LOOK_INTERVAL).await;
    }
    log::warn!("engine {url} did not say what it ran");
    None
}

async fn look_on(engine: usize, url: String, http: awc::Client, seen: Rc<RefCell<Seen>>) {
    loop {
        let load: Option<EngineLoad> = fetch(&http, &format!("{url}/v1/load")).await;
        if load.is_some_and(|load| load.leaving) {
            note_leaving(&mut seen.borrow_mut(), engine, now());
        }
        let leases: Option<LeaseList> = fetch(&http, &format!("{url}/v1/cache/leases")).await;
        if let Some(leases) = leases {
            note_leases(&mut seen.borrow_mut(), engine, &leases);
        }
        sleep(LOOK_INTERVAL).await;
    }
}

fn note_leaving(seen: &mut Seen, engine: usize, at: Timestamp) {
    let spans = seen.leaving.entry(engine).or_default();
    match spans.last_mut() {
        // Looks follow each other closely: a longer gap means that it took work again in between.
        Some(span) if at.since(span.until) < LOOK_PATIENCE => span.until = at,
        _ => spans.push(LeavingSpan {
            from: at,
            until: at,
        }),
    }
}

fn note_leases(seen: &mut Seen, engine: usize, list: &LeaseList) {
    let at = now();
    let programs: Vec<ProgramId> = list.leases.iter().map(|lease| lease.program).collect();
    for program in &programs {
        seen.leases.insert((engine, *program), at);
    }
    seen.listed.insert(engine, (at, programs));
}

/// Asks for one document; none if it does not come in time.
pub(crate) async fn fetch<T: DeserializeOwned>(http: &awc::Client, url: &str) -> Option<T> {
    let answer = http.get(url).timeout(LOOK_PATIENCE).send().await;
    let mut answer = answer.ok()?;
    let body = answer.body().limit(MAX_DOCUMENT_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
