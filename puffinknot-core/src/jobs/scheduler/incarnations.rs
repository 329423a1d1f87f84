/*!
Tells apart the incarnations of an executor, which share its name.

An executor that restarts may keep its name. Its next incarnation remembers
nothing of the previous one and numbers its run ends from the start again. Only
[`ExecutorInfo::born`], which is part of its entry and of its reports, tells
the two apart. The scheduler treats each incarnation as an executor of its own
with an index of its own, so that nothing learnt about one is applied to
another.

*Which of two incarnations is the newer one?* Birth times are read from clocks
that may jump, and entries and answers may be delayed. But incarnations of one
name never overlap, so whoever answers a call that was sent after an
incarnation was heard is that incarnation or a later one. Only such an answer
shows that an incarnation was replaced; an entry never does.

*What happens to orders for an ended incarnation?* The next incarnation may
have carried them out, or may do so later: an executor's name in a call does
not keep the next incarnation from accepting it. So each run that no report of
the ended incarnation has listed is carried over: either it is found on the
next incarnation, or it is stopped there, which also rejects a start that
arrives late, before its task starts elsewhere.
*/

use std::collections::BTreeSet;

use crate::ids::Millis;
use crate::jobs::executor::{ExecutorInfo, PlacedRun};
use crate::jobs::message::{ExecutorIndex, ExecutorReport, IncarnationEnd};
use crate::jobs::model::TaskKey;
use crate::jobs::scheduler::renewals::RETRY_DELAY;
use crate::jobs::scheduler::Scheduler;
use crate::jobs::speed::Speed;

/// The incarnation that has made a report.
pub(super) enum Answerer {
    /// An incarnation that is known.
    Known(ExecutorIndex),
    /// An incarnation that is not known, with the birth time that it reports,
    /// if any.
    New(Option<u64>),
    /// The report has no birth time, though incarnations of this name have
    /// them.
    Unidentified,
}

impl Scheduler {
    /// Finds the incarnation that has answered a call meant for `asked`.
    pub(super) fn identify_answerer(
        &mut self,
        asked: ExecutorIndex,
        report: &ExecutorReport,
    ) -> Answerer {
        let Some(executor) = self.executors.get(&asked) else {
            return Answerer::Known(asked);
        };
        if report.born == executor.info.born {
            return Answerer::Known(asked);
        }
        self.count("accounts_of_other_lives");
        let newest = self.newest_incarnation(asked);
        let Some(known) = self.executors.get(&newest) else {
            return Answerer::Known(asked);
        };
        if known.info.born == report.born {
            return Answerer::Known(newest);
        }
        // The birth time of an incarnation that was never heard comes from its
        // entry, which another one may have written.
        if report.born.is_none() && known.first_heard.is_some() {
            self.count("accounts_of_no_life");
            return Answerer::Unidentified;
        }
        Answerer::New(report.born)
    }

    /// The newest known incarnation with the name of `index`.
    fn newest_incarnation(&self, index: ExecutorIndex) -> ExecutorIndex {
        let executor = self.executors.get(&index);
        let newest = executor.and_then(|e| self.by_id.get(&e.info.id));
        newest.copied().unwrap_or(index)
    }

    /// Handles a report of an incarnation that is not known.
    pub(super) fn unknown_incarnation_answered(
        &mut self,
        asked: ExecutorIndex,
        born: Option<u64>,
        sent_at: Millis,
        report: ExecutorReport,
        now: Millis,
    ) {
        let newest = self.newest_incarnation(asked);
        let Some(known) = self.executors.get_mut(&newest) else { return };
        known.incarnation_unsure_since = Some(now);
        let next = match known.first_heard {
            None => self.correct_born(newest, born),
            // An open renewal may acknowledge run ends of the former
            // incarnation. It has to be over before any run can end on the
            // next one.
            Some(_) if known.renewing => return self.probe_later(newest, now),
            Some(first_heard) if first_heard < sent_at => {
                self.replace_incarnation(newest, born, now)
            }
            Some(_) => return self.probe_later(newest, now),
        };
        self.mark_responsive(next);
        self.process_report(next, sent_at, report, now);
    }

