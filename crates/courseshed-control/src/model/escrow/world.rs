//! The world: one ledger, its shards, what is under way between them, and an observer who counts.

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
/// A number larger than any that a shard gives.
const FRESH_NUMBERS: u64 = 1_000;

/// A message under way.
#[derive(Debug, Clone, PartialEq, Serialize)]
enum Wire {
    Request(GrantRequest),
    Granted(Grant),
    Return(GrantReturn),
    Taken(GrantReturn),
}

/// One state.
#[derive(Debug, Clone)]
pub(super) struct EscrowWorld {
    scenario: Arc<Scenario>,
    defect: Defect,
    control: ControlState,
    /// Commands applied so far; also makes numbers that no shard gave, for broken variants.
    commands: u64,
    settings: usize,
    period: u64,
    shards: Vec<ModelShard>,
    network: Vec<Wire>,
    left: Faults,
    /// What engines counted, by the budget that covered it.
    counted: BTreeMap<BudgetPeriod, Tokens>,
    /// What lost shards had spent and could still have spent.
    lost: BTreeMap<BudgetPeriod, Tokens>,
    broken: Option<&'static str>,
}

impl EscrowWorld {
    pub fn new(scenario: &Scenario, defect: Defect) -> EscrowWorld {
        let shards = (1..=scenario.shards).map(|id| ModelShard::new(id, scenario.work));
        let mut world = EscrowWorld {
            shards: shards.collect(),
            left: scenario.faults,
            scenario: Arc::new(scenario.clone()),
            defect,
            control: ControlState::default(),
            commands: 0,
            settings: 0,
            period: 0,
            network: Vec::new(),
            counted: BTreeMap::new(),
            lost: BTreeMap::new(),
            broken: None,
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

    /// Applies a command to the real state machine, as its log would.
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

    /// What shards, lost ones included, have spent and may still spend.
    fn spendable(&self, budget: &BudgetPeriod) -> Tokens {
        let lost = self.lost.get(budget).copied().unwrap_or_default();
        let shards = self.shards.iter();
        shards.fold(lost, |sum, shard| sum.saturating_add(shard.holds(budget)))
    }

    /// Granted by the ledger to a shard that has not added it yet.
    fn not_added(&self, budget: &BudgetPeriod) -> Tokens {
        let ledger = self.control.ledger();
        let of_shard = |shard: &ModelShard| {
            let last = ledger.last_grant(shard.id, &budget.branch, budget.period);
            let added = shard.escrow.account(budget);
            let added = added.map_or(0, |account| account.last_grant);
            last.filter(|last| last.number > added)
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

    /// All budgets there ever were, in all periods so far.
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

    /// A shard's request reaches the ledger.
    fn on_request(&mut self, request: &GrantRequest) {
        let budget = super::shard::budget_of(request);
        let limit = self.limit_in_force(&budget);
        let exists = self.control.policy().branch(&budget.branch).is_some();
        if self.defect == Defect::LiftedBudgetNotCounted && exists && limit.is_none() {
            let granted = request.wanted;
            let request = request.clone();
            self.network.push(Wire::Granted(Grant { request, granted }));
            return;
        }
        let before = self.held(&budget);
        let mut asked = request.clone();
        if self.defect == Defect::GrantIssuedTwice {
            asked.number = FRESH_NUMBERS + self.commands;
        }
        let outcome = self.run(CommandBody::Grant(asked));
        let after = self.held(&budget);
        if after > before && limit.is_some_and(|limit| after > limit) {
            self.broken = Some("the ledger never grants beyond the budget in force");
        }
        if let ApplyOutcome::Granted(grant) = outcome {
            let request = request.clone();
            let granted = grant.granted;
            self.network.push(Wire::Granted(Grant { request, granted }));
        }
    }

    fn on_return(&mut self, returned: &GrantReturn) {
        let mut taken = returned.clone();
        if self.defect == Defect::ReturnTakenTwice {
            taken.number = FRESH_NUMBERS + self.commands;
        }
        self.run(CommandBody::ReturnGrant(taken));
        self.network.push(Wire::Taken(returned.clone()));
    }

    fn receive(&mut self, message: &Wire) {
        let defect = self.defect;
        match message {
            Wire::Request(request) => self.on_request(request),
            Wire::Return(returned) => self.on_return(returned),
            Wire::Granted(grant) => {
                let shard = self
                    .shards
                    .iter_mut()
                    .find(|shard| shard.id == grant.request.shard);
                if let Some(shard) = shard {
                    shard.on_grant(grant, defect);
                }
            }
            Wire::Taken(taken) => {
                let shard = self.shards.iter_mut().find(|shard| shard.id == taken.shard);
                if let Some(shard) = shard {
                    shard.escrow.finish_return(taken);
                }
            }
        }
    }

    fn lose_shard(&mut self, place: usize) {
        for budget in self.all_budgets() {
            let holds = self.shards[place].holds(&budget);
            let lost = self.lost.entry(budget.clone()).or_default();
            *lost = lost.saturating_add(holds);
            if self.defect == Defect::LostEscrowReleased {
                self.run(CommandBody::ReturnGrant(GrantReturn {
                    shard: self.shards[place].id,
                    generation: self.shards[place].generation,
                    number: FRESH_NUMBERS,
                    branch: budget.branch,
                    period: budget.period,
                    returned: Tokens(u64::MAX),
                }));
            }
        }
        self.shards[place].found_again(self.defect);
    }

    fn end_attempt(&mut self, place: usize, spent: Tokens) -> bool {
        let (period, defect) = (self.period, self.defect);
        let Some(charged) = self.shards[place].end_attempt(spent, period, defect) else {
            return false;
        };
        for budget in charged {
            let counted = self.counted.entry(budget).or_default();
            *counted = counted.saturating_add(spent);
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
        let counted = self.counted.get(budget).copied().unwrap_or_default();
        if spendable > held {
            return Some("shards hold no more than the ledger counts as held");
        }
        if self
            .highest_limit(budget)
            .is_some_and(|limit| counted > limit)
        {
            return Some("engines never count more than the budget");
        }
        let is_quiet = self.network.is_empty() && self.shards.iter().all(ModelShard::is_quiet);
        let none_lost = self.left.refoundings == self.scenario.faults.refoundings;
        let expected = spendable.saturating_add(self.not_added(budget));
        if is_quiet && none_lost && held != expected {
            return Some("escrow that nobody holds comes back");
        }
        None
    }

    /// Steps of the network.
    fn deliveries(&self) -> Vec<(String, EscrowWorld)> {
        let mut next = Vec::new();
        for (place, message) in self.network.iter().enumerate() {
            let mut delivered = self.clone();
            delivered.network.remove(place);
            delivered.receive(message);
            next.push((format!("deliver {message:?}"), delivered));
            if self.left.duplicates > 0 {
                let mut kept = self.clone();
                kept.left.duplicates -= 1;
                kept.receive(message);
                next.push((format!("deliver a copy of {message:?}"), kept));
            }
            if self.left.losses > 0 {
                let mut lost = self.clone();
                lost.left.losses -= 1;
                lost.network.remove(place);
                next.push((format!("lose {message:?}"), lost));
            }
        }
        next
    }

    /// Steps of one shard.
    fn shard_steps(&self, place: usize) -> Vec<(String, EscrowWorld)> {
        let id = self.shards[place].id;
        let mut next = Vec::new();
        let mut step = |name: String, change: &dyn Fn(&mut EscrowWorld) -> bool| {
            let mut world = self.clone();
            if change(&mut world) {
                next.push((format!("shard {id}: {name}"), world));
            }
        };
        let budgets = self.budgets_at(self.shards[place].settings_seen);
        for budget in &budgets {
            step(format!("ask for {budget:?}"), &|world| {
                let request = world.shards[place].ask(budget);
                world.send(request.map(Wire::Request))
            });
        }
        for budget in self.all_budgets() {
            step(format!("give {budget:?} back"), &|world| {
                let defect = world.defect;
                let returned = world.shards[place].give_back(&budget, defect);
                world.send(returned.map(Wire::Return))
            });
        }
        step("begin an attempt".to_owned(), &|world| {
            world.shards[place].begin_attempt(budgets.clone())
        });
        for spent in [Tokens::ZERO, WORST_CASE] {
            step(format!("an attempt ends, {spent:?} spent"), &|world| {
                world.end_attempt(place, spent)
            });
        }
        step("hear of the newest settings".to_owned(), &|world| {
            let is_news = world.shards[place].settings_seen < world.settings;
            world.shards[place].settings_seen = world.settings;
            is_news
        });
        step("send again what was not answered".to_owned(), &|world| {
            world.resend(place)
        });
        step("the leader is lost".to_owned(), &|world| {
            let had_asked = !world.shards[place].asked.is_empty();
            let may = world.left.leader_changes > 0 && had_asked;
            world.left.leader_changes -= u8::from(may);
            world.shards[place].asked.clear();
            may
        });
        step("all replicas are lost".to_owned(), &|world| {
            let may = world.left.refoundings > 0;
            world.left.refoundings -= u8::from(may);
            if may {
                world.lose_shard(place);
            }
            may
        });
        next
    }

    fn send(&mut self, message: Option<Wire>) -> bool {
        let is_sent = message.is_some();
        self.network.extend(message);
        is_sent
    }

    /// Whether the message or its answer is under way. Sending again meanwhile is what a doubled message explores.
    fn is_under_way(&self, message: &Wire) -> bool {
        self.network.iter().any(|other| match (message, other) {
            (Wire::Request(asked), Wire::Granted(grant)) => grant.request == *asked,
            (Wire::Return(returned), Wire::Taken(taken)) => returned == taken,
            _ => message == other,
        })
    }

    fn resend(&mut self, place: usize) -> bool {
        let shard = &self.shards[place];
        let requests = shard.asked.iter().cloned().map(Wire::Request);
        let accounts = shard.escrow.accounts();
        let returns = accounts.filter_map(|(_, account)| account.pending_return.clone());
        let mut messages: Vec<Wire> = requests.chain(returns.map(Wire::Return)).collect();
        messages.retain(|message| !self.is_under_way(message));
        let is_news = !messages.is_empty();
        self.network.extend(messages);
        is_news
    }

    fn operator_steps(&self) -> Vec<(String, EscrowWorld)> {
        let mut next = Vec::new();
        if self.settings + 1 < self.scenario.settings.len() {
            let mut changed = self.clone();
            changed.accept_settings(self.settings + 1);
            let budgets = self.scenario.settings[self.settings + 1];
            next.push((format!("settings are accepted: {budgets:?}"), changed));
        }
        if self.left.periods > 0 {
            let mut later = self.clone();
            later.left.periods -= 1;
            later.period += 1;
            next.push(("the period ends".to_owned(), later));
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
            let left = [shard.left.requests, shard.left.attempts, shard.left.returns];
            hash_encoded(&(&shard.escrow, shard.generation, left), hasher);
            hash_encoded(
                &(&shard.attempts, &shard.asked, shard.settings_seen),
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
        std::hash::Hash::hash(&self.left, hasher);
        let counted: Vec<_> = self.counted.iter().collect();
        let lost: Vec<_> = self.lost.iter().collect();
        hash_encoded(&(counted, lost), hasher);
    }

    fn successors(&self) -> Vec<(String, EscrowWorld)> {
        let mut next = self.deliveries();
        for place in 0..self.shards.len() {
            next.extend(self.shard_steps(place));
        }
        next.extend(self.operator_steps());
        next
    }

    fn violation(&self) -> Option<&'static str> {
        let budgets = self.all_budgets();
        let mut violations = budgets
            .iter()
            .filter_map(|budget| self.budget_violation(budget));
        self.broken.or_else(|| violations.next())
    }
}

/// Where the branch with its own budget stands.
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
