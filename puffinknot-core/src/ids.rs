/*!
Names of the things that the core speaks of.

Each kind of name is a type of its own, so that a caller can't be passed
where a target is meant.
*/

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds. Points are on the monotonic
/// clock of the VM unless a field says otherwise.
pub type Millis = u64;

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
            /// The name as text.
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
    /// One run of the daemon on an entry VM: the VM's name and a suffix
    /// that differs for each start, so that a restarted VM is a new member.
    VmId
}
name! {
    /// The name of a data centre.
    DcName
}
name! {
    /// A target: a worker or an executor.
    TargetId
}
name! {
    /// A caller, as named in the operators' file.
    CallerId
}
name! {
    /// A task: the name of its job and its index, as in `nightly/7`.
    TaskId
}

impl TaskId {
    /// The task with this index in a job.
    pub fn new(job: &str, index: u32) -> Self {
        Self(format!("{job}/{index}"))
    }

    /// The name of the job this task belongs to.
    pub fn job(&self) -> &str {
        self.0.rsplit_once('/').map_or(&self.0, |(job, _)| job)
    }

    /// The index of the task in its job.
    pub fn index(&self) -> u32 {
        self.0
            .rsplit_once('/')
            .and_then(|(_, index)| index.parse().ok())
            .unwrap_or(0)
    }
}

/// The generation of a contract. It only ever grows, and a target refuses
/// work under an epoch lower than the highest it has seen.
///
/// Two VMs that claim a contract at the same time without the platform may
/// choose the same number; the name of the claimant then decides, so that
/// epochs of different claimants are never equal.
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
    /// The number; zero means that nobody has held the contract yet.
    pub number: u64,
    /// The claimant.
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
