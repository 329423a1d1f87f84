/*!
Lease renewals: they extend the leases of executors and return their reports.
*/

use std::collections::HashSet;

use crate::ids::Millis;
use crate::jobs::executor::{
    Charge, Executor, Liveness, PlacedRun, RunPhase, CLOCK_TOLERANCE_MS,
    MAX_CLOCK_DRIFT_DIVISOR,
};
use crate::jobs::message::{
    AccountIndex, Action, EndReport, ExecutorIndex, ExecutorReport,
    IncarnationEnd, OrderFailure, RunReport,
};
use crate::jobs::model::{JobId, TaskKey};
use crate::jobs::scheduler::event_lag::ReportTiming;
use crate::jobs::scheduler::incarnations::Answerer;
use crate::jobs::scheduler::Scheduler;

/// How long an executor may wait for a run to end before it answers a renewal.
const MAX_WAIT: Millis = 1_000;
/// The same for an executor whose tasks disturb each other.
const MAX_WAIT_FREQUENT: Millis = 400;
/// The most executors whose leases are renewed in one turn of the event loop.
const MAX_RENEWALS_PER_TURN: usize = 64;
/// The rate at which idle executors are asked, all of them together.
const IDLE_RENEWALS_PER_SECOND: Millis = 500;
/// The longest time for which an idle executor is not asked. Its clock may
/// lose a fiftieth of this time, which [`lease_expiry`] covers.
const MAX_IDLE_PAUSE: Millis = 5_000;
/// The delay between the first renewal that an executor has not answered and
/// the next one. It doubles with each further renewal, [`RETRY_DOUBLINGS`]
/// times at most.
pub(super) const RETRY_DELAY: Millis = 150;
/// More doublings would make an executor that is back be heard over half a
/// second later.
const RETRY_DOUBLINGS: u32 = 2;
/// The time between renewals while reported run ends can't be written to the
/// store.
const UNWRITTEN_RENEWAL_INTERVAL: Millis = 500;
/// The number of renewals in a row that must fail for an executor to count as
/// silent.
pub(super) const FAILURES_UNTIL_SILENT: u32 = 2;
/// An executor with more runs than this is not asked again at once. Each of
/// its reports lists all of them, whatever has changed.
const MANY_RUNS: usize = 64;
/// How many runs the reports of such executors list, all of them together, in
/// a millisecond.
const LISTED_RUNS_PER_MS: usize = 50;
/// The longest pause between two reports of such an executor, a part of its
/// lease.
const MAX_REPORT_PAUSE: Millis = 1_000;
/// The delay after a renewal that could not acknowledge run ends. An open
/// order is answered within this time.
const WITHHELD_RENEWAL_DELAY: Millis = 30;

impl Scheduler {
    /// Sends the renewals that are due, to a limited number of executors at a
    /// time, so that taking over many of them does not block other work for
    /// long.
    pub(super) fn send_renewals(&mut self, now: Millis) {
        let no_pending_writes = self.has_no_pending_writes();
        for index in self.renewal_queue.take_ready(now, MAX_RENEWALS_PER_TURN)
        {
            self.send_renewal(index, no_pending_writes, now);
        }
    }

    /// Sends a probe to an executor with an open renewal if one is due, or
    /// schedules it.
    fn send_due_probe(&mut self, index: ExecutorIndex, now: Millis) {
        let Some(executor) = self.executors.get(&index) else { return };
        if !executor.probe {
            return;
        }
        // The answers to the probe and to the open renewal are told apart by
        // the times at which they were sent.
        let probe_at = executor.next_probe.max(executor.renewal_sent_at + 1);
        if probe_at > now {
            return self.renewal_queue.schedule(probe_at, index);
        }
        let next_probe = now + self.report_pause(index);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.probe = false;
        executor.next_probe = executor.next_probe.max(next_probe);
        self.actions.push(Action::RenewLease {
            executor: index,
            sent_at: now,
            due: None,
            // It is not known which incarnation answers a probe, so it
            // acknowledges nothing.
            last_seen: 0,
            known: executor.received_end,
            wait: 0,
        });
    }

    /// Checks whether a renewal is to be sent now. If not, schedules the next
    /// check; if one is open, sends a probe that is due.
    fn check_renewal(
        &mut self,
        index: ExecutorIndex,
        no_pending_writes: bool,
        now: Millis,
    ) -> bool {
        let Some(executor) = self.executors.get(&index) else { return false };
        if executor.incarnation_end.is_some() {
            return false;
        }
        if executor.renewing {
            self.send_due_probe(index, now);
            return false;
        }
        if executor.next_renewal > now {
            self.renewal_queue.schedule(executor.next_renewal, index);
            return false;
        }
        let unwritten_at =
            executor.renewal_sent_at + UNWRITTEN_RENEWAL_INTERVAL;
        if !executor.is_all_acknowledged()
            && !no_pending_writes
            && now < unwritten_at
        {
            self.renewal_queue.schedule(unwritten_at, index);
            return false;
        }
        true
    }

