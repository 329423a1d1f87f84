/*!
Which client accounts hold more than their share of a full cell.

While something waits for room, each account has a part of what is held by
weight, see [`fair`]; what one doesn't want is lent. An account that
holds more than its fair share goes behind those that don't, so that what gets
free returns to them. Nothing is stopped here.

Urgent work counts by itself as well: against the urgent work of others, so
that a flood of urgent steps gives way to theirs before it has taken the whole
cell; and against the account's share of all work, so that such a flood also
gives way to what may wait, where nobody else has urgent work. An account's
long patient runs never put its urgent steps behind.

An account is over its share only if it holds more than that now, and has held
more in the mean for as long as callers can bear to wait: a short burst is no
flood, and who has had much and holds nothing owes nothing. An account that
holds nothing is never over its share, so that none is starved.

What is held changes while steps are placed, and counts at once: when many runs
of an account end together, it gets back its share of the room, not all of it.
Shares are therefore of the room that was held when something last found none,
and means go by what was held from one placing to the next.

All this is kept by the leader alone. What accounts hold is the ledger's; a
successor knows it when executors have answered, and begins the means at zero.
*/

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::fair_share::{
    dominant_share, fair_shares_of, Claim, RecentMean,
};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, Action};
use crate::jobs::model::StepKey;
use crate::jobs::scheduler::ledger::AccountUsage;
use crate::jobs::scheduler::Scheduler;

/// Shares are worked out at most so often, in milliseconds: runs that take
/// less don't matter to anyone's share.
const WEIGH_GAP: Millis = 20;
/// The room of all executors is added up so often, in milliseconds.
const MEASURE_GAP: Millis = 1_000;
/// That an account is over its share is told at most so often, in
/// milliseconds.
const TELL_GAP: Millis = 1_000;

/// Shares that differ by less are the same.
const ROUNDING: f64 = 1e-9;

/// What counts for a share, and of what it is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// All work, of all.
    All,
    /// Urgent work, of what is urgent.
    Urgent,
    /// Urgent work, of all.
    UrgentOfAll,
}

const KINDS: [Kind; 3] = [Kind::All, Kind::Urgent, Kind::UrgentOfAll];

impl Kind {
    /// Whether it is a share of what urgent work holds.
    fn is_among_urgent(self) -> bool {
        self == Kind::Urgent
    }

    /// What of an account's holding counts.
    fn of(self, holding: &AccountUsage) -> Resources {
        match self {
            Kind::All => holding.used,
            Kind::Urgent | Kind::UrgentOfAll => holding.urgent,
        }
    }
}

/// How much of the cell's room an account holds and should hold.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    /// What it held after the last placing.
    held: f64,
    mean: RecentMean,
    /// Its fair share, if there is not room for all.
    fair: Option<f64>,
}

impl Standing {
    /// Whether it is over its share if it holds so much now.
    fn is_over(&self, held: f64) -> bool {
        let least = held.min(self.mean.get());
        self.fair.is_some_and(|fair| least > fair + ROUNDING)
    }
}

/// What is known of the shares of one account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountShare {
    /// By [`Kind`].
    standings: [Standing; 3],
    told: Option<Millis>,
}

/// The shares of all accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct FairShares {
    accounts: Vec<AccountShare>,
    /// The room of all executors together.
    whole: Resources,
    /// How many executors were known then, and when that was.
    known: usize,
    measured: Millis,
    /// When shares were worked out last.
    weighed: Millis,
    /// Whether something waited for room at the last look.
    full: bool,
    /// Whether something urgent did.
    full_of_urgent: bool,
}

impl FairShares {
    /// The room of all executors together, as it was added up last.
    pub fn total_capacity(&self) -> &Resources {
        &self.whole
    }

    fn is_over(&self, at: AccountIndex, kind: Kind, held: f64) -> bool {
        let share = self.accounts.get(at as usize);
        share.is_some_and(|s| s.standings[kind as usize].is_over(held))
    }

