//! Contract ownership: claims, handovers and the targets of each contract.
//!
//! A VM changes the contracts of its data centre by one compare-and-swap at
//! a time. It takes over the contracts of members whose lease has expired,
//! hands over contracts that another member should hold, and enrols targets
//! in its own contracts.
//!
//! While the platform does not answer, a VM may claim a contract without it
//! if the holder hasn't been heard for some time. Such a claim is not
//! confirmed: nothing starts under it before every target has accepted it.

use std::collections::{BTreeMap, BTreeSet};

use crate::contract::{assign, Contract, ContractMap, Scope};
use crate::idempotency::KeySnapshot;
use crate::ids::{DcName, Epoch, Millis, Revision, TargetId, VmId};
use crate::outcome::Reason;
use crate::store::{Key, Value, Write, WriteResult};
use crate::tasks::{Placer, PlacerConfig};
use crate::term::Term;

use super::held_calls::HeldContract;
use super::view::Versioned;
use super::{Action, Node, Now, TargetKind};

/// How long a VM waits after its first read before it claims anything, so that
/// other members of its data centre can join.
const FIRST_CLAIM_DELAY: Millis = 1_000;
/// A VM other than the assigned one may take a contract over after this time.
const FALLBACK_CLAIM_DELAY: Millis = 2_000;
/// The time within which a successor must acknowledge a handover.
const HANDOVER_TIMEOUT: Millis = 1_000;
/// The delay of the next write after one that could not be made.
const WRITE_BACKOFF: Millis = 500;
/// A write that is not visible after this time is looked up by a read.
const WRITE_TIMEOUT: Millis = 5_000;

/// A contract that is being handed over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Handover {
    to: VmId,
    sent_at: Millis,
    /// Whether the successor received the state; `None` if not yet known.
    acknowledged: Option<bool>,
}

/// A write of the contracts that the view doesn't show yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    sent_at: Millis,
    /// The revision of the write, once it is known.
    won_revision: Option<Revision>,
}

/// The state of claims and handovers, in addition to the view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Claims {
    first_read_at: Option<Millis>,
    /// When the node started, or last resumed after a pause.
    awake_since: Millis,
    last_event_at: Option<Millis>,
    lease_renewed_at: Option<Millis>,
    /// Whether the lease has expired since the contracts were claimed.
    lease_lost: bool,
    /// Whether the pending write reclaims contracts after a lost lease.
    reclaiming: bool,
    pending_write: Option<PendingWrite>,
    /// The earliest time of the next write.
    write_backoff_until: Millis,
    read_pending: bool,
    assigned: BTreeMap<Scope, VmId>,
    assigned_at: Millis,
    orphaned_since: BTreeMap<Scope, Millis>,
    received_handovers: BTreeMap<Scope, (Epoch, KeySnapshot)>,
    handovers: BTreeMap<Scope, Handover>,
}

impl Claims {
    /// Records the time of an event, and returns whether the node was paused
    /// before it. After a pause, the node must not treat its peers as dead.
    pub(super) fn detect_pause(&mut self, now: Now, pause: Millis) -> bool {
        let last = self.last_event_at.replace(now.mono);
        let paused = last.is_none_or(|last| last + pause <= now.mono);
        if paused {
            self.awake_since = now.mono;
        }
        paused
    }

    /// Whether writes are held back after a failed write or during a read.
    pub(super) fn is_backing_off(&self, now: Now) -> bool {
        now.mono < self.write_backoff_until || self.read_pending
    }

    pub(super) fn lease_renewed_within(&self, now: Now, span: Millis) -> bool {
        self.lease_renewed_at.is_some_and(|at| at + span > now.mono)
    }

    /// The time of the last lease renewal, if it confirms that this VM still
    /// holds its contracts.
    pub(super) fn confirmed_at(&self) -> Option<Millis> {
        self.lease_renewed_at.filter(|_| !self.lease_lost)
    }

    pub(super) fn read_finished(&mut self) {
        self.read_pending = false;
    }

    pub(super) fn receive_handover(
        &mut self,
        scope: Scope,
        epoch: Epoch,
        memory: KeySnapshot,
    ) {
        self.received_handovers.insert(scope, (epoch, memory));
    }

