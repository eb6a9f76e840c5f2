//! How the chain of a turn is put together from the parts that replicas have.

use bytes::Bytes;
use courseshed_records::{
    ChainAssembly, ChainOutcome, ChainPart, ChainRest, RecordMember, RecordView, Turn,
};
use courseshed_types::NodeId;
use yare::parameterized;

const NODES: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn view() -> RecordView {
    let member = |node| RecordMember {
        node,
        incarnation: 1,
        zone: format!("zone-{node}"),
        active: true,
    };
    RecordView {
        epoch: 1,
        members: NODES.map(member).to_vec(),
        ..RecordView::default()
    }
}

fn id(number: u32) -> String {
    format!("t{number}")
}

fn turn(number: u32) -> Turn {
    Turn {
        id: id(number),
        previous: number.checked_sub(1).map(id),
        tenant: None,
        input: Bytes::new(),
        output: Bytes::new(),
        cached: None,
        allowed_regions: Vec::new(),
    }
}

/// The part of the chain of a turn that a replica with some turns has.
fn part_of(stored: &[u32], wanted: &str) -> ChainPart {
    let mut next = wanted.trim_start_matches('t').parse().ok();
    let mut turns = Vec::new();
    while let Some(number) = next {
        if !stored.contains(&number) {
            let rest = ChainRest::Missing(id(number));
            return ChainPart { turns, rest };
        }
        turns.push(turn(number));
        next = number.checked_sub(1);
    }
    let rest = ChainRest::End;
    ChainPart { turns, rest }
}

/// Asks replicas for the chain of a turn until nothing more can be asked. Returns the result and the number of
/// replies. A replica without a list of turns is silent.
fn assemble(newest: u32, stored: [Option<&[u32]>; 3]) -> (Option<ChainOutcome>, usize) {
    let mut assembly = ChainAssembly::new(&id(newest));
    assembly.start_round(&view());
    let mut asked: Vec<(usize, String)> = (0..NODES.len()).map(|node| (node, id(newest))).collect();
    while !asked.is_empty() {
        let (node, wanted) = asked.remove(0);
        let Some(turns) = stored[node] else {
            continue;
        };
        let outcome = assembly.on_part(NODES[node], part_of(turns, &wanted));
        if outcome.is_some() {
            return (outcome, assembly.replies());
        }
        for next in assembly.next_requests() {
            let node = NODES.iter().position(|node| *node == next);
            asked.push((node.expect("a member"), assembly.wanted().to_owned()));
        }
    }
    (None, assembly.replies())
}

fn whole(newest: u32) -> Option<ChainOutcome> {
    Some(ChainOutcome::Complete((0..=newest).map(turn).collect()))
}

/// Guards against chains that are taken for lost because each replica lacks another turn.
#[parameterized(
    each_lacks_another = { [Some(&[0, 2, 3]), Some(&[0, 1, 3]), Some(&[0, 1, 2])] },
    each_has_one_part = { [Some(&[3]), Some(&[1, 2]), Some(&[0])] },
    last_turn_on_one = { [Some(&[0, 1, 2, 3]), Some(&[0, 1, 2]), Some(&[0, 1, 2])] },
    quorum_has_it_together = { [None, Some(&[0, 2]), Some(&[1, 3])] },
)]
fn chain_is_put_together_from_any_replicas_that_have_all_turns(stored: [Option<&[u32]>; 3]) {
    assert_eq!(assemble(3, stored).0, whole(3));
}

/// Guards against a number of requests that grows faster than the number of gaps.
#[test]
fn requests_are_bounded_by_the_gaps_of_the_chain() {
    const TURNS: u32 = 300;
    let stored: [Vec<u32>; 3] = [0, 1, 2].map(|replica| {
        let turns = 0..=TURNS;
        turns.filter(|turn| turn % 3 != replica).collect()
    });
    let (outcome, replies) = assemble(TURNS, [0, 1, 2].map(|index| Some(&stored[index][..])));
    assert_eq!(outcome, whole(TURNS));
    assert!(replies <= 2 * TURNS as usize, "{replies} replies");
}

#[parameterized(
    quorum_lacks_the_turn = { [Some(&[0, 1]), Some(&[0, 1]), None], Some(ChainOutcome::Unknown) },
    one_lacks_the_turn = { [Some(&[0, 1]), None, None], None },
    all_lack_an_ancestor = { [Some(&[0, 2]), Some(&[0, 2]), Some(&[2])], Some(ChainOutcome::AncestorLost("t1".to_owned())) },
    quorum_lacks_an_ancestor = { [Some(&[0, 2]), Some(&[0, 2]), None], None },
)]
fn absence_is_decided_by_a_quorum_and_a_lost_ancestor_by_all(
    stored: [Option<&[u32]>; 3],
    expected: Option<ChainOutcome>,
) {
    assert_eq!(assemble(2, stored).0, expected);
}

/// Guards against counting a replica's answer for a turn that it may have stored since.
#[test]
fn what_replicas_lack_is_counted_anew_in_each_round() {
    let mut assembly = ChainAssembly::new("t1");
    assembly.start_round(&view());
    let lacking = assembly.on_part(NODES[0], part_of(&[0], "t1"));
    assert_eq!(lacking, None);
    assembly.start_round(&view());
    let lacking = assembly.on_part(NODES[1], part_of(&[0], "t1"));
    assert_eq!(lacking, None);
}

/// Guards against taking a record that cannot be read for one that is not stored.
#[test]
fn omitted_turn_is_not_counted_as_missing() {
    let mut assembly = ChainAssembly::new("t1");
    assembly.start_round(&view());
    for node in NODES {
        let rest = ChainRest::Omitted("t0".to_owned());
        let turns = vec![turn(1)];
        let outcome = assembly.on_part(node, ChainPart { turns, rest });
        assert_eq!(outcome, None);
    }
}
