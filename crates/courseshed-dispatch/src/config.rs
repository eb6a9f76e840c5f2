//! Dispatcher configuration and its defaults.

use std::time::Duration;

use courseshed_types::Tokens;

/// Scheduling policy of a dispatcher.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// Hierarchical fair sharing, program-aware ordering, cache-aware engine selection, and cache
    /// leases during pauses.
    #[default]
    Courseshed,
    /// Baseline: FIFO order, least-loaded engine.
    FirstComeLeastLoad,
    /// Baseline: FIFO order, engine that caches the program's prefix.
    PrefixAffinity,
    /// Baseline: per-branch fair sharing by the tokens of each call (Virtual Token Counter), with
    /// prefix affinity.
    PerCallFair,
}

/// Dispatcher configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatcherConfig {
    /// Service units per uncached prompt token.
    pub prefill_weight: u64,
    /// Service units per generated token.
    pub decode_weight: u64,
    /// Service, in units, by which one priority step may run ahead of fair shares.
    pub warp_per_priority: u64,
    /// Priorities are clamped to plus or minus this many steps.
    pub max_priority_steps: i32,
    /// Batch size assumed for an engine that has not reported its load.
    pub default_batch: u32,
    /// Calls sent beyond an engine's free slots, as a fraction of its batch size, to keep the
    /// engine from idling.
    pub slot_overcommit: f64,
    /// Urgent calls sent to an engine whose slots are taken by less urgent calls, as a fraction of
    /// its batch size. The engine schedules the urgent calls first.
    pub urgent_slot_overcommit: f64,
    /// Fraction of an engine's KV memory that in-flight calls and leases may occupy.
    pub memory_limit: f64,
    /// Selection cost of a fully loaded engine relative to an idle one, in service units.
    pub load_penalty: u64,
    /// Selection cost of an engine in another zone, in service units.
    pub zone_penalty: u64,
    /// Maximum time a call is parked for the engine that caches its prefix while another engine has
    /// capacity.
    pub max_parking_wait: Duration,
    /// A call is not parked if the expected wait is shorter than this.
    pub min_parking_wait: Duration,
    /// Maximum number of calls parked for one engine, as a fraction of its batch size.
    pub parked_fraction: f64,
    /// Assumed prefill throughput of an engine, in prompt tokens per second.
    pub prefill_tokens_per_second: u64,
    /// Assumed bandwidth of an engine's link for prefix export and import, in tokens per second.
    pub transfer_tokens_per_second: u64,
    /// Maximum number of prefix tokens of paused programs stored outside engines; zero disables
    /// export.
    pub export_capacity: Tokens,
    /// Queue length of the pool above which calls are shed.
    pub max_waiting: usize,
    /// Queue length of a branch up to which its calls are not shed before their deadline.
    pub min_branch_waiting: usize,
    /// Maximum time that smaller calls may bypass a call that fits on no engine before an engine is
    /// reserved for it.
    pub max_bypass: Duration,
    /// The last calls of a queue are shed if their expected wait exceeds their remaining queue time
    /// by this factor.
    pub max_wait_ratio: f64,
    /// Interval after which an unconfirmed assignment is resent.
    pub assignment_resend: Duration,
    /// How long a new dispatcher waits for shards to announce their calls.
    pub announce_grace: Duration,
    /// Duration of an engine's first ejection.
    pub ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Consecutive failures after which an engine is ejected.
    pub failures_to_eject: u32,
    /// Concurrent calls allowed on an engine after an ejection until one of them succeeds.
    pub probe_calls: u32,
    /// Slow-start time over which a recovered engine ramps up to its full batch size.
    pub slow_start: Duration,
    /// Time to live of a cache lease.
    pub lease_ttl: Duration,
    /// Maximum time the prefix of a paused program is leased.
    pub max_hold: Duration,
    /// Age after which the call counts of a load report are ignored.
    pub max_report_age: Duration,
    /// Time without messages after which a paused program is dropped.
    pub program_idle_timeout: Duration,
}

impl Default for DispatcherConfig {
    fn default() -> DispatcherConfig {
        DispatcherConfig {
            prefill_weight: 1,
            decode_weight: 4,
            warp_per_priority: 20_000,
            max_priority_steps: 10,
            default_batch: 8,
            slot_overcommit: 0.1,
            urgent_slot_overcommit: 0.1,
            memory_limit: 0.95,
            load_penalty: 2_000,
            zone_penalty: 100,
            max_parking_wait: Duration::from_secs(2),
            min_parking_wait: Duration::from_millis(20),
            parked_fraction: 0.25,
            prefill_tokens_per_second: 16_000,
            transfer_tokens_per_second: 120_000,
            export_capacity: Tokens(8_000_000),
            max_waiting: 4_000,
            min_branch_waiting: 32,
            max_bypass: Duration::from_secs(1),
            max_wait_ratio: 1.5,
            assignment_resend: Duration::from_secs(2),
            announce_grace: Duration::from_millis(500),
            ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(60),
            failures_to_eject: 3,
            probe_calls: 1,
            slow_start: Duration::from_secs(5),
            lease_ttl: Duration::from_secs(10),
            max_hold: Duration::from_secs(300),
            max_report_age: Duration::from_secs(10),
            program_idle_timeout: Duration::from_secs(3_600),
        }
    }
}
