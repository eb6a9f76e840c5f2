//! What ties the attempts of a client at one request together, and what keeps requests apart.

use actix_http::RequestHead;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use bytes::Bytes;
use courseshed_edge::gateway::{CallCodec, GatewayRequest, ShortCodec, request_key};
use courseshed_types::RequestKey;
use yare::parameterized;

fn request(headers: &[(&'static str, &'static str)], body: &'static str) -> GatewayRequest {
    let mut head = RequestHead::default();
    head.uri = "/a/x?y=1".parse().expect("a path");
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    head.headers = map;
    let mut request = ShortCodec.read_call(&head).expect("a request");
    request.body = Bytes::from_static(body.as_bytes());
    request
}

fn key(headers: &[(&'static str, &'static str)], body: &'static str) -> RequestKey {
    request_key(&request(headers, body), Some("tenant"))
}

/// Guards against attempts that look like different requests.
#[test]
fn attempts_of_one_request_have_one_key() {
    let first = key(
        &[("x-call", "c1"), ("x-program", "p"), ("x-time", "900")],
        "text",
    );
    let retry = key(
        &[
            ("x-call", "c2"),
            ("x-program", "p"),
            ("x-time", "500"),
            ("x-last", "3"),
            ("x-resumes", "c1"),
        ],
        "text",
    );
    assert_eq!(first, retry);
}

/// Guards against blaming one request for another.
#[parameterized(
    body = { &[("x-program", "p")], "other" },
    program = { &[("x-program", "q")], "text" },
    no_program = { &[], "text" },
    previous_turn = { &[("x-program", "p"), ("x-previous", "t")], "text" },
    affinity = { &[("x-program", "p"), ("x-key", "k")], "text" },
    prompt = { &[("x-program", "p"), ("x-prompt", "7:10")], "text" },
)]
fn different_requests_have_different_keys(
    headers: &[(&'static str, &'static str)],
    body: &'static str,
) {
    assert_ne!(key(&[("x-program", "p")], "text"), key(headers, body));
}

#[test]
fn tenants_that_send_the_same_text_have_different_keys() {
    let call = request(&[], "text");
    assert_ne!(
        request_key(&call, Some("one")),
        request_key(&call, Some("two"))
    );
    assert_ne!(request_key(&call, Some("one")), request_key(&call, None));
}
