/*!
Who may call a queue, and whose a job is.

The leader decides, by the newest policy that it knows. The node that took the
call may know a newer one, so a call says which it knows: a leader that is
behind can't tell a dropped key from a good one, and has the call repeated
until it has caught up.
*/

use crate::jobs::accounts::Caller;
use crate::jobs::message::Outcome;
use crate::jobs::model::JobId;
use crate::jobs::scheduler::Scheduler;

/// Asked again at once, by the node that took the call.
const ASK_AGAIN: Outcome = Outcome::Refused(0);

/// Whose jobs a call is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Admitted {
    /// Anyone's: the queue is open.
    Anyone,
    /// Those of this client account.
    Account(String),
}

impl Admitted {
    /// Whether it may know of a job of this account. What was handed in while
    /// its queue was open belongs to none, and to whoever knows its id.
    pub fn may_know(&self, owner: Option<&str>) -> bool {
        match (self, owner) {
            (Admitted::Anyone, _) | (_, None) => true,
            (Admitted::Account(name), Some(owner)) => name == owner,
        }
    }

    /// The account that a job belongs to which is handed in so.
    pub fn owner(self) -> Option<String> {
        match self {
            Admitted::Anyone => None,
            Admitted::Account(name) => Some(name),
        }
    }
}

impl Scheduler {
    /// Whose jobs a call on a queue is about.
    ///
    /// # Errors
    ///
    /// The answer, if it may not be made.
    pub(super) fn admit(
        &mut self,
        caller: &Caller,
        queue: &str,
    ) -> Result<Admitted, Outcome> {
        if caller.policy > self.policy.version {
            self.count("refused_policy_behind");
            return Err(ASK_AGAIN);
        }
        let Some(queue) = self.queues.get(queue) else {
            self.count("refused_no_queue");
            return Err(Outcome::NoSuchQueue);
        };
        if queue.open {
            return Ok(Admitted::Anyone);
        }
        let key = caller.key.as_ref();
        match key.and_then(|key| self.keys.find(key)) {
            Some(account) => Ok(Admitted::Account(account.to_string())),
            None => {
                self.count("refused_no_key");
                Err(Outcome::NoSuchKey)
            }
        }
    }

    /// Whether a caller may know of a job. One that it may not know is
    /// answered for as one that does not exist.
    pub(super) fn may_know(&self, who: &Admitted, job: JobId) -> bool {
        if let Some(live) = self.jobs.get(&job) {
            return who.may_know(live.job.account.as_deref());
        }
        let ended = self.ended.jobs.get(&job);
        ended.is_some_and(|ended| who.may_know(ended.account.as_deref()))
    }
}
