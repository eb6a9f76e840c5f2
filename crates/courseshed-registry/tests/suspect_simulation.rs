//! Simulation in virtual time of gateways, controllers and servers with requests that end the servers that run them,
//! among ordinary ones, while servers crash on their own and processes restart. Counts the servers that ended under
//! each such request, over all attempts of its client, and the ordinary requests that were given up.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use courseshed_registry::{
    EndedServer, MAX_ENDED_SERVERS, SuspectChanges, SuspectReport, SuspectRequests, SuspectVerdict,
    may_send_suspect,
};
use courseshed_types::{RequestKey, ServerKey};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 12;
const CONTROLLERS: usize = 3;
const SERVERS: usize = 24;
const REQUESTS: u64 = 600;
/// Of a hundred requests, those that end the servers that run them; few, and so many that they meet at servers.
const FEW_LETHAL: u64 = 2;
const MANY_LETHAL: u64 = 8;
/// Times in microseconds.
const MS: u64 = 1_000;
const RUN_US: u64 = 5_000_000;
const RESTART_US: u64 = 400 * MS;
const REPORT_TIMEOUT_US: u64 = 60 * MS;
const RESEND_INTERVAL_US: u64 = 200 * MS;
/// Attempts that a client makes, and how often it sends a failed request anew.
const ATTEMPTS: u32 = 3;
const RESENDS: u32 = 2;
const SEEDS: u64 = 1_000;

/// What is left out, to show that the checks notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Complete,
    /// Nothing is reported to controllers.
    NotShared,
    /// The next send is not reported before it is made.
    NotAnnounced,
    /// Suspects are sent to servers that run others.
    NotApart,
}

#[derive(Clone, Debug)]
enum Event {
    Request,
    Attempt(u64),
    ReportArrives {
        attempt: u64,
        controller: usize,
        report: SuspectReport,
        is_asked: bool,
    },
    Relayed {
        controller: usize,
        report: SuspectReport,
    },
    VerdictArrives {
        attempt: u64,
        asked: u64,
        verdict: SuspectVerdict,
    },
    ReportTimedOut {
        attempt: u64,
        asked: u64,
    },
    Update {
        gateway: usize,
        controller: usize,
        changes: SuspectChanges,
    },
    RunEnds {
        attempt: u64,
        server: u32,
    },
    ServerEnds {
        server: u32,
        by: Option<u64>,
    },
    Failed {
        attempt: u64,
        server: u32,
    },
    ServerStarts,
    RandomCrash,
    MassCrash,
    Resend(usize),
    RestartController(usize),
    RestartGateway(usize),
}

struct Request {
    is_lethal: bool,
    ended: BTreeSet<u32>,
    attempts: u32,
    resends: u32,
    is_served: bool,
    is_given_up: bool,
}

struct Attempt {
    request: u64,
    gateway: usize,
    ended: Vec<EndedServer>,
    tried: BTreeSet<u32>,
    running: Option<(u32, u32)>,
    asked: u64,
    next: u32,
    own: Option<SuspectVerdict>,
}

struct Simulation {
    variant: Variant,
    lethal_of_100: u64,
    random: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: BTreeMap<u64, Event>,
    serial: u64,
    gateways: Vec<SuspectRequests>,
    /// The controller that each gateway follows, and the revision known of it.
    follows: Vec<(usize, u64)>,
    controllers: Vec<SuspectRequests>,
    /// Running servers with their attempts.
    servers: BTreeMap<u32, BTreeSet<u64>>,
    servers_started: u32,
    requests: Vec<Request>,
    attempts: BTreeMap<u64, Attempt>,
    attempts_made: u64,
}

