//! One run: the fleet, its servers and callers, the faults, and what it comes to.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::caller::{Caller, Conversation};
use crate::faults::{Fault, FaultKind, plan};
use crate::fleet::{Fleet, FleetError, FleetSize, KnownRegions, MachineLimits, NodeKnowledge};
use crate::ledger::{Disturbed, Promise, Tally};
use crate::node::Role;
use crate::releases::{FIRST_VERSION, plan_with_releases};
use crate::server::SoakServer;
use crate::world::{Broken, World};
use crate::zones::{REGIONS, marker, region_of, zone_at};

/// How often processes are looked at.
const TEND_INTERVAL: Duration = Duration::from_millis(20);
/// How long everything may take to serve, at the start and after the faults: many times what it takes,
/// since the machine may be busy.
const SERVING_PATIENCE: Duration = Duration::from_secs(90);
/// How long a conversation may take to go on once everything serves: several times what a turn may take.
const GOES_ON_PATIENCE: Duration = Duration::from_secs(20);
const SERVING_INTERVAL: Duration = Duration::from_millis(200);
/// How long a fault may still be the cause of what is cut off: a killed store's places are taken by
/// others, and a gateway that stood still works off what came meanwhile.
const AFTERMATH: Duration = Duration::from_secs(6);

/// How long a zone is left alone after its evacuation: an operator's call that timed out may still be
/// carried out by a controller that was paused.
const EVACUATION_PAUSE: Duration = Duration::from_secs(5);
/// Calls that may reach it in a second: one and a half times the rate and 5.
const WARM_UP_LIMIT: usize = 11;

/// What is to be run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Decides faults, calls and what servers do.
    pub seed: u64,
    /// How long faults come.
    pub how_long: Duration,
    /// The faults, if not those of the seed.
    pub faults: Option<Vec<Fault>>,
    /// Whether zones have regions and some calls are restricted to one.
    pub has_regions: bool,
    /// Whether the service limits calls to servers that warm up.
    pub limits_warm_up: bool,
    /// Whether servers are replaced by ones of other software versions, and callers resume streams.
    pub has_releases: bool,
    /// Whether servers use every framing, and break responses off at every place.
    pub varies_framing: bool,
    /// Whether some requests end the servers that run them.
    pub has_lethal_requests: bool,
    /// Whether servers that fail answer no connection attempts for a time.
    pub has_silent_servers: bool,
    /// Conversations that last as long as the run.
    pub long_conversations: usize,
    /// A fault put in on purpose.
    pub broken: Option<Broken>,
    /// Processes.
    pub size: FleetSize,
    /// Servers.
    pub servers: usize,
    /// Callers.
    pub callers: usize,
    /// The program that the processes run: this one's.
    pub program: PathBuf,
    /// Where files and logs go.
    pub folder: PathBuf,
}

/// A run can't be made.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A process can't be started.
    #[snafu(display("{source}"))]
    Process {
        /// Why not.
        source: FleetError,
    },
    /// A server can't be started.
    #[snafu(display("can't start a server: {source}"))]
    Server {
        /// Why not.
        source: std::io::Error,
    },
    /// The fleet never served.
    #[snafu(display("the fleet did not serve within {SERVING_PATIENCE:?} of its start"))]
    NeverServed,
}

/// Runs a soak.
///
/// # Errors
/// [`SoakError`] when it can't be made; broken promises are in the tally.
pub async fn run(options: SoakOptions) -> Result<Tally, SoakError> {
    let regions = match options.broken {
        _ if !options.has_regions => KnownRegions::None,
        Some(Broken::ConfusesRegions) => KnownRegions::Wrong,
        _ => KnownRegions::Right,
    };
    let knowledge = NodeKnowledge {
        regions,
        shares_suspects: options.broken != Some(Broken::KeepsSuspectsToItself),
        machine: MachineLimits::default(),
    };
    let fleet = Fleet::start(&options.program, &options.folder, options.size, knowledge);
    let fleet = fleet.context(ProcessSnafu)?;
    let world = Rc::new(World::new(&fleet, &options));
    if options.limits_warm_up {
        let mut ledger = world.ledger.borrow_mut();
        ledger.set_warm_up_limit(WARM_UP_LIMIT);
    }
    let fleet = Rc::new(RefCell::new(fleet));
    let tending = actix_rt::spawn(tend(world.clone(), fleet.clone()));
    let mut run = Run {
        servers: Vec::new(),
        servers_started: 0,
        routing_version: 1,
        evacuations: Vec::new(),
        evacuating: Rc::default(),
        world: world.clone(),
        fleet: fleet.clone(),
        options,
    };
    run.prepare().await?;
    let callers = run.start_callers();
    let conversations = run.start_conversations();
    run.bring_faults_about().await?;
    run.wait_until_opened().await;
    run.wait_until_whole().await;
    run.check_that_all_serve().await;
    world.end();
    for caller in callers {
        if caller.await.is_err() {
            log::error!("a caller ended early");
        }
    }
    for conversation in conversations {
        match conversation.await {
            Ok((caller, conversation)) => run.check_that_it_goes_on(caller, conversation).await,
            Err(_) => log::error!("a conversation ended early"),
        }
    }
    tending.abort();
    let fleet = fleet.borrow();
    let mut ledger = world.ledger.borrow_mut();
    if world.has_regions() {
        for detail in stored_elsewhere(&fleet) {
            ledger.note_violation(Promise::StoredRegion, detail);
        }
    }
    ledger.note_absences(fleet.absences(), fleet.members(Role::Controller));
    Ok(ledger.judge())
}

