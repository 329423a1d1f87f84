/*!
The exchange with executors: their leases, and what they report.
*/

use crate::ids::Millis;
use crate::jobs::executor::{
    Charge, Executor, Liveness, Phase, PlacedRun, DRIFT, GRAIN,
};
use crate::jobs::message::{
    AccountIndex, Action, EndReport, ExecutorIndex, ExecutorReport,
    IncarnationEnd, OrderFailure, RunReport,
};
use crate::jobs::model::{JobId, TaskKey};
use crate::jobs::scheduler::event_lag::ReportTiming;
use crate::jobs::scheduler::incarnations::Answerer;
use crate::jobs::scheduler::Scheduler;

/// How long an executor may wait for an end before it answers a hold.
const WAIT: Millis = 1_000;
/// The same for an executor whose tasks disturb each other.
const CLOSE: Millis = 400;
/// The most executors that are asked in one turn.
const AT_ONCE: usize = 64;
/// Idle executors are asked about so often a second, all together.
const IDLE_HOLDS: Millis = 500;
/// The longest time that an idle executor is left alone. Its clock may lose
/// a fiftieth of it, which [`expiry`] covers.
const LONGEST_PAUSE: Millis = 5_000;
/// The time after the first hold that an executor has not answered until the
/// next. It doubles with each, [`RETRY_DOUBLINGS`] times at most.
pub(super) const RETRY: Millis = 150;
/// More would add more than half a second to the time until an executor that
/// is back is heard of.
const RETRY_DOUBLINGS: u32 = 2;
/// The time between holds while reports can't be written.
const UNWRITTEN: Millis = 500;
/// Holds in a row that fail before an executor counts as silent.
pub(super) const FAILURES: u32 = 2;
/// The time until the next hold after one that could not tell which ends are
/// noted: an order that is open is answered within it.
const WITHHELD: Millis = 30;

impl Scheduler {
    /// Sends the holds that are due, to some executors at a time, so that a
    /// takeover of many holds nothing else up for long.
    pub(super) fn send_renewals(&mut self, now: Millis) {
        let idle = self.has_no_pending_writes();
        for index in self.renewal_queue.take_ready(now, AT_ONCE) {
            self.send_renewal(index, idle, now);
        }
    }

    fn send_renewal(&mut self, index: ExecutorIndex, idle: bool, now: Millis) {
        let lease = self.config.lease;
        let close = self.needs_frequent_reports(index);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        if executor.incarnation_end.is_some() {
            return;
        }
        if executor.renewing {
            // An answer is told from that to the main hold by its time.
            let probes = executor.next_probe.max(executor.renewal_sent_at + 1);
            if executor.probe && probes <= now {
                executor.probe = false;
                self.actions.push(Action::RenewLease {
                    executor: index,
                    sent_at: now,
                    due: None,
                    // Nothing tells which life answers beside the hold.
                    last_seen: 0,
                    known: executor.received_end,
                    wait: 0,
                });
            } else if executor.probe {
                self.renewal_queue.schedule(probes, index);
            }
            return;
        }
        if executor.next_renewal > now {
            return self.renewal_queue.schedule(executor.next_renewal, index);
        }
        // What is reported already would be reported again at once.
        let fresh = executor.acknowledged_end == executor.received_end;
        let settled = executor.liveness == Liveness::Ready;
        let asked = executor.probe && executor.next_probe <= now;
        let sure = executor.incarnation_unsure_since.is_none();
        let patient = fresh && settled && sure && !asked;
        let longest = if close { CLOSE } else { WAIT };
        let wait = if patient { longest } else { 0 };
        if !fresh && !idle && now < executor.renewal_sent_at + UNWRITTEN {
            return self
                .renewal_queue
                .schedule(executor.renewal_sent_at + UNWRITTEN, index);
        }
        // An executor that did not answer gets no more time, or what runs
        // there could never be given up.
        let clock = executor.clock_at(now);
        let clock = clock.filter(|_| executor.failures == 0);
        let due = clock.map(|clock| clock + lease);
        if due.is_some() {
            executor.expiry = lease_expiry(now, lease);
        }
        executor.renewing = true;
        executor.probe &= !asked;
        if executor.probe {
            self.renewal_queue.schedule(executor.next_probe, index);
        }
        executor.renewal_sent_at = now;
        executor.renewal_wait = wait;
        executor.withheld =
            executor.acknowledged_end > 0 && !may_acknowledge(executor, now);
        let last_seen =
            if executor.withheld { 0 } else { executor.acknowledged_end };
        self.actions.push(Action::RenewLease {
            executor: index,
            sent_at: now,
            due,
            last_seen,
            known: executor.received_end,
            wait,
        });
    }

