//! What callers and servers saw, and the promises judged from it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use courseshed_registry::MAX_ENDED_SERVERS;
use tokio::time::Instant;

use crate::fleet::Absence;

/// Tokens of one event, as the routing table of the soak says.
pub const TOKENS_PER_EVENT: u64 = 10;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A call that may not be repeated runs once at the most.
    AtMostOnce,
    /// What is refused as not run has not run.
    NotRun,
    /// An answer that looks whole is the server's, whole.
    WholeAnswer,
    /// A turn that was answered whole can be gone on from.
    KeptTurn,
    /// A server gets the turns before, and no others.
    History,
    /// A program is given no more tokens than its budget and one turn.
    Budget,
    /// A response that a server sent whole is not reported as broken.
    WholeAccepted,
    /// Nothing that was passed on is cut off, neither by a planned stop nor without any.
    NotCutOff,
    /// All events of a stream come from servers of one software version, whoever resumes it.
    StreamVersion,
    /// No call reaches a server of an evacuated zone once its gateway must know of the evacuation.
    EvacuatedZone,
    /// A call that is restricted to a region reaches no server of another one.
    AllowedRegion,
    /// A turn that is restricted to a region is stored in no other one.
    StoredRegion,
    /// A server that is warming up gets no more calls in a second than its limit.
    WarmUpLimit,
    /// No more servers end under a request than may, over all attempts of its caller.
    EndedServers,
    /// No attempt runs on more servers than its route allows, not counting those that ended.
    Attempts,
    /// A conversation whose last turn was answered goes on within a bounded time once everything serves again.
    GoesOn,
    /// No process ends by itself.
    StaysUp,
    /// Once the faults are over, everything serves again.
    ComesBack,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.promise, self.detail)
    }
}

/// What a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run once.
    Once,
    /// May run again.
    Repeatable,
    /// A turn of a program.
    Turn,
    /// A stream that may be resumed.
    Stream,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer came, whole.
    Answered {
        /// Its status.
        status: u16,
    },
    /// An answer began, and the connection ended before it did.
    BrokenOff,
    /// The connection ended without an answer.
    NoAnswer,
    /// The caller had no connection.
    NotConnected,
    /// The caller gave up.
    GaveUp,
}

/// One call, as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallSeen {
    /// What it is.
    pub kind: CallKind,
    /// The gateway's place in the fleet.
    pub gateway: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it was over.
    pub over: Instant,
    /// How it ended.
    pub outcome: Outcome,
    /// The program and how many events the caller was given, for a turn.
    pub turn: Option<TurnSeen>,
}

/// What belongs to a turn.
#[derive(Clone, Debug)]
pub struct TurnSeen {
    /// Its program.
    pub program: String,
    /// Events that the caller was given.
    pub events: u64,
}

/// What a program may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramBudget {
    /// All turns together, in tokens.
    pub tokens: u64,
    /// The most of one turn, in tokens.
    pub most_of_turn: u64,
}

/// What was disturbed by more than a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbed {
    /// A gateway, by its place in the fleet.
    Gateway(usize),
    /// Any of the stores, so that a turn may have found no quorum to be kept on.
    Stores,
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    what: Disturbed,
    from: Instant,
    to: Instant,
}

/// A call that reached a server of a zone while the zone was evacuated.
#[derive(Clone, Debug)]
struct LateArrival {
    call: String,
    zone: String,
    evacuated: Instant,
    at: Instant,
}

/// How long a gateway may take to learn of a committed evacuation while it runs beside a majority of
/// controllers: it may follow one that is gone, and finds another within two timeouts of 600 ms; the
/// rest is for a busy machine.
pub const EVACUATION_BOUND: Duration = Duration::from_secs(3);
/// The span in which arrivals at a server that is warming up are counted.
const WARM_UP_WINDOW: Duration = Duration::from_secs(1);

/// Requests of callers that resume a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resumptions {
    /// Those that went on with the stream.
    pub continued: usize,
    /// Those that were refused as not run.
    pub refused: usize,
    /// Those that ended otherwise.
    pub failed: usize,
}

impl fmt::Display for Resumptions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            continued,
            refused,
            failed,
        } = self;
        write!(
            formatter,
            "of streams that callers resumed {continued} went on, {refused} were refused, {failed} failed"
        )
    }
}

