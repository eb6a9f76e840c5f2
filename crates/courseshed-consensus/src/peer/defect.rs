//! Deliberate defects, by which the model checker shows that it would find real ones.
//!
//! Production code never sets one: nothing outside this crate can.

/// A rule of the protocol to break.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum Defect {
    /// All rules are kept.
    #[default]
    None,
    /// A leader commits entries of older terms by counting replicas (Raft paper, section 5.4.2).
    CommitsOldTerms,
    /// A leader commits what it alone has.
    CommitsAlone,
    /// Membership changes are proposed while an earlier one is uncommitted.
    ChangesAtOnce,
    /// Votes are given to candidates whose log lacks entries of ours.
    IgnoresLogEnds,
    /// Votes count whichever incarnation gives or asked for them.
    IgnoresIncarnations,
}
