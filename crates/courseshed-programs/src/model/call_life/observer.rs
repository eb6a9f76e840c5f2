//! What callers and the engine see, and the promises judged by it alone.

use std::collections::BTreeMap;

use courseshed_types::{Attempt, CallOutcome, RequestId, Verdict};

/// How a call ended, as far as callers can tell outcomes apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum SeenOutcome {
    Answered(Attempt),
    Failed(Verdict),
}

impl SeenOutcome {
    pub fn of(outcome: &CallOutcome) -> SeenOutcome {
        match outcome {
            CallOutcome::Answered(answer) => SeenOutcome::Answered(answer.attempt),
            CallOutcome::Failed(error) => SeenOutcome::Failed(error.verdict),
        }
    }
}

/// What was seen of one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct SeenCall {
    /// Runs on the engine.
    runs: u8,
    /// Copies handed over so far.
    copies: u8,
    /// Told for ever.
    outcome: Option<SeenOutcome>,
    /// Copies handed over when "not run" was told about all of them without a commit.
    refused_copies: Option<u8>,
}

/// What callers and the engine saw so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Observer {
    calls: BTreeMap<u64, SeenCall>,
    orders: BTreeMap<RequestId, u8>,
    violation: Option<&'static str>,
}

impl Observer {
    pub fn violation(&self) -> Option<&'static str> {
        self.violation
    }

    fn call(&mut self, sequence: u64) -> &mut SeenCall {
        self.calls.entry(sequence).or_default()
    }

    fn demand(&mut self, holds: bool, property: &'static str) {
        if !holds {
            self.violation.get_or_insert(property);
        }
    }

    pub fn copies(&self, sequence: u64) -> u8 {
        self.calls.get(&sequence).map_or(0, |call| call.copies)
    }

    pub fn copy_sent(&mut self, sequence: u64) {
        self.call(sequence).copies += 1;
    }

    /// A gateway follows an order to start.
    pub fn order_followed(&mut self, request: RequestId) {
        let orders = self.orders.entry(request).or_default();
        *orders += 1;
        let is_first = *orders == 1;
        self.demand(is_first, "an attempt is started by one order only");
    }

    /// The engine begins to run an attempt.
    pub fn run_began(&mut self, sequence: u64, repeatable: bool, earlier_settled: bool) {
        let call = self.call(sequence);
        call.runs += 1;
        let call = *call;
        self.demand(
            repeatable || call.runs <= 1,
            "a call that is not repeatable runs at most once",
        );
        self.demand(
            call.refused_copies != Some(call.copies)
                && call.outcome != Some(SeenOutcome::Failed(Verdict::NotRun)),
            "a call of which \"not run\" was said does not run",
        );
        self.demand(
            earlier_settled,
            "a call starts only after the one before it is settled",
        );
    }

    /// A caller hears a committed outcome.
    pub fn outcome_told(&mut self, sequence: u64, outcome: SeenOutcome, was_given: bool) {
        let call = self.call(sequence);
        let same = call.outcome.is_none_or(|before| before == outcome);
        call.outcome = Some(outcome);
        let ran = call.runs > 0;
        self.demand(same, "an outcome never changes");
        self.demand(
            was_given,
            "an answer is one that the engine gave to that attempt",
        );
        self.demand(
            outcome != SeenOutcome::Failed(Verdict::NotRun) || !ran,
            "a call of which \"not run\" was said does not run",
        );
    }

    /// The shard refuses a copy of a call without a commit.
    pub fn shard_refused(&mut self, verdict: Verdict, is_accepted: bool) {
        self.demand(
            verdict != Verdict::NotRun || !is_accepted,
            "\"not run\" without a commit is not said of a call that was accepted",
        );
    }

    /// A caller hears an error that is not a committed outcome.
    pub fn error_told(&mut self, sequence: u64, verdict: Verdict) {
        if verdict != Verdict::NotRun {
            return;
        }
        let call = self.call(sequence);
        call.refused_copies = Some(call.copies);
        let ran = call.runs > 0;
        self.demand(!ran, "a call of which \"not run\" was said does not run");
    }
}