/// The stores whose files contain what is restricted to another region.
fn stored_elsewhere(fleet: &Fleet) -> Vec<String> {
    let stores = fleet.members(Role::Store).into_iter();
    let found = stores.flat_map(|store| {
        let (zone, folder) = fleet.place(store);
        let regions = REGIONS.into_iter();
        let others = regions.filter(move |region| *region != region_of(zone));
        others.filter_map(move |region| {
            let file = file_with(folder, marker(region).as_bytes())?;
            Some(format!(
                "{} of a store in zone {zone} holds a turn for {region} alone",
                file.display()
            ))
        })
    });
    found.collect()
}

/// A file below a folder that contains some bytes.
fn file_with(folder: &Path, wanted: &[u8]) -> Option<PathBuf> {
    let entries = std::fs::read_dir(folder).ok()?;
    let mut paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
    paths.find_map(|path| {
        if path.is_dir() {
            return file_with(&path, wanted);
        }
        let bytes = std::fs::read(&path).ok()?;
        let mut windows = bytes.windows(wanted.len());
        windows.any(|window| window == wanted).then_some(path)
    })
}

/// Starts processes again that ended, and notes those that did so by themselves.
async fn tend(world: Rc<World>, fleet: Rc<RefCell<Fleet>>) {
    loop {
        sleep(TEND_INTERVAL).await;
        let tended = fleet.borrow_mut().tend();
        let mut ledger = world.ledger.borrow_mut();
        match tended {
            Ok(ended) => {
                for ended in ended {
                    let detail = format!(
                        "{} ended with {}: {}",
                        ended.name, ended.status, ended.reason
                    );
                    ledger.note_violation(Promise::StaysUp, detail);
                }
            }
            Err(error) => ledger.note_violation(Promise::StaysUp, error.to_string()),
        }
    }
}

struct Run {
    options: SoakOptions,
    world: Rc<World>,
    fleet: Rc<RefCell<Fleet>>,
    servers: Vec<Rc<SoakServer>>,
    servers_started: u64,
    routing_version: u64,
    evacuations: Vec<JoinHandle<()>>,
    /// Zones that are evacuated, or were until recently.
    evacuating: Rc<RefCell<BTreeSet<String>>>,
}

