//! What an operator can see of a node.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calls::ExecutorState;
use crate::contract::Scope;
use crate::ids::{DcName, Millis, Revision, TargetId, VmId};

use super::{Counters, Node, Now};

/// A target as its holder sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Its name.
    pub id: TargetId,
    /// Whether it takes new work.
    pub ready: bool,
    /// Its slots, or the number of tasks on a worker.
    pub slots: u32,
    /// The slots that are used.
    pub used: u32,
}

/// A contract that a VM holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractStatus {
    /// The contract.
    pub scope: Scope,
    /// The epoch, as text.
    pub epoch: String,
    /// Whether nothing can start under an earlier epoch any more.
    pub settled: bool,
    /// Whether the platform holds the epoch.
    pub confirmed: bool,
    /// Calls that run, or tasks that have a place.
    pub running: usize,
    /// Calls or tasks that wait.
    pub waiting: usize,
    /// How long calls take on average, in milliseconds.
    pub mean_ms: Millis,
    /// Its targets.
    pub targets: Vec<TargetStatus>,
}

/// A job as the holder of the tasks sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Its name.
    pub name: String,
    /// Its team.
    pub team: String,
    /// The number of its tasks.
    pub tasks: u32,
    /// How many run.
    pub running: u32,
    /// How many wait.
    pub waiting: u32,
    /// How many are done.
    pub done: u32,
    /// How many may have run and are not repeated.
    pub unknown: u32,
}

/// What an operator can see of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcName,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Whether the platform answers it.
    pub platform: bool,
    /// The revision of the operators' file in force here.
    pub config: Revision,
    /// The members that the platform knows, with the revision that each has
    /// in force as far as it was heard.
    pub members: BTreeMap<VmId, Option<Revision>>,
    /// The holder of each contract of this data centre.
    pub contracts: BTreeMap<Scope, VmId>,
    /// The contracts that this VM holds.
    pub homes: Vec<ContractStatus>,
    /// The jobs of this data centre, if this VM holds that contract.
    pub jobs: Vec<JobStatus>,
    /// How often things happened.
    pub counters: Counters,
}

impl Node {
    /// What an operator can see of this VM.
    pub fn status(&self, now: Now) -> NodeStatus {
        let dc = &self.config.dc;
        let epochs = self.view.epochs(dc);
        let holders = epochs.into_iter().map(|(s, e)| (s, e.holder));
        let mut homes = self.call_homes();
        homes.extend(self.task_home());
        NodeStatus {
            vm: self.config.vm.clone(),
            dc: dc.clone(),
            draining: self.draining,
            platform: self.platform_is_reachable(now),
            config: self.view.config_revision(),
            members: self.member_revisions(),
            contracts: holders.collect(),
            homes,
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

    fn call_homes(&self) -> Vec<ContractStatus> {
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

    fn task_home(&self) -> Option<ContractStatus> {
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
            epoch: placer.tenure.epoch.to_string(),
            settled: placer.tenure.takeover_complete(),
            confirmed: placer.tenure.confirmed,
            running: placer.placed(),
            waiting: placer.waiting(),
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
