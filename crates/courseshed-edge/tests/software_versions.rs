//! Streams while servers of several software versions serve side by side.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use courseshed_edge::protocol::{ChainReading, RecordOperation, RecordRequest, StreamOperation};
use courseshed_records::PartitionId;
use courseshed_routing::Route;
use support::server::{Action, FINAL_CHUNK, MockServer, ReceivedRequest, chunk, response};
use support::{Fleet, Gateway, call, status, stream_route, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const GRACE: Duration = Duration::from_secs(20);
/// The last event that clients have of a stream when they resume it.
const LAST_EVENT: u64 = 2;
/// Streams that are resumed in a test; with several servers of each version, a choice that ignores
/// versions goes wrong at least once.
const STREAMS: usize = 12;

/// How a server treats streams that begin at it.
#[derive(Clone, Copy)]
enum Begins {
    /// Rejects them as not run.
    Rejected,
    /// Breaks them off after [`LAST_EVENT`] events.
    BrokenOff,
    /// Sends [`LAST_EVENT`] events and then nothing more.
    Stalled,
}

/// A server whose events name its software version.
async fn versioned_server(version: &'static str, begins: Begins) -> MockServer {
    MockServer::start(move |request| {
        let begin = format!(
            "{}{}{}",
            support::server::stream_head(request),
            versioned_event(1, version),
            versioned_event(LAST_EVENT, version)
        );
        if request.header("x-last").is_some() {
            let rest = versioned_event(LAST_EVENT + 1, version);
            let head = support::server::stream_head(request);
            return Action::Write(format!("{head}{rest}{FINAL_CHUNK}"));
        }
        match begins {
            Begins::Rejected => Action::Write(support::server::rejection(request)),
            Begins::BrokenOff => Action::WriteAndClose(begin),
            Begins::Stalled => Action::Write(begin),
        }
    })
    .await
}

fn versioned_event(id: u64, version: &str) -> String {
    chunk(&format!("id: {id}\ndata: {version}-{id}\n\n"))
}

fn resumable_route() -> Route {
    Route {
        resumable: true,
        max_attempts: 3,
        ..stream_route()
    }
}

/// Requests of clients that a server received with a last event.
fn resumptions(server: &MockServer) -> Vec<ReceivedRequest> {
    let mut requests = server.requests();
    requests.retain(|request| request.header("x-last").is_some());
    requests
}

/// Begins a stream at a gateway, reads [`LAST_EVENT`] events and disconnects. Returns what came.
async fn begin_stream(address: SocketAddr, id: &str) -> String {
    read_events(address, id, "", LAST_EVENT).await
}

/// The software version that wrote the first event of a response.
fn version_in(received: &str) -> &str {
    let data = received.split("data: ").nth(1);
    data.and_then(|data| data.split('-').next()).unwrap_or("")
}

/// Reads a stream up to an event and disconnects. Returns what came.
async fn read_events(address: SocketAddr, id: &str, headers: &str, last: u64) -> String {
    let mut client = TcpStream::connect(address).await.expect("connected");
    let request = format!(
        "POST /a/x?y=1 HTTP/1.1\r\nhost: a.example\r\nx-call: {id}\r\n{headers}content-length: 0\r\n\r\n"
    );
    client.write_all(request.as_bytes()).await.expect("sent");
    let mut received = String::new();
    while !received.contains(&format!("id: {last}\n")) {
        let mut bytes = [0; 4096];
        let read = client.read(&mut bytes).await.expect("readable");
        assert!(read > 0, "the stream ended early: {received}");
        received.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    received
}

/// Resumes a stream that the request `first` began.
async fn resume(address: SocketAddr, id: &str, first: &str) -> String {
    let headers = format!("x-last: {LAST_EVENT}\r\nx-resumes: {first}\r\n");
    call(address, id, &headers, "").await
}

/// A fleet with two gateways that share two old servers and two new ones.
struct Release {
    fleet: Fleet,
    second: Gateway,
    old: [MockServer; 2],
    new: [MockServer; 2],
}

impl Release {
    /// Starts a release. Streams begin at the old servers, and at the new ones as told.
    async fn start(at_new: Begins) -> Self {
        let fleet = Fleet::start(GRACE).await;
        fleet.set_routes(vec![resumable_route()]).await;
        let mut servers = Vec::new();
        for (id, version, begins) in [
            ("old-1", "v1", Begins::Stalled),
            ("old-2", "v1", Begins::Stalled),
            ("new-1", "v2", at_new),
            ("new-2", "v2", at_new),
        ] {
            let server = versioned_server(version, begins).await;
            fleet.add_server_with_version(id, &server, version).await;
            servers.push(server);
        }
        fleet.wait_for_record_stores().await;
        let second = fleet.start_second_gateway().await;
        wait_until(async || status(&probe_stores(second.caller_addr).await) == 404).await;
        let [old_1, old_2, new_1, new_2] = servers.try_into().ok().expect("four servers");
        Self {
            fleet,
            second,
            old: [old_1, old_2],
            new: [new_1, new_2],
        }
    }

    fn resumptions_at(&self, servers: &[MockServer]) -> usize {
        servers.iter().map(|server| resumptions(server).len()).sum()
    }
}

async fn probe_stores(address: SocketAddr) -> String {
    let id = support::server::PROBE_CALL_ID;
    call(address, id, "x-previous: never\r\n", "").await
}

#[actix_rt::test]
async fn broken_stream_is_resumed_only_at_its_software_version() {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![resumable_route()]).await;
    for (id, version) in [
        ("old-1", "v1"),
        ("old-2", "v1"),
        ("new-1", "v2"),
        ("new-2", "v2"),
    ] {
        let server = versioned_server(version, Begins::BrokenOff).await;
        fleet.add_server_with_version(id, &server, version).await;
    }
    for number in 0..STREAMS {
        let response = call(fleet.caller_addr, &format!("c{number}"), "", "").await;
        assert!(response.ends_with(FINAL_CHUNK), "{response}");
        let of_version = |version: &str| response.matches(&format!("data: {version}-")).count();
        let events = [of_version("v1"), of_version("v2")];
        assert!(events == [3, 0] || events == [0, 3], "{response}");
    }
}

/// Guards against joining versions where only one server of the stream's version was ever listed.
#[actix_rt::test]
async fn broken_stream_ends_when_no_server_of_its_software_version_is_left() {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![resumable_route()]).await;
    let old = MockServer::start(|request| {
        if request.header("x-last").is_some() {
            return Action::Write(support::server::rejection(request));
        }
        let event = versioned_event(1, "v1");
        let head = support::server::stream_head(request);
        Action::WriteAndClose(format!("{head}{event}"))
    })
    .await;
    let new = versioned_server("v2", Begins::Rejected).await;
    fleet.add_server_with_version("old", &old, "v1").await;
    fleet.add_server_with_version("new", &new, "v2").await;
    let response = call(fleet.caller_addr, "c1", "", "").await;
    assert!(response.contains("v1-1"), "{response}");
    assert!(!response.ends_with(FINAL_CHUNK), "{response}");
    assert_eq!(resumptions(&new).len(), 0);
}

