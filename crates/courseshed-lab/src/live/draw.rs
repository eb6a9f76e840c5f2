//! Turns drawn programs of a workload into plans of callers: texts, habits, what is not repeatable, who vanishes.
//!
//! The same options give the same plans, whatever a deployment does with them.

use std::time::Duration;

use courseshed_types::{BranchPath, ChatMessage, ChatRole};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::plan::{CallPlan, CallerHabit, Ending, ProgramPlan, Step};
use crate::workload::{ArrivalPlan, Pause, ProgramKind, ProgramScript, TurnScript, Workload};

/// Bytes of text that are about one token.
const BYTES_PER_TOKEN: usize = 4;
/// What texts are filled with.
const FILLER: &str = "residual term deposit vehicle cover route lodge claim member insurer ";
/// Fewest tokens of an answer: those that hold the digest of the prompt.
const LEAST_OUTPUT_TOKENS: u64 = 6;
/// Part of the calls whose caller leaves and comes back.
const DISCONNECT_PART: f64 = 0.10;
/// Part of the calls that are sent twice at once.
const SEND_TWICE_PART: f64 = 0.05;
/// Part of the calls whose successor is sent too early.
const SKIP_AHEAD_PART: f64 = 0.04;
/// Part of the calls that ask for one document.
const DOCUMENT_PART: f64 = 0.15;
/// Part of the programs whose last call is not repeatable, as the issue of a quote or a cover.
const ISSUES_PART: f64 = 0.6;
/// Part of the programs whose caller vanishes after its last answer.
const ABANDONED_PART: f64 = 0.04;

/// What is drawn.
#[derive(Debug, Clone)]
pub struct DrawOptions {
    /// The workloads, which share the rate evenly.
    pub workloads: Vec<Workload>,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Programs started a second, on average, sub-agents not counted.
    pub rate: f64,
    /// How long programs are started.
    pub duration: Duration,
    /// Most programs; none for as many as the rate gives.
    pub programs: Option<usize>,
    /// Most calls of a program; longer ones end there.
    pub most_calls: usize,
    /// Factor on all pauses.
    pub pause_scale: f64,
    /// Longest pause, after scaling.
    pub longest_pause: Duration,
    /// Whether calls name the model of the workload.
    pub names_models: bool,
}

/// A plan and when it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedProgram {
    /// Time since the start of the run.
    pub at: Duration,
    /// What it does.
    pub plan: ProgramPlan,
}

/// Draws all programs of a run, in order of their start.
pub fn draw_programs(options: &DrawOptions) -> Vec<PlannedProgram> {
    let mut planned = Vec::new();
    for (place, workload) in options.workloads.iter().enumerate() {
        let arrivals = ArrivalPlan {
            programs_per_second: options.rate / options.workloads.len() as f64,
            duration: options.duration,
            surges: Vec::new(),
        };
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        // Apart from the streams of the workload's own draws, whose numbers are small.
        random.set_stream(u64::MAX - place as u64);
        let drawn = arrivals.draw(workload, options.seed);
        for (number, arrival) in drawn.into_iter().enumerate() {
            let name = format!("{:x}-{place}-{number}", options.seed);
            let mut planner = Planner {
                options,
                workload,
                random: &mut random,
            };
            planned.push(PlannedProgram {
                at: arrival.at,
                plan: planner.program(&arrival.script, &name, true),
            });
        }
    }
    planned.sort_by_key(|program| program.at);
    planned.truncate(options.programs.unwrap_or(usize::MAX));
    planned
}

struct Planner<'a> {
    options: &'a DrawOptions,
    workload: &'a Workload,
    random: &'a mut ChaCha8Rng,
}

impl Planner<'_> {
    fn program(&mut self, script: &ProgramScript, name: &str, is_root: bool) -> ProgramPlan {
        let kind = &self.workload.kinds[script.kind];
        let issues = is_root && self.random.random_bool(ISSUES_PART);
        let mut ending = match is_root && self.random.random_bool(ABANDONED_PART) {
            true => Ending::Abandoned,
            false => Ending::Ended,
        };
        let calls = script.turns.len().min(self.options.most_calls);
        let mut steps = Vec::new();
        for (index, turn) in script.turns[..calls].iter().enumerate() {
            let is_last = index + 1 == calls;
            let place = CallPlace { name, index };
            let call = self.call(kind, &script.branch, turn, place, !(issues && is_last));
            steps.push(Step::Call(call));
            if is_last {
                break;
            }
            self.add_agents(turn, name, index, &mut steps);
            match turn.pause {
                Pause::Lasts(pause) => steps.push(Step::Pause(self.scaled(pause))),
                Pause::Hangs => {
                    ending = Ending::Abandoned;
                    break;
                }
            }
        }
        ProgramPlan {
            kind: kind.name.clone(),
            settings_kind: kind.settings_kind.clone(),
            branch: script.branch.clone(),
            model: kind.model.clone().filter(|_| self.options.names_models),
            steps,
            ending,
        }
    }

    fn add_agents(&mut self, turn: &TurnScript, name: &str, index: usize, steps: &mut Vec<Step>) {
        let mut agents = Vec::new();
        for (agent, script) in turn.children.iter().enumerate() {
            let name = format!("{name}-{index}-agent-{agent}");
            agents.push(self.program(script, &name, false));
        }
        if !agents.is_empty() {
            steps.push(Step::SubAgents(agents));
        }
    }

    fn scaled(&self, pause: Duration) -> Duration {
        let scaled = pause.mul_f64(self.options.pause_scale);
        scaled.min(self.options.longest_pause)
    }

    fn call(
        &mut self,
        kind: &ProgramKind,
        branch: &BranchPath,
        turn: &TurnScript,
        place: CallPlace<'_>,
        repeatable: bool,
    ) -> CallPlan {
        let output_tokens = turn.output_tokens.max(LEAST_OUTPUT_TOKENS) as u32;
        let mut messages = Vec::new();
        if place.index == 0 && kind.system_tokens > 0 {
            // The same for all programs of the kind on the branch, so that engines can share its memory.
            let instructions = format!("Instructions for {} of {branch}: ", kind.name);
            let text = filled(instructions, kind.system_tokens);
            messages.push(ChatMessage::text(ChatRole::System, text));
        }
        let intro = format!("{} {} turn {}: ", kind.name, place.name, place.index + 1);
        let text = filled(intro, turn.new_tokens);
        let directive = format!("{{\"emulator\":{{\"output_tokens\":{output_tokens}}}}}");
        messages.push(ChatMessage::text(
            ChatRole::User,
            format!("{text}{directive}"),
        ));
        CallPlan {
            messages,
            output_tokens,
            repeatable,
            habit: self.habit(output_tokens),
        }
    }

    fn habit(&mut self, output_tokens: u32) -> CallerHabit {
        let after_events = self.random.random_range(1..=output_tokens as usize / 2 + 1);
        let mut place = self.random.random::<f64>();
        let habits = [
            (DISCONNECT_PART, CallerHabit::Disconnect { after_events }),
            (SEND_TWICE_PART, CallerHabit::SendTwice),
            (SKIP_AHEAD_PART, CallerHabit::SkipAhead),
            (DOCUMENT_PART, CallerHabit::Document),
        ];
        for (part, habit) in habits {
            if place < part {
                return habit;
            }
            place -= part;
        }
        CallerHabit::Stream
    }
}

/// Which call of which program.
#[derive(Clone, Copy)]
struct CallPlace<'a> {
    name: &'a str,
    index: usize,
}

/// A text of about so many tokens.
fn filled(mut text: String, tokens: u64) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text
}
