//! The messages that an entry VM exchanges with its peers.

use super::{
    ControlPart, ControlUsage, EntryVm, HeartbeatPlan, PartUsage, PeerRecord, PlatformFreshness,
    Rejection, VmState,
};
use crate::{
    Cursor, EntryNode, Exchange, Heartbeat, SettingsBatch, SettingsDocument, SettingsPath,
    SettingsQuery, TargetName, VmName,
};
use slog::{debug, info, warn};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

impl EntryNode {
    /// Applies the heartbeat of a peer.
    ///
    /// # Errors
    ///
    /// The reason for a rejection.
    pub fn apply_heartbeat(&self, beat: Heartbeat) -> Result<(), Rejection> {
        let (name, incarnation) = (beat.vm.name.clone(), beat.vm.incarnation);
        self.members().apply_heartbeat(self.vm(), beat, Instant::now())?;
        let mut shared = self.exchange_state().lock();
        let cursors = shared.cursors.entry(name).or_default();
        if cursors.incarnation != incarnation {
            *cursors = super::exchange_state::PeerCursors { incarnation, ..Default::default() };
        }
        Ok(())
    }

    /// Discards the cursors of a peer that replied that it doesn't know this VM, so that all changes
    /// are sent again.
    pub fn reset_cursor(&self, peer: SocketAddr) {
        let name = self.members().find_by_address(peer).map(|record| record.vm.name.clone());
        if let Some(name) = name {
            self.exchange_state().lock().cursors.remove(&name);
        }
    }

    /// The changes that a peer has not received yet.
    pub fn exchange_for(&self, to: &EntryVm) -> Exchange {
        let own = self.heartbeat();
        let now = Instant::now();
        let mut members = self.members();
        members.update_own(own.state, &own.room);
        let shared = self.exchange_state().lock();
        let cursors = shared.cursors.get(&to.name).copied().unwrap_or_default();
        let after = cursors.acked;
        let (updates, rooms, sent) = members.changes_for(self.vm(), to, after);
        let due = |changed: u64| changed > after.0 && changed <= sent.0;
        let same_zone = to.zone == self.vm().zone;
        let leaving = &shared.leaving;
        let offered = shared.settings.iter().filter(|(_, changed)| after.0 > 0 && due(**changed));
        let paths: Vec<SettingsPath> = offered.map(|(path, _)| path.clone()).collect();
        let leaving = leaving.own.clone().filter(|_| same_zone && due(leaving.changed));
        let age = shared.freshness.settings_at.map(|then| now.duration_since(then));
        let suspects = members.suspects_for(self.vm(), to);
        let mates = members.zone_peers_for(to, after, sent);
        drop((members, shared));
        Exchange {
            age,
            base: after,
            digest: own.digest,
            from: own.vm.name,
            incarnation: own.vm.incarnation,
            leaving,
            mates,
            members: updates,
            offers: self.with_tree(|tree| {
                let version = |path: SettingsPath| Some((path.clone(), tree.version(&path)?));
                paths.into_iter().filter_map(version).collect()
            }),
            rooms,
            seen: cursors.received,
            sent,
            suspects,
        }
    }

    /// Applies the changes that a peer reports.
    ///
    /// # Errors
    ///
    /// The reason for a rejection.
    pub fn apply_exchange(&self, exchange: Exchange) -> Result<(), Rejection> {
        let now = Instant::now();
        let (refutation_before, refutation, urgent) = {
            let mut members = self.members();
            let before = members.refutation();
            members.apply_exchange(self.vm(), &exchange, now)?;
            (before, members.refutation(), members.is_urgent())
        };
        self.add_zone_peers(&exchange.mates);
        if urgent {
            self.exchange_state().changed.notify_one();
        }
        let suspects = !exchange.suspects.is_empty();
        let mut shared = self.exchange_state().lock();
        let cursors = shared.cursors.entry(exchange.from.clone()).or_default();
        cursors.incarnation = exchange.incarnation;
        cursors.acked = exchange.seen;
        if exchange.base <= cursors.received {
            cursors.received = cursors.received.max(exchange.sent);
        }
        if let Some(age) = exchange.age {
            let then = now.checked_sub(age);
            shared.freshness.settings_at = shared.freshness.settings_at.max(then);
        }
        if !exchange.offers.is_empty() {
            let offers = shared.offers.entry(exchange.from.clone()).or_default();
            offers.extend(exchange.offers);
        }
        let reported = exchange.leaving.is_some();
        if let Some(leaving) = exchange.leaving {
            shared.leaving.reported.insert(exchange.from, leaving);
        }
        drop(shared);
        if reported {
            self.merge_leaving();
        }
        if refutation_before != refutation || suspects {
            debug!(self.log(), "membership: received suspicions"; "refutation" => refutation);
            self.send_pending_changes();
        }
        Ok(())
    }

