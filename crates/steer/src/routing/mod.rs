//! Which availability zone serves a request.

mod zone_order;

pub use self::zone_order::order_zones;
