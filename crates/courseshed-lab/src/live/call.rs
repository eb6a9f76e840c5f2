//! Makes one call until it has a final outcome: answered, refused for good, or given up.
//!
//! A call is sent again with the same sequence and key until its outcome is known: that never runs it twice. Only
//! when it is settled without an answer does the caller make it anew, at the next place of the program, and only
//! where the verdict allows: it did not run, or it is repeatable.

use std::time::Duration;

use actix_rt::time::sleep;
use courseshed_types::{ChatMessage, ChatRole, ModelName, ProgramId, Timestamp, Verdict};
use rand::RngExt;

use super::{
    client::{CallResponse, CallToMake, CallerClient, RequestError},
    driver::CallerContext,
    plan::{CallPlan, CallerHabit},
    record::{CallRecord, Refusal, TryPurpose, TryRecord, TryResult},
    retry::wait_before,
    stream::{CallStream, StreamItem},
    time::now,
};

/// How long a caller that left stays away.
const AWAY: Duration = Duration::from_millis(150);

/// How a call ended for its program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The answer is whole.
    Answered,
    /// There will be no answer; the program can't go on.
    Failed(String),
}

/// One call under way.
pub struct CallRunner<'a> {
    /// What all callers share.
    pub context: &'a CallerContext,
    /// The caller.
    pub client: &'a CallerClient<'a>,
    /// The program.
    pub program: ProgramId,
    /// The gateway to ask next.
    pub gateway: usize,
    /// The place of the call.
    pub sequence: u64,
    /// The model; none takes the branch's default.
    pub model: Option<ModelName>,
    /// What the caller intends.
    pub plan: &'a CallPlan,
    /// What is written down.
    pub record: CallRecord,
    /// Text of the answer, as far as it has come.
    text: String,
    /// The id of the last event.
    last_event: Option<String>,
}

/// What a try tells the caller to do next.
enum Next {
    End(CallEnd),
    /// Ask again, at once or after what the server asked for.
    Again {
        asked: Option<Duration>,
        elsewhere: bool,
    },
    /// The call is settled without an answer, and may be made anew.
    Anew,
}