    /// Adds the addresses of VMs of this zone that are known to a peer but not to this VM.
    fn add_zone_peers(&self, mates: &BTreeSet<SocketAddr>) {
        if mates.is_empty() {
            return;
        }
        let known: BTreeSet<_> = self.peers().iter().map(|p| p.vm.addresses.peers).collect();
        let new: Vec<_> = mates.difference(&known).copied().collect();
        self.exchange_state().lock().listed.extend(new);
        self.exchange_state().changed.notify_one();
    }

    /// Makes all peer tasks send pending changes at once.
    pub fn send_pending_changes(&self) {
        self.exchange_state().wake_all();
    }

    /// The signal on which the task of a peer sends pending changes at once.
    pub fn wakeup_for(&self, peer: SocketAddr) -> Arc<Notify> {
        self.exchange_state().wakeup_for(peer)
    }

    /// Watches the number of pauses of this process; a pause invalidates all shares and leases from
    /// before it.
    pub fn watch_pauses(&self) -> watch::Receiver<u64> {
        self.exchange_state().watch_pauses()
    }

    /// Checks for silent peers, and plans the heartbeats again if the membership changed.
    pub fn sweep_peers(&self) -> Arc<HeartbeatPlan> {
        let (swept, plan) = {
            let mut members = self.members();
            let swept = members.sweep(Instant::now());
            let urgent = members.take_urgent();
            (swept, urgent.then(|| members.plan_heartbeats(self.vm())))
        };
        if swept.paused {
            warn!(self.log(), "membership: this VM was paused");
            self.exchange_state().record_pause();
        }
        let mut shared = self.exchange_state().lock();
        for name in &swept.lost {
            if let Some(cursors) = shared.cursors.get_mut(name) {
                cursors.received = Cursor::default();
            }
        }
        let first = shared.plan.periods.is_empty();
        let Some(plan) = plan.or_else(|| first.then(|| self.members().plan_heartbeats(self.vm())))
        else {
            return Arc::clone(&shared.plan);
        };
        if shared.plan.delegate != plan.delegate {
            info!(self.log(), "membership: role changed"; "delegate" => plan.delegate);
        }
        let plan = Arc::new(plan);
        shared.plan = Arc::clone(&plan);
        drop(shared);
        self.send_pending_changes();
        plan
    }

    /// Whether this VM is a delegate of its zone, which watches the platform for the zone.
    pub fn is_delegate(&self) -> bool {
        self.exchange_state().lock().plan.delegate
    }

    /// The current heartbeat plan.
    pub fn heartbeat_plan(&self) -> Arc<HeartbeatPlan> {
        Arc::clone(&self.exchange_state().lock().plan)
    }

