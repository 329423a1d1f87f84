//! The status of a node, as shown to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calls::ExecutorState;
use crate::contract::Scope;
use crate::ids::{DcName, Millis, Revision, TargetId, VmId};

use super::{Counters, Node, Now};

/// The status of a target, as its holder knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The name of the target.
    pub id: TargetId,
    /// Whether the target accepts new work.
    pub ready: bool,
    /// The number of slots of an executor, or of tasks on a worker.
    pub slots: u32,
    /// The number of used slots.
    pub used: u32,
}

/// The status of a contract that the VM holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractStatus {
    /// The scope of the contract.
    pub scope: Scope,
    /// The epoch of the holder, as text.
    pub epoch: String,
    /// Whether nothing can start under an earlier epoch any more.
    pub settled: bool,
    /// Whether the platform's service holds the epoch.
    pub confirmed: bool,
    /// The number of running calls, or of placed tasks.
    pub running: usize,
    /// The number of waiting calls or tasks.
    pub waiting: usize,
    /// The mean duration of calls, in milliseconds.
    pub mean_ms: Millis,
    /// The targets of the contract.
    pub targets: Vec<TargetStatus>,
}

/// The status of a job, as the holder of the tasks knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The name of the job.
    pub name: String,
    /// The team of the job.
    pub team: String,
    /// The number of its tasks.
    pub tasks: u32,
    /// The number of running tasks.
    pub running: u32,
    /// The number of waiting tasks.
    pub waiting: u32,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of tasks that may have run and are not repeated.
    pub unknown: u32,
}

/// The status of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The name of the VM.
    pub vm: VmId,
    /// The data centre of the VM.
    pub dc: DcName,
    /// Whether the VM is about to stop.
    pub draining: bool,
    /// Whether the VM can reach the platform.
    pub platform: bool,
    /// The revision of the operators' file in force on the VM.
    pub config: Revision,
    /// The members that the platform lists, each with the revision of the
    /// operators' file in force there, if the member has been heard.
    pub members: BTreeMap<VmId, Option<Revision>>,
    /// The holder of each contract of the data centre.
    pub contracts: BTreeMap<Scope, VmId>,
    /// The contracts that the VM holds.
    pub homes: Vec<ContractStatus>,
    /// The jobs of the data centre, if the VM holds the contract for tasks.
    pub jobs: Vec<JobStatus>,
    /// The event counts of the VM.
    pub counters: Counters,
}

impl Node {
    /// The status of this VM.
    pub fn status(&self, now: Now) -> NodeStatus {
        let dc = &self.config.dc;
        let epochs = self.view.epochs(dc);
        let holders = epochs.into_iter().map(|(s, e)| (s, e.holder));
        let mut contracts = self.call_contracts();
        contracts.extend(self.task_contract());
        NodeStatus {
            vm: self.config.vm.clone(),
            dc: dc.clone(),
            draining: self.draining,
            platform: self.platform_is_reachable(now),
            config: self.view.config_revision(),
            members: self.member_revisions(),
            contracts: holders.collect(),
            homes: contracts,
            jobs: self.job_status(),
            counters: self.counters.clone(),
        }
    }

    fn member_revisions(&self) -> BTreeMap<VmId, Option<Revision>> {
        let revision = |vm: &VmId| {
            if *vm == self.config.vm {
                return Some(self.view.config_revision());
            }
            self.view.peers.get(vm).map(|peer| peer.config)
        };
        let members = self.view.members.keys();
        members.map(|vm| (vm.clone(), revision(vm))).collect()
    }

    fn call_contracts(&self) -> Vec<ContractStatus> {
        let view =
            |(scope, held): (&Scope, &super::HeldContract)| ContractStatus {
                scope: *scope,
                epoch: held.term.epoch.to_string(),
                settled: held.term.takeover_complete(),
                confirmed: held.term.confirmed,
                running: held.pool.running(),
                waiting: held.pool.queue_len(),
                mean_ms: held.pool.mean_ms(),
                targets: held
                    .pool
                    .usage()
                    .map(|(id, slots, used, state)| TargetStatus {
                        id: id.clone(),
                        ready: state == ExecutorState::Ready,
                        slots,
                        used,
                    })
                    .collect(),
            };
        self.held_contracts.iter().map(view).collect()
    }

    fn task_contract(&self) -> Option<ContractStatus> {
        let placer = self.placer.as_ref()?;
        let targets =
            placer.workers().into_iter().map(|worker| TargetStatus {
                id: worker.id,
                ready: worker.ready,
                slots: worker.tasks.len() as u32,
                used: worker.tasks.len() as u32,
            });
        Some(ContractStatus {
            scope: Scope::Tasks,
            epoch: placer.term.epoch.to_string(),
            settled: placer.term.takeover_complete(),
            confirmed: placer.term.confirmed,
            running: placer.placed_count(),
            waiting: placer.waiting_count(),
            mean_ms: 0,
            targets: targets.collect(),
        })
    }

    fn job_status(&self) -> Vec<JobStatus> {
        let Some(placer) = &self.placer else { return Vec::new() };
        let jobs = placer.jobs().into_iter().map(|job| JobStatus {
            name: job.name,
            team: job.team,
            tasks: job.tasks,
            running: job.running,
            waiting: job.waiting,
            done: job.done,
            unknown: job.unknown,
        });
        jobs.collect()
    }
}
