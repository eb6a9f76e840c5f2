//! A codec with short headers, for tests and the fault soak, which run without the platform.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use bytes::{BufMut, BytesMut};
use courseshed_routing::KeyDigest;
use courseshed_types::PromptPart;

use super::call::{
    CallCodec, Credential, ForwardingContext, GatewayRequest, InvalidRequest, ProgramHeaders,
    ResponseMetadata,
};

/// The codec. Request headers: `x-call` (request ID), `x-program`, `x-budget` (token budget),
/// `x-most` (maximum tokens), `x-time` (timeout in ms), `x-last` (last event ID),
/// `x-resumes` (request that began the stream), `x-key` (affinity key), `x-prompt` (prompt segments), `x-previous` (previous turn) and `x-auth` (API key). Servers
/// receive `x-resumes` and `x-tenant` and respond with `x-not-run` if they did not execute the request.
#[derive(Clone, Copy, Debug)]
pub struct ShortCodec;

impl CallCodec for ShortCodec {
    fn read_call(&self, head: &RequestHead) -> Result<GatewayRequest, InvalidRequest> {
        let headers = head.headers();
        let number = |name| text(headers, name).and_then(|text| text.parse::<u64>().ok());
        let program = text(headers, "x-program").map(|program| ProgramHeaders {
            program,
            token_budget: number("x-budget"),
            time_left: None,
        });
        Ok(GatewayRequest {
            request_id: text(headers, "x-call").unwrap_or_default(),
            method: head.method.as_str().to_owned(),
            target: head
                .uri
                .path_and_query()
                .map_or_else(|| "/".to_owned(), ToString::to_string),
            path: head.uri.path().to_owned(),
            host: text(headers, "host").unwrap_or_default(),
            headers: HeaderMap::new(),
            credential: text(headers, "x-auth").map_or(Credential::Missing, |key| {
                Credential::Key(KeyDigest::of(key.as_bytes()))
            }),
            body: bytes::Bytes::new(),
            time_left: number("x-time").map(Duration::from_millis),
            last_event: number("x-last"),
            resumed_request: text(headers, "x-resumes"),
            program,
            most_tokens: number("x-most").and_then(|most| u32::try_from(most).ok()),
            affinity_key: text(headers, "x-key"),
            prompt: prompt(headers),
            previous_turn: text(headers, "x-previous"),
        })
    }

    fn write_head(
        &self,
        call: &GatewayRequest,
        body_bytes: usize,
        terms: &ForwardingContext,
        out: &mut BytesMut,
    ) {
        let GatewayRequest {
            method,
            target,
            request_id,
            ..
        } = call;
        let server = &terms.server;
        let head = format!(
            "{method} {target} HTTP/1.1\r\nx-call: {request_id}\r\nx-server: {server}\r\ncontent-length: {body_bytes}\r\n"
        );
        out.put_slice(head.as_bytes());
        if let Some(event) = terms.resume_after {
            out.put_slice(format!("x-last: {event}\r\n").as_bytes());
        }
        if let Some(first) = &call.resumed_request {
            out.put_slice(format!("x-resumes: {first}\r\n").as_bytes());
        }
        if let Some(tenant) = &terms.tenant {
            out.put_slice(format!("x-tenant: {tenant}\r\n").as_bytes());
        }
        out.put_slice(b"\r\n");
    }

    fn read_answer(&self, head: &ResponseHead) -> ResponseMetadata {
        ResponseMetadata {
            request_id: text(head.headers(), "x-call"),
            is_not_run: head.headers().contains_key("x-not-run"),
            warmup_remaining: text(head.headers(), "x-warm-up-ms")
                .and_then(|remaining| remaining.parse().ok())
                .map(Duration::from_millis),
        }
    }
}

/// Parses prompt segments, as comma-separated `ID:TOKENS` pairs.
fn prompt(headers: &HeaderMap) -> Vec<PromptPart> {
    let parts = text(headers, "x-prompt").unwrap_or_default();
    let part = |part: &str| {
        let (id, tokens) = part.split_once(':')?;
        Some(PromptPart {
            id: id.parse().ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    parts.split(',').filter_map(part).collect()
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}
