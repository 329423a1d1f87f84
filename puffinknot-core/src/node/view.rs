//! The newest known versions of the platform's values, from any source.
//!
//! A value never goes back to an earlier version: it is replaced only by one
//! of a higher revision, whether that comes from a read, from the watch or
//! from a peer.

use std::collections::{BTreeMap, BTreeSet};

use crate::calls::Load;
use crate::config::Config;
use crate::contract::{Contract, ContractMap, Scope};
use crate::ids::{DcName, Epoch, Millis, Revision, TargetId, VmId};
use crate::store::{Key, Member, StoredEntry, Value};
use crate::tasks::Progress;

use super::{Action, ListedTarget, Node, Now, Summary, UnreadableEntries};

/// A peer is forgotten after a silence of this many member lifetimes.
const PEER_RETENTION_TTLS: Millis = 100;

/// A value with its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Versioned<T> {
    pub(super) revision: Revision,
    pub(super) value: T,
}

/// The state of a peer, from its last summary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) dc: DcName,
    pub(super) heard_at: Millis,
    pub(super) platform_reachable: bool,
    pub(super) draining: bool,
    pub(super) config: Revision,
}

/// The platform's values as far as one VM knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// The revision of the last read or watch event; zero before the first.
    pub(super) revision: Revision,
    pub(super) config: Versioned<Config>,
    pub(super) config_text: String,
    pub(super) maps: BTreeMap<DcName, Versioned<ContractMap>>,
    pub(super) progress: Versioned<Progress>,
    pub(super) members: BTreeMap<VmId, Member>,
    /// The highest known epochs, including those from peers and targets.
    pub(super) epochs: BTreeMap<(DcName, Scope), Epoch>,
    pub(super) peers: BTreeMap<VmId, Peer>,
    /// Peers that have missed their last summaries.
    pub(super) silent_peers: BTreeSet<VmId>,
    /// The free capacity under each contract, as its holder last reported.
    pub(super) loads: BTreeMap<(DcName, Scope), Load>,
    pub(super) listed: BTreeMap<TargetId, ListedTarget>,
    /// When the VM list was last read well enough to show which targets are
    /// missing.
    pub(super) listed_at: Option<Millis>,
    /// The targets of contracts that the VM list lacks, each with the time
    /// of the first reading without it.
    pub(super) missing_since: BTreeMap<TargetId, Millis>,
    /// Targets that a peer or the target itself reported as leaving.
    pub(super) leaving: BTreeSet<TargetId>,
}

impl View {
    /// The revision of the operators' file in force; zero without one.
    pub fn config_revision(&self) -> Revision {
        self.config.revision
    }

    /// The operators' file in force, if there is one.
    pub fn config(&self) -> Option<&Config> {
        (self.config.revision > 0).then_some(&self.config.value)
    }

    /// The text of the operators' file in force.
    pub fn config_text(&self) -> &str {
        &self.config_text
    }

    /// The members that the platform lists, by name.
    pub fn members(&self) -> &BTreeMap<VmId, Member> {
        &self.members
    }

    /// The VM that holds a contract, according to the highest known epoch.
    pub fn holder(&self, dc: &DcName, scope: Scope) -> Option<&VmId> {
        self.epoch(dc, scope).map(|epoch| &epoch.holder)
    }

    /// The highest known epoch of a contract.
    pub fn epoch(&self, dc: &DcName, scope: Scope) -> Option<&Epoch> {
        let heard = self.epochs.get(&(dc.clone(), scope));
        let map = self.maps.get(dc).and_then(|m| m.value.epoch(scope));
        heard.max(map)
    }

    /// The contracts of a data centre, as the platform holds them.
    pub fn contract_map(&self, dc: &DcName) -> Option<&ContractMap> {
        self.maps.get(dc).map(|map| &map.value)
    }

    /// One contract, as the platform holds it.
    pub(super) fn contract(
        &self,
        dc: &DcName,
        scope: Scope,
    ) -> Option<&Contract> {
        self.contract_map(dc)?.contracts.get(&scope)
    }

    /// Whether any source reports that the target is leaving.
    pub fn is_leaving(&self, target: &TargetId) -> bool {
        let listed = self.listed.get(target).is_some_and(|l| l.leaving);
        listed || self.leaving.contains(target)
    }

    /// Targets that are permanently gone: the readings of the VM list over
    /// `span` lacked them. The span runs from reading to reading, and the
    /// last reading must be recent, because a time without readings shows
    /// nothing.
    pub(super) fn gone_targets(
        &self,
        now: Now,
        span: Millis,
    ) -> Vec<TargetId> {
        let recent = |at: &Millis| at + span > now.mono;
        let Some(last) = self.listed_at.filter(recent) else { return vec![] };
        let gone = |since: Millis| since + span <= last;
        let missing =
            self.missing_since.iter().filter(|(_, since)| gone(**since));
        missing.map(|(target, _)| target.clone()).collect()
    }

