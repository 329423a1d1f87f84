/*!
What is kept in the platform's key-value service, and under which keys.

Everything of a cell lies under one prefix, so that one read gives the whole
and one watch sees every change:

| key | value |
| --- | --- |
| `puffinknot/CELL/config` | the operators' file, as TOML |
| `puffinknot/CELL/contracts/DC` | a [`ContractMap`], as JSON |
| `puffinknot/CELL/progress/DC` | a [`Progress`], as JSON |
| `puffinknot/CELL/member/DC/VM` | a [`Member`], as JSON, under a lease |
*/

use serde::{Deserialize, Serialize};

use crate::contract::ContractMap;
use crate::ids::{DcName, Revision, VmId};
use crate::tasks::Progress;

/// An entry VM that runs the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its data centre.
    pub dc: DcName,
    /// Where its links listen, as IP address and port.
    pub addr: String,
    /// Where it answers operators, as IP address and port.
    pub admin: String,
    /// Whether it is about to stop.
    pub draining: bool,
}

/// The name of a value.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Key {
    /// The operators' file.
    Config,
    /// The contracts of a data centre.
    Contracts(DcName),
    /// The progress of a data centre's batch work.
    Progress(DcName),
    /// A member.
    Member(DcName, VmId),
}

impl Key {
    /// The prefix of all keys of a cell.
    pub fn prefix(cell: &str) -> String {
        format!("puffinknot/{cell}/")
    }

    /// The key as the platform knows it.
    pub fn path(&self, cell: &str) -> String {
        let prefix = Key::prefix(cell);
        match self {
            Key::Config => format!("{prefix}config"),
            Key::Contracts(dc) => format!("{prefix}contracts/{dc}"),
            Key::Progress(dc) => format!("{prefix}progress/{dc}"),
            Key::Member(dc, vm) => format!("{prefix}member/{dc}/{vm}"),
        }
    }

    /// Reads a key of the cell. `None` is a key that is not ours.
    pub fn parse(cell: &str, path: &str) -> Option<Key> {
        let rest = path.strip_prefix(&Key::prefix(cell))?;
        let mut parts = rest.split('/');
        let key = match (parts.next()?, parts.next(), parts.next()) {
            ("config", None, None) => Key::Config,
            ("contracts", Some(dc), None) => Key::Contracts(dc.into()),
            ("progress", Some(dc), None) => Key::Progress(dc.into()),
            ("member", Some(dc), Some(vm)) => {
                Key::Member(dc.into(), vm.into())
            }
            _ => return None,
        };
        parts.next().is_none().then_some(key)
    }
}

/// A value with its form.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Value {
    /// The operators' file, as text.
    Config(String),
    /// The contracts of a data centre.
    Contracts(ContractMap),
    /// The progress of a data centre's batch work.
    Progress(Progress),
    /// A member.
    Member(Member),
}

impl Value {
    /// Reads the value of a key.
    ///
    /// # Errors
    ///
    /// What is wrong with the bytes.
    pub fn parse(key: &Key, bytes: &[u8]) -> Result<Value, String> {
        let json = |err: serde_json::Error| err.to_string();
        Ok(match key {
            Key::Config => {
                let text = std::str::from_utf8(bytes);
                Value::Config(text.map_err(|err| err.to_string())?.into())
            }
            Key::Contracts(_) => {
                Value::Contracts(serde_json::from_slice(bytes).map_err(json)?)
            }
            Key::Progress(_) => {
                Value::Progress(serde_json::from_slice(bytes).map_err(json)?)
            }
            Key::Member(..) => {
                Value::Member(serde_json::from_slice(bytes).map_err(json)?)
            }
        })
    }

    /// The bytes to keep.
    pub fn to_bytes(&self) -> Vec<u8> {
        let json = match self {
            Value::Config(text) => return text.clone().into_bytes(),
            Value::Contracts(map) => serde_json::to_vec(map),
            Value::Progress(progress) => serde_json::to_vec(progress),
            Value::Member(member) => serde_json::to_vec(member),
        };
        // These types hold nothing that JSON can't express.
        json.unwrap_or_default()
    }
}

/// A value with the revision at which it was last changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredEntry {
    /// Its key.
    pub key: Key,
    /// The value.
    pub value: Value,
    /// The revision of its last change.
    pub revision: Revision,
}

/// A compare-and-swap to make.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// The key.
    pub key: Key,
    /// The new value.
    pub value: Value,
    /// The revision of the last change that the writer knows of; zero if
    /// the key has to be absent.
    pub expected_revision: Revision,
    /// The revision that the operators' file must have, if that matters.
    pub expected_config_revision: Option<Revision>,
}

/// How a compare-and-swap ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The value was written at this revision.
    Written(Revision),
    /// Somebody else was faster; nothing was written.
    Conflict,
    /// The answer was lost, so the value may have been written.
    Unknown,
    /// The service could not be asked; nothing was written.
    NotSent,
}
