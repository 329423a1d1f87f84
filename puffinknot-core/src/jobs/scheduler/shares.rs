/*!
Which client accounts hold more than their share of a full cell.

While something waits for room, each account has a part of what is held by
weight, see [`fair`]; what one doesn't want is lent. An account that
holds more than its fair share goes behind those that don't, so that what gets
free returns to them. Nothing is stopped here.

Urgent work counts twice: among all work, and among urgent work alone. An
account's long patient runs so never put its urgent steps behind, and a flood of
urgent steps gives way to those of others before it has taken the whole cell.

An account is over its share only if it holds more than that now, and has held
more in the mean for as long as callers can bear to wait: a short burst is no
flood, and who has had much and holds nothing owes nothing. An account that
holds nothing is never over its share, so that none is starved.

All this is kept by the leader alone. What accounts hold is the ledger's; a
successor knows it when executors have answered, and begins the means at zero.
*/

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::fair::{dominant_share, fair_shares, Claim, RecentMean};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, Action};
use crate::jobs::model::StepKey;
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

/// What counts for a share.
#[derive(Clone, Copy, Debug)]
enum Kind {
    All,
    Urgent,
}

const KINDS: [Kind; 2] = [Kind::All, Kind::Urgent];

/// How much of the cell's room an account holds and should hold.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    mean: RecentMean,
    over: bool,
}

/// What is known of the shares of one account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountShare {
    /// By [`Kind`].
    standings: [Standing; 2],
    told: Option<Millis>,
}

/// The shares of all accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    accounts: Vec<AccountShare>,
    /// The room of all executors together.
    whole: Resources,
    /// How many executors were known then, and when that was.
    known: usize,
    measured: Millis,
    /// When shares were worked out last.
    weighed: Millis,
    /// Whether something waited for room at the last look, by [`Kind`].
    full: [bool; 2],
}

impl Shares {
    /// The room of all executors together, as it was added up last.
    pub fn whole(&self) -> &Resources {
        &self.whole
    }

    fn is_over(&self, account: Option<AccountIndex>, kind: Kind) -> bool {
        let share = account.and_then(|at| self.accounts.get(at as usize));
        share.is_some_and(|share| share.standings[kind as usize].over)
    }

    /// Takes in what accounts hold and want, in the order of the ledger; those
    /// without a weight have no share to be over.
    fn weigh(
        &mut self,
        claims: &[Claim],
        kind: Kind,
        period: Millis,
        now: Millis,
    ) {
        let weighed = |claim: &&Claim| claim.weight > 0.0;
        let competing: Vec<Claim> = match self.full[kind as usize] {
            true => claims.iter().filter(weighed).copied().collect(),
            false => Vec::new(),
        };
        let mut fair = fair_shares(&competing).into_iter();
        self.accounts.resize(claims.len(), AccountShare::default());
        for (claim, share) in claims.iter().zip(&mut self.accounts) {
            let standing = &mut share.standings[kind as usize];
            standing.mean.update(claim.held, period, now);
            let fair = match claim.weight > 0.0 {
                true => fair.next(),
                false => None,
            };
            let least = claim.held.min(standing.mean.get());
            standing.over = fair.is_some_and(|fair| least > fair + ROUNDING);
        }
    }
}

impl Scheduler {
    /// Whether an account holds more than its share of a full cell.
    pub(super) fn over_share(&self, account: Option<AccountIndex>) -> bool {
        self.shares_of_accounts.is_over(account, Kind::All)
    }

    /// Whether an account's urgent work holds more than its share of what
    /// urgent work holds.
    pub(super) fn over_urgent_share(
        &self,
        account: Option<AccountIndex>,
    ) -> bool {
        self.shares_of_accounts.is_over(account, Kind::Urgent)
    }

    /// Steps are about to be looked at: all of them, or the urgent ones.
    pub(super) fn begin_look(&mut self, all: bool) {
        let full = &mut self.shares_of_accounts.full;
        full[Kind::All as usize] &= !all;
        full[Kind::Urgent as usize] = false;
    }

    /// A step has tasks that find no room.
    pub(super) fn note_full(&mut self, key: StepKey) {
        let live = self.jobs.get(&key.job);
        let urgent = live.is_some_and(|live| live.queue.priority == 0);
        let full = &mut self.shares_of_accounts.full;
        full[Kind::All as usize] = true;
        full[Kind::Urgent as usize] |= urgent;
    }

    /// Works out which accounts are over their shares, before steps are
    /// placed.
    pub(super) fn weigh_shares(&mut self, now: Millis) {
        if now < self.shares_of_accounts.weighed + WEIGH_GAP {
            return;
        }
        self.shares_of_accounts.weighed = now;
        self.measure_room(now);
        if !self.has(Mechanism::RoomShares) || !self.ledger.has_weights() {
            return;
        }
        let periods = self.bearable();
        let claims = self.claims();
        for kind in KINDS {
            let at = kind as usize;
            let period = periods[at];
            self.shares_of_accounts.weigh(&claims[at], kind, period, now);
        }
        self.tell_over_shares(&claims[Kind::All as usize], now);
    }

    /// Adds up the room of all executors, if others are known than before, and
    /// now and then.
    fn measure_room(&mut self, now: Millis) {
        let known = self.by_id.len();
        let shares = &mut self.shares_of_accounts;
        if known == shares.known && now < shares.measured + MEASURE_GAP {
            return;
        }
        (shares.known, shares.measured) = (known, now);
        let usable = self.executors.values().filter(|e| e.usable());
        shares.whole = usable.fold(Resources::default(), |sum, executor| {
            sum.plus(&executor.info.capacity)
        });
    }

    /// How long callers can bear to wait, by [`Kind`]: what the strictest
    /// queue adds to the work itself.
    fn bearable(&self) -> [Millis; 2] {
        let strictest = |urgent: bool| {
            let queues = self.queues.values();
            let queues = queues.filter(|q| (q.priority == 0) == urgent);
            queues.map(|queue| queue.target).min().unwrap_or(0)
        };
        [strictest(false), strictest(true)]
    }

    /// What accounts hold and want, by [`Kind`], in the order of the ledger.
    fn claims(&self) -> [Vec<Claim>; 2] {
        let nothing = [Resources::default(); 2];
        let mut waiting = vec![nothing; self.ledger.accounts()];
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
        let whole = &self.shares_of_accounts.whole;
        KINDS.map(|kind| {
            let holdings = self.ledger.holdings().zip(&waiting);
            let claims = holdings.map(|(holding, waiting)| {
                let waiting = &waiting[kind as usize];
                let held = match kind {
                    Kind::All => holding.held,
                    Kind::Urgent => holding.urgent,
                };
                let wants = held.plus(waiting).least(&holding.most);
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
        let shares = &mut self.shares_of_accounts.accounts;
        for (at, share) in shares.iter_mut().enumerate() {
            let over = share.standings[Kind::All as usize].over;
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