    /// Whether the contract is being handed over, so that nothing may start
    /// under it.
    pub(super) fn is_handing_over(&self, scope: Scope) -> bool {
        self.handovers.contains_key(&scope)
    }
}

impl Node {
    pub(super) fn on_renewed(&mut self, now: Now, sent_at: Millis) {
        let claims = &mut self.claims;
        claims.lease_renewed_at = claims.lease_renewed_at.max(Some(sent_at));
        self.update_claims(now);
    }

    pub(super) fn on_lease_lost(&mut self) {
        self.claims.lease_lost = true;
        self.actions.push(Action::Register { draining: self.draining });
    }

    pub(super) fn on_written(
        &mut self,
        now: Now,
        key: Key,
        result: WriteResult,
    ) {
        match result {
            WriteResult::Written(_) => {}
            WriteResult::Conflict => self.counters.writes_lost += 1,
            WriteResult::Unknown => self.counters.writes_unknown += 1,
            WriteResult::Failed => self.counters.writes_not_made += 1,
        }
        if matches!(key, Key::Progress(_)) {
            self.progress_written(result);
        } else {
            self.contracts_written(result);
        }
        if matches!(result, WriteResult::Conflict | WriteResult::Unknown) {
            // Only a read shows the current value.
            self.read_again();
        }
        if result == WriteResult::Failed {
            self.claims.write_backoff_until = now.mono + WRITE_BACKOFF;
        }
        self.on_view_changed(now);
    }

    fn contracts_written(&mut self, result: WriteResult) {
        let claims = &mut self.claims;
        match (result, &mut claims.pending_write) {
            (WriteResult::Written(revision), Some(pending_write)) => {
                pending_write.won_revision = Some(revision);
                claims.lease_lost &= !claims.reclaiming;
            }
            _ => claims.pending_write = None,
        }
        claims.reclaiming = false;
    }

    pub(super) fn read_again(&mut self) {
        if !self.claims.read_pending {
            self.claims.read_pending = true;
            self.actions.push(Action::Read);
        }
    }

    pub(super) fn on_handover_ended(
        &mut self,
        now: Now,
        scope: Scope,
        acknowledged: bool,
    ) {
        if let Some(handover) = self.claims.handovers.get_mut(&scope) {
            handover.acknowledged = Some(acknowledged);
        }
        self.update_claims(now);
    }

    /// Updates the terms to match the view, and the platform's contracts to
    /// match what this VM should hold.
    pub(super) fn update_claims(&mut self, now: Now) {
        self.update_terms(now);
        if self.write_is_pending(now)
            || now.mono < self.claims.write_backoff_until
        {
            return;
        }
        if self.platform_is_reachable(now) {
            if self.view.revision > 0 && !self.claims.read_pending {
                self.propose_contracts(now);
            }
        } else {
            self.claim_without_platform(now);
        }
        self.update_terms(now);
    }

    /// Whether the view doesn't show the last write yet.
    fn write_is_pending(&mut self, now: Now) -> bool {
        let Some(pending_write) = &self.claims.pending_write else {
            return false;
        };
        let map = self.view.maps.get(&self.config.dc);
        let visible = map.map_or(0, |map| map.revision);
        if pending_write
            .won_revision
            .is_some_and(|revision| revision <= visible)
        {
            self.claims.pending_write = None;
            return false;
        }
        if pending_write.sent_at + WRITE_TIMEOUT <= now.mono {
            self.claims.pending_write = None;
            self.read_again();
        }
        true
    }

    /// Whether no other VM can have taken over this VM's contracts yet,
    /// because its lease can't have expired.
    pub(super) fn lease_is_certainly_valid(&self, now: Now) -> bool {
        let span = self.config.member_ttl - self.config.member_ttl / 10;
        let confirmed = self.claims.confirmed_at();
        confirmed.is_some_and(|at| at + span > now.mono)
    }

    /// The members of this data centre that are not about to stop.
    fn remaining_members(&self) -> BTreeSet<VmId> {
        let is_staying = |(_, m): &(&VmId, &crate::store::Member)| {
            m.dc == self.config.dc && !m.draining
        };
        let members = self.view.members.iter().filter(is_staying);
        let mut vms: BTreeSet<VmId> =
            members.map(|(vm, _)| vm.clone()).collect();
        if self.draining {
            vms.remove(&self.config.vm);
        }
        vms
    }

