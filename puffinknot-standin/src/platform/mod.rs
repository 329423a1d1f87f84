/*!
A stand-in for the platform: its key-value service and its VM list.

The key-value service speaks the JSON form of etcd's version 3 interface, as
far as puffinknot uses it: `range`, `put`, `txn`, `lease/grant`,
`lease/keepalive`, `lease/revoke` and `watch`. The VM list is served at
`/vms` in the form of Prometheus' HTTP service discovery.

Every call is counted, and a watch counts as one call. Faults can be set at
run time by `POST /standin/faults`: see [`Faults`].
*/

mod kv_http;
pub mod store;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_http::{Request, StatusCode};
use puffinknot::http::{json, read_body, text, Reply};
use serde::{Deserialize, Serialize};

use self::store::Store;
use crate::server::Running;

/// The largest request, in bytes, which is about the limit of etcd.
const MAX_REQUEST: usize = 1_500_000;
/// The time within which a request must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which leases are checked.
const LEASE_TICK: Duration = Duration::from_millis(20);

/// The faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Calls to the key-value service are not answered, and their connections
    /// are aborted.
    pub down: bool,
    /// Reads of the VM list are not answered.
    pub list_down: bool,
    /// The extra delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// The number of following writes that get no answer. They take effect.
    pub lose_answers: u32,
    /// Clients whose IP address starts with one of these prefixes are
    /// isolated from the platform.
    pub cut: Vec<String>,
    /// Whether leases lapse during an outage. Otherwise each gets its full
    /// duration again after it.
    pub lapse_when_down: bool,
    /// The age of the VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// Reads allowed per second; zero for no limit.
    pub reads_per_s: u32,
    /// Writes allowed per second; zero for no limit.
    pub writes_per_s: u32,
}

/// A VM in the VM list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub id: String,
    /// `entry`, `executor` or `worker`.
    pub kind: String,
    /// Its data centre.
    pub dc: String,
    /// Its IP address and port.
    pub addr: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Counters of the calls to the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of values.
    pub reads: u64,
    /// Writes of values, and grants and revocations of leases.
    pub writes: u64,
    /// Renewals of leases.
    pub renewals: u64,
    /// Watches that were opened.
    pub watches: u64,
    /// Watches that are open now.
    pub waiting: u64,
    /// Reads of the VM list.
    pub lists: u64,
    /// Calls refused because of the rate limit.
    pub limited: u64,
    /// Bytes of request bodies, and of successful answers of the key-value
    /// service other than watches.
    pub bytes: u64,
}

/// The calls in the current second.
#[derive(Debug, Default)]
struct Rate {
    second: u64,
    reads: u32,
    writes: u32,
}

/// The state of the platform.
struct State {
    started: Instant,
    store: Store,
    faults: Faults,
    calls: Calls,
    rate: Rate,
    vms: BTreeMap<String, Vm>,
    /// Every state of the list with the time of its change, oldest first.
    list_history: Vec<(u64, BTreeMap<String, Vm>)>,
}

impl State {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn set_faults(&mut self, faults: Faults) {
        let now = self.now();
        if self.faults.down && !faults.down && !faults.lapse_when_down {
            self.store.refresh_leases(now);
        }
        self.faults = faults;
        let faults = &self.faults;
        self.store.watchers.retain(|watcher| {
            let isolated =
                |prefix: &String| watcher.source.starts_with(prefix);
            !faults.down && !faults.cut.iter().any(isolated)
        });
    }

    fn tick(&mut self) {
        if self.faults.down && !self.faults.lapse_when_down {
            return;
        }
        let now = self.now();
        self.store.expire(now);
        self.store.watchers.retain(|watcher| !watcher.tx.is_closed());
    }

    /// Counts a call against the rate limit and returns whether it is allowed.
    fn allow(&mut self, write: bool) -> bool {
        let second = self.now() / 1_000;
        if self.rate.second != second {
            self.rate = Rate { second, ..Rate::default() };
        }
        let (used, limit) = if write {
            (&mut self.rate.writes, self.faults.writes_per_s)
        } else {
            (&mut self.rate.reads, self.faults.reads_per_s)
        };
        *used += 1;
        let allowed = limit == 0 || *used <= limit;
        self.calls.limited += u64::from(!allowed);
        allowed
    }

    fn put_vm(&mut self, vm: Vm) {
        self.vms.insert(vm.id.clone(), vm);
        self.list_history.push((self.now(), self.vms.clone()));
    }

    fn remove_vm(&mut self, id: &str) {
        self.vms.remove(id);
        self.list_history.push((self.now(), self.vms.clone()));
    }

    /// The list as it was `list_lag_ms` ago.
    fn list(&self) -> Vec<Vm> {
        let until = self.now().saturating_sub(self.faults.list_lag_ms);
        let before =
            self.list_history.iter().rev().find(|(at, _)| *at <= until);
        before.map_or(Vec::new(), |(_, vms)| vms.values().cloned().collect())
    }
}

