//! Requests under which servers ended, so that a client's attempts at one request end only a few servers between
//! them, whatever gateways receive them. The caller passes times in.
//!
//! Gateways report to a controller when a server ends under a request, and before they send such a request again.
//! Controllers pass reports on to each other, and changes to the gateways that follow them. A request that is
//! answered is cleared. Nothing is reported for requests under which no server ended.
//!
//! Invariants: at most [`MAX_ENDED_SERVERS`] servers have a suspect, counting those that ended under it and those
//! that may still run it; the number of suspects is bounded; an entry is forgotten some time after its last change.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use courseshed_types::{RequestKey, ServerKey};
use serde::{Deserialize, Serialize};

/// The most servers that may end under one request.
pub const MAX_ENDED_SERVERS: usize = 3;
/// The most servers that may end under a request while no controller confirms what other gateways know. Below the
/// limit for all attempts, since another attempt may be under way.
const MAX_ENDED_UNCONFIRMED: usize = 2;
/// Maximum number of suspects; they take some 1 MB.
const MAX_SUSPECTS: usize = 4096;
/// How long a suspect is remembered after its last change: longer than clients go on trying.
const LIFETIME: Duration = Duration::from_secs(30);
/// How long a server counts as running a suspect, if its gateway says nothing more.
const RUN_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of suspects in one update of a follower, and of removals that are remembered for updates.
const MAX_CHANGES: usize = 256;

/// A server that ended under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedServer {
    /// The server.
    pub server: ServerKey,
    /// How many servers were known to have ended when the request was sent to it.
    pub known_before: u32,
}

/// What a gateway reports of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub request: RequestKey,
    /// Whether different clients may send the same request. Servers that ended at the same time under copies of
    /// it then count once.
    pub is_shared: bool,
    /// Identifies the attempt.
    pub attempt: u64,
    /// Servers that ended under the attempt.
    pub ended: Vec<EndedServer>,
    /// The server to which the request is to be sent next, if it is known.
    pub next: Option<ServerKey>,
    /// Whether the request was answered, so that it is no suspect any more.
    pub is_answered: bool,
}

/// What is known of a suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectState {
    /// Servers that ended under it.
    pub ended: Vec<ServerKey>,
    /// Attempts that are under way, and the servers that have them.
    pub running: Vec<(u64, ServerKey)>,
}

impl SuspectState {
    /// Whether an attempt may be sent to a server.
    #[must_use]
    pub fn allows(&self, attempt: u64, server: ServerKey) -> bool {
        let mut exposed = self.exposed_servers(attempt);
        exposed.insert(server);
        exposed.len() <= MAX_ENDED_SERVERS
    }

    /// Whether an attempt may be sent to no server that has not had the request.
    #[must_use]
    pub fn is_exhausted(&self, attempt: u64) -> bool {
        self.exposed_servers(attempt).len() >= MAX_ENDED_SERVERS
    }

    /// The servers that ended under the request, and those that run other attempts.
    fn exposed_servers(&self, attempt: u64) -> BTreeSet<ServerKey> {
        let others = self.running.iter().filter(|(other, _)| *other != attempt);
        let running = others.map(|(_, server)| *server);
        self.ended.iter().copied().chain(running).collect()
    }
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectVerdict {
    /// What is known of the request, including the report.
    pub state: SuspectState,
    /// Whether the request may be sent to the server that the report names.
    pub may_send: bool,
}

/// Whether a suspect may be sent: by what its gateway knows, and by the verdict of a controller, if there is one.
#[must_use]
pub fn may_send_suspect(own: &SuspectVerdict, confirmed: Option<&SuspectVerdict>) -> bool {
    let is_confirmed = confirmed.map_or_else(
        || own.state.ended.len() < MAX_ENDED_UNCONFIRMED,
        |verdict| verdict.may_send,
    );
    own.may_send && is_confirmed
}

/// Changes of suspects, for a follower.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectChanges {
    /// The revision after applying the changes.
    pub revision: u64,
    /// New and changed suspects.
    pub changed: Vec<(RequestKey, SuspectState)>,
    /// Requests that are no suspects any more.
    pub cleared: Vec<RequestKey>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    server: ServerKey,
    reported_at: Duration,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    ended: Vec<ServerKey>,
    running: BTreeMap<u64, Run>,
    changed_at: Duration,
    revision: u64,
}

