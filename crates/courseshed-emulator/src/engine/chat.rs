//! `POST /v1/chat/completions`.

use crate::answer::{Prompt, drawn_output_tokens, find_directive};
use crate::engine::error::{self, error_body};
use crate::engine::record::{FixedPart, Phase, RequestRecord};
use crate::engine::requests::{event_stream, whole_answer};
use crate::engine::state::{EngineState, ProgramPrefix, Shared};
use actix_web::http::header::HeaderMap;
use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_engine::protocol::{
    ChatBody, EngineErrorCode, ErrorBody, HEADER_BRANCH, HEADER_PRIORITY, HEADER_PROGRAM_ID,
    HEADER_REQUEST_ID,
};
use courseshed_engine_model::{EngineRequest, OwnerKey, RequestKey, SubmitError};
use courseshed_types::call::FinishReason;
use courseshed_types::{BranchPath, ProgramId, Verdict};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Longest request id in bytes.
const MAX_ID_BYTES: usize = 128;

/// A request that was read but not taken in yet.
struct Arrival {
    fixed: FixedPart,
    priority: i32,
    prompt: Prompt,
}

/// Takes a request in, once per request id, and answers with its stream or its whole text.
pub(crate) async fn complete(
    shared: web::Data<Shared>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let chat: ChatBody = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(error) => return error::not_run(EngineErrorCode::InvalidRequest, error.to_string()),
    };
    let arrival = match read_arrival(&shared, request.headers(), &chat) {
        Ok(arrival) => arrival,
        Err(reason) => return error::not_run(EngineErrorCode::InvalidRequest, reason),
    };
    let record = match take_in(&shared, arrival) {
        Ok(record) => record,
        Err(body) => return error::answer(body),
    };
    shared.changed.notify_one();
    match chat.stream {
        true => event_stream(record, 0),
        false => whole_answer(record).await,
    }
}

fn read_arrival(shared: &Shared, headers: &HeaderMap, chat: &ChatBody) -> Result<Arrival, String> {
    if chat.messages.is_empty() {
        return Err("messages must not be empty".to_owned());
    }
    let id = read_header::<String>(headers, HEADER_REQUEST_ID)?.unwrap_or_default();
    if id.len() > MAX_ID_BYTES || !id.chars().all(is_plain) {
        return Err(format!(
            "{HEADER_REQUEST_ID} takes letters, digits, '.', '-', '_' and ':'"
        ));
    }
    let prompt = Prompt::new(&chat.messages);
    let limit = chat
        .max_tokens
        .map_or(shared.options.default_max_tokens, |tokens| tokens.0 as u32);
    let wanted = wanted_tokens(shared, chat, &prompt);
    let output_tokens = wanted.min(limit).max(1);
    let finish_reason = match wanted <= limit {
        true => FinishReason::Stop,
        false => FinishReason::Length,
    };
    let fixed = FixedPart {
        id,
        key: 0,
        model: chat.model.clone(),
        branch: read_header(headers, HEADER_BRANCH)?.unwrap_or_else(BranchPath::root),
        program: read_header::<ProgramId>(headers, HEADER_PROGRAM_ID)?,
        answer: prompt.answer(output_tokens),
        prompt_tokens: prompt.counted_tokens(),
        output_tokens,
        finish_reason,
    };
    Ok(Arrival {
        fixed,
        priority: read_header(headers, HEADER_PRIORITY)?.unwrap_or(0),
        prompt,
    })
}

fn wanted_tokens(shared: &Shared, chat: &ChatBody, prompt: &Prompt) -> u32 {
    let directive = find_directive(&chat.messages).unwrap_or_default();
    let options = &shared.options;
    directive.output_tokens.unwrap_or_else(|| {
        drawn_output_tokens(prompt.digest(), options.seed, options.mean_output_tokens)
    })
}

fn read_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| format!("header {name} is not plain text"))?;
    let read = text
        .parse()
        .map_err(|_| format!("header {name} has no valid value"))?;
    Ok(Some(read))
}

/// Whether a character needs no escaping in ids and names.
pub(crate) fn is_plain(character: char) -> bool {
    character.is_ascii_alphanumeric() || ".-_:/".contains(character)
}

fn take_in(shared: &Shared, mut arrival: Arrival) -> Result<Arc<RequestRecord>, ErrorBody> {
    let now = shared.now();
    let mut state = shared.lock();
    if arrival.fixed.id.is_empty() {
        arrival.fixed.id = format!("anonymous-{}-{}", state.start, state.next_key);
    }
    if let Some(known) = state.requests.get(&arrival.fixed.id) {
        return Err(error::known_body(known.progress().phase.state()));
    }
    let id = arrival.fixed.id.clone();
    if state.leaving {
        state.ran.note_late_arrival(&id);
    }
    let refusal = match state.refusal(&arrival.fixed, shared.options.max_waiting) {
        Some(refusal) => refusal,
        None => match state.submit(arrival, now) {
            Ok(record) => return Ok(record),
            Err(refused) => (EngineErrorCode::ContextTooLong, refused.to_string()),
        },
    };
    // A refused id stays refused, so that "not run" stays true whatever arrives late.
    state.bury(&id, now);
    Err(error_body(refusal.0, Verdict::NotRun, refusal.1))
}

impl EngineState {
    /// Why a request can't be taken in, if so.
    fn refusal(&self, fixed: &FixedPart, max_waiting: usize) -> Option<(EngineErrorCode, String)> {
        if self.leaving {
            let message = "the engine is leaving".to_owned();
            return Some((EngineErrorCode::Leaving, message));
        }
        if !self
            .models
            .get(&fixed.model)
            .is_some_and(|model| model.ready)
        {
            let message = format!("model '{}' is not loaded", fixed.model);
            return Some((EngineErrorCode::ModelNotLoaded, message));
        }
        if self.model.load().waiting >= max_waiting {
            let message = format!("{max_waiting} requests wait already");
            return Some((EngineErrorCode::Overloaded, message));
        }
        None
    }

    fn submit(
        &mut self,
        arrival: Arrival,
        now: Duration,
    ) -> Result<Arc<RequestRecord>, SubmitError> {
        let Arrival {
            mut fixed,
            priority,
            prompt,
        } = arrival;
        let block_tokens = self.model.config().block_tokens;
        let chain: Arc<[_]> = prompt.block_hashes(&fixed.answer, block_tokens).into();
        let key = self.next_key;
        self.next_key += 1;
        fixed.key = key;
        let request = EngineRequest {
            key: RequestKey(key),
            priority,
            owner: OwnerKey(self.owner_keys.number(&fixed.branch)),
            blocks: chain.clone(),
            prompt_tokens: prompt.context_tokens(),
            output_tokens: fixed.output_tokens,
            hold: None,
        };
        self.model.submit(now, request)?;
        if let Some(program) = fixed.program {
            let branch = fixed.branch.clone();
            self.programs
                .insert(program, ProgramPrefix { chain, branch });
        }
        let record = Arc::new(RequestRecord::new(fixed, Phase::Queued, now));
        self.requests.insert(record.id.clone(), record.clone());
        self.by_key.insert(key, record.clone());
        Ok(record)
    }
}
