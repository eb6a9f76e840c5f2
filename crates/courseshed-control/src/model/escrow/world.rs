//! Model state: one ledger, its shards, the messages between them, and the token counts used by the invariants.

use std::{collections::BTreeMap, hash::Hasher, sync::Arc, time::Duration};

use courseshed_programs::{
    BudgetPeriod,
    model::search::{World, hash_encoded},
};
use courseshed_types::{
    BranchPath, NodeId, PolicySnapshot, SettingsVersion, Timestamp, Tokens,
    control::{Grant, GrantRequest, GrantReturn, SettingsChange},
    policy::{BranchPolicy, PeriodBudget},
};
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use super::{
    scenario::{Budgets, Defect, Faults, Scenario},
    shard::{ModelShard, WORST_CASE},
};
use crate::{ApplyOutcome, CommandBody, CommandOrigin, ControlCommand, ControlState};

const PERIOD: Duration = Duration::from_secs(3_600);
/// Request numbers from here on are never used by shards.
const FIRST_UNUSED_NUMBER: u64 = 1_000;

/// A message in transit.
#[derive(Debug, Clone, PartialEq, Serialize)]
enum Message {
    Request(GrantRequest),
    Granted(Grant),
    Return(GrantReturn),
    #[serde(rename = "Taken")]
    ReturnAck(GrantReturn),
}

/// A state of the model.
#[derive(Debug, Clone)]
pub(super) struct EscrowWorld {
    scenario: Arc<Scenario>,
    defect: Defect,
    control: ControlState,
    /// Number of applied commands; also used by injected defects to create unused request numbers.
    commands: u64,
    settings: usize,
    period: u64,
    shards: Vec<ModelShard>,
    network: Vec<Message>,
    remaining: Faults,
    /// Tokens consumed on engines, by budget.
    consumed: BTreeMap<BudgetPeriod, Tokens>,
    /// Tokens that lost shards had spent or could still spend, by budget.
    lost: BTreeMap<BudgetPeriod, Tokens>,
    ledger_violation: Option<&'static str>,
}

impl EscrowWorld {
    pub fn new(scenario: &Scenario, defect: Defect) -> EscrowWorld {
        let shards = (1..=scenario.shards).map(|id| ModelShard::new(id, scenario.work));
        let mut world = EscrowWorld {
            shards: shards.collect(),
            remaining: scenario.faults,
            scenario: Arc::new(scenario.clone()),
            defect,
            control: ControlState::default(),
            commands: 0,
            settings: 0,
            period: 0,
            network: Vec::new(),
            consumed: BTreeMap::new(),
            lost: BTreeMap::new(),
            ledger_violation: None,
        };
        world.accept_settings(0);
        world
    }

    fn accept_settings(&mut self, index: usize) {
        self.settings = index;
        let policy = policy_of(self.scenario.settings[index], index as u64 + 1);
        let change = SettingsChange {
            expected_version: SettingsVersion(index as u64),
            change_id: format!("change-{index}").into(),
            tree: String::new(),
            author: String::new(),
        };
        let policy = Arc::new(policy);
        self.run(CommandBody::ApplySettings { change, policy });
    }

    /// Applies a command to the production state machine as a log entry.
    fn run(&mut self, body: CommandBody) -> ApplyOutcome {
        self.commands += 1;
        let command = ControlCommand {
            at: Timestamp::ZERO + PERIOD * u32::try_from(self.period).unwrap_or(u32::MAX),
            origin: CommandOrigin {
                node: NodeId(1),
                serial: self.commands,
            },
            body,
        };
        let bytes = command.encode().unwrap_or_default();
        self.control.apply(self.commands, &bytes).outcome
    }

    fn held(&self, budget: &BudgetPeriod) -> Tokens {
        self.control.ledger().held(&budget.branch, budget.period)
    }

    /// Tokens that shards, including lost ones, have spent or can still spend.
    fn spendable(&self, budget: &BudgetPeriod) -> Tokens {
        let lost = self.lost.get(budget).copied().unwrap_or_default();
        let shards = self.shards.iter();
        shards.fold(lost, |sum, shard| {
            sum.saturating_add(shard.spent_or_spendable(budget))
        })
    }

