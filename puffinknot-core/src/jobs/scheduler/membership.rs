/*!
The lives of executors: how the leader comes to know of one, and by what it
takes one for over.

What runs on an executor is given up with its life, or when its lease has
lapsed; it is then started elsewhere. Each way by which that happens is named
by [`IncarnationEnd`] and logged with what was known of the executor, since a wrong
one makes tasks run twice.
*/

use crate::ids::Millis;
use crate::jobs::executor::{
    DescriptionSource, Executor, ExecutorInfo, Liveness,
};
use crate::jobs::message::{Action, ExecutorIndex, IncarnationEnd};
use crate::jobs::scheduler::Scheduler;

impl IncarnationEnd {
    /// The counter of lives that were over by this.
    fn counter(self) -> &'static str {
        match self {
            IncarnationEnd::AnotherAnswers => "executors_over_another_answers",
            IncarnationEnd::LeftMachine => "executors_over_left_machine",
            IncarnationEnd::Lapsed => "executors_over_lapsed",
            IncarnationEnd::NeverHeard => "executors_over_never_heard",
        }
    }
}

impl Scheduler {
    /// The store lists an executor.
    pub(super) fn executor_listed(&mut self, info: ExecutorInfo, now: Millis) {
        if let Some(index) = self.by_id.get(&info.id).copied() {
            let Some(executor) = self.executors.get_mut(&index) else {
                return;
            };
            executor.listed = true;
            executor.unlisted_at = None;
            if executor.info.born != info.born {
                return self.other_incarnation_listed(index, info, now);
            }
            self.needs_placement |=
                executor.description != DescriptionSource::ByEntry;
            executor.description = DescriptionSource::ByEntry;
            if executor.info != info {
                self.describe(index, info);
                self.needs_placement = true;
            }
            return;
        }
        if !self.is_service_needed(&info.service) {
            // It would be asked, and waited for by a successor, for nothing.
            return self.count("entries_of_unknown_services");
        }
        // Entries may outlive their executors, so that it is not known which
        // of two lives with one address is the newer.
        self.probe_incarnations_at(&info.address, now);
        self.commits.executor_changed(&info.id);
        self.add_executor(info, now);
    }

    /// Takes over what an executor says of itself.
    pub(super) fn describe(
        &mut self,
        index: ExecutorIndex,
        info: ExecutorInfo,
    ) {
        let cordoned = self.cordons.covers(&info.dc);
        self.executors.describe(index, info, cordoned);
        if let Some(executor) = self.executors.get_mut(&index) {
            executor.recompute_free();
        }
    }

    /// Whether the policy names a service, or a job that was accepted before
    /// goes there.
    fn is_service_needed(&self, service: &str) -> bool {
        let mut jobs = self.jobs.values();
        self.policy.serves(service)
            || jobs.any(|live| live.queue.service == service)
    }

