/*!
Executor membership: how the leader learns of executors, and how it decides
that an incarnation of one has ended.

The runs on an executor are given up when its incarnation ends or when its
lease has expired, and are then started elsewhere. Each reason for that is a
variant of [`IncarnationEnd`]. It is logged together with what was known of the
executor, because a wrong decision makes tasks run twice.
*/

use crate::ids::Millis;
use crate::jobs::executor::{
    DescriptionSource, Executor, ExecutorInfo, Liveness,
};
use crate::jobs::message::{Action, ExecutorIndex, IncarnationEnd};
use crate::jobs::scheduler::Scheduler;

impl IncarnationEnd {
    /// The counter of incarnations that ended for this reason.
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
    /// Handles an entry of an executor in the store.
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
                executor.description != DescriptionSource::Entry;
            executor.description = DescriptionSource::Entry;
            if executor.info != info {
                self.update_info(index, info);
                self.needs_placement = true;
            }
            return;
        }
        if !self.is_service_needed(&info.service) {
            // The executor would be probed, and waited for by a successor, in
            // vain.
            return self.count("entries_of_unknown_services");
        }
        // Entries may outlive their executors, so it is not known which of two
        // incarnations with the same address is the newer one.
        self.probe_incarnations_at(&info.address, now);
        self.commits.executor_changed(&info.id);
        self.add_executor(info, now);
    }

    /// Replaces the information that an executor publishes about itself.
    pub(super) fn update_info(
        &mut self,
        index: ExecutorIndex,
        info: ExecutorInfo,
    ) {
        let cordoned = self.cordons.covers(&info.dc);
        self.executors.set_info(index, info, cordoned);
        if let Some(executor) = self.executors.get_mut(&index) {
            executor.recompute_free();
        }
    }

    /// Whether the policy names a service, or a job that was accepted earlier
    /// needs it.
    fn is_service_needed(&self, service: &str) -> bool {
        let mut jobs = self.jobs.values();
        self.policy.has_service(service)
            || jobs.any(|live| live.queue.service == service)
    }

    /// The known incarnations with an address.
    pub(super) fn incarnations_at<'a>(
        &'a self,
        address: &'a str,
    ) -> impl Iterator<Item = (ExecutorIndex, &'a Executor)> {
        let at_address = self.executors.at_address(address);
        at_address
            .filter_map(|index| Some((index, self.executors.get(&index)?)))
    }

    /// Probes all known incarnations with an address. The answer of the one
    /// that is alive shows that the others have ended.
    fn probe_incarnations_at(&mut self, address: &str, now: Millis) {
        let at_address = self.incarnations_at(address).map(|(index, _)| index);
        for index in at_address.collect::<Vec<_>>() {
            self.probe_now(index, now);
        }
    }

    /// Probes an executor at once, even while a renewal is waiting there.
    pub(super) fn probe_now(&mut self, index: ExecutorIndex, now: Millis) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.probe = true;
        executor.next_renewal = now;
        self.renewal_queue.enqueue(index);
    }

    /// Probes an executor at `at`, even while a renewal is waiting there.
    pub(super) fn probe_at(&mut self, index: ExecutorIndex, at: Millis) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.probe = true;
        executor.next_probe = executor.next_probe.max(at);
        self.renewal_queue.schedule(at, index);
    }

    /// Adds an executor, to be probed at once.
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

    /// Handles an entry that can't be read. The executor can't be used without
    /// it, but its runs go on.
    pub(super) fn entry_unreadable(&mut self, id: &str) {
        self.count("entries_unreadable");
        let index = self.by_id.get(id);
        let executor = index.and_then(|i| self.executors.get_mut(i));
        if let Some(executor) = executor {
            executor.description = DescriptionSource::Unknown;
        }
    }

    /// Handles the removal of an executor's entry from the store. The entry
    /// may have expired while the executor is alive.
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

    /// Records that an incarnation has ended, and all its runs with it. They
    /// are given up only after the store has since confirmed that no other
    /// node leads: a successor may have received run ends from the executor
    /// before.
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
            executor.mark_silent(now);
        }
    }

    /// Gives up the incarnations that have ended, where it is confirmed that
    /// this node still led at that time.
    pub(super) fn give_up_incarnations(&mut self, now: Millis) {
        let confirmed = self.leadership_confirmed_at;
        let ended = self.executors.iter().filter_map(|(index, executor)| {
            let (why, at) = executor.incarnation_end?;
            // Its reports of run ends may still be waiting to be processed.
            let known_until =
                confirmed.min(self.reports_processed_until(executor, now));
            (at <= known_until).then_some((*index, why))
        });
        let ended: Vec<(ExecutorIndex, IncarnationEnd)> = ended.collect();
        for (index, why) in ended {
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
            heard_before: executor.silence(now),
            lease_left: executor.lease_remaining(now),
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
        // Nothing that counts against the limit of a client account can be
        // left there.
        self.unheard_executors.remove(&index);
        if let Some(executor) = self.executors.remove(&index) {
            // The name may already belong to the next incarnation.
            if self.by_id.get(&executor.info.id) == Some(&index) {
                self.by_id.remove(&executor.info.id);
            }
            self.commits.executor_changed(&executor.info.id);
        }
        self.check_takeover(now);
    }

    /// Gives up all runs on an executor as lost.
    fn give_up_runs(&mut self, index: ExecutorIndex, why: IncarnationEnd) {
        let Some(executor) = self.executors.get(&index) else { return };
        let given_up = executor.runs.iter().map(|(task, placed)| {
            let id = executor.info.id.clone();
            let (ran, survived) =
                (executor.max_runtime(placed), executor.min_runtime(placed));
            (id, *task, placed.run, ran, survived)
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

    /// Gives up the runs on silent executors whose leases have certainly
    /// expired. Those executors stay known while the store lists them. Once
    /// the takeover is complete, also gives up executors that were never heard
    /// in this term and that the store doesn't list.
    pub(super) fn expire_leases(&mut self, now: Millis) {
        let takeover_complete = self.takeover_complete();
        let confirmed = self.leadership_confirmed_at;
        let lapsed = self.executors.iter().filter_map(|(index, executor)| {
            let known_until =
                || confirmed.min(self.reports_processed_until(executor, now));
            let why = match executor.liveness {
                Liveness::Silent if executor.lease_expiry < known_until() => {
                    IncarnationEnd::Lapsed
                }
                // It was given no lease in this term.
                Liveness::Unseen if takeover_complete && !executor.listed => {
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
