/*!
The keys and values that are stored in the platform's key-value service.

All keys of a cell have one prefix, so that one read returns the whole state
and one watch reports every change:

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
    /// The IP address and port at which it accepts links from other VMs.
    pub addr: String,
    /// The IP address and port at which it serves operators.
    pub admin: String,
    /// Whether it is draining, and about to stop.
    pub draining: bool,
}

/// The key of a stored value.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Key {
    /// The operators' file.
    Config,
    /// The contracts of a data centre.
    Contracts(DcName),
    /// The progress of a data centre's batch jobs.
    Progress(DcName),
    /// A member: an entry VM that runs the daemon.
    Member(DcName, VmId),
}

impl Key {
    /// The prefix of all keys of a cell.
    pub fn prefix(cell: &str) -> String {
        format!("puffinknot/{cell}/")
    }

    /// The key as text, as it is stored by the platform.
    pub fn path(&self, cell: &str) -> String {
        let prefix = Key::prefix(cell);
        match self {
            Key::Config => format!("{prefix}config"),
            Key::Contracts(dc) => format!("{prefix}contracts/{dc}"),
            Key::Progress(dc) => format!("{prefix}progress/{dc}"),
            Key::Member(dc, vm) => format!("{prefix}member/{dc}/{vm}"),
        }
    }

    /// Parses a key of the cell. Returns `None` for a key of another format.
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

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Value {
    /// The operators' file, as text.
    Config(String),
    /// The contracts of a data centre.
    Contracts(ContractMap),
    /// The progress of a data centre's batch jobs.
    Progress(Progress),
    /// A member.
    Member(Member),
}

impl Value {
    /// Parses the value of a key.
    ///
    /// # Errors
    ///
    /// Returns a message that says why the bytes are not valid for this key.
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

    /// The value in the format in which it is stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        let json = match self {
            Value::Config(text) => return text.clone().into_bytes(),
            Value::Contracts(map) => serde_json::to_vec(map),
            Value::Progress(progress) => serde_json::to_vec(progress),
            Value::Member(member) => serde_json::to_vec(member),
        };
        // These types have no values that JSON can't represent.
        json.unwrap_or_default()
    }
}

/// A stored value with its key and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredEntry {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Value,
    /// The revision of the last change.
    pub revision: Revision,
}

/// A compare-and-swap request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// The key.
    pub key: Key,
    /// The new value.
    pub value: Value,
    /// The revision that the last change of the key must have; zero if the key
    /// must be absent.
    pub expected_revision: Revision,
    /// The revision that the operators' file must have, if any is required.
    pub expected_config_revision: Option<Revision>,
}

/// The result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The value was written at this revision.
    Written(Revision),
    /// A revision was not the expected one; nothing was written.
    Conflict,
    /// The reply was lost, so the value may have been written.
    Unknown,
    /// The request could not be sent, or the service rejected it; nothing was
    /// written.
    Failed,
}
