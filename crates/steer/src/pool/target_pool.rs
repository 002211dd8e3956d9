//! The slots of a pool and the requests that wait for one.

use super::{Permit, Ticket};
use crate::{ErrorKind, PoolRoom, TargetName, TargetSettings, choose_target};
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::{sync::oneshot, time::timeout_at};

#[derive(Debug)]
struct Slots {
    address: SocketAddr,
    busy: u32,
    drained: bool,
    slots: u32,
}

#[derive(Debug, Default)]
struct State {
    queue: VecDeque<oneshot::Sender<Permit>>,
    targets: BTreeMap<TargetName, Slots>,
}

/// Counts the slots of a pool's targets exactly and queues what finds none free.
#[derive(Debug, Default)]
pub struct TargetPool {
    state: Mutex<State>,
}

impl TargetPool {
    /// Most requests that wait.
    pub const QUEUE_LIMIT: usize = 512;

    /// Makes a pool without targets.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the pool's lock panics")
    }

    /// Takes the targets from settings; counts of those that stay are kept.
    pub fn set_targets<'a>(
        self: &Arc<Self>,
        targets: impl IntoIterator<Item = (&'a TargetName, &'a TargetSettings, bool)>,
    ) {
        let mut state = self.lock();
        let mut held = std::mem::take(&mut state.targets);
        for (name, settings, drained) in targets {
            let busy = held.remove(name).map_or(0, |slots| slots.busy);
            let slots = Slots { address: settings.address, busy, drained, slots: settings.slots };
            state.targets.insert(name.clone(), slots);
        }
        for (name, slots) in held {
            if slots.busy > 0 {
                state.targets.insert(name, Slots { drained: true, ..slots });
            }
        }
        drop(state);
        self.dispatch();
    }

    /// Waits for a slot until the ticket's deadline.
    ///
    /// # Errors
    ///
    /// `NoRoom` where the queue is full, `DeadlineTooShort` where no slot came free in time.
    pub async fn admit(self: &Arc<Self>, ticket: &Ticket) -> Result<Permit, ErrorKind> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.lock();
            if state.queue.len() >= Self::QUEUE_LIMIT {
                return Err(ErrorKind::NoRoom);
            }
            state.queue.push_back(sender);
        }
        self.dispatch();
        match timeout_at(ticket.deadline, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(ErrorKind::NoRoom),
            Err(_) => Err(ErrorKind::DeadlineTooShort),
        }
    }

    /// Takes a slot that is free now and that no request waits for.
    pub fn try_admit(self: &Arc<Self>) -> Option<Permit> {
        let mut state = self.lock();
        if state.queue.iter().any(|waiting| !waiting.is_closed()) {
            return None;
        }
        self.take_slot(&mut state)
    }

    /// Free slots and waiting requests now.
    pub fn room(&self) -> PoolRoom {
        let state = self.lock();
        let open = state.targets.values().filter(|t| !t.drained);
        let (slots, busy) = open.fold((0, 0), |(s, b), t| (s + t.slots, b + t.busy.min(t.slots)));
        PoolRoom { free: slots - busy, queued: state.queue.len() as u32, slots }
    }

    pub(super) fn release(self: &Arc<Self>, target: &TargetName) {
        if let Some(slots) = self.lock().targets.get_mut(target) {
            slots.busy = slots.busy.saturating_sub(1);
        }
        self.dispatch();
    }

    fn dispatch(self: &Arc<Self>) {
        while let Some((sender, permit)) = self.next_grant() {
            // A caller that went away drops the receiver; the permit comes back and is
            // released, which frees the slot for the next in the queue.
            drop(sender.send(permit));
        }
    }

    fn next_grant(self: &Arc<Self>) -> Option<(oneshot::Sender<Permit>, Permit)> {
        let mut state = self.lock();
        while state.queue.front().is_some_and(oneshot::Sender::is_closed) {
            state.queue.pop_front();
        }
        state.queue.front()?;
        let permit = self.take_slot(&mut state)?;
        let sender = state.queue.pop_front()?;
        Some((sender, permit))
    }

    fn take_slot(self: &Arc<Self>, state: &mut State) -> Option<Permit> {
        let open = state.targets.iter().filter(|(_, t)| !t.drained);
        let target = choose_target(open.map(|(name, t)| (name, t.busy, t.slots)))?.clone();
        let slots = state.targets.get_mut(&target)?;
        slots.busy += 1;
        let address = slots.address;
        Some(Permit { address, pool: Arc::clone(self), target })
    }
}