#[actix_rt::test]
async fn client_resumes_a_stream_only_at_the_software_version_that_began_it() {
    let release = Release::start(Begins::Stalled).await;
    for number in 0..STREAMS {
        let first = format!("first-{number}");
        let begun = begin_stream(release.fleet.caller_addr, &first).await;
        let resumed = resume(release.second.caller_addr, &format!("c{number}"), &first).await;
        assert_eq!(status(&resumed), 200, "{resumed}");
        assert_eq!(version_in(&resumed), version_in(&begun), "{resumed}");
    }
}

/// Guards against a client that is cut off again and names the attempt that went on last.
#[actix_rt::test]
async fn stream_keeps_its_software_version_over_several_resumptions() {
    let release = Release::start(Begins::Stalled).await;
    let addresses = [release.fleet.caller_addr, release.second.caller_addr];
    let begun = begin_stream(addresses[0], "first").await;
    let mut previous = "first".to_owned();
    for number in 0..STREAMS {
        let id = format!("again-{number}");
        let address = addresses[(number + 1) % 2];
        let headers = format!("x-last: {LAST_EVENT}\r\nx-resumes: {previous}\r\n");
        let resumed = read_events(address, &id, &headers, LAST_EVENT + 1).await;
        assert_eq!(version_in(&resumed), version_in(&begun), "{resumed}");
        previous = id;
    }
}

