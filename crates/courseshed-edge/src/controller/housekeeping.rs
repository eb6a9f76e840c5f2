//! What the leader does unasked: drops silent servers, and moves the records' replicas along.

use std::time::Duration;

use courseshed_records::{ViewPlan, plan_view};
use courseshed_registry::{Command, FleetState, Liveness, LivenessSettings, Retirement};
use courseshed_types::NodeId;

/// How often the leader looks.
pub(super) const INTERVAL: Duration = Duration::from_millis(150);
/// Silence after which another machine may take a machine's place.
pub(super) const NODE_SILENCE: Duration = Duration::from_secs(3);

/// The leader's soft state. A new leader starts with none.
pub(super) struct Housekeeper {
    pub liveness: Liveness,
    replicas_wanted: usize,
    caught_up: Vec<(NodeId, u64)>,
}

impl Housekeeper {
    pub(super) fn new(server_silence: Duration, disks_borne: usize, now: Duration) -> Self {
        let settings = LivenessSettings {
            server_silence,
            node_silence: NODE_SILENCE,
        };
        Self {
            liveness: Liveness::new(settings, now),
            replicas_wanted: replicas_wanted(disks_borne),
            caught_up: Vec::new(),
        }
    }

    pub(super) fn note_caught_up(&mut self, node: NodeId, incarnation: u64) {
        self.caught_up.push((node, incarnation));
    }

    /// The commands that are due.
    pub(super) fn due(&mut self, now: Duration, state: &FleetState) -> Vec<Command> {
        let mut commands = Vec::new();
        self.liveness.observe(now, state);
        let servers = self.liveness.silent_servers(now, state);
        if !servers.is_empty() {
            log::info!(event = "servers_expired", servers:? = servers; "servers were silent for too long");
            commands.push(Command::Expire { servers });
        }
        let caught_up = std::mem::take(&mut self.caught_up);
        let activated = caught_up
            .iter()
            .find_map(|(node, incarnation)| state.view().activate(*node, *incarnation));
        let silent = self.liveness.silent_stores(now, state);
        let retiring = state.retiring();
        let plan = ViewPlan {
            view: state.view(),
            stores: state.stores(),
            silent: &silent,
            retiring: &retiring,
            wanted: self.replicas_wanted,
        };
        if let Some(view) = activated.or_else(|| plan_view(&plan)) {
            log::info!(event = "record_view_planned", epoch = view.epoch, members:? = view.members; "the replicas of the records are to change");
            commands.push(Command::ChangeRecordView(view));
        }
        commands.extend(self.completed(state));
        commands
    }

    /// Machines to be emptied that hold nothing that counts any more.
    fn completed(&self, state: &FleetState) -> Option<Command> {
        let all_active = state.view().members.iter().all(|member| member.active);
        let done = state
            .retirements()
            .filter(|(_, retirement)| *retirement == Retirement::Running)
            .map(|(node, _)| node)
            .find(|node| state.view().member(*node).is_none())?;
        all_active.then_some(Command::CompleteRetirement { node: done })
    }
}

/// Replicas of each record: a majority is left when so many disks are lost.
#[must_use]
pub fn replicas_wanted(disks_borne: usize) -> usize {
    (2 * disks_borne + 1).max(3)
}
