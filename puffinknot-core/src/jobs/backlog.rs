/*!
How long waiting work takes to be started, and so when new work could start.

A [`Backlog`] holds the work that waits for the capacity of one service, by
its position in the start order and by client account. It answers one question:
if something is submitted now at this position, how long does the work ahead of
it take at the least? Ahead of it are:

* urgent work that comes before it in the start order;
* all work that was accepted earlier in its own queue, whatever its position.
  It still has to be done, and a queue into which more comes than goes out
  completes no more jobs by accepting more.

Other work that comes before it in the start order does not count: while that
waits for the members of its gang, for advice or for an executor with enough
free capacity, smaller tasks pass it.

[`ServiceCapacity`] is what processes the backlog: the resources that are free
now, and those in use, from the time at which the run that uses them should
end. The estimate assumes that all of it works without gaps, and only on the
work ahead. No cell is faster, so that the estimate errs on the early side.

A job of a client account waits only for the work of its own account, in the
account's share of the capacity.
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::message::AccountIndex;

/// An amount of work: resources times the time for which they are used, in
/// thousandths of a core, megabytes and accelerators, each times milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work([u64; 3]);

fn dimensions(resources: &Resources) -> [u64; 3] {
    [
        u64::from(resources.cpu_millis),
        u64::from(resources.memory_mb),
        u64::from(resources.accelerators),
    ]
}

impl Work {
    /// The work of a number of tasks which each use `need` for `time`
    /// milliseconds.
    pub fn of(need: &Resources, tasks: u32, time: Millis) -> Work {
        let amount = |resource: u64| {
            resource.saturating_mul(u64::from(tasks)).saturating_mul(time)
        };
        Work(dimensions(need).map(amount))
    }

    /// The sum of two amounts.
    pub fn plus(&self, other: &Work) -> Work {
        let mut sum = self.0;
        for (resource, more) in sum.iter_mut().zip(other.0) {
            *resource = resource.saturating_add(more);
        }
        Work(sum)
    }
}

/// The length of one interval of the forecast of a [`ServiceCapacity`]: a
/// small part of the shortest objective.
const INTERVAL_MS: Millis = 100;
/// The number of intervals of the forecast. Resources that are in use for
/// longer count as free from its end on.
const INTERVALS: usize = 100;

/// The capacity that processes a backlog, and a forecast of when the parts in
/// use become free.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    total: [u64; 3],
    /// The resources that become free in each interval; the first element is
    /// what is free now.
    freed: Vec<[u64; 3]>,
}

impl Default for ServiceCapacity {
    fn default() -> ServiceCapacity {
        ServiceCapacity { total: [0; 3], freed: vec![[0; 3]; INTERVALS + 1] }
    }
}

impl ServiceCapacity {
    /// Adds an executor with this capacity, of which `free` is free now.
    pub fn add(&mut self, capacity: &Resources, free: &Resources) {
        let sums = self.total.iter_mut().zip(dimensions(capacity));
        sums.for_each(|(sum, resource)| *sum += resource);
        self.free_after(0, free);
    }

    /// Adds resources that are in use and should become free after this time,
    /// in milliseconds.
    pub fn free_after(&mut self, after: Millis, need: &Resources) {
        let interval = (after.div_ceil(INTERVAL_MS) as usize).min(INTERVALS);
        let freed = self.freed[interval].iter_mut().zip(dimensions(need));
        freed.for_each(|(sum, resource)| *sum += resource);
    }

    /// The fraction of the capacity that `used` takes up, in the resource
    /// where it is largest.
    pub fn fraction_of(&self, used: &Resources) -> f64 {
        let pairs = dimensions(used).into_iter().zip(self.total);
        let pairs = pairs.filter(|(_, total)| *total > 0);
        pairs.map(|(u, total)| u as f64 / total as f64).fold(0.0, f64::max)
    }

    /// How long `work` takes if it has this fraction of the total capacity
    /// to itself, in milliseconds. Less than one for small work in a large
    /// cell.
    pub fn time_with_all(&self, work: &Work, fraction: f64) -> f64 {
        let pairs = work.0.iter().zip(self.total);
        let pairs = pairs.filter(|(_, total)| *total > 0);
        let times =
            pairs.map(|(w, total)| *w as f64 / (total as f64 * fraction));
        times.fold(0.0, f64::max)
    }

    /// How long `work` takes in this fraction of the capacity as it becomes
    /// free, in milliseconds; `None` if a resource that it needs is missing.
    pub fn time_for(&self, work: &Work, fraction: f64) -> Option<Millis> {
        let resources = 0..work.0.len();
        let times = resources
            .map(|resource| self.time_for_resource(work, resource, fraction));
        times.collect::<Option<Vec<Millis>>>()?.into_iter().max()
    }

    fn time_for_resource(
        &self,
        work: &Work,
        resource: usize,
        fraction: f64,
    ) -> Option<Millis> {
        let mut left = work.0[resource] as f64;
        if left <= 0.0 {
            return Some(0);
        }
        let mut free = 0.0;
        for (interval, freed) in self.freed.iter().enumerate() {
            free += freed[resource] as f64 * fraction;
            let done = free * INTERVAL_MS as f64;
            let last = interval == INTERVALS;
            if free > 0.0 && (left <= done || last) {
                let begin = interval as Millis * INTERVAL_MS;
                return Some(begin + (left / free) as Millis);
            }
            left -= done;
        }
        None
    }
}

/// The waiting work of one queue.
#[derive(Clone, Debug)]
struct QueueBacklog<P> {
    all: Work,
    /// The urgent part of it, by position.
    urgent: BTreeMap<P, Work>,
}

/// The waiting work of one account or of all accounts, by queue.
#[derive(Clone, Debug)]
struct ByQueue<P>(BTreeMap<String, QueueBacklog<P>>);

impl<P> Default for ByQueue<P> {
    fn default() -> ByQueue<P> {
        ByQueue(BTreeMap::new())
    }
}

impl<P: Ord + Copy> ByQueue<P> {
    fn add(&mut self, queue: &str, work: &Work, urgent: Option<P>) {
        if !self.0.contains_key(queue) {
            let (all, urgent) = (Work::default(), BTreeMap::new());
            self.0.insert(queue.to_string(), QueueBacklog { all, urgent });
        }
        let Some(waiting) = self.0.get_mut(queue) else { return };
        waiting.all = waiting.all.plus(work);
        if let Some(position) = urgent {
            let sum = waiting.urgent.entry(position).or_default();
            *sum = sum.plus(work);
        }
    }

    /// The work ahead of a submission to this queue at this position.
    fn before(&self, position: P, queue: &str) -> Work {
        let own = self.0.get(queue).map(|waiting| waiting.all);
        self.urgent_elsewhere(position, queue).plus(&own.unwrap_or_default())
    }

    /// The urgent work of other queues that is ahead of this position.
    fn urgent_elsewhere(&self, position: P, queue: &str) -> Work {
        let others = self.0.iter().filter(|(name, _)| *name != queue);
        let urgent = others.flat_map(|(_, waiting)| {
            waiting.urgent.range(..=position).map(|(_, work)| work)
        });
        urgent.fold(Work::default(), |sum, work| sum.plus(work))
    }
}

/// How long a new submission waits for the work ahead of it, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The time for the work of all accounts in the whole capacity.
    pub by_all: Millis,
    /// The time for the work of its own account in the account's share of the
    /// capacity, if it has an account.
    pub by_account: Option<Millis>,
}

impl Wait {
    /// The wait that applies to it.
    pub fn effective(&self) -> Millis {
        self.by_account.unwrap_or(self.by_all)
    }

    /// Whether its account has more than its share of the waiting work.
    pub fn over_share(&self) -> bool {
        self.by_account.is_some_and(|own| own > self.by_all)
    }
}

/// The work that waits for the capacity of one service. `P` is a position in
/// the start order, in which the least comes first.
#[derive(Clone, Debug)]
pub struct Backlog<P> {
    capacity: ServiceCapacity,
    all: ByQueue<P>,
    accounts: BTreeMap<AccountIndex, ByQueue<P>>,
}

impl<P: Ord + Copy> Backlog<P> {
    /// Creates an empty backlog for this capacity.
    pub fn new(capacity: ServiceCapacity) -> Backlog<P> {
        let (all, accounts) = (ByQueue::default(), BTreeMap::new());
        Backlog { capacity, all, accounts }
    }

    /// The capacity that processes it.
    pub fn capacity(&self) -> &ServiceCapacity {
        &self.capacity
    }

    /// Adds work that waits; `urgent` is its position if it is urgent.
    pub fn add(
        &mut self,
        account: Option<AccountIndex>,
        queue: &str,
        work: &Work,
        urgent: Option<P>,
    ) {
        self.all.add(queue, work, urgent);
        if let Some(account) = account {
            let own = self.accounts.entry(account).or_default();
            own.add(queue, work, urgent);
        }
    }

    /// The accounts that have waiting work.
    pub fn accounts(&self) -> impl Iterator<Item = AccountIndex> + '_ {
        self.accounts.keys().copied()
    }

    /// The urgent work of other queues that is ahead of a new submission, of
    /// its account if it has one.
    pub fn urgent_elsewhere(
        &self,
        account: Option<AccountIndex>,
        queue: &str,
        position: P,
    ) -> Work {
        let work = match account {
            Some(account) => self.accounts.get(&account),
            None => Some(&self.all),
        };
        let work = work.map(|work| work.urgent_elsewhere(position, queue));
        work.unwrap_or_default()
    }

    /// The least time that a new submission waits. `account` is its account
    /// and the fraction of the capacity that the account can have. `None` if a
    /// resource that the work ahead needs is missing.
    pub fn wait(
        &self,
        account: Option<(AccountIndex, f64)>,
        queue: &str,
        position: P,
    ) -> Option<Wait> {
        let before = self.all.before(position, queue);
        let by_all = self.capacity.time_for(&before, 1.0)?;
        let Some((account, fraction)) = account else {
            return Some(Wait { by_all, by_account: None });
        };
        let own = self.accounts.get(&account);
        let before = own.map(|own| own.before(position, queue));
        let time =
            self.capacity.time_for(&before.unwrap_or_default(), fraction)?;
        Some(Wait { by_all, by_account: Some(time) })
    }
}
