/*!
The scheduler: the state and the decisions of the node that leads the cell.

A [`Scheduler`] performs no I/O and reads no clock. Its driver passes it events
and the current time, and carries out the actions that it returns.

Clients are served by these modules:

- `authorization` decides who may call a queue
- `queues` finds the queue that a job belongs to when the policy changes
- `requests` answers requests
- `admission` refuses jobs that can't be done while they are useful, by the
  work that waits (`service_backlog`) and that is to come (`demand`)
- `retry_schedule` tells refused clients when to retry
- `task_room` limits how many tasks wait or are done, and `run_room` how many
  run
- `early_cancels` remembers cancellations of jobs that have not arrived
- `ledger` counts what client accounts have running
- `account_shares` finds accounts that hold more than their fair share
- `token_buckets` finds jobs beyond what is due to their account
- `live_job` holds the jobs that have not ended, and `placements` their runs

Tasks are placed by these modules:

- `ranking` orders the steps
- `run_time_estimate` estimates how long runs take, and `speeds` learns it
- `fit` finds where a task fits
- `placement` decides which task starts where, and `gangs` does so for gangs
- `urgent_headroom` keeps capacity free for urgent tasks
- `preemption` preempts tasks for these and for gangs
- `throttle` slows tasks that fill free capacity beside serving tasks
- `advice` spreads calls for advice over all nodes, which `advisors` tracks
- `placement_stats` counts what placement examines, and `placement_rounds`
  bounds the time that it takes

Executors are managed by these modules:

- `renewals` renews leases and handles reports, and `renewal_queue` knows which
  executors are due
- `runs` follows single runs until they end
- `membership` decides when an incarnation of an executor is over
- `incarnations` finds which incarnation follows it under its name
- `in_flight` tracks the starts that the following incarnation may carry out
- `machine_list` derives the end of incarnations from the machine list
- `departures` moves runs away from executors that are departing
- `cordons` knows the data centres that accept no new work
- `maintenance` takes machines down for maintenance

Failures are detected by these modules:

- `silence_alarm` finds connections that have fallen silent
- `event_lag` measures how late the leader handles events
- `failure_domains` finds unreachable data centres
- `breakers` finds executors that fail what they run
- `crash_suspects` finds tasks that crash the executors that start them

State is stored by these modules:

- `commit` batches writes, `progress_round` divides what is too large for one,
  and `records` knows which records are still needed
- `store_outage` refuses jobs that would wait in vain for the store
- `restore` takes over from a former leader
*/

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::ids::Millis;
use crate::jobs::accounts::KeyRing;
use crate::jobs::cordon::Cordons;
use crate::jobs::crash_rate::CrashRate;
use crate::jobs::executor::Executor;
use crate::jobs::executor_index::Executors;
use crate::jobs::mechanism::{Mechanism, Mechanisms};
use crate::jobs::message::{
    Action, CallId, Event, ExecutorIndex, Outcome, RequestId,
};
use crate::jobs::model::{JobId, JobState, StepKey};
use crate::jobs::policy::Policy;
use crate::jobs::record::EndedJob;

mod account_shares;
mod admission;
mod advice;
mod advice_load;
mod advisors;
mod authorization;
mod breakers;
mod commit;
mod cordons;
mod crash_suspects;
mod demand;
mod departures;
mod early_cancels;
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
mod placements;
mod preemption;
mod progress_round;
mod queues;
mod ranking;
mod records;
mod renewal_queue;
mod renewals;
mod repetitions;
mod requests;
mod restore;
mod retry_schedule;
mod round_budget;
mod run_room;
mod run_time_estimate;
mod runs;
mod service_backlog;
mod silence_alarm;
mod speeds;
mod store_outage;
mod task_room;
mod throttle;
mod token_buckets;
mod urgent_headroom;

use self::account_shares::FairShares;
use self::admission::Admission;
use self::advice::AdviceCall;
use self::advice_load::AdviceLoad;
use self::advisors::Advisors;
use self::commit::CommitQueue;
use self::departures::Departures;
use self::early_cancels::EarlyCancels;
use self::event_lag::EventLag;
use self::failure_domains::FailureDomains;
use self::in_flight::InFlightStart;
use self::ledger::Ledger;
pub use self::ledger::Usage;
use self::live_job::LiveJob;
use self::maintenance::Machines;
use self::placement_rounds::PlacementRounds;
pub use self::placement_stats::PlacementStats;
use self::queues::Queues;
use self::ranking::LateBoosts;
use self::renewal_queue::RenewalQueue;
use self::round_budget::ExaminedSteps;
use self::run_room::RunRoom;
use self::silence_alarm::SilenceAlarm;
use self::speeds::EstimateErrors;
use self::store_outage::StoreOutages;
use self::task_room::TaskRoom;
use self::token_buckets::TokenBuckets;
use self::urgent_headroom::UrgentHeadroom;

