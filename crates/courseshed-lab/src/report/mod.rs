//! One self-contained HTML page from the JSON lines of an experiment.
//!
//! Plots are SVG inside the page; it loads nothing from anywhere and runs no scripts.

mod figures;
mod page;
mod palette;
mod plots;
mod read;
#[cfg(test)]
mod tests;

pub use page::render;
pub use read::read_lines;