impl Suspect {
    fn state(&self, now: Duration) -> SuspectState {
        let current = self.running.iter();
        let current = current.filter(|(_, run)| now.saturating_sub(run.reported_at) < RUN_LIFETIME);
        SuspectState {
            ended: self.ended.clone(),
            running: current
                .map(|(attempt, run)| (*attempt, run.server))
                .collect(),
        }
    }

    fn says_same(&self, other: &Self) -> bool {
        let servers = |suspect: &Self| -> Vec<(u64, ServerKey)> {
            let running = suspect.running.iter();
            running
                .map(|(attempt, run)| (*attempt, run.server))
                .collect()
        };
        self.ended == other.ended && servers(self) == servers(other)
    }

    fn record_ended(&mut self, ended: EndedServer, is_shared: bool) {
        let is_concurrent = is_shared && (ended.known_before as usize) < self.ended.len();
        if !self.ended.contains(&ended.server) && !is_concurrent {
            self.ended.push(ended.server);
        }
    }
}

/// The suspects known to a controller or a gateway.
#[derive(Clone, Debug, Default)]
pub struct SuspectRequests {
    suspects: BTreeMap<RequestKey, Suspect>,
    /// Suspects by their last change.
    order: BTreeMap<u64, RequestKey>,
    cleared: VecDeque<(u64, RequestKey)>,
    revision: u64,
}

impl SuspectRequests {
    /// Applies a report. The server that it names next counts as running the request if it may be sent there.
    pub fn record(&mut self, now: Duration, report: &SuspectReport) -> SuspectVerdict {
        if report.is_answered {
            self.clear(report.request);
            return SuspectVerdict {
                state: SuspectState::default(),
                may_send: true,
            };
        }
        let known = self.suspects.get(&report.request);
        let mut suspect = known.cloned().unwrap_or_default();
        for ended in &report.ended {
            suspect.record_ended(*ended, report.is_shared);
        }
        let next = report.next;
        let state = suspect.state(now);
        let may_send = next.is_none_or(|server| state.allows(report.attempt, server));
        suspect.running.remove(&report.attempt);
        if let Some(server) = next.filter(|_| may_send) {
            let run = Run {
                server,
                reported_at: now,
            };
            suspect.running.insert(report.attempt, run);
        }
        let state = suspect.state(now);
        self.update(report.request, suspect, now);
        SuspectVerdict { state, may_send }
    }

    /// What is known of a request; none if it is no suspect.
    #[must_use]
    pub fn state(&self, now: Duration, request: RequestKey) -> Option<SuspectState> {
        let suspect = self.suspects.get(&request)?;
        let is_current = now.saturating_sub(suspect.changed_at) < LIFETIME;
        is_current.then(|| suspect.state(now))
    }

    /// The servers that run other suspects than `request`.
    #[must_use]
    pub fn servers_of_others(&self, now: Duration, request: RequestKey) -> BTreeSet<ServerKey> {
        let others = self.suspects.iter().filter(|(key, _)| **key != request);
        let running = others.flat_map(|(_, suspect)| suspect.state(now).running);
        running.map(|(_, server)| server).collect()
    }

    /// Changes since a revision, oldest first and limited in number; none if there are none.
    #[must_use]
    pub fn changes_since(&self, now: Duration, known: u64) -> Option<SuspectChanges> {
        let mut changes = SuspectChanges {
            revision: self.revision,
            ..SuspectChanges::default()
        };
        for (revision, request) in self.order.range(known + 1..) {
            if changes.changed.len() == MAX_CHANGES {
                break;
            }
            changes
                .changed
                .extend(self.state(now, *request).map(|state| (*request, state)));
            if changes.changed.len() == MAX_CHANGES {
                changes.revision = *revision;
            }
        }
        let cleared = self.cleared.iter();
        let cleared = cleared.filter(|(at, _)| *at > known && *at <= changes.revision);
        changes.cleared = cleared.map(|(_, request)| *request).collect();
        (known < self.revision).then_some(changes)
    }