    /// Tokens granted by the ledger that shards have not applied yet.
    fn unapplied_grants(&self, budget: &BudgetPeriod) -> Tokens {
        let ledger = self.control.ledger();
        let of_shard = |shard: &ModelShard| {
            let last = ledger.last_grant(shard.id, &budget.branch, budget.period);
            let applied = shard.escrow.account(budget);
            let applied = applied.map_or(0, |account| account.last_grant);
            last.filter(|last| last.number > applied)
                .map_or(Tokens::ZERO, |last| last.granted)
        };
        let shards = self.shards.iter();
        shards.fold(Tokens::ZERO, |sum, shard| {
            sum.saturating_add(of_shard(shard))
        })
    }

    fn budgets_at(&self, settings: usize) -> Vec<BudgetPeriod> {
        let budgets = self.scenario.settings[settings];
        let root = budgets.root.map(|_| BranchPath::root());
        let branch = budgets.branch.map(|_| branch_path(budgets.is_moved));
        let paths = root.into_iter().chain(branch);
        paths
            .map(|branch| BudgetPeriod {
                branch,
                period: self.period,
            })
            .collect()
    }

    /// All budgets in all periods up to the next one.
    fn all_budgets(&self) -> Vec<BudgetPeriod> {
        let paths = [BranchPath::root(), branch_path(false), branch_path(true)];
        let periods = 0..=self.period + 1;
        periods
            .flat_map(|period| paths.clone().map(|branch| BudgetPeriod { branch, period }))
            .collect()
    }

    fn limit_in_force(&self, budget: &BudgetPeriod) -> Option<Tokens> {
        let policy = self.control.policy().branch(&budget.branch)?;
        policy.budget.map(|budget| budget.tokens)
    }

    /// Handles a grant request at the ledger.
    fn on_request(&mut self, request: &GrantRequest) {
        let budget = super::shard::budget_of(request);
        let limit = self.limit_in_force(&budget);
        let exists = self.control.policy().branch(&budget.branch).is_some();
        if self.defect == Defect::UnbudgetedGrantNotCounted && exists && limit.is_none() {
            let granted = request.wanted;
            let request = request.clone();
            self.network
                .push(Message::Granted(Grant { request, granted }));
            return;
        }
        let before = self.held(&budget);
        let mut to_apply = request.clone();
        if self.defect == Defect::GrantIssuedTwice {
            to_apply.number = FIRST_UNUSED_NUMBER + self.commands;
        }
        let outcome = self.run(CommandBody::Grant(to_apply));
        let after = self.held(&budget);
        if after > before && limit.is_some_and(|limit| after > limit) {
            self.ledger_violation = Some("the ledger never grants beyond the budget in force");
        }
        if let ApplyOutcome::Granted(grant) = outcome {
            let request = request.clone();
            let granted = grant.granted;
            self.network
                .push(Message::Granted(Grant { request, granted }));
        }
    }

    fn on_return(&mut self, returned: &GrantReturn) {
        let mut to_apply = returned.clone();
        if self.defect == Defect::ReturnAppliedTwice {
            to_apply.number = FIRST_UNUSED_NUMBER + self.commands;
        }
        self.run(CommandBody::ReturnGrant(to_apply));
        self.network.push(Message::ReturnAck(returned.clone()));
    }

    fn receive(&mut self, message: &Message) {
        let defect = self.defect;
        match message {
            Message::Request(request) => self.on_request(request),
            Message::Return(returned) => self.on_return(returned),
            Message::Granted(grant) => {
                let shard = self
                    .shards
                    .iter_mut()
                    .find(|shard| shard.id == grant.request.shard);
                if let Some(shard) = shard {
                    shard.on_grant(grant, defect);
                }
            }
            Message::ReturnAck(returned) => {
                let shard = self
                    .shards
                    .iter_mut()
                    .find(|shard| shard.id == returned.shard);
                if let Some(shard) = shard {
                    shard.escrow.finish_return(returned);
                }
            }
        }
    }

    fn lose_shard(&mut self, index: usize) {
        for budget in self.all_budgets() {
            let holds = self.shards[index].spent_or_spendable(&budget);
            let lost = self.lost.entry(budget.clone()).or_default();
            *lost = lost.saturating_add(holds);
            if self.defect == Defect::LostEscrowReleased {
                self.run(CommandBody::ReturnGrant(GrantReturn {
                    shard: self.shards[index].id,
                    generation: self.shards[index].generation,
                    number: FIRST_UNUSED_NUMBER,
                    branch: budget.branch,
                    period: budget.period,
                    returned: Tokens(u64::MAX),
                }));
            }
        }
        self.shards[index].bootstrap_again(self.defect);
    }