    /// How long an executor on which nothing runs is left alone after it has
    /// answered: all idle executors together are asked only so often.
    fn idle_pause(&self) -> Millis {
        let turn = self.by_id.len() as Millis * 1_000 / IDLE_HOLDS;
        turn.saturating_sub(WAIT).min(LONGEST_PAUSE)
    }

    pub(super) fn renewal_answered(
        &mut self,
        index: ExecutorIndex,
        sent_at: Millis,
        answer: Result<ExecutorReport, OrderFailure>,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        self.renewal_queue.enqueue(index);
        let main = executor.renewal_sent_at == sent_at;
        if main {
            executor.renewing = false;
        }
        match answer {
            Ok(answer) => match self.identify_answerer(index, &answer) {
                Answerer::Known(life) => {
                    self.mark_responsive(life);
                    self.process_report(life, sent_at, answer, now);
                }
                Answerer::New(born) => {
                    self.unknown_incarnation_answered(
                        index, born, sent_at, answer, now,
                    );
                }
                Answerer::Unidentified => {
                    self.renewal_failed(index, main, now)
                }
            },
            Err(why) => {
                if !self.handle_terminal_failure::<()>(index, Err(why), now) {
                    self.renewal_failed(index, main, now);
                }
            }
        }
    }

    /// An executor has not answered a hold.
    fn renewal_failed(
        &mut self,
        index: ExecutorIndex,
        main: bool,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.incarnation_unsure_since = Some(now);
        if !main {
            executor.unanswered_since.get_or_insert(now);
            executor.probe = true;
            executor.next_probe = now + RETRY;
            return;
        }
        self.order_unanswered(now);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.missed_renewal = Some(executor.renewal_sent_at);
        // An executor that is silent is missed when the wait is over.
        if executor.failures == 0
            && now < executor.renewal_sent_at + executor.renewal_wait
        {
            executor.broke_off = true;
            executor.unanswered_since = Some(now);
        }
        let doublings = executor.failures.min(RETRY_DOUBLINGS);
        executor.failures += 1;
        executor.next_renewal = now + (RETRY << doublings);
        let silent = executor.failures >= FAILURES;
        if silent && executor.falls_silent(now) {
            self.count("executors_silent");
        }
        self.mark_unresponsive(index, now);
    }

