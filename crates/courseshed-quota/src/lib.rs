//! Rate limits of tenants, enforced over all gateways, also while gateways and controllers can't
//! reach each other.
//!
//! A tenant has as many *permits* as it may send requests in one window. Each send occupies a
//! permit for slightly longer than the window; then the permit is free again at the same gateway. A
//! gateway with permits can therefore sustain their rate without further messages, and no window
//! contains more sends than there are permits. The [`QuotaOwner`], on the controllers' leader,
//! leases permits to the [`QuotaHolder`] of each gateway, on demand and ahead of demand while there
//! are free ones. Both sides measure a lease on their own clocks from the same message, and a
//! holder's lease always expires before the owner counts its permits as free.
//!
//! Invariant: the sends of all gateways within any window never exceed the permits. The crate does
//! no I/O; the time is a parameter.

mod holder;
mod message;
mod owner;
mod terms;

pub use holder::{ProgramPhase, QuotaHolder, Shortage};
pub use message::{Ceiling, OwnerBounds, QuotaAnswer, QuotaReport, TenantGrant, TenantUse};
pub use owner::{InjectedFault, QuotaOwner};
pub use terms::{LEASE, QuotaPolicy};