    fn end_attempt(&mut self, index: usize, spent: Tokens) -> bool {
        let (period, defect) = (self.period, self.defect);
        let Some(charged) = self.shards[index].end_attempt(spent, period, defect) else {
            return false;
        };
        for budget in charged {
            let consumed = self.consumed.entry(budget).or_default();
            *consumed = consumed.saturating_add(spent);
        }
        true
    }

    fn highest_limit(&self, budget: &BudgetPeriod) -> Option<Tokens> {
        let is_root = budget.branch == BranchPath::root();
        let limits = self.scenario.settings[..=self.settings].iter();
        let limits: Option<Vec<u64>> = limits
            .filter(|budgets| is_root || branch_path(budgets.is_moved) == budget.branch)
            .map(|budgets| {
                if is_root {
                    budgets.root
                } else {
                    budgets.branch
                }
            })
            .collect();
        limits?.into_iter().max().map(Tokens)
    }

    fn budget_violation(&self, budget: &BudgetPeriod) -> Option<&'static str> {
        let held = self.held(budget);
        let spendable = self.spendable(budget);
        let consumed = self.consumed.get(budget).copied().unwrap_or_default();
        if spendable > held {
            return Some("shards hold no more tokens than the ledger counts as held");
        }
        if self
            .highest_limit(budget)
            .is_some_and(|limit| consumed > limit)
        {
            return Some("tokens consumed on engines never exceed the budget");
        }
        let is_idle = self.network.is_empty() && self.shards.iter().all(ModelShard::is_idle);
        let none_lost = self.remaining.generation_losses == self.scenario.faults.generation_losses;
        let expected = spendable.saturating_add(self.unapplied_grants(budget));
        if is_idle && none_lost && held != expected {
            return Some("the ledger counts no escrow that no shard holds");
        }
        None
    }

    /// Successor states by message delivery, duplication or loss.
    fn deliveries(&self) -> Vec<(String, EscrowWorld)> {
        let mut next = Vec::new();
        for (index, message) in self.network.iter().enumerate() {
            let mut delivered = self.clone();
            delivered.network.remove(index);
            delivered.receive(message);
            next.push((format!("deliver {message:?}"), delivered));
            if self.remaining.duplicates > 0 {
                let mut kept = self.clone();
                kept.remaining.duplicates -= 1;
                kept.receive(message);
                next.push((format!("deliver a duplicate of {message:?}"), kept));
            }
            if self.remaining.losses > 0 {
                let mut lost = self.clone();
                lost.remaining.losses -= 1;
                lost.network.remove(index);
                next.push((format!("lose {message:?}"), lost));
            }
        }
        next
    }

    /// Successor states by an operation of one shard.
    fn shard_steps(&self, index: usize) -> Vec<(String, EscrowWorld)> {
        let id = self.shards[index].id;
        let mut next = Vec::new();
        let mut step = |name: String, change: &dyn Fn(&mut EscrowWorld) -> bool| {
            let mut world = self.clone();
            if change(&mut world) {
                next.push((format!("shard {id}: {name}"), world));
            }
        };
        let budgets = self.budgets_at(self.shards[index].received_settings);
        for budget in &budgets {
            step(format!("request {budget:?}"), &|world| {
                let request = world.shards[index].request_grant(budget);
                world.send(request.map(Message::Request))
            });
        }
        for budget in self.all_budgets() {
            step(format!("return {budget:?}"), &|world| {
                let defect = world.defect;
                let returned = world.shards[index].return_unspent(&budget, defect);
                world.send(returned.map(Message::Return))
            });
        }
        step("start an attempt".to_owned(), &|world| {
            world.shards[index].start_attempt(budgets.clone())
        });
        for spent in [Tokens::ZERO, WORST_CASE] {
            step(format!("end an attempt, {spent:?} spent"), &|world| {
                world.end_attempt(index, spent)
            });
        }
        step("receive the newest settings".to_owned(), &|world| {
            let is_changed = world.shards[index].received_settings < world.settings;
            world.shards[index].received_settings = world.settings;
            is_changed
        });
        step("resend pending messages".to_owned(), &|world| {
            world.resend(index)
        });
        step("lose the leader".to_owned(), &|world| {
            let has_pending = !world.shards[index].pending.is_empty();
            let is_allowed = world.remaining.leader_changes > 0 && has_pending;
            world.remaining.leader_changes -= u8::from(is_allowed);
            world.shards[index].pending.clear();
            is_allowed
        });
        step("lose all replicas".to_owned(), &|world| {
            let is_allowed = world.remaining.generation_losses > 0;
            world.remaining.generation_losses -= u8::from(is_allowed);
            if is_allowed {
                world.lose_shard(index);
            }
            is_allowed
        });
        next
    }

    fn send(&mut self, message: Option<Message>) -> bool {
        let is_sent = message.is_some();
        self.network.extend(message);
        is_sent
    }

    /// Whether the message or its reply is in transit. Resending in that case is covered by message duplication.
    fn is_in_transit(&self, message: &Message) -> bool {
        self.network.iter().any(|other| match (message, other) {
            (Message::Request(request), Message::Granted(grant)) => grant.request == *request,
            (Message::Return(returned), Message::ReturnAck(acknowledged)) => {
                returned == acknowledged
            }
            _ => message == other,
        })
    }

    fn resend(&mut self, index: usize) -> bool {
        let shard = &self.shards[index];
        let requests = shard.pending.iter().cloned().map(Message::Request);
        let accounts = shard.escrow.accounts();
        let returns = accounts.filter_map(|(_, account)| account.pending_return.clone());
        let mut messages: Vec<Message> = requests.chain(returns.map(Message::Return)).collect();
        messages.retain(|message| !self.is_in_transit(message));
        let is_changed = !messages.is_empty();
        self.network.extend(messages);
        is_changed
    }

    fn operator_steps(&self) -> Vec<(String, EscrowWorld)> {
        let mut next = Vec::new();
        if self.settings + 1 < self.scenario.settings.len() {
            let mut changed = self.clone();
            changed.accept_settings(self.settings + 1);
            let budgets = self.scenario.settings[self.settings + 1];
            next.push((format!("accept settings: {budgets:?}"), changed));
        }
        if self.remaining.periods > 0 {
            let mut later = self.clone();
            later.remaining.periods -= 1;
            later.period += 1;
            next.push(("end the period".to_owned(), later));
        }
        next
    }
}

