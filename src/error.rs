/*!
The error type of this crate.
*/

use std::fmt;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A setting is missing or invalid.
    Setting,
    /// A listener or the control thread can't be started.
    Listen,
    /// The platform's key-value service gave no usable response.
    Platform,
    /// The VM list can't be fetched or is malformed.
    VmList,
    /// A request to an entry VM failed.
    Link,
    /// A file can't be read or is invalid.
    File,
}

/// An error with its remedy: what to do about it.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    problem: String,
    remedy: String,
}

impl Error {
    /// Creates an error from its description and its remedy.
    pub fn new(
        kind: ErrorKind,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Error {
        let (problem, remedy) = (problem.into(), remedy.into());
        Error { kind, problem, remedy }
    }

    /// The kind of the error.
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

/// A result with this crate's error type.
pub type Result<T, E = Error> = std::result::Result<T, E>;
