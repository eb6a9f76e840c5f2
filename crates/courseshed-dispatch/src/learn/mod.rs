//! What is learned online about programs, whose shapes nobody knows in advance.

mod fading_rate;
mod histogram;
mod shapes;

pub(crate) use fading_rate::FadingRate;
pub(crate) use histogram::LogHistogram;
pub(crate) use shapes::Shapes;
