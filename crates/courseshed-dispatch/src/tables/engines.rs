//! Engines of a pool: directory entry, last load report, and the dispatcher's own accounting.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use courseshed_types::{
    CallId, EngineId, ModelName, ProgramId, Timestamp, Tokens,
    dispatch::{EngineLoad, EngineMember, EngineState},
};

use crate::config::DispatcherConfig;

/// A load report and its arrival time.
#[derive(Debug, Clone)]
pub(crate) struct LoadReport {
    pub(crate) load: EngineLoad,
    pub(crate) at: Timestamp,
}

/// Failure and ejection state of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Health {
    /// Consecutive failures.
    pub(crate) failures: u32,
    /// Ejections since the last success.
    pub(crate) ejections: u32,
    /// End of the current ejection.
    pub(crate) ejected_until: Option<Timestamp>,
    /// Whether an ejection has ended but no call has succeeded since.
    pub(crate) is_probing: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct EngineEntry {
    pub(crate) member: EngineMember,
    pub(crate) report: Option<LoadReport>,
    pub(crate) health: Health,
    /// Start of slow start; `None` once the engine takes its full batch.
    pub(crate) slow_start_since: Option<Timestamp>,
    /// Calls of this dispatcher in flight on the engine.
    pub(crate) in_flight: u32,
    /// Those calls, counted by the priority sent to the engine.
    by_priority: BTreeMap<i32, u32>,
    /// KV memory those calls are expected to use.
    pub(crate) memory: Tokens,
    /// Peaks of `in_flight` since the last report and in the interval before it.
    pub(crate) in_flight_peaks: [u32; 2],
    /// KV memory held by leases of paused programs, as tracked by this dispatcher.
    pub(crate) leased: Tokens,
    /// Programs with a lease on the engine.
    pub(crate) leased_programs: BTreeSet<ProgramId>,
    /// Calls parked for the engine because it caches their prefix.
    pub(crate) parked: BTreeSet<CallId>,
    /// Number of the last cache event received.
    pub(crate) last_event: Option<u64>,
}

impl EngineEntry {
    pub(crate) fn new(member: EngineMember) -> EngineEntry {
        EngineEntry {
            member,
            report: None,
            health: Health::default(),
            slow_start_since: None,
            in_flight: 0,
            by_priority: BTreeMap::new(),
            memory: Tokens::ZERO,
            in_flight_peaks: [0; 2],
            leased: Tokens::ZERO,
            leased_programs: BTreeSet::new(),
            parked: BTreeSet::new(),
            last_event: None,
        }
    }

    /// Whether the engine takes no new calls, according to the directory or its own report.
    pub(crate) fn is_leaving(&self) -> bool {
        let reports_leaving = |report: &LoadReport| report.load.leaving;
        self.member.state != EngineState::Live || self.report.as_ref().is_some_and(reports_leaving)
    }

    /// Whether the engine accepts new calls for the model.
    pub(crate) fn accepts_calls(&self, now: Timestamp, model: &ModelName) -> bool {
        let ejected = self.health.ejected_until.is_some_and(|until| now < until);
        self.member.state == EngineState::Live && !ejected && self.serves(model)
    }

    fn serves(&self, model: &ModelName) -> bool {
        match &self.report {
            Some(report) if report.load.leaving => false,
            Some(report) if !report.load.models.is_empty() => report.load.models.contains(model),
            _ => self.member.models.contains(model),
        }
    }

    /// Limit on this dispatcher's in-flight calls.
    pub(crate) fn call_limit(&self, config: &DispatcherConfig, now: Timestamp) -> u32 {
        let batch = self.batch(config);
        let overcommit = (f64::from(batch) * config.slot_overcommit).ceil() as u32;
        let limit = (batch + overcommit).saturating_sub(self.external_calls(config, now));
        if self.health.is_probing {
            return limit.min(config.probe_calls);
        }
        match self.slow_start_fraction(config.slow_start, now) {
            Some(fraction) => ((f64::from(limit) * fraction) as u32).max(1),
            None => limit,
        }
    }

    /// Whether a call of this priority may be sent although all slots are taken, because the engine
    /// schedules it ahead of a less urgent call. Bounded to limit the delay of less urgent calls.
    pub(crate) fn has_urgent_slot(
        &self,
        config: &DispatcherConfig,
        now: Timestamp,
        priority: i32,
    ) -> bool {
        let is_outranked = self
            .by_priority
            .first_key_value()
            .is_some_and(|(least, _)| *least < priority);
        let overcommit =
            (f64::from(self.batch(config)) * config.urgent_slot_overcommit).ceil() as u32;
        let is_steady = !self.health.is_probing && self.slow_start_since.is_none();
        let limit = self.call_limit(config, now) + overcommit;
        priority > 0 && is_outranked && is_steady && self.in_flight < limit
    }