impl World for EscrowWorld {
    fn fingerprint(&self, hasher: &mut Xxh3) {
        hash_encoded(self.control.ledger(), hasher);
        hasher.write_usize(self.settings);
        hasher.write_u64(self.period);
        for shard in &self.shards {
            let remaining = [
                shard.remaining.requests,
                shard.remaining.attempts,
                shard.remaining.returns,
            ];
            hash_encoded(&(&shard.escrow, shard.generation, remaining), hasher);
            hash_encoded(
                &(&shard.attempts, &shard.pending, shard.received_settings),
                hasher,
            );
        }
        let mut messages: Vec<Vec<u8>> = self
            .network
            .iter()
            .map(|message| rmp_serde::to_vec(message).unwrap_or_default())
            .collect();
        messages.sort();
        hash_encoded(&messages, hasher);
        std::hash::Hash::hash(&self.remaining, hasher);
        let consumed: Vec<_> = self.consumed.iter().collect();
        let lost: Vec<_> = self.lost.iter().collect();
        hash_encoded(&(consumed, lost), hasher);
    }

    fn successors(&self) -> Vec<(String, EscrowWorld)> {
        let mut next = self.deliveries();
        for index in 0..self.shards.len() {
            next.extend(self.shard_steps(index));
        }
        next.extend(self.operator_steps());
        next
    }

    fn violation(&self) -> Option<&'static str> {
        let budgets = self.all_budgets();
        let mut violations = budgets
            .iter()
            .filter_map(|budget| self.budget_violation(budget));
        self.ledger_violation.or_else(|| violations.next())
    }
}

/// Path of the branch with its own budget.
fn branch_path(is_moved: bool) -> BranchPath {
    let path = if is_moved { "there" } else { "here" };
    path.parse().unwrap_or_else(|_| BranchPath::root())
}

fn policy_of(budgets: Budgets, version: u64) -> PolicySnapshot {
    let with_budget = |tokens: Option<u64>| BranchPolicy {
        budget: tokens.map(|tokens| PeriodBudget {
            tokens: Tokens(tokens),
            period: PERIOD,
        }),
        ..BranchPolicy::default()
    };
    let mut branches = BTreeMap::from([(BranchPath::root(), with_budget(budgets.root))]);
    if budgets.branch.is_some() {
        branches.insert(branch_path(budgets.is_moved), with_budget(budgets.branch));
    }
    PolicySnapshot {
        version: SettingsVersion(version),
        branches,
        ..PolicySnapshot::default()
    }
}
