/*!
How a call can end.

The type is closed: a call was answered, or it certainly did not run, or it
may have run. Only code that knows that no byte of the request reached a
target may say [`Outcome::NotRun`].
*/

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::Millis;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => $text:literal,)*) => {
        /// Why a call was refused, retried or left unknown. Each has a
        /// counter of its own.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[non_exhaustive]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, for listings.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)*];

            /// The name used in headers, counters and logs.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Reason::$name => $text,)*
                }
            }
        }
    };
}

reasons! {
    /// The VM has no configuration yet.
    NoConfig => "no-config",
    /// No VM that can be reached holds the contract.
    NoHolder => "no-holder",
    /// The VM that was asked does not hold the contract (any more).
    NotHolder => "not-holder",
    /// Every slot that the call may use is taken.
    NoSlot => "no-slot",
    /// The caller uses its whole share.
    CallerLimit => "caller-limit",
    /// The queue is full.
    QueueFull => "queue-full",
    /// The wait would be longer than the deadline.
    WaitTooLong => "wait-too-long",
    /// The deadline passed before the call was started.
    Expired => "expired",
    /// The deadline passed after the call was started.
    LateAnswer => "late-answer",
    /// The target could not be connected to.
    Unreachable => "unreachable",
    /// The target refused the epoch.
    StaleEpoch => "stale-epoch",
    /// The target is leaving or has no room.
    TargetRefused => "target-refused",
    /// The connection was lost after the request may have been sent.
    ConnectionLost => "connection-lost",
    /// The VM asked for the hop could not be connected to.
    PeerUnreachable => "peer-unreachable",
    /// The link was lost after the request may have been sent.
    PeerLost => "peer-lost",
    /// The contract's new holder can't know whether the call ran before.
    BeforeTenure => "before-tenure",
    /// The key is older than keys are remembered.
    KeyTooOld => "key-too-old",
    /// The key is stamped in the future.
    KeyTooNew => "key-too-new",
    /// The memory for keys is full.
    KeysFull => "keys-full",
    /// The same call is running now.
    StillRunning => "still-running",
    /// The same call has already run.
    AlreadyRan => "already-ran",
    /// The VM is stopping.
    Draining => "draining",
    /// The caller has gone away.
    CallerGone => "caller-gone",
    /// Retries would exceed their budget.
    RetryBudget => "retry-budget",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered, and the answer is whole.
    Answered,
    /// The call certainly did not run.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Millis,
    },
    /// The call may have run.
    Unknown {
        /// Why.
        reason: Reason,
        /// When to ask again, with the same key.
        retry_after: Millis,
    },
}

impl Outcome {
    /// In place of a time to come back: nothing more will ever be known.
    pub const NEVER: Millis = 0;

    /// A refusal.
    pub fn not_run(reason: Reason, retry_after: Millis) -> Outcome {
        Outcome::NotRun { reason, retry_after }
    }

    /// An end without knowledge of whether the call ran.
    pub fn unknown(reason: Reason, retry_after: Millis) -> Outcome {
        Outcome::Unknown { reason, retry_after }
    }

    /// The reason, unless the call was answered.
    pub fn reason(&self) -> Option<Reason> {
        match *self {
            Outcome::Answered => None,
            Outcome::NotRun { reason, .. } => Some(reason),
            Outcome::Unknown { reason, .. } => Some(reason),
        }
    }
}
