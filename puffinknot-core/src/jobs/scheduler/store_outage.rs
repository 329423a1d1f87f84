/*!
Handling of new jobs while the store is unavailable.

A job is accepted only once it is written, so no node can accept jobs while the
store does not answer. A client is told at once to retry later if waiting would
not serve it sooner. The remaining time of an outage is estimated from former
outages that lasted longer than it has so far. If there are none, it is
expected to last as long again.

A commit that the store has declined was not made and never will be. Its new
jobs that should not wait are removed from it, and their clients are refused as
well. A commit
without an answer may still be made. Its jobs may be accepted, so their clients
can't be refused.

Running tasks and accepted jobs go on, since executors decide what runs. The
end of a job is not reported before it is written. Otherwise a successor that
can't reach the executors any more would run the job again.
*/

use std::collections::{BTreeSet, VecDeque};

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, Change, Outcome};
use crate::jobs::model::{Job, JobId};
use crate::jobs::policy::Queue;
use crate::jobs::record::{self, Record};
use crate::jobs::scheduler::requests::{slack, RETRY_AFTER};
use crate::jobs::scheduler::Scheduler;

/// If the store refuses only this leader, another node leads after this time.
/// A leader offers the lead after three failures, which take about 0.2 s, and
/// offers it to a second node 0.25 s later. The new leader serves the clients
/// sooner than if they came back later.
const LEADER_CHANGE: Millis = 500;
/// The number of outages whose durations are remembered.
const MAX_REMEMBERED: usize = 16;

/// The outages of the store in this term.
#[derive(Debug, Default)]
pub(super) struct StoreOutages {
    /// When the current outage began, if there is one.
    started_at: Option<Millis>,
    /// The durations of the latest outages.
    durations: VecDeque<Millis>,
}

impl StoreOutages {
    /// Records that the store does not accept what was sent to it at
    /// `sent_at`. Returns whether this begins an outage.
    pub fn begin(&mut self, sent_at: Millis) -> bool {
        let is_new = self.started_at.is_none();
        self.started_at.get_or_insert(sent_at);
        is_new
    }

    /// Returns whether the store is unavailable.
    pub fn is_active(&self) -> bool {
        self.started_at.is_some()
    }

    /// Records that the store accepts writes.
    pub fn end(&mut self, now: Millis) {
        let Some(since) = self.started_at.take() else { return };
        self.durations.push_back(now.saturating_sub(since));
        if self.durations.len() > MAX_REMEMBERED {
            self.durations.pop_front();
        }
    }

    /// Returns how much longer the current outage should last, or `None` if
    /// there is no outage.
    fn remaining(&self, now: Millis) -> Option<Millis> {
        let age = now.saturating_sub(self.started_at?);
        let remaining = self.durations.iter().filter_map(|duration| {
            let left = duration.saturating_sub(age);
            (left > 0).then_some(left)
        });
        let remaining: Vec<Millis> = remaining.collect();
        let sum: Millis = remaining.iter().sum();
        Some(sum.checked_div(remaining.len() as Millis).unwrap_or(age))
    }

    /// Returns whether a job that was submitted at `since` should wait for the
    /// store. The job will be late if it is accepted more than `slack` after
    /// that. It should wait if the store should be back before that time and
    /// before the client would retry, or if another leader may still take over
    /// in time.
    pub fn should_wait(
        &self,
        since: Millis,
        slack: Millis,
        now: Millis,
    ) -> bool {
        let Some(remaining) = self.remaining(now) else { return true };
        let started = self.started_at.unwrap_or(now);
        now < started + LEADER_CHANGE
            || now + remaining < since + slack.min(RETRY_AFTER)
    }
}

impl Scheduler {
    /// Returns whether a job that is submitted now should wait for the store.
    pub(super) fn may_wait_for_store(
        &self,
        job: &Job,
        queue: &Queue,
        now: Millis,
    ) -> bool {
        self.store_outages.should_wait(now, slack(job, queue), now)
    }

    /// Refuses the new jobs that should not wait for the store any longer. No
    /// commit holds them, so they never run.
    pub(super) fn refuse_overlong_waits(&mut self, now: Millis) {
        if !self.store_outages.is_active() {
            return;
        }
        for job in self.commits.take_accepted() {
            if self.waits_too_long(job, now) {
                self.refuse_new(job, now);
            } else {
                self.commits.job_accepted(job, now);
            }
        }
    }

    fn waits_too_long(&self, job: JobId, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&job) else { return true };
        let slack = slack(&live.job, &live.queue);
        !self.store_outages.should_wait(live.arrived_at, slack, now)
    }

    /// Drops a job that is not written, and refuses the requests that wait for
    /// it.
    pub(super) fn refuse_new(&mut self, job: JobId, now: Millis) {
        let Some(live) = self.jobs.remove(&job) else { return };
        self.record_refusal(job, live.arrived_at, now);
        self.drop_reservations(job);
        self.drop_advice_calls(job);
        for id in live.submitters.into_iter().chain(live.cancellers) {
            self.count("refused_store_trouble");
            self.reply(id, Outcome::Refused(RETRY_AFTER));
        }
    }

    /// Handles that the store has declined the commit in flight, so nothing of
    /// it is done. The commit is retried without the new jobs that should not
    /// wait for it.
    pub(super) fn commit_declined(
        &mut self,
        mut changes: Vec<Change>,
        now: Millis,
    ) {
        let commit = self.commits.in_flight();
        let Some((sent_at, number, accepted)) = commit else { return };
        if !self.is_enabled(Mechanism::AfterOutage) {
            return self.actions.push(Action::Commit(changes));
        }
        if self.store_outages.begin(sent_at) {
            self.count("outages");
        }
        let refused: BTreeSet<JobId> = accepted
            .into_iter()
            .filter(|job| self.waits_too_long(*job, now))
            .collect();
        let name = record::record_name(number);
        if !refused.is_empty() && remove_jobs(&mut changes, &name, &refused) {
            for job in refused {
                self.commits.withdraw(job);
                self.count("withdrawn");
                self.refuse_new(job, now);
            }
        }
        self.refuse_overlong_waits(now);
        self.actions.push(Action::Commit(changes));
    }
}

/// Removes jobs from the record with this name. Returns `false` if the record
/// can't be decoded.
fn remove_jobs(
    changes: &mut [Change],
    name: &str,
    jobs: &BTreeSet<JobId>,
) -> bool {
    let values = changes.iter_mut().filter_map(|change| match change {
        Change::Put { name: of, value } if of == name => Some(value),
        _ => None,
    });
    for value in values {
        let Ok(mut record) = Record::read(value) else {
            return false;
        };
        record.accepted.retain(|(job, _)| !jobs.contains(&job.id));
        *value = record.write();
    }
    true
}
