/*!
Fair shares of client accounts in a full cell.

While any step waits for capacity, the capacity in use is divided among the
accounts by weight, and what an account doesn't need is lent to the others (see
[`fair_share`](crate::jobs::fair_share)). An account that uses more than its
fair share ranks behind the accounts that don't, so that capacity that becomes
free goes to them. Nothing is stopped for a share.

Urgent work is also measured by itself, in two ways. Measured against the
urgent work of other accounts, a surge of urgent steps ranks behind theirs
before it has taken the whole cell. Measured against the account's share of all
work, such a surge ranks behind non-urgent work where no other account has
urgent work. The long non-urgent runs of an account never make its urgent steps
rank lower.

An account is over its share only if its current usage exceeds the share, and
its mean usage over the time that callers can wait does too. A short burst
therefore has no effect, and past usage doesn't count against an account that
uses little now. An account that uses nothing is never over its share, so none
is starved.

Usage changes while steps are placed, and counts at once: when many runs of an
account end together, the account gets back its share of that capacity, not all
of it. A share is therefore a share of the capacity that was in use when a step
last found none free, and the mean is taken over the usage after each placement
round.

Only the leader keeps this state. Usage comes from the ledger, which is
complete after a takeover once the executors have answered; the means of a
successor start at zero.
*/

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::fair_share::{
    divide_fairly, dominant_share, Claim, DecayingMean,
};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, Action};
use crate::jobs::model::StepKey;
use crate::jobs::scheduler::ledger::AccountUsage;
use crate::jobs::scheduler::Scheduler;

/// The least time between two updates of the shares. Runs that take less don't
/// matter to any account's share.
const MIN_UPDATE_INTERVAL: Millis = 20;
/// The time between two sums of the capacity of all usable executors, while
/// the number of executors stays the same.
const CAPACITY_REFRESH_INTERVAL: Millis = 1_000;
/// The least time between two reports that an account is over its share.
const MIN_REPORT_INTERVAL: Millis = 1_000;

/// Shares that differ by less are considered equal.
const SHARE_EPSILON: f64 = 1e-9;

/// Which usage of an account is compared with which share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShareKind {
    /// All work, with the share of all work.
    All,
    /// Urgent work, with the share of urgent work.
    Urgent,
    /// Urgent work, with the share of all work.
    UrgentOfAll,
}

const SHARE_KINDS: [ShareKind; 3] =
    [ShareKind::All, ShareKind::Urgent, ShareKind::UrgentOfAll];

impl ShareKind {
    /// Whether the share is one of urgent work.
    fn is_share_of_urgent(self) -> bool {
        self == ShareKind::Urgent
    }

    /// The usage that counts.
    fn usage_of(self, usage: &AccountUsage) -> Resources {
        match self {
            ShareKind::All => usage.used,
            ShareKind::Urgent | ShareKind::UrgentOfAll => usage.urgent,
        }
    }
}

/// The usage of an account and its fair share, as dominant shares of the
/// cell's capacity.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    /// The usage after the last placement round.
    used: f64,
    /// The recent mean of the usage.
    mean: DecayingMean,
    /// The fair share; `None` while there is capacity for all.
    fair: Option<f64>,
}

impl Standing {
    /// Whether the account is over its share if its current usage is `used`.
    fn is_over(&self, used: f64) -> bool {
        let least = used.min(self.mean.get());
        self.fair.is_some_and(|fair| least > fair + SHARE_EPSILON)
    }
}

/// The shares of one account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountShare {
    /// One for each [`ShareKind`].
    standings: [Standing; 3],
    /// When it was last reported that the account is over its share.
    reported_at: Option<Millis>,
}

/// The shares of all accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct FairShares {
    accounts: Vec<AccountShare>,
    /// The sum of the capacities of all usable executors.
    total_capacity: Resources,
    /// The number of executors when that was computed.
    executor_count: usize,
    /// When that was computed.
    capacity_computed_at: Millis,
    /// When the shares were last updated.
    updated_at: Millis,
    /// Whether a step found no capacity in the last placement pass.
    full: bool,
    /// Whether an urgent step did.
    full_for_urgent: bool,
}

impl FairShares {
    /// The sum of the capacities of all usable executors, as of the last
    /// refresh.
    pub fn total_capacity(&self) -> &Resources {
        &self.total_capacity
    }

