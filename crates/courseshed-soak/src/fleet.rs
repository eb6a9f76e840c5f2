//! The processes of the fleet: started, signalled by id, and started again.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use snafu::{ResultExt, Snafu};
use tokio::time::Instant;

use crate::loopback::{Subnet, free_ports};
use crate::node::{CALLERS_PORT, OPERATOR_PORT, Role};
use crate::zones::zone_at;

/// How long a process that was asked to stop may take before it is killed: its grace and a little.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// Lines that tell why a process ended whose log contains no error.
const LAST_LINES: usize = 3;

/// How many processes there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Gateways.
    pub gateways: usize,
    /// Stores.
    pub stores: usize,
    /// Controllers.
    pub controllers: usize,
}

impl FleetSize {
    /// The roles of the members, by their places in the fleet.
    #[must_use]
    pub fn roles(self) -> Vec<Role> {
        let roles = [
            (Role::Controller, self.controllers),
            (Role::Store, self.stores),
            (Role::Gateway, self.gateways),
        ];
        let roles = roles.into_iter();
        roles
            .flat_map(|(role, count)| std::iter::repeat_n(role, count))
            .collect()
    }
}

/// A process can't be started.
#[derive(Debug, Snafu)]
#[snafu(display("can't {operation}: {source}"))]
pub struct FleetError {
    operation: &'static str,
    source: io::Error,
}

/// Whether a process was asked to end, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Planned { since: Instant },
    Killed,
}

struct Member {
    role: Role,
    ip: Ipv4Addr,
    zone: &'static str,
    folder: PathBuf,
    child: Option<Child>,
    lives: u64,
    ending: Option<Ending>,
    is_paused: bool,
    restart_at: Option<Instant>,
    restart_gap: Duration,
    /// Since when it is stopping, gone or paused.
    absent_since: Option<Instant>,
}

/// When a member was stopping, gone or paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Its place in the fleet.
    pub member: usize,
    /// From when.
    pub from: Instant,
    /// To when.
    pub to: Instant,
}

/// How the processes know zones and regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownRegions {
    /// They know of none.
    None,
    /// They know them as they are.
    Right,
    /// They take each zone for one of the other region, as a broken variant.
    Wrong,
}

/// A process that ended by itself.
#[derive(Debug)]
pub struct EndedByItself {
    /// Which one.
    pub name: String,
    /// How.
    pub status: ExitStatus,
    /// The last error in its log, or its last lines if there is none.
    pub reason: String,
}

/// Resources of the machine of each process.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineLimits {
    /// Memory in bytes; `None` for the default of [`crate::node`].
    pub memory_bytes: Option<u64>,
    /// File descriptors that a process may open; `None` for those of this process.
    pub descriptors: Option<u32>,
}

/// What the processes know of each other and of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct NodeKnowledge {
    /// The regions of the zones.
    pub regions: KnownRegions,
    /// Whether gateways tell each other under which requests servers ended.
    pub shares_suspects: bool,
    /// Their machines.
    pub machine: MachineLimits,
}

/// The processes of one run. Dropping it kills those that still run.
pub struct Fleet {
    program: PathBuf,
    /// Held for as long as the fleet runs.
    _subnet: Subnet,
    first_port: u16,
    knowledge: NodeKnowledge,
    members: Vec<Member>,
    absences: Vec<Absence>,
}