impl<'a> CallRunner<'a> {
    /// A call that was not sent yet.
    pub fn new(
        context: &'a CallerContext,
        client: &'a CallerClient<'a>,
        program: ProgramId,
        gateway: usize,
        sequence: u64,
        plan: &'a CallPlan,
        model: Option<ModelName>,
    ) -> CallRunner<'a> {
        CallRunner {
            context,
            client,
            program,
            gateway,
            sequence,
            model,
            plan,
            record: new_record(plan),
            text: String::new(),
            last_event: None,
        }
    }

    /// Makes the call and keeps at it until its outcome is known or patience ends.
    pub async fn run(&mut self) -> CallEnd {
        let deadline = now() + self.context.patience.call;
        let mut tries = 0;
        if self.plan.habit == CallerHabit::SkipAhead {
            self.probe().await;
        }
        self.context.budget.borrow_mut().earn();
        loop {
            let next = match (tries, self.plan.habit) {
                (0, CallerHabit::SendTwice) => self.make_twice().await,
                _ => self.make_or_resume(tries).await,
            };
            match next {
                Next::End(end) => return end,
                Next::Anew => {
                    self.sequence += 1;
                    self.forget_text();
                    self.wait(tries, None).await;
                }
                Next::Again { asked, elsewhere } => {
                    if elsewhere {
                        self.gateway = self.context.gateways.other_than(self.gateway);
                    }
                    self.wait(tries, asked).await;
                }
            }
            tries += 1;
            if now() >= deadline || !self.context.budget.borrow_mut().spend() {
                return self.give_up(now() >= deadline);
            }
        }
    }

    fn give_up(&mut self, out_of_time: bool) -> CallEnd {
        let is_final = |one: &TryRecord| matches!(one.result, TryResult::Refused(_));
        self.record.left_open = !self.record.tries.last().is_some_and(is_final);
        let why = match out_of_time {
            true => "no answer in time",
            false => "the budget of further tries is spent",
        };
        CallEnd::Failed(why.to_owned())
    }

    async fn wait(&self, tries: u32, asked: Option<Duration>) {
        let jitter = self.context.random.borrow_mut().random::<f64>();
        sleep(wait_before(tries, jitter, asked)).await;
    }

    /// A try that comes back to a stream if there was one, and else makes the call.
    async fn make_or_resume(&mut self, tries: u32) -> Next {
        if self.last_event.is_some() {
            return self.resume().await;
        }
        let leave_after = match self.plan.habit {
            CallerHabit::Disconnect { after_events } if tries == 0 => Some(after_events),
            _ => None,
        };
        let stream = self.plan.habit != CallerHabit::Document;
        let sent_at = now();
        match self.client.make(self.gateway, &self.to_make(stream)).await {
            Ok(CallResponse::Stream(stream)) => {
                self.read(stream, TryPurpose::Make, sent_at, leave_after)
                    .await
            }
            Ok(CallResponse::Document(text)) => self.document(text, sent_at),
            Err(error) => self.failed(error, TryPurpose::Make, sent_at).await,
        }
    }

    async fn resume(&mut self) -> Next {
        let sent_at = now();
        let last_event = self.last_event.clone();
        let resumed = self.client.resume(
            self.gateway,
            self.program,
            self.sequence,
            last_event.as_deref(),
        );
        match resumed.await {
            Ok(stream) => self.read(stream, TryPurpose::Resume, sent_at, None).await,
            Err(error) => self.failed(error, TryPurpose::Resume, sent_at).await,
        }
    }

    fn document(&mut self, text: String, sent_at: Timestamp) -> Next {
        self.text = text.clone();
        self.note(
            TryPurpose::Make,
            sent_at,
            Some(now()),
            TryResult::Answered { from: 0, text },
        );
        self.answered()
    }

    fn answered(&mut self) -> Next {
        self.record.answer = Some(std::mem::take(&mut self.text));
        Next::End(CallEnd::Answered)
    }

    /// Reads a stream to its end, or leaves it after so many events.
    async fn read(
        &mut self,
        mut stream: CallStream,
        purpose: TryPurpose,
        sent_at: Timestamp,
        leave_after: Option<usize>,
    ) -> Next {
        let from = self.text.len();
        let mut first_word = None;
        let mut events = 0;
        loop {
            let item = stream.next().await;
            if !matches!(item, StreamItem::Cut) {
                first_word.get_or_insert_with(now);
            }
            match item {
                StreamItem::Text { id, delta } => {
                    self.text.push_str(&delta);
                    self.last_event = Some(id);
                    events += 1;
                }
                StreamItem::Other => {}
                StreamItem::Done => {
                    let text = self.text[from..].to_owned();
                    let result = TryResult::Answered { from, text };
                    self.note(purpose, sent_at, first_word, result);
                    return self.answered();
                }
                StreamItem::Failed(refusal) => {
                    let error = RequestError::Refused(refusal);
                    return self.failed(error, purpose, sent_at).await;
                }
                StreamItem::Cut => {
                    let text = self.text[from..].to_owned();
                    self.note(purpose, sent_at, first_word, TryResult::Cut { text });
                    return Next::Again {
                        asked: None,
                        elsewhere: true,
                    };
                }
            }
            if leave_after.is_some_and(|limit| events >= limit) {
                drop(stream);
                let text = self.text[from..].to_owned();
                self.note(purpose, sent_at, first_word, TryResult::Left { text });
                sleep(AWAY).await;
                return Next::Again {
                    asked: None,
                    elsewhere: true,
                };
            }
        }
    }

    /// Sends the request twice at once at two gateways; both must come to the same answer.
    async fn make_twice(&mut self) -> Next {
        let sent_at = now();
        let other = self.context.gateways.other_than(self.gateway);
        let call = self.to_make(false);
        let both = futures_util::future::join(
            self.client.make(self.gateway, &call),
            self.client.make(other, &call),
        );
        let (first, second) = both.await;
        let first = document_or_error(first);
        match document_or_error(second) {
            Ok(text) if first.is_err() => return self.document(text, sent_at),
            Ok(text) => {
                let result = TryResult::Answered { from: 0, text };
                self.note(TryPurpose::Make, sent_at, Some(now()), result);
            }
            Err(error) => {
                let result = result_of(&error, String::new());
                self.note(TryPurpose::Make, sent_at, None, result);
            }
        }
        match first {
            Ok(text) => self.document(text, sent_at),
            Err(error) => self.failed(error, TryPurpose::Make, sent_at).await,
        }
    }

    /// Sends a later call too early.
    async fn probe(&mut self) {
        let sent_at = now();
        let mut call = self.to_make(false);
        call.sequence += 1;
        call.idempotency_key = format!("{}-probe", call.idempotency_key);
        call.messages = vec![ChatMessage::text(ChatRole::User, "too early")];
        let made = document_or_error(self.client.make(self.gateway, &call).await);
        let result = match made {
            Ok(text) => TryResult::Answered { from: 0, text },
            Err(error) => result_of(&error, String::new()),
        };
        let sequence = call.sequence;
        self.note(TryPurpose::Probe, sent_at, Some(now()), result);
        if let Some(probe) = self.record.tries.last_mut() {
            probe.sequence = sequence;
        }
    }

    /// Notes a failure and decides what to do next.
    async fn failed(
        &mut self,
        error: RequestError,
        purpose: TryPurpose,
        sent_at: Timestamp,
    ) -> Next {
        let first_word = matches!(error, RequestError::Refused(_)).then(now);
        let result = result_of(&error, String::new());
        self.note(purpose, sent_at, first_word, result);
        match error {
            RequestError::Refused(refusal) => self.refused(refusal).await,
            RequestError::Cut | RequestError::NoWord | RequestError::NotSent => Next::Again {
                asked: None,
                elsewhere: true,
            },
        }
    }

    async fn refused(&mut self, refusal: Refusal) -> Next {
        let asked = refusal.retry_after;
        match refusal.code.as_str() {
            // Settled for good: no answer will come for this place of the program.
            "deadline_exceeded" | "engine_failed" => self.settled(&refusal).await,
            "budget_spent" | "limit_reached" if asked.is_none() => fail(&refusal),
            "overloaded"
            | "unavailable"
            | "draining"
            | "limit_reached"
            | "no_engine"
            | "settings_lease_expired"
            | "internal"
            | "unreadable"
            | "sequence_conflict" => {
                // Another gateway may serve; the same key makes asking again harmless.
                let elsewhere = refusal.code != "limit_reached";
                Next::Again { asked, elsewhere }
            }
            _ => fail(&refusal),
        }
    }

    /// A call that ended without an answer: made anew only where it did not run, or is repeatable.
    async fn settled(&mut self, refusal: &Refusal) -> Next {
        let may_repeat = refusal.verdict == Verdict::NotRun || self.plan.repeatable;
        if !may_repeat {
            return fail(refusal);
        }
        let status = self.client.show(self.gateway, self.program).await;
        match status {
            Ok(status) if status.next_sequence > self.sequence => Next::Anew,
            _ => {
                // Not settled, or not known: the same request again tells.
                self.forget_text();
                Next::Again {
                    asked: refusal.retry_after,
                    elsewhere: true,
                }
            }
        }
    }

    fn forget_text(&mut self) {
        self.text.clear();
        self.last_event = None;
    }

    fn to_make(&self, stream: bool) -> CallToMake {
        CallToMake {
            program: self.program,
            sequence: self.sequence,
            idempotency_key: format!("call-{}", self.sequence),
            repeatable: self.plan.repeatable,
            model: self.model.clone(),
            messages: self.record.messages.clone(),
            max_tokens: self.plan.output_tokens,
            stream,
        }
    }

    fn note(
        &mut self,
        purpose: TryPurpose,
        sent_at: Timestamp,
        first_word_at: Option<Timestamp>,
        result: TryResult,
    ) {
        self.record.tries.push(TryRecord {
            sequence: self.sequence,
            gateway: self.gateway,
            purpose,
            sent_at,
            first_word_at,
            ended_at: now(),
            result,
        });
    }
}

fn new_record(plan: &CallPlan) -> CallRecord {
    CallRecord {
        messages: plan.messages.clone(),
        output_tokens: plan.output_tokens,
        repeatable: plan.repeatable,
        tries: Vec::new(),
        answer: None,
        left_open: false,
    }
}

fn document_or_error(made: Result<CallResponse, RequestError>) -> Result<String, RequestError> {
    match made {
        Ok(CallResponse::Document(text)) => Ok(text),
        Ok(CallResponse::Stream(_)) => Err(RequestError::Cut),
        Err(error) => Err(error),
    }
}

fn result_of(error: &RequestError, text: String) -> TryResult {
    match error {
        RequestError::Refused(refusal) => TryResult::Refused(refusal.clone()),
        RequestError::Cut => TryResult::Cut { text },
        RequestError::NoWord => TryResult::NoWord,
        RequestError::NotSent => TryResult::NotSent,
    }
}

fn fail(refusal: &Refusal) -> Next {
    Next::End(CallEnd::Failed(format!(
        "{}: {} ({})",
        refusal.code, refusal.message, refusal.verdict
    )))
}
