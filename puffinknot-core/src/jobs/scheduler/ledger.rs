/*!
What each client account has running.

A run counts from the moment its order may have left until its end, its
refusal or its lapse is known; one that is being stopped counts too. After a
takeover, what a predecessor has started is found only when its executor
answers. Until then an account may have more than is known: at most what those
executors hold, and at most what of its jobs may have been started. So the sum
errs upwards only.
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::accounts;
use crate::jobs::executor::{Charge, PlacedRun};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, ExecutorIndex};
use crate::jobs::model::{JobId, StepKey, TaskKey};
use crate::jobs::policy::Policy;
use crate::jobs::record::StoppingResources;
use crate::jobs::scheduler::run_time_estimate::OVERRUN_GRACE;
use crate::jobs::scheduler::Scheduler;

/// What a client account has running, and may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage<'a> {
    /// Its name.
    pub account: &'a str,
    /// The sum of its runs.
    pub held: Resources,
    /// The most that this may be; zero is no limit.
    pub limit: Resources,
}

/// What an account holds, and what it may.
pub(super) struct Holding {
    /// Its weight against others; zero is none.
    pub weight: f64,
    pub held: Resources,
    /// What urgent runs hold of that.
    pub urgent: Resources,
    pub most: Resources,
}

/// What is known of one account.
#[derive(Clone, Debug, Default)]
struct Entry {
    name: String,
    /// The newest weight that the policy gave it; zero is none.
    weight: f64,
    /// The newest limit that the policy gave it. An account that the policy
    /// names no more keeps its last one, for what it has handed in.
    limit: Resources,
    /// What all runs that are known count for.
    held: Resources,
    /// What those of urgent queues count for.
    urgent: Resources,
    /// When its runs should end, and what each of them counts for.
    ends: BTreeMap<(Millis, ExecutorIndex, TaskKey), Resources>,
    /// What may run unseen of jobs that have ended.
    inherited: Resources,
    /// What may run unseen at the most, until a takeover is settled.
    unseen: Resources,
}

impl Entry {
    fn holding(&self) -> Holding {
        Holding {
            weight: self.weight,
            held: self.held,
            urgent: self.urgent,
            most: accounts::left(&self.limit, &Resources::default()),
        }
    }
}

/// What all accounts have running.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    entries: Vec<Entry>,
    by_name: BTreeMap<String, AccountIndex>,
}

impl Ledger {
    /// The number of an account.
    pub fn index(&mut self, name: &str) -> AccountIndex {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = self.entries.len() as AccountIndex;
        let name = name.to_string();
        self.by_name.insert(name.clone(), index);
        self.entries.push(Entry { name, ..Entry::default() });
        index
    }

    /// Takes over the limits and weights of a policy.
    pub fn set_accounts(&mut self, policy: &Policy) {
        for account in policy.accounts.values() {
            let index = self.index(&account.name);
            let entry = &mut self.entries[index as usize];
            entry.limit = account.limit;
            entry.weight = account.weight;
        }
    }

    fn entry(&mut self, charge: &Charge) -> Option<&mut Entry> {
        self.entries.get_mut(charge.account? as usize)
    }

    fn take(&mut self, at: ExecutorIndex, task: TaskKey, run: &PlacedRun) {
        if let Some(entry) = self.entry(&run.charge) {
            entry.held = entry.held.plus(&run.charge.amount);
            if run.charge.urgent {
                entry.urgent = entry.urgent.plus(&run.charge.amount);
            }
            entry.ends.insert((run.expected_end, at, task), run.charge.amount);
        }
    }

    fn give_back(
        &mut self,
        at: ExecutorIndex,
        task: TaskKey,
        run: &PlacedRun,
    ) {
        if let Some(entry) = self.entry(&run.charge) {
            entry.held = entry.held.minus(&run.charge.amount);
            if run.charge.urgent {
                entry.urgent = entry.urgent.minus(&run.charge.amount);
            }
            entry.ends.remove(&(run.expected_end, at, task));
        }
    }

    /// When the limit of an account should leave so much, if its runs end
    /// when they should.
    fn leaves_at(
        &self,
        account: AccountIndex,
        needed: &Resources,
        now: Millis,
    ) -> Option<Millis> {
        let entry = self.entries.get(account as usize)?;
        let mut holds = entry.held.plus(&entry.unseen);
        for ((end, ..), amount) in &entry.ends {
            holds = holds.minus(amount);
            if accounts::left(&entry.limit, &holds).fits(needed) {
                // What has overstayed its guess may do so for as long again.
                let overstayed = now.saturating_sub(*end).min(OVERRUN_GRACE);
                return Some((*end).max(now + overstayed));
            }
        }
        None
    }

    /// What may be started for an account.
    pub fn remaining(&self, account: Option<AccountIndex>) -> Resources {
        let entry = account.and_then(|at| self.entries.get(at as usize));
        let none = Resources::default();
        match entry {
            Some(entry) => {
                let holds = entry.held.plus(&entry.unseen);
                accounts::left(&entry.limit, &holds)
            }
            None => accounts::left(&none, &none),
        }
    }

    /// The most that an account may have running, so that a gang that needs
    /// more is never started.
    pub fn limit_of(&self, account: Option<AccountIndex>) -> Resources {
        let entry = account.and_then(|at| self.entries.get(at as usize));
        let limit = entry.map(|entry| entry.limit).unwrap_or_default();
        accounts::left(&limit, &Resources::default())
    }

    /// What may still run of jobs that a predecessor has given up.
    pub fn inherit(&mut self, stopping: &StoppingResources) {
        for (name, amount) in stopping {
            let index = self.index(name) as usize;
            self.entries[index].inherited = *amount;
        }
    }

    /// Everything that a predecessor has started is known.
    fn settled(&mut self) {
        for entry in &mut self.entries {
            entry.inherited = Resources::default();
            entry.unseen = Resources::default();
        }
    }

    /// What accounts have running, of those that have anything.
    pub fn held(
        &self,
    ) -> impl Iterator<Item = (AccountIndex, Resources)> + '_ {
        let entries = self.entries.iter().enumerate();
        let busy = entries.filter(|(_, e)| e.held != Resources::default());
        busy.map(|(index, entry)| (index as AccountIndex, entry.held))
    }

    /// What is known of each account.
    pub fn usage(&self) -> impl Iterator<Item = Usage<'_>> {
        self.entries.iter().map(|entry| Usage {
            account: &entry.name,
            held: entry.held,
            limit: entry.limit,
        })
    }

    /// The number of accounts that were ever named.
    pub fn accounts(&self) -> usize {
        self.entries.len()
    }

    /// Whether any account has a weight.
    pub fn has_weights(&self) -> bool {
        self.entries.iter().any(|entry| entry.weight > 0.0)
    }

    /// What accounts hold, in the order of their numbers.
    pub fn holdings(&self) -> impl Iterator<Item = Holding> + '_ {
        self.entries.iter().map(Entry::holding)
    }

    /// What an account holds.
    pub fn holding(&self, account: AccountIndex) -> Option<Holding> {
        self.entries.get(account as usize).map(Entry::holding)
    }

    /// The name of an account.
    pub fn name(&self, account: AccountIndex) -> Option<&str> {
        let entry = self.entries.get(account as usize)?;
        Some(&entry.name)
    }
}

/// Which gangs wait for a part of their accounts' limits.
///
/// Small tasks of its own account would take whatever gets free of the limit,
/// and a gang would find it all free only when nothing else is left to do. So
/// what comes after such a gang starts only if it should end before the gang
/// can begin.
#[derive(Debug, Default)]
pub(super) struct LimitReservations {
    /// When the first gang of an account should begin.
    begins: BTreeMap<AccountIndex, Millis>,
}

impl LimitReservations {
    /// Whether something that ends then may start before the gang that
    /// waits, if any does.
    fn admits(&self, account: AccountIndex, ends: Millis) -> bool {
        self.begins.get(&account).is_none_or(|begins| ends <= *begins)
    }

    /// A gang should begin then. Only the first one of an account counts.
    fn wait(&mut self, account: AccountIndex, when: Option<Millis>) {
        if let Some(when) = when {
            self.begins.entry(account).or_insert(when);
        }
    }
}

impl Scheduler {
    /// A run takes up room on an executor, and counts for its account.
    pub(super) fn put_run(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        run: PlacedRun,
    ) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        self.ledger.take(index, task, &run);
        if let Some(before) = executor.place_run(task, run) {
            self.ledger.give_back(index, task, &before);
        }
    }

    /// A run takes up room no more.
    pub(super) fn remove_run(&mut self, index: ExecutorIndex, task: &TaskKey) {
        let executor = self.executors.get_mut(&index);
        let removed = executor.and_then(|executor| executor.remove_run(task));
        if let Some(run) = removed {
            self.ledger.give_back(index, *task, &run);
        }
    }

    /// Works out anew what may run unseen, while a takeover is not settled:
    /// at most what executors hold that have not answered, and at most what
    /// may have been started.
    pub(super) fn update_unseen(&mut self) {
        if self.takeover_deadline.is_none() {
            return self.ledger.settled();
        }
        if self.ledger.entries.is_empty() {
            return;
        }
        let unseen = self.unheard_executors.iter();
        let unseen = unseen.filter_map(|at| self.executors.get(at));
        let most = unseen.fold(Resources::default(), |sum, executor| {
            sum.plus(&executor.info.capacity)
        });
        let mut started: BTreeMap<AccountIndex, Resources> = BTreeMap::new();
        for live in self.jobs.values().filter(|live| live.inherited) {
            let Some(account) = live.account else { continue };
            let sum = started.entry(account).or_default();
            *sum = sum.plus(&live.waits_for());
        }
        for (at, entry) in self.ledger.entries.iter_mut().enumerate() {
            let started = started.get(&(at as AccountIndex));
            let started = started.copied().unwrap_or_default();
            let may_run = started.plus(&entry.inherited);
            entry.unseen = may_run.least(&most);
        }
    }

    /// Whether nothing of a step may be started now for the limit of its
    /// account: no task, or not all of a gang. A gang that waits for it gets
    /// the next of the limit that is free, see [`LimitReservations`].
    pub(super) fn is_at_limit(
        &mut self,
        key: StepKey,
        turns: &mut LimitReservations,
        now: Millis,
    ) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return true };
        let Some(account) = live.account else { return false };
        let step = &live.job.steps[key.step as usize];
        let together = if step.gang { step.count } else { 1 };
        let needed = step.need.times(together);
        let fits = self.ledger.remaining(live.account).fits(&needed);
        if fits && turns.admits(account, now + self.nominal_run_time(key)) {
            return false;
        }
        if !fits && step.gang && self.is_enabled(Mechanism::LimitForGangs) {
            let when = self.ledger.leaves_at(account, &needed, now);
            turns.wait(account, when);
        }
        self.unreserve(key);
        self.count("steps_at_limit");
        true
    }

    /// A job ends whose tasks may run unseen, since a predecessor may have
    /// started them: they count on until the takeover is settled.
    pub(super) fn keep_unseen(&mut self, job: JobId) {
        let Some(live) = self.jobs.get(&job) else { return };
        if self.takeover_deadline.is_none() || !live.inherited {
            return;
        }
        let amount = live.waits_for();
        let account = live.account;
        let charge = Charge { account, amount, urgent: false };
        if let Some(entry) = self.ledger.entry(&charge) {
            entry.inherited = entry.inherited.plus(&amount);
        }
    }

    /// What may still run of jobs that have ended, by account.
    pub(super) fn stopping(&self) -> StoppingResources {
        let mut stopping = StoppingResources::new();
        let runs = self.executors.values().flat_map(|e| &e.runs);
        for (task, run) in runs {
            let live = self.jobs.get(&task.step.job);
            if live.is_some_and(|live| live.ended.is_none()) {
                continue;
            }
            let name = run.charge.account.and_then(|at| self.ledger.name(at));
            let Some(name) = name else { continue };
            let sum = stopping.entry(name.to_string()).or_default();
            *sum = sum.plus(&run.charge.amount);
        }
        for entry in &self.ledger.entries {
            if entry.inherited != Resources::default() {
                let sum = stopping.entry(entry.name.clone()).or_default();
                *sum = sum.plus(&entry.inherited);
            }
        }
        stopping
    }

    /// What each client account has running, as far as it is known.
    pub fn usage(&self) -> impl Iterator<Item = Usage<'_>> {
        self.ledger.usage()
    }
}