    /// Limit on calls parked for the engine.
    pub(crate) fn parking_limit(&self, config: &DispatcherConfig) -> usize {
        (f64::from(self.batch(config)) * config.parked_fraction).ceil() as usize
    }

    fn batch(&self, config: &DispatcherConfig) -> u32 {
        match &self.report {
            Some(report) if report.load.max_batch > 0 => report.load.max_batch,
            _ => config.default_batch,
        }
    }

    /// Calls on the engine that this dispatcher did not assign, from the last report. Reports lag,
    /// so the peak of its own calls over the last two reporting intervals is subtracted.
    fn external_calls(&self, config: &DispatcherConfig, now: Timestamp) -> u32 {
        let Some(report) = &self.report else {
            return 0;
        };
        if now.since(report.at) > config.max_report_age {
            return 0;
        }
        let reported = report.load.running + report.load.waiting;
        let own_peak = self.in_flight_peaks[0]
            .max(self.in_flight_peaks[1])
            .max(self.in_flight);
        reported.saturating_sub(own_peak)
    }

    /// KV memory size, if reported.
    pub(crate) fn memory_capacity(&self) -> Option<Tokens> {
        let load = &self.report.as_ref()?.load;
        let tokens = u64::from(load.total_blocks) * u64::from(load.block_tokens);
        (tokens > 0).then_some(Tokens(tokens))
    }

    /// KV memory available for another call, if the size is known.
    pub(crate) fn available_memory(&self, config: &DispatcherConfig) -> Option<Tokens> {
        let size = self.memory_capacity()?;
        let usable = Tokens((size.0 as f64 * config.memory_limit) as u64);
        Some(
            usable
                .saturating_sub(self.memory)
                .saturating_sub(self.leased),
        )
    }

    /// Fraction of the call limit during slow start; `None` otherwise.
    fn slow_start_fraction(&self, slow_start: Duration, now: Timestamp) -> Option<f64> {
        let since = self.slow_start_since?;
        let fraction = now.since(since).as_secs_f64() / slow_start.as_secs_f64().max(f64::EPSILON);
        (fraction < 1.0).then_some(fraction)
    }

    /// Records a call assigned to the engine.
    pub(crate) fn add_call(&mut self, memory: Tokens, priority: i32) {
        self.in_flight += 1;
        *self.by_priority.entry(priority).or_default() += 1;
        self.memory = self.memory.saturating_add(memory);
        self.in_flight_peaks[0] = self.in_flight_peaks[0].max(self.in_flight);
    }

    /// Removes a call from the engine's accounting.
    pub(crate) fn remove_call(&mut self, memory: Tokens, priority: i32) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(calls) = self.by_priority.get_mut(&priority) {
            *calls = calls.saturating_sub(1);
            if *calls == 0 {
                self.by_priority.remove(&priority);
            }
        }
        self.memory = self.memory.saturating_sub(memory);
    }

    /// Stores a load report. Returns true if the engine has restarted since the previous one.
    pub(crate) fn record_report(&mut self, now: Timestamp, load: EngineLoad) -> bool {
        let restarted = self
            .report
            .as_ref()
            .is_some_and(|report| report.load.start != load.start);
        self.report = Some(LoadReport { load, at: now });
        self.in_flight_peaks = [self.in_flight, self.in_flight_peaks[0]];
        restarted
    }
}

/// All engines of a pool by id.
#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    engines: BTreeMap<EngineId, EngineEntry>,
}

impl EngineTable {
    pub(crate) fn get(&self, engine: &EngineId) -> Option<&EngineEntry> {
        self.engines.get(engine)
    }

    pub(crate) fn get_mut(&mut self, engine: &EngineId) -> Option<&mut EngineEntry> {
        self.engines.get_mut(engine)
    }

    pub(crate) fn insert(&mut self, entry: EngineEntry) {
        self.engines.insert(entry.member.engine.clone(), entry);
    }

    pub(crate) fn remove(&mut self, engine: &EngineId) -> Option<EngineEntry> {
        self.engines.remove(engine)
    }

    pub(crate) fn len(&self) -> usize {
        self.engines.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&EngineId, &EngineEntry)> {
        self.engines.iter()
    }
}