impl Fleet {
    /// Starts a fleet of a program's processes, with their files in a folder. All of them run the program
    /// as it is now, in their later lives too.
    ///
    /// # Errors
    /// [`FleetError`] when a process can't be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        size: FleetSize,
        knowledge: NodeKnowledge,
    ) -> Result<Self, FleetError> {
        let subnet = Subnet::reserve().context(FleetSnafu {
            operation: "reserve addresses",
        })?;
        let mut members = Vec::new();
        let roles = [
            (Role::Controller, size.controllers),
            (Role::Store, size.stores),
            (Role::Gateway, size.gateways),
        ];
        for (role, count) in roles {
            for place in 0..count {
                let ip = subnet.host(members.len()).context(FleetSnafu {
                    operation: "find an address for each process",
                })?;
                members.push(Member {
                    role,
                    ip,
                    zone: zone_at(place),
                    folder: folder.join(format!("{}-{place}", role.as_str())),
                    child: None,
                    lives: 0,
                    ending: None,
                    is_paused: false,
                    restart_at: None,
                    restart_gap: Duration::ZERO,
                    absent_since: None,
                });
            }
        }
        let hosts: Vec<Ipv4Addr> = members.iter().map(|member| member.ip).collect();
        let mut fleet = Self {
            program: keep_program(program, folder).context(FleetSnafu {
                operation: "keep the program",
            })?,
            _subnet: subnet,
            first_port: free_ports(&hosts).context(FleetSnafu {
                operation: "find free ports",
            })?,
            knowledge,
            members,
            absences: Vec::new(),
        };
        for index in 0..fleet.members.len() {
            fleet.spawn(index)?;
        }
        Ok(fleet)
    }

    /// The members of a role, by their places in the fleet.
    #[must_use]
    pub fn members(&self, role: Role) -> Vec<usize> {
        let members = self.members.iter().enumerate();
        members
            .filter(|(_, member)| member.role == role)
            .map(|(index, _)| index)
            .collect()
    }

    /// What a member does.
    #[must_use]
    pub fn role(&self, index: usize) -> Role {
        self.members[index].role
    }

    /// The zone and the folder of a member.
    #[must_use]
    pub fn place(&self, index: usize) -> (&'static str, &Path) {
        let member = &self.members[index];
        (member.zone, &member.folder)
    }

    /// When members were stopping, gone or paused, to now.
    #[must_use]
    pub fn absences(&self) -> Vec<Absence> {
        let mut absences = self.absences.clone();
        let to = Instant::now();
        let open = self.members.iter().enumerate();
        absences.extend(open.filter_map(|(member, state)| {
            let from = state.absent_since?;
            Some(Absence { member, from, to })
        }));
        absences
    }

    fn end_absence(&mut self, member: usize) {
        if let Some(from) = self.members[member].absent_since.take() {
            let to = Instant::now();
            self.absences.push(Absence { member, from, to });
        }
    }

    /// Where callers connect to a gateway.
    #[must_use]
    pub fn callers_address(&self, index: usize) -> SocketAddr {
        self.address(index, CALLERS_PORT)
    }

    /// The address of a port of a member, counted from the first port of its machine.
    #[must_use]
    pub fn address(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::from((self.members[index].ip, self.first_port + port))
    }

    /// The id of a member's process; `None` if it doesn't run.
    #[must_use]
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.members[index].child.as_ref().map(Child::id)
    }

    /// Where operators connect to the controllers.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let controllers = self.members(Role::Controller).into_iter();
        controllers
            .map(|index| self.address(index, OPERATOR_PORT))
            .collect()
    }

    /// Asks a member to stop; it is started again after a gap.
    pub fn stop(&mut self, index: usize, gap: Duration) {
        let since = Instant::now();
        let member = &mut self.members[index];
        if member.ending.is_none() && member.signal(Signal::TERM) {
            member.ending = Some(Ending::Planned { since });
            member.absent_since.get_or_insert(since);
            member.restart_gap = gap;
        }
    }

    /// Kills a member; it is started again after a gap. False if it didn't run.
    pub fn kill(&mut self, index: usize, gap: Duration) -> bool {
        let member = &mut self.members[index];
        let was_running = member.signal(Signal::KILL);
        if was_running {
            member.ending = Some(Ending::Killed);
            member.is_paused = false;
            member.restart_gap = gap;
            member.absent_since.get_or_insert_with(Instant::now);
        }
        was_running
    }

    /// Pauses a member. False if it didn't run.
    pub fn pause(&mut self, index: usize) -> bool {
        let member = &mut self.members[index];
        let is_paused = !member.is_paused && member.signal(Signal::STOP);
        if is_paused {
            member.is_paused = true;
            member.absent_since.get_or_insert_with(Instant::now);
        }
        is_paused
    }

    /// Lets a paused member go on.
    pub fn resume(&mut self, index: usize) {
        let member = &mut self.members[index];
        if member.is_paused {
            member.signal(Signal::CONT);
            member.is_paused = false;
            // A member that was asked to stop meanwhile stays absent until it is started again.
            if member.ending.is_none() {
                self.end_absence(index);
            }
        }
    }

    /// Tells a member that its settings may have changed.
    pub fn reload(&mut self, index: usize) {
        self.members[index].signal(Signal::HUP);
    }

    /// Kills a store and empties its disk.
    pub fn wipe(&mut self, index: usize, gap: Duration) -> bool {
        let was_running = self.kill(index, gap);
        let member = &mut self.members[index];
        if let Some(child) = &mut member.child {
            // Its files must not be written any more.
            let _ended = child.wait();
        }
        let folder = &self.members[index].folder;
        was_running && std::fs::remove_dir_all(folder).is_ok()
    }

    /// Notes processes that ended, and starts those again whose gap is over. Returns those that ended by
    /// themselves.
    ///
    /// # Errors
    /// [`FleetError`] when a process can't be started.
    pub fn tend(&mut self) -> Result<Vec<EndedByItself>, FleetError> {
        let now = Instant::now();
        let mut ended = Vec::new();
        for index in 0..self.members.len() {
            let member = &mut self.members[index];
            member.kill_if_overdue(now);
            let exited = member
                .child
                .as_mut()
                .and_then(|child| child.try_wait().ok());
            if let Some(Some(status)) = exited {
                if member.ending.is_none() {
                    ended.push(EndedByItself {
                        name: member.name(),
                        status,
                        reason: member.last_error(),
                    });
                }
                member.child = None;
                member.ending = None;
                member.is_paused = false;
                member.absent_since.get_or_insert(now);
                member.restart_at = Some(now + member.restart_gap);
            }
            if member.restart_at.is_some_and(|at| at <= now) {
                self.spawn(index)?;
            }
        }
        Ok(ended)
    }

    /// Whether every process runs and none is about to end.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let mut members = self.members.iter();
        members.all(|member| member.child.is_some() && member.ending.is_none() && !member.is_paused)
    }

    fn spawn(&mut self, index: usize) -> Result<(), FleetError> {
        let seeds: Vec<String> = self
            .members
            .iter()
            .filter(|member| member.role == Role::Controller)
            .map(|member| member.ip.to_string())
            .collect();
        let member = &mut self.members[index];
        let is_first = member.lives == 0;
        let log = File::create(member.log(member.lives)).context(FleetSnafu {
            operation: "create a log",
        })?;
        let errors = log.try_clone().context(FleetSnafu {
            operation: "share a log",
        })?;
        let machine = self.knowledge.machine;
        let mut command = program_command(&self.program, machine.descriptors);
        command
            .arg("node")
            .args(["--role", member.role.as_str()])
            .args(["--ip", &member.ip.to_string()])
            .args(["--zone", member.zone])
            .args(["--seeds", &seeds.join(",")])
            .args(["--first-port", &self.first_port.to_string()])
            .arg("--folder")
            .arg(&member.folder)
            .stdout(log)
            .stderr(errors);
        if is_first {
            command.arg("--first-start");
        }
        if let Some(memory) = machine.memory_bytes {
            command.args(["--memory", &memory.to_string()]);
        }
        if !self.knowledge.shares_suspects {
            command.arg("--keeps-suspects");
        }
        match self.knowledge.regions {
            KnownRegions::None => {}
            KnownRegions::Right => {
                command.args(["--regions", "right"]);
            }
            KnownRegions::Wrong => {
                command.args(["--regions", "wrong"]);
            }
        }
        let child = command.spawn().context(FleetSnafu {
            operation: "start a process",
        })?;
        member.child = Some(child);
        member.lives += 1;
        member.restart_at = None;
        self.end_absence(index);
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for member in &mut self.members {
            if let Some(child) = &mut member.child {
                let _killed = child.kill();
                let _ended = child.wait();
            }
        }
    }
}

