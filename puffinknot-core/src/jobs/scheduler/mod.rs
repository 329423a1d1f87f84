/*!
The state of the node that leads the cell.

What is done with it has modules of its own: `admit` knows who may call,
`requests` answers clients, `ledger` counts what client accounts have running,
`holds` takes in what executors report, `runs` follows single runs to their
ends, `lives` knows when an executor's life is over, `followers` which life
follows it under its name, `in_flight` which orders that one may carry out,
`machines` what the list of machines tells of lives, `ranking` says what
comes first, `run_time_estimate` how long runs take, `fit` where a task fits, `placement`
chooses what starts where, `gangs` does so for gangs, `urgent_headroom` keeps room free
for urgent tasks, `preemption` has others give way to them and to gangs, `shares`
knows which accounts hold more than their share, `buckets` what comes beyond an
account's due, `speeds` learns how long runs take,
`failure_domains` finds data centres that are out of reach, `cordons` knows those that
take no new work, `admission` refuses what can't be done in time,
`alarm` connections that have fallen silent, `behind` how late the leader's
news are, `judge` executors that fail what they run, `suspects` tasks that
crash the executors that start them, `renewal_queue`
knows which executors to look at, `advise` spreads the calls for advice over
all nodes, which `advisors` knows, `commit` groups what has to be written,
`outage` refuses what would wait in vain for the store,
`leaving` moves what runs on executors that are about to go,
`placement_stats` counts what placing looks through, `placement_rounds` bounds its part of the
time,
`records` knows what of it still matters, `pace` slows tasks that fill beside
tasks that serve, `waves` takes machines down for their upkeep, and `restore`
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
use crate::jobs::mechanism::{Mechanism, Without};
use crate::jobs::message::{
    Action, CallId, Event, ExecutorIndex, Outcome, RequestId,
};
use crate::jobs::model::{JobId, JobState, StepKey};
use crate::jobs::policy::{Policy, Queue};
use crate::jobs::record::EndedJob;

mod admission;
mod admit;
mod advise;
mod advisors;
mod alarm;
mod behind;
mod buckets;
mod commit;
mod cordons;
mod failure_domains;
mod fit;
mod followers;
mod gangs;
mod holds;
mod in_flight;
mod judge;
mod leaving;
mod ledger;
mod live;
mod lives;
mod machines;
mod outage;
mod pace;
mod placement;
mod placement_rounds;
mod placement_stats;
mod preemption;
mod ranking;
mod records;
mod renewal_queue;
mod requests;
mod restore;
mod returns;
mod run_time_estimate;
mod runs;
mod shares;
mod speeds;
mod suspects;
mod urgent_headroom;
mod waves;

use self::admission::Admission;
use self::advise::Call;
use self::advisors::Advisors;
use self::alarm::Alarm;
use self::behind::Behind;
use self::buckets::Buckets;
use self::commit::CommitQueue;
use self::failure_domains::FailureDomains;
use self::in_flight::InFlight;
use self::leaving::Notices;
use self::ledger::Ledger;
pub use self::ledger::Usage;
use self::live::Live;
use self::outage::Outages;
use self::placement_rounds::PlacementRounds;
pub use self::placement_stats::PlacementStats;
use self::ranking::LateBoosts;
use self::renewal_queue::RenewalQueue;
use self::shares::Shares;
use self::speeds::EstimateErrors;
use self::urgent_headroom::UrgentHeadroom;
use self::waves::Machines;

/// What a scheduler is told once.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The fencing token of its tenure.
    pub token: u64,
    /// The longest lease on an executor, in milliseconds.
    pub lease: Millis,
    /// How long ended jobs stay known, in milliseconds.
    pub keep_ended: Millis,
    /// For how long a predecessor's orders may be in force on executors
    /// that don't answer, in milliseconds.
    pub inherited_for: Millis,
    /// Executors may be asked for advice in calls of at most this many.
    pub advice_batch: usize,
    /// The least time between two writes to the store, in milliseconds.
    pub commit_gap: Millis,
    /// The mechanisms that are switched off.
    pub without: Without,
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
    shares_of_accounts: Shares,
    guesses: EstimateErrors,
    urgent: UrgentHeadroom,
    admission: Admission,
    buckets: Buckets,
    late_turns: LateBoosts,
    jobs: BTreeMap<JobId, Live>,
    ended: Ended,
    executors: Executors,
    /// The newest life of each name.
    by_id: BTreeMap<String, ExecutorIndex>,
    /// Orders that a life which is not known yet may carry out.
    in_flight: Vec<InFlight>,
    /// Executors not heard yet on which something that a predecessor ordered
    /// may run unseen.
    hidden: BTreeSet<ExecutorIndex>,
    /// Whether the entries of executors were read in this tenure.
    entries_read: bool,
    /// Executors that may be due for a hold.
    due_holds: RenewalQueue,
    /// Steps with tasks that may be started.
    ready: BTreeSet<StepKey>,
    /// Whether something has changed that may let a task start.
    stale: bool,
    /// When steps that are not urgent were looked at last.
    placed_all: Millis,
    rounds: PlacementRounds,
    /// Steps that have room kept, and on which executors.
    reserved: BTreeMap<StepKey, Vec<ExecutorIndex>>,
    next_run: u64,
    arrivals: u64,
    advisors: Advisors,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    /// The share of executors that may run the steps of a queue.
    shares: BTreeMap<String, f64>,
    commits: CommitQueue,
    outages: Outages,
    notices: Notices,
    machines: Machines,
    domains: FailureDomains,
    cordons: Cordons,
    crash_rate: CrashRate,
    alarm: Alarm,
    behind: Behind,
    /// Until when what a predecessor ordered may be unknown, if it may.
    unsettled: Option<Millis>,
    /// When the store was last asked and confirmed that nobody else leads.
    confirmed: Millis,
    /// Wall time less monotonic time, in milliseconds.
    wall_offset: i64,
    looked: PlacementStats,
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
            outages: Outages::default(),
            notices: Notices::default(),
            machines: Machines::default(),
            domains: FailureDomains::default(),
            cordons: Cordons::default(),
            crash_rate: CrashRate::default(),
            alarm: Alarm::default(),
            behind: Behind::default(),
            config,
            policy: Arc::default(),
            queues: BTreeMap::new(),
            keys: KeyRing::default(),
            ledger: Ledger::default(),
            shares_of_accounts: Shares::default(),
            guesses: EstimateErrors::default(),
            urgent: UrgentHeadroom::default(),
            admission: Admission::default(),
            buckets: Buckets::default(),
            late_turns: LateBoosts::default(),
            jobs: BTreeMap::new(),
            ended: Ended::default(),
            executors: Executors::default(),
            hidden: BTreeSet::new(),
            entries_read: false,
            due_holds: RenewalQueue::default(),
            by_id: BTreeMap::new(),
            in_flight: Vec::new(),
            ready: BTreeSet::new(),
            stale: false,
            placed_all: 0,
            rounds: PlacementRounds::default(),
            reserved: BTreeMap::new(),
            arrivals: 0,
            advisors: Advisors::default(),
            calls: BTreeMap::new(),
            next_call: 0,
            shares: BTreeMap::new(),
            unsettled: None,
            confirmed: 0,
            wall_offset: 0,
            looked: PlacementStats::default(),
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
        self.stale = true;
    }

    /// Sets when the store was last asked and confirmed that nobody else
    /// leads. Only leases that ran out before, and lives that were over
    /// before, are given up: a successor may have renewed them since, or
    /// heard what has ended there.
    pub fn set_confirmed(&mut self, at: Millis) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Sets wall time less monotonic time, in milliseconds.
    pub fn set_wall_offset(&mut self, offset: i64) {
        self.wall_offset = offset;
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        self.handle_received(event, now, now)
    }

    fn take(&mut self, event: Event, now: Millis) {
        match event {
            Event::Request { id, caller, request } => {
                self.request(id, &caller, request, now);
            }
            Event::Listed(info) => {
                let id = info.id.clone();
                self.listed(info, now);
                self.note_notice(&id, now);
            }
            Event::Unlisted(id) => self.unlisted(&id, now),
            Event::EntryUnreadable(id) => self.entry_unreadable(&id),
            Event::EntriesRead => self.entries_read = true,
            Event::Held { executor, sent_at, answer } => {
                self.held(executor, sent_at, answer, now);
            }
            Event::Started { executor, task, run, answer } => {
                self.started(executor, task, run, answer, now);
            }
            Event::Stopped { executor, task, run, answer } => {
                self.stopped(executor, task, run, answer, now);
            }
            Event::Advised { call, answer } => self.advised(call, answer, now),
            Event::Advisors(names) => self.set_advisors(names),
            Event::Paced { executor, answer } => {
                self.paced(executor, answer, now);
            }
            Event::Wave(info) => self.wave(info, now),
            Event::Machines(machines) => self.machines_listed(machines, now),
            Event::UpkeepAnswered { wave, machine, answer } => {
                self.upkeep_answered(wave, &machine, answer, now);
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
        if std::mem::take(&mut self.stale) {
            self.place(now);
        }
        self.dispatch_advice(now);
        self.send_holds(now);
        self.send_commit(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Scheduler::advance`] has something to do at the latest, if
    /// nothing happens before.
    pub fn next_advance(&self) -> Option<Millis> {
        let commit = self.commits.due(self.config.commit_gap);
        let holds = self.due_holds.has_ready().then_some(0);
        [commit, holds, self.rounds.next_start()].into_iter().flatten().min()
    }

    fn tick(&mut self, now: Millis) {
        self.watch_for_crashes(now);
        self.ended.forget(now);
        self.forget_refused(now);
        self.give_up_lives(now);
        self.expire(now);
        self.expire_in_flight(now);
        self.expire_advice(now);
        self.repeat_stops(now);
        self.release_due(now);
        self.settle(now);
        self.refuse_waiting(now);
        self.clear_leaving(now);
        self.advance_waves(now);
        self.refresh_speeds(now);
        self.stale = true;
    }

    /// The number of events of each kind so far.
    pub fn counters(&self) -> &BTreeMap<&'static str, u64> {
        &self.counters
    }

    /// The number of jobs that have not ended.
    pub fn live(&self) -> usize {
        self.jobs.len()
    }

    /// The name and the address of an executor, if it is known.
    pub fn executor(&self, index: ExecutorIndex) -> Option<&Executor> {
        self.executors.get(&index)
    }

    /// The number of executors.
    pub fn executors(&self) -> usize {
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
    fn has(&self, mechanism: Mechanism) -> bool {
        self.config.without.has(mechanism)
    }

    fn count(&mut self, name: &'static str) {
        *self.counters.entry(name).or_default() += 1;
    }

    fn reply(&mut self, id: RequestId, outcome: Outcome) {
        self.actions.push(Action::Reply { id, outcome });
    }
}