impl Simulation {
    fn new(seed: u64, variant: Variant, lethal_of_100: u64) -> Self {
        let mut simulation = Self {
            variant,
            lethal_of_100,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            serial: 0,
            gateways: vec![SuspectRequests::default(); GATEWAYS],
            follows: (0..GATEWAYS)
                .map(|gateway| (gateway % CONTROLLERS, 0))
                .collect(),
            controllers: vec![SuspectRequests::default(); CONTROLLERS],
            servers: BTreeMap::new(),
            servers_started: 0,
            requests: Vec::new(),
            attempts: BTreeMap::new(),
            attempts_made: 0,
        };
        for _ in 0..SERVERS {
            simulation.start_server();
        }
        for controller in 0..CONTROLLERS {
            simulation.after(RESEND_INTERVAL_US, Event::Resend(controller));
        }
        for _ in 0..REQUESTS {
            let at = simulation.draw(0..RUN_US);
            simulation.after(at, Event::Request);
        }
        if seed.is_multiple_of(2) {
            for _ in 0..8 {
                let at = simulation.draw(0..RUN_US);
                simulation.after(at, Event::RandomCrash);
            }
        }
        if seed.is_multiple_of(3) {
            simulation.after(RUN_US / 2, Event::MassCrash);
        }
        if seed.is_multiple_of(5) {
            for _ in 0..3 {
                let at = simulation.draw(0..RUN_US);
                let gateway = simulation.draw(0..GATEWAYS as u64) as usize;
                simulation.after(at, Event::RestartGateway(gateway));
                let at = simulation.draw(0..RUN_US);
                let controller = simulation.draw(0..CONTROLLERS as u64) as usize;
                simulation.after(at, Event::RestartController(controller));
            }
        }
        simulation
    }

    fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.random_range(range)
    }

    fn clock(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.payloads.insert(self.serial, event);
        self.events.push(Reverse((self.now + delay, self.serial)));
    }

    /// The time that a message takes.
    fn link(&mut self) -> u64 {
        self.draw(MS / 2..4 * MS)
    }

    fn start_server(&mut self) {
        self.servers_started += 1;
        self.servers.insert(self.servers_started, BTreeSet::new());
    }

    fn run(mut self) -> Vec<Request> {
        while let Some(Reverse((at, serial))) = self.events.pop() {
            self.now = at;
            if let Some(event) = self.payloads.remove(&serial) {
                self.handle(event);
            }
        }
        self.requests
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => {
                let is_lethal = self.draw(0..100) < self.lethal_of_100;
                self.requests.push(Request {
                    is_lethal,
                    ended: BTreeSet::new(),
                    attempts: 0,
                    resends: 0,
                    is_served: false,
                    is_given_up: false,
                });
                self.begin_attempt(self.requests.len() as u64 - 1);
            }
            Event::Attempt(request) => self.begin_attempt(request),
            Event::ReportArrives {
                attempt,
                controller,
                report,
                is_asked,
            } => {
                self.take_report(attempt, controller, report, is_asked);
            }
            Event::Relayed { controller, report } => {
                let now = self.clock();
                self.controllers[controller].record(now, &report);
                self.push_updates(controller);
            }
            Event::VerdictArrives {
                attempt,
                asked,
                verdict,
            } => {
                self.decide(attempt, asked, Some(verdict));
            }
            Event::ReportTimedOut { attempt, asked } => self.decide(attempt, asked, None),
            Event::Update {
                gateway,
                controller,
                changes,
            } => {
                if self.follows[gateway].0 == controller {
                    let now = self.clock();
                    self.gateways[gateway].apply(now, changes);
                }
            }
            Event::RunEnds { attempt, server } => self.end_run(attempt, server),
            Event::ServerEnds { server, by } => self.end_server(server, by),
            Event::Failed { attempt, server } => self.fail(attempt, server),
            Event::ServerStarts => self.start_server(),
            Event::RandomCrash => {
                if let Some(server) = self.any_server() {
                    self.end_server(server, None);
                }
            }
            Event::MassCrash => {
                let servers: Vec<u32> = self.servers.keys().copied().step_by(2).collect();
                for server in servers {
                    self.end_server(server, None);
                }
            }
            Event::Resend(controller) => self.resend(controller),
            Event::RestartController(controller) => self.restart_controller(controller),
            Event::RestartGateway(gateway) => {
                let mut attempts = self.attempts.values();
                if !attempts.any(|attempt| attempt.gateway == gateway) {
                    self.restart_gateway(gateway);
                }
            }
        }
    }

    fn any_server(&mut self) -> Option<u32> {
        let servers: Vec<u32> = self.servers.keys().copied().collect();
        let index = self.draw(0..servers.len().max(1) as u64) as usize;
        servers.get(index).copied()
    }

    /// It takes requests once it has the state of a controller.
    fn restart_gateway(&mut self, gateway: usize) {
        let now = self.clock();
        let controller = self.follows[gateway].0;
        let mut suspects = SuspectRequests::default();
        let mut known = 0;
        while let Some(changes) = self.controllers[controller].changes_since(now, known) {
            known = changes.revision;
            suspects.apply(now, changes);
        }
        self.gateways[gateway] = suspects;
        self.follows[gateway].1 = known;
    }

    /// Its followers tell it what they know.
    fn restart_controller(&mut self, controller: usize) {
        self.controllers[controller] = SuspectRequests::default();
        for gateway in 0..GATEWAYS {
            if self.follows[gateway].0 == controller {
                self.follows[gateway].1 = 0;
                let now = self.clock();
                for report in self.gateways[gateway].reports(now, Duration::MAX) {
                    let delay = self.link();
                    let event = Event::ReportArrives {
                        attempt: 0,
                        controller,
                        report,
                        is_asked: false,
                    };
                    self.after(delay, event);
                }
            }
        }
    }

    fn begin_attempt(&mut self, request: u64) {
        self.requests[request as usize].attempts += 1;
        self.attempts_made += 1;
        let id = self.attempts_made;
        let gateway = self.draw(0..GATEWAYS as u64) as usize;
        let attempt = Attempt {
            request,
            gateway,
            ended: Vec::new(),
            tried: BTreeSet::new(),
            running: None,
            asked: 0,
            next: 0,
            own: None,
        };
        self.attempts.insert(id, attempt);
        self.send_next(id);
    }

    fn report(&self, id: u64, next: Option<u32>) -> SuspectReport {
        let attempt = &self.attempts[&id];
        SuspectReport {
            request: RequestKey(attempt.request),
            is_shared: false,
            attempt: id,
            ended: attempt.ended.clone(),
            next: next.map(ServerKey),
            is_answered: false,
        }
    }

    fn send_next(&mut self, id: u64) {
        let now = self.clock();
        let Attempt {
            request, gateway, ..
        } = self.attempts[&id];
        let key = RequestKey(request);
        let state = self.gateways[gateway].state(now, key);
        if state.as_ref().is_some_and(|state| state.is_exhausted(id)) {
            return self.give_up(id);
        }
        let tried = self.attempts[&id].tried.clone();
        let mut free: Vec<u32> = self.servers.keys().copied().collect();
        free.retain(|server| !tried.contains(server));
        if state.is_some() && self.variant != Variant::NotApart {
            let occupied = self.gateways[gateway].servers_of_others(now, key);
            let apart: Vec<u32> = free
                .iter()
                .copied()
                .filter(|server| !occupied.contains(&ServerKey(*server)))
                .collect();
            free = if apart.is_empty() { free } else { apart };
        }
        if free.is_empty() {
            return self.end_attempt(id);
        }
        let server = free[self.draw(0..free.len() as u64) as usize];
        if state.is_none() {
            return self.begin_run(id, server, 0);
        }
        let mut report = self.report(id, Some(server));
        let own = self.gateways[gateway].record(now, &report);
        let attempt = self.attempts.get_mut(&id).expect("an attempt");
        attempt.asked += 1;
        attempt.next = server;
        attempt.own = Some(own);
        let asked = attempt.asked;
        if self.variant == Variant::NotShared {
            return self.decide(id, asked, self.attempts[&id].own.clone());
        }
        if self.variant == Variant::NotAnnounced {
            report.next = None;
        }
        let delay = self.link();
        let controller = self.follows[gateway].0;
        self.after(
            delay,
            Event::ReportArrives {
                attempt: id,
                controller,
                report,
                is_asked: true,
            },
        );
        self.after(
            REPORT_TIMEOUT_US,
            Event::ReportTimedOut { attempt: id, asked },
        );
    }

    fn take_report(
        &mut self,
        attempt: u64,
        controller: usize,
        report: SuspectReport,
        is_asked: bool,
    ) {
        let now = self.clock();
        let verdict = self.controllers[controller].record(now, &report);
        let relayed = SuspectReport {
            next: report.next.filter(|_| verdict.may_send),
            ..report
        };
        self.relay(controller, &relayed);
        self.push_updates(controller);
        if let Some(asked) = self.attempts.get(&attempt).map(|attempt| attempt.asked)
            && is_asked
        {
            let delay = self.link();
            self.after(
                delay,
                Event::VerdictArrives {
                    attempt,
                    asked,
                    verdict,
                },
            );
        }
    }

    /// Tells the other controllers again what has changed lately.
    fn resend(&mut self, controller: usize) {
        let now = self.clock();
        let reports = self.controllers[controller].reports(now, Duration::from_secs(1));
        for report in reports {
            self.relay(controller, &report);
        }
        if self.now < RUN_US {
            self.after(RESEND_INTERVAL_US, Event::Resend(controller));
        }
    }

    fn relay(&mut self, controller: usize, report: &SuspectReport) {
        for other in (0..CONTROLLERS).filter(|other| *other != controller) {
            let delay = self.link();
            let event = Event::Relayed {
                controller: other,
                report: report.clone(),
            };
            self.after(delay, event);
        }
    }

    /// Sends changes to the gateways that follow a controller.
    fn push_updates(&mut self, controller: usize) {
        for gateway in 0..GATEWAYS {
            let (followed, known) = self.follows[gateway];
            let now = self.clock();
            if followed == controller
                && let Some(changes) = self.controllers[controller].changes_since(now, known)
            {
                self.follows[gateway].1 = changes.revision;
                let delay = self.link();
                self.after(
                    delay,
                    Event::Update {
                        gateway,
                        controller,
                        changes,
                    },
                );
            }
        }
    }

    fn decide(&mut self, id: u64, asked: u64, confirmed: Option<SuspectVerdict>) {
        let now = self.clock();
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.asked != asked || attempt.running.is_some() {
            return;
        }
        let Some(own) = attempt.own.take() else {
            return;
        };
        let server = attempt.next;
        let gateway = attempt.gateway;
        if let Some(verdict) = &confirmed {
            let request = RequestKey(attempt.request);
            let changes = SuspectChanges {
                changed: vec![(request, verdict.state.clone())],
                ..SuspectChanges::default()
            };
            self.gateways[gateway].apply(now, changes);
        }
        if may_send_suspect(&own, confirmed.as_ref()) {
            let known = confirmed.unwrap_or(own).state.ended.len();
            self.begin_run(id, server, known as u32);
        } else {
            self.give_up(id);
        }
    }

    fn begin_run(&mut self, id: u64, server: u32, known_before: u32) {
        let attempt = self.attempts.get_mut(&id).expect("an attempt");
        attempt.tried.insert(server);
        attempt.running = Some((server, known_before));
        let request = attempt.request;
        let Some(running) = self.servers.get_mut(&server) else {
            // Ended since it was chosen: refused, so that another server is chosen.
            self.attempts.get_mut(&id).expect("an attempt").running = None;
            return self.send_next(id);
        };
        running.insert(id);
        let takes = self.draw(5 * MS..80 * MS);
        if self.requests[request as usize].is_lethal {
            let ends = self.draw(2 * MS..takes);
            self.after(
                ends,
                Event::ServerEnds {
                    server,
                    by: Some(id),
                },
            );
        } else {
            self.after(
                takes,
                Event::RunEnds {
                    attempt: id,
                    server,
                },
            );
        }
    }

    fn end_run(&mut self, id: u64, server: u32) {
        let is_running = self
            .servers
            .get_mut(&server)
            .is_some_and(|running| running.remove(&id));
        if !is_running {
            return;
        }
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let Attempt {
            request, gateway, ..
        } = *attempt;
        self.requests[request as usize].is_served = true;
        let now = self.clock();
        if self.gateways[gateway]
            .state(now, RequestKey(request))
            .is_some()
        {
            let report = SuspectReport {
                is_answered: true,
                ..self.report(id, None)
            };
            self.gateways[gateway].record(now, &report);
            let delay = self.link();
            let controller = self.follows[gateway].0;
            self.after(
                delay,
                Event::ReportArrives {
                    attempt: id,
                    controller,
                    report,
                    is_asked: false,
                },
            );
        }
        self.attempts.remove(&id);
    }

    fn end_server(&mut self, server: u32, by: Option<u64>) {
        let Some(running) = self.servers.remove(&server) else {
            return;
        };
        if let Some(attempt) = by.and_then(|id| self.attempts.get(&id)) {
            self.requests[attempt.request as usize].ended.insert(server);
        }
        for attempt in running {
            let delay = self.draw(MS..4 * MS);
            self.after(delay, Event::Failed { attempt, server });
        }
        self.after(RESTART_US, Event::ServerStarts);
    }

    /// A gateway learns that a server ended under an attempt.
    fn fail(&mut self, id: u64, server: u32) {
        let now = self.clock();
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some((_, known_before)) = attempt.running.take() else {
            return;
        };
        let gateway = attempt.gateway;
        attempt.ended.push(EndedServer {
            server: ServerKey(server),
            known_before,
        });
        let report = self.report(id, None);
        self.gateways[gateway].record(now, &report);
        self.send_next(id);
    }

    fn give_up(&mut self, id: u64) {
        let request = self.attempts[&id].request;
        self.requests[request as usize].is_given_up = true;
        self.end_attempt(id);
    }

    fn end_attempt(&mut self, id: u64) {
        if !self.attempts[&id].ended.is_empty() && self.variant != Variant::NotShared {
            let report = self.report(id, None);
            let delay = self.link();
            let controller = self.follows[self.attempts[&id].gateway].0;
            self.after(
                delay,
                Event::ReportArrives {
                    attempt: id,
                    controller,
                    report,
                    is_asked: false,
                },
            );
        }
        let Some(Attempt { request, .. }) = self.attempts.remove(&id) else {
            return;
        };
        let state = &mut self.requests[request as usize];
        if state.attempts < ATTEMPTS {
            let pause = self.draw(10 * MS..40 * MS);
            self.after(pause, Event::Attempt(request));
        } else if state.resends < RESENDS {
            state.resends += 1;
            state.attempts = 0;
            let pause = self.draw(100 * MS..400 * MS);
            self.after(pause, Event::Attempt(request));
        }
    }
}

