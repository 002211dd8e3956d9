//! Blocks of client addresses.

use derive_more::{Display, From};
use ipnet::IpNet;
use schemars::{JsonSchema, Schema, SchemaGenerator};
use serde::{Deserialize, Serialize};
use std::{borrow::Cow, net::IpAddr, str::FromStr};

/// A block of client addresses in CIDR notation, IPv4 or IPv6.
///
/// ```
/// let block: steer::ClientBlock = "10.1.0.0/16".parse().unwrap();
/// assert!(block.contains("10.1.2.3".parse().unwrap()));
/// ```
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, From, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ClientBlock(IpNet);

impl ClientBlock {
    /// Returns whether the block contains an address.
    ///
    /// ```
    /// let block: steer::ClientBlock = "fd00::/8".parse().unwrap();
    /// assert!(!block.contains("10.0.0.1".parse().unwrap()));
    /// ```
    pub fn contains(&self, address: IpAddr) -> bool {
        self.0.contains(&address)
    }

    /// Returns the block as a network.
    ///
    /// ```
    /// let block: steer::ClientBlock = "10.1.0.0/16".parse().unwrap();
    /// assert_eq!(block.network().prefix_len(), 16);
    /// ```
    pub fn network(&self) -> IpNet {
        self.0
    }
}

impl From<IpAddr> for ClientBlock {
    fn from(address: IpAddr) -> Self {
        Self(address.into())
    }
}

impl FromStr for ClientBlock {
    type Err = ipnet::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        IpNet::from_str(text).map(Self)
    }
}

impl JsonSchema for ClientBlock {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> Cow<'static, str> {
        "ClientBlock".into()
    }

    fn json_schema(generator: &mut SchemaGenerator) -> Schema {
        String::json_schema(generator)
    }
}
