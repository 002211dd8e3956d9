//! Routes: map requests to services and to the rules that apply.

mod route;
mod route_table;
mod service_rules;
mod service_split;

pub use self::{
    route::Route, route_table::RouteTable, service_rules::ServiceRules, service_split::ServiceSplit,
};
