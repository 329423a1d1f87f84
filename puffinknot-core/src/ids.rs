/*!
Names, times, revisions and epochs.

Each kind of name is a type of its own, so that the compiler rejects a caller
where a target is expected.
*/

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds. Points in time are on the
/// monotonic clock of the VM unless documented otherwise.
pub type Millis = u64;

/// The longest time that is taken from outside, in milliseconds. Sums of
/// thousands of such times do not overflow.
pub const MAX_MILLIS: Millis = 1 << 50;

/// A time from outside, at most [`MAX_MILLIS`]. Negative times count as zero.
pub fn bounded_millis(millis: f64) -> Millis {
    millis.clamp(0.0, MAX_MILLIS as f64) as Millis
}

/// A revision of the platform's key-value service.
pub type Revision = u64;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(s.to_string())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// One run of the daemon on an entry VM: the VM's name and a suffix that
    /// differs for each start, so that a restarted daemon is a new member.
    VmId
}
name! {
    /// The name of a data centre.
    DcName
}
name! {
    /// The name of a target: a worker or an executor.
    TargetId
}
name! {
    /// The name of a caller in the operators' file.
    CallerId
}
name! {
    /// The name of a task: its job and its index, as in `nightly/7`.
    TaskId
}

impl TaskId {
    /// The name of the task with this index in a job.
    pub fn new(job: &str, index: u32) -> Self {
        Self(format!("{job}/{index}"))
    }

    /// The name of the job this task belongs to.
    pub fn job(&self) -> &str {
        self.0.rsplit_once('/').map_or(&self.0, |(job, _)| job)
    }

    /// The index of the task in its job; zero if the name has none.
    pub fn index(&self) -> u32 {
        self.0
            .rsplit_once('/')
            .and_then(|(_, index)| index.parse().ok())
            .unwrap_or(0)
    }
}

/// The epoch of a contract. It only grows, and a target refuses work under an
/// epoch lower than the highest that it has seen.
///
/// Two VMs that claim a contract at the same time without the platform may
/// choose the same number. Epochs are then ordered by the name of the
/// claimant, so that epochs of different claimants are never equal.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Epoch {
    /// The number; zero if no VM has held the contract yet.
    pub number: u64,
    /// The VM that claimed the contract.
    pub holder: VmId,
}

impl Epoch {
    /// The epoch that `holder` claims after this one.
    pub fn next(&self, holder: &VmId) -> Epoch {
        Epoch { number: self.number + 1, holder: holder.clone() }
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.number, self.holder)
    }
}

impl std::str::FromStr for Epoch {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Epoch, Self::Err> {
        let (number, holder) = s.split_once('@').unwrap_or((s, ""));
        Ok(Epoch { number: number.parse()?, holder: holder.into() })
    }
}