    /// The lives that are known with an address.
    pub(super) fn incarnations_at<'a>(
        &'a self,
        address: &'a str,
    ) -> impl Iterator<Item = (ExecutorIndex, &'a Executor)> {
        let there = self.executors.at(address);
        there.filter_map(|index| Some((index, self.executors.get(&index)?)))
    }

    /// Asks the lives that are known with an address: whichever is over is
    /// told by the other's answer.
    fn probe_incarnations_at(&mut self, address: &str, now: Millis) {
        let there = self.incarnations_at(address).map(|(index, _)| index);
        for index in there.collect::<Vec<_>>() {
            self.probe_now(index, now);
        }
    }

    /// Asks an executor without waiting for its turn, also beside a hold
    /// that waits there.
    pub(super) fn probe_now(&mut self, index: ExecutorIndex, now: Millis) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.probe = true;
        executor.next_renewal = now;
        self.renewal_queue.enqueue(index);
    }

    /// Asks an executor then, also beside a hold that waits there.
    pub(super) fn probe_at(&mut self, index: ExecutorIndex, at: Millis) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.probe = true;
        executor.next_probe = executor.next_probe.max(at);
        self.renewal_queue.schedule(at, index);
    }

    /// Takes an executor up, to be asked at once.
    pub(super) fn add_executor(
        &mut self,
        info: ExecutorInfo,
        now: Millis,
    ) -> ExecutorIndex {
        let id = info.id.clone();
        let mut executor = Executor::new(info, now);
        executor.cordoned = self.cordons.covers(&executor.info.dc);
        let index = self.executors.add(executor);
        self.renewal_queue.enqueue(index);
        self.by_id.insert(id, index);
        index
    }

    /// The entry of an executor can't be read: it names none to use. What runs
    /// there goes on.
    pub(super) fn entry_unreadable(&mut self, id: &str) {
        self.count("entries_unreadable");
        let index = self.by_id.get(id);
        let executor = index.and_then(|i| self.executors.get_mut(i));
        if let Some(executor) = executor {
            executor.description = DescriptionSource::Unknown;
        }
    }

    /// The store lists an executor no more. Its entry may have lapsed while
    /// it lives on.
    pub(super) fn executor_unlisted(&mut self, id: &str, now: Millis) {
        let index = self.by_id.get(id);
        let executor = index.and_then(|i| self.executors.get_mut(i));
        if let Some(executor) = executor {
            executor.listed = false;
            if executor.liveness == Liveness::Ready {
                executor.unlisted_at.get_or_insert(now);
            }
        }
    }

    /// A life of an executor is over, and with it all that ran there. It is
    /// given up once the store has confirmed after that that nobody else
    /// leads: a successor may have heard of ends there before.
    pub(super) fn end_incarnation(
        &mut self,
        index: ExecutorIndex,
        why: IncarnationEnd,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        if executor.incarnation_end.is_none() {
            executor.incarnation_end = Some((why, now));
            executor.unanswered_since.get_or_insert(now);
            executor.falls_silent(now);
        }
    }

    /// Gives up the lives that are over, as far as it is confirmed that this
    /// node led by then.
    pub(super) fn give_up_incarnations(&mut self, now: Millis) {
        let confirmed = self.leadership_confirmed_at;
        let over = self.executors.iter().filter_map(|(index, executor)| {
            let (why, at) = executor.incarnation_end?;
            // Ends that it has told of may wait.
            let until =
                confirmed.min(self.reports_processed_until(executor, now));
            (at <= until).then_some((*index, why))
        });
        let over: Vec<(ExecutorIndex, IncarnationEnd)> = over.collect();
        for (index, why) in over {
            self.give_up_incarnation(index, why, now);
        }
    }

    fn give_up_incarnation(
        &mut self,
        index: ExecutorIndex,
        why: IncarnationEnd,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get(&index) else { return };
        self.actions.push(Action::ExecutorOver {
            id: executor.info.id.clone(),
            born: executor.info.born,
            why,
            runs: executor.runs.len() as u32,
            listed: executor.listed,
            heard_before: executor.heard_before(now),
            lease_left: executor.lease_left(now),
        });
        self.count("executors_over");
        self.count(why.counter());
        self.drop_carried_over_runs(index);
        let crash = self.assess_crash(index, why);
        self.detach_in_flight_starts(index, why, now);
        self.give_up_runs(index, why);
        if let Some(crash) = crash {
            self.record_crash(crash, now);
        }
        // Nothing is left there that counts for an account.
        self.unheard_executors.remove(&index);
        if let Some(executor) = self.executors.remove(&index) {
            // Its name may be that of a life that follows it.
            if self.by_id.get(&executor.info.id) == Some(&index) {
                self.by_id.remove(&executor.info.id);
            }
            self.commits.executor_changed(&executor.info.id);
        }
        self.check_takeover(now);
    }

    /// What runs on an executor is lost.
    fn give_up_runs(&mut self, index: ExecutorIndex, why: IncarnationEnd) {
        let Some(executor) = self.executors.get(&index) else { return };
        let given_up = executor.runs.iter().map(|(task, on)| {
            let id = executor.info.id.clone();
            let (ran, survived) =
                (executor.max_runtime(on), executor.survived(on));
            (id, *task, on.run, ran, survived)
        });
        let given_up: Vec<_> = given_up.collect();
        for (executor, task, run, ran, survived) in given_up {
            self.actions.push(Action::RunGivenUp {
                executor,
                task,
                run,
                why,
                ran,
                survived,
            });
            self.conclude_run(index, task, run, None);
        }
    }

    /// Gives up what has certainly lapsed on executors that are silent.
    pub(super) fn expire_leases(&mut self, now: Millis) {
        let settled = self.takeover_complete();
        let confirmed = self.leadership_confirmed_at;
        let lapsed = self.executors.iter().filter_map(|(index, executor)| {
            let known =
                || confirmed.min(self.reports_processed_until(executor, now));
            let why = match executor.liveness {
                Liveness::Silent if executor.expiry < known() => {
                    IncarnationEnd::Lapsed
                }
                // No lease was given to it in this tenure.
                Liveness::Unseen if settled && !executor.listed => {
                    IncarnationEnd::NeverHeard
                }
                _ => return None,
            };
            if !self.missed_last_renewals(executor) {
                return None;
            }
            Some((*index, why, executor.listed))
        });
        let lapsed: Vec<(ExecutorIndex, IncarnationEnd, bool)> =
            lapsed.collect();
        for (index, why, listed) in lapsed {
            match listed {
                true => self.give_up_runs(index, why),
                false => self.give_up_incarnation(index, why, now),
            }
        }
    }
}