    /// Takes in an executor's account of itself.
    pub(super) fn process_report(
        &mut self,
        index: ExecutorIndex,
        sent_at: Millis,
        answer: ExecutorReport,
        now: Millis,
    ) {
        let pause = self.idle_pause();
        let lease = self.config.lease;
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let first = executor.first_heard.is_none();
        executor.first_heard.get_or_insert(now);
        if executor
            .incarnation_unsure_since
            .is_some_and(|since| since < sent_at)
        {
            executor.incarnation_unsure_since = None;
        }
        if first {
            // Its answer shows no end of the lease that a predecessor gave
            // it. None was given after the answer, and none is longer.
            executor.expiry = executor.expiry.max(lease_expiry(now, lease));
            self.actions.push(Action::ExecutorHeard {
                id: executor.info.id.clone(),
                born: answer.born,
                running: answer.running.len() as u32,
                ended: answer.ended.len() as u32,
            });
            self.resolve_in_flight_starts(index, now);
        }
        let received = self.event_lag.received_at();
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let given = ReportTiming::new(executor, answer.clock, received);
        executor.report_age = now.saturating_sub(given.made_at());
        executor.clock_bound.take(answer.clock, received);
        executor.missed_renewal = None;
        // An answer that was held up may be older than one that came before
        // it. It still tells of ends, which are numbered, but not of what
        // runs: a task may have been started again since.
        let clock = executor.clock.map(|(reading, _)| reading);
        let outdated = clock.is_some_and(|newest| answer.clock < newest);
        if !outdated {
            executor.clock = Some((answer.clock, received));
            executor.clock_asked = sent_at;
            executor.reported_at =
                executor.reported_at.max(Some(given.made_at()));
        }
        self.record_report_lag(index, first, sent_at, now);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        if executor.failures > 0 {
            // Ends there are heard of late.
            for run in executor.runs.values_mut() {
                run.measures_speed = false;
            }
        }
        executor.failures = 0;
        if matches!(
            executor.incarnation_end,
            Some((IncarnationEnd::LeftMachine, _))
        ) {
            executor.incarnation_end = None;
        }
        if executor.incarnation_end.is_none() {
            executor.liveness = Liveness::Ready;
            self.unheard_executors.remove(&index);
        }
        let fresh: Vec<EndReport> = answer
            .ended
            .into_iter()
            .filter(|end| end.number > executor.received_end)
            .collect();
        if !executor.renewing {
            let idle = executor.runs.is_empty() && answer.running.is_empty();
            let reported = executor.acknowledged_end == executor.received_end;
            let rest = idle && reported && fresh.is_empty();
            executor.next_renewal = now
                + match (rest, executor.withheld) {
                    (true, _) => pause,
                    (_, true) => WITHHELD,
                    _ => 0,
                };
        }
        self.needs_placement = true;
        if outdated {
            self.count("accounts_outdated");
        }
        if !fresh.is_empty() {
            self.commits.unacknowledged.insert(index);
        }
        for end in fresh {
            if let Some(executor) = self.executors.get_mut(&index) {
                executor.received_end = executor.received_end.max(end.number);
            }
            self.run_ended(index, end, &given, now);
        }
        if !outdated {
            for row in &answer.running {
                self.run_reported(index, row, now);
            }
            // What is not listed may have ended and be told of later.
            if !answer.more_ended {
                self.reconcile_runs(index, &answer.running, sent_at);
            }
            self.throttle(index, &answer.running, now);
            self.check_overdue_runs(index, &given, now);
        }
        self.check_trial(index, now);
        if first {
            self.check_takeover(now);
        }
    }

    /// Compares what should run on an executor with its own list.
    fn reconcile_runs(
        &mut self,
        index: ExecutorIndex,
        running: &[RunReport],
        sent_at: Millis,
    ) {
        let Some(executor) = self.executors.get(&index) else { return };
        let listed = |task: &TaskKey, run: u64| {
            running.iter().any(|row| row.task == *task && row.run == run)
        };
        let missing = executor.runs.iter().filter(|(task, on)| {
            let settled =
                matches!(on.phase, Phase::Running | Phase::Stopping(true));
            settled && on.confirmed < sent_at && !listed(task, on.run)
        });
        let missing: Vec<(TaskKey, u64)> =
            missing.map(|(task, on)| (*task, on.run)).collect();
        let absent = executor.runs.iter().filter(|(task, on)| {
            let since =
                on.start_unsure_since.filter(|_| on.phase == Phase::Starting);
            // It is stopped by that, whether it arrives yet or not.
            since.is_some_and(|since| since <= sent_at)
                && !listed(task, on.run)
        });
        let absent: Vec<(TaskKey, u64)> =
            absent.map(|(task, on)| (*task, on.run)).collect();
        for (task, run) in missing {
            self.conclude_run(index, task, run, None);
        }
        // It may arrive yet: it has to be made sure that it does not.
        for (task, run) in absent {
            self.stop(index, task, run);
        }
    }