/// The configuration of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The fencing token of its term.
    pub token: u64,
    /// The longest lease on an executor, in milliseconds.
    pub lease: Millis,
    /// How long ended jobs stay known, in milliseconds.
    pub ended_retention: Millis,
    /// How long a former leader's orders may stay in force on executors that
    /// don't answer, in milliseconds.
    pub inherited_order_lifetime: Millis,
    /// The maximum number of executors that one call for advice asks about.
    pub max_advice_batch: usize,
    /// The minimum time between two writes to the store, in milliseconds.
    pub min_commit_interval: Millis,
    /// The bytes that the texts of live jobs may take beyond an allowance of
    /// each job.
    pub large_text_bytes: usize,
    /// The maximum number of tasks of live jobs that wait to be started or are
    /// done.
    pub max_waiting_tasks: usize,
    /// The maximum number of runs in progress.
    pub max_runs: usize,
    /// Which mechanisms are enabled.
    pub mechanisms: Mechanisms,
}

/// How a job has ended.
#[derive(Clone, Debug)]
struct EndedState {
    state: JobState,
    /// The client account that the job belonged to.
    account: Option<String>,
}

/// The jobs that have ended, as long as they have to be known.
#[derive(Clone, Debug, Default)]
struct EndedJobs {
    jobs: BTreeMap<JobId, EndedState>,
    /// When each job may be forgotten, in order.
    forget_at: VecDeque<(Millis, JobId)>,
}

impl EndedJobs {
    fn insert(&mut self, ended: EndedJob, until: Millis) {
        let EndedJob { job, state, account } = ended;
        self.jobs.insert(job, EndedState { state, account });
        self.forget_at.push_back((until, job));
    }

    fn forget(&mut self, now: Millis) {
        while let Some(&(until, job)) = self.forget_at.front() {
            if until > now {
                return;
            }
            self.forget_at.pop_front();
            self.jobs.remove(&job);
        }
    }
}

/// The state of the leader. See the [module documentation](self).
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    policy: Arc<Policy>,
    queues: Queues,
    keys: KeyRing,
    ledger: Ledger,
    account_shares: FairShares,
    estimate_errors: EstimateErrors,
    urgent_headroom: UrgentHeadroom,
    admission: Admission,
    token_buckets: TokenBuckets,
    late_boosts: LateBoosts,
    jobs: BTreeMap<JobId, LiveJob>,
    ended: EndedJobs,
    early_cancels: EarlyCancels,
    task_room: TaskRoom,
    /// The number of jobs with repetitions that are not released.
    repeating_jobs: usize,
    executors: Executors,
    /// The newest incarnation of each executor, by the executor's ID.
    by_id: BTreeMap<String, ExecutorIndex>,
    /// Starts that an incarnation may carry out which is not known yet.
    in_flight_starts: Vec<InFlightStart>,
    /// Executors not heard yet on which orders of a former leader may be in
    /// force.
    unheard_executors: BTreeSet<ExecutorIndex>,
    /// Whether the entries of all executors were read in this term.
    entries_read: bool,
    /// Executors whose lease renewal may be due.
    renewal_queue: RenewalQueue,
    /// Steps with tasks that may be started.
    ready: BTreeSet<StepKey>,
    /// Whether anything has changed that may let a task start.
    needs_placement: bool,
    /// When steps that are not urgent were examined last.
    last_full_round: Millis,
    placement_rounds: PlacementRounds,
    examined_steps: ExaminedSteps,
    /// The room for runs in the current placement round.
    run_room: RunRoom,
    /// Steps for which capacity is reserved, and the executors where it is.
    reservations: BTreeMap<StepKey, Vec<ExecutorIndex>>,
    next_run: u64,
    arrivals: u64,
    advisors: Advisors,
    advice_calls: BTreeMap<CallId, AdviceCall>,
    advice_load: AdviceLoad,
    next_advice_call: CallId,
    /// The smoothed fraction of executors that may run the steps of a queue.
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
    /// If the takeover is not complete: until when orders of a former leader
    /// may be in force on executors that don't answer.
    takeover_deadline: Option<Millis>,
    /// When the request was made by which the store last confirmed that no
    /// other node leads.
    leadership_confirmed_at: Millis,
    /// Wall time minus monotonic time, in milliseconds.
    wall_offset: i64,
    placement_stats: PlacementStats,
    counters: BTreeMap<&'static str, u64>,
    actions: Vec<Action>,
}

