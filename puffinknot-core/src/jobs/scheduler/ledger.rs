/*!
Resource usage of client accounts, and its limits.

A run counts from the moment its start order may have been sent until its end,
its refusal or its expiry is known; a run that is being stopped still counts.
After a takeover, the leader learns what a predecessor started on an executor
only when that executor answers. Until then an account may use more than is
known. The unknown part is at most the capacity of the executors that have not
answered, and at most what the inherited jobs of the account may have started.
The smaller of the two bounds, for each resource, is added to the known usage
before it is compared with the limit, so that the result may be too high but
never too low.
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

/// The resource usage of a client account and its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage<'a> {
    /// The name of the account.
    pub account: &'a str,
    /// The sum over its known runs.
    pub used: Resources,
    /// The upper bound on `used`; a resource that is zero is not limited.
    pub limit: Resources,
}

/// The usage of an account, as capacity shares need it.
pub(super) struct AccountUsage {
    /// Its weight relative to other accounts; zero if it has none.
    pub weight: f64,
    /// The sum over its known runs.
    pub used: Resources,
    /// The part of `used` that urgent runs have.
    pub urgent: Resources,
    /// Its limit; `u32::MAX` for a resource without one.
    pub limit: Resources,
}

/// The state of one account.
#[derive(Clone, Debug, Default)]
struct Entry {
    name: String,
    /// The newest weight that a policy gave it; zero if it has none.
    weight: f64,
    /// The newest limit that a policy gave it. An account that is no longer
    /// in the policy keeps its last limit for the jobs it has submitted.
    limit: Resources,
    /// The sum of the charges of its known runs.
    used: Resources,
    /// The part of `used` that urgent runs have.
    urgent: Resources,
    /// The charges of its known runs, by expected end.
    ends: BTreeMap<(Millis, ExecutorIndex, TaskKey), Resources>,
    /// What jobs that have ended may still use in runs that a predecessor
    /// started and that are not known yet.
    inherited: Resources,
    /// The upper bound on usage by runs that a predecessor started and that
    /// are not known yet; zero once a takeover is complete.
    unseen: Resources,
}

impl Entry {
    fn usage(&self) -> AccountUsage {
        AccountUsage {
            weight: self.weight,
            used: self.used,
            urgent: self.urgent,
            limit: accounts::remaining(&self.limit, &Resources::default()),
        }
    }
}

/// The resource usage of all client accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    entries: Vec<Entry>,
    by_name: BTreeMap<String, AccountIndex>,
}

impl Ledger {
    /// The index of an account, which is added if it is new.
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

    /// Applies the limits and weights of a policy.
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

    fn charge(&mut self, at: ExecutorIndex, task: TaskKey, run: &PlacedRun) {
        if let Some(entry) = self.entry(&run.charge) {
            entry.used = entry.used.plus(&run.charge.amount);
            if run.charge.urgent {
                entry.urgent = entry.urgent.plus(&run.charge.amount);
            }
            entry.ends.insert((run.expected_end, at, task), run.charge.amount);
        }
    }

    fn release(&mut self, at: ExecutorIndex, task: TaskKey, run: &PlacedRun) {
        if let Some(entry) = self.entry(&run.charge) {
            entry.used = entry.used.minus(&run.charge.amount);
            if run.charge.urgent {
                entry.urgent = entry.urgent.minus(&run.charge.amount);
            }
            entry.ends.remove(&(run.expected_end, at, task));
        }
    }

    /// The expected time at which `needed` fits into what remains of the
    /// account's limit, if its runs end when expected.
    fn fits_at(
        &self,
        account: AccountIndex,
        needed: &Resources,
        now: Millis,
    ) -> Option<Millis> {
        let entry = self.entries.get(account as usize)?;
        let mut used = entry.used.plus(&entry.unseen);
        for ((end, ..), amount) in &entry.ends {
            used = used.minus(amount);
            if accounts::remaining(&entry.limit, &used).fits(needed) {
                // An overdue run is expected to take as long again as it is
                // overdue, up to the grace.
                let overrun = now.saturating_sub(*end).min(OVERRUN_GRACE);
                return Some((*end).max(now + overrun));
            }
        }
        None
    }

    /// What remains of the limit of an account.
    pub fn remaining(&self, account: Option<AccountIndex>) -> Resources {
        let entry = account.and_then(|at| self.entries.get(at as usize));
        let none = Resources::default();
        match entry {
            Some(entry) => {
                let used = entry.used.plus(&entry.unseen);
                accounts::remaining(&entry.limit, &used)
            }
            None => accounts::remaining(&none, &none),
        }
    }

    /// The limit of an account, with `u32::MAX` for a resource without one. A
    /// gang that needs more can never start.
    pub fn limit_of(&self, account: Option<AccountIndex>) -> Resources {
        let entry = account.and_then(|at| self.entries.get(at as usize));
        let limit = entry.map(|entry| entry.limit).unwrap_or_default();
        accounts::remaining(&limit, &Resources::default())
    }

    /// Adds what a predecessor recorded as possibly still in use by jobs that
    /// have ended.
    pub fn inherit(&mut self, stopping: &StoppingResources) {
        for (name, amount) in stopping {
            let index = self.index(name) as usize;
            self.entries[index].inherited = *amount;
        }
    }

    /// Clears the bounds on unknown usage: all runs that a predecessor started
    /// are known.
    fn clear_unseen(&mut self) {
        for entry in &mut self.entries {
            entry.inherited = Resources::default();
            entry.unseen = Resources::default();
        }
    }

    /// The usage of each account that has any known runs.
    pub fn used(
        &self,
    ) -> impl Iterator<Item = (AccountIndex, Resources)> + '_ {
        let entries = self.entries.iter().enumerate();
        let busy = entries.filter(|(_, e)| e.used != Resources::default());
        busy.map(|(index, entry)| (index as AccountIndex, entry.used))
    }

    /// The usage and the limit of each account.
    pub fn usage(&self) -> impl Iterator<Item = Usage<'_>> {
        self.entries.iter().map(|entry| Usage {
            account: &entry.name,
            used: entry.used,
            limit: entry.limit,
        })
    }

    /// The number of accounts ever seen; indexes are below it.
    pub fn account_count(&self) -> usize {
        self.entries.len()
    }

    /// Whether any account has a weight.
    pub fn has_weights(&self) -> bool {
        self.entries.iter().any(|entry| entry.weight > 0.0)
    }

    /// The usage of all accounts, in the order of their indexes.
    pub fn account_usages(&self) -> impl Iterator<Item = AccountUsage> + '_ {
        self.entries.iter().map(Entry::usage)
    }

    /// The usage of an account.
    pub fn account_usage(
        &self,
        account: AccountIndex,
    ) -> Option<AccountUsage> {
        self.entries.get(account as usize).map(Entry::usage)
    }

    /// The name of an account.
    pub fn name(&self, account: AccountIndex) -> Option<&str> {
        let entry = self.entries.get(account as usize)?;
        Some(&entry.name)
    }
}

/// Gangs that wait for enough of their account's limit, in one placement
/// round.
///
/// Without a reservation, small tasks of the same account would take any part
/// of the limit that becomes free, and the gang could start only once no other
/// work is left. A step that ranks below such a gang therefore starts only if
/// it is expected to end before the gang can start.
#[derive(Debug, Default)]
pub(super) struct LimitReservations {
    /// When the first waiting gang of each account is expected to start.
    gang_starts: BTreeMap<AccountIndex, Millis>,
}

impl LimitReservations {
    /// Whether a task that ends then may start before the waiting gang of its
    /// account, if there is one.
    fn allows(&self, account: AccountIndex, end: Millis) -> bool {
        self.gang_starts.get(&account).is_none_or(|start| end <= *start)
    }

    /// Records when a gang is expected to start. Only the first gang of an
    /// account counts.
    fn reserve(&mut self, account: AccountIndex, start: Option<Millis>) {
        if let Some(start) = start {
            self.gang_starts.entry(account).or_insert(start);
        }
    }
}

impl Scheduler {
    /// Adds a run to its executor, and charges its account.
    pub(super) fn put_run(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        run: PlacedRun,
    ) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        self.ledger.charge(index, task, &run);
        if let Some(before) = executor.place_run(task, run) {
            self.ledger.release(index, task, &before);
        }
    }

    /// Removes a run from its executor, and releases its charge.
    pub(super) fn remove_run(&mut self, index: ExecutorIndex, task: &TaskKey) {
        let executor = self.executors.get_mut(&index);
        let removed = executor.and_then(|executor| executor.remove_run(task));
        if let Some(run) = removed {
            self.ledger.release(index, *task, &run);
        }
    }

    /// Recomputes the bounds on unknown usage until a takeover is complete:
    /// at most the capacity of the executors that have not answered, and at
    /// most what may have been started.
    pub(super) fn update_unseen(&mut self) {
        if self.takeover_deadline.is_none() {
            return self.ledger.clear_unseen();
        }
        if self.ledger.entries.is_empty() {
            return;
        }
        let unheard = self.unheard_executors.iter();
        let unheard = unheard.filter_map(|at| self.executors.get(at));
        let bound = unheard.fold(Resources::default(), |sum, executor| {
            sum.plus(&executor.info.capacity)
        });
        let mut started: BTreeMap<AccountIndex, Resources> = BTreeMap::new();
        for live in self.jobs.values().filter(|live| live.inherited) {
            let Some(account) = live.account else { continue };
            let sum = started.entry(account).or_default();
            *sum = sum.plus(&live.waiting_need());
        }
        for (at, entry) in self.ledger.entries.iter_mut().enumerate() {
            let started = started.get(&(at as AccountIndex));
            let started = started.copied().unwrap_or_default();
            let may_run = started.plus(&entry.inherited);
            entry.unseen = may_run.component_min(&bound);
        }
    }

    /// Whether the limit of its account keeps a step from starting now: any
    /// task, or all of a gang. A gang at the limit reserves what becomes free
    /// of it next, see [`LimitReservations`].
    pub(super) fn is_at_limit(
        &mut self,
        key: StepKey,
        reservations: &mut LimitReservations,
        now: Millis,
    ) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return true };
        let Some(account) = live.account else { return false };
        let step = &live.job.steps[key.step as usize];
        let tasks = if step.gang { step.count } else { 1 };
        let needed = step.need.times(tasks);
        let fits = self.ledger.remaining(live.account).fits(&needed);
        if fits
            && reservations.allows(account, now + self.nominal_run_time(key))
        {
            return false;
        }
        if !fits && step.gang && self.is_enabled(Mechanism::LimitForGangs) {
            let start = self.ledger.fits_at(account, &needed, now);
            reservations.reserve(account, start);
        }
        self.unreserve(key);
        self.count("steps_at_limit");
        true
    }

    /// Keeps counting the waiting tasks of an inherited job that ends, since a
    /// predecessor may have started them, until the takeover is complete.
    pub(super) fn retain_unseen(&mut self, job: JobId) {
        let Some(live) = self.jobs.get(&job) else { return };
        if self.takeover_deadline.is_none() || !live.inherited {
            return;
        }
        let amount = live.waiting_need();
        let account = live.account;
        let charge = Charge { account, amount, urgent: false };
        if let Some(entry) = self.ledger.entry(&charge) {
            entry.inherited = entry.inherited.plus(&amount);
        }
    }

    /// What jobs that have ended may still use, by account.
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

    /// The known usage and the limit of each client account.
    pub fn usage(&self) -> impl Iterator<Item = Usage<'_>> {
        self.ledger.usage()
    }
}