    /// An executor lists a run.
    fn run_reported(
        &mut self,
        index: ExecutorIndex,
        row: &RunReport,
        now: Millis,
    ) {
        self.mark_job_started(row.task);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        if let Some(on) = executor.runs.get_mut(&row.task) {
            if on.run == row.run {
                on.listed = true;
                on.start_confirmed = true;
                if on.phase == Phase::Starting {
                    on.phase = Phase::Running;
                    on.confirmed = now;
                }
                return;
            }
        }
        self.adopt_run(index, row, now);
    }

    /// Takes over a run that this scheduler has not started, or stops it.
    fn adopt_run(
        &mut self,
        index: ExecutorIndex,
        row: &RunReport,
        now: Millis,
    ) {
        let key = row.task.step;
        let mut wanted = false;
        let mut need = None;
        let mut charge = Charge {
            account: self.client_account_of(key.job),
            ..Charge::default()
        };
        let run_time = self.run_time(key, index);
        let mut urgent = false;
        if let Some(live) = self.jobs.get_mut(&key.job) {
            if let Some(step) = live.job.steps.get(key.step as usize) {
                need = Some(step.footprint());
                charge.amount = step.need;
                charge.urgent = live.queue.priority == 0;
            }
            urgent = live.is_urgent();
            let ended = live.ended;
            let gang = live.job.steps.get(key.step as usize);
            let gang = gang.is_some_and(|step| step.gang);
            let place = live.step_state(key.time, key.step);
            if let (None, Some(run)) = (ended, place) {
                let others =
                    run.placements.values().all(|(_, r)| *r == row.run);
                let waited = run.add_run(row.task.index, index, row.run);
                wanted = waited && !run.stopping_gang && (others || !gang);
            }
        }
        let Some(executor) = self.executors.get(&index) else { return };
        let capacity = executor.info.capacity;
        if need.is_none() {
            // What it needs is not known any more.
            charge.amount = capacity;
        }
        let on = PlacedRun {
            run: row.run,
            need: need.unwrap_or(capacity),
            charge,
            urgent,
            phase: Phase::Running,
            placed_at: now,
            stop_again: 0,
            confirmed: now,
            start_unsure_since: None,
            start_confirmed: true,
            start_clock: None,
            listed: true,
            expected_end: now + run_time / 2,
            measures_speed: false,
            // It has been there for some time.
            window: 0,
        };
        self.put_run(index, row.task, on);
        if wanted {
            self.count("runs_adopted");
        } else {
            self.count("runs_unwanted");
            self.stop(index, row.task, row.run);
        }
    }

    /// The client account of a job that is live or has ended.
    fn client_account_of(&mut self, job: JobId) -> Option<AccountIndex> {
        if let Some(live) = self.jobs.get(&job) {
            return live.account;
        }
        let account = self.ended.jobs.get(&job)?.account.as_deref()?;
        Some(self.ledger.index(account))
    }

    /// An executor reports the end of a run.
    fn run_ended(
        &mut self,
        index: ExecutorIndex,
        end: EndReport,
        given: &ReportTiming,
        now: Millis,
    ) {
        self.mark_job_started(end.task);
        self.record_run_end(index, &end, now);
        self.learn_from_end(index, &end, given, now);
        self.conclude_run(index, end.task, end.run, Some(&end));
    }

    pub(super) fn superseded(&mut self) {
        self.count("deposed");
        self.actions.push(Action::Superseded);
    }
}

/// Whether an executor may be told which of its ends are noted. The next life
/// of an executor numbers its ends anew, and forgets one that nobody has read
/// if it is told the number of a former life's: so not while another life may
/// answer, nor while a start is open that may have been carried out by it.
fn may_acknowledge(executor: &Executor, now: Millis) -> bool {
    let open =
        |on: &PlacedRun| on.phase == Phase::Starting && on.placed_at < now;
    executor.incarnation_unsure_since.is_none()
        && !executor.runs.values().any(open)
}

/// When a lease that is given now has certainly run out.
pub(super) fn lease_expiry(now: Millis, lease: Millis) -> Millis {
    now + lease + lease / DRIFT + GRAIN
}