    fn propose_contracts(&mut self, now: Now) {
        let me = self.config.vm.clone();
        if !self.view.members.contains_key(&me) {
            return;
        }
        let first = *self.claims.first_read_at.get_or_insert(now.mono);
        if now.mono < first + FIRST_CLAIM_DELAY {
            return;
        }
        let dc = self.config.dc.clone();
        let known = self.view.maps.get(&dc).cloned().unwrap_or_else(|| {
            let value = ContractMap::new(self.config.call_scopes);
            Versioned { revision: 0, value }
        });
        self.assign_scopes(now, &known.value);
        let mut map = known.value.clone();
        let is_own = |scope| self.view.holder(&dc, scope) == Some(&me);
        if !map.contracts.keys().any(|scope| is_own(*scope)) {
            // This VM held no contract that another could have taken over.
            self.claims.lease_lost = false;
        }
        let mut claimed = false;
        for (scope, contract) in &mut map.contracts {
            claimed |= self.propose_holder(now, *scope, contract);
        }
        self.propose_targets(now, &mut map);
        if map == known.value {
            return;
        }
        self.claims.pending_write =
            Some(PendingWrite { sent_at: now.mono, won_revision: None });
        self.claims.reclaiming = self.claims.lease_lost;
        let since = self.view.config.revision;
        self.actions.push(Action::Write(Write {
            key: Key::Contracts(dc),
            value: Value::Contracts(map),
            expected_revision: known.revision,
            expected_config_revision: claimed.then_some(since),
        }));
    }

    fn assign_scopes(&mut self, now: Now, map: &ContractMap) {
        let assigned = assign(map.contracts.keys(), &self.remaining_members());
        if assigned != self.claims.assigned {
            self.claims.assigned = assigned;
            self.claims.assigned_at = now.mono;
        }
    }

    /// Changes the holder of a contract if that is up to this VM. Returns
    /// whether this VM claimed it.
    fn propose_holder(
        &mut self,
        now: Now,
        scope: Scope,
        contract: &mut Contract,
    ) -> bool {
        let me = self.config.vm.clone();
        let dc = &self.config.dc;
        let known = self.view.epoch(dc, scope).cloned().unwrap_or_default();
        let since = self.view.config.revision;
        if known.holder == me {
            if self.claims.lease_lost {
                contract.claim(&me, &known, since);
                return true;
            }
            if contract.epoch != known {
                // A claim made without the platform turned out to have
                // the highest epoch.
                contract.previous = contract.epoch.clone();
                contract.epoch = known;
                contract.handed_over = false;
                contract.since = since;
                return true;
            }
            self.propose_successor(now, scope, contract);
            return false;
        }
        let orphaned = !self.view.members.contains_key(&known.holder);
        if !orphaned || !self.should_claim(now, scope) {
            return false;
        }
        contract.claim(&me, &known, since);
        self.counters.claims += 1;
        true
    }

    /// Whether this VM should take over an orphaned contract now.
    fn should_claim(&mut self, now: Now, scope: Scope) -> bool {
        if self.draining {
            return false;
        }
        let since =
            *self.claims.orphaned_since.entry(scope).or_insert(now.mono);
        let is_assigned =
            self.claims.assigned.get(&scope) == Some(&self.config.vm);
        is_assigned || since + FALLBACK_CLAIM_DELAY <= now.mono
    }

    /// Hands a contract over to the VM that should hold it.
    fn propose_successor(
        &mut self,
        now: Now,
        scope: Scope,
        contract: &mut Contract,
    ) {
        let me = &self.config.vm;
        let successor =
            self.claims.assigned.get(&scope).filter(|vm| *vm != me);
        let Some(to) = successor.cloned() else {
            self.claims.handovers.remove(&scope);
            return;
        };
        let Some(handover) = self.claims.handovers.get(&scope).cloned() else {
            self.begin_handover(now, scope, to);
            return;
        };
        let late = handover.sent_at + HANDOVER_TIMEOUT <= now.mono;
        let acknowledged = handover.acknowledged.or(late.then_some(false));
        if handover.to != to || (acknowledged == Some(false) && !self.draining)
        {
            self.claims.handovers.remove(&scope);
            self.claims.assigned_at = now.mono;
            return;
        }
        if let Some(acknowledged) = acknowledged {
            contract.hand_over(&to, self.view.config.revision);
            contract.handed_over = acknowledged;
            self.counters.handovers += 1;
        }
    }