#[actix_rt::test]
async fn stream_of_unknown_software_version_is_refused_and_not_sent() {
    let release = Release::start(Begins::Rejected).await;
    let address = release.second.caller_addr;
    let unnamed = call(address, "c1", &format!("x-last: {LAST_EVENT}\r\n"), "").await;
    let unknown = resume(address, "c2", "never-begun").await;
    for refused in [unnamed, unknown] {
        assert_eq!(status(&refused), 503, "{refused}");
        assert!(refused.ends_with("unknown_stream_version"), "{refused}");
    }
    assert_eq!(release.resumptions_at(&release.old), 0);
    assert_eq!(release.resumptions_at(&release.new), 0);
}

#[actix_rt::test]
async fn stream_whose_software_version_has_left_is_refused_and_not_sent() {
    let release = Release::start(Begins::Rejected).await;
    begin_stream(release.fleet.caller_addr, "first").await;
    for id in ["old-1", "old-2"] {
        wait_until(async || release.fleet.controller.leave(id.to_owned()).await.is_ok()).await;
    }
    wait_until(async || {
        let refused = resume(release.second.caller_addr, "c1", "first").await;
        assert_eq!(release.resumptions_at(&release.new), 0, "{refused}");
        status(&refused) == 503 && refused.ends_with("stream_version_gone")
    })
    .await;
}

/// Resumes a stream without a name of the request that began it.
async fn resume_unnamed(address: SocketAddr, id: &str) -> String {
    call(address, id, &format!("x-last: {LAST_EVENT}\r\n"), "").await
}

/// Guards against clients that bring no name and are refused, though the stores know what they ask for.
#[actix_rt::test]
async fn unnamed_client_resumes_at_the_software_version_that_began_the_stream() {
    let release = Release::start(Begins::Rejected).await;
    begin_stream(release.fleet.caller_addr, "first").await;
    for number in 0..STREAMS {
        let id = format!("unnamed-{number}");
        wait_until(async || {
            let resumed = resume_unnamed(release.second.caller_addr, &id).await;
            assert!(!resumed.contains("v2-"), "{resumed}");
            status(&resumed) == 200
        })
        .await;
    }
}

/// Guards against a service that has run one version for some time, which is taken for the one that began a stream of
/// its predecessor: by a gateway that saw both, and by one that started afterwards.
#[actix_rt::test]
async fn unnamed_client_is_refused_once_the_software_version_has_left() {
    const SETTLED: Duration = Duration::from_secs(13);
    let release = Release::start(Begins::Rejected).await;
    let short = Route {
        timeout_ms: 3_000,
        ..resumable_route()
    };
    release
        .fleet
        .publish_table(support::table(9, vec![short], None))
        .await;
    begin_stream(release.fleet.caller_addr, "first").await;
    for id in ["old-1", "old-2"] {
        wait_until(async || release.fleet.controller.leave(id.to_owned()).await.is_ok()).await;
    }
    let third = release.fleet.start_another_gateway(5).await;
    let began = tokio::time::Instant::now();
    while began.elapsed() < SETTLED {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for address in [release.second.caller_addr, third.caller_addr] {
            let resumed = resume_unnamed(address, "unnamed").await;
            assert_ne!(status(&resumed), 200, "{resumed}");
        }
    }
    assert_eq!(release.resumptions_at(&release.new), 0);
}