    /// Takes in what accounts hold and want of the same room, in the order of
    /// the ledger. Those without a weight have no share to be over.
    fn weigh(&mut self, claims: &[Claim], kind: Kind) {
        let weighed = |claim: &Claim| claim.weight > 0.0;
        let full = match kind.is_among_urgent() {
            true => self.full_of_urgent,
            false => self.full,
        };
        let competing = claims.iter().copied().filter(weighed);
        let competing: Vec<Claim> = competing.collect();
        let now: f64 = competing.iter().map(|claim| claim.held).sum();
        let both = claims.iter().zip(&self.accounts);
        let both = both.filter(|(claim, _)| weighed(claim));
        let before = both.map(|(_, s)| s.standings[kind as usize].held);
        let room = now.max(before.sum());
        let mut fair = fair_shares_of(room, &competing).into_iter();
        for (claim, share) in claims.iter().zip(&mut self.accounts) {
            let fair = if weighed(claim) { fair.next() } else { None };
            let fair = fair.filter(|_| full);
            share.standings[kind as usize].fair = fair;
            if kind == Kind::All {
                share.standings[Kind::UrgentOfAll as usize].fair = fair;
            }
        }
    }

    /// Takes in what has been held since the last time.
    fn pass(&mut self, accounts: usize, periods: [Millis; 2], now: Millis) {
        self.accounts.resize(accounts, AccountShare::default());
        for share in &mut self.accounts {
            for kind in KINDS {
                let period = periods[usize::from(kind.is_among_urgent())];
                let standing = &mut share.standings[kind as usize];
                standing.mean.update(standing.held, period, now);
            }
        }
    }
}

impl Scheduler {
    /// Whether an account holds more than its share of a full cell.
    pub(super) fn over_share(&self, account: Option<AccountIndex>) -> bool {
        self.is_over(account, Kind::All)
    }

    /// Whether an account's urgent work holds more than its share of what
    /// urgent work holds.
    pub(super) fn over_urgent_share(
        &self,
        account: Option<AccountIndex>,
    ) -> bool {
        self.is_over(account, Kind::Urgent)
    }

    /// Whether an account's urgent work alone holds more than the account's
    /// share of a full cell.
    pub(super) fn urgent_over_total_share(
        &self,
        account: Option<AccountIndex>,
    ) -> bool {
        self.is_over(account, Kind::UrgentOfAll)
    }

    fn is_over(&self, account: Option<AccountIndex>, kind: Kind) -> bool {
        let Some(at) = account else { return false };
        let Some(holding) = self.ledger.account_usage(at) else {
            return false;
        };
        let shares = &self.account_shares;
        let held = dominant_share(&kind.of(&holding), &shares.whole);
        shares.is_over(at, kind, held)
    }

    /// Steps are about to be looked at: all of them, or the urgent ones.
    pub(super) fn begin_placement_pass(&mut self, all: bool) {
        let shares = &mut self.account_shares;
        shares.full &= !all;
        shares.full_of_urgent = false;
    }

    /// A step has tasks that find no room.
    pub(super) fn note_no_capacity(&mut self, key: StepKey) {
        let live = self.jobs.get(&key.job);
        let urgent = live.is_some_and(|live| live.queue.priority == 0);
        let shares = &mut self.account_shares;
        shares.full = true;
        shares.full_of_urgent |= urgent;
    }

    /// Works out which accounts are over their shares, before steps are
    /// placed.
    pub(super) fn update_fair_shares(&mut self, now: Millis) {
        if now < self.account_shares.weighed + WEIGH_GAP {
            return;
        }
        self.account_shares.weighed = now;
        self.measure_room(now);
        if !self.is_enabled(Mechanism::CapacityShares)
            || !self.ledger.has_weights()
        {
            return;
        }
        let periods = self.bearable();
        let accounts = self.ledger.account_count();
        self.account_shares.pass(accounts, periods, now);
        let [all, urgent] = self.claims();
        self.account_shares.weigh(&all, Kind::All);
        self.account_shares.weigh(&urgent, Kind::Urgent);
        self.tell_over_shares(&all, now);
    }

