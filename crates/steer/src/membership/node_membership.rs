//! What an entry VM says to its peers and takes from them.

use super::{
    ControlPart, ControlUsage, EntryVm, Knowledge, PartUsage, PeerRecord, Rejection, TalkPlan,
    VmState,
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
    /// Takes the introduction of a peer.
    ///
    /// # Errors
    ///
    /// Why it is refused.
    pub fn meet(&self, beat: Heartbeat) -> Result<(), Rejection> {
        let (name, incarnation) = (beat.vm.name.clone(), beat.vm.incarnation);
        self.members().hear(self.vm(), beat, Instant::now())?;
        let mut talk = self.talk().lock();
        let cursors = talk.cursors.entry(name).or_default();
        if cursors.incarnation != incarnation {
            *cursors = super::talk_state::PeerCursors { incarnation, ..Default::default() };
        }
        Ok(())
    }

    /// Forgets what a peer was told, after it said that it does not know this VM.
    pub fn restart_talk(&self, peer: SocketAddr) {
        let name = self.members().at(peer).map(|record| record.vm.name.clone());
        if let Some(name) = name {
            self.talk().lock().cursors.remove(&name);
        }
    }

    /// What a peer has not been told yet.
    pub fn exchange_for(&self, to: &EntryVm) -> Exchange {
        let own = self.heartbeat();
        let now = Instant::now();
        let mut members = self.members();
        members.note_own(own.state, &own.room);
        let talk = self.talk().lock();
        let cursors = talk.cursors.get(&to.name).copied().unwrap_or_default();
        let after = cursors.acked;
        let (news, rooms, sent) = members.news_for(self.vm(), to, after);
        let due = |changed: u64| changed > after.0 && changed <= sent.0;
        let mate = to.zone == self.vm().zone;
        let leaving = &talk.leaving;
        let offered = talk.settings.iter().filter(|(_, changed)| after.0 > 0 && due(**changed));
        let paths: Vec<SettingsPath> = offered.map(|(path, _)| path.clone()).collect();
        let leaving = leaving.own.clone().filter(|_| mate && due(leaving.changed));
        let age = talk.knowledge.settings_at.map(|then| now.duration_since(then));
        let suspects = members.suspects_for(self.vm(), to);
        let mates = members.mates_for(to, after, sent);
        drop((members, talk));
        Exchange {
            age,
            base: after,
            digest: own.digest,
            from: own.vm.name,
            incarnation: own.vm.incarnation,
            leaving,
            mates,
            members: news,
            offers: self.with_tree(|tree| {
                let version = |path: SettingsPath| Some((path.clone(), tree.version(&path)?));
                paths.into_iter().filter_map(version).collect()
            }),
            rooms,
            seen: cursors.seen,
            sent,
            suspects,
        }
    }

    /// Takes what a peer says has changed.
    ///
    /// # Errors
    ///
    /// Why it is refused.
    pub fn take_exchange(&self, exchange: Exchange) -> Result<(), Rejection> {
        let now = Instant::now();
        let refutations = {
            let mut members = self.members();
            let before = members.refutation();
            members.take(self.vm(), &exchange, now)?;
            (before, members.refutation(), members.is_urgent())
        };
        self.note_mates(&exchange.mates);
        if refutations.2 {
            self.talk().changed.notify_one();
        }
        let suspects = !exchange.suspects.is_empty();
        let mut talk = self.talk().lock();
        let cursors = talk.cursors.entry(exchange.from.clone()).or_default();
        cursors.incarnation = exchange.incarnation;
        cursors.acked = exchange.seen;
        if exchange.base <= cursors.seen {
            cursors.seen = cursors.seen.max(exchange.sent);
        }
        if let Some(age) = exchange.age {
            let then = now.checked_sub(age);
            talk.knowledge.settings_at = talk.knowledge.settings_at.max(then);
        }
        if !exchange.offers.is_empty() {
            let offers = talk.offers.entry(exchange.from.clone()).or_default();
            offers.extend(exchange.offers);
        }
        let told = exchange.leaving.is_some();
        if let Some(leaving) = exchange.leaving {
            talk.leaving.told.insert(exchange.from, leaving);
        }
        drop(talk);
        if told {
            self.apply_leaving();
        }
        if refutations.0 != refutations.1 || suspects {
            debug!(self.log(), "membership: suspicion heard"; "refutation" => refutations.1);
            self.announce();
        }
        Ok(())
    }

    /// Gets to know VMs of this zone that a peer knows.
    fn note_mates(&self, mates: &BTreeSet<SocketAddr>) {
        if mates.is_empty() {
            return;
        }
        let known: BTreeSet<_> = self.peers().iter().map(|p| p.vm.addresses.peers).collect();
        let new: Vec<_> = mates.difference(&known).copied().collect();
        self.talk().lock().listed.extend(new);
        self.talk().changed.notify_one();
    }

    /// Tells all peers at once what changed.
    pub fn announce(&self) {
        self.talk().wake_all();
    }

    /// The signal that makes the talk with a peer say at once what changed.
    pub fn wake_of(&self, peer: SocketAddr) -> Arc<Notify> {
        self.talk().wake_of(peer)
    }

    /// Counts the pauses of this process: after each, shares and leases of before are void.
    pub fn watch_pauses(&self) -> watch::Receiver<u64> {
        self.talk().watch_pauses()
    }

    /// Judges silent peers and plans the talks anew where something changed.
    pub fn sweep(&self) -> Arc<TalkPlan> {
        let (swept, plan) = {
            let mut members = self.members();
            let swept = members.sweep(Instant::now());
            let urgent = members.take_urgent();
            (swept, urgent.then(|| members.plan(self.vm())))
        };
        if swept.paused {
            warn!(self.log(), "membership: this VM was paused");
            self.talk().note_pause();
        }
        let mut talk = self.talk().lock();
        for name in &swept.lost {
            if let Some(cursors) = talk.cursors.get_mut(name) {
                cursors.seen = Cursor::default();
            }
        }
        let first = talk.plan.periods.is_empty();
        let Some(plan) = plan.or_else(|| first.then(|| self.members().plan(self.vm()))) else {
            return Arc::clone(&talk.plan);
        };
        if talk.plan.delegate != plan.delegate {
            info!(self.log(), "membership: role changed"; "delegate" => plan.delegate);
        }
        let plan = Arc::new(plan);
        talk.plan = Arc::clone(&plan);
        drop(talk);
        self.announce();
        plan
    }

    /// This VM speaks for its zone and watches the platform for it.
    pub fn is_delegate(&self) -> bool {
        self.talk().lock().plan.delegate
    }

    /// Whom this VM talks to now.
    pub fn plan(&self) -> Arc<TalkPlan> {
        Arc::clone(&self.talk().lock().plan)
    }

    /// Takes the addresses of peers that the process settings name.
    pub fn set_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.talk().lock().seeds = seeds.into_iter().collect();
    }

    /// Takes listed VMs that are not known yet.
    pub fn set_strangers(&self, listed: BTreeSet<SocketAddr>) {
        self.talk().lock().listed = listed;
    }

    /// VMs to get to know: listed ones, and the seeds while no peer is known.
    pub fn strangers(&self) -> BTreeSet<SocketAddr> {
        let alone = self.members().live(Instant::now()).next().is_none();
        let talk = self.talk().lock();
        let mut wanted = talk.listed.clone();
        if alone {
            wanted.extend(talk.seeds.iter().copied());
        }
        wanted.remove(&self.vm().addresses.peers);
        wanted
    }

    /// Notes that all that a peer has at a digest was fetched from it.
    pub(crate) fn note_compared(&self, peer: &VmName, theirs: u64) {
        let own = self.digest();
        self.talk().lock().compared.insert(peer.clone(), (theirs, own));
    }

    /// Whether all that a peer has at a digest was fetched, and nothing has changed here since.
    pub(crate) fn is_compared(&self, peer: &VmName, theirs: u64) -> bool {
        let own = self.digest();
        own == theirs || self.talk().lock().compared.get(peer) == Some(&(theirs, own))
    }

    /// No peer that is heard is known to have newer settings.
    pub fn has_current_settings(&self) -> bool {
        let mut peers = self.peers().into_iter().filter(PeerRecord::is_direct);
        self.snapshot().fleet().is_some() && peers.all(|p| self.is_compared(&p.vm.name, p.digest))
    }

    /// Digest of the settings in force.
    pub fn digest(&self) -> u64 {
        self.with_tree(crate::SettingsTree::digest)
    }

    /// Whether a peer has offered settings that were not fetched yet.
    pub fn has_offers(&self, peer: &PeerRecord) -> bool {
        self.talk().lock().offers.contains_key(&peer.vm.name)
    }

    /// A view of the life cycle that tells when it changes.
    pub fn watch_state(&self) -> watch::Receiver<VmState> {
        self.state_receiver().clone()
    }

    /// Bytes of control traffic of one part since the start.
    pub fn control_usage(&self, part: ControlPart) -> PartUsage {
        let (asked, answered) = (self.ports().peers.usage().part(part), self.control().part(part));
        PartUsage {
            messages: asked.messages + answered.messages,
            received: asked.received + answered.received,
            sent: asked.sent + answered.sent,
        }
    }

    /// Reports the bytes of control traffic by part as levels.
    pub fn meter_control(&self) {
        for part in ControlPart::ALL {
            let usage = self.control_usage(part);
            let meter = &self.ports().meter;
            meter.gauge(&format!("control.{part}.received"), usage.received);
            meter.gauge(&format!("control.{part}.sent"), usage.sent);
        }
    }

    /// Counts the control traffic that this VM answers.
    pub fn control(&self) -> &ControlUsage {
        &self.talk().control
    }

    /// How old the knowledge from the platform is.
    pub fn knowledge(&self) -> Knowledge {
        self.talk().lock().knowledge
    }

    /// Notes that the platform confirmed the settings in force.
    pub fn note_settings_confirmed(&self) {
        self.talk().lock().knowledge.settings_at = Some(Instant::now());
    }

    /// Takes the leaving targets of this zone from the platform's list.
    pub fn note_leaving(&self, names: BTreeSet<TargetName>) {
        let changed = self.members().next_change();
        let mut talk = self.talk().lock();
        talk.knowledge.list_at = Some(Instant::now());
        if talk.leaving.own.as_ref() == Some(&names) {
            return;
        }
        talk.leaving.own = Some(names);
        talk.leaving.changed = changed;
        drop(talk);
        self.apply_leaving();
        self.announce();
    }

    /// Joins what this VM and the peers that are heard say of leaving targets.
    fn apply_leaving(&self) {
        let live: BTreeSet<_> = self.peers().into_iter().map(|p| p.vm.name).collect();
        let mut talk = self.talk().lock();
        talk.leaving.told.retain(|name, _| live.contains(name));
        let told = talk.leaving.told.values().flatten();
        let own = talk.leaving.own.iter().flatten();
        let names: BTreeSet<TargetName> = told.chain(own).cloned().collect();
        drop(talk);
        self.set_leaving(names);
    }

    /// Notes that a document came into force, and tells all peers at once.
    pub(crate) fn note_settings_change(&self, path: &SettingsPath) {
        let changed = self.members().next_change();
        self.talk().lock().settings.insert(path.clone(), changed);
        self.announce();
    }

    /// What a peer offered and this VM lacks, as a query for just that.
    pub fn offered_by(&self, peer: &PeerRecord) -> Option<SettingsQuery> {
        let offers = self.talk().lock().offers.remove(&peer.vm.name)?;
        let versions: BTreeMap<_, _> = self.with_tree(|tree| {
            let lacking = offers.into_iter().filter_map(|(path, offered)| {
                let held = tree.version(&path).unwrap_or_default();
                (held < offered).then_some((path, held))
            });
            lacking.collect()
        });
        (!versions.is_empty()).then_some(SettingsQuery { named: true, versions })
    }

    /// Names of the peers that take new work, sorted.
    pub fn serving_peers(&self) -> Vec<VmName> {
        self.members().serving(Instant::now()).map(|p| p.vm.name.clone()).collect()
    }

    /// A peer at an address.
    pub fn peer_at(&self, address: SocketAddr) -> Option<PeerRecord> {
        self.members().at(address).cloned()
    }

    /// The documents that a query asks for and that are newer here.
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
