//! Online estimates of program behavior.

mod fading_rate;
mod histogram;
mod shapes;

pub(crate) use fading_rate::FadingRate;
pub(crate) use histogram::LogHistogram;
pub(crate) use shapes::Shapes;
