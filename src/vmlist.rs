/*!
The VM list, in the form of Prometheus' HTTP service discovery.

Each entry names one target and has the labels `vm`, `kind` (`entry`,
`executor` or `worker`), `data_centre` and `state` (`live` or `leaving`).
Entries without them are passed over.
*/

use std::collections::HashMap;
use std::net::SocketAddr;

use awc::Client;
use puffinknot_core::ids::{DcName, TargetId};
use puffinknot_core::node::{Listed, TargetKind};
use serde::Deserialize;

use crate::error::{Error, ErrorKind, Result};

/// The largest list, in bytes.
const MAX_LIST: usize = 8 << 20;

/// What the list says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmList {
    /// The targets.
    pub targets: Vec<Listed>,
    /// Where each target listens.
    pub addrs: HashMap<TargetId, SocketAddr>,
    /// Where the links of entry VMs listen.
    pub entries: Vec<SocketAddr>,
}

#[derive(Deserialize)]
struct Entry {
    targets: Vec<String>,
    #[serde(default)]
    labels: HashMap<String, String>,
}

impl VmList {
    /// Reads a list.
    ///
    /// # Errors
    ///
    /// If it is not a list in the right form.
    pub fn parse(bytes: &[u8]) -> Result<VmList> {
        let entries: Vec<Entry> =
            serde_json::from_slice(bytes).map_err(|err| {
                Error::new(
                    ErrorKind::VmList,
                    format!("the VM list is not in order: {err}"),
                    "check --vm-list",
                )
            })?;
        let mut list = VmList::default();
        for entry in entries {
            list.add(&entry);
        }
        Ok(list)
    }

    fn add(&mut self, entry: &Entry) -> Option<()> {
        let addr: SocketAddr = entry.targets.first()?.parse().ok()?;
        let label = |name: &str| entry.labels.get(name);
        let kind = match label("kind")?.as_str() {
            "executor" => TargetKind::Executor,
            "worker" => TargetKind::Worker,
            "entry" => {
                self.entries.push(addr);
                return None;
            }
            _ => return None,
        };
        let id = TargetId(label("vm")?.clone());
        let dc = DcName(label("data_centre")?.clone());
        let leaving = label("state").is_some_and(|s| s == "leaving");
        self.addrs.insert(id.clone(), addr);
        self.targets.push(Listed { id, kind, dc, leaving });
        Some(())
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    pub async fn fetch(client: &Client, url: &str) -> Result<VmList> {
        let failed = |problem: String| {
            Error::new(
                ErrorKind::VmList,
                format!("the VM list failed: {problem}"),
                "check --vm-list; it is read again",
            )
        };
        let response = client.get(url).send().await;
        let mut response = response.map_err(|err| failed(err.to_string()))?;
        let body = response.body().limit(MAX_LIST).await;
        let body = body.map_err(|err| failed(err.to_string()))?;
        if !response.status().is_success() {
            return Err(failed(response.status().to_string()));
        }
        VmList::parse(&body)
    }
}