    fn is_over(&self, at: AccountIndex, kind: ShareKind, used: f64) -> bool {
        let share = self.accounts.get(at as usize);
        share.is_some_and(|s| s.standings[kind as usize].is_over(used))
    }

    /// Updates the fair shares by what accounts use and need of the same
    /// capacity. `claims` are in the order of the ledger. Accounts without a
    /// weight have no share that they could be over.
    fn update(&mut self, claims: &[Claim], kind: ShareKind) {
        let has_weight = |claim: &Claim| claim.weight > 0.0;
        let full = match kind.is_share_of_urgent() {
            true => self.full_for_urgent,
            false => self.full,
        };
        let competing = claims.iter().copied().filter(has_weight);
        let competing: Vec<Claim> = competing.collect();
        let now: f64 = competing.iter().map(|claim| claim.usage).sum();
        let pairs = claims.iter().zip(&self.accounts);
        let pairs = pairs.filter(|(claim, _)| has_weight(claim));
        let before = pairs.map(|(_, s)| s.standings[kind as usize].used);
        let capacity = now.max(before.sum());
        let mut fair = divide_fairly(capacity, &competing).into_iter();
        for (claim, share) in claims.iter().zip(&mut self.accounts) {
            let fair = if has_weight(claim) { fair.next() } else { None };
            let fair = fair.filter(|_| full);
            share.standings[kind as usize].fair = fair;
            if kind == ShareKind::All {
                share.standings[ShareKind::UrgentOfAll as usize].fair = fair;
            }
        }
    }

    /// Updates the means by the usage since the last update. `periods` are
    /// those of non-urgent and of urgent work, in milliseconds.
    fn update_means(
        &mut self,
        accounts: usize,
        periods: [Millis; 2],
        now: Millis,
    ) {
        self.accounts.resize(accounts, AccountShare::default());
        for share in &mut self.accounts {
            for kind in SHARE_KINDS {
                let period = periods[usize::from(kind.is_share_of_urgent())];
                let standing = &mut share.standings[kind as usize];
                standing.mean.update(standing.used, period, now);
            }
        }
    }
}

impl Scheduler {
    /// Whether an account is over its share of a full cell.
    pub(super) fn over_share(&self, account: Option<AccountIndex>) -> bool {
        self.is_over(account, ShareKind::All)
    }

    /// Whether an account's urgent work is over the account's share of urgent
    /// work in a full cell.
    pub(super) fn over_urgent_share(
        &self,
        account: Option<AccountIndex>,
    ) -> bool {
        self.is_over(account, ShareKind::Urgent)
    }

    /// Whether an account's urgent work alone is over the account's share of a
    /// full cell.
    pub(super) fn urgent_over_total_share(
        &self,
        account: Option<AccountIndex>,
    ) -> bool {
        self.is_over(account, ShareKind::UrgentOfAll)
    }

    fn is_over(&self, account: Option<AccountIndex>, kind: ShareKind) -> bool {
        let Some(at) = account else { return false };
        let Some(usage) = self.ledger.account_usage(at) else {
            return false;
        };
        let shares = &self.account_shares;
        let used =
            dominant_share(&kind.usage_of(&usage), &shares.total_capacity);
        shares.is_over(at, kind, used)
    }

    /// Begins a placement pass over all steps, or over the urgent ones only.
    pub(super) fn begin_placement_pass(&mut self, all: bool) {
        let shares = &mut self.account_shares;
        shares.full &= !all;
        shares.full_for_urgent = false;
    }

    /// Records that tasks of a step find no capacity.
    pub(super) fn note_no_capacity(&mut self, key: StepKey) {
        let live = self.jobs.get(&key.job);
        let urgent = live.is_some_and(|live| live.queue.priority == 0);
        let shares = &mut self.account_shares;
        shares.full = true;
        shares.full_for_urgent |= urgent;
    }

    /// Updates the capacity and the shares of all accounts, before steps are
    /// placed.
    pub(super) fn update_fair_shares(&mut self, now: Millis) {
        if now < self.account_shares.updated_at + MIN_UPDATE_INTERVAL {
            return;
        }
        self.account_shares.updated_at = now;
        self.refresh_capacity(now);
        if !self.is_enabled(Mechanism::CapacityShares)
            || !self.ledger.has_weights()
        {
            return;
        }
        let periods = self.averaging_periods();
        let accounts = self.ledger.account_count();
        self.account_shares.update_means(accounts, periods, now);
        let [all, urgent] = self.claims();
        self.account_shares.update(&all, ShareKind::All);
        self.account_shares.update(&urgent, ShareKind::Urgent);
        self.report_over_share(&all, now);
    }