impl Run {
    async fn prepare(&mut self) -> Result<(), SoakError> {
        self.world.put_routing_in_force(self.routing_version).await;
        for _ in 0..self.options.servers {
            self.start_server(FIRST_VERSION).await?;
        }
        let seed = self.options.seed;
        let mut probe = Caller::new(self.world.clone(), usize::MAX, seed);
        let began = Instant::now();
        for gateway in self.world.gateways() {
            while !probe.is_served_by(*gateway).await {
                if began.elapsed() > SERVING_PATIENCE {
                    return NeverServedSnafu.fail();
                }
                sleep(SERVING_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn start_server(&mut self, version: u32) -> Result<(), SoakError> {
        self.servers_started += 1;
        let id = format!("server-{}", self.servers_started);
        let seed = self.options.seed.wrapping_add(self.servers_started);
        let zone = zone_at(self.servers_started as usize - 1);
        let server = SoakServer::start(self.world.clone(), id, version, zone, seed).await;
        let server = server.context(ServerSnafu)?;
        if self.options.limits_warm_up {
            server.cool();
        }
        self.servers.push(server);
        Ok(())
    }

    fn start_callers(&self) -> Vec<actix_rt::task::JoinHandle<()>> {
        let callers = 0..self.options.callers;
        callers
            .map(|number| {
                let caller = Caller::new(self.world.clone(), number, self.options.seed);
                actix_rt::spawn(caller.run())
            })
            .collect()
    }

    fn start_conversations(&self) -> Vec<actix_rt::task::JoinHandle<(Caller, Conversation)>> {
        let SoakOptions {
            callers,
            long_conversations,
            seed,
            ..
        } = self.options;
        let numbers = callers..callers + long_conversations;
        numbers
            .map(|number| {
                let caller = Caller::new(self.world.clone(), number, seed);
                actix_rt::spawn(caller.converse())
            })
            .collect()
    }

    async fn bring_faults_about(&mut self) -> Result<(), SoakError> {
        let began = Instant::now();
        let faults = self.options.faults.clone();
        let SoakOptions {
            seed,
            how_long,
            size,
            has_releases,
            ..
        } = self.options;
        let faults = faults.unwrap_or_else(|| {
            let roles = size.roles();
            if has_releases {
                plan_with_releases(seed, how_long, &roles)
            } else {
                plan(seed, how_long, &roles)
            }
        });
        for Fault { at, kind } in faults {
            tokio::time::sleep_until(began + at).await;
            log::info!("{at:?}: {kind:?}");
            self.bring_about(kind).await?;
        }
        Ok(())
    }

    async fn bring_about(&mut self, kind: FaultKind) -> Result<(), SoakError> {
        match kind {
            FaultKind::Stop { member, away } => self.stop(member, away),
            FaultKind::StopInTurn { role, gap } => {
                let members = self.fleet.borrow().members(role);
                let fleet = self.fleet.clone();
                let world = self.world.clone();
                actix_rt::spawn(async move {
                    for member in members {
                        stop(&world, &fleet, member, Duration::ZERO);
                        sleep(gap).await;
                    }
                });
            }
            FaultKind::Kill { member, away } => self.kill(member, away),
            FaultKind::KillAll { role, away } => {
                let members = self.fleet.borrow().members(role);
                for member in members {
                    self.kill(member, away);
                }
            }
            FaultKind::KillFleet { away } => {
                for member in 0..self.options.size.roles().len() {
                    self.kill(member, away);
                }
            }
            FaultKind::Pause { member, how_long } => self.pause(member, how_long),
            FaultKind::Freeze { members, how_long } => {
                for member in members {
                    self.pause(member, how_long);
                }
            }
            FaultKind::Evacuate { zone, how_long } => self.evacuate(zone, how_long),
            FaultKind::Reload { member } => self.fleet.borrow_mut().reload(member),
            FaultKind::Wipe { member } => {
                self.disturb(member, AFTERMATH);
                self.fleet.borrow_mut().wipe(member, Duration::ZERO);
            }
            FaultKind::ChangeRouting => {
                self.routing_version += 1;
                let version = self.routing_version;
                let world = self.world.clone();
                actix_rt::spawn(async move { world.put_routing_in_force(version).await });
            }
            FaultKind::ReplaceServer => {
                let version = self.servers[0].version();
                self.replace_server(version).await?;
            }
            FaultKind::UpgradeServer { version } => self.replace_server(version).await?,
        }
        Ok(())
    }

    /// Starts a server of a software version, and lets the oldest one leave.
    async fn replace_server(&mut self, version: u32) -> Result<(), SoakError> {
        self.start_server(version).await?;
        let oldest = self.servers.remove(0);
        actix_rt::spawn(oldest.leave());
        Ok(())
    }

    fn stop(&self, member: usize, away: Duration) {
        stop(&self.world, &self.fleet, member, away);
    }

    fn kill(&self, member: usize, away: Duration) {
        if self.fleet.borrow_mut().kill(member, away) {
            self.disturb(member, away + AFTERMATH);
        }
    }

    fn pause(&self, member: usize, how_long: Duration) {
        if !self.fleet.borrow_mut().pause(member) {
            return;
        }
        self.disturb(member, how_long + AFTERMATH);
        let fleet = self.fleet.clone();
        actix_rt::spawn(async move {
            sleep(how_long).await;
            fleet.borrow_mut().resume(member);
        });
    }

    /// Evacuates a zone, unless it is or was so until recently.
    fn evacuate(&mut self, zone: String, how_long: Duration) {
        if !self.evacuating.borrow_mut().insert(zone.clone()) {
            return;
        }
        let world = self.world.clone();
        let evacuating = self.evacuating.clone();
        let servers = self.servers.iter();
        let servers: Vec<Rc<SoakServer>> = servers
            .filter(|server| server.zone() == zone)
            .cloned()
            .collect();
        let evacuation = async move {
            world.set_evacuated(&zone, true).await;
            world
                .ledger
                .borrow_mut()
                .note_evacuated(&zone, Instant::now());
            sleep(how_long).await;
            if world.limits_warm_up() {
                for server in servers {
                    server.cool();
                }
            }
            world.ledger.borrow_mut().note_opened(&zone);
            world.set_evacuated(&zone, false).await;
            actix_rt::spawn(async move {
                sleep(EVACUATION_PAUSE).await;
                evacuating.borrow_mut().remove(&zone);
            });
        };
        self.evacuations.push(actix_rt::spawn(evacuation));
    }

    /// Waits until no zone is evacuated any more.
    async fn wait_until_opened(&mut self) {
        for evacuation in std::mem::take(&mut self.evacuations) {
            if evacuation.await.is_err() {
                let detail = "an evacuation ended early".to_owned();
                self.violation(Promise::ComesBack, detail);
            }
        }
    }

    fn disturb(&self, member: usize, how_long: Duration) {
        disturb(&self.world, &self.fleet, member, how_long);
    }

    async fn wait_until_whole(&self) {
        let began = Instant::now();
        while !self.fleet.borrow().is_whole() {
            if began.elapsed() > SERVING_PATIENCE {
                let detail = "not every process runs after the faults".to_owned();
                self.violation(Promise::ComesBack, detail);
                return;
            }
            sleep(SERVING_INTERVAL).await;
        }
    }

    async fn check_that_all_serve(&self) {
        let mut probe = Caller::new(self.world.clone(), usize::MAX - 1, self.options.seed);
        let began = Instant::now();
        for gateway in self.world.gateways() {
            while !probe.is_served_by(*gateway).await {
                if began.elapsed() > SERVING_PATIENCE {
                    let detail = format!("gateway {gateway} does not serve after the faults");
                    self.violation(Promise::ComesBack, detail);
                    return;
                }
                sleep(SERVING_INTERVAL).await;
            }
        }
    }

    /// Checks that a conversation goes on, if its last turn must still be known.
    async fn check_that_it_goes_on(&self, mut caller: Caller, mut conversation: Conversation) {
        let Some(last) = conversation.last_kept_turn().map(str::to_owned) else {
            return;
        };
        if !caller.goes_on(&mut conversation, GOES_ON_PATIENCE).await {
            let detail =
                format!("no turn that continues {last} was answered in {GOES_ON_PATIENCE:?}");
            self.violation(Promise::GoesOn, detail);
        }
    }

    fn violation(&self, promise: Promise, detail: String) {
        self.world
            .ledger
            .borrow_mut()
            .note_violation(promise, detail);
    }
}

/// Asks a member to stop. A store that stops is a disturbance for turns; a gateway must not be one.
fn stop(world: &World, fleet: &RefCell<Fleet>, member: usize, away: Duration) {
    if fleet.borrow().role(member) == Role::Store {
        disturb(world, fleet, member, away + AFTERMATH);
    }
    fleet.borrow_mut().stop(member, away);
}

/// Notes what a fault may be the cause of from now on.
fn disturb(world: &World, fleet: &RefCell<Fleet>, member: usize, how_long: Duration) {
    let what = match fleet.borrow().role(member) {
        Role::Gateway => Disturbed::Gateway(member),
        // Without controllers no other store takes the place of one that fell.
        Role::Store | Role::Controller => Disturbed::Stores,
    };
    let now = Instant::now();
    let mut ledger = world.ledger.borrow_mut();
    ledger.note_disturbed(what, now, now + how_long);
}

/// The logs of a run's processes that say something worse than usual, for a report.
///
/// # Errors
/// What the system says when the folder can't be read.
pub fn warnings(folder: &Path) -> std::io::Result<Vec<String>> {
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let text = std::fs::read_to_string(&path)?;
            let errors = text
                .lines()
                .filter(|line| line.contains("\"level\":\"ERROR\"") || line.contains("panicked"));
            lines.extend(errors.map(str::to_owned));
        }
    }
    Ok(lines)
}
