//! What a run of the fleet simulates.

use std::time::Duration;

/// Settings of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetOptions {
    /// Virtual time during which faults come and programs start.
    pub duration: Duration,
    /// The system as it is, or broken on purpose.
    pub variant: FleetVariant,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            duration: Duration::from_secs(40),
            variant: FleetVariant::Faithful,
        }
    }
}

/// The system as it is, or with one rule broken, which the observer must notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetVariant {
    /// Nothing is broken.
    Faithful,
    /// A gateway follows orders that have run out, and engines forget that they were asked about an attempt.
    LateOrdersRun,
    /// A gateway says "not run" when it lost sight of a call that it had handed over.
    GatewayDeniesDoubt,
    /// A gateway hands an answer to whichever of its callers waits first.
    GatewayMixesAnswers,
    /// A gateway drops the last part of a stream that broke.
    GatewayCutsAnswers,
    /// A gateway starts every attempt twice under different names.
    GatewayDoublesAttempts,
    /// The ledger grants whatever is asked.
    LedgerGrantsAll,
    /// The dispatcher is never told that an engine leaves.
    LeavingUnheard,
    /// Leases of engines' memory never run out.
    LeasesForever,
}

impl FleetVariant {
    /// All variants that must be caught.
    pub const BROKEN: [FleetVariant; 8] = [
        FleetVariant::LateOrdersRun,
        FleetVariant::GatewayDeniesDoubt,
        FleetVariant::GatewayMixesAnswers,
        FleetVariant::GatewayCutsAnswers,
        FleetVariant::GatewayDoublesAttempts,
        FleetVariant::LedgerGrantsAll,
        FleetVariant::LeavingUnheard,
        FleetVariant::LeasesForever,
    ];

    /// A name for people.
    pub fn name(self) -> &'static str {
        match self {
            FleetVariant::Faithful => "the system as it is",
            FleetVariant::LateOrdersRun => "orders that have run out are followed",
            FleetVariant::GatewayDeniesDoubt => "a gateway says not run when in doubt",
            FleetVariant::GatewayMixesAnswers => "a gateway mixes up its callers",
            FleetVariant::GatewayCutsAnswers => "a gateway cuts an answer short",
            FleetVariant::GatewayDoublesAttempts => "a gateway sends each attempt twice",
            FleetVariant::LedgerGrantsAll => "the ledger grants beyond the budget",
            FleetVariant::LeavingUnheard => "a dispatcher does not hear that an engine leaves",
            FleetVariant::LeasesForever => "leases of engine memory never run out",
        }
    }
}
