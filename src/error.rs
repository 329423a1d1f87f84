/*!
The error type of the library.
*/

use std::fmt;

/// What kind of thing went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A setting is missing or wrong.
    Setting,
    /// An address can't be listened on.
    Listen,
    /// The platform's key-value service gave no usable answer.
    Platform,
    /// The VM list gave no usable answer.
    VmList,
    /// A peer could not be reached or is not one of ours.
    Link,
    /// The operators' file is not in order.
    File,
}

/// An error, with what to do about it.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    problem: String,
    remedy: String,
}

impl Error {
    /// An error with its remedy.
    pub fn new(
        kind: ErrorKind,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Error {
        let (problem, remedy) = (problem.into(), remedy.into());
        Error { kind, problem, remedy }
    }

    /// What kind of thing went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.problem, self.remedy)
    }
}

impl std::error::Error for Error {}

/// A result of the library.
pub type Result<T, E = Error> = std::result::Result<T, E>;
