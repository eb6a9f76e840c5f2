//! A program whose turns come in through one gateway after another goes on at the server that read its
//! prompt, as the stores tell.

mod support;

use std::time::Duration;

use support::server::{self, Act, END, StandIn, event, stream_head};
use support::{Fleet, call, status, stream_route, until};

const PROGRAMS: u32 = 12;
const GRACE: Duration = Duration::from_secs(20);

/// Found from the lines of a crowded day: half of the turns came through a gateway that didn't know
/// where their prompts were, and were read anew.
#[actix_rt::test]
async fn a_program_finds_its_prompt_through_any_gateway() {
    let fleet = Fleet::start(GRACE).await;
    let script =
        |got: &support::server::Got| Act::Write(format!("{}{}{END}", stream_head(got), event(1)));
    let servers = [StandIn::start(script).await, StandIn::start(script).await];
    fleet.route(vec![stream_route()]).await;
    fleet.announce("one", &servers[0]).await;
    fleet.until_records().await;
    let second = fleet.start_another_gateway().await;
    until(async || status(&call(second.callers, server::PROBE, "", "").await) == 200).await;
    let headers = |program: u32, tokens: u32| {
        format!(
            "x-program: p{program}\r\nx-budget: 1000\r\nx-most: 10\r\nx-prompt: {}:{tokens}\r\n",
            100 + program
        )
    };
    for program in 0..PROGRAMS {
        let id = format!("a{program}");
        let first = call(fleet.callers, &id, &headers(program, 9000), "").await;
        assert_eq!(status(&first), 200, "{first}");
    }
    // Now there is a second server, which about half of the prompts would go to.
    fleet.announce("two", &servers[1]).await;
    let seen = servers[1].probes();
    until(async || {
        call(second.callers, server::PROBE, "", "").await;
        servers[1].probes() > seen
    })
    .await;
    for program in 0..PROGRAMS {
        let id = format!("b{program}");
        let next = call(second.callers, &id, &headers(program, 9500), "").await;
        assert_eq!(status(&next), 200, "{next}");
    }
    assert_eq!(servers[0].got().len(), 2 * PROGRAMS as usize);
    assert_eq!(servers[1].got().len(), 0);
}
