//! The domain logic of a global traffic steering system, independent of I/O: adapters implement
//! its ports.
//!
//! The main types:
//!
//! - [`EntryNode`] is the shared state of an entry VM.
//! - [`SettingsTree`] holds the settings in force; [`Snapshot`] is the joined view that routing
//!   decisions read.
//! - [`TargetPool`] tracks the slots of a service's targets in one availability zone.
//! - [`MembershipTable`] tracks the peer VMs.
//! - [`ErrorKind`] lists all errors and maps each to its HTTP response.
//!
//! ```
//! use steer::{PoolKey, VmName, choose_owner};
//!
//! let vms = [VmName::from("entry-1"), VmName::from("entry-2")];
//! assert!(choose_owner(&PoolKey::new("briefs", "lis-a"), &vms).is_some());
//! ```

mod admission;
mod choice;
mod errors;
mod explain;
mod fleet;
mod flows;
mod forwarding;
mod lease;
mod link;
mod lookup;
mod membership;
mod names;
mod node;
mod once;
mod placement;
mod poison;
mod pool;
mod ports;
mod relay;
mod retry;
mod routes;
mod routing;
mod settings;
mod shares;
mod shift;

pub use self::{
    admission::*, choice::*, errors::*, explain::*, fleet::*, flows::*, forwarding::*, lease::*,
    link::*, lookup::*, membership::*, names::*, node::*, once::*, placement::*, poison::*,
    pool::*, ports::*, relay::*, retry::*, routes::*, routing::*, settings::*, shares::*, shift::*,
};