/// The most servers that ended under one lethal request, and the ordinary requests that were given up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Totals {
    most_ended: usize,
    ordinary: usize,
    unserved: usize,
    lethal: usize,
}

fn simulate(seeds: impl Iterator<Item = u64>, variant: Variant, lethal_of_100: u64) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        for request in Simulation::new(seed, variant, lethal_of_100).run() {
            if request.is_lethal {
                totals.lethal += 1;
                if request.ended.len() > totals.most_ended {
                    totals.most_ended = request.ended.len();
                    println!(
                        "seed {seed}: {} servers ended under a request",
                        totals.most_ended
                    );
                }
            } else {
                totals.ordinary += 1;
                totals.unserved += usize::from(!request.is_served);
            }
        }
    }
    println!("{variant:?}: {totals:?}");
    totals
}

/// Guards against a fourth server that ends under a request, and against ordinary requests that are given up
/// because servers crashed, alone or half of them at once, or since others ended their servers.
#[test]
fn lethal_requests_end_three_servers_and_ordinary_ones_are_served() {
    let totals = simulate(0..SEEDS, Variant::Complete, FEW_LETHAL);
    assert!(totals.lethal > 1_000, "{totals:?}");
    assert_eq!(totals.most_ended, MAX_ENDED_SERVERS);
    assert!(totals.unserved * 10_000 <= totals.ordinary, "{totals:?}");
}

/// The same over more seeds, run by hand.
#[test]
#[ignore = "takes minutes"]
fn lethal_requests_end_three_servers_over_thousands_of_seeds() {
    let totals = simulate(10_000..40_000, Variant::Complete, FEW_LETHAL);
    assert_eq!(totals.most_ended, MAX_ENDED_SERVERS);
    assert!(totals.unserved * 10_000 <= totals.ordinary, "{totals:?}");
}

/// Guards against a simulation that notices nothing.
#[test]
fn simulation_notices_what_is_left_out() {
    let not_shared = simulate(0..SEEDS / 20, Variant::NotShared, FEW_LETHAL);
    assert!(not_shared.most_ended > MAX_ENDED_SERVERS, "{not_shared:?}");
    let not_announced = simulate(0..SEEDS, Variant::NotAnnounced, FEW_LETHAL);
    assert!(
        not_announced.most_ended > MAX_ENDED_SERVERS,
        "{not_announced:?}"
    );
    let complete = simulate(0..SEEDS / 3, Variant::Complete, MANY_LETHAL);
    let not_apart = simulate(0..SEEDS / 3, Variant::NotApart, MANY_LETHAL);
    assert!(not_apart.unserved > complete.unserved, "{not_apart:?}");
}