    /// Records the usage of all accounts after steps were placed, if the
    /// shares were updated in the same round.
    pub(super) fn record_usage(&mut self, now: Millis) {
        let shares = &mut self.account_shares;
        if shares.updated_at != now {
            return;
        }
        let usages = self.ledger.account_usages();
        for (usage, share) in usages.zip(&mut shares.accounts) {
            for kind in SHARE_KINDS {
                let used = kind.usage_of(&usage);
                let used = dominant_share(&used, &shares.total_capacity);
                share.standings[kind as usize].used = used;
            }
        }
    }

    /// Sums up the capacity of all usable executors, if the number of
    /// executors has changed or the last sum is too old.
    fn refresh_capacity(&mut self, now: Millis) {
        let count = self.by_id.len();
        let shares = &mut self.account_shares;
        if count == shares.executor_count
            && now < shares.capacity_computed_at + CAPACITY_REFRESH_INTERVAL
        {
            return;
        }
        (shares.executor_count, shares.capacity_computed_at) = (count, now);
        let usable = self.executors.values().filter(|e| e.usable());
        shares.total_capacity = usable
            .fold(Resources::default(), |sum, executor| {
                sum.plus(&executor.info.capacity)
            });
    }

    /// How long callers can wait, in milliseconds, for non-urgent and for
    /// urgent queues: the smallest target of such a queue, which is the time
    /// that the objective allows in addition to the work.
    fn averaging_periods(&self) -> [Millis; 2] {
        let least_target = |urgent: bool| {
            let queues = self.queues.iter();
            let queues = queues.filter(|q| (q.priority == 0) == urgent);
            queues.map(|queue| queue.target).min().unwrap_or(0)
        };
        [least_target(false), least_target(true)]
    }

    /// What accounts use and need, of all work and of urgent work, each in the
    /// order of the ledger.
    fn claims(&self) -> [Vec<Claim>; 2] {
        let nothing = [Resources::default(); 2];
        let mut waiting = vec![nothing; self.ledger.account_count()];
        for key in &self.ready {
            let Some(live) = self.jobs.get(&key.job) else { continue };
            let Some(account) = live.account else { continue };
            let Some(state) = live.steps.get(&(key.time, key.step)) else {
                continue;
            };
            let need = live.job.steps[key.step as usize].need;
            let need = need.times(state.waiting.len() as u32);
            let [all, urgent] = &mut waiting[account as usize];
            *all = all.plus(&need);
            if live.queue.priority == 0 {
                *urgent = urgent.plus(&need);
            }
        }
        let whole = &self.account_shares.total_capacity;
        [ShareKind::All, ShareKind::Urgent].map(|kind| {
            let usages = self.ledger.account_usages().zip(&waiting);
            let claims = usages.map(|(usage, waiting)| {
                let waiting = &waiting[usize::from(kind.is_share_of_urgent())];
                let used = kind.usage_of(&usage);
                let wants = used.plus(waiting).component_min(&usage.limit);
                let held = dominant_share(&used, whole);
                Claim {
                    weight: usage.weight,
                    usage: held,
                    demand: dominant_share(&wants, whole).max(held),
                }
            });
            claims.collect()
        })
    }

    /// Reports the accounts that are over their shares.
    fn report_over_share(&mut self, claims: &[Claim], now: Millis) {
        let mut reported = Vec::new();
        let shares = &mut self.account_shares.accounts;
        for (at, share) in shares.iter_mut().enumerate() {
            let standing = share.standings[ShareKind::All as usize];
            let over = standing.is_over(claims[at].usage);
            if over
                && share
                    .reported_at
                    .is_none_or(|at| now >= at + MIN_REPORT_INTERVAL)
            {
                share.reported_at = Some(now);
                reported.push(at as AccountIndex);
            }
        }
        for account in reported {
            self.count("accounts_over_share");
            let name = self.ledger.name(account).unwrap_or_default();
            self.actions.push(Action::OverShare {
                account: name.to_string(),
                held: claims[account as usize].usage,
            });
        }
    }
}
