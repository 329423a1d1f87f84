/*!
The state of the node that leads the cell.

What is done with it has modules of its own: `authorization` knows who may call,
`requests` answers clients, `ledger` counts what client accounts have running,
`renewals` takes in what executors report, `runs` follows single runs to their
ends, `membership` knows when an executor's life is over, `incarnations` which life
follows it under its name, `in_flight` which orders that one may carry out,
`machine_list` what the list of machines tells of lives, `ranking` says what
comes first, `run_time_estimate` how long runs take, `fit` where a task fits, `placement`
chooses what starts where, `gangs` does so for gangs, `urgent_headroom` keeps room free
for urgent tasks, `preemption` has others give way to them and to gangs, `account_shares`
knows which accounts hold more than their share, `token_buckets` what comes beyond an
account's due, `speeds` learns how long runs take,
`failure_domains` finds data centres that are out of reach, `cordons` knows those that
take no new work, `admission` refuses what can't be done in time,
`silence_alarm` connections that have fallen silent, `event_lag` how late the leader's
news are, `breakers` executors that fail what they run, `crash_suspects` tasks that
crash the executors that start them, `renewal_queue`
knows which executors to look at, `advice` spreads the calls for advice over
all nodes, which `advisors` knows, `commit` groups what has to be written,
`store_outage` refuses what would wait in vain for the store,
`departures` moves what runs on executors that are about to go,
`placement_stats` counts what placing looks through, `placement_rounds` bounds its part of the
time,
`records` knows what of it still matters, `throttle` slows tasks that fill beside
tasks that serve, `maintenance` takes machines down for their upkeep, and `restore`
takes over from a predecessor.
*/

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::ids::Millis;
use crate::jobs::accounts::KeyRing;
use crate::jobs::cordon::Cordons;
use crate::jobs::crash_rate::CrashRate;
use crate::jobs::executor::Executor;
use crate::jobs::executors::Executors;
use crate::jobs::mechanism::{Mechanism, Mechanisms};
use crate::jobs::message::{
    Action, CallId, Event, ExecutorIndex, Outcome, RequestId,
};
use crate::jobs::model::{JobId, JobState, StepKey};
use crate::jobs::policy::{Policy, Queue};
use crate::jobs::record::EndedJob;

mod account_shares;
mod admission;
mod advice;
mod advisors;
mod authorization;
mod breakers;
mod commit;
mod cordons;
mod crash_suspects;
mod departures;
mod event_lag;
mod failure_domains;
mod fit;
mod gangs;
mod in_flight;
mod incarnations;
mod ledger;
mod live_job;
mod machine_list;
mod maintenance;
mod membership;
mod placement;
mod placement_rounds;
mod placement_stats;
mod preemption;
mod ranking;
mod records;
mod renewal_queue;
mod renewals;
mod requests;
mod restore;
mod retry_schedule;
mod run_time_estimate;
mod runs;
mod silence_alarm;
mod speeds;
mod store_outage;
mod throttle;
mod token_buckets;
mod urgent_headroom;

use self::account_shares::FairShares;
use self::admission::Admission;
use self::advice::AdviceCall;
use self::advisors::Advisors;
use self::commit::CommitQueue;
use self::departures::Departures;
use self::event_lag::EventLag;
use self::failure_domains::FailureDomains;
use self::in_flight::InFlightStart;
use self::ledger::Ledger;
pub use self::ledger::Usage;
use self::live_job::LiveJob;
use self::maintenance::Machines;
use self::placement_rounds::PlacementRounds;
pub use self::placement_stats::PlacementStats;
use self::ranking::LateBoosts;
use self::renewal_queue::RenewalQueue;
use self::silence_alarm::SilenceAlarm;
use self::speeds::EstimateErrors;
use self::store_outage::StoreOutages;
use self::token_buckets::TokenBuckets;
use self::urgent_headroom::UrgentHeadroom;

/// What a scheduler is told once.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The fencing token of its tenure.
    pub token: u64,
    /// The longest lease on an executor, in milliseconds.
    pub lease: Millis,
    /// How long ended jobs stay known, in milliseconds.
    pub ended_retention: Millis,
    /// For how long a predecessor's orders may be in force on executors
    /// that don't answer, in milliseconds.
    pub inherited_order_lifetime: Millis,
    /// Executors may be asked for advice in calls of at most this many.
    pub max_advice_batch: usize,
    /// The least time between two writes to the store, in milliseconds.
    pub min_commit_interval: Millis,
    /// The mechanisms that are switched off.
    pub mechanisms: Mechanisms,
}

/// How a job has ended.
#[derive(Clone, Debug)]
struct EndedAs {
    state: JobState,
    /// The client account that it belonged to.
    account: Option<String>,
}

/// The jobs that have ended, as long as they have to be known.
#[derive(Clone, Debug, Default)]
struct Ended {
    jobs: BTreeMap<JobId, EndedAs>,
    /// When each of them may be forgotten, in order.
    until: VecDeque<(Millis, JobId)>,
}