    fn begin_handover(&mut self, now: Now, scope: Scope, to: VmId) {
        let assignment_stable_at =
            self.claims.assigned_at + self.config.rebalance_after;
        let no_other_handover = self.claims.handovers.is_empty();
        let due = assignment_stable_at <= now.mono && no_other_handover;
        if !due && !self.draining {
            return;
        }
        let Some(epoch) = self.view.epoch(&self.config.dc, scope).cloned()
        else {
            return;
        };
        let held = self.held_contracts.get(&scope);
        let memory = held.map(|held| held.keys.export());
        // Tasks need no handover of state: the workers' lists are complete.
        let acknowledged = (scope == Scope::Tasks).then_some(true);
        let handover =
            Handover { to: to.clone(), sent_at: now.mono, acknowledged };
        self.claims.handovers.insert(scope, handover);
        if let Some(memory) = memory {
            self.actions.push(Action::SendHandover {
                vm: to,
                scope,
                epoch,
                memory,
            });
        }
        self.reroute_waiting(now, scope, Reason::Draining);
    }

    /// Enrols new targets in this VM's contracts and removes those that are
    /// gone.
    fn propose_targets(&mut self, now: Now, map: &mut ContractMap) {
        let enrolled: BTreeSet<TargetId> = map
            .contracts
            .values()
            .flat_map(|contract| contract.targets.iter().cloned())
            .collect();
        // Every VM computes the same plan for all new targets, and enrols
        // those that the plan assigns to its own contracts.
        let mut plan = map.clone();
        let dc = &self.config.dc;
        for listed in self.view.listed.values() {
            if listed.dc != *dc || listed.leaving {
                continue;
            }
            if enrolled.contains(&listed.id) {
                continue;
            }
            let scope = match listed.kind {
                TargetKind::Worker => Scope::Tasks,
                TargetKind::Executor => plan.scope_for_executor(),
            };
            if let Some(contract) = plan.contracts.get_mut(&scope) {
                contract.targets.insert(listed.id.clone());
            }
            if let Some(contract) = self.own_contract(map, scope) {
                contract.targets.insert(listed.id.clone());
            }
        }
        for target in self.view.gone_targets(now, self.config.gone_after) {
            let scopes: Vec<Scope> = map.contracts.keys().copied().collect();
            for scope in scopes {
                if let Some(contract) = self.own_contract(map, scope) {
                    contract.targets.remove(&target);
                }
            }
        }
    }