    fn send_renewal(
        &mut self,
        index: ExecutorIndex,
        no_pending_writes: bool,
        now: Millis,
    ) {
        if !self.check_renewal(index, no_pending_writes, now) {
            return;
        }
        let lease = self.config.lease;
        let frequent = self.needs_frequent_reports(index);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        // Ends that are not acknowledged yet would be reported again at once.
        let all_acknowledged = executor.is_all_acknowledged();
        let is_ready = executor.liveness == Liveness::Ready;
        let probe_due = executor.probe && executor.next_probe <= now;
        let incarnation_known = executor.incarnation_unsure_since.is_none();
        let may_wait =
            all_acknowledged && is_ready && incarnation_known && !probe_due;
        let max_wait = if frequent { MAX_WAIT_FREQUENT } else { MAX_WAIT };
        let wait = if may_wait { max_wait } else { 0 };
        // The lease of an executor that did not answer is not extended, or its
        // runs could never be given up.
        let clock = executor.clock_at(now);
        let clock = clock.filter(|_| executor.renewal_failures == 0);
        let due = clock.map(|clock| clock + lease);
        if due.is_some() {
            executor.lease_expiry = lease_expiry(now, lease);
        }
        executor.renewing = true;
        executor.probe &= !probe_due;
        if executor.probe {
            self.renewal_queue.schedule(executor.next_probe, index);
        }
        executor.renewal_sent_at = now;
        executor.renewal_wait = wait;
        executor.acks_withheld =
            executor.acknowledged_end > 0 && !may_acknowledge(executor, now);
        let last_seen =
            if executor.acks_withheld { 0 } else { executor.acknowledged_end };
        self.actions.push(Action::RenewLease {
            executor: index,
            sent_at: now,
            due,
            last_seen,
            known: executor.received_end,
            wait,
        });
    }

    /// How long an executor without runs is not asked after it has answered.
    /// Idle executors share one rate of renewals.
    fn idle_pause(&self) -> Millis {
        let interval =
            self.by_id.len() as Millis * 1_000 / IDLE_RENEWALS_PER_SECOND;
        interval.saturating_sub(MAX_WAIT).min(MAX_IDLE_PAUSE)
    }

    /// How long an executor with many runs is not asked after it has answered.
    /// Such executors share one rate of listed runs, so that the cost of
    /// reports is bounded, however many runs there are and however often they
    /// end.
    fn report_pause(&self, index: ExecutorIndex) -> Millis {
        if !self.executors.get(&index).is_some_and(has_many_runs) {
            return 0;
        }
        let busy = self.executors.values().filter(|e| has_many_runs(e));
        let runs: usize = busy.map(|executor| executor.runs.len()).sum();
        ((runs / LISTED_RUNS_PER_MS) as Millis).min(MAX_REPORT_PAUSE)
    }

    /// Makes a renewal due at once, unless the executor has many runs.
    pub(super) fn expedite_renewal(
        &mut self,
        index: ExecutorIndex,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        if !has_many_runs(executor) {
            executor.next_renewal = executor.next_renewal.min(now);
        }
        self.renewal_queue.enqueue(index);
    }

    /// Counts runs that reports list or that were examined for a renewal.
    pub(super) fn count_examined_runs(&mut self, runs: usize) {
        *self.counters.entry("runs_examined").or_default() += runs as u64;
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
        let is_renewal = executor.renewal_sent_at == sent_at;
        if is_renewal && executor.renewing {
            executor.refuses_connections =
                answer == Err(OrderFailure::NotSent);
            executor.renewing = false;
        }
        match answer {
            Ok(report) => match self.identify_answerer(index, &report) {
                Answerer::Known(incarnation) => {
                    self.mark_responsive(incarnation);
                    self.process_report(incarnation, sent_at, report, now);
                }
                Answerer::New(born) => {
                    self.unknown_incarnation_answered(
                        index, born, sent_at, report, now,
                    );
                }
                Answerer::Unidentified => {
                    self.renewal_failed(index, is_renewal, now)
                }
            },
            Err(why) => {
                if !self.handle_terminal_failure::<()>(index, Err(why), now) {
                    self.renewal_failed(index, is_renewal, now);
                }
            }
        }
    }

