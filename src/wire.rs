/*!
What entry VMs say to each other.

Messages are encoded with `bincode` and go over HTTP/2, each exchange on a
stream of its own. The first exchange of a connection is a [`Hello`]; it
carries the version and proves knowledge of the cell's secret. Nothing else
is read from a connection before.
*/

use bincode::config::{standard, Configuration, Limit, LittleEndian, Varint};
use puffinknot_core::contract::Scope;
use puffinknot_core::idempotency::KeySnapshot;
use puffinknot_core::ids::{DcName, Epoch, VmId};
use puffinknot_core::node::{Call, Summary};
use puffinknot_core::outcome::Outcome;
use puffinknot_core::store::StoredEntry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The version of the messages. VMs of different versions don't talk.
pub const VERSION: u32 = 1;
/// The first bytes of every [`Hello`].
pub const MAGIC: [u8; 8] = *b"pffnknt\x01";
/// The largest message, in bytes.
pub const MAX_MESSAGE: usize = 32 << 20;
/// The largest first message, in bytes.
pub const MAX_HELLO: usize = 1 << 10;

/// The first message of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`MAGIC`].
    pub magic: [u8; 8],
    /// [`VERSION`].
    pub version: u32,
    /// The cell.
    pub cell: String,
    /// The SHA-256 of the cell's secret.
    pub proof: [u8; 32],
    /// The VM that connects.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcName,
}

/// What a VM asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Take note of this summary; the answer is one too.
    Summary(Summary),
    /// Send what you know of the platform's values.
    Fetch,
    /// Run a call under a contract.
    Hop(Hop),
    /// Take what is known of a contract that you are to hold.
    Bequest(Bequest),
}

/// A call that is sent on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The contract to run it under.
    pub scope: Scope,
    /// The call.
    pub call: Call,
    /// Its body.
    pub body: Vec<u8>,
}

/// What the holder of a contract passes on to its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bequest {
    /// The contract.
    pub scope: Scope,
    /// The holder's epoch.
    pub epoch: Epoch,
    /// The keys it remembers.
    pub memory: KeySnapshot,
}

/// The answer to a [`Request`] or a [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The connection may be used.
    Welcome,
    /// The connection may not be used, or the message is not understood.
    Refused(String),
    /// Taken note of.
    Noted,
    /// The other VM's summary.
    Summary(Summary),
    /// What the other VM knows of the platform's values.
    Stored(Vec<StoredEntry>),
    /// The end of a call.
    Ended(Outcome, Option<Answer>),
}

/// What a target answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if there is one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

type Config<const N: usize> = Configuration<LittleEndian, Varint, Limit<N>>;

const MESSAGES: Config<MAX_MESSAGE> = standard().with_limit::<MAX_MESSAGE>();
const HELLOS: Config<MAX_HELLO> = standard().with_limit::<MAX_HELLO>();

/// Encodes a message.
///
/// # Errors
///
/// If it is larger than [`MAX_MESSAGE`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    let bytes = bincode::serde::encode_to_vec(message, MESSAGES)
        .map_err(|err| err.to_string())?;
    if bytes.len() > MAX_MESSAGE {
        return Err(format!("message of {} bytes is too large", bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
///
/// If the bytes are anything else.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    whole(bytes, bincode::serde::decode_from_slice(bytes, MESSAGES))
}

/// Decodes a first message.
///
/// # Errors
///
/// If the bytes are anything else.
pub fn decode_hello(bytes: &[u8]) -> Result<Hello, String> {
    whole(bytes, bincode::serde::decode_from_slice(bytes, HELLOS))
}

fn whole<T>(
    bytes: &[u8],
    decoded: Result<(T, usize), bincode::error::DecodeError>,
) -> Result<T, String> {
    match decoded {
        Ok((message, used)) if used == bytes.len() => Ok(message),
        Ok((_, used)) => Err(format!("{} bytes too many", bytes.len() - used)),
        Err(err) => Err(err.to_string()),
    }
}

/// The proof of knowledge of a secret.
pub fn proof(cell: &str, secret: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(cell.as_bytes());
    hasher.update([0]);
    hasher.update(secret.as_bytes());
    hasher.finalize().into()
}

impl Hello {
    /// Whether the VM that said this may connect.
    ///
    /// # Errors
    ///
    /// Why not, and what to do.
    pub fn check(&self, cell: &str, proof: &[u8; 32]) -> Result<(), String> {
        if self.magic != MAGIC {
            return Err("not a puffinknot link; check the port".into());
        }
        if self.version != VERSION {
            return Err(format!(
                "version {} is not {VERSION}; update the older VM",
                self.version
            ));
        }
        if self.cell != cell {
            return Err(format!(
                "cell {:?} is not {cell:?}; check --cell and --peer",
                self.cell
            ));
        }
        if self.proof != *proof {
            return Err("another secret; give all VMs the same one".into());
        }
        Ok(())
    }
}