impl Member {
    fn name(&self) -> String {
        format!("{} {}", self.role.as_str(), self.ip)
    }

    /// The log of one of its lives, counted from 0.
    fn log(&self, life: u64) -> PathBuf {
        self.folder.with_extension(format!("{life}.log"))
    }

    fn last_error(&self) -> String {
        match std::fs::read_to_string(self.log(self.lives.saturating_sub(1))) {
            Ok(log) => last_error_of(&log),
            Err(error) => format!("its log can't be read: {error}"),
        }
    }

    /// Sends a signal; false if the process doesn't run.
    fn signal(&mut self, signal: Signal) -> bool {
        let Some(child) = &self.child else {
            return false;
        };
        let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        id.is_some_and(|id| kill_process(id, signal).is_ok())
    }

    fn kill_if_overdue(&mut self, now: Instant) {
        if let Some(Ending::Planned { since }) = self.ending
            && now.saturating_duration_since(since) > STOP_LIMIT
        {
            self.signal(Signal::KILL);
        }
    }
}

/// A command that runs a program, with a limit on its descriptors if there is one.
fn program_command(program: &Path, descriptors: Option<u32>) -> Command {
    let Some(descriptors) = descriptors else {
        return Command::new(program);
    };
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", "ulimit -n \"$0\" && exec \"$@\""])
        .arg(descriptors.to_string())
        .arg(program);
    command
}

/// The last error in a log: an `ERROR` line, or a panic with its message on the next line. Without one the
/// last lines, since what a process writes before it logs has no level.
fn last_error_of(log: &str) -> String {
    let lines: Vec<&str> = log.lines().filter(|line| !line.is_empty()).collect();
    let is_panic = |line: &str| line.contains("panicked");
    let is_error = |line: &&str| line.contains("\"level\":\"ERROR\"") || is_panic(line);
    let Some(place) = lines.iter().rposition(is_error) else {
        return lines[lines.len().saturating_sub(LAST_LINES)..].join(" ");
    };
    let end = if is_panic(lines[place]) {
        place + 2
    } else {
        place + 1
    };
    lines[place..end.min(lines.len())].join(" ")
}

/// Links a program into a fleet's folder, so that a build which replaces the file meanwhile doesn't change
/// what is started next.
fn keep_program(program: &Path, folder: &Path) -> io::Result<PathBuf> {
    let program = program.canonicalize()?;
    let kept = folder.join("program");
    match std::fs::hard_link(&program, &kept) {
        Err(error) if error.kind() == io::ErrorKind::CrossesDevices => {
            std::fs::copy(&program, &kept)?;
        }
        linked => linked?,
    }
    Ok(kept)
}