    /// Handles a renewal that an executor has not answered.
    fn renewal_failed(
        &mut self,
        index: ExecutorIndex,
        is_renewal: bool,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.incarnation_unsure_since = Some(now);
        if !is_renewal {
            executor.unanswered_since.get_or_insert(now);
            executor.probe = true;
            executor.next_probe = now + RETRY_DELAY;
            return;
        }
        self.order_unanswered(now);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.missed_renewal = Some(executor.renewal_sent_at);
        // An executor that has fallen silent is missed only when the wait is
        // over. A renewal that fails before that was broken off.
        if executor.renewal_failures == 0
            && now < executor.renewal_sent_at + executor.renewal_wait
        {
            executor.connection_lost = true;
            executor.unanswered_since = Some(now);
        }
        let doublings = executor.renewal_failures.min(RETRY_DOUBLINGS);
        executor.renewal_failures += 1;
        executor.next_renewal = now + (RETRY_DELAY << doublings);
        let silent = executor.renewal_failures >= FAILURES_UNTIL_SILENT;
        if silent && executor.mark_silent(now) {
            self.count("executors_silent");
        }
        self.mark_unresponsive(index, now);
    }

    /// Processes a report of an executor.
    pub(super) fn process_report(
        &mut self,
        index: ExecutorIndex,
        sent_at: Millis,
        report: ExecutorReport,
        now: Millis,
    ) {
        self.count_examined_runs(report.running.len());
        let pause = self.idle_pause();
        let report_pause = self.report_pause(index);
        let lease = self.config.lease;
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let is_first = executor.first_heard.is_none();
        executor.first_heard.get_or_insert(now);
        if executor
            .incarnation_unsure_since
            .is_some_and(|since| since < sent_at)
        {
            executor.incarnation_unsure_since = None;
        }
        if is_first {
            // The report does not say when a lease that a predecessor granted
            // expires. None was granted after the report, and none is longer.
            executor.lease_expiry =
                executor.lease_expiry.max(lease_expiry(now, lease));
            self.actions.push(Action::ExecutorHeard {
                id: executor.info.id.clone(),
                born: report.born,
                running: report.running.len() as u32,
                ended: report.ended.len() as u32,
            });
            self.resolve_in_flight_starts(index, now);
        }
        let received_at = self.event_lag.received_at();
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let timing = ReportTiming::new(executor, report.clock, received_at);
        executor.report_age = now.saturating_sub(timing.made_at());
        executor.clock_bound.observe(report.clock, received_at);
        executor.missed_renewal = None;
        // A delayed report may be older than one that was processed before.
        // Its run ends still count, since they are numbered, but its list of
        // runs doesn't: a task may have been started again since.
        let clock = executor.clock.map(|(reading, _)| reading);
        let outdated = clock.is_some_and(|newest| report.clock < newest);
        if !outdated {
            executor.clock = Some((report.clock, received_at));
            executor.clock_requested_at = sent_at;
            executor.reported_at =
                executor.reported_at.max(Some(timing.made_at()));
        }
        self.record_report_lag(index, is_first, sent_at, now);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        if executor.renewal_failures > 0 {
            // The ends of these runs are reported late.
            for run in executor.runs.values_mut() {
                run.measures_speed = false;
            }
        }
        executor.renewal_failures = 0;
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
        let new_ends: Vec<EndReport> = report
            .ended
            .into_iter()
            .filter(|end| end.number > executor.received_end)
            .collect();
        if !executor.renewing {
            let nothing_runs =
                executor.runs.is_empty() && report.running.is_empty();
            let may_pause = nothing_runs
                && executor.is_all_acknowledged()
                && new_ends.is_empty();
            executor.next_renewal = now
                + match (may_pause, executor.acks_withheld) {
                    (true, _) => pause,
                    (_, true) => WITHHELD_RENEWAL_DELAY.max(report_pause),
                    _ => report_pause,
                };
        }
        self.needs_placement = true;
        if outdated {
            self.count("accounts_outdated");
        }
        if !new_ends.is_empty() {
            self.commits.unacknowledged.insert(index);
        }
        for end in new_ends {
            if let Some(executor) = self.executors.get_mut(&index) {
                executor.received_end = executor.received_end.max(end.number);
            }
            self.run_ended(index, end, &timing, now);
        }
        if !outdated {
            for row in &report.running {
                self.run_reported(index, row, now);
            }
            // A run that is not listed may have ended, and its end may be
            // reported later.
            if !report.more_ended {
                self.reconcile_runs(index, &report.running, sent_at);
            }
            self.throttle(index, &report.running, now);
            self.check_overdue_runs(index, &timing, now);
        }
        self.check_trial(index, now);
        if is_first {
            self.check_takeover(now);
        }
    }