    /// Asks for another report, since it is not clear yet which incarnation
    /// answers. Until then, nothing is started there.
    fn probe_later(&mut self, index: ExecutorIndex, now: Millis) {
        self.count("lives_unclear");
        self.mark_unresponsive(index, now);
        self.probe_at(index, now + RETRY_DELAY);
    }

    /// Corrects the birth time of an incarnation that is known only from its
    /// entry or from the store. Nothing was ordered from it in this term.
    fn correct_born(
        &mut self,
        index: ExecutorIndex,
        born: Option<u64>,
    ) -> ExecutorIndex {
        let Some(executor) = self.executors.get_mut(&index) else {
            return index;
        };
        executor.enrolled = false;
        executor.speed = Speed::default();
        self.commits.executor_changed(&executor.info.id);
        let (info, description) = executor.describe_incarnation(born);
        executor.description = description;
        self.update_info(index, info);
        self.count("executors_reborn");
        index
    }

    /// Ends an incarnation that the next one has replaced; its runs are lost.
    /// Returns the index of the next one.
    fn replace_incarnation(
        &mut self,
        former: ExecutorIndex,
        born: Option<u64>,
        now: Millis,
    ) -> ExecutorIndex {
        self.count("executors_reborn");
        self.end_incarnation(former, IncarnationEnd::AnotherAnswers, now);
        let Some(ended) = self.executors.get_mut(&former) else {
            return former;
        };
        // The machine list may have ended it before, but only this answer is
        // certain.
        let ended_at =
            ended.incarnation_end.map_or(now, |(_, ended_at)| ended_at);
        ended.incarnation_end =
            Some((IncarnationEnd::AnotherAnswers, ended_at));
        let (info, description) = ended.describe_incarnation(born);
        let (machine, listed) = (ended.machine.clone(), ended.listed);
        self.commits.executor_changed(&info.id);
        let next = self.add_executor(info, now);
        if let Some(executor) = self.executors.get_mut(&next) {
            executor.description = description;
            executor.machine = machine;
            executor.listed = listed;
        }
        self.carry_over_runs(former, next, now);
        next
    }

    /// Assigns to the next incarnation all runs that it may have started
    /// instead of the former one. Its report shows whether they are there.
    fn carry_over_runs(
        &mut self,
        former: ExecutorIndex,
        next: ExecutorIndex,
        now: Millis,
    ) {
        let Some(ended) = self.executors.get(&former) else { return };
        let unconfirmed =
            ended.runs.iter().filter(|(_, placed)| !placed.reported);
        let unconfirmed: Vec<(TaskKey, PlacedRun)> = unconfirmed
            .map(|(task, placed)| (*task, placed.clone()))
            .collect();
        for (task, placed) in unconfirmed {
            self.remove_run(former, &task);
            if let Some(ended) = self.executors.get_mut(&former) {
                ended.carried_over.insert(task, placed.clone());
            }
            self.assign_to_next(former, next, task, placed, now);
        }
        self.probe_now(next, now);
    }

    /// Forgets those carried-over runs that are active on the next
    /// incarnation: they were never on the former one, and did not crash it.
    pub(super) fn drop_carried_over_runs(&mut self, former: ExecutorIndex) {
        let newest = self.newest_incarnation(former);
        let Some(next) = self.executors.get(&newest) else { return };
        let listed_runs =
            next.runs.iter().filter(|(_, placed)| placed.reported);
        let listed_runs: BTreeSet<(TaskKey, u64)> =
            listed_runs.map(|(task, placed)| (*task, placed.run)).collect();
        if let Some(former) = self.executors.get_mut(&former) {
            former.carried_over.retain(|task, placed| {
                !listed_runs.contains(&(*task, placed.run))
            });
        }
    }

    /// The store lists another incarnation under the name of a known one.
    /// Entries may be delayed, so this one may be the newer or the older: the
    /// executor is probed.
    pub(super) fn other_incarnation_listed(
        &mut self,
        index: ExecutorIndex,
        info: ExecutorInfo,
        now: Millis,
    ) {
        self.count("entries_of_other_lives");
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.other_incarnation = Some(info);
        self.probe_now(index, now);
    }
}