/// The servers that ran a call.
#[derive(Debug, Default)]
struct Runners {
    servers: BTreeSet<String>,
    most: u32,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Zones that are evacuated, and since when this is committed.
    evacuated: BTreeMap<String, Instant>,
    late_arrivals: Vec<LateArrival>,
    cold_arrivals: BTreeMap<String, Vec<Instant>>,
    warm_up_limit: Option<usize>,
    restricted_runs: usize,
    absences: Vec<Absence>,
    controllers: Vec<usize>,
    calls: BTreeMap<String, CallSeen>,
    runs: BTreeMap<String, u64>,
    dropped: BTreeMap<String, u64>,
    budgets: BTreeMap<String, ProgramBudget>,
    resumptions: Resumptions,
    broken_off: usize,
    /// The servers that ended under each request that ends them.
    lethal_ends: BTreeMap<String, BTreeSet<String>>,
    /// The servers that ran each call, and how many may.
    runners: BTreeMap<String, Runners>,
    disturbances: Vec<Disturbance>,
    seen: Vec<Violation>,
}

/// What a soak came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Calls made.
    pub calls: usize,
    /// Answered with success.
    pub answered: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Ended otherwise.
    pub failed: usize,
    /// Runs of calls that are restricted to a region.
    pub restricted_runs: usize,
    /// Calls that reached an evacuated zone, late or while gateways may not have known of it.
    pub evacuated_arrivals: usize,
    /// Calls that reached servers that were warming up.
    pub cold_arrivals: usize,
    /// Requests of callers that resume a stream.
    pub resumptions: Resumptions,
    /// Responses that servers broke off on purpose.
    pub broken_off_by_servers: usize,
    /// Requests under which servers ended.
    pub lethal_requests: usize,
    /// Servers that ended under requests.
    pub ended_servers: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl Ledger {
    /// Notes that a server begins to run a call.
    pub fn note_run(&mut self, call: &str) {
        *self.runs.entry(call.to_owned()).or_default() += 1;
    }

    /// Notes which server runs a call, and how many may.
    pub fn note_runner(&mut self, call: &str, server: &str, most: u32) {
        let runners = self.runners.entry(call.to_owned()).or_default();
        runners.servers.insert(server.to_owned());
        runners.most = most;
    }

    /// Notes that a server broke a call off on purpose.
    pub fn note_dropped(&mut self, call: &str) {
        *self.dropped.entry(call.to_owned()).or_default() += 1;
    }

    /// Notes that a server breaks a response off within it.
    pub fn note_broken_off(&mut self) {
        self.broken_off += 1;
    }

    /// Notes that a server ended under a request.
    pub fn note_lethal_end(&mut self, request: &str, server: &str) {
        let servers = self.lethal_ends.entry(request.to_owned()).or_default();
        servers.insert(server.to_owned());
    }

    /// Notes how a request ended that resumes a stream, and whether any event came.
    pub fn note_resumption(&mut self, outcome: &Outcome, has_events: bool) {
        let resumptions = &mut self.resumptions;
        match outcome {
            Outcome::Answered { status } if is_not_run(*status) => resumptions.refused += 1,
            Outcome::Answered { status: 200 } => resumptions.continued += 1,
            _ if has_events => resumptions.continued += 1,
            _ => resumptions.failed += 1,
        }
    }

    /// Notes what a program may spend.
    pub fn note_budget(&mut self, program: &str, budget: ProgramBudget) {
        self.budgets.insert(program.to_owned(), budget);
    }

    /// Notes how a call ended.
    pub fn note_call(&mut self, id: String, call: CallSeen) {
        self.calls.insert(id, call);
    }

    /// Notes that something was killed or paused in a time: what is cut off then has a cause.
    pub fn note_disturbed(&mut self, what: Disturbed, from: Instant, to: Instant) {
        self.disturbances.push(Disturbance { what, from, to });
    }

    /// Notes that the evacuation of a zone is committed.
    pub fn note_evacuated(&mut self, zone: &str, at: Instant) {
        self.evacuated.insert(zone.to_owned(), at);
    }

    /// Notes that a zone is about to be opened again.
    pub fn note_opened(&mut self, zone: &str) {
        self.evacuated.remove(zone);
    }

    /// Notes that a call reached a server of a zone.
    pub fn note_arrival(&mut self, call: &str, zone: &str, at: Instant) {
        if let Some(evacuated) = self.evacuated.get(zone) {
            self.late_arrivals.push(LateArrival {
                call: call.to_owned(),
                zone: zone.to_owned(),
                evacuated: *evacuated,
                at,
            });
        }
    }

    /// Sets how many calls a server that is warming up may get in a second.
    pub fn set_warm_up_limit(&mut self, limit: usize) {
        self.warm_up_limit = Some(limit);
    }

    /// Notes that a call reached a server that is warming up, which did not answer with 421.
    pub fn note_cold_arrival(&mut self, server: &str, at: Instant) {
        let arrivals = self.cold_arrivals.entry(server.to_owned()).or_default();
        arrivals.push(at);
    }

    /// Notes that a call that is restricted to a region runs in a region.
    pub fn note_restricted_run(&mut self, call: &str, allowed: &str, region: &str) {
        self.restricted_runs += 1;
        if allowed != region {
            let detail = format!("{call} is for {allowed} and reached a server in {region}");
            self.note_violation(Promise::AllowedRegion, detail);
        }
    }

    /// Notes when members were stopping, gone or paused, and which of them are controllers.
    pub fn note_absences(&mut self, absences: Vec<Absence>, controllers: Vec<usize>) {
        self.absences = absences;
        self.controllers = controllers;
    }

    /// Notes a promise that was seen broken.
    pub fn note_violation(&mut self, promise: Promise, detail: String) {
        self.seen.push(Violation { promise, detail });
    }

    /// Judges all that was seen.
    #[must_use]
    pub fn judge(&self) -> Tally {
        let mut tally = Tally {
            calls: self.calls.len(),
            violations: self.seen.clone(),
            restricted_runs: self.restricted_runs,
            resumptions: self.resumptions,
            broken_off_by_servers: self.broken_off,
            evacuated_arrivals: self.late_arrivals.len(),
            lethal_requests: self.lethal_ends.len(),
            ended_servers: self.lethal_ends.values().map(BTreeSet::len).sum(),
            cold_arrivals: self.cold_arrivals.values().map(Vec::len).sum(),
            ..Tally::default()
        };
        for (id, call) in &self.calls {
            match call.outcome {
                Outcome::Answered { status: 200 } => tally.answered += 1,
                Outcome::Answered { status } if is_not_run(status) => tally.refused += 1,
                _ => tally.failed += 1,
            }
            tally.violations.extend(self.judge_call(id, call));
        }
        tally.violations.extend(self.judge_budgets());
        tally.violations.extend(self.judge_evacuations());
        tally.violations.extend(self.judge_warm_up());
        tally.violations.extend(self.judge_lethal_requests());
        tally.violations.extend(self.judge_attempts());
        tally
    }

    fn judge_call(&self, id: &str, call: &CallSeen) -> Option<Violation> {
        let runs = self.runs.get(id).copied().unwrap_or(0);
        let violation = |promise, detail| Some(Violation { promise, detail });
        if call.kind == CallKind::Once && runs > 1 {
            return violation(Promise::AtMostOnce, format!("{id} ran {runs} times"));
        }
        match call.outcome {
            Outcome::Answered { status } if is_not_run(status) && runs > 0 => violation(
                Promise::NotRun,
                format!("{id} was refused with {status} and ran {runs} times"),
            ),
            Outcome::Answered { status: 502 } if self.is_cut_off(id, call) => violation(
                Promise::WholeAccepted,
                format!("{id} at gateway {}", call.gateway),
            ),
            Outcome::NoAnswer | Outcome::BrokenOff if self.is_cut_off(id, call) => violation(
                Promise::NotCutOff,
                format!("{id} at gateway {}: {:?}", call.gateway, call.outcome),
            ),
            _ => None,
        }
    }

    /// Whether a call was passed on, not broken off by its server, and cut off without any cause.
    fn is_cut_off(&self, id: &str, call: &CallSeen) -> bool {
        let was_passed_on = self.runs.contains_key(id) && !self.dropped.contains_key(id);
        let is_cause = |disturbance: &Disturbance| {
            let concerns = match disturbance.what {
                Disturbed::Gateway(gateway) => gateway == call.gateway,
                Disturbed::Stores => call.kind == CallKind::Turn,
            };
            concerns && disturbance.from <= call.over && disturbance.to >= call.sent
        };
        was_passed_on && !self.disturbances.iter().any(is_cause)
    }

    fn judge_evacuations(&self) -> Vec<Violation> {
        let late = self.late_arrivals.iter().filter_map(|arrival| {
            let gateway = self.calls.get(&arrival.call)?.gateway;
            let must_have_known = self.could_learn(gateway, arrival.evacuated, arrival.at);
            must_have_known.then(|| Violation {
                promise: Promise::EvacuatedZone,
                detail: format!(
                    "{} of gateway {gateway} reached zone {} {:?} after its evacuation",
                    arrival.call,
                    arrival.zone,
                    arrival.at - arrival.evacuated
                ),
            })
        });
        late.collect()
    }

    /// Whether a gateway ran beside the same majority of controllers for as long as learning of an
    /// evacuation may take, at some time in a span.
    fn could_learn(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let ends = self.absences.iter().map(|absence| absence.to);
        let mut begins = ends.filter(|end| *end > from).chain([from]);
        begins.any(|begin| {
            let end = begin + EVACUATION_BOUND;
            let runs = |member: usize| {
                let mut absences = self.absences.iter();
                !absences.any(|absence| {
                    absence.member == member && absence.from < end && absence.to > begin
                })
            };
            let controllers = self.controllers.iter().copied();
            let running = controllers.filter(|controller| runs(*controller)).count();
            end <= to && runs(gateway) && 2 * running > self.controllers.len()
        })
    }

    fn judge_warm_up(&self) -> Vec<Violation> {
        let Some(limit) = self.warm_up_limit else {
            return Vec::new();
        };
        let servers = self.cold_arrivals.iter().filter_map(|(server, arrivals)| {
            let most = most_within(arrivals, WARM_UP_WINDOW);
            (most > limit).then(|| Violation {
                promise: Promise::WarmUpLimit,
                detail: format!(
                    "{server} got {most} calls in a second of its warm-up, {limit} are allowed"
                ),
            })
        });
        servers.collect()
    }

    fn judge_lethal_requests(&self) -> Vec<Violation> {
        let requests = self.lethal_ends.iter();
        let over = requests.filter(|(_, servers)| servers.len() > MAX_ENDED_SERVERS);
        over.map(|(request, servers)| Violation {
            promise: Promise::EndedServers,
            detail: format!("{request} ended {servers:?}"),
        })
        .collect()
    }

    fn judge_attempts(&self) -> Vec<Violation> {
        let ended: BTreeSet<&String> = self.lethal_ends.values().flatten().collect();
        let over = self.runners.iter().filter_map(|(call, runners)| {
            let servers = runners.servers.iter();
            let alive: Vec<_> = servers.filter(|server| !ended.contains(server)).collect();
            (alive.len() > runners.most as usize).then(|| Violation {
                promise: Promise::Attempts,
                detail: format!("{call} ran on {alive:?}, {} are allowed", runners.most),
            })
        });
        over.collect()
    }

    fn judge_budgets(&self) -> Vec<Violation> {
        let mut given: BTreeMap<&str, u64> = BTreeMap::new();
        for turn in self.calls.values().filter_map(|call| call.turn.as_ref()) {
            *given.entry(&turn.program).or_default() += turn.events * TOKENS_PER_EVENT;
        }
        let over = given.into_iter().filter_map(|(program, tokens)| {
            let budget = self.budgets.get(program)?;
            let most = budget.tokens + budget.most_of_turn;
            (tokens > most).then(|| Violation {
                promise: Promise::Budget,
                detail: format!("{program} was given {tokens} tokens, {most} are allowed"),
            })
        });
        over.collect()
    }
}

/// The most of ordered times that lie within a window.
fn most_within(times: &[Instant], window: Duration) -> usize {
    let counts = times.iter().enumerate().map(|(first, begin)| {
        let end = *begin + window;
        times[first..].partition_point(|time| *time < end)
    });
    counts.max().unwrap_or(0)
}

/// Whether a status says that the call has not run and never will.
#[must_use]
pub fn is_not_run(status: u16) -> bool {
    matches!(status, 402 | 408 | 421 | 429 | 503)
}
