//! Budgets: what engines counted for a program with its sub-agents, and for a branch, against what was granted.

use std::collections::BTreeMap;

use courseshed_types::ProgramId;

use super::{Evidence, Judgement, Promise, engines::RanIndex};

pub(super) fn check(evidence: &Evidence, ran: &RanIndex, judgement: &mut Judgement) {
    if ran.is_empty() {
        return;
    }
    check_programs(evidence, ran, judgement);
    check_branches(evidence, judgement);
}

fn check_programs(evidence: &Evidence, ran: &RanIndex, judgement: &mut Judgement) {
    let parents = parents_of(evidence);
    let mut spent: BTreeMap<ProgramId, u64> = BTreeMap::new();
    for program in &evidence.programs {
        let Some(id) = program.id else {
            continue;
        };
        let tokens: u64 = ran.of_program(id).map(RanIndex::tokens).sum();
        *spent.entry(root_of(&parents, id)).or_default() += tokens;
    }
    let roots = evidence
        .programs
        .iter()
        .filter(|program| program.parent.is_none());
    for program in roots {
        let (Some(id), Some(budget)) = (program.id, program.budget_tokens) else {
            continue;
        };
        let spent = spent.get(&id).copied().unwrap_or_default();
        judgement.expect(Promise::Budget, spent <= budget, id, || {
            format!("engines counted {spent} tokens, and its budget is {budget}")
        });
    }
}

fn parents_of(evidence: &Evidence) -> BTreeMap<ProgramId, ProgramId> {
    let children = evidence.programs.iter();
    children
        .filter_map(|program| Some((program.id?, program.parent?)))
        .collect()
}

fn root_of(parents: &BTreeMap<ProgramId, ProgramId>, program: ProgramId) -> ProgramId {
    let mut root = program;
    while let Some(parent) = parents.get(&root) {
        root = *parent;
    }
    root
}

fn check_branches(evidence: &Evidence, judgement: &mut Judgement) {
    for budget in &evidence.limits.branch_budgets {
        let reports = evidence.engines.iter().filter_map(|one| one.ran.as_ref());
        let branches = reports.flat_map(|report| &report.branches);
        let below = branches.filter(|(branch, _)| branch.is_within(&budget.branch));
        let spent: u64 = below
            .map(|(_, tokens)| tokens.prompt_tokens + tokens.output_tokens)
            .sum();
        let holds = spent <= budget.tokens;
        judgement.expect(Promise::Budget, holds, &budget.branch, || {
            format!(
                "engines counted {spent} tokens, and its budget is {}",
                budget.tokens
            )
        });
    }
}
