/*!
How long what waits takes to be started, and so when something new could be.

A [`Backlog`] holds the work that waits for the room of one service, by its
place in the order in which it is started and by client account. It answers
one question: if something is handed in now with this place, how long does
the work before it take, at the least? What counts as before it:

* urgent work that the order puts first;
* what was accepted earlier of its own queue, wherever the order has it by
  now. It is still to be done, and a queue into which more comes than goes out
  serves no more jobs by taking more.

Other work that the order puts first does not count: while it waits for the
members of its gang, for advice or for an executor with enough room, smaller
tasks pass it.

[`ServiceCapacity`] says what works at the backlog: what is free, and what runs now from
the time on at which it should end. All of it is taken to work without a gap,
and at nothing but what goes before. No cell is faster, so that the answer errs
to the early side.

A job of a client account waits for the work of its own account only, in the
part of the room that is its account's.
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::message::AccountIndex;

/// An amount of work: what is held times how long, in thousandths of a core,
/// megabytes and accelerators times milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work([u64; 3]);

fn parts(room: &Resources) -> [u64; 3] {
    [
        u64::from(room.cpu_millis),
        u64::from(room.memory_mb),
        u64::from(room.accelerators),
    ]
}

impl Work {
    /// The work of so many tasks which each hold `need` for `time`, in
    /// milliseconds.
    pub fn of(need: &Resources, tasks: u32, time: Millis) -> Work {
        let amount = |part: u64| {
            part.saturating_mul(u64::from(tasks)).saturating_mul(time)
        };
        Work(parts(need).map(amount))
    }

    /// The sum.
    pub fn plus(&self, other: &Work) -> Work {
        let mut sum = self.0;
        for (part, more) in sum.iter_mut().zip(other.0) {
            *part = part.saturating_add(more);
        }
        Work(sum)
    }
}

/// The time that one grain of the forecast of a [`ServiceCapacity`] covers, in
/// milliseconds: a small part of the shortest objective.
const GRAIN: Millis = 100;
/// How many grains are foreseen. What runs for longer counts as free from
/// then on.
const GRAINS: usize = 100;

/// Room that works at a backlog, and what of it comes free when.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    whole: [u64; 3],
    /// What comes free in each grain; in the first what is free now.
    freed: Vec<[u64; 3]>,
}

impl Default for ServiceCapacity {
    fn default() -> ServiceCapacity {
        ServiceCapacity { whole: [0; 3], freed: vec![[0; 3]; GRAINS + 1] }
    }
}

impl ServiceCapacity {
    /// Adds an executor that has `capacity`, of which this much is free.
    pub fn add(&mut self, capacity: &Resources, free: &Resources) {
        let all = self.whole.iter_mut().zip(parts(capacity));
        all.for_each(|(sum, part)| *sum += part);
        self.free_after(0, free);
    }

    /// So much of it is taken by something that should end after this time,
    /// in milliseconds.
    pub fn free_after(&mut self, after: Millis, need: &Resources) {
        let grain = (after.div_ceil(GRAIN) as usize).min(GRAINS);
        let freed = self.freed[grain].iter_mut().zip(parts(need));
        freed.for_each(|(sum, part)| *sum += part);
    }

    /// The largest part of it, of any kind, that this much takes up.
    pub fn fraction_of(&self, held: &Resources) -> f64 {
        let parts = parts(held).into_iter().zip(self.whole);
        let parts = parts.filter(|(_, whole)| *whole > 0);
        parts.map(|(h, whole)| h as f64 / whole as f64).fold(0.0, f64::max)
    }

    /// How long `work` keeps this part of the room, all of it, in
    /// milliseconds.
    pub fn time_with_all(&self, work: &Work, part: f64) -> Millis {
        let kinds = work.0.iter().zip(self.whole);
        let kinds = kinds.filter(|(_, whole)| *whole > 0);
        let times = kinds.map(|(w, whole)| *w as f64 / (whole as f64 * part));
        times.fold(0.0, f64::max) as Millis
    }

    /// How long `work` takes in this part of the room, in milliseconds;
    /// `None` if there is none of what it needs.
    pub fn time_for(&self, work: &Work, part: f64) -> Option<Millis> {
        let kinds = 0..work.0.len();
        let times = kinds.map(|kind| self.time_for_kind(work, kind, part));
        times.collect::<Option<Vec<Millis>>>()?.into_iter().max()
    }

    fn time_for_kind(
        &self,
        work: &Work,
        kind: usize,
        part: f64,
    ) -> Option<Millis> {
        let mut left = work.0[kind] as f64;
        if left <= 0.0 {
            return Some(0);
        }
        let mut works = 0.0;
        for (grain, freed) in self.freed.iter().enumerate() {
            works += freed[kind] as f64 * part;
            let done = works * GRAIN as f64;
            let last = grain == GRAINS;
            if works > 0.0 && (left <= done || last) {
                let begin = grain as Millis * GRAIN;
                return Some(begin + (left / works) as Millis);
            }
            left -= done;
        }
        None
    }
}

/// What waits of one queue.
#[derive(Clone, Debug)]
struct Waiting<P> {
    all: Work,
    /// What of it is urgent, by its place.
    urgent: BTreeMap<P, Work>,
}

/// What waits of one account, or of all, by queue.
#[derive(Clone, Debug)]
struct Lane<P>(BTreeMap<String, Waiting<P>>);

impl<P> Default for Lane<P> {
    fn default() -> Lane<P> {
        Lane(BTreeMap::new())
    }
}

impl<P: Ord + Copy> Lane<P> {
    fn add(&mut self, queue: &str, work: &Work, urgent: Option<P>) {
        if !self.0.contains_key(queue) {
            let (all, urgent) = (Work::default(), BTreeMap::new());
            self.0.insert(queue.to_string(), Waiting { all, urgent });
        }
        let Some(waiting) = self.0.get_mut(queue) else { return };
        waiting.all = waiting.all.plus(work);
        if let Some(place) = urgent {
            let sum = waiting.urgent.entry(place).or_default();
            *sum = sum.plus(work);
        }
    }

    /// The work before something of this queue with this place.
    fn before(&self, place: P, queue: &str) -> Work {
        let mut sum = Work::default();
        for (name, waiting) in &self.0 {
            if name == queue {
                sum = sum.plus(&waiting.all);
                continue;
            }
            for (_, work) in waiting.urgent.range(..=place) {
                sum = sum.plus(work);
            }
        }
        sum
    }
}

/// For how long what is before something new keeps the room, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The work of all in the whole room.
    pub by_all: Millis,
    /// The work of its account in its part of the room, if it has one.
    pub by_account: Option<Millis>,
}

impl Wait {
    /// How long it waits.
    pub fn effective(&self) -> Millis {
        self.by_account.unwrap_or(self.by_all)
    }

    /// Whether its account has more than its part of all that waits.
    pub fn over_share(&self) -> bool {
        self.by_account.is_some_and(|own| own > self.by_all)
    }
}

/// The work that waits for the room of one service. `P` is a place in the
/// order in which it is started, the least first.
#[derive(Clone, Debug)]
pub struct Backlog<P> {
    room: ServiceCapacity,
    all: Lane<P>,
    accounts: BTreeMap<AccountIndex, Lane<P>>,
}

impl<P: Ord + Copy> Backlog<P> {
    /// Nothing waits for this room.
    pub fn new(room: ServiceCapacity) -> Backlog<P> {
        let (all, accounts) = (Lane::default(), BTreeMap::new());
        Backlog { room, all, accounts }
    }

    /// The room that works at it.
    pub fn capacity(&self) -> &ServiceCapacity {
        &self.room
    }

    /// Adds work that waits; `urgent` is its place in the order, if it is.
    pub fn add(
        &mut self,
        account: Option<AccountIndex>,
        queue: &str,
        work: &Work,
        urgent: Option<P>,
    ) {
        self.all.add(queue, work, urgent);
        if let Some(account) = account {
            let lane = self.accounts.entry(account).or_default();
            lane.add(queue, work, urgent);
        }
    }

    /// The accounts of which something waits.
    pub fn accounts(&self) -> impl Iterator<Item = AccountIndex> + '_ {
        self.accounts.keys().copied()
    }

    /// How long something new waits at the least. `account` is its account
    /// and the part of the room that this can have. `None` if that can't be
    /// told, since there is no room of a kind that is needed.
    pub fn wait(
        &self,
        account: Option<(AccountIndex, f64)>,
        queue: &str,
        place: P,
    ) -> Option<Wait> {
        let before = self.all.before(place, queue);
        let by_all = self.room.time_for(&before, 1.0)?;
        let Some((account, part)) = account else {
            return Some(Wait { by_all, by_account: None });
        };
        let lane = self.accounts.get(&account);
        let before = lane.map(|lane| lane.before(place, queue));
        let own = self.room.time_for(&before.unwrap_or_default(), part)?;
        Some(Wait { by_all, by_account: Some(own) })
    }
}