impl Ended {
    fn insert(&mut self, ended: EndedJob, until: Millis) {
        let EndedJob { job, state, account } = ended;
        self.jobs.insert(job, EndedAs { state, account });
        self.until.push_back((until, job));
    }

    fn forget(&mut self, now: Millis) {
        while let Some(&(until, job)) = self.until.front() {
            if until > now {
                return;
            }
            self.until.pop_front();
            self.jobs.remove(&job);
        }
    }
}

/// The state of the leader. See the module's documentation.
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    policy: Arc<Policy>,
    queues: BTreeMap<String, Arc<Queue>>,
    keys: KeyRing,
    ledger: Ledger,
    account_shares: FairShares,
    estimate_errors: EstimateErrors,
    urgent_headroom: UrgentHeadroom,
    admission: Admission,
    token_buckets: TokenBuckets,
    late_boosts: LateBoosts,
    jobs: BTreeMap<JobId, LiveJob>,
    ended: Ended,
    executors: Executors,
    /// The newest life of each name.
    by_id: BTreeMap<String, ExecutorIndex>,
    /// Orders that a life which is not known yet may carry out.
    in_flight: Vec<InFlightStart>,
    /// Executors not heard yet on which something that a predecessor ordered
    /// may run unseen.
    unheard_executors: BTreeSet<ExecutorIndex>,
    /// Whether the entries of executors were read in this tenure.
    entries_read: bool,
    /// Executors that may be due for a hold.
    renewal_queue: RenewalQueue,
    /// Steps with tasks that may be started.
    ready: BTreeSet<StepKey>,
    /// Whether something has changed that may let a task start.
    needs_placement: bool,
    /// When steps that are not urgent were looked at last.
    last_full_round: Millis,
    placement_rounds: PlacementRounds,
    /// Steps that have room kept, and on which executors.
    reservations: BTreeMap<StepKey, Vec<ExecutorIndex>>,
    next_run: u64,
    arrivals: u64,
    advisors: Advisors,
    advice_calls: BTreeMap<CallId, AdviceCall>,
    next_advice_call: CallId,
    /// The share of executors that may run the steps of a queue.
    approval_rates: BTreeMap<String, f64>,
    commits: CommitQueue,
    store_outages: StoreOutages,
    departures: Departures,
    machines: Machines,
    failure_domains: FailureDomains,
    cordons: Cordons,
    crash_rate: CrashRate,
    silence_alarm: SilenceAlarm,
    event_lag: EventLag,
    /// Until when what a predecessor ordered may be unknown, if it may.
    takeover_deadline: Option<Millis>,
    /// When the store was last asked and confirmed that nobody else leads.
    leadership_confirmed_at: Millis,
    /// Wall time less monotonic time, in milliseconds.
    wall_offset: i64,
    placement_stats: PlacementStats,
    counters: BTreeMap<&'static str, u64>,
    actions: Vec<Action>,
}

/// Run numbers of one tenure begin at its token times this.
const RUNS_PER_TOKEN: u64 = 1_000_000;

impl Scheduler {
    /// A scheduler for a cell that nobody has led before. For a successor,
    /// see [`Scheduler::restore`].
    pub fn new(config: SchedulerConfig, policy: Arc<Policy>) -> Scheduler {
        let mut scheduler = Scheduler {
            next_run: config.token * RUNS_PER_TOKEN,
            commits: CommitQueue::new(config.token),
            store_outages: StoreOutages::default(),
            departures: Departures::default(),
            machines: Machines::default(),
            failure_domains: FailureDomains::default(),
            cordons: Cordons::default(),
            crash_rate: CrashRate::default(),
            silence_alarm: SilenceAlarm::default(),
            event_lag: EventLag::default(),
            config,
            policy: Arc::default(),
            queues: BTreeMap::new(),
            keys: KeyRing::default(),
            ledger: Ledger::default(),
            account_shares: FairShares::default(),
            estimate_errors: EstimateErrors::default(),
            urgent_headroom: UrgentHeadroom::default(),
            admission: Admission::default(),
            token_buckets: TokenBuckets::default(),
            late_boosts: LateBoosts::default(),
            jobs: BTreeMap::new(),
            ended: Ended::default(),
            executors: Executors::default(),
            unheard_executors: BTreeSet::new(),
            entries_read: false,
            renewal_queue: RenewalQueue::default(),
            by_id: BTreeMap::new(),
            in_flight: Vec::new(),
            ready: BTreeSet::new(),
            needs_placement: false,
            last_full_round: 0,
            placement_rounds: PlacementRounds::default(),
            reservations: BTreeMap::new(),
            arrivals: 0,
            advisors: Advisors::default(),
            advice_calls: BTreeMap::new(),
            next_advice_call: 0,
            approval_rates: BTreeMap::new(),
            takeover_deadline: None,
            leadership_confirmed_at: 0,
            wall_offset: 0,
            placement_stats: PlacementStats::default(),
            counters: BTreeMap::new(),
            actions: Vec::new(),
        };
        scheduler.set_policy(policy);
        scheduler
    }