    /// Whether a peer that was heard before has missed its last summaries.
    pub(super) fn is_silent(&self, vm: &VmId) -> bool {
        self.silent_peers.contains(vm)
    }

    /// Recomputes which peers have not been heard for `span`.
    pub(super) fn update_silent_peers(&mut self, now: Now, span: Millis) {
        let late = |(_, p): &(&VmId, &Peer)| p.heard_at + span <= now.mono;
        let silent = self.peers.iter().filter(late);
        self.silent_peers = silent.map(|(vm, _)| vm.clone()).collect();
        // A peer that was silent for this long does not return under the same
        // name.
        let forget = span * PEER_RETENTION_TTLS;
        self.peers.retain(|_, p| p.heard_at + forget > now.mono);
    }

    pub(super) fn map_revisions(&self) -> BTreeMap<DcName, Revision> {
        self.maps.iter().map(|(dc, m)| (dc.clone(), m.revision)).collect()
    }

    pub(super) fn epochs(&self, dc: &DcName) -> BTreeMap<Scope, Epoch> {
        let Some(map) = self.contract_map(dc) else { return BTreeMap::new() };
        let scopes = map.contracts.keys();
        let known = scopes.filter_map(|scope| {
            Some((*scope, self.epoch(dc, *scope)?.clone()))
        });
        known.collect()
    }

    pub(super) fn leaving_here(&self, dc: &DcName) -> BTreeSet<TargetId> {
        let is_leaving_here =
            |l: &&ListedTarget| l.dc == *dc && self.is_leaving(&l.id);
        let listed = self.listed.values().filter(is_leaving_here);
        listed.map(|l| l.id.clone()).collect()
    }

    /// Records an epoch. Returns whether it is the highest known.
    pub(super) fn record_epoch(
        &mut self,
        dc: &DcName,
        scope: Scope,
        epoch: &Epoch,
    ) -> bool {
        if self.epoch(dc, scope).is_some_and(|known| known >= epoch) {
            return false;
        }
        self.epochs.insert((dc.clone(), scope), epoch.clone());
        true
    }

    /// All values that a peer may need, in their stored form.
    pub fn export(&self) -> Vec<StoredEntry> {
        let mut all = Vec::new();
        if self.config.revision > 0 {
            let value = Value::Config(self.config_text.clone());
            let revision = self.config.revision;
            all.push(StoredEntry { key: Key::Config, value, revision });
        }
        for (dc, map) in &self.maps {
            all.push(StoredEntry {
                key: Key::Contracts(dc.clone()),
                value: Value::Contracts(map.value.clone()),
                revision: map.revision,
            });
        }
        for (vm, member) in &self.members {
            all.push(StoredEntry {
                key: Key::Member(member.dc.clone(), vm.clone()),
                value: Value::Member(member.clone()),
                revision: self.revision,
            });
        }
        all
    }
}

impl Node {
    pub(super) fn on_snapshot(
        &mut self,
        now: Now,
        revision: Revision,
        stored: Vec<StoredEntry>,
    ) {
        if revision < self.view.revision {
            return;
        }
        self.view.revision = revision;
        self.view.members.clear();
        self.apply(now, stored);
        self.claims.read_finished();
        self.on_view_changed(now);
    }

    pub(super) fn on_changed(
        &mut self,
        now: Now,
        revision: Revision,
        stored: Vec<StoredEntry>,
        deleted: Vec<Key>,
    ) {
        if revision <= self.view.revision {
            return;
        }
        self.view.revision = revision;
        for key in deleted {
            if let Key::Member(_, vm) = key {
                self.view.members.remove(&vm);
            }
        }
        self.apply(now, stored);
        self.on_view_changed(now);
    }

    /// Applies the values that a peer knows. Members are applied only until
    /// the first read of the platform, because a peer can't tell who has
    /// left.
    pub(super) fn on_values(&mut self, now: Now, stored: Vec<StoredEntry>) {
        let never_read = self.view.revision == 0;
        let is_usable =
            |s: &StoredEntry| never_read || !matches!(s.key, Key::Member(..));
        let stored = stored.into_iter().filter(is_usable).collect();
        self.apply(now, stored);
        self.on_view_changed(now);
    }

    fn apply(&mut self, now: Now, stored: Vec<StoredEntry>) {
        for StoredEntry { key, value, revision } in stored {
            match (key, value) {
                (Key::Config, Value::Config(text)) => {
                    self.apply_config(revision, text);
                }
                (Key::Contracts(dc), Value::Contracts(map)) => {
                    self.apply_contract_map(dc, revision, map);
                }
                (Key::Progress(dc), Value::Progress(progress)) => {
                    if dc == self.config.dc {
                        self.apply_progress(now, revision, progress);
                    }
                }
                (Key::Member(_, vm), Value::Member(member)) => {
                    self.view.members.insert(vm, member);
                }
                _ => self.counters.bad_values += 1,
            }
        }
    }

