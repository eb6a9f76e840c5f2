//! Constants of a dispatcher, with the defaults that the experiments were run with.

use std::time::Duration;

use courseshed_types::Tokens;

/// How a dispatcher decides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// Hierarchical shares, program-aware order, cache-aware engines, leases during pauses.
    #[default]
    Courseshed,
    /// Baseline: first come first served, engine with the least load.
    FirstComeLeastLoad,
    /// Baseline: first come first served, engine that holds the program's prefix.
    PrefixAffinity,
    /// Baseline: shares between branches by tokens of each call (virtual token counters), prefix affinity.
    PerCallFair,
}

/// Constants of a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatcherConfig {
    /// Units of service of one uncached prompt token.
    pub prefill_weight: u64,
    /// Units of service of one generated token.
    pub decode_weight: u64,
    /// Service by which one step of priority may overtake the shares, in units.
    pub warp_per_priority: u64,
    /// Most steps of priority that count.
    pub priority_steps: i32,
    /// Batch assumed of an engine that has not reported yet.
    pub assumed_batch: u32,
    /// Calls sent ahead of an engine's free slots, as a part of its batch, so that it never idles.
    pub send_ahead: f64,
    /// Urgent calls sent to an engine whose slots are taken by less urgent ones, as a part of its batch; the
    /// engine lets them overtake.
    pub urgent_ahead: f64,
    /// Part of an engine's KV memory that calls under way may fill.
    pub memory_limit: f64,
    /// Units of service that a full engine costs against an empty one in the choice.
    pub load_penalty: u64,
    /// Units of service that another zone costs in the choice.
    pub zone_penalty: u64,
    /// Longest wait for the engine that holds a call's prefix while another has room.
    pub affinity_wait: Duration,
    /// Shorter waits are not worth it.
    pub least_affinity_wait: Duration,
    /// Calls that may wait so for one engine, as a part of its batch.
    pub affinity_ahead: f64,
    /// Prompt tokens an engine is assumed to compute a second.
    pub prefill_tokens_per_second: u64,
    /// Prefix tokens an engine's link is assumed to move a second, in or out.
    pub transfer_tokens_per_second: u64,
    /// Prefix tokens of paused programs that may be kept outside of engines; zero keeps none.
    pub export_capacity: Tokens,
    /// Calls that may wait in the pool before the dispatcher sheds.
    pub max_waiting: usize,
    /// Calls each branch may always have waiting, whatever the others do.
    pub min_branch_waiting: usize,
    /// How long smaller calls may pass a call that fits no engine; then an engine is kept free for it.
    pub pass_over: Duration,
    /// A call is refused at once if the wait expected of it is so many times the wait its branch allows.
    pub hopeless_wait: f64,
    /// After this an assignment that was not confirmed is sent again.
    pub assignment_resend: Duration,
    /// How long a rebuilt dispatcher waits for shards to announce their calls.
    pub announce_grace: Duration,
    /// First ejection of an engine that fails.
    pub ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Failures in a row after which an engine is ejected.
    pub failures_to_eject: u32,
    /// Calls an engine is tried with after an ejection until one of them ends well.
    pub probe_calls: u32,
    /// Time over which an engine that comes back is given its whole batch.
    pub slow_start: Duration,
    /// Time to live of a cache lease.
    pub lease: Duration,
    /// Longest hold of a paused program's prefix.
    pub max_hold: Duration,
    /// Age after which a load report no longer counts.
    pub stale_report: Duration,
    /// After this a paused program that was not heard of is forgotten.
    pub forget_program: Duration,
}

impl Default for DispatcherConfig {
    fn default() -> DispatcherConfig {
        DispatcherConfig {
            prefill_weight: 1,
            decode_weight: 4,
            warp_per_priority: 20_000,
            priority_steps: 10,
            assumed_batch: 8,
            send_ahead: 0.1,
            urgent_ahead: 0.1,
            memory_limit: 0.95,
            load_penalty: 2_000,
            zone_penalty: 100,
            affinity_wait: Duration::from_secs(2),
            least_affinity_wait: Duration::from_millis(20),
            affinity_ahead: 0.25,
            prefill_tokens_per_second: 16_000,
            transfer_tokens_per_second: 120_000,
            export_capacity: Tokens(8_000_000),
            max_waiting: 4_000,
            min_branch_waiting: 32,
            pass_over: Duration::from_secs(1),
            hopeless_wait: 1.5,
            assignment_resend: Duration::from_secs(2),
            announce_grace: Duration::from_millis(500),
            ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(60),
            failures_to_eject: 3,
            probe_calls: 1,
            slow_start: Duration::from_secs(5),
            lease: Duration::from_secs(10),
            max_hold: Duration::from_secs(300),
            stale_report: Duration::from_secs(10),
            forget_program: Duration::from_secs(3_600),
        }
    }
}