    /// Puts a version of the operators' policy in force. An older one than
    /// the present is passed over.
    pub fn set_policy(&mut self, policy: Arc<Policy>) {
        if policy.version < self.policy.version {
            return;
        }
        let queues = policy.queues.iter();
        self.queues = queues
            .map(|(name, queue)| (name.clone(), Arc::new(queue.clone())))
            .collect();
        for live in self.jobs.values_mut() {
            if let Some(queue) = self.queues.get(&live.job.queue) {
                live.queue = queue.clone();
                // It may be of another service.
                for run in live.steps.values_mut() {
                    run.advice.all_asked = None;
                }
            }
        }
        self.keys = KeyRing::new(&policy);
        self.ledger.set_accounts(&policy);
        self.policy = policy;
        self.needs_placement = true;
    }

    /// Sets when the store was last asked and confirmed that nobody else
    /// leads. Only leases that ran out before, and lives that were over
    /// before, are given up: a successor may have renewed them since, or
    /// heard what has ended there.
    pub fn confirm_leadership(&mut self, at: Millis) {
        self.leadership_confirmed_at = self.leadership_confirmed_at.max(at);
    }

    /// Sets wall time less monotonic time, in milliseconds.
    pub fn set_wall_offset(&mut self, offset: i64) {
        self.wall_offset = offset;
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        self.handle_received(event, now, now)
    }

    fn apply_event(&mut self, event: Event, now: Millis) {
        match event {
            Event::Request { id, caller, request } => {
                self.request(id, &caller, request, now);
            }
            Event::Listed(info) => {
                let id = info.id.clone();
                self.executor_listed(info, now);
                self.record_departure(&id, now);
            }
            Event::Unlisted(id) => self.executor_unlisted(&id, now),
            Event::EntryUnreadable(id) => self.entry_unreadable(&id),
            Event::EntriesRead => self.entries_read = true,
            Event::RenewalAnswered { executor, sent_at, answer } => {
                self.renewal_answered(executor, sent_at, answer, now);
            }
            Event::StartAnswered { executor, task, run, answer } => {
                self.start_answered(executor, task, run, answer, now);
            }
            Event::StopAnswered { executor, task, run, answer } => {
                self.stop_answered(executor, task, run, answer, now);
            }
            Event::Advised { call, answer } => {
                self.advice_received(call, answer, now)
            }
            Event::Advisors(names) => self.set_advisors(names),
            Event::ThrottleAnswered { executor, answer } => {
                self.throttle_answered(executor, answer, now);
            }
            Event::Wave(info) => self.update_wave(info, now),
            Event::Machines(machines) => self.machines_listed(machines, now),
            Event::MaintenanceAnswered { wave, machine, answer } => {
                self.maintenance_answered(wave, &machine, answer, now);
            }
            Event::Committed => self.committed(now),
            Event::CommitDeclined(changes) => {
                self.commit_declined(changes, now);
            }
            Event::Tick => self.tick(now),
        }
    }

    /// Does what has become possible since the last time. To be called
    /// after a group of events.
    pub fn advance(&mut self, now: Millis) -> Vec<Action> {
        if std::mem::take(&mut self.needs_placement) {
            self.place(now);
        }
        self.dispatch_advice(now);
        self.send_renewals(now);
        self.send_commit(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Scheduler::advance`] has something to do at the latest, if
    /// nothing happens before.
    pub fn next_advance(&self) -> Option<Millis> {
        let commit = self.commits.due(self.config.min_commit_interval);
        let holds = self.renewal_queue.has_ready().then_some(0);
        [commit, holds, self.placement_rounds.next_start()]
            .into_iter()
            .flatten()
            .min()
    }

    fn tick(&mut self, now: Millis) {
        self.count_live_executors(now);
        self.ended.forget(now);
        self.forget_refusals(now);
        self.give_up_incarnations(now);
        self.expire_leases(now);
        self.expire_in_flight_starts(now);
        self.expire_advice(now);
        self.resend_stops(now);
        self.release_due(now);
        self.check_takeover(now);
        self.refuse_waiting(now);
        self.stop_runs_on_departing(now);
        self.advance_waves(now);
        self.refresh_speeds(now);
        self.needs_placement = true;
    }

    /// The number of events of each kind so far.
    pub fn counters(&self) -> &BTreeMap<&'static str, u64> {
        &self.counters
    }

    /// The number of jobs that have not ended.
    pub fn live_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The name and the address of an executor, if it is known.
    pub fn executor(&self, index: ExecutorIndex) -> Option<&Executor> {
        self.executors.get(&index)
    }

    /// The number of executors.
    pub fn executor_count(&self) -> usize {
        self.by_id.len()
    }

    /// The number of executors in each data centre.
    pub fn executors_by_dc(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for executor in self.executors.values() {
            *counts.entry(executor.info.dc.clone()).or_default() += 1;
        }
        counts
    }

    /// Whether a mechanism is on.
    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.config.mechanisms.enabled(mechanism)
    }

    fn count(&mut self, name: &'static str) {
        *self.counters.entry(name).or_default() += 1;
    }

    fn reply(&mut self, id: RequestId, outcome: Outcome) {
        self.actions.push(Action::Reply { id, outcome });
    }
}
