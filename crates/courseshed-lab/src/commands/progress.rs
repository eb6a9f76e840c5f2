//! The progress bar of commands that run programs; on standard error, and only where that is a terminal.

use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

use crate::live::driver::Progress;

/// Time between two strokes of the spinner.
const STROKE: Duration = Duration::from_millis(100);
const TEMPLATE: &str = "{spinner} {elapsed} [{bar:30}] {pos}/{len} programs done, {msg}";

/// A bar of programs done.
pub(crate) struct ProgramBar(ProgressBar);

impl ProgramBar {
    pub(crate) fn new(first_message: &'static str) -> ProgramBar {
        let bar = ProgressBar::new(0);
        if let Ok(style) = ProgressStyle::with_template(TEMPLATE) {
            bar.set_style(style.progress_chars("=> "));
        }
        bar.set_message(first_message);
        bar.enable_steady_tick(STROKE);
        ProgramBar(bar)
    }

    /// What the driver is to call.
    pub(crate) fn reporter(&self) -> impl Fn(Progress) + 'static {
        let bar = self.0.clone();
        move |progress| {
            bar.set_length(progress.programs as u64);
            bar.set_position(progress.over as u64);
            let under_way = progress.started - progress.over;
            bar.set_message(match progress.over == progress.programs {
                true => "checking what callers and engines saw".to_owned(),
                false => format!("{under_way} under way"),
            });
        }
    }

    pub(crate) fn finish(&self) {
        self.0.finish_and_clear();
    }
}
