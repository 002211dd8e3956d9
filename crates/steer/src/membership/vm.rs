//! The life cycle of this entry VM as a typestate.

use super::VmState;
use tokio::sync::watch;

/// Has no settings yet.
#[derive(Debug)]
pub struct Joining;
/// Accepts work.
#[derive(Debug)]
pub struct Serving;
/// Accepts no work while the settings drain it; may serve again.
#[derive(Debug)]
pub struct Paused;
/// Completes its requests and accepts no new ones.
#[derive(Debug)]
pub struct Draining;
/// Has ended.
#[derive(Debug)]
pub struct Stopped;

/// This entry VM in one state of its life cycle. Transitions go one way, except for a pause: a
/// VM that the settings drain serves again once the drain is removed. Peers see a pause as a
/// drain.
///
/// ```
/// use steer::{Vm, VmState};
/// let (vm, state) = Vm::join();
/// let vm = vm.serve();
/// assert_eq!(*state.borrow(), VmState::Serving);
/// let vm = vm.drain();
/// vm.stop();
/// assert_eq!(*state.borrow(), VmState::Stopped);
/// ```
///
/// A pause ends by serving again or by draining:
///
/// ```
/// let (vm, state) = steer::Vm::join();
/// let vm = vm.serve().pause();
/// assert_eq!(*state.borrow(), steer::VmState::Draining);
/// vm.serve();
/// assert_eq!(*state.borrow(), steer::VmState::Serving);
/// ```
///
/// A draining VM can't serve again:
///
/// ```compile_fail
/// let (vm, _) = steer::Vm::join();
/// vm.serve().drain().serve();
/// ```
#[derive(Debug)]
pub struct Vm<S> {
    announce: watch::Sender<VmState>,
    _state: S,
}

impl Vm<Joining> {
    /// Starts the life cycle; returns the VM and a receiver of its state for flows and peers.
    ///
    /// ```
    /// let (_vm, state) = steer::Vm::join();
    /// assert_eq!(*state.borrow(), steer::VmState::Joining);
    /// ```
    pub fn join() -> (Self, watch::Receiver<VmState>) {
        let (announce, state) = watch::channel(VmState::Joining);
        (Self { announce, _state: Joining }, state)
    }

    /// Starts to accept work.
    pub fn serve(self) -> Vm<Serving> {
        self.announce.send_replace(VmState::Serving);
        Vm { announce: self.announce, _state: Serving }
    }
}

impl Vm<Serving> {
    /// Stops accepting new work until it serves again.
    pub fn pause(self) -> Vm<Paused> {
        self.announce.send_replace(VmState::Draining);
        Vm { announce: self.announce, _state: Paused }
    }

    /// Stops accepting new work.
    pub fn drain(self) -> Vm<Draining> {
        self.announce.send_replace(VmState::Draining);
        Vm { announce: self.announce, _state: Draining }
    }
}

impl Vm<Paused> {
    /// Accepts work again.
    pub fn serve(self) -> Vm<Serving> {
        self.announce.send_replace(VmState::Serving);
        Vm { announce: self.announce, _state: Serving }
    }

    /// Ends the pause and drains permanently.
    pub fn drain(self) -> Vm<Draining> {
        self.announce.send_replace(VmState::Draining);
        Vm { announce: self.announce, _state: Draining }
    }
}

impl Vm<Draining> {
    /// Ends the life cycle after the last request.
    pub fn stop(self) -> Vm<Stopped> {
        self.announce.send_replace(VmState::Stopped);
        Vm { announce: self.announce, _state: Stopped }
    }
}
