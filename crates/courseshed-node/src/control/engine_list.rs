//! The engines that exist, from the settings file and from the platform's list, as the leading controller tells them.
//!
//! The platform's list lags and may be out of reach. What it says of an engine's state overrides the settings file;
//! an engine of the file that it does not name keeps the state it has, since the list may merely be late; an engine
//! that only the list names comes and goes with it. While the list can't be read, nothing changes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use awc::Client;
use courseshed_settings::{NodeSettings, node::EngineEntry};
use courseshed_types::{
    EngineId,
    control::ControlRequest,
    dispatch::{EngineMember, EngineState},
    engine::EngineDirectory,
};

use crate::context::NodeContext;

/// Longest wait for the platform's list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest list that is read, in bytes.
const LIST_LIMIT: usize = 16 << 20;
/// Longest wait for the controllers.
const PATIENCE: Duration = Duration::from_secs(2);

/// Tells the engines while this node's controller leads.
pub struct EngineList {
    context: Arc<NodeContext>,
    http: Client,
    /// What this leadership told last.
    told: Option<Vec<EngineMember>>,
    /// States as the platform's list named them last.
    states: BTreeMap<EngineId, EngineState>,
    list_fails: bool,
}

impl EngineList {
    /// Runs until the node ends.
    pub async fn run(context: Arc<NodeContext>) {
        let interval = context.settings.timeouts.members_poll;
        let mut list = EngineList {
            context,
            http: Client::builder().timeout(LIST_TIMEOUT).finish(),
            told: None,
            states: BTreeMap::new(),
            list_fails: false,
        };
        loop {
            list.look().await;
            tokio::time::sleep(interval).await;
        }
    }

    async fn look(&mut self) {
        let controller = self.context.control.controller();
        let leads = controller.is_some_and(|controller| controller.leads);
        let in_force = !self.context.view.policy().snapshot.branches.is_empty();
        if !leads || !in_force {
            self.told = None;
            return;
        }
        let Some(listed) = self.read_list().await else {
            return;
        };
        if self.told.is_none() {
            self.states = self.states_before();
        }
        let listed_states = listed
            .iter()
            .map(|member| (member.engine.clone(), member.state));
        self.states.extend(listed_states);
        let engines = merge(&self.context.settings, &listed, &self.states);
        if self.told.as_ref() == Some(&engines) {
            return;
        }
        let request = ControlRequest::SetEngines(engines.clone());
        let asked = self
            .context
            .control_client
            .ask(&self.context, request, PATIENCE);
        match asked.await {
            Ok(_) => self.told = Some(engines),
            Err(error) => log::warn!("the list of engines was not taken: {error}"),
        }
    }

    /// The states that an earlier leader took from the list, as far as the member map knows.
    fn states_before(&self) -> BTreeMap<EngineId, EngineState> {
        if self.context.settings.members_url.is_none() {
            return BTreeMap::new();
        }
        let map = self.context.view.map();
        let engines = map.engines.engines.iter();
        engines
            .map(|member| (member.engine.clone(), member.state))
            .collect()
    }

    /// The platform's list, empty where the settings name none; none if it can't be read now.
    async fn read_list(&mut self) -> Option<Vec<EngineMember>> {
        let Some(url) = &self.context.settings.members_url else {
            return Some(Vec::new());
        };
        let read = fetch(&self.http, url).await;
        let fails = read.is_err();
        if fails != self.list_fails {
            self.list_fails = fails;
            match &read {
                Ok(_) => log::info!("the platform's list of engines can be read again"),
                Err(error) => log::warn!("the platform's list of engines can't be read: {error}"),
            }
        }
        read.ok().map(|directory| directory.engines)
    }
}

async fn fetch(http: &Client, url: &str) -> Result<EngineDirectory, String> {
    let sent = http.get(url).send().await;
    let mut response = sent.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("HTTP {}", response.status()));
    }
    let body = response.json().limit(LIST_LIMIT).await;
    body.map_err(|error| error.to_string())
}

/// The engines by id; see the module for the rules.
pub(super) fn merge(
    settings: &NodeSettings,
    listed: &[EngineMember],
    states: &BTreeMap<EngineId, EngineState>,
) -> Vec<EngineMember> {
    let configured = settings.engines.iter().map(|entry| {
        let state = states.get(&entry.id).copied();
        (entry.id.clone(), configured(entry, state))
    });
    let mut engines: BTreeMap<EngineId, EngineMember> = configured.collect();
    for member in listed {
        let mut member = member.clone();
        if let Some(entry) = engines.get(&member.engine)
            && member.models.is_empty()
        {
            member.models = entry.models.clone();
        }
        engines.insert(member.engine.clone(), member);
    }
    engines.into_values().collect()
}

fn configured(entry: &EngineEntry, known: Option<EngineState>) -> EngineMember {
    EngineMember {
        engine: entry.id.clone(),
        address: entry.address.to_string(),
        region: entry.region.clone(),
        zone: entry.zone.clone(),
        models: entry.models.clone(),
        state: known.unwrap_or(EngineState::Live),
    }
}
