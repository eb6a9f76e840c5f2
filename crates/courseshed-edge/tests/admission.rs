//! Admission control in a gateway: new programs are refused while the servers are crowded, and programs in progress
//! are served.

mod support;

use std::time::Duration;

use courseshed_edge::gateway::{Mechanism, Policy};
use support::server::{Action, FINAL_CHUNK, MockServer, event, stream_head};
use support::{Fleet, SLOTS, call, status, stream_route, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const GRACE: Duration = Duration::from_secs(20);
const PROGRAMS: usize = 20;

/// A server that answers at once, except calls whose id begins with `held`, which run until their client leaves.
async fn start_server() -> MockServer {
    MockServer::start(|request| {
        let is_held = request
            .header("x-call")
            .is_some_and(|id| id.starts_with("held"));
        let end = if is_held { "" } else { FINAL_CHUNK };
        Action::Write(format!("{}{}{end}", stream_head(request), event(1)))
    })
    .await
}

/// Starts as many endless calls as make the server crowded.
async fn crowd(fleet: &Fleet, server: &MockServer) -> Vec<TcpStream> {
    let mut held = Vec::new();
    for index in 0..2 * SLOTS {
        let mut stream = TcpStream::connect(fleet.caller_addr)
            .await
            .expect("connected");
        let request = format!(
            "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: held{index}\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        held.push(stream);
    }
    wait_until(async || {
        let requests = server.requests();
        let ids = requests
            .iter()
            .filter_map(|request| request.header("x-call"));
        ids.filter(|id| id.starts_with("held")).count() == held.len()
    })
    .await;
    held
}

async fn turn(fleet: &Fleet, id: &str, program: &str) -> String {
    let headers = format!("x-program: {program}\r\nx-budget: 1000\r\nx-most: 10\r\n");
    call(fleet.caller_addr, id, &headers, "").await
}

/// The pool scheduler would hold back the calls that make the server crowded.
fn unscheduled() -> Policy {
    Policy::without([Mechanism::PoolScheduler])
}

async fn start_fleet(policy: Policy) -> (Fleet, MockServer) {
    let fleet = Fleet::start_with(GRACE, policy).await;
    let server = start_server().await;
    fleet.set_routes(vec![stream_route()]).await;
    fleet.add_server("one", &server).await;
    fleet.wait_for_record_stores().await;
    (fleet, server)
}

/// Number of the programs that begin now and are refused.
async fn refused(fleet: &Fleet, name: &str) -> usize {
    let mut refused = 0;
    for index in 0..PROGRAMS {
        let response = turn(fleet, &format!("{name}{index}"), &format!("{name}{index}")).await;
        if status(&response) == 503 {
            assert!(response.contains("overloaded"), "{response}");
            assert!(response.contains("retry-after: 0."), "{response}");
            refused += 1;
        } else {
            assert_eq!(status(&response), 200, "{response}");
        }
    }
    refused
}

/// Guards against programs in progress being refused, and against refusals that outlast the shortage.
#[actix_rt::test]
async fn new_programs_are_refused_while_servers_are_crowded() {
    let (fleet, server) = start_fleet(unscheduled().with([Mechanism::Admission])).await;
    assert_eq!(refused(&fleet, "before").await, 0);
    let held = crowd(&fleet, &server).await;
    wait_until(async || refused(&fleet, "begins").await > 0).await;
    let refusals = refused(&fleet, "during").await;
    assert!(refusals >= PROGRAMS / 2, "{refusals}");
    let second = turn(&fleet, "second", "before0").await;
    assert_eq!(status(&second), 200, "{second}");
    drop(held);
    wait_until(async || refused(&fleet, "after").await == 0).await;
}

/// Guards against admission control in a gateway that was not told to use it.
#[actix_rt::test]
async fn no_program_is_refused_by_default() {
    let (fleet, server) = start_fleet(unscheduled()).await;
    let _held = crowd(&fleet, &server).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(refused(&fleet, "during").await, 0);
}
