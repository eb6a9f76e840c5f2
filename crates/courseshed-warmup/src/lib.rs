//! Rate limits of servers that are warming up, enforced over all gateways, also while gateways and
//! controllers can't reach each other.
//!
//! A server has as many *permits* as requests may reach it in one second while it warms up. They
//! belong to its name rather than to an incarnation, since a request for one incarnation may reach
//! the next one at the same address. Each send occupies a permit for slightly longer than that; then the permit is free
//! again at the same gateway. The [`WarmupOwner`], on the controllers' leader, leases permits to
//! the [`WarmupHolder`] of each gateway, on demand. Both sides measure a lease on their own clocks
//! from the same message, and a holder's lease always expires before the owner counts its permits
//! as free.
//!
//! Invariant: the sends of all gateways within any window never exceed the permits. The crate does
//! no I/O; the time is a parameter. Nothing is committed: a new owner counts the permits that its
//! predecessor may have granted as outstanding until their holders report them or their leases and
//! last sends have expired.

mod holder;
mod message;
mod owner;
mod policy;

pub use holder::WarmupHolder;
pub use message::{ServerGrant, ServerUse, WarmupAnswer, WarmupReport};
pub use owner::{InjectedFault, WarmupOwner};
pub use policy::{LEASE, OCCUPANCY, WarmupPolicy};
