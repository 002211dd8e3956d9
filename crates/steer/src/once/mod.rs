//! At-most-once execution: idempotency keys, recorded in the platform's object store.

mod fingerprint;
mod key_time;
mod once_key;
mod once_record;

pub use self::{
    fingerprint::Fingerprint,
    key_time::KeyTime,
    once_key::{Claim, Claimed, Finished, KeyOwner, OnceKey, SendPermit, Unclaimed, Unsettled},
    once_record::{KeyState, OnceRecord, RecordedAnswer},
};
