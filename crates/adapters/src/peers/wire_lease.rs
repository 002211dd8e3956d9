//! JSON encoding of leases.

use super::wire::WireError;
use serde::{Deserialize, Serialize};
use steer::{LeaseGrant, LeaseHolder, LeaseItem, LeaseRequest, PoolKey, ShareKey};

/// JSON-RPC method that requests, renews or returns a lease.
pub(super) const LEASE: &str = "lease";

/// Item, amount, and the name and incarnation of the holder.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireLeaseRequest(WireItem, u64, String, u64);

/// What a lease is for.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum WireItem {
    /// Share of a link, by its two ends.
    L(String, String),
    /// Slots of a pool, by service and zone.
    R(String, String),
    /// Share of a shift, by service, source and destination.
    S(String, String, String),
    /// A vote.
    V,
}

impl From<&LeaseItem> for WireItem {
    fn from(item: &LeaseItem) -> Self {
        match item {
            LeaseItem::Room(key) => Self::R(key.service.to_string(), key.zone.to_string()),
            LeaseItem::Share(ShareKey::Link { from, to }) => {
                Self::L(from.to_string(), to.to_string())
            }
            LeaseItem::Share(ShareKey::Shift { from, service, to }) => {
                Self::S(service.to_string(), from.to_string(), to.to_string())
            }
            LeaseItem::Vote => Self::V,
        }
    }
}

impl From<WireItem> for LeaseItem {
    fn from(wire: WireItem) -> Self {
        match wire {
            WireItem::L(from, to) => {
                Self::Share(ShareKey::Link { from: from.into(), to: to.into() })
            }
            WireItem::R(service, zone) => Self::Room(PoolKey::new(service, zone)),
            WireItem::S(service, from, to) => Self::Share(ShareKey::Shift {
                from: from.into(),
                service: service.into(),
                to: to.into(),
            }),
            WireItem::V => Self::Vote,
        }
    }
}

impl From<&LeaseRequest> for WireLeaseRequest {
    fn from(request: &LeaseRequest) -> Self {
        let LeaseHolder { incarnation, vm } = &request.holder;
        Self((&request.item).into(), request.amount, vm.to_string(), *incarnation)
    }
}

impl From<WireLeaseRequest> for LeaseRequest {
    fn from(WireLeaseRequest(item, amount, vm, incarnation): WireLeaseRequest) -> Self {
        let holder = LeaseHolder { incarnation, vm: vm.into() };
        Self { amount, holder, item: item.into() }
    }
}

/// Amount, id and term in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct WireLeaseGrant(u64, u64, u64);

impl From<LeaseGrant> for WireLeaseGrant {
    fn from(grant: LeaseGrant) -> Self {
        Self(grant.amount, grant.id, grant.term_ms)
    }
}

impl TryFrom<WireLeaseGrant> for LeaseGrant {
    type Error = WireError;

    fn try_from(WireLeaseGrant(amount, id, term_ms): WireLeaseGrant) -> Result<Self, WireError> {
        /// Upper bound of the term, so that a corrupt reply can't grant a lease that never expires.
        const MAX_TERM_MS: u64 = 60_000;
        if term_ms > MAX_TERM_MS {
            return Err(format!(
                "lease term of {term_ms} ms exceeds the maximum of {MAX_TERM_MS} ms"
            ));
        }
        Ok(Self { amount, id, term_ms })
    }
}