    /// Applies the changes that a controller sent.
    pub fn apply(&mut self, now: Duration, changes: SuspectChanges) {
        for request in changes.cleared {
            self.clear(request);
        }
        for (request, state) in changes.changed {
            let known = self.suspects.get(&request);
            let mut suspect = known.cloned().unwrap_or_default();
            for server in state.ended {
                if !suspect.ended.contains(&server) {
                    suspect.ended.push(server);
                }
            }
            let running = state.running.into_iter();
            let running = running.map(|(attempt, server)| {
                let run = Run {
                    server,
                    reported_at: now,
                };
                (attempt, run)
            });
            suspect.running = running.collect();
            self.update(request, suspect, now);
        }
    }

    /// Reports that tell a controller what is known here and changed less than `max_age` ago, newest first and
    /// limited in number.
    #[must_use]
    pub fn reports(&self, now: Duration, max_age: Duration) -> Vec<SuspectReport> {
        let newest = self.order.values().rev().take(MAX_CHANGES);
        let is_recent = |request: &&RequestKey| {
            let suspect = self.suspects.get(request);
            suspect.is_some_and(|suspect| now.saturating_sub(suspect.changed_at) < max_age)
        };
        newest
            .take_while(is_recent)
            .filter_map(|request| {
                let state = self.state(now, *request)?;
                let ended = (0..).zip(state.ended);
                Some(SuspectReport {
                    request: *request,
                    is_shared: false,
                    attempt: 0,
                    ended: ended
                        .map(|(known_before, server)| EndedServer {
                            server,
                            known_before,
                        })
                        .collect(),
                    next: None,
                    is_answered: false,
                })
            })
            .collect()
    }

    /// Forgets suspects that have not changed for some time.
    pub fn expire(&mut self, now: Duration) {
        while let Some((_, request)) = self.order.first_key_value() {
            let request = *request;
            let suspect = self.suspects.get(&request);
            let age = suspect.map(|suspect| now.saturating_sub(suspect.changed_at));
            if age.is_some_and(|age| age < LIFETIME) {
                return;
            }
            self.take(request);
        }
    }

    /// The revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn clear(&mut self, request: RequestKey) {
        if self.take(request).is_none() {
            return;
        }
        self.revision += 1;
        self.cleared.push_back((self.revision, request));
        if self.cleared.len() > MAX_CHANGES {
            self.cleared.pop_front();
        }
    }

    fn take(&mut self, request: RequestKey) -> Option<Suspect> {
        let suspect = self.suspects.remove(&request)?;
        self.order.remove(&suspect.revision);
        Some(suspect)
    }

    /// Replaces an entry. One that says nothing new keeps its revision and its age, so that controllers that tell
    /// each other the same come to rest.
    fn update(&mut self, request: RequestKey, mut suspect: Suspect, now: Duration) {
        if suspect.ended.is_empty() {
            return;
        }
        let known = self.suspects.get_mut(&request);
        if let Some(known) = known
            && known.says_same(&suspect)
        {
            known.running = suspect.running;
            return;
        }
        self.take(request);
        if self.suspects.len() >= MAX_SUSPECTS {
            self.evict();
        }
        self.revision += 1;
        suspect.revision = self.revision;
        suspect.changed_at = now;
        self.order.insert(self.revision, request);
        self.suspects.insert(request, suspect);
    }

    /// Makes room: the oldest of the suspects with a single ended server goes first, since most of those are
    /// not at fault.
    fn evict(&mut self) {
        let mut requests = self.order.values();
        let is_weak = |request: &&RequestKey| {
            let suspect = self.suspects.get(request);
            suspect.is_some_and(|suspect| suspect.ended.len() < 2)
        };
        let weak = requests.find(is_weak).copied();
        let oldest = self.order.values().next().copied();
        if let Some(request) = weak.or(oldest) {
            self.take(request);
        }
    }
}
