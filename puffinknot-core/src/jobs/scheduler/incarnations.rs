/*!
Lives that follow others under the same name.

An executor may start again under the name that it had. Its next life holds
and knows nothing of before, and numbers its ends anew; what its entry and its
accounts tell of its birth, [`ExecutorInfo::born`], is all that shows it. Each
life is an executor of its own here, with a number of its own, so that nothing
that was learnt of one counts for another.

*Which of two lives is the newer?* Births are read from clocks that jump, and
entries and answers come late. But the lives of one name follow each other, so
that whoever answers a call that was made after a life was heard is no earlier
one than that. Only such an answer ends a life; an entry never does.

*What was ordered of a former life* may have been carried out by the next one,
or may be yet: a name in a call doesn't keep the next life off. So what no
account of the former life has listed is carried over: it is on the next life,
or it is sealed there before its task starts elsewhere.
*/

use std::collections::BTreeSet;

use crate::ids::Millis;
use crate::jobs::executor::{DescriptionSource, ExecutorInfo, PlacedRun};
use crate::jobs::message::{ExecutorIndex, ExecutorReport, IncarnationEnd};
use crate::jobs::model::TaskKey;
use crate::jobs::scheduler::renewals::RETRY;
use crate::jobs::scheduler::Scheduler;
use crate::jobs::speed::Speed;

/// Which life has given an account.
pub(super) enum Answerer {
    /// One that is known.
    Known(ExecutorIndex),
    /// Another, that was born then, if it says so.
    Other(Option<u64>),
    /// It does not say, though lives of its name are told apart.
    Unnamed,
}

impl Scheduler {
    /// Which life has answered a call that was meant for one.
    pub(super) fn identify_answerer(
        &mut self,
        asked: ExecutorIndex,
        answer: &ExecutorReport,
    ) -> Answerer {
        let Some(executor) = self.executors.get(&asked) else {
            return Answerer::Known(asked);
        };
        if answer.born == executor.info.born {
            return Answerer::Known(asked);
        }
        self.count("accounts_of_other_lives");
        let newest = self.newest_incarnation(asked);
        let Some(known) = self.executors.get(&newest) else {
            return Answerer::Known(asked);
        };
        if known.info.born == answer.born {
            return Answerer::Known(newest);
        }
        // What is known of one that was not heard may be another's writing.
        if answer.born.is_none() && known.first_heard.is_some() {
            self.count("accounts_of_no_life");
            return Answerer::Unnamed;
        }
        Answerer::Other(answer.born)
    }

    /// The newest life that is known under the name of one.
    fn newest_incarnation(&self, index: ExecutorIndex) -> ExecutorIndex {
        let executor = self.executors.get(&index);
        let newest = executor.and_then(|e| self.by_id.get(&e.info.id));
        newest.copied().unwrap_or(index)
    }

    /// A life that is not known has given an account.
    pub(super) fn unknown_incarnation_answered(
        &mut self,
        asked: ExecutorIndex,
        born: Option<u64>,
        sent_at: Millis,
        answer: ExecutorReport,
        now: Millis,
    ) {
        let newest = self.newest_incarnation(asked);
        let Some(known) = self.executors.get_mut(&newest) else { return };
        known.incarnation_unsure_since = Some(now);
        let next = match known.first_heard {
            None => self.correct_born(newest, born),
            // A hold that may name ends of the former life is still open: it
            // has to be over before anything can end on the next one.
            Some(_) if known.renewing => return self.probe_later(newest, now),
            Some(heard) if heard < sent_at => {
                self.replace_incarnation(newest, born, now)
            }
            Some(_) => return self.probe_later(newest, now),
        };
        self.mark_responsive(next);
        self.process_report(next, sent_at, answer, now);
    }

    /// It can't be told yet who answers: an account is asked for again, and
    /// nothing is started there meanwhile.
    fn probe_later(&mut self, index: ExecutorIndex, now: Millis) {
        self.count("lives_unclear");
        self.mark_unresponsive(index, now);
        self.probe_at(index, now + RETRY);
    }