/// The run numbers of a term start at its token times this number.
const RUNS_PER_TOKEN: u64 = 1_000_000;

impl Scheduler {
    /// Creates a scheduler for a cell that has had no leader before. To take
    /// over from a former leader, use [`Scheduler::restore`].
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
            queues: Queues::default(),
            keys: KeyRing::default(),
            ledger: Ledger::default(),
            account_shares: FairShares::default(),
            estimate_errors: EstimateErrors::default(),
            urgent_headroom: UrgentHeadroom::default(),
            admission: Admission::default(),
            token_buckets: TokenBuckets::default(),
            late_boosts: LateBoosts::default(),
            jobs: BTreeMap::new(),
            ended: EndedJobs::default(),
            early_cancels: EarlyCancels::default(),
            task_room: TaskRoom::default(),
            repeating_jobs: 0,
            executors: Executors::default(),
            unheard_executors: BTreeSet::new(),
            entries_read: false,
            renewal_queue: RenewalQueue::default(),
            by_id: BTreeMap::new(),
            in_flight_starts: Vec::new(),
            ready: BTreeSet::new(),
            needs_placement: false,
            last_full_round: 0,
            placement_rounds: PlacementRounds::default(),
            examined_steps: ExaminedSteps::default(),
            run_room: RunRoom::default(),
            reservations: BTreeMap::new(),
            arrivals: 0,
            advisors: Advisors::default(),
            advice_calls: BTreeMap::new(),
            advice_load: AdviceLoad::default(),
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

    /// Applies a version of the operators' policy. Ignores versions older than
    /// the current one.
    pub fn set_policy(&mut self, policy: Arc<Policy>) {
        if policy.version < self.policy.version {
            return;
        }
        self.queues = self.queues.updated(&policy);
        for live in self.jobs.values_mut() {
            if let Some(queue) = self.queues.successor_of(&live.queue) {
                live.set_queue(queue);
            }
        }
        self.keys = KeyRing::new(&policy);
        self.ledger.set_accounts(&policy);
        self.policy = policy;
        self.needs_placement = true;
    }

    /// Records that the store was asked at `at` and has confirmed that no
    /// other node leads. Leases and incarnations are given up only if they
    /// ended before that time. Later a successor may have renewed the leases,
    /// or may have heard what has ended there.
    pub fn confirm_leadership(&mut self, at: Millis) {
        self.leadership_confirmed_at = self.leadership_confirmed_at.max(at);
    }

    /// Sets wall time minus monotonic time, in milliseconds.
    pub fn set_wall_offset(&mut self, offset: i64) {
        self.wall_offset = offset;
    }

    /// Handles an event and returns the actions to carry out.
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

    /// Does what has become possible since the last call, and returns the
    /// actions to carry out. Call this after each group of events.
    pub fn advance(&mut self, now: Millis) -> Vec<Action> {
        if std::mem::take(&mut self.needs_placement) {
            self.place(now);
        }
        self.dispatch_advice(now);
        self.send_renewals(now);
        self.send_commit(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Scheduler::advance`] has to be called at the latest, if
    /// no event arrives before. `None` if no time requires it.
    pub fn next_advance(&self) -> Option<Millis> {
        let commit = self.commits.due(self.config.min_commit_interval);
        let renewals = self.renewal_queue.has_ready().then_some(0);
        [commit, renewals, self.placement_rounds.next_start()]
            .into_iter()
            .flatten()
            .min()
    }

    fn tick(&mut self, now: Millis) {
        self.count_live_executors(now);
        self.ended.forget(now);
        self.early_cancels.forget(now);
        self.forget_refusals(now);
        self.give_up_incarnations(now);
        self.expire_leases(now);
        self.expire_in_flight_starts(now);
        self.reassign_overdue_calls(now);
        self.resend_stops(now);
        self.count_tasks(now);
        self.release_due(now);
        self.check_takeover(now);
        self.refuse_waiting(now);
        self.stop_runs_on_departing(now);
        self.advance_waves(now);
        self.refresh_speeds(now);
        self.needs_placement = true;
    }

    /// Returns the number of events of each kind so far.
    pub fn counters(&self) -> &BTreeMap<&'static str, u64> {
        &self.counters
    }

    /// Returns the number of jobs that have not ended.
    pub fn live_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns an executor, if it is known.
    pub fn executor(&self, index: ExecutorIndex) -> Option<&Executor> {
        self.executors.get(&index)
    }

    /// Returns the number of executors, by ID.
    pub fn executor_count(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of known executor incarnations in each data centre.
    pub fn executors_by_dc(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for executor in self.executors.values() {
            *counts.entry(executor.info.dc.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns whether a mechanism is enabled.
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
