/*!
Contracts: the exclusive rights of VMs to use targets.

A contract is an exclusive right over the targets of a scope. The contracts
of one data centre are one value in the platform's key-value service, which
is changed by compare-and-swap. While the platform answers, it decides who
holds a contract. Safety doesn't depend on it: a target refuses every epoch
lower than the highest it has seen, so a former holder that resumes after a
pause is refused at the target. A live VM can therefore also claim a contract
while the platform is down: the targets accept the claim because its epoch is
higher, and the claim is written to the platform once that answers again.
*/

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::ids::{Epoch, Revision, TargetId, VmId};

/// The set of targets that a contract covers.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub enum Scope {
    /// One part of the executors of the data centre.
    Calls(u16),
    /// All workers of the data centre.
    Tasks,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Calls(part) => write!(f, "calls-{part}"),
            Scope::Tasks => f.write_str("tasks"),
        }
    }
}

impl From<Scope> for String {
    fn from(scope: Scope) -> String {
        scope.to_string()
    }
}

impl TryFrom<String> for Scope {
    type Error = String;

    fn try_from(s: String) -> Result<Scope, String> {
        if s == "tasks" {
            return Ok(Scope::Tasks);
        }
        s.strip_prefix("calls-")
            .and_then(|part| part.parse().ok())
            .map(Scope::Calls)
            .ok_or_else(|| {
                format!("unknown scope {s:?}: use tasks or calls-N")
            })
    }
}

/// One contract.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct Contract {
    /// The epoch, which also names the holder.
    pub epoch: Epoch,
    /// The epoch of the previous holder.
    pub previous: Epoch,
    /// Whether the previous holder gave the contract up voluntarily, after
    /// it had stopped starting work and passed on its state.
    pub handed_over: bool,
    /// The configuration revision at the change of holder. No earlier holder
    /// knows work that was configured later.
    pub since: Revision,
    /// The targets that the holder may use. A target is used only once it is
    /// listed here, so that a successor knows every target that may run work
    /// of an earlier holder.
    pub targets: BTreeSet<TargetId>,
}

/// The contracts of one data centre.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct ContractMap {
    /// The contracts by scope.
    pub contracts: BTreeMap<Scope, Contract>,
}

impl ContractMap {
    /// Creates a map in which no contract has a holder.
    pub fn new(call_scopes: u16) -> ContractMap {
        let mut contracts = BTreeMap::new();
        for part in 0..call_scopes {
            contracts.insert(Scope::Calls(part), Contract::default());
        }
        contracts.insert(Scope::Tasks, Contract::default());
        ContractMap { contracts }
    }

    /// The number of call scopes.
    pub fn call_scopes(&self) -> u16 {
        let calls = |scope: &&Scope| matches!(scope, Scope::Calls(_));
        self.contracts.keys().filter(calls).count() as u16
    }

    /// The epoch of a scope, or `None` if no VM has held it yet.
    pub fn epoch(&self, scope: Scope) -> Option<&Epoch> {
        self.contracts
            .get(&scope)
            .map(|contract| &contract.epoch)
            .filter(|epoch| epoch.number > 0)
    }

    /// The scope in which a new executor is enrolled: the one with the
    /// fewest targets. Hashing a few names would leave some scopes empty.
    pub fn scope_for_executor(&self) -> Scope {
        let calls = self
            .contracts
            .iter()
            .filter(|(scope, _)| matches!(scope, Scope::Calls(_)));
        let least = calls.min_by_key(|(_, c)| c.targets.len());
        least.map_or(Scope::Calls(0), |(scope, _)| *scope)
    }

    /// The scope whose holder keeps the record of an idempotency key.
    pub fn scope_for_key(&self, key: u128) -> Scope {
        let parts = u64::from(self.call_scopes().max(1));
        Scope::Calls((stable_hash(&key) % parts) as u16)
    }
}

impl Contract {
    /// Takes the contract over for `vm`. The new epoch is higher than both
    /// the current one and `known`, the highest epoch that any target is
    /// known to have seen.
    pub fn claim(&mut self, vm: &VmId, known: &Epoch, since: Revision) {
        self.previous = self.epoch.clone();
        let highest = known.max(&self.epoch);
        self.epoch = highest.next(vm);
        self.handed_over = false;
        self.since = since;
    }

    /// Passes the contract on to `vm`. The holder calls this after it has
    /// stopped starting work.
    pub fn hand_over(&mut self, vm: &VmId, since: Revision) {
        self.previous = self.epoch.clone();
        self.epoch = self.epoch.next(vm);
        self.handed_over = true;
        self.since = since;
    }
}

/// The VM that should hold a scope, by rendezvous hashing: the VM with the
/// highest hash for the scope. A VM that joins or leaves moves only its own
/// scopes.
pub fn rendezvous<'a>(
    scope: Scope,
    vms: impl Iterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    vms.max_by_key(|vm| (stable_hash(&(scope, *vm)), *vm))
}

/// Distributes scopes evenly: rendezvous hashing chooses the VM of each scope
/// among the VMs with the fewest scopes so far.
pub fn assign<'a>(
    scopes: impl Iterator<Item = &'a Scope>,
    vms: &BTreeSet<VmId>,
) -> BTreeMap<Scope, VmId> {
    let mut load: BTreeMap<&VmId, usize> =
        vms.iter().map(|vm| (vm, 0)).collect();
    let mut assigned = BTreeMap::new();
    for &scope in scopes {
        let Some(&least) = load.values().min() else { break };
        let free = load.iter().filter(|(_, n)| **n == least);
        let Some(vm) = rendezvous(scope, free.map(|(vm, _)| *vm)).cloned()
        else {
            break;
        };
        if let Some(n) = load.get_mut(&vm) {
            *n += 1;
        }
        assigned.insert(scope, vm);
    }
    assigned
}

/// A hash that is the same on every VM and in every version.
pub fn stable_hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    value.hash(&mut hasher);
    hasher.finish()
}