    /// Takes down what accounts hold after shares were worked out and steps
    /// were placed.
    pub(super) fn record_holdings(&mut self, now: Millis) {
        let shares = &mut self.account_shares;
        if shares.weighed != now {
            return;
        }
        let holdings = self.ledger.account_usages();
        for (holding, share) in holdings.zip(&mut shares.accounts) {
            for kind in KINDS {
                let held = kind.of(&holding);
                let held = dominant_share(&held, &shares.whole);
                share.standings[kind as usize].held = held;
            }
        }
    }

    /// Adds up the room of all executors, if others are known than before, and
    /// now and then.
    fn measure_room(&mut self, now: Millis) {
        let known = self.by_id.len();
        let shares = &mut self.account_shares;
        if known == shares.known && now < shares.measured + MEASURE_GAP {
            return;
        }
        (shares.known, shares.measured) = (known, now);
        let usable = self.executors.values().filter(|e| e.usable());
        shares.whole = usable.fold(Resources::default(), |sum, executor| {
            sum.plus(&executor.info.capacity)
        });
    }

    /// How long callers can bear to wait, of patient and of urgent queues:
    /// what the strictest adds to the work itself.
    fn bearable(&self) -> [Millis; 2] {
        let strictest = |urgent: bool| {
            let queues = self.queues.values();
            let queues = queues.filter(|q| (q.priority == 0) == urgent);
            queues.map(|queue| queue.target).min().unwrap_or(0)
        };
        [strictest(false), strictest(true)]
    }

    /// What accounts hold and want, of all and of what is urgent, in the
    /// order of the ledger.
    fn claims(&self) -> [Vec<Claim>; 2] {
        let nothing = [Resources::default(); 2];
        let mut waiting = vec![nothing; self.ledger.account_count()];
        for key in &self.ready {
            let Some(live) = self.jobs.get(&key.job) else { continue };
            let Some(account) = live.account else { continue };
            let Some(run) = live.steps.get(&(key.time, key.step)) else {
                continue;
            };
            let need = live.job.steps[key.step as usize].need;
            let need = need.times(run.waiting.len() as u32);
            let [all, urgent] = &mut waiting[account as usize];
            *all = all.plus(&need);
            if live.queue.priority == 0 {
                *urgent = urgent.plus(&need);
            }
        }
        let whole = &self.account_shares.whole;
        [Kind::All, Kind::Urgent].map(|kind| {
            let holdings = self.ledger.account_usages().zip(&waiting);
            let claims = holdings.map(|(holding, waiting)| {
                let waiting = &waiting[usize::from(kind.is_among_urgent())];
                let held = kind.of(&holding);
                let wants = held.plus(waiting).least(&holding.limit);
                let held = dominant_share(&held, whole);
                Claim {
                    weight: holding.weight,
                    held,
                    wants: dominant_share(&wants, whole).max(held),
                }
            });
            claims.collect()
        })
    }

    fn tell_over_shares(&mut self, claims: &[Claim], now: Millis) {
        let mut told = Vec::new();
        let shares = &mut self.account_shares.accounts;
        for (at, share) in shares.iter_mut().enumerate() {
            let standing = share.standings[Kind::All as usize];
            let over = standing.is_over(claims[at].held);
            if over && share.told.is_none_or(|at| now >= at + TELL_GAP) {
                share.told = Some(now);
                told.push(at as AccountIndex);
            }
        }
        for account in told {
            self.count("accounts_over_share");
            let name = self.ledger.name(account).unwrap_or_default();
            self.actions.push(Action::OverShare {
                account: name.to_string(),
                held: claims[account as usize].held,
            });
        }
    }
}
