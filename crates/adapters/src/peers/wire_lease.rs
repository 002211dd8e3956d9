//! Leases as they are encoded.

use super::wire::WireError;
use serde::{Deserialize, Serialize};
use steer::{LeaseAsk, LeaseGrant, LeaseHolder, LeaseItem, PoolKey, ShareKey};

/// Method that asks for a lease, renews one or gives it back.
pub(super) const LEASE: &str = "lease";

/// Item, amount, name and incarnation of the holder.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireAsk(WireItem, u64, String, u64);

/// What a lease is asked for.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum WireItem {
    /// Link, from and to.
    L(String, String),
    /// Room, by service and zone.
    R(String, String),
    /// Shift, by service, from and to.
    S(String, String, String),
    /// Vote.
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

impl From<&LeaseAsk> for WireAsk {
    fn from(ask: &LeaseAsk) -> Self {
        let LeaseHolder { incarnation, vm } = &ask.holder;
        Self((&ask.item).into(), ask.amount, vm.to_string(), *incarnation)
    }
}

impl From<WireAsk> for LeaseAsk {
    fn from(WireAsk(item, amount, vm, incarnation): WireAsk) -> Self {
        let holder = LeaseHolder { incarnation, vm: vm.into() };
        Self { amount, holder, item: item.into() }
    }
}

/// Amount, number and term of a grant.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct WireGrant(u64, u64, u64);

impl From<LeaseGrant> for WireGrant {
    fn from(grant: LeaseGrant) -> Self {
        Self(grant.amount, grant.id, grant.term_ms)
    }
}

impl TryFrom<WireGrant> for LeaseGrant {
    type Error = WireError;

    fn try_from(WireGrant(amount, id, term_ms): WireGrant) -> Result<Self, WireError> {
        /// No lease is longer, so that a damaged reply can't make one that never lapses.
        const LONGEST_MS: u64 = 60_000;
        if term_ms > LONGEST_MS {
            return Err(format!("a lease of {term_ms} ms"));
        }
        Ok(Self { amount, id, term_ms })
    }
}
