/*!
What becomes of new jobs while the store is away.

A job is accepted only once it is written, so that nobody can accept one while
the store does not answer. Its client is told to come back at once if waiting
would not serve it sooner than that. How much longer an outage should last is
reckoned from earlier ones that had lasted as long; if there is none, as long
again as it has lasted.

A commit that the store has declined has not been made and never will be.
Its new jobs are taken out of it, and their clients told, too. If no answer
came, it may still be made: its jobs may be accepted, so that their clients
can't be told that they are not.

What runs and what was accepted goes on: executors are the arbiters of what
runs. That a job has ended is not said before it is written, or a successor
that can't reach its executors any more would run it again.
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

/// If the store turns away this leader only, another node leads after so long,
/// in milliseconds: the lead is offered after three failures, about 0.2 s, and
/// to a second node 0.25 s later. Its clients are served sooner by that one
/// than if they came back.
const LEAD_MOVES: Millis = 500;
/// So many outages are remembered.
const REMEMBERED: usize = 16;

/// The outages of the store in this tenure.
#[derive(Debug, Default)]
pub(super) struct Outages {
    /// Since when the store is away, if it is.
    since: Option<Millis>,
    /// How long the last ones have lasted, in milliseconds.
    lasted: VecDeque<Millis>,
}

impl Outages {
    /// The store does not take what was sent to it then. Returns whether that
    /// is news.
    pub fn begin(&mut self, sent_at: Millis) -> bool {
        let news = self.since.is_none();
        self.since.get_or_insert(sent_at);
        news
    }

    /// Whether the store is away.
    pub fn on(&self) -> bool {
        self.since.is_some()
    }

    /// The store takes what is sent to it.
    pub fn end(&mut self, now: Millis) {
        let Some(since) = self.since.take() else { return };
        self.lasted.push_back(now.saturating_sub(since));
        if self.lasted.len() > REMEMBERED {
            self.lasted.pop_front();
        }
    }

    /// How much longer the store should be away, in milliseconds, if it is.
    fn left(&self, now: Millis) -> Option<Millis> {
        let age = now.saturating_sub(self.since?);
        let longer = self.lasted.iter().filter_map(|all| {
            let left = all.saturating_sub(age);
            (left > 0).then_some(left)
        });
        let longer: Vec<Millis> = longer.collect();
        let sum: Millis = longer.iter().sum();
        Some(sum.checked_div(longer.len() as Millis).unwrap_or(age))
    }

    /// Whether a job that was handed in then, and is late if it is accepted
    /// after `slack`, is to wait for the store. One that should be late is
    /// refused, and so is one whose client would be back as soon.
    pub fn bears(&self, since: Millis, slack: Millis, now: Millis) -> bool {
        let Some(left) = self.left(now) else { return true };
        let begun = self.since.unwrap_or(now);
        now < begun + LEAD_MOVES || now + left < since + slack.min(RETRY_AFTER)
    }
}

impl Scheduler {
    /// Whether a job that comes now is to wait for the store.
    pub(super) fn may_wait_for_store(
        &self,
        job: &Job,
        queue: &Queue,
        now: Millis,
    ) -> bool {
        self.outages.bears(now, slack(job, queue), now)
    }

    /// Refuses the new jobs that are not to wait for the store any longer.
    /// They are in no commit, so that they never run.
    pub(super) fn refuse_hopeless(&mut self, now: Millis) {
        if !self.outages.on() {
            return;
        }
        for job in self.commits.take_accepted() {
            if self.is_hopeless(job, now) {
                self.refuse_new(job, now);
            } else {
                self.commits.job_accepted(job, now);
            }
        }
    }

    fn is_hopeless(&self, job: JobId, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&job) else { return true };
        let slack = slack(&live.job, &live.queue);
        !self.outages.bears(live.arrived_at, slack, now)
    }

    /// Drops a job that is not written, and tells those who wait for it.
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

    /// The store has declined the outstanding commit: nothing of it is done.
    /// It is made again without the new jobs that are not to wait for it.
    pub(super) fn commit_declined(
        &mut self,
        mut changes: Vec<Change>,
        now: Millis,
    ) {
        let batch = self.commits.under_way();
        let Some((sent_at, number, accepted)) = batch else { return };
        if !self.is_enabled(Mechanism::AfterOutage) {
            return self.actions.push(Action::Commit(changes));
        }
        if self.outages.begin(sent_at) {
            self.count("outages");
        }
        let hopeless: BTreeSet<JobId> = accepted
            .into_iter()
            .filter(|job| self.is_hopeless(*job, now))
            .collect();
        let name = record::record_name(number);
        if !hopeless.is_empty() && withdraw(&mut changes, &name, &hopeless) {
            for job in hopeless {
                self.commits.withdraw(job);
                self.count("withdrawn");
                self.refuse_new(job, now);
            }
        }
        self.refuse_hopeless(now);
        self.actions.push(Action::Commit(changes));
    }
}

/// Takes jobs out of the record of this name. Returns whether it could be
/// read.
fn withdraw(
    changes: &mut [Change],
    name: &str,
    jobs: &BTreeSet<JobId>,
) -> bool {
    let values = changes.iter_mut().filter_map(|change| match change {
        Change::Put { name: of, value } if of == name => Some(value),
        _ => None,
    });
    for value in values {
        let Ok(mut record) = record::decode::<Record>(value) else {
            return false;
        };
        record.accepted.retain(|(job, _)| !jobs.contains(&job.id));
        *value = record::encode(&record);
    }
    true
}