    /// Sets the addresses of the seed peers in the process settings.
    pub fn set_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.exchange_state().lock().seeds = seeds.into_iter().collect();
    }

    /// Sets the addresses of VMs that the platform lists and this VM doesn't know yet.
    pub fn set_unknown_peers(&self, listed: BTreeSet<SocketAddr>) {
        self.exchange_state().lock().listed = listed;
    }

    /// Addresses of VMs to contact first: unknown listed ones, and the seeds while no live peer is
    /// known.
    pub fn unknown_peers(&self) -> BTreeSet<SocketAddr> {
        let alone = self.members().live(Instant::now()).next().is_none();
        let shared = self.exchange_state().lock();
        let mut wanted = shared.listed.clone();
        if alone {
            wanted.extend(shared.seeds.iter().copied());
        }
        wanted.remove(&self.vm().addresses.peers);
        wanted
    }

    /// Records that all settings of a peer at a digest were fetched.
    pub(crate) fn record_settings_fetched(&self, peer: &VmName, peer_digest: u64) {
        let own = self.settings_digest();
        self.exchange_state().lock().fetched.insert(peer.clone(), (peer_digest, own));
    }

    /// Whether all settings of a peer at a digest were fetched and nothing has changed here since.
    pub(crate) fn has_fetched_settings(&self, peer: &VmName, peer_digest: u64) -> bool {
        let own = self.settings_digest();
        own == peer_digest
            || self.exchange_state().lock().fetched.get(peer) == Some(&(peer_digest, own))
    }

    /// Whether fleet settings are in force and no peer whose messages arrive here is known to have
    /// newer ones.
    pub fn has_current_settings(&self) -> bool {
        let mut peers = self.peers().into_iter().filter(PeerRecord::has_contact);
        self.snapshot().fleet().is_some()
            && peers.all(|p| self.has_fetched_settings(&p.vm.name, p.digest))
    }

    /// Digest of the settings in force.
    pub fn settings_digest(&self) -> u64 {
        self.with_tree(crate::SettingsTree::digest)
    }

    /// Whether a peer has offered settings that are not fetched yet.
    pub fn has_offers(&self, peer: &PeerRecord) -> bool {
        self.exchange_state().lock().offers.contains_key(&peer.vm.name)
    }

    /// Watches the state of this VM's life cycle.
    pub fn watch_state(&self) -> watch::Receiver<VmState> {
        self.state_receiver().clone()
    }

    /// Control traffic of one kind since the process started.
    pub fn control_usage(&self, part: ControlPart) -> PartUsage {
        let (outgoing, incoming) =
            (self.ports().peers.usage().part(part), self.incoming_control().part(part));
        PartUsage {
            messages: outgoing.messages + incoming.messages,
            received: outgoing.received + incoming.received,
            sent: outgoing.sent + incoming.sent,
        }
    }

    /// Reports the bytes of control traffic by kind as gauges.
    pub fn report_control_usage(&self) {
        for part in ControlPart::ALL {
            let usage = self.control_usage(part);
            let meter = &self.ports().meter;
            meter.gauge(&format!("control.{part}.received"), usage.received);
            meter.gauge(&format!("control.{part}.sent"), usage.sent);
        }
    }

    /// Counters of the control traffic that this VM answers.
    pub fn incoming_control(&self) -> &ControlUsage {
        &self.exchange_state().control
    }

    /// Freshness of the data from the platform.
    pub fn platform_freshness(&self) -> PlatformFreshness {
        self.exchange_state().lock().freshness
    }

    /// Records that the platform confirmed the settings in force.
    pub fn record_settings_confirmed(&self) {
        self.exchange_state().lock().freshness.settings_at = Some(Instant::now());
    }

    /// Sets the leaving targets of this zone from the platform's list.
    pub fn set_listed_leaving(&self, names: BTreeSet<TargetName>) {
        let changed = self.members().next_change();
        let mut shared = self.exchange_state().lock();
        shared.freshness.list_at = Some(Instant::now());
        if shared.leaving.own.as_ref() == Some(&names) {
            return;
        }
        shared.leaving.own = Some(names);
        shared.leaving.changed = changed;
        drop(shared);
        self.merge_leaving();
        self.send_pending_changes();
    }

    /// Merges the leaving targets of this VM with those that live peers reported.
    fn merge_leaving(&self) {
        let live: BTreeSet<_> = self.peers().into_iter().map(|p| p.vm.name).collect();
        let mut shared = self.exchange_state().lock();
        shared.leaving.reported.retain(|name, _| live.contains(name));
        let reported = shared.leaving.reported.values().flatten();
        let own = shared.leaving.own.iter().flatten();
        let names: BTreeSet<TargetName> = reported.chain(own).cloned().collect();
        drop(shared);
        self.set_leaving(names);
    }

    /// Records that a document came into force, and announces it to all peers at once.
    pub(crate) fn record_settings_change(&self, path: &SettingsPath) {
        let changed = self.members().next_change();
        self.exchange_state().lock().settings.insert(path.clone(), changed);
        self.send_pending_changes();
    }

    /// Removes the offers of a peer, and returns a query for the offered settings that are newer than
    /// this VM's.
    pub fn take_offers(&self, peer: &PeerRecord) -> Option<SettingsQuery> {
        let offers = self.exchange_state().lock().offers.remove(&peer.vm.name)?;
        let versions: BTreeMap<_, _> = self.with_tree(|tree| {
            let newer = offers.into_iter().filter_map(|(path, offered)| {
                let held = tree.version(&path).unwrap_or_default();
                (held < offered).then_some((path, held))
            });
            newer.collect()
        });
        (!versions.is_empty()).then_some(SettingsQuery { named: true, versions })
    }

    /// Names of the peers that accept new work, sorted.
    pub fn serving_peers(&self) -> Vec<VmName> {
        self.members().serving(Instant::now()).map(|p| p.vm.name.clone()).collect()
    }

    /// A peer at an address.
    pub fn peer_at(&self, address: SocketAddr) -> Option<PeerRecord> {
        self.members().find_by_address(address).cloned()
    }

    /// The documents that match a query and are newer here.
    pub(crate) fn newer_settings(&self, query: &SettingsQuery) -> SettingsBatch {
        let held = |path: &SettingsPath| query.versions.get(path).copied().unwrap_or_default();
        let wanted = |path: &SettingsPath| !query.named || query.versions.contains_key(path);
        let documents = self.with_tree(|tree| {
            let newer = tree.versions().filter(|(path, v)| wanted(path) && held(path) < *v);
            let newer = newer.filter_map(|(path, _)| tree.document(path));
            let to_document = |settings: &crate::Settings<crate::InForce>| SettingsDocument {
                path: settings.path().clone(),
                text: Arc::clone(settings.text()),
                version: settings.version(),
            };
            newer.map(to_document).collect()
        });
        SettingsBatch { documents }
    }
}
