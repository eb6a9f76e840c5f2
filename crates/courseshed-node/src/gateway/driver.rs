//! Drives one call from the shard's first answer to its outcome: runs attempts, follows attempts of other
//! gateways, reports, and tells the caller.

use std::time::Duration;

use actix_rt::time::sleep;
use courseshed_engine::EngineConnector;
use courseshed_types::{
    Attempt, CallError, CallId,
    shard::{AttachOrder, AttemptReport, AttemptResult, ShardReply, ShardRequestBody, StartOrder},
};

use crate::{
    context::SharedContext,
    gateway::{branches::unexpected, events::CallSink, reader::AttemptReader},
    shards::ShardPatience,
};

/// Wait before a call that another gateway runs is looked at again.
const FOLLOW_PAUSE: Duration = Duration::from_millis(200);
/// How long the end of an attempt is reported before the shard is left to find out by itself.
const REPORT_PATIENCE: ShardPatience = ShardPatience {
    find_leader: Duration::from_secs(60),
    answer: Duration::from_secs(120),
};

/// Drives one call.
pub struct CallDriver {
    /// The node.
    pub context: SharedContext,
    /// Connections of this thread to engines.
    pub connector: EngineConnector,
    /// How long the shard may take to answer.
    pub patience: ShardPatience,
    /// Where the caller listens.
    pub sink: CallSink,
    /// The attempt of which the caller had the offset, if it came back.
    pub resumed_attempt: Option<Attempt>,
    /// Whether the task is there for its caller's sake only, since the call was made by another request.
    pub only_follows: bool,
}

impl CallDriver {
    /// Drives the call from the shard's answer on.
    pub async fn drive(mut self, first: Result<ShardReply, CallError>) {
        let mut reply = first;
        loop {
            reply = match reply {
                Ok(ShardReply::Start(order)) => self.run(*order).await,
                Ok(ShardReply::Attach(_)) if self.only_follows && !self.sink.has_reader() => return,
                Ok(ShardReply::Attach(order)) => self.follow(order).await,
                Ok(ShardReply::Outcome(settled)) => return self.sink.settled(settled),
                Ok(other) => return self.sink.broken(unexpected(&other)),
                Err(error) => return self.sink.broken(error),
            };
        }
    }

    /// Runs an attempt that was given to this gateway alone, and reports its end.
    async fn run(&mut self, order: StartOrder) -> Result<ShardReply, CallError> {
        let request = order.call.request;
        if !order.is_valid_at(self.context.clock.now()) {
            let reason = "the order to start came too late".to_owned();
            let result = AttemptResult::NotStarted(reason);
            return self.report(request.call, request, result).await;
        }
        self.note_attempt(request.attempt);
        self.context.gateway.streams.insert(request);
        let reader = AttemptReader {
            client: self.connector.engine(&order.engine_address),
            engine: order.engine,
            request,
            max_bytes: self.max_answer_bytes(),
            sink: &mut self.sink,
        };
        let result = match self.context.clock.now() > order.valid_until {
            // Its shard may be about to give the call another attempt.
            true => AttemptResult::NotStarted("the order to start it came too late".to_owned()),
            false => reader.start(&order.call).await,
        };
        // From here on the stream is not alive: a shard that is told otherwise would not ask the engine about it.
        self.context.gateway.streams.remove(request);
        self.context.metrics.attempt_ended(&result);
        self.report(request.call, request, result).await
    }

    /// Reads along an attempt that was sent to its engine before.
    async fn follow(&mut self, order: AttachOrder) -> Result<ShardReply, CallError> {
        let request = order.request;
        self.note_attempt(request.attempt);
        let reader = AttemptReader {
            client: self.connector.engine(&order.engine_address),
            engine: order.engine,
            request,
            max_bytes: self.max_answer_bytes(),
            sink: &mut self.sink,
        };
        match reader.follow().await {
            // Whoever holds the whole answer may report it; the shard takes the first.
            Some(result) => self.report(request.call, request, result).await,
            None => {
                sleep(FOLLOW_PAUSE).await;
                self.ask(request.call, ShardRequestBody::AttachCall(request.call))
                    .await
            }
        }
    }

    async fn report(
        &self,
        call: CallId,
        request: courseshed_types::RequestId,
        result: AttemptResult,
    ) -> Result<ShardReply, CallError> {
        let report = AttemptReport {
            request,
            result,
            gateway: self.context.identity.node,
        };
        let body = ShardRequestBody::ReportAttempt(report);
        let shard = call.program.shard;
        let client = &self.context.shard_client;
        client
            .ask(&self.context, shard, body, REPORT_PATIENCE)
            .await
    }

    async fn ask(&self, call: CallId, body: ShardRequestBody) -> Result<ShardReply, CallError> {
        let shard = call.program.shard;
        let client = &self.context.shard_client;
        client.ask(&self.context, shard, body, self.patience).await
    }

    fn note_attempt(&mut self, attempt: Attempt) {
        if self
            .resumed_attempt
            .take()
            .is_some_and(|had| had != attempt)
        {
            self.sink.forget_offset();
        }
    }

    fn max_answer_bytes(&self) -> usize {
        usize::try_from(self.context.settings.limits.answer_bytes).unwrap_or(usize::MAX)
    }
}

#[cfg(test)]
mod tests;