/// A running platform.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform::new()
    }
}

impl Platform {
    /// Creates a platform without keys and VMs.
    pub fn new() -> Platform {
        let state = State {
            started: Instant::now(),
            store: Store::default(),
            faults: Faults::default(),
            calls: Calls::default(),
            rate: Rate::default(),
            vms: BTreeMap::new(),
            list_history: Vec::new(),
        };
        Platform { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to serve at `addr`.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub fn serve(&self, addr: &str) -> std::io::Result<Running> {
        let platform = self.clone();
        let ticking = self.clone();
        std::thread::spawn(move || ticking.run_ticks());
        Running::start(addr, move || {
            let platform = platform.clone();
            move |request| platform.clone().handle(request)
        })
    }

    fn run_ticks(&self) {
        // Once the server has stopped, this thread is the only owner left.
        while Arc::strong_count(&self.state) > 1 {
            self.lock().tick();
            std::thread::sleep(LEASE_TICK);
        }
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().set_faults(faults);
    }

    /// Changes some of the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.lock();
        let mut faults = state.faults.clone();
        change(&mut faults);
        state.set_faults(faults);
    }

    /// The counters of the calls to the platform.
    pub fn calls(&self) -> Calls {
        let state = self.lock();
        let waiting = state.store.watchers.len() as u64;
        Calls { waiting, ..state.calls.clone() }
    }

    /// Adds a VM to the list or replaces it.
    pub fn put_vm(&self, vm: Vm) {
        self.lock().put_vm(vm);
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&self, id: &str) {
        self.lock().remove_vm(id);
    }

    /// The value of a key as text, or `None` if the key is absent.
    pub fn value(&self, key: &str) -> Option<String> {
        let range = store::Range { key: key.into(), end: Vec::new() };
        let kv = self.lock().store.range(&range, 0).pop()?;
        Some(String::from_utf8_lossy(&kv.value).into_owned())
    }

    async fn handle(self, mut request: Request) -> Reply {
        let path = request.path().to_string();
        let source = request.peer_addr().map(|a| a.ip().to_string());
        let source = source.unwrap_or_default();
        let payload = request.take_payload();
        let body = match read_body(payload, MAX_REQUEST, READ_TIMEOUT).await {
            Ok(body) => body,
            Err(_) => return text(StatusCode::BAD_REQUEST, "bad body"),
        };
        if let Some(rest) = path.strip_prefix("/standin/") {
            return self.control(rest, &body);
        }
        let (faults, isolated) = {
            let mut state = self.lock();
            state.calls.bytes += body.len() as u64;
            let faults = state.faults.clone();
            let matches = |prefix: &String| source.starts_with(prefix);
            let isolated = faults.cut.iter().any(matches);
            (faults, isolated)
        };
        if faults.delay_ms > 0 {
            let delay = Duration::from_millis(faults.delay_ms);
            actix_rt::time::sleep(delay).await;
        }
        if path == "/vms" {
            if faults.list_down || isolated {
                return kv_http::abort_connection();
            }
            return self.vm_list();
        }
        if faults.down || isolated {
            return kv_http::abort_connection();
        }
        self.kv(&path, &body, &source)
    }

    fn vm_list(&self) -> Reply {
        #[derive(Serialize)]
        struct Entry {
            targets: Vec<String>,
            labels: BTreeMap<&'static str, String>,
        }
        let mut state = self.lock();
        state.calls.lists += 1;
        let entry = |vm: Vm| Entry {
            targets: vec![vm.addr],
            labels: BTreeMap::from([
                ("vm", vm.id),
                ("kind", vm.kind),
                ("data_centre", vm.dc),
                ("state", vm.state),
            ]),
        };
        let list: Vec<Entry> = state.list().into_iter().map(entry).collect();
        json(StatusCode::OK, &list)
    }

    /// Handles the calls by which a test or script controls the platform.
    fn control(&self, path: &str, body: &[u8]) -> Reply {
        let bad_request = |err: serde_json::Error| {
            text(StatusCode::BAD_REQUEST, &err.to_string())
        };
        match path {
            "faults" => match serde_json::from_slice(body) {
                Ok(faults) => self.set_faults(faults),
                Err(err) => return bad_request(err),
            },
            "vms" => match serde_json::from_slice::<Vec<Vm>>(body) {
                Ok(vms) => vms.into_iter().for_each(|vm| self.put_vm(vm)),
                Err(err) => return bad_request(err),
            },
            "gone" => match serde_json::from_slice::<String>(body) {
                Ok(id) => self.remove_vm(&id),
                Err(err) => return bad_request(err),
            },
            "calls" => return json(StatusCode::OK, &self.calls()),
            _ => return text(StatusCode::NOT_FOUND, "no such page"),
        }
        text(StatusCode::OK, "done")
    }
}
