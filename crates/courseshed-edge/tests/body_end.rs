//! The verdict on every combination of framing, end and position of a body.

use courseshed_edge::gateway::{
    BodyProgress, Completeness, Content, Ending, Framing, Position, judge,
};

use Completeness::{Complete, Truncated, Unknown};

const FRAMINGS: [Framing; 4] = [
    Framing::Empty,
    Framing::Length,
    Framing::Chunked,
    Framing::UntilClose,
];
const ENDINGS: [Ending; 6] = [
    Ending::Framing,
    Ending::Closed,
    Ending::ClosedEarly,
    Ending::Reset,
    Ending::Invalid,
    Ending::Silent,
];

fn plain(is_success: bool, bytes: u64) -> BodyProgress {
    BodyProgress {
        content: Content::Plain { is_success },
        bytes,
        events: 0,
        partial_event_bytes: 0,
    }
}

fn stream(events: u64, partial_event_bytes: usize) -> BodyProgress {
    BodyProgress {
        content: Content::Events,
        bytes: 20 * events + partial_event_bytes as u64,
        events,
        partial_event_bytes,
    }
}

/// A place in a body, and the verdict if the framing marks the end there, and if a connection that
/// delimits the body is closed there in order.
struct Place {
    progress: BodyProgress,
    position: Position,
    framed_end: Completeness,
    orderly_close: Completeness,
}

impl Place {
    /// The verdict if a connection that delimits the body is closed there before the server has taken the
    /// whole request: only an error says all that the client needs.
    fn early_close(&self) -> Completeness {
        match self.progress.content {
            _ if self.position == Position::WithinEvent => Truncated,
            Content::Plain { is_success: false } => Complete,
            Content::Plain { .. } | Content::Events => Unknown,
        }
    }
}

fn places() -> Vec<Place> {
    let place = |progress, position, framed_end, orderly_close| Place {
        progress,
        position,
        framed_end,
        orderly_close,
    };
    vec![
        place(plain(true, 0), Position::Start, Complete, Unknown),
        place(plain(true, 1), Position::WithinBody, Complete, Complete),
        place(plain(false, 0), Position::Start, Complete, Complete),
        place(plain(false, 1), Position::WithinBody, Complete, Complete),
        place(stream(0, 0), Position::Start, Complete, Unknown),
        place(stream(0, 1), Position::WithinEvent, Truncated, Truncated),
        place(stream(1, 0), Position::BetweenEvents, Complete, Complete),
        place(stream(1, 1), Position::WithinEvent, Truncated, Truncated),
        place(stream(9, 19), Position::WithinEvent, Truncated, Truncated),
    ]
}

#[test]
fn every_end_of_a_body_is_judged_as_the_table_says() {
    for place in places() {
        assert_eq!(place.progress.position(), place.position);
        for framing in FRAMINGS {
            for ending in ENDINGS {
                let expected = match (ending, framing) {
                    (Ending::Framing, Framing::UntilClose) => Truncated,
                    (Ending::Framing, _) => place.framed_end,
                    (Ending::Closed, Framing::UntilClose) => place.orderly_close,
                    (Ending::ClosedEarly, Framing::UntilClose) => place.early_close(),
                    (
                        Ending::Closed
                        | Ending::ClosedEarly
                        | Ending::Reset
                        | Ending::Invalid
                        | Ending::Silent,
                        _,
                    ) => Truncated,
                };
                let verdict = judge(framing, ending, &place.progress);
                let case = format!("{framing:?} {ending:?} {:?}", place.progress);
                assert_eq!(verdict.completeness, expected, "{case}: {verdict:?}");
                assert_eq!(verdict.is_complete(), expected == Complete, "{case}");
            }
        }
    }
}

/// Guards against events that the client already has being taken for the rest of its stream.
#[test]
fn resumed_stream_that_repeats_what_the_client_has_proves_nothing_at_an_orderly_close() {
    let repeated = BodyProgress {
        bytes: 100,
        ..stream(0, 0)
    };
    let verdict = judge(Framing::UntilClose, Ending::Closed, &repeated);
    assert_eq!(verdict.completeness, Unknown);
}
