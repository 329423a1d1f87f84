/*!
Authorization of calls on queues, and ownership of jobs.

The leader authorizes calls by the newest policy that it knows. The node that
received the call may know a newer one, so each call carries that node's policy
version. A leader with an older policy can't tell a revoked key from a valid
one, and has the call retried until it has the newer policy. If the node has an
older policy, in which the name of the queue may have stood for another one,
the call is retried until the node has the newer policy.
*/

use crate::jobs::accounts::CallCredentials;
use crate::jobs::message::Outcome;
use crate::jobs::model::JobId;
use crate::jobs::scheduler::Scheduler;

/// The node that received the call retries it at once, by its newest policy.
const RETRY_NOW: Outcome = Outcome::Refused(0);

/// The jobs that a call has access to, by owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum JobScope {
    /// Jobs of any owner: the queue is open.
    Anyone,
    /// Jobs of this client account.
    Account(String),
}

impl JobScope {
    /// Whether the caller may access a job of this account. A job submitted
    /// while its queue was open has no account, and is accessible to anyone
    /// who knows its id.
    pub fn may_access(&self, owner: Option<&str>) -> bool {
        match (self, owner) {
            (JobScope::Anyone, _) | (_, None) => true,
            (JobScope::Account(name), Some(owner)) => name == owner,
        }
    }

    /// The account that owns a job submitted by this call.
    pub fn owner(self) -> Option<String> {
        match self {
            JobScope::Anyone => None,
            JobScope::Account(name) => Some(name),
        }
    }
}

impl Scheduler {
    /// Authorizes a call on a queue. Returns the jobs that it has access to.
    ///
    /// # Errors
    ///
    /// The reply to the caller if the call is not allowed.
    pub(super) fn authorize(
        &mut self,
        caller: &CallCredentials,
        queue: &str,
    ) -> Result<JobScope, Outcome> {
        if caller.policy > self.policy.version {
            self.count("refused_policy_behind");
            return Err(RETRY_NOW);
        }
        let outdated = caller.policy < self.policy.version;
        if outdated && !self.queues.is_unchanged_since(queue, caller.policy) {
            self.count("refused_route_changed");
            return Err(RETRY_NOW);
        }
        let Some(queue) = self.queues.get(queue) else {
            self.count("refused_no_queue");
            return Err(Outcome::NoSuchQueue);
        };
        if queue.open {
            return Ok(JobScope::Anyone);
        }
        let key = caller.key.as_ref();
        match key.and_then(|key| self.keys.find(key)) {
            Some(account) => Ok(JobScope::Account(account.to_string())),
            None => {
                self.count("refused_no_key");
                Err(Outcome::NoSuchKey)
            }
        }
    }

    /// Whether a caller may access a job. A job that it may not access is
    /// reported to it as nonexistent.
    pub(super) fn may_access(&self, scope: &JobScope, job: JobId) -> bool {
        if let Some(live) = self.jobs.get(&job) {
            return scope.may_access(live.job.account.as_deref());
        }
        let ended = self.ended.jobs.get(&job);
        ended.is_some_and(|ended| scope.may_access(ended.account.as_deref()))
    }
}
