//! Limits of tenants' requests, kept over all gateways together, in touch or not.
//!
//! A tenant has as many *permits* as it may make requests in one window. Each send occupies one for a
//! window and a little; then it is free again, at the same gateway. So whoever holds permits may go
//! on at their rate without asking, and no window ever sees more sends than there are permits. The
//! [`QuotaOwner`], at the controllers' leader, leases permits to the [`QuotaHolder`] of each gateway:
//! ahead of need while there is room, and on demand. Leases lapse at the holder before the owner
//! counts their permits as free, measured by each on its own clock from the same message.
//!
//! Invariant: at any time, the sends of all gateways within the last window are at most the permits.
//! The crate does no I/O; time is passed in.

mod holder;
mod message;
mod owner;
mod terms;

pub use holder::{QuotaHolder, Shortage, Standing};
pub use message::{Ceiling, OwnerBounds, QuotaAnswer, QuotaReport, TenantGrant, TenantUse};
pub use owner::{QuotaOwner, Variant};
pub use terms::{LEASE, QuotaTerms};