    /// Compares the runs that an executor should have with those that it
    /// lists.
    fn reconcile_runs(
        &mut self,
        index: ExecutorIndex,
        running: &[RunReport],
        sent_at: Millis,
    ) {
        let Some(executor) = self.executors.get(&index) else { return };
        let rows: HashSet<(TaskKey, u64)> =
            running.iter().map(|row| (row.task, row.run)).collect();
        let listed = |task: &TaskKey, run: u64| rows.contains(&(*task, run));
        let missing = executor.runs.iter().filter(|(task, placed)| {
            let is_active = matches!(
                placed.phase,
                RunPhase::Running | RunPhase::Stopping(true)
            );
            is_active
                && placed.confirmed_at < sent_at
                && !listed(task, placed.run)
        });
        let missing: Vec<(TaskKey, u64)> =
            missing.map(|(task, placed)| (*task, placed.run)).collect();
        let unconfirmed = executor.runs.iter().filter(|(task, placed)| {
            let since = placed
                .start_unsure_since
                .filter(|_| placed.phase == RunPhase::Starting);
            // The stop works whether or not the start arrives later.
            since.is_some_and(|since| since <= sent_at)
                && !listed(task, placed.run)
        });
        let unconfirmed: Vec<(TaskKey, u64)> =
            unconfirmed.map(|(task, placed)| (*task, placed.run)).collect();
        for (task, run) in missing {
            self.conclude_run(index, task, run, None);
        }
        // The start may still arrive. The stop makes sure that it is rejected.
        for (task, run) in unconfirmed {
            self.stop(index, task, run);
        }
    }

    /// Handles a run that an executor lists.
    fn run_reported(
        &mut self,
        index: ExecutorIndex,
        row: &RunReport,
        now: Millis,
    ) {
        self.mark_job_started(row.task);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        if let Some(placed) = executor.runs.get_mut(&row.task) {
            if placed.run == row.run {
                placed.reported = true;
                placed.start_confirmed = true;
                if placed.phase == RunPhase::Starting {
                    placed.phase = RunPhase::Running;
                    placed.confirmed_at = now;
                }
                return;
            }
        }
        self.adopt_run(index, row, now);
    }

    /// Adopts a run that this scheduler has not started, or stops it.
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
            let state = live.step_state(key.time, key.step);
            if let (None, Some(state)) = (ended, state) {
                let joins = !gang || !state.placements.has_other_run(row.run);
                let was_waiting =
                    state.add_run(row.task.index, index, row.run);
                wanted = was_waiting && !state.stopping_gang && joins;
            }
        }
        let Some(executor) = self.executors.get(&index) else { return };
        let capacity = executor.info.capacity;
        if need.is_none() {
            // It is not known any more what the run needs.
            charge.amount = capacity;
        }
        let placed = PlacedRun {
            run: row.run,
            need: need.unwrap_or(capacity),
            charge,
            urgent,
            phase: RunPhase::Running,
            placed_at: now,
            stop_retry_at: 0,
            confirmed_at: now,
            start_unsure_since: None,
            start_confirmed: true,
            start_clock: None,
            reported: true,
            expected_end: now + run_time / 2,
            measures_speed: false,
            // The run has been there for some time.
            crash_window: 0,
        };
        self.put_run(index, row.task, placed);
        if wanted {
            self.count("runs_adopted");
            // The other tasks of its step may have to start.
            self.release(key.job, key.time);
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

    /// Handles the end of a run that an executor reports.
    fn run_ended(
        &mut self,
        index: ExecutorIndex,
        end: EndReport,
        timing: &ReportTiming,
        now: Millis,
    ) {
        self.mark_job_started(end.task);
        self.record_run_end(index, &end, now);
        self.learn_from_end(index, &end, timing, now);
        self.conclude_run(index, end.task, end.run, Some(&end));
    }

    pub(super) fn superseded(&mut self) {
        self.count("deposed");
        self.actions.push(Action::Superseded);
    }
}

/// Whether the reports of an executor are long.
fn has_many_runs(executor: &Executor) -> bool {
    executor.runs.len() > MANY_RUNS
}

/// Whether run ends may be acknowledged to an executor. The next incarnation
/// of the executor numbers its ends from the start again. If it is given the
/// number of an end of the former incarnation, it discards an end that nobody
/// has read. So nothing is acknowledged while another incarnation may answer,
/// nor while there is an open start that another one may have carried out.
fn may_acknowledge(executor: &Executor, now: Millis) -> bool {
    let open = |placed: &PlacedRun| {
        placed.phase == RunPhase::Starting && placed.placed_at < now
    };
    executor.incarnation_unsure_since.is_none()
        && !executor.runs.values().any(open)
}

/// The time at which a lease that is granted now has certainly expired.
pub(super) fn lease_expiry(now: Millis, lease: Millis) -> Millis {
    now + lease + lease / MAX_CLOCK_DRIFT_DIVISOR + CLOCK_TOLERANCE_MS
}
