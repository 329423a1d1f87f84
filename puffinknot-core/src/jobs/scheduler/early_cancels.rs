/*!
Cancellations of jobs that have not arrived.

A client that got no answer to its submission may cancel the job, and the
cancellation may overtake the submission, which waits at a suspended node or on
a slow connection. The answer that there is no such job must still be true when
the submission arrives. Such a cancellation is therefore stored before it is
answered. A submission that arrives later is accepted as a job that has been
cancelled, as if the cancellation had come second.

The number of cancellations is limited, since anyone may cancel any id. Beyond
the limit they are refused, which promises nothing. Half of the room is for
whoever comes; the other half is divided evenly among the client accounts and
the callers without one, so that none of them can use up the room of others.
*/

use std::collections::{BTreeMap, VecDeque};

use crate::ids::Millis;
use crate::jobs::message::{Outcome, RequestId};
use crate::jobs::model::JobId;
use crate::jobs::policy::Queue;
use crate::jobs::record::EarlyCancel;
use crate::jobs::scheduler::authorization::JobScope;
use crate::jobs::scheduler::requests::RETRY_AFTER;
use crate::jobs::scheduler::Scheduler;

/// The most cancellations that are remembered.
const MAX_EARLY_CANCELS: usize = MAX_UNSHARED + MAX_SHARED;
/// How many of them are for whoever comes first.
const MAX_UNSHARED: usize = 20_000;
/// How many of them are divided among the accounts.
const MAX_SHARED: usize = 20_000;
/// The most cancellations in one commit.
const MAX_PER_COMMIT: usize = 500;

/// Whether a cancellation is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Status {
    Stored,
    /// These requests are answered once it is stored.
    Waiting(Vec<RequestId>),
}

/// The cancellations that are remembered.
#[derive(Clone, Debug, Default)]
pub(super) struct EarlyCancels {
    known: BTreeMap<EarlyCancel, Status>,
    /// How many of them each account has. Callers without one count as one.
    held: BTreeMap<Option<String>, usize>,
    /// The cancellations that are in no commit yet.
    unwritten: VecDeque<EarlyCancel>,
    /// When each stored cancellation may be forgotten, in order.
    forget_at: VecDeque<(Millis, EarlyCancel)>,
}

impl EarlyCancels {
    /// Adds a cancellation that is stored. Returns the requests that have
    /// waited for that.
    pub fn insert_stored(
        &mut self,
        cancel: EarlyCancel,
        until: Millis,
    ) -> Vec<RequestId> {
        let former = self.insert(cancel.clone(), Status::Stored);
        self.forget_at.push_back((until, cancel));
        match former {
            Some(Status::Waiting(requests)) => requests,
            Some(Status::Stored) | None => Vec::new(),
        }
    }

    fn insert(
        &mut self,
        cancel: EarlyCancel,
        status: Status,
    ) -> Option<Status> {
        let account = cancel.account.clone();
        let former = self.known.insert(cancel, status);
        if former.is_none() {
            *self.held.entry(account).or_default() += 1;
        }
        former
    }

    fn remove(&mut self, cancel: &EarlyCancel) {
        if self.known.remove(cancel).is_none() {
            return;
        }
        if let Some(held) = self.held.get_mut(&cancel.account) {
            *held -= 1;
            if *held == 0 {
                self.held.remove(&cancel.account);
            }
        }
    }

    /// Whether there is room for another cancellation of an account, if the
    /// policy has this number of accounts.
    fn has_room(&self, account: &Option<String>, accounts: usize) -> bool {
        let share = MAX_SHARED / (accounts + 1);
        let held = self.held.get(account).copied().unwrap_or_default();
        let total = self.known.len();
        total < MAX_UNSHARED || (total < MAX_EARLY_CANCELS && held < share)
    }

    /// Whether a job was cancelled before it arrived.
    pub fn contains(&self, cancel: &EarlyCancel) -> bool {
        self.known.contains_key(cancel)
    }

    /// Whether any cancellation is in no commit yet.
    pub fn is_any_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Takes the cancellations that are to be in the next commit.
    pub fn take_unwritten(&mut self) -> Vec<EarlyCancel> {
        let count = self.unwritten.len().min(MAX_PER_COMMIT);
        self.unwritten.drain(..count).collect()
    }

    /// Forgets what need not be remembered any more.
    pub fn forget(&mut self, now: Millis) {
        while self.forget_at.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, cancel)) = self.forget_at.pop_front() {
                self.remove(&cancel);
            }
        }
    }
}

/// The cancellation of a job through a queue.
pub(super) fn early_cancel(
    job: JobId,
    scope: JobScope,
    queue: &Queue,
) -> EarlyCancel {
    EarlyCancel {
        job,
        account: scope.owner(),
        host: queue.host.to_ascii_lowercase(),
        prefix: queue.prefix.clone(),
    }
}

impl Scheduler {
    /// Handles the cancellation of a job that its caller can't have submitted
    /// already.
    pub(super) fn cancel_early(
        &mut self,
        id: RequestId,
        cancel: EarlyCancel,
        now: Millis,
    ) {
        match self.early_cancels.known.get_mut(&cancel) {
            Some(Status::Stored) => {
                return self.reply(id, Outcome::NoSuchJob);
            }
            Some(Status::Waiting(requests)) => return requests.push(id),
            None => {}
        }
        let accounts = self.policy.accounts.len();
        let refused = if self.commits.is_stalled(now) {
            Some("refused_store_trouble")
        } else if !self.early_cancels.has_room(&cancel.account, accounts) {
            Some("refused_early_cancels_full")
        } else {
            None
        };
        if let Some(reason) = refused {
            self.count(reason);
            return self.reply(id, Outcome::Refused(RETRY_AFTER));
        }
        self.count("cancelled_early");
        let waiting = Status::Waiting(vec![id]);
        self.early_cancels.insert(cancel.clone(), waiting);
        self.early_cancels.unwritten.push_back(cancel);
        self.commits.schedule(now);
    }

    /// Answers the requests that have waited for a cancellation to be stored.
    pub(super) fn early_cancel_stored(
        &mut self,
        cancel: EarlyCancel,
        now: Millis,
    ) {
        let until = now + self.config.ended_retention;
        for id in self.early_cancels.insert_stored(cancel, until) {
            self.reply(id, Outcome::NoSuchJob);
        }
    }
}