/// Guards against servers that are taken for the version of their predecessor at the same address.
#[actix_rt::test]
async fn software_version_belongs_to_the_incarnation_and_not_to_the_address() {
    let release = Release::start(Begins::Rejected).await;
    begin_stream(release.fleet.caller_addr, "first").await;
    for (index, id) in ["old-1", "old-2"].into_iter().enumerate() {
        wait_until(async || release.fleet.controller.leave(id.to_owned()).await.is_ok()).await;
        // The successor answers at the address of the server that left.
        let successor = courseshed_registry::Registration {
            server: courseshed_registry::Server {
                software_version: Some("v3".to_owned()),
                ..support::ready_server(&format!("successor-{index}"), &release.old[index])
            },
            sequence: 1,
        };
        let controller = &release.fleet.controller;
        wait_until(async || controller.announce(successor.clone()).await.is_ok()).await;
    }
    let mut refusals = BTreeSet::new();
    wait_until(async || {
        let refused = resume(release.second.caller_addr, "c1", "first").await;
        refusals.insert(status(&refused));
        refused.ends_with("stream_version_gone")
    })
    .await;
    let ids: BTreeSet<String> = release
        .old
        .iter()
        .flat_map(resumptions)
        .filter_map(|request| request.header("x-server").map(str::to_owned))
        .collect();
    assert!(
        ids.iter().all(|id| !id.starts_with("successor")),
        "{ids:?} {refusals:?}"
    );
}

/// A response that isn't a stream is no part of one, whatever version sent it.
#[actix_rt::test]
async fn error_response_to_a_resumed_stream_is_passed_on() {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![resumable_route()]).await;
    let server = MockServer::start(|request| {
        if request.header("x-last").is_some() {
            return Action::Write(response(request, "failed").replace("200 OK", "500 Failed"));
        }
        let head = support::server::stream_head(request);
        Action::Write(format!("{head}{}", versioned_event(LAST_EVENT, "v1")))
    })
    .await;
    fleet.add_server_with_version("one", &server, "v1").await;
    fleet.wait_for_record_stores().await;
    begin_stream(fleet.caller_addr, "first").await;
    let resumed = resume(fleet.caller_addr, "c1", "first").await;
    assert_eq!(status(&resumed), 500, "{resumed}");
}

/// A request as a store of an earlier release reads it.
#[derive(serde::Deserialize)]
struct EarlierRequest {
    partition: PartitionId,
    operation: RecordOperation,
}

/// Guards against a rolling upgrade in which earlier stores close the connection of every gateway
/// that asks them for the version of a stream.
#[test]
fn store_of_an_earlier_release_reads_a_stream_operation_as_a_harmless_one() {
    let request = RecordRequest {
        incarnation: 1,
        partition: PartitionId(3),
        epoch: 2,
        operation: RecordOperation::Chain {
            id: String::new(),
            reading: ChainReading::Whole,
        },
        stream: Some(StreamOperation::Read {
            stream: "first".to_owned(),
        }),
        attempt: None,
    };
    let bytes = rmp_serde::to_vec_named(&request).expect("encodable");
    let read: EarlierRequest = rmp_serde::from_slice(&bytes).expect("readable");
    assert_eq!(read.partition, PartitionId(3));
    assert!(matches!(read.operation, RecordOperation::Chain { id, .. } if id.is_empty()));
}

/// Guards against stores that refuse requests of gateways of an earlier release.
#[test]
fn request_of_an_earlier_release_holds_no_stream_operation() {
    let request = RecordRequest {
        incarnation: 1,
        partition: PartitionId(3),
        epoch: 2,
        operation: RecordOperation::Chain {
            id: "turn".to_owned(),
            reading: ChainReading::Whole,
        },
        stream: None,
        attempt: None,
    };
    let mut value = serde_json::to_value(&request).expect("encodable");
    value
        .as_object_mut()
        .expect("an object")
        .shift_remove("stream");
    let read: RecordRequest = serde_json::from_value(value).expect("readable");
    assert_eq!(read.stream, None);
}

/// Guards against records that weigh on links: a stream is recorded at each replica of a partition.
#[test]
fn recording_the_version_of_a_stream_takes_few_bytes() {
    const MAX_BYTES: usize = 256;
    let request = RecordRequest {
        incarnation: u64::MAX,
        partition: PartitionId(23),
        epoch: 1_000,
        operation: RecordOperation::Chain {
            id: String::new(),
            reading: ChainReading::Whole,
        },
        stream: Some(StreamOperation::Record {
            stream: "e5b2907c14da6f38".to_owned(),
            version: "v1.2".to_owned(),
            keep_ms: 4_000,
        }),
        attempt: None,
    };
    let bytes = rmp_serde::to_vec_named(&request).expect("encodable").len();
    println!("{bytes} bytes to record the version of a stream");
    assert!(bytes <= MAX_BYTES, "{bytes}");
}
