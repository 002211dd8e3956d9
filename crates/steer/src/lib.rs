//! The decisions and flows of a global traffic steering system, over ports.
//!
//! Five types to know:
//!
//! - [`EntryNode`] is the shared state of an entry VM.
//! - [`SettingsTree`] holds the settings in force, [`Snapshot`] is what decisions read.
//! - [`TargetPool`] counts the slots of a service's targets in one availability zone.
//! - [`MembershipTable`] knows the peers.
//! - [`ErrorKind`] is the closed list of errors, with the table of answers.
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