    /// A life of which only the entry was known, or the name in the store, is
    /// another than that. Nothing was ordered of it in this tenure.
    fn correct_born(
        &mut self,
        index: ExecutorIndex,
        born: Option<u64>,
    ) -> ExecutorIndex {
        let Some(executor) = self.executors.get_mut(&index) else {
            return index;
        };
        executor.info.born = born;
        executor.description = DescriptionSource::Unknown;
        executor.enrolled = false;
        executor.speed = Speed::default();
        self.commits.executor_changed(&executor.info.id);
        if let Some(info) = executor.take_entry_of(born) {
            executor.description = DescriptionSource::ByEntry;
            self.describe(index, info);
        }
        self.count("executors_reborn");
        index
    }

    /// A life has been followed by another: it is over, and what ran there is
    /// lost. Returns the next one.
    fn replace_incarnation(
        &mut self,
        former: ExecutorIndex,
        born: Option<u64>,
        now: Millis,
    ) -> ExecutorIndex {
        self.count("executors_reborn");
        self.end_incarnation(former, IncarnationEnd::AnotherAnswers, now);
        let Some(before) = self.executors.get_mut(&former) else {
            return former;
        };
        // The list of machines may have told it before; but unlike that, this
        // is certain.
        let at = before.incarnation_end.map_or(now, |(_, at)| at);
        before.incarnation_end = Some((IncarnationEnd::AnotherAnswers, at));
        let (info, described) = match before.take_entry_of(born) {
            Some(info) => (info, DescriptionSource::ByEntry),
            None => {
                let info = ExecutorInfo { born, ..before.info.clone() };
                (info, DescriptionSource::Unknown)
            }
        };
        let (machine, listed) = (before.machine.clone(), before.listed);
        self.commits.executor_changed(&info.id);
        let next = self.add_executor(info, now);
        if let Some(executor) = self.executors.get_mut(&next) {
            executor.description = described;
            executor.machine = machine;
            executor.listed = listed;
        }
        self.carry_over_runs(former, next, now);
        next
    }

    /// What may have been carried out by the next life instead of a former one
    /// counts as ordered of that: its account shows whether it is there.
    fn carry_over_runs(
        &mut self,
        former: ExecutorIndex,
        next: ExecutorIndex,
        now: Millis,
    ) {
        let Some(before) = self.executors.get(&former) else { return };
        let open = before.runs.iter().filter(|(_, on)| !on.listed);
        let open: Vec<(TaskKey, PlacedRun)> =
            open.map(|(task, on)| (*task, on.clone())).collect();
        for (task, on) in open {
            self.remove_run(former, &task);
            if let Some(before) = self.executors.get_mut(&former) {
                before.carried_over.insert(task, on.clone());
            }
            self.assign_to_next(former, next, task, on, now);
        }
        self.probe_now(next, now);
    }

    /// What was carried over and is at work on the next life was never on the
    /// former one, and did it no harm.
    pub(super) fn drop_carried_over_runs(&mut self, former: ExecutorIndex) {
        let newest = self.newest_incarnation(former);
        let Some(next) = self.executors.get(&newest) else { return };
        let there = next.runs.iter().filter(|(_, on)| on.listed);
        let there: BTreeSet<(TaskKey, u64)> =
            there.map(|(task, on)| (*task, on.run)).collect();
        if let Some(former) = self.executors.get_mut(&former) {
            former
                .carried_over
                .retain(|task, on| !there.contains(&(*task, on.run)));
        }
    }

    /// The store lists another life under the name of one. Entries lag, so
    /// that this one may be the newer or the older: it is asked.
    pub(super) fn other_incarnation_listed(
        &mut self,
        index: ExecutorIndex,
        info: ExecutorInfo,
        now: Millis,
    ) {
        self.count("entries_of_other_lives");
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.other = Some(info);
        self.probe_now(index, now);
    }
}
