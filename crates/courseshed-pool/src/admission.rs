//! Which new programs are admitted while the pool is short of slots.
//!
//! Without admission, all programs of a burst are queued and become late together, and their later
//! turns delay those that come after the burst.

use crate::NameHash;
use crate::cost::mix_bits;

/// Calls per slot, queued ones included, above which new programs are refused. A call that finds a
/// free slot is granted it before this decision, so that no slot is idle for it.
const MIN_LOAD: f64 = 1.0;
/// Load above [`MIN_LOAD`] at which the admitted share has fallen to 1/e. With 0.25, up to 18 % of
/// the programs failed at 107 % of the capacity; with 0.5, up to 13 %.
const LOAD_SCALE: f64 = 0.5;
/// Minimum admitted share.
const MIN_SHARE: f64 = 0.02;
/// Lower bound of the retry time of refused programs. Programs in progress make room in about that
/// time; with 0.1 s, more programs were refused three times, which ends them.
pub(crate) const MIN_RETRY_AFTER_MS: f64 = 1_300.0;
/// Bounds of the factor by which a tenant's use of its share changes the load that it is judged by:
/// a burst of one tenant is refused to that tenant first, but not all of it.
const MIN_USAGE: f64 = 0.5;
const MAX_USAGE: f64 = 1.5;
/// Makes the draw independent of other uses of the hash.
const DRAW_SALT: u64 = 0xad31;

/// Whether a new program is admitted at a load, in calls per slot, given its tenant's recent service
/// relative to its share. The draw depends on the program alone, so that asking again does not raise
/// its chance.
pub(crate) fn admits(load: f64, usage: f64, program: NameHash) -> bool {
    let load = load * usage.clamp(MIN_USAGE, MAX_USAGE);
    let share = (-(load - MIN_LOAD) / LOAD_SCALE).exp().max(MIN_SHARE);
    let draw = mix_bits(program.0 ^ DRAW_SALT) as f64 / u64::MAX as f64;
    draw < share
}
