//! What happens in a run.

use courseshed_engine_model::RequestKey;
use courseshed_types::dispatch::{
    CacheEvent, DispatchEventBody, DispatchRequestBody, EngineLoad, EngineOrderBody, LeaseEntry,
};

/// Place of a program in the run's table.
pub(super) type ProgramIndex = usize;
/// Place of an engine in the scenario's list.
pub(super) type EngineIndex = usize;
/// Place of a pool in the run's table.
pub(super) type PoolIndex = usize;

/// Something that happens at a point in time.
#[derive(Debug)]
pub(super) enum Event {
    /// The next program of the arrival list arrives.
    Arrive,
    /// The shard's leader has a call and commits it as accepted.
    Accept(ProgramIndex),
    /// Part of what a program waits for is over.
    Resume(ProgramIndex),
    /// A caller asks again for what was refused.
    AskAgain(ProgramIndex),
    /// The program's pause has reached the limit of its branch.
    PauseLimit(ProgramIndex),
    /// A dispatcher hears a shard.
    DispatcherHears(PoolIndex, Box<DispatchRequestBody>),
    /// A dispatcher's systems run.
    Tick(PoolIndex),
    /// A shard hears a dispatcher.
    ShardHears(Box<DispatchEventBody>),
    /// An attempt reaches its engine.
    Submit(ProgramIndex, RequestKey),
    /// An engine may have something to tell.
    EngineMoves(EngineIndex),
    /// An order reaches an engine.
    EngineOrdered(EngineIndex, EngineOrderBody),
    /// The shard has committed an answer.
    Answered(ProgramIndex, RequestKey, u32),
    /// An attempt is known to have failed.
    AttemptFailed(ProgramIndex, RequestKey),
    /// All engines take a look at their load, and some report it.
    SampleLoads,
    /// A load report reaches the dispatcher.
    LoadReported(EngineIndex, Box<EngineLoad>),
    /// A cache event reaches the dispatcher.
    CacheReported(EngineIndex, CacheEvent),
    /// A listing of cached prefixes reaches the dispatcher.
    Listed(EngineIndex, Vec<LeaseEntry>),
    /// All engines list their caches.
    ListCaches,
    /// A fault of the scenario begins.
    FaultBegins(usize),
    /// A fault of the scenario ends.
    FaultEnds(usize),
    /// The dispatchers are given the list of engines as it is now.
    DirectoryChanges,
    /// The window of shares of service ends.
    ShareWindowEnds,
}