    /// The contract, if this VM holds it.
    fn own_contract<'a>(
        &self,
        map: &'a mut ContractMap,
        scope: Scope,
    ) -> Option<&'a mut Contract> {
        let me = &self.config.vm;
        let contract = map.contracts.get_mut(&scope)?;
        (contract.epoch.holder == *me).then_some(contract)
    }

    /// Takes over contracts of silent holders while no live peer can reach the
    /// platform either.
    fn claim_without_platform(&mut self, now: Now) {
        let ttl = self.config.member_ttl;
        let Some(renewed_at) = self.claims.lease_renewed_at else { return };
        let isolated_since = renewed_at.max(self.claims.awake_since);
        if self.draining || isolated_since + 2 * ttl > now.mono {
            return;
        }
        let heard: BTreeMap<&VmId, &super::view::Peer> = self
            .view
            .peers
            .iter()
            .filter(|(_, p)| p.dc == self.config.dc)
            .filter(|(_, p)| p.heard_at + ttl > now.mono)
            .collect();
        if heard.values().any(|peer| peer.platform_reachable) {
            return;
        }
        let mut candidates: BTreeSet<VmId> = heard
            .iter()
            .filter(|(_, peer)| !peer.draining)
            .map(|(vm, _)| (*vm).clone())
            .collect();
        candidates.insert(self.config.vm.clone());
        let Some(map) = self.view.contract_map(&self.config.dc) else {
            return;
        };
        let assigned = assign(map.contracts.keys(), &candidates);
        for (scope, vm) in assigned {
            if vm == self.config.vm && self.holder_is_silent(now, scope) {
                self.claim_scope_without_platform(scope);
            }
        }
    }

    /// Whether the holder has been silent for two member lifetimes.
    fn holder_is_silent(&self, now: Now, scope: Scope) -> bool {
        let span = 2 * self.config.member_ttl;
        let Some(holder) = self.view.holder(&self.config.dc, scope) else {
            return false;
        };
        let heard = self.view.peers.get(holder).map_or(0, |p| p.heard_at);
        let last = heard.max(self.claims.awake_since);
        *holder != self.config.vm && last + span <= now.mono
    }

    fn claim_scope_without_platform(&mut self, scope: Scope) {
        let dc = self.config.dc.clone();
        let known = self.view.epoch(&dc, scope).cloned().unwrap_or_default();
        let epoch = known.next(&self.config.vm);
        self.view.record_epoch(&dc, scope, &epoch);
        self.counters.claims += 1;
    }

    /// Starts and ends terms according to the highest known epochs.
    pub(super) fn update_terms(&mut self, now: Now) {
        let dc = self.config.dc.clone();
        let Some(map) = self.view.maps.get(&dc) else { return };
        let scopes: Vec<Scope> = map.value.contracts.keys().copied().collect();
        for scope in scopes {
            self.update_term(now, &dc, scope);
        }
    }

    fn update_term(&mut self, now: Now, dc: &DcName, scope: Scope) {
        let Some(contract) = self.view.contract(dc, scope).cloned() else {
            return;
        };
        let Some(epoch) = self.view.epoch(dc, scope).cloned() else { return };
        if !self.view.members.contains_key(&epoch.holder) {
            self.claims.orphaned_since.entry(scope).or_insert(now.mono);
        } else {
            self.claims.orphaned_since.remove(&scope);
        }
        if epoch.holder != self.config.vm {
            self.claims.handovers.remove(&scope);
            self.end_term(now, scope);
            return;
        }
        let confirmed = contract.epoch == epoch;
        let held = match scope {
            Scope::Tasks => self.placer.as_ref().map(|w| &w.term.epoch),
            _ => self.held_contracts.get(&scope).map(|h| &h.term.epoch),
        };
        if held != Some(&epoch) {
            self.end_term(now, scope);
            self.begin_term(now, scope, &contract, epoch);
        }
        self.refresh_term(now, scope, &contract, confirmed);
    }

    fn begin_term(
        &mut self,
        now: Now,
        scope: Scope,
        contract: &Contract,
        epoch: Epoch,
    ) {
        let confirmed = contract.epoch == epoch;
        let targets = contract.targets.clone();
        let term = Term::new(epoch, contract.since, confirmed, targets);
        if scope == Scope::Tasks {
            let config = PlacerConfig::default();
            let dc = self.config.dc.clone();
            let old = self.view.config();
            let progress = self.view.progress.value.clone();
            let mut placer = Placer::new(config, dc, term, old, progress);
            if let Some(config) = self.view.config() {
                placer.apply_config(config);
            }
            self.placer = Some(Box::new(placer));
            return;
        }
        let mut held = HeldContract::new(term, &self.config.keys);
        if contract.handed_over {
            let inherited = self.claims.received_handovers.remove(&scope);
            let valid = inherited.filter(|(e, _)| *e == contract.previous);
            if let Some((epoch, memory)) = valid {
                held.inherit_keys(epoch, memory);
            }
        }
        held.configure(&self.view.config.value.policy);
        held.check_takeover(now);
        self.held_contracts.insert(scope, held);
    }

    fn refresh_term(
        &mut self,
        now: Now,
        scope: Scope,
        contract: &Contract,
        confirmed: bool,
    ) {
        if scope == Scope::Tasks {
            if let Some(placer) = &mut self.placer {
                placer.term.confirmed = confirmed;
            }
            self.update_workers(now, &contract.targets);
        } else if let Some(held) = self.held_contracts.get_mut(&scope) {
            held.term.confirmed = confirmed;
            held.set_targets(now, &contract.targets);
        }
    }

    fn end_term(&mut self, now: Now, scope: Scope) {
        if scope == Scope::Tasks {
            self.placer = None;
            return;
        }
        if self.held_contracts.contains_key(&scope) {
            self.reroute_waiting(now, scope, Reason::NotHolder);
            self.held_contracts.remove(&scope);
        }
    }
}
