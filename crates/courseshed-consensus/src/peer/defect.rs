//! Injected protocol defects, used to verify that the model checker and the simulator detect them.
//!
//! They can't be set from outside this crate.

/// A protocol rule to violate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum Defect {
    /// No rule is violated.
    #[default]
    None,
    /// A leader commits entries of older terms by counting replicas (Raft paper, section 5.4.2).
    CommitsOldTerms,
    /// A leader commits entries without a quorum.
    CommitsAlone,
    /// Membership changes are proposed while an earlier one is uncommitted.
    ChangesAtOnce,
    /// Votes are granted to candidates with an outdated log.
    IgnoresLogEnds,
    /// Votes are counted regardless of the incarnations of voter and candidate.
    IgnoresIncarnations,
    /// Statements of a quorum allow an election after a restart, instead of those of all voters.
    RestartElectionByQuorum,
    /// An election after a restart uses a configuration that may not be committed.
    RestartElectionUncommitted,
    /// A candidate states that it is leaderless.
    CandidatesLeaderless,
    /// A replica states that it is leaderless in another term than its own.
    LeaderlessInAnyTerm,
    /// A learner becomes a voter as soon as it has caught up, whoever is silent.
    AddsBesideSilentVoters,
    /// A silent voter is removed although nobody takes its place.
    RemovesWithoutSuccessor,
}
