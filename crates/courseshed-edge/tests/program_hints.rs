//! Prompt location hints in the record stores: a program's turns reach the server with its cached prompt through
//! any gateway.

mod support;

use std::time::Duration;

use support::server::{self, Action, FINAL_CHUNK, MockServer, event, stream_head};
use support::{Fleet, call, status, stream_route, wait_until};

const PROGRAMS: u32 = 12;
const GRACE: Duration = Duration::from_secs(20);

/// Guards against prompts being processed again because the turn came through a gateway that does not know where
/// they are cached.
#[actix_rt::test]
async fn program_reaches_its_cached_prompt_through_any_gateway() {
    let fleet = Fleet::start(GRACE).await;
    let respond = |request: &support::server::ReceivedRequest| {
        Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(1)))
    };
    let servers = [
        MockServer::start(respond).await,
        MockServer::start(respond).await,
    ];
    fleet.set_routes(vec![stream_route()]).await;
    fleet.add_server("one", &servers[0]).await;
    fleet.wait_for_record_stores().await;
    let second = fleet.start_second_gateway().await;
    wait_until(async || {
        status(&call(second.caller_addr, server::PROBE_CALL_ID, "", "").await) == 200
    })
    .await;
    let headers = |program: u32, tokens: u32| {
        format!(
            "x-program: p{program}\r\nx-budget: 1000\r\nx-most: 10\r\nx-prompt: {}:{tokens}\r\n",
            100 + program
        )
    };
    for program in 0..PROGRAMS {
        let id = format!("a{program}");
        let first = call(fleet.caller_addr, &id, &headers(program, 9000), "").await;
        assert_eq!(status(&first), 200, "{first}");
    }
    // Without hints, about half of the prompts would go to the second server.
    fleet.add_server("two", &servers[1]).await;
    let probes_before = servers[1].probes();
    wait_until(async || {
        call(second.caller_addr, server::PROBE_CALL_ID, "", "").await;
        servers[1].probes() > probes_before
    })
    .await;
    for program in 0..PROGRAMS {
        let id = format!("b{program}");
        let next = call(second.caller_addr, &id, &headers(program, 9500), "").await;
        assert_eq!(status(&next), 200, "{next}");
    }
    assert_eq!(servers[0].requests().len(), 2 * PROGRAMS as usize);
    assert_eq!(servers[1].requests().len(), 0);
}
