/*!
The VM list, in the JSON format of Prometheus HTTP service discovery.

Each entry has the address of one VM and the labels `vm`, `kind` (`entry`,
`executor` or `worker`), `data_centre` and `state` (`live` or `leaving`). A
target's entry is unreadable without a valid address, `kind`, `vm` or
`data_centre`. It does not count as absent, because it may belong to an
enrolled target.
*/

use std::collections::HashMap;
use std::net::SocketAddr;

use awc::Client;
use puffinknot_core::ids::{DcName, TargetId};
use puffinknot_core::node::{ListedTarget, TargetKind, UnreadableEntries};
use serde::Deserialize;

use crate::error::{Error, ErrorKind, Result};

/// The largest list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// A parsed VM list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmList {
    /// The targets.
    pub targets: Vec<ListedTarget>,
    /// The address of each target.
    pub addrs: HashMap<TargetId, SocketAddr>,
    /// The link addresses of the entry VMs.
    pub entries: Vec<SocketAddr>,
    /// The unreadable entries.
    pub unreadable: UnreadableEntries,
}

#[derive(Deserialize)]
struct Entry {
    targets: Vec<String>,
    #[serde(default)]
    labels: HashMap<String, String>,
}

impl VmList {
    /// Parses a list.
    ///
    /// # Errors
    ///
    /// If it is not JSON of the right form. An unreadable entry is no error.
    pub fn parse(bytes: &[u8]) -> Result<VmList> {
        let entries: Vec<Entry> =
            serde_json::from_slice(bytes).map_err(|err| {
                Error::new(
                    ErrorKind::VmList,
                    format!("the VM list is malformed: {err}"),
                    "check --vm-list",
                )
            })?;
        let mut list = VmList::default();
        for entry in entries {
            list.add_entry(&entry);
        }
        Ok(list)
    }

    fn add_entry(&mut self, entry: &Entry) {
        let label = |name: &str| entry.labels.get(name);
        let addr = entry.targets.first().and_then(|addr| addr.parse().ok());
        if label("kind").is_some_and(|kind| kind == "entry") {
            self.entries.extend(addr);
            return;
        }
        if addr.and_then(|addr| self.add_target(entry, addr)).is_some() {
            return;
        }
        match label("vm").filter(|vm| !vm.is_empty()) {
            Some(vm) => {
                self.unreadable.targets.insert(TargetId(vm.clone()));
            }
            None => self.unreadable.unidentified += 1,
        }
    }

    fn add_target(&mut self, entry: &Entry, addr: SocketAddr) -> Option<()> {
        let label = |name: &str| entry.labels.get(name);
        let kind = match label("kind")?.as_str() {
            "executor" => TargetKind::Executor,
            "worker" => TargetKind::Worker,
            _ => return None,
        };
        let id = label("vm").filter(|vm| !vm.is_empty())?;
        let id = TargetId(id.clone());
        let dc = DcName(label("data_centre")?.clone());
        let leaving = label("state").is_some_and(|s| s == "leaving");
        self.addrs.insert(id.clone(), addr);
        self.targets.push(ListedTarget { id, kind, dc, leaving });
        Some(())
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// If there is no usable response.
    pub async fn fetch(client: &Client, url: &str) -> Result<VmList> {
        let failed = |problem: String| {
            Error::new(
                ErrorKind::VmList,
                format!("the VM list can't be fetched: {problem}"),
                "check --vm-list; the request is retried",
            )
        };
        let response = client.get(url).send().await;
        let mut response = response.map_err(|err| failed(err.to_string()))?;
        let body = response.body().limit(MAX_LIST_BYTES).await;
        let body = body.map_err(|err| failed(err.to_string()))?;
        if !response.status().is_success() {
            return Err(failed(response.status().to_string()));
        }
        VmList::parse(&body)
    }
}
