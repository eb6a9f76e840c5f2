//! What is learned online about programs, whose shapes nobody knows in advance.

mod histogram;
mod shapes;

pub(crate) use histogram::LogHistogram;
pub(crate) use shapes::Shapes;
