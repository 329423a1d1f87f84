/*!
The messages between entry VMs.

Messages are encoded with `bincode` and sent over HTTP/2, each exchange on its
own stream. The first request on a connection is a [`Hello`], which carries
the version and proves knowledge of the cell's secret. No other message is
decoded before the hello has been accepted.
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

/// The version of the messages. VMs with different versions refuse each
/// other's connections.
pub const VERSION: u32 = 1;
/// The first bytes of every [`Hello`], which identify the protocol.
pub const MAGIC: [u8; 8] = *b"pffnknt\x01";
/// The largest message, in bytes.
pub const MAX_MESSAGE: usize = 32 << 20;
/// The largest [`Hello`], in bytes.
pub const MAX_HELLO: usize = 1 << 10;

/// The first message of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`MAGIC`].
    pub magic: [u8; 8],
    /// [`VERSION`].
    pub version: u32,
    /// The cell of the VM that connects.
    pub cell: String,
    /// The SHA-256 of the cell's name and secret, from [`proof`].
    pub proof: [u8; 32],
    /// The VM that connects.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcName,
}

/// A request of one VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// The sender's summary; the response is the receiver's summary.
    Summary(Summary),
    /// Requests the platform values that the receiver knows.
    Fetch,
    /// Runs a call under a contract.
    Hop(Hop),
    /// Hands over the key memory of a contract to its next holder.
    Bequest(Handover),
}

/// A call that is forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The contract to run it under.
    pub scope: Scope,
    /// The call.
    pub call: Call,
    /// The body of the call.
    pub body: Vec<u8>,
}

/// What the holder of a contract hands over to its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The contract.
    pub scope: Scope,
    /// The epoch of the sender, the previous holder.
    pub epoch: Epoch,
    /// The idempotency keys that the sender remembers.
    pub memory: KeySnapshot,
}

/// The response to a [`Request`] or a [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The hello is accepted.
    Welcome,
    /// The connection or the request is refused, with the reason.
    Refused(String),
    /// The handover was received.
    Noted,
    /// The summary of the responding VM.
    Summary(Summary),
    /// The platform values that the responding VM knows.
    Stored(Vec<StoredEntry>),
    /// The outcome of a call, and the answer if there is one.
    Ended(Outcome, Option<Answer>),
}

/// An executor's answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if there is one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

type BincodeConfig<const N: usize> =
    Configuration<LittleEndian, Varint, Limit<N>>;

const MESSAGE_CONFIG: BincodeConfig<MAX_MESSAGE> =
    standard().with_limit::<MAX_MESSAGE>();
const HELLO_CONFIG: BincodeConfig<MAX_HELLO> =
    standard().with_limit::<MAX_HELLO>();

/// Encodes a message.
///
/// # Errors
///
/// If it is larger than [`MAX_MESSAGE`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    let bytes = bincode::serde::encode_to_vec(message, MESSAGE_CONFIG)
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
    require_all_used(
        bytes,
        bincode::serde::decode_from_slice(bytes, MESSAGE_CONFIG),
    )
}

/// Decodes a [`Hello`] that takes up all of `bytes`.
///
/// # Errors
///
/// If the bytes are anything else.
pub fn decode_hello(bytes: &[u8]) -> Result<Hello, String> {
    require_all_used(
        bytes,
        bincode::serde::decode_from_slice(bytes, HELLO_CONFIG),
    )
}

fn require_all_used<T>(
    bytes: &[u8],
    decoded: Result<(T, usize), bincode::error::DecodeError>,
) -> Result<T, String> {
    match decoded {
        Ok((message, used)) if used == bytes.len() => Ok(message),
        Ok((_, used)) => Err(format!("{} bytes too many", bytes.len() - used)),
        Err(err) => Err(err.to_string()),
    }
}

/// The proof of knowledge of a cell's secret: the SHA-256 of the cell's name,
/// a zero byte and the secret.
pub fn proof(cell: &str, secret: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(cell.as_bytes());
    hasher.update([0]);
    hasher.update(secret.as_bytes());
    hasher.finalize().into()
}

impl Hello {
    /// Checks whether the VM that sent this hello may connect to a VM with
    /// this cell and proof.
    ///
    /// # Errors
    ///
    /// Why it may not connect, and what to do about it.
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
