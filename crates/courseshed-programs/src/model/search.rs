//! Breadth-first search over all states a model can reach; the first violation found is a shortest one.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
    rc::Rc,
};

use courseshed_types::model_report::Counterexample;
use pathfinding::directed::bfs::bfs;
use xxhash_rust::xxh3::Xxh3;

/// One state of a model.
pub trait World: Sized {
    /// Feeds all that decides the future of this state, and nothing else.
    fn fingerprint(&self, hasher: &mut Xxh3);

    /// All states one step away, with what happened.
    fn successors(&self) -> Vec<(String, Self)>;

    /// The property broken in this state.
    fn violation(&self) -> Option<&'static str>;
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration {
    /// Distinct states visited.
    pub states: u64,
    /// The shortest way to a violation, if there is one.
    pub counterexample: Option<Counterexample>,
}

/// A state in the search; equal when its fingerprint (128 bits) is.
struct Node<W> {
    key: u128,
    world: Rc<W>,
    step: Rc<str>,
}

impl<W: World> Node<W> {
    fn new(world: W, step: String) -> Node<W> {
        let mut hasher = Xxh3::new();
        world.fingerprint(&mut hasher);
        Node {
            key: hasher.digest128(),
            world: Rc::new(world),
            step: Rc::from(step),
        }
    }

    fn successors(&self) -> Vec<Node<W>> {
        let next = self.world.successors().into_iter();
        next.map(|(step, world)| Node::new(world, step)).collect()
    }
}

impl<W> Clone for Node<W> {
    fn clone(&self) -> Node<W> {
        Node {
            key: self.key,
            world: Rc::clone(&self.world),
            step: Rc::clone(&self.step),
        }
    }
}

impl<W> PartialEq for Node<W> {
    fn eq(&self, other: &Node<W>) -> bool {
        self.key == other.key
    }
}

impl<W> Eq for Node<W> {}

impl<W> Hash for Node<W> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

/// Explores everything reachable from `initial`. More states than `limit` count as a violation, since then
/// nothing was proved.
pub fn explore<W: World>(initial: W, limit: u64) -> Exploration {
    let states = Cell::new(0);
    let start = Node::new(initial, "start".to_owned());
    let path = bfs(
        &start,
        |node| {
            states.set(states.get() + 1);
            node.successors()
        },
        |node| node.world.violation().is_some() || states.get() > limit,
    );
    let states = states.get();
    Exploration {
        states,
        counterexample: path.map(|path| counterexample(&path, states > limit)),
    }
}

fn counterexample<W: World>(path: &[Node<W>], passed_limit: bool) -> Counterexample {
    let violation = path.last().and_then(|node| node.world.violation());
    let property = match (violation, passed_limit) {
        (Some(property), _) => property,
        (None, _) => "the state space is larger than the search allows",
    };
    let steps = path.iter().skip(1);
    Counterexample {
        property: property.to_owned(),
        steps: steps.map(|node| node.step.to_string()).collect(),
    }
}

/// Hashes the MessagePack form of a value that has no `Hash`.
pub fn hash_encoded(value: &impl serde::Serialize, hasher: &mut Xxh3) {
    let bytes = rmp_serde::to_vec(value).unwrap_or_default();
    hasher.write(&bytes);
}
