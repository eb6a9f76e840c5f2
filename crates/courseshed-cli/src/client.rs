//! The operators' HTTP interface, as a client.
//!
//! Each request is tried on one node after another until one answers or time
//! runs out. What is known of a request only grows weaker: once it may have been
//! carried out, no later failure to connect makes it "not sent".

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use awc::{Client, Connector};
use courseshed_types::Verdict;
use courseshed_types::admin::ErrorDocument;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::arguments::Arguments;
use crate::error::CliError;
use crate::retry::{Attempts, Repeat};

/// Largest answer that is read, in bytes.
const MOST_ANSWER_BYTES: usize = 64 << 20;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request of the operators' interface.
pub(crate) struct Request {
    method: Method,
    path: String,
    body: Option<String>,
    repeat: Repeat,
    /// What an operator should know if the answer is lost.
    hint: String,
}

impl Request {
    /// Reads `path`.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path.into(), None)
    }

    /// Ends what stands at `path`; ending it twice is harmless.
    pub(crate) fn delete(path: impl Into<String>) -> Self {
        Self::new(Method::DELETE, path.into(), None)
    }

    /// Sends `body` to `path`; `repeat` says whether it may be sent twice.
    pub(crate) fn post(path: impl Into<String>, body: &impl Serialize, repeat: Repeat) -> Self {
        let body = serde_json::to_string(body).unwrap_or_default();
        Self {
            repeat,
            ..Self::new(Method::POST, path.into(), Some(body))
        }
    }

    /// The same request with what to say if its answer is lost.
    pub(crate) fn with_hint(self, hint: String) -> Self {
        Self { hint, ..self }
    }

    fn new(method: Method, path: String, body: Option<String>) -> Self {
        Self {
            method,
            path,
            body,
            repeat: Repeat::Harmless,
            hint: String::new(),
        }
    }
}

/// A client of one fleet.
pub(crate) struct AdminClient {
    http: Client,
    urls: Vec<String>,
    key: String,
    timeout: Duration,
}

/// One attempt that gave no usable answer.
struct Failure {
    error: CliError,
    /// Whether the request certainly was not carried out.
    not_run: bool,
    /// Whether another attempt may do better.
    worth_retrying: bool,
    retry_after: Option<Duration>,
}

impl AdminClient {
    /// A client for the nodes and key of the command line.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self, CliError> {
        let urls: Result<Vec<_>, _> = arguments.url.split(',').map(checked_url).collect();
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        Ok(Self {
            http: Client::builder()
                .connector(connector)
                .disable_timeout()
                .finish(),
            urls: urls?,
            key: arguments.key.clone(),
            timeout: arguments.timeout,
        })
    }

    /// Carries out a request, trying again where that is safe and may help.
    pub(crate) async fn send<T: DeserializeOwned>(&self, request: Request) -> Result<T, CliError> {
        let mut attempts = Attempts::within(self.timeout);
        let mut doubt: Option<CliError> = None;
        let mut urls = self.urls.iter().cycle();
        loop {
            let url = urls.next().map(String::as_str).unwrap_or_default();
            let failure = match self.attempt(url, &request, attempts.left()).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            let may_repeat = failure.not_run || request.repeat == Repeat::Harmless;
            if failure.worth_retrying && may_repeat && attempts.pause(failure.retry_after).await {
                if !failure.not_run {
                    doubt = Some(failure.error);
                }
                continue;
            }
            // A refusal is an answer to this very request; short of one, earlier doubt remains.
            return match doubt {
                Some(doubt) if failure.worth_retrying => Err(doubt),
                _ => Err(failure.error),
            };
        }
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        url: &str,
        request: &Request,
        left: Duration,
    ) -> Result<T, Failure> {
        let exchange = self.exchange(url, request);
        let lost = |reason: String| Failure {
            error: CliError::Unknown {
                url: url.to_owned(),
                reason,
                hint: request.hint.clone(),
            },
            not_run: false,
            worth_retrying: true,
            retry_after: None,
        };
        let (status, headers, body) = match actix_rt::time::timeout(left, exchange).await {
            Err(_) => return Err(lost("time ran out".to_owned())),
            Ok(Err(Lost::NotSent(reason))) => return Err(not_sent(url, reason)),
            Ok(Err(Lost::MaybeSent(reason))) => return Err(lost(reason)),
            Ok(Ok(answer)) => answer,
        };
        let unreadable = |reason: String| match request.method {
            Method::GET => malformed(url, reason),
            _ => Failure {
                worth_retrying: false,
                ..lost(reason)
            },
        };
        if status.is_success() {
            let answer = serde_json::from_slice(&body);
            return answer.map_err(|error| unreadable(format!("unreadable answer: {error}")));
        }
        match serde_json::from_slice::<ErrorDocument>(&body) {
            Ok(document) => Err(refused(status.as_u16(), &headers, document)),
            Err(_) => Err(unreadable(format!(
                "HTTP {status} without an error document"
            ))),
        }
    }

    async fn exchange(&self, url: &str, request: &Request) -> Result<Answer, Lost> {
        let target = format!("{url}{}", request.path);
        let mut http_request = self.http.request(request.method.clone(), target);
        if !self.key.is_empty() {
            let bearer = format!("Bearer {}", self.key);
            http_request = http_request.insert_header((AUTHORIZATION, bearer));
        }
        if request.body.is_some() {
            http_request = http_request.insert_header((CONTENT_TYPE, "application/json"));
        }
        let body = request.body.clone().unwrap_or_default();
        let mut response = http_request.send_body(body).await.map_err(Lost::from)?;
        let bytes = response.body().limit(MOST_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|error| Lost::MaybeSent(error.to_string()))?;
        Ok((
            response.status(),
            response.headers().clone(),
            bytes.to_vec(),
        ))
    }
}

