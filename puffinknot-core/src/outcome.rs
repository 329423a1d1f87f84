/*!
How a call can end.

A call was answered, or it certainly did not run, or it may have run; there
is no other outcome. Only code that knows that no byte of the request reached
a target, or that the target refused it, may report [`Outcome::NotRun`].
*/

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::Millis;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => $text:literal,)*) => {
        /// Why a call was refused, retried or left unknown. Each reason has
        /// its own counter.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[non_exhaustive]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in order of declaration.
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
    /// The VM has no room for the body of the call.
    NoRoom => "no-room",
    /// No reachable VM holds the contract.
    NoHolder => "no-holder",
    /// The VM that was asked does not hold the contract, or no longer does.
    NotHolder => "not-holder",
    /// Every slot that the call may use is taken.
    NoSlot => "no-slot",
    /// The caller already uses its whole share of the slots.
    CallerLimit => "caller-limit",
    /// The queue is full.
    QueueFull => "queue-full",
    /// The wait would be longer than the deadline.
    WaitTooLong => "wait-too-long",
    /// The deadline passed before the call was started.
    Expired => "expired",
    /// The deadline passed after the call was started.
    LateAnswer => "late-answer",
    /// The connection to the target could not be established.
    Unreachable => "unreachable",
    /// The target refused the epoch.
    StaleEpoch => "stale-epoch",
    /// The target is leaving or has no free slot.
    TargetRefused => "target-refused",
    /// The connection was lost after the request may have been sent.
    ConnectionLost => "connection-lost",
    /// The connection to the VM chosen for the hop could not be
    /// established.
    PeerUnreachable => "peer-unreachable",
    /// The link to the peer was lost after the request may have been sent.
    PeerLost => "peer-lost",
    /// The contract's new holder can't know whether the call ran before its
    /// term.
    BeforeTenure => "before-tenure",
    /// The key is older than the time for which keys are retained.
    KeyTooOld => "key-too-old",
    /// The time stamp of the key lies in the future.
    KeyTooNew => "key-too-new",
    /// The key table is full.
    KeysFull => "keys-full",
    /// A call with the same key is running.
    StillRunning => "still-running",
    /// A call with the same key has already run.
    AlreadyRan => "already-ran",
    /// The VM is stopping.
    Draining => "draining",
    /// The caller has disconnected.
    CallerGone => "caller-gone",
    /// The retry would exceed the retry budget.
    RetryBudget => "retry-budget",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered, and the answer is complete.
    Answered,
    /// The call certainly did not run.
    NotRun {
        /// The reason.
        reason: Reason,
        /// The time after which to retry, in milliseconds.
        retry_after: Millis,
    },
    /// The call may have run.
    Unknown {
        /// The reason.
        reason: Reason,
        /// The time after which to ask again with the same key, in
        /// milliseconds.
        retry_after: Millis,
    },
}

impl Outcome {
    /// The `retry_after` of an outcome that asking again never changes.
    pub const NEVER: Millis = 0;

    /// The outcome of a call that certainly did not run.
    pub fn not_run(reason: Reason, retry_after: Millis) -> Outcome {
        Outcome::NotRun { reason, retry_after }
    }

    /// The outcome of a call that may have run.
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