    fn apply_config(&mut self, revision: Revision, text: String) {
        if revision <= self.view.config.revision {
            return;
        }
        match Config::parse(&text) {
            Ok(value) => {
                self.view.config = Versioned { revision, value };
                self.view.config_text = text;
                self.actions.push(Action::ConfigApplied(revision));
                self.configure();
            }
            Err(_) => self.counters.bad_values += 1,
        }
    }

    fn apply_contract_map(
        &mut self,
        dc: DcName,
        revision: Revision,
        map: ContractMap,
    ) {
        let known = self.view.maps.entry(dc).or_default();
        if revision > known.revision {
            *known = Versioned { revision, value: map };
        }
    }

    fn apply_progress(
        &mut self,
        now: Now,
        revision: Revision,
        progress: Progress,
    ) {
        if revision > self.view.progress.revision {
            self.view.progress = Versioned { revision, value: progress };
            self.progress_changed(now);
        }
    }

    /// Applies a new revision of the operators' file.
    fn configure(&mut self) {
        let config = &self.view.config.value;
        for held in self.held_contracts.values_mut() {
            held.configure(&config.policy);
        }
        if let Some(placer) = &mut self.placer {
            placer.apply_config(config);
        }
    }

    /// Updates everything that depends on the view.
    pub(super) fn on_view_changed(&mut self, now: Now) {
        self.update_claims(now);
        self.update_held_calls(now);
        self.update_placer(now);
    }

    pub(super) fn on_summary(&mut self, now: Now, summary: Summary) {
        let dc = summary.dc.clone();
        let peer = Peer {
            dc: dc.clone(),
            heard_at: now.mono,
            platform_reachable: summary.platform,
            draining: summary.draining,
            config: summary.config,
        };
        self.view.silent_peers.remove(&summary.vm);
        self.view.peers.insert(summary.vm.clone(), peer);
        for (scope, load) in summary.loads {
            self.view.loads.insert((dc.clone(), scope), load);
        }
        let is_newer = |(dc, revision): (&DcName, &Revision)| {
            let known = self.view.maps.get(dc).map_or(0, |m| m.revision);
            *revision > known
        };
        let outdated = summary.maps.iter().any(is_newer)
            || summary.config > self.view.config.revision;
        if outdated {
            self.actions.push(Action::Fetch { vm: summary.vm });
        }
        let mut changed = false;
        for (scope, epoch) in &summary.epochs {
            changed |= self.view.record_epoch(&dc, *scope, epoch);
        }
        for target in summary.leaving {
            changed |= self.view.leaving.insert(target);
        }
        if changed {
            self.on_view_changed(now);
        }
    }

    /// Applies a reading of the VM list. An unreadable entry changes nothing
    /// that is known of its target. An entry of an unidentified target leaves
    /// open which targets are missing, so that such a reading counts against
    /// no target.
    pub(super) fn on_listed(
        &mut self,
        now: Now,
        listed: Vec<ListedTarget>,
        unread: &UnreadableEntries,
    ) {
        let known = std::mem::take(&mut self.view.listed);
        let mut all: BTreeMap<TargetId, ListedTarget> = known
            .into_iter()
            .filter(|(id, _)| unread.may_include(id))
            .collect();
        all.extend(listed.into_iter().map(|l| (l.id.clone(), l)));
        self.view.listed = all;
        let listed = &self.view.listed;
        let may_be_listed =
            |id: &TargetId| listed.contains_key(id) || unread.may_include(id);
        self.view.leaving.retain(may_be_listed);
        if unread.unidentified == 0 {
            self.record_missing(now, unread);
        } else {
            self.view.missing_since.retain(|id, _| {
                !listed.contains_key(id) && !unread.targets.contains(id)
            });
        }
        self.on_view_changed(now);
    }

    /// Records the targets that a reading of the VM list lacks.
    fn record_missing(&mut self, now: Now, unread: &UnreadableEntries) {
        let enrolled = self.view.contract_map(&self.config.dc).map(|map| {
            let contracts = map.contracts.values();
            contracts.flat_map(|c| c.targets.iter().cloned()).collect()
        });
        let enrolled: BTreeSet<TargetId> = enrolled.unwrap_or_default();
        // A target that was missing before a gap in the readings may have
        // been listed during the gap, so its time starts anew.
        let span = self.config.gone_after;
        let last = self.view.listed_at.replace(now.mono);
        if last.is_none_or(|at| at + span <= now.mono) {
            self.view.missing_since.clear();
        }
        let mut missing = BTreeMap::new();
        for target in enrolled {
            let listed = self.view.listed.contains_key(&target);
            if !listed && !unread.targets.contains(&target) {
                let since = self.view.missing_since.get(&target).copied();
                missing.insert(target, since.unwrap_or(now.mono));
            }
        }
        self.view.missing_since = missing;
    }
}