type Answer = (awc::http::StatusCode, HeaderMap, Vec<u8>);

/// A request without an answer.
enum Lost {
    NotSent(String),
    MaybeSent(String),
}

impl From<SendRequestError> for Lost {
    /// A connection that was made and then closed is `Connect(Disconnected)` too, and the request
    /// may have gone out on it, so that only what fails before there is a connection counts as
    /// not sent.
    fn from(error: SendRequestError) -> Self {
        let text = error.to_string();
        match error {
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Lost::MaybeSent("the connection was closed".to_owned())
            }
            SendRequestError::Connect(ConnectError::H2(_)) => Lost::MaybeSent(text),
            SendRequestError::Connect(_) => Lost::NotSent(text),
            SendRequestError::Url(_) | SendRequestError::Http(_) => Lost::NotSent(text),
            _ => Lost::MaybeSent(text),
        }
    }
}

fn not_sent(url: &str, reason: String) -> Failure {
    Failure {
        error: CliError::Unreachable {
            url: url.to_owned(),
            reason,
        },
        not_run: true,
        worth_retrying: true,
        retry_after: None,
    }
}

fn malformed(url: &str, reason: String) -> Failure {
    Failure {
        error: CliError::Malformed {
            url: url.to_owned(),
            reason,
        },
        not_run: false,
        worth_retrying: false,
        retry_after: None,
    }
}

/// Codes of errors that waiting, or another node, may mend.
const PASSING: [&str; 3] = ["unavailable", "overloaded", "draining"];

fn refused(status: u16, headers: &HeaderMap, document: ErrorDocument) -> Failure {
    let body = document.error;
    let seconds = headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    Failure {
        not_run: body.verdict == Verdict::NotRun,
        worth_retrying: PASSING.contains(&body.code.as_str()),
        retry_after: seconds.map(Duration::from_secs),
        error: CliError::Refused {
            status,
            code: body.code,
            message: body.message,
            verdict: body.verdict,
        },
    }
}

fn checked_url(url: &str) -> Result<String, CliError> {
    let url = url.trim().trim_end_matches('/');
    if url
        .strip_prefix("http://")
        .is_some_and(|host| !host.is_empty())
    {
        return Ok(url.to_owned());
    }
    let reason = format!("--url: `{url}` is no http:// URL (example: http://127.0.0.1:7700)");
    Err(CliError::Usage { reason })
}
