//! What is learned online about programs, whose shapes nobody knows in advance.

mod drain_rate;
mod histogram;
mod shapes;

pub(crate) use drain_rate::DrainRate;
pub(crate) use histogram::LogHistogram;
pub(crate) use shapes::Shapes;
